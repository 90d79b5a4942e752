"""The table that operators edit: content, digest, deltas and merges."""

import json

import attrs

from carobstand import errors
from carobstand.core import rows as row_module
from carobstand.core import table_csv

FORMAT = 1
"""Format number of the JSON; a table with a higher one is refused as a whole."""

MAX_BYTES = 1_000_000
"""Largest JSON of a table; the store's values are limited to 1 MB."""

MAX_HISTORY = 50
"""Change records kept in the table itself."""

MODULUS = 2**256

_KEY_COLUMNS = ("kind", "name", "service")

ServiceRow = row_module.ServiceRow
VersionRow = row_module.VersionRow
BackendRow = row_module.BackendRow
CustomerRow = row_module.CustomerRow
LinkRow = row_module.LinkRow
row_key = row_module.row_key
row_digest = row_module.row_digest
is_non_idempotent = row_module.is_non_idempotent
parse_csv = table_csv.parse_csv


@attrs.frozen
class Record:
    """One accepted change; `when` is seconds since the epoch."""

    revision: int
    change_id: str
    who: str
    when: float
    summary: str


def _index(table):
    return {row_module.row_key(row): row for row in table.rows}


def _sum(table):
    return sum(map(row_module.row_digest, table.rows)) % MODULUS


@attrs.frozen
class Table:
    """One revision of the table.

    Attributes
    ----------
    revision : int
        0 is the empty table before the first change.
    change_id : str
    rows : tuple
    history : tuple of Record
        Newest last, at most `MAX_HISTORY`.
    """

    revision: int = 0
    change_id: str = ""
    rows: tuple = attrs.field(default=(), converter=tuple)
    history: tuple = attrs.field(default=(), converter=tuple, repr=False)
    digest_sum: int = attrs.field(
        default=attrs.Factory(_sum, takes_self=True), eq=False, repr=False, kw_only=True
    )
    index: dict = attrs.field(
        default=attrs.Factory(_index, takes_self=True), init=False, eq=False, repr=False
    )
    by_service: dict = attrs.field(factory=dict, init=False, eq=False, repr=False)

    def __attrs_post_init__(self):
        for row in self.rows:
            if row.kind == "version":
                self.by_service.setdefault(row.service, []).append(row)
            elif row.kind == "customer":
                self.by_service[("key", row.key_sha256)] = row


EMPTY = Table()


def service(table, name):
    """Return the row of service `name`, or None."""
    return table.index.get(("service", name, ""))


def services(table):
    """Return the rows of all services."""
    return tuple(row for row in table.rows if row.kind == "service")


def versions(table, service):
    """Return the rows of the versions of `service`."""
    return tuple(table.by_service.get(service, ()))


def backend(table, vm, service):
    """Return the row of the backend server of `service` on `vm`, or None."""
    return table.index.get(("backend", vm, service))


def customer(table, name):
    """Return the row of customer `name`, or None."""
    return table.index.get(("customer", name, ""))


def customer_by_key(table, key_sha256):
    """Return the row of the customer with that key digest, or None."""
    return table.by_service.get(("key", key_sha256))


def link(table, name):
    """Return the row of link `name`, or None."""
    return table.index.get(("link", name, ""))


def digest(table):
    """Return the digest of the rows of `table` in hex.

    It is the sum modulo 2^256 of the rows' SHA-256, so that the digest after a delta
    costs time proportional to the changed rows.
    """
    return f"{table.digest_sum:064x}"


def to_csv(table):
    """Return a table, or rows, as the bytes of a CSV file."""
    return table_csv.to_csv(_rows(table))


def check(all_rows, source="table"):
    """Raise TableError if rows contradict each other."""
    for row, column, reason in row_module.problems(_rows(all_rows)):
        key = " ".join(part for part in row_module.row_key(row) if part)
        raise errors.TableError(
            f"{source}: {key}: column {column}: {reason}", step="table.check"
        )


