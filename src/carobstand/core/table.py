"""The configuration table that operators edit: content, digest, JSON and deltas."""

import json

import attrs

from carobstand import errors
from carobstand.core import rows as row_module
from carobstand.core import table_csv, table_edits

FORMAT = 1
"""Format number of the JSON; a table with any other format is refused."""

MAX_BYTES = 1_000_000
"""Maximum size of a table's JSON; the store limits values to 1 MB."""

MAX_HISTORY = 50
"""Maximum number of change records kept in the table itself."""

DIGEST_MODULUS = 2**256


ServiceRow = row_module.ServiceRow
VersionRow = row_module.VersionRow
BackendRow = row_module.BackendRow
CustomerRow = row_module.CustomerRow
LinkRow = row_module.LinkRow
row_key = row_module.row_key
row_digest = row_module.row_digest
is_non_idempotent = row_module.is_non_idempotent
parse_csv = table_csv.parse_csv
check = table_edits.check
Change = table_edits.Change
Conflict = table_edits.Conflict
diff = table_edits.diff
merge = table_edits.merge
set_cells = table_edits.set_cells


@attrs.frozen
class ChangeRecord:
    """Record of an accepted change: its author, time and summary.

    `when` is in seconds since the epoch.
    """

    revision: int
    change_id: str
    who: str
    when: float
    summary: str


def _index(table):
    return {row_module.row_key(row): row for row in table.rows}


def _digest_sum(table):
    return sum(map(row_module.row_digest, table.rows)) % DIGEST_MODULUS


@attrs.frozen
class Table:
    """One revision of the table.

    Attributes
    ----------
    revision : int
        0 is the empty table before the first change.
    change_id : str
        Id of the change that led to this revision.
    rows : tuple
    history : tuple of ChangeRecord
        Newest last, at most `MAX_HISTORY`.
    digest_sum : int
        Sum of the row digests modulo `DIGEST_MODULUS`.
    index : dict
        Rows by row key.
    lookup : dict
        Service name to the list of its version rows, and ("key", SHA-256 of the API
        key) to the customer row.
    rows_by_text : dict of str to row
        Rows by the text of their JSON lists, if the table was read from JSON.
    """

    revision: int = 0
    change_id: str = ""
    rows: tuple = attrs.field(default=(), converter=tuple)
    history: tuple = attrs.field(default=(), converter=tuple, repr=False)
    digest_sum: int = attrs.field(
        default=attrs.Factory(_digest_sum, takes_self=True),
        eq=False,
        repr=False,
        kw_only=True,
    )
    index: dict = attrs.field(
        default=attrs.Factory(_index, takes_self=True), init=False, eq=False, repr=False
    )
    lookup: dict = attrs.field(factory=dict, init=False, eq=False, repr=False)
    rows_by_text: dict = attrs.field(factory=dict, init=False, eq=False, repr=False)

    def __attrs_post_init__(self):
        for row in self.rows:
            if row.kind == "version":
                self.lookup.setdefault(row.service, []).append(row)
            elif row.kind == "customer":
                self.lookup[("key", row.key_sha256)] = row


EMPTY = Table()


def service(table, name):
    """Return the row of service `name`, or None."""
    return table.index.get(("service", name, ""))


def services(table):
    """Return the rows of all services."""
    return tuple(row for row in table.rows if row.kind == "service")


def versions(table, service):
    """Return the rows of the versions of `service`."""
    return tuple(table.lookup.get(service, ()))


def backend(table, vm, service):
    """Return the row of the backend server of `service` on `vm`, or None."""
    return table.index.get(("backend", vm, service))


def customer(table, name):
    """Return the row of customer `name`, or None."""
    return table.index.get(("customer", name, ""))


def customer_by_key(table, key_sha256):
    """Return the row of the customer whose API key has that SHA-256, or None."""
    return table.lookup.get(("key", key_sha256))


def link(table, name):
    """Return the row of link `name`, or None."""
    return table.index.get(("link", name, ""))


def digest(table):
    """Return the digest of the rows of `table` in hex.

    It is the sum of the SHA-256 of the rows modulo 2^256, so that updating it after a
    delta takes time proportional to the number of changed rows.
    """
    return f"{table.digest_sum:064x}"


