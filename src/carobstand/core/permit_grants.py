"""Grants of permits by one entry to all entries that have requests for a server.

Load pattern: as in `core.permits`. Permits are granted at the rate of the limit, in
turn, so that an entry with few requests gets its part beside one with many.
"""

import math

import attrs

from carobstand.core import permit_rates

REFRESH_MIN_S = 0.3
REFRESH_PER_CLAIM_S = 0.02
REFRESH_MAX_S = 5.0
"""Interval at which an entry repeats a request that was not granted yet: longer with
more entries, so that the entry that grants receives a bounded number of requests."""

FRESH_S = 0.5
"""Time after a request for permits in which it is granted before older ones, whose
callers may have stopped waiting."""

TURN_MEMORY_S = 60.0
"""Time for which an entry that grants remembers whose turn it was."""

CLAIM_REFRESHES = 2.5
"""Refresh intervals after which a request that was not repeated is dropped."""

ROUNDING = 1e-6
"""Part of a permit by which rounding of times may leave the accrued ones short."""


@attrs.define(eq=False)
class Claim:
    """Request of an entry for permits that is not fully granted yet.

    Attributes
    ----------
    address : str
        Where the entry receives replies.
    number : int
        Number of the entry's latest request.
    wanted : int
    received_at : float
    expires_at : float
    """

    address: str
    number: int
    wanted: int
    received_at: float
    expires_at: float


@attrs.define(eq=False)
class Granter:
    """Permits of one server that this entry grants.

    Attributes
    ----------
    tokens : float
        Permits that may be granted now.
    refilled_at : float or None
    claims : dict of str to Claim
        By VM of the entry.
    granted_at : dict of str to float
        Time of the last grant, by VM of the entry.
    """

    tokens: float = 0.0
    refilled_at: float | None = None
    claims: dict = attrs.field(factory=dict)
    granted_at: dict = attrs.field(factory=dict)


def claim(granter, vm, address, number, wanted, now):
    """Record that an entry wants permits; replaces its earlier request."""
    known = granter.claims.get(vm)
    if known is not None and number < known.number:
        return
    expires_at = now + CLAIM_REFRESHES * refresh_s(granter)
    granter.claims[vm] = Claim(address, number, wanted, now, expires_at)


def refresh_s(granter):
    """Return the time after which an entry repeats its request."""
    return min(REFRESH_MAX_S, REFRESH_MIN_S + REFRESH_PER_CLAIM_S * len(granter.claims))


def grant(granter, permits_per_s, now):
    """Grant permits to the entries that wait for them, in turn.

    Returns
    -------
    granted : list of (str, Claim)
        VM and request of each entry that gets one permit.
    """
    _refill(granter, permits_per_s, now)
    for vm in [vm for vm, item in granter.claims.items() if item.expires_at <= now]:
        del granter.claims[vm]
    granted = []
    while granter.tokens >= 1 - ROUNDING and granter.claims:
        vm = _next_vm(granter, now)
        item = granter.claims[vm]
        granter.tokens -= 1
        item.wanted -= 1
        if item.wanted <= 0:
            del granter.claims[vm]
        granter.granted_at[vm] = now
        granted.append((vm, item))
    return granted


def _next_vm(granter, now):
    """Return the entry that waits whose last grant is the longest ago."""
    turns = granter.granted_at
    for vm in [vm for vm, at in turns.items() if now - at > TURN_MEMORY_S]:
        del turns[vm]
    claims = granter.claims.items()
    fresh = [vm for vm, item in claims if now - item.received_at <= FRESH_S]
    return min(fresh or granter.claims, key=lambda vm: turns.get(vm, -math.inf))


def _refill(granter, permits_per_s, now):
    # A granter begins with no permits: an earlier one may just have granted some.
    since = now if granter.refilled_at is None else granter.refilled_at
    granter.refilled_at = max(since, now)
    added = max(0.0, now - since) * permits_per_s
    burst = permit_rates.BURST_REQUESTS + permit_rates.BURST_S * permits_per_s
    granter.tokens = min(burst, granter.tokens + added)


def next_grant_at(granter, permits_per_s):
    """Return the time of the next permit for an entry that waits, else infinity."""
    if not granter.claims or granter.refilled_at is None:
        return math.inf
    return granter.refilled_at + max(0.0, 1 - granter.tokens) / permits_per_s


def interval_s(granter, permits_per_s):
    """Return the expected time between two permits for each entry that waits."""
    return max(1, len(granter.claims)) / permits_per_s