def to_json(table):
    """Return `table` as canonical JSON bytes.

    Raises
    ------
    TableError
        If it is larger than `MAX_BYTES`.
    """
    body = {
        "format": FORMAT,
        "revision": table.revision,
        "change_id": table.change_id,
        "digest": digest(table),
        "rows": [row_module.to_list(row) for row in table.rows],
        "history": [list(attrs.astuple(record)) for record in table.history],
    }
    data = json.dumps(body, separators=(",", ":")).encode()
    if len(data) > MAX_BYTES:
        raise errors.TableError(
            f"table of {len(data)} bytes is larger than {MAX_BYTES}",
            step="table.encode",
        )
    return data


def from_json(data, source="table", held=None):
    """Return the table of JSON bytes.

    Parameters
    ----------
    data : bytes
    source : str
        Where it came from, for errors.
    held : Table or None
        An earlier revision; rows that it has are not parsed again.

    Raises
    ------
    TableError
        If the format is newer, the content malformed or the digest wrong.
    """
    body = _load(data, source)
    try:
        table = Table(
            _revision(body["revision"]),
            str(body["change_id"]),
            _known_rows(body["rows"], held or EMPTY),
            tuple(Record(*record) for record in body["history"]),
        )
        expected = body["digest"]
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise errors.TableError(
            f"{source}: malformed table: {exc}", step="table.decode", peer=source
        ) from exc
    if expected != digest(table) or len(table.index) != len(table.rows):
        raise errors.TableError(
            f"{source}: digest does not match the rows",
            step="table.decode",
            peer=source,
        )
    check(table, source)
    return table


def from_snapshot(content, revision, expected_digest, held=None):
    """Return the table of a snapshot sent by another process.

    Raises
    ------
    TableError
        If it is malformed, of another format, or another revision or digest.
    """
    new = from_json(content, "snapshot", held)
    if new.revision != revision or digest(new) != expected_digest:
        raise errors.TableError(
            "snapshot does not match its revision and digest", step="table.snapshot"
        )
    return new


def _known_rows(lists, held):
    """Return the rows of JSON lists, those that `held` has as its own objects."""
    known = {repr(row_module.to_list(row)): row for row in held.rows}
    return tuple(known.get(repr(row)) or row_module.from_list(row) for row in lists)


def _revision(value):
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"revision {value!r}")
    return value


def _load(data, source):
    try:
        body = json.loads(data)
        version = body["format"]
    except (KeyError, TypeError, ValueError, RecursionError) as exc:
        raise errors.TableError(
            f"{source}: malformed table: {exc}", step="table.decode", peer=source
        ) from exc
    if version != FORMAT:
        raise errors.TableError(
            f"{source}: format {version!r}, this program reads format {FORMAT}",
            step="table.decode",
            peer=source,
        )
    return body


@attrs.frozen
class Change:
    """One changed cell; `column` is empty where a whole row came or went.

    `old` and `new` are cell texts, or the row's CSV cells if a whole row came or went;
    None stands for an absent row.
    """

    key: tuple
    column: str
    old: str | None
    new: str | None


def diff(old, new):
    """Return the changed cells from `old` to `new` (tables or rows)."""
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
        yield Change(key, "", _text(before), _text(after))
        return
    for column in row_module.FIELDS[key[0]]:
        old, new = row_module.cell(before, column), row_module.cell(after, column)
        if old != new:
            yield Change(key, column, old, new)


def _text(row):
    if row is None:
        return None
    cells = ((name, row_module.cell(row, name)) for name in row_module.FIELDS[row.kind])
    return " ".join(f"{name}={text}" for name, text in cells if text)


@attrs.frozen
class Conflict:
    """A cell, or with an empty column a row, that both sides changed differently."""

    key: tuple
    column: str
    base: str | None
    theirs: str | None
    mine: str | None

    def __str__(self):
        where = " ".join(part for part in (*self.key, self.column) if part)
        shown = (
            f"{who} {'(absent)' if text is None else repr(text)}"
            for who, text in (
                ("was", self.base),
                ("theirs", self.theirs),
                ("mine", self.mine),
            )
        )
        return f"{where}: {', '.join(shown)}"


