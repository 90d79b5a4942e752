"""Reading and writing the table as a CSV file."""

import csv
import io

from carobstand import errors
from carobstand.core import rows

MAX_ROWS = 25_000
"""Maximum number of rows, over twice the 11,000 backend servers of the design size."""

MAX_CSV_BYTES = 8_000_000
"""Maximum file size; `MAX_ROWS` rows of ordinary length fit into it."""


def parse_csv(data, source):
    """Return the rows of a CSV file.

    Parameters
    ----------
    data : bytes
    source : str
        Name of the file, for error messages.

    Returns
    -------
    parsed : tuple of rows

    Raises
    ------
    TableError
        If the file or a row is invalid; the message contains file, line, column and
        reason.
    """
    if len(data) > MAX_CSV_BYTES:
        raise _error(source, 1, "", f"file is larger than {MAX_CSV_BYTES} bytes")
    if not data.strip():
        raise _error(source, 1, "", "file is empty")
    rows_by_key = {}
    for line, cells in _read_rows(_decode(data, source), source):
        if len(rows_by_key) >= MAX_ROWS:
            raise _error(source, line, "", f"more than {MAX_ROWS} rows")
        row = _parse_row(cells, line, source)
        key = rows.row_key(row)
        if key in rows_by_key:
            first = rows_by_key[key][1]
            raise _error(source, line, "name", f"same row key as line {first}")
        rows_by_key[key] = (row, line)
    parsed = tuple(row for row, _ in rows_by_key.values())
    for row, column, reason in rows.find_inconsistencies(parsed):
        raise _error(source, rows_by_key[rows.row_key(row)][1], column, reason)
    return parsed


def to_csv(all_rows):
    """Return `all_rows` as the bytes of a CSV file."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(rows.COLUMNS)
    for row in sorted(all_rows, key=rows.row_key):
        writer.writerow(rows.format_cell(row, column) for column in rows.COLUMNS)
    return out.getvalue().encode()


def parse_row(cells):
    """Return the row of `cells`, a dict of column name to cell text.

    Raises
    ------
    ValueError
        If a cell is invalid; its arguments are (column, reason).
    """
    kind = cells["kind"]
    if kind not in rows.ROW_TYPES:
        allowed = ", ".join(rows.ROW_TYPES)
        raise ValueError("kind", f"{kind!r} is not one of {allowed}")
    used = rows.FIELDS[kind]
    values = {}
    for column in rows.COLUMNS[1:]:
        text = cells[column].strip()
        if column not in used:
            if text:
                raise ValueError(column, f"must be empty in a {kind} row")
            continue
        try:
            values[column] = rows.parse_cell(kind, column, text)
        except ValueError as exc:
            raise ValueError(column, str(exc)) from exc
    return rows.ROW_TYPES[kind](**values)


def _parse_row(cells, line, source):
    if len(cells) != len(rows.COLUMNS):
        reason = f"{len(cells)} cells instead of {len(rows.COLUMNS)}"
        raise _error(source, line, "", reason)
    try:
        return parse_row(dict(zip(rows.COLUMNS, cells, strict=True)))
    except ValueError as exc:
        column, reason = exc.args
        raise _error(source, line, column, reason) from exc


def _decode(data, source):
    try:
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as exc:
        line = data.count(b"\n", 0, exc.start) + 1
        raise _error(source, line, "", "not UTF-8") from exc


def _read_rows(text, source):
    """Yield (line number, cells) of each row after the header."""
    reader = csv.reader(io.StringIO(text, newline=""), strict=True)
    line = 1
    header_seen = False
    try:
        for cells in reader:
            if any(value.strip() for value in cells):
                if header_seen:
                    yield line, cells
                elif tuple(cells) != rows.COLUMNS:
                    raise _error(
                        source, line, "", f"header must be {','.join(rows.COLUMNS)}"
                    )
                header_seen = True
            line = reader.line_num + 1
    except csv.Error as exc:
        raise _error(source, line, "", f"malformed CSV: {exc}") from exc


def _error(source, line, column, reason):
    where = f"{source}:{line}"
    if column:
        number = rows.COLUMNS.index(column) + 1
        where += f": column {number} ({column})"
    return errors.TableError(f"{where}: {reason}", step="table.parse", peer=source)
