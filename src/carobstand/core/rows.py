"""Rows of the table: types, parsing and formatting of cells, and validation."""

import hashlib
import json
import math
import re

import attrs

COLUMNS = (
    "kind",
    "name",
    "service",
    "type",
    "manifest",
    "base",
    "weight",
    "copies",
    "max_out",
    "policy",
    "bytes_per_s",
    "max_in_flight",
    "max_queue",
    "rate_per_s",
    "priority",
    "non_idempotent",
    "key_sha256",
)
"""Header of the CSV file, in order."""

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
"""Valid names; they are parts of store keys, of URLs and of ``service:version``."""

SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")

CALL_PATTERN = re.compile(r"[A-Z]{1,16} /[^\s;]*")
"""An entry of `non_idempotent`: method and path prefix."""

MAX_COUNT = 10**12
"""Largest number in a cell; keeps every sum within 64 bits."""


def _to_float(value):
    return float(value)


def _to_optional_float(value):
    return None if value is None else float(value)


@attrs.frozen
class ServiceRow:
    """A service; a limit of None is not set, `max_out` is a share in (0, 1]."""

    kind = "service"
    service = ""

    name: str
    type: str = "engine"
    max_in_flight: int | None = None
    max_queue: int | None = None
    policy: str = "time"
    max_out: float | None = attrs.field(default=None, converter=_to_optional_float)
    non_idempotent: tuple = attrs.field(default=(), converter=tuple)


@attrs.frozen
class VersionRow:
    """A version of a service; `copies` None means every VM of the service."""

    kind = "version"

    name: str
    service: str
    manifest: str = ""
    base: str = ""
    weight: float = attrs.field(default=0.0, converter=_to_float)
    copies: int | None = None


@attrs.frozen
class BackendRow:
    """Routing weight of the backend server of `service` on VM `name`."""

    kind = "backend"

    name: str
    service: str
    weight: float = attrs.field(default=1.0, converter=_to_float)


@attrs.frozen
class CustomerRow:
    """A customer, identified by the SHA-256 of its API key."""

    kind = "customer"
    service = ""

    name: str
    key_sha256: str
    weight: float = attrs.field(default=1.0, converter=_to_float)
    rate_per_s: float | None = attrs.field(default=None, converter=_to_optional_float)
    max_in_flight: int | None = None
    priority: int = 0


@attrs.frozen
class LinkRow:
    """Bandwidth of the origin, of each VM link or of each region link."""

    kind = "link"
    service = ""

    name: str
    bytes_per_s: int


ROW_TYPES = {
    cls.kind: cls for cls in (ServiceRow, VersionRow, BackendRow, CustomerRow, LinkRow)
}
FIELDS = {
    kind: tuple(field.name for field in attrs.fields(cls))
    for kind, cls in ROW_TYPES.items()
}
"""Columns that each kind of row uses, in the order of its JSON list."""


def row_key(row):
    """Return the key (kind, name, service) of `row`."""
    return (row.kind, row.name, row.service)


def to_list(row):
    """Return `row` as a list of JSON values, its kind first."""
    return [
        row.kind,
        *(_to_json_value(getattr(row, name)) for name in FIELDS[row.kind]),
    ]


def _to_json_value(value):
    return list(value) if isinstance(value, tuple) else value


def canonical(row):
    """Return the canonical JSON of `row` as bytes."""
    return json.dumps(to_list(row), separators=(",", ":")).encode()


def row_digest(row):
    """Return the SHA-256 of the canonical JSON of `row` as an integer."""
    return int.from_bytes(hashlib.sha256(canonical(row)).digest(), "big")


def from_list(values):
    """Return the row of `values`, the inverse of `to_list`.

    Every value is validated like a cell of a CSV file.

    Raises
    ------
    ValueError
        If the values do not form a valid row.
    """
    if not isinstance(values, list) or not values or values[0] not in ROW_TYPES:
        raise ValueError("row of an unknown kind")
    names = FIELDS[values[0]]
    if len(values) != len(names) + 1:
        raise ValueError(f"{values[0]} row of {len(values)} values")
    row = ROW_TYPES[values[0]](**dict(zip(names, values[1:], strict=True)))
    for name in names:
        try:
            parsed = parse_cell(values[0], name, format_cell(row, name))
        except ValueError as exc:
            raise ValueError(f"column {name}: {exc}") from exc
        if parsed != getattr(row, name):
            raise ValueError(f"column {name}: {getattr(row, name)!r} is malformed")
    return row


def format_cell(row, column):
    """Return the text of a cell, empty for a column that the row does not use."""
    if column == "kind":
        return row.kind
    if column not in FIELDS[row.kind]:
        return ""
    value = getattr(row, column)
    if column == "copies":
        return "all" if value is None else str(value)
    if value is None:
        return ""
    if isinstance(value, tuple):
        return ";".join(value)
    if isinstance(value, float):
        return str(int(value)) if value.is_integer() else repr(value)
    return str(value)


def parse_cell(kind, column, text):
    """Return the value of the cell `text`.

    Raises
    ------
    ValueError
        With the reason, if `text` is not valid in that column.
    """
    return _PARSERS[kind][column](text)