def merge(base, theirs, mine):
    """Return the rows of a three-way merge by row key and column.

    Parameters
    ----------
    base, theirs, mine : Table or rows
        What was edited, what the store holds now, the edited rows.

    Returns
    -------
    merged : tuple of rows

    Raises
    ------
    ConflictError
        Naming each cell that both sides changed differently, with both values.
    TableError
        If the merged rows contradict each other.
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
    olds, ours, edits = _by_key(base), _by_key(theirs), _by_key(mine)
    merged, conflicts = [], []
    for key in sorted(ours.keys() | edits.keys()):
        old, their, my = olds.get(key), ours.get(key), edits.get(key)
        if my == old or my == their:
            row = their
        elif their == old:
            row = my
        elif their is None or my is None:
            conflicts.append(Conflict(key, "", _text(old), _text(their), _text(my)))
            continue
        else:
            row = _merge_cells(key, old, their, my, conflicts)
        if row is not None:
            merged.append(row)
    return tuple(merged), tuple(conflicts)


def _merge_cells(key, old, their, my, conflicts):
    cells = {}
    for column in row_module.FIELDS[key[0]]:
        was = None if old is None else getattr(old, column)
        theirs, mine = getattr(their, column), getattr(my, column)
        unchanged = old is not None and mine == was
        cells[column] = theirs if unchanged else mine
        if unchanged or mine == theirs or (old is not None and theirs == was):
            continue
        texts = (
            None if row is None else row_module.cell(row, column)
            for row in (old, their, my)
        )
        conflicts.append(Conflict(key, column, *texts))
    return row_module.ROW_TYPES[key[0]](**cells)


def delta(old, new):
    """Return the JSON bytes that turn `old` into `new` by `apply_delta`.

    The change records are not part of it.
    """
    gone = [list(key) for key in old.index if key not in new.index]
    changed = [
        row_module.to_list(row)
        for key, row in new.index.items()
        if old.index.get(key) != row
    ]
    body = {
        "format": FORMAT,
        "base": old.revision,
        "revision": new.revision,
        "change_id": new.change_id,
        "rows": changed,
        "gone": gone,
    }
    return json.dumps(body, separators=(",", ":")).encode()


def apply_delta(old, data, expected_digest):
    """Return the table after a delta.

    Raises
    ------
    TableError
        If the delta is malformed, for another base revision, or the result's digest is
        not `expected_digest`.
    """
    body = _load(data, "delta")
    index = dict(old.index)
    total = old.digest_sum
    try:
        if body["base"] != old.revision:
            raise ValueError(f"base {body['base']}, revision {old.revision} is held")
        revision = _revision(body["revision"])
        for key in body["gone"]:
            total -= row_module.row_digest(index.pop(tuple(key)))
        for values in body["rows"]:
            row = row_module.from_list(values)
            key = row_module.row_key(row)
            if key in index:
                total -= row_module.row_digest(index[key])
            total += row_module.row_digest(row)
            index[key] = row
        change_id = str(body["change_id"])
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise errors.TableError(f"malformed delta: {exc}", step="table.delta") from exc
    if f"{total % MODULUS:064x}" != expected_digest:
        raise errors.TableError(
            "digest does not match after the delta", step="table.delta"
        )
    ordered = sorted(index.values(), key=row_module.row_key)
    return Table(revision, change_id, ordered, digest_sum=total % MODULUS)


def next_revision(current, all_rows, change_id, who, when, summary):
    """Return the table that follows `current` with `all_rows`.

    Parameters
    ----------
    when : float
        Seconds since the epoch.

    Raises
    ------
    TableError
        If rows contradict each other.
    """
    check(all_rows)
    record = Record(current.revision + 1, change_id, who, when, summary)
    history = (*current.history, record)[-MAX_HISTORY:]
    ordered = sorted(all_rows, key=row_module.row_key)
    return Table(current.revision + 1, change_id, ordered, history)


def set_cells(table, key, changes):
    """Return the rows of `table` with some cells of one row changed.

    Parameters
    ----------
    key : tuple
        Row key; a row that is not there yet is created.
    changes : dict of str to str
        Column to text.

    Raises
    ------
    TableError
        If a cell or the resulting rows are invalid.
    """
    row = table.index.get(key)
    cells = dict.fromkeys(row_module.COLUMNS, "")
    if row is not None:
        cells = {name: row_module.cell(row, name) for name in cells}
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


def _rows(table_or_rows):
    return getattr(table_or_rows, "rows", table_or_rows)


def _by_key(table_or_rows):
    return {row_module.row_key(row): row for row in _rows(table_or_rows)}