def to_csv(table):
    """Return a table, or a sequence of rows, as the bytes of a CSV file."""
    return table_csv.to_csv(table_edits.rows_of(table))


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
    """Return the table in JSON bytes.

    Parameters
    ----------
    data : bytes
    source : str
        Where the data came from, for error messages.
    held : Table or None
        An earlier revision; rows that it contains are neither parsed nor hashed again.

    Raises
    ------
    TableError
        If the format differs from `FORMAT`, the content is malformed or the digest
        does not match.
    """
    body = _parse_json(data, source)
    if held is None or not held.rows_by_text:
        held = EMPTY
    try:
        rows_by_text = {
            text: held.rows_by_text.get(text) or row_module.from_list(values)
            for values in body["rows"]
            for text in (repr(values),)
        }
        added = (
            rows_by_text[text]
            for text in rows_by_text.keys() - held.rows_by_text.keys()
        )
        removed = (
            held.rows_by_text[text]
            for text in held.rows_by_text.keys() - rows_by_text.keys()
        )
        total = held.digest_sum
        total += sum(map(row_module.row_digest, added))
        total -= sum(map(row_module.row_digest, removed))
        table = Table(
            _check_revision(body["revision"]),
            str(body["change_id"]),
            rows_by_text.values(),
            tuple(ChangeRecord(*record) for record in body["history"]),
            digest_sum=total % DIGEST_MODULUS,
        )
        table.rows_by_text.update(rows_by_text)
        expected = body["digest"]
        count = len(body["rows"])
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise errors.TableError(
            f"{source}: malformed table: {exc}", step="table.decode", peer=source
        ) from exc
    if expected != digest(table) or len(table.index) != count:
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
        If it is malformed, or its format, revision or digest is not the expected one.
    """
    new = from_json(content, "snapshot", held)
    if new.revision != revision or digest(new) != expected_digest:
        raise errors.TableError(
            "snapshot does not match its revision and digest", step="table.snapshot"
        )
    return new


def _check_revision(value):
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"revision {value!r}")
    return value


def _parse_json(data, source):
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


def changed_services(old, new):
    """Return the names of services whose service, version or backend rows differ."""
    changed = [row for key, row in new.index.items() if old.index.get(key) != row]
    changed += [row for key, row in old.index.items() if key not in new.index]
    return {row.name if row.kind == "service" else row.service for row in changed} - {
        ""
    }


def delta(old, new):
    """Return the JSON bytes with which `apply_delta` turns `old` into `new`.

    They do not contain the change records.
    """
    removed = [list(key) for key in old.index if key not in new.index]
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
        "gone": removed,
    }
    return json.dumps(body, separators=(",", ":")).encode()


def apply_delta(old, data, expected_digest):
    """Return the table that results from a delta.

    Raises
    ------
    TableError
        If the delta is malformed or has another base revision, or the digest of the
        result is not `expected_digest`.
    """
    body = _parse_json(data, "delta")
    index = dict(old.index)
    total = old.digest_sum
    try:
        if body["base"] != old.revision:
            raise ValueError(f"base {body['base']}, revision {old.revision} is held")
        revision = _check_revision(body["revision"])
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
    if f"{total % DIGEST_MODULUS:064x}" != expected_digest:
        raise errors.TableError(
            "digest does not match after the delta", step="table.delta"
        )
    ordered = sorted(index.values(), key=row_module.row_key)
    return Table(revision, change_id, ordered, digest_sum=total % DIGEST_MODULUS)


def next_revision(current, all_rows, change_id, who, when, summary):
    """Return the next revision of `current`, with `all_rows` as its rows.

    Parameters
    ----------
    when : float
        Seconds since the epoch.

    Raises
    ------
    TableError
        If the rows are inconsistent.
    """
    check(all_rows)
    record = ChangeRecord(current.revision + 1, change_id, who, when, summary)
    history = (*current.history, record)[-MAX_HISTORY:]
    ordered = sorted(all_rows, key=row_module.row_key)
    return Table(current.revision + 1, change_id, ordered, history)
