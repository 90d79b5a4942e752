"""Validation, differences, three-way merges and edits of rows."""

import attrs

from carobstand import errors
from carobstand.core import rows as row_module
from carobstand.core import table_csv

_KEY_COLUMNS = ("kind", "name", "service")


def check(all_rows, source="table"):
    """Raise TableError if the rows are inconsistent."""
    index = all_rows.index if hasattr(all_rows, "rows") else None
    for row, column, reason in row_module.find_inconsistencies(
        rows_of(all_rows), index
    ):
        key = " ".join(part for part in row_module.row_key(row) if part)
        raise errors.TableError(
            f"{source}: {key}: column {column}: {reason}", step="table.check"
        )


@attrs.frozen
class Change:
    """One changed cell, or with an empty `column` an added or removed row.

    `old` and `new` are the texts of the cell, or of all cells of the row; None stands
    for an absent row.
    """

    key: tuple
    column: str
    old: str | None
    new: str | None


def diff(old, new):
    """Return the changes from `old` to `new`, which are tables or rows."""
    before, after = _by_key(old), _by_key(new)
    return tuple(
        change
        for key in sorted(before.keys() | after.keys())
        for change in _row_changes(key, before.get(key), after.get(key))
    )


def _row_changes(key, before, after):
    if before == after:
        return
    if before is None or after is None:
        yield Change(key, "", _row_text(before), _row_text(after))
        return
    for column in row_module.FIELDS[key[0]]:
        old, new = (
            row_module.format_cell(before, column),
            row_module.format_cell(after, column),
        )
        if old != new:
            yield Change(key, column, old, new)


def _row_text(row):
    if row is None:
        return None
    cells = (
        (name, row_module.format_cell(row, name))
        for name in row_module.FIELDS[row.kind]
    )
    return " ".join(f"{name}={text}" for name, text in cells if text)


@attrs.frozen
class Conflict:
    """A cell that both sides changed differently, or a row if `column` is empty."""

    key: tuple
    column: str
    base: str | None
    theirs: str | None
    mine: str | None

    def __str__(self):
        where = " ".join(part for part in (*self.key, self.column) if part)
        values = (
            f"{label} {'(absent)' if text is None else repr(text)}"
            for label, text in (
                ("was", self.base),
                ("theirs", self.theirs),
                ("mine", self.mine),
            )
        )
        return f"{where}: {', '.join(values)}"


def merge(base, theirs, mine):
    """Return the rows of a three-way merge by row key and column.

    Parameters
    ----------
    base, theirs, mine : Table or rows
        The revision that was edited, the one in the store now, and the edited rows.

    Returns
    -------
    merged : tuple of rows

    Raises
    ------
    ConflictError
        If both sides changed a cell differently; the message contains both values.
    TableError
        If the merged rows are inconsistent.
    """
    merged, conflicts = merge_rows(base, theirs, mine)
    if conflicts:
        raise errors.ConflictError(
            "both edits change: " + "; ".join(map(str, conflicts)), step="table.merge"
        )
    check(merged, "merged table")
    return merged


def merge_rows(base, theirs, mine):
    """Return (merged rows, conflicts) of a three-way merge."""
    base_rows, their_rows, my_rows = _by_key(base), _by_key(theirs), _by_key(mine)
    merged, conflicts = [], []
    for key in sorted(their_rows.keys() | my_rows.keys()):
        old, their, my = base_rows.get(key), their_rows.get(key), my_rows.get(key)
        if my == old or my == their:
            row = their
        elif their == old:
            row = my
        elif their is None or my is None:
            conflicts.append(
                Conflict(key, "", _row_text(old), _row_text(their), _row_text(my))
            )
            continue
        else:
            row = _merge_cells(key, old, their, my, conflicts)
        if row is not None:
            merged.append(row)
    return tuple(merged), tuple(conflicts)


def _merge_cells(key, old, their, my, conflicts):
    """Return the merged row; append a `Conflict` for each cell that conflicts."""
    cells = {}
    for column in row_module.FIELDS[key[0]]:
        base = None if old is None else getattr(old, column)
        theirs, mine = getattr(their, column), getattr(my, column)
        unchanged = old is not None and mine == base
        cells[column] = theirs if unchanged else mine
        if unchanged or mine == theirs or (old is not None and theirs == base):
            continue
        texts = (
            None if row is None else row_module.format_cell(row, column)
            for row in (old, their, my)
        )
        conflicts.append(Conflict(key, column, *texts))
    return row_module.ROW_TYPES[key[0]](**cells)


def set_cells(table, key, changes):
    """Return the rows of `table` with some cells of one row changed.

    Parameters
    ----------
    key : tuple
        Row key; the row is created if it does not exist.
    changes : dict of str to str
        Column name to cell text.

    Raises
    ------
    TableError
        If a cell or the resulting rows are invalid.
    """
    row = table.index.get(key)
    cells = dict.fromkeys(row_module.COLUMNS, "")
    if row is not None:
        cells = {name: row_module.format_cell(row, name) for name in cells}
    cells.update(kind=key[0], name=key[1], service=key[2])
    for column in changes:
        if column not in row_module.FIELDS.get(key[0], ()) or column in _KEY_COLUMNS:
            raise errors.TableError(
                f"{key[0]} rows have no column {column!r} to set", step="table.set"
            )
    try:
        changed = table_csv.parse_row({**cells, **changes})
    except ValueError as exc:
        column, reason = exc.args
        raise errors.TableError(f"column {column}: {reason}", step="table.set") from exc
    result = tuple({**table.index, key: changed}.values())
    check(result)
    return result


def rows_of(table_or_rows):
    """Return the rows of a table; a sequence of rows is returned as it is."""
    return getattr(table_or_rows, "rows", table_or_rows)


def _by_key(table_or_rows):
    return {row_module.row_key(row): row for row in rows_of(table_or_rows)}