def _parse_name(text):
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(
            f"{text!r} is not a name (1 to 128 of A-Z a-z 0-9 . _ -, "
            "the first a letter or digit)"
        )
    return text


def _parse_optional_name(text):
    return _parse_name(text) if text else ""


def _parse_sha256(text):
    if not SHA256_PATTERN.fullmatch(text):
        raise ValueError(f"{text!r} is not a SHA-256 in 64 lower-case hex digits")
    return text


def _parse_optional_sha256(text):
    return _parse_sha256(text) if text else ""


def _choice_parser(*allowed):
    def parse(text):
        if text not in allowed:
            raise ValueError(f"{text!r} is not one of {', '.join(allowed)}")
        return text

    return parse


def _parse_number(text, low, above):
    try:
        value = float(text)
    except ValueError as exc:
        raise ValueError(f"{text!r} is not a number") from exc
    if not math.isfinite(value) or value > MAX_COUNT:
        raise ValueError(f"{text!r} is not a number up to {MAX_COUNT}")
    if value < low or (above and value == low):
        raise ValueError(f"{text!r} must be {'>' if above else '>='} {low}")
    return value


def _parse_optional_share(text):
    if not text:
        return None
    value = _parse_number(text, 0, above=True)
    if value > 1:
        raise ValueError(f"{text!r} must be <= 1")
    return value


def _parse_int(text, low, high=MAX_COUNT):
    if not re.fullmatch(r"-?[0-9]{1,20}", text):
        raise ValueError(f"{text!r} is not a whole number")
    if not low <= int(text) <= high:
        raise ValueError(f"{text!r} is not between {low} and {high}")
    return int(text)


def _parse_optional_count(text):
    return _parse_int(text, 1) if text else None


def _parse_copies(text):
    return None if text in ("", "all") else _parse_int(text, 1)


def _parse_calls(text):
    calls = tuple(part.strip() for part in text.split(";") if part.strip())
    for call in calls:
        if not CALL_PATTERN.fullmatch(call):
            raise ValueError(f"{call!r} is not METHOD /path-prefix")
    return calls


_PARSERS = {
    "service": {
        "name": _parse_name,
        "type": _choice_parser("engine", "plain"),
        "max_in_flight": _parse_optional_count,
        "max_queue": _parse_optional_count,
        "policy": lambda text: _choice_parser("time", "bytes")(text or "time"),
        "max_out": _parse_optional_share,
        "non_idempotent": _parse_calls,
    },
    "version": {
        "name": _parse_name,
        "service": _parse_name,
        "manifest": _parse_sha256,
        "base": _parse_optional_name,
        "weight": lambda text: _parse_number(text, 0, above=False),
        "copies": _parse_copies,
    },
    "backend": {
        "name": _parse_name,
        "service": _parse_name,
        "weight": lambda text: _parse_number(text, 0, above=False),
    },
    "customer": {
        "name": _parse_name,
        "key_sha256": _parse_sha256,
        "weight": lambda text: _parse_number(text, 0, above=True),
        "rate_per_s": lambda text: _parse_number(text, 0, above=True) if text else None,
        "max_in_flight": _parse_optional_count,
        "priority": lambda text: _parse_int(text, 0, 9) if text else 0,
    },
    "link": {
        "name": _choice_parser("origin", "vm", "region"),
        "bytes_per_s": lambda text: _parse_int(text, 1),
    },
}


def is_non_idempotent(service_row, method, path):
    """Return whether a call matches an entry of `non_idempotent`."""
    for call in service_row.non_idempotent:
        listed, _, prefix = call.partition(" ")
        if method == listed and path.startswith(prefix):
            return True
    return False


def find_inconsistencies(all_rows, index=None):
    """Yield (row, column, reason) for each inconsistency between rows.

    `index` maps row keys to the rows, if the caller has such a dict.
    """
    rows = index or {row_key(row): row for row in all_rows}
    weights = {}
    keys = {}
    for row in rows.values():
        if row.kind in ("version", "backend"):
            service = rows.get(("service", row.service, ""))
            if service is None:
                yield row, "service", f"unknown service {row.service!r}"
            elif row.kind == "version" and service.type == "plain":
                yield row, "service", f"{row.service!r} is plain and has no versions"
        if row.kind == "version":
            yield from _base_inconsistencies(rows, row)
            total, _ = weights.get(row.service, (0.0, row))
            weights[row.service] = (total + row.weight, row)
        if row.kind == "customer":
            other = keys.setdefault(row.key_sha256, row)
            if other is not row:
                yield row, "key_sha256", f"also the key of customer {other.name!r}"
    for service, (total, row) in weights.items():
        if total <= 0:
            yield row, "weight", f"weights of the versions of {service!r} sum to zero"


def _base_inconsistencies(rows, row):
    if not row.base:
        return
    base = rows.get(("version", row.base, row.service))
    if base is None:
        yield row, "base", f"unknown version {row.base!r} of {row.service!r}"
    elif base.base:
        yield row, "base", f"{row.base!r} is itself an adapter"
