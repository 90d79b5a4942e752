"""Bounds of the fields of datagrams and of changes between the programs.

What decodes is used in arithmetic, as a destination and in further messages. A message
that is out of bounds is rejected as a whole where it is decoded.
"""

import math

from carobstand import errors
from carobstand.core import deployment
from carobstand.wire.gen_fleet import ttypes

MAX_WANTED = 100_000
"""Most permits that an entry asks for at once, a multiple of the requests that all
entries get in a second. Permits are granted one after the other."""

MAX_RATE = 1e15
"""Highest rate of a server in requests/s, which is that of a configuration."""

MAX_NAME_BYTES = 256
"""Longest name or identifier; keys of the store have at most 200 bytes."""

MAX_SLOWNESS = 1e15

_ADDRESSES = {
    ttypes.EngineLoad: ("address",),
    ttypes.PermitRequest: ("address",),
    ttypes.EntryJoined: ("address",),
    ttypes.DemandReport: ("address",),
    ttypes.PartReport: ("address",),
    ttypes.PartQuery: ("address",),
}
"""Fields with the address of a process to which something is sent, all required."""

_REQUIRED = {
    ttypes.EngineLoad: ("number", "running", "waiting"),
    ttypes.FailedRun: ("fingerprint", "server_start"),
    ttypes.PermitRequest: ("server_id", "vm"),
    ttypes.PermitReply: ("server_id",),
    ttypes.EntryJoined: ("vm",),
    ttypes.EntryLeaving: ("vm",),
    ttypes.DemandReport: ("vm", "name", "number", "met", "late", "rejected", "served"),
    ttypes.DemandSummary: ("name", "number", "refresh_ms", "capacity"),
    ttypes.DemandRow: ("rank", "amount"),
    ttypes.NewsReply: ("age_ms", "troubled_ms"),
    ttypes.NewsItem: ("key",),
}

_UNIX_MS = (0, 2**53)
_AT_LEAST_0 = (0, math.inf)

_STATEMENT = {
    "started_ms": _UNIX_MS,
    "limit": (0, MAX_RATE),
    "named_ms": (-1, math.inf),
    "cold_ms": _AT_LEAST_0,
    "sustained_per_s": (0, MAX_RATE),
    "cold_named_ms": _AT_LEAST_0,
    "number": _AT_LEAST_0,
}
"""What entries tell each other of a server; `named_ms` is -1 if it named no limit."""

_RANGES = {
    ttypes.EngineLoad: {
        "started_ms": _UNIX_MS,
        "number": _AT_LEAST_0,
        "running": _AT_LEAST_0,
        "waiting": _AT_LEAST_0,
        "slowness": (-MAX_SLOWNESS, MAX_SLOWNESS),
        "version": _AT_LEAST_0,
        "first_layer": _AT_LEAST_0,
        "end_layer": _AT_LEAST_0,
        "load_in_ms": (-1, math.inf),
        "held_tokens": (0, 2**53),
        "receiving_pieces": _AT_LEAST_0,
    },
    ttypes.PermitRequest: {**_STATEMENT, "wanted": (0, MAX_WANTED)},
    ttypes.PermitReply: {
        **_STATEMENT,
        "granted": (0, MAX_WANTED),
        "interval_ms": _AT_LEAST_0,
        "refresh_ms": _AT_LEAST_0,
        "waited_ms": _AT_LEAST_0,
    },
    ttypes.DemandReport: {
        name: _AT_LEAST_0 for name in ("number", "met", "late", "rejected", "served")
    },
    ttypes.DemandSummary: {
        name: _AT_LEAST_0
        for name in ("number", "refresh_ms", "capacity", "marginal_rank")
    },
    ttypes.DemandRow: {"rank": _AT_LEAST_0, "amount": _AT_LEAST_0},
    ttypes.NewsReply: {
        name: _AT_LEAST_0
        for name in ("revision", "age_ms", "troubled_ms", "unreachable_ms", "era")
    },
    ttypes.NewsItem: {"revision": _AT_LEAST_0, "age_ms": _AT_LEAST_0},
}
"""Smallest and largest value by field; integers have the bounds of their type, too."""

_ROWS = {
    ttypes.DemandReport: "rows",
    ttypes.DemandSummary: "rows",
    ttypes.NewsReply: "items",
}


_RANGES_OF = {
    kind: tuple((name, *bounds) for name, bounds in ranges.items())
    for kind, ranges in _RANGES.items()
}


def check(message):
    """Raise WireError if a field of a message is missing or out of bounds."""
    kind, values = type(message), vars(message)
    for name in _REQUIRED.get(kind, ()):
        value = values[name]
        is_name = isinstance(value, (str, bytes))
        if value is None or (is_name and not 0 < len(value) <= MAX_NAME_BYTES):
            raise _error(message, name)
    for name, least, most in _RANGES_OF.get(kind, ()):
        value = values[name]
        # Not-a-number is in no range.
        if value is not None and not least <= value <= most:
            raise _error(message, name)
    for name in _ADDRESSES.get(kind, ()):
        if not deployment.is_address(values[name] or ""):
            raise _error(message, name)
    if kind in _ROWS:
        for row in values[_ROWS[kind]] or ():
            check(row)


def _error(message, name):
    value = f"{getattr(message, name)!r:.80}"
    return errors.WireError(
        f"{type(message).__name__}: {name} is {value}", step="fleet.decode"
    )
