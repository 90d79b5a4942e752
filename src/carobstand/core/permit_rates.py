"""Rates and lifetimes of permits for servers that limit all entries together.

Load pattern: as in `core.permits`. The rates of the entry that grants, of its deputy
and of isolated entries together stay below one and a half times a limit; those of a
cold server within the number of requests that it allows in any second.
"""

import enum
import functools

import attrs

from carobstand.core import rendezvous

PERMIT_MIN_S = 0.5
PERMIT_MAX_S = 2.0
"""Time after its grant for which a permit may be used: the time in which the limit
allows one request, within these bounds. An entry with few callers can then use it."""

PROBE_RATE = 0.2
"""Minimum rate in requests/s. A server that accepts nothing could not withdraw its
limit, as it names and withdraws it in responses only."""

BURST_REQUESTS = 1.0
BURST_S = 0.1
"""Permits that accumulate while none are requested: a number, plus the permits of this
time at the rate of the limit."""

STALE_SHARE = 0.5
"""Share of the limit that an entry grants while its list of entries may be outdated:
another entry may be granting permits of the same server."""

DEPUTY_SHARE = 0.25
"""Share of the limit that the deputy grants."""

ALONE_SHARE = 0.1
"""Share of the limit that all entries together use without an entry that grants."""

COLD_WINDOW_S = 1.0
"""Length of the sliding window in which the requests to a cold server are counted."""

COLD_PERMIT_MIN_S = 0.25
"""Minimum lifetime of a permit for a cold server. The next request of an entry with
four callers a second then comes in time to use it."""

COLD_TRANSIT_S = 0.1
"""Time that a grant and the request sent with it take in addition. A permit for a cold
server that took longer to arrive lives that much shorter."""

COLD_STALE_SHARE = 0.25
"""Like `STALE_SHARE`, for a cold server: what the first entry and one that joined
unnoticed grant together must fit into a single second."""

JOINED_SHARE = 0.25
"""Share of the limit that an entry grants that has just joined, while the one that
granted before may not know of it and grants the whole limit."""

UNLISTED_SHARE = 0.1
"""Share of the limit that an entry grants that neither finds its own record in the
store nor knows another entry. Others may be in the same state: together, fifteen of
them stay within one and a half times the limit."""

CONFIRMING_ENTRIES = 2
"""Entries next in the order that must know of one that joined before it grants the full
limit of a server. One of them granted before, unless more joined together."""

_SHARES = 1.0 + DEPUTY_SHARE + ALONE_SHARE
_BURSTS = 2 * BURST_REQUESTS + 1
"""Permits that accumulate, except those of `BURST_S`: of the first entry, of the
deputy, and one of an isolated entry."""

_BURST_RATE_S = (1.0 + DEPUTY_SHARE) * BURST_S


class Rank(enum.IntEnum):
    """Place of an entry in the order in which entries grant a server's permits."""

    FIRST = 0
    DEPUTY = 1


def granting_entries(server_id, vms, count=2):
    """Return the VMs of the entry that grants the permits of a server and its deputy.

    Returns
    -------
    vms : list of str
        At most two, or as many as `count`, in the order in which they take over.
    """
    key = f"limit/{server_id}"
    return sorted(vms, key=lambda vm: rendezvous.score(key, vm))[:count]


def rate(limit, share=1.0):
    """Return the permits per second for a share of a limit."""
    return share * max(limit, PROBE_RATE)


def permit_s(limit):
    """Return the time for which a permit may be used after its grant."""
    return min(PERMIT_MAX_S, max(PERMIT_MIN_S, 1 / rate(limit)))


@attrs.frozen
class Warmup:
    """What a cold server takes from all entries together.

    Attributes
    ----------
    sustained_per_s : float
        Requests per second that it sustains.
    allowed : float
        Maximum number of requests in any second.
    """

    sustained_per_s: float
    allowed: float


@functools.lru_cache(maxsize=4096)
def cold_limit(warmup):
    """Return the limit of a cold server in requests per second.

    It is the highest one, up to the sustained rate, with which the first entry, the
    deputy and isolated entries, each with its burst, stay within the allowed number.
    """
    span_s = COLD_WINDOW_S + COLD_PERMIT_MIN_S + COLD_TRANSIT_S
    most = (warmup.allowed - _BURSTS) / (_SHARES * span_s + _BURST_RATE_S)
    return max(PROBE_RATE, min(warmup.sustained_per_s, most))


@functools.lru_cache(maxsize=4096)
def cold_permit_s(limit, warmup):
    """Return the lifetime of a permit for a cold server with an effective limit.

    With a low limit, permits may live longer than the minimum.
    """
    granted = rate(limit)
    left = warmup.allowed - _BURSTS - _BURST_RATE_S * granted
    most_s = left / (_SHARES * granted) - COLD_WINDOW_S - COLD_TRANSIT_S
    return max(COLD_PERMIT_MIN_S, min(permit_s(limit), most_s))
