"""Permits to send requests to a backend server that limits all entries together.

Load pattern: an overloaded server names a limit, often below one request per second for
each entry, while the callers are spread unevenly over the entries.

One entry, chosen by rendezvous hashing, grants the permits of a server at the rate of
its limit, in turn, to the entries that have requests for it. A permit allows one
request and expires soon, so that permits neither accumulate nor stay with idle entries.
If that entry does not reply, the next one in the order, the deputy, grants a part of
the limit; without both, each entry uses a small equal part alone. The rates of all
three together stay below one and a half times the limit.

A cold server has a limit, too, which ends at a known time. Its requests are counted in
any second rather than in four, so its permits live shorter, and the rate is the highest
one at which all three together stay within the allowed number.
"""

import enum
import functools
import math

import attrs

from carobstand import errors
from carobstand.core import rendezvous

PERMIT_MIN_S = 0.5
PERMIT_MAX_S = 2.0
"""Time after its grant for which a permit may be used: the time in which the limit
allows one request, within these bounds. An entry with few callers can then use it."""

DEMAND_S = 0.5
"""Time after a request was withheld in which permits are requested."""

REPLY_TIMEOUT_S = 0.25
"""Time after which a request for permits counts as unanswered; many round trips between
regions."""

MAX_UNANSWERED = 2
"""Consecutive unanswered requests after which an entry is taken to be unreachable."""

RECHECK_S = 1.0
"""Interval of requests to an unreachable entry."""

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

PROBE_RATE = 0.2
"""Minimum rate in requests/s. A server that accepts nothing could not withdraw its
limit, as it names and withdraws it in responses only."""

BURST_REQUESTS = 1.0
BURST_S = 0.1
"""Permits that accumulate while none are requested: a number, plus the permits of this
time at the rate of the limit."""

HELD_S = 0.1
"""Permits that an entry holds in advance: those of this time at the rate at which it
uses them."""

USE_WINDOW_S = 1.0
"""Time constant of the average rate at which an entry uses permits."""

SENT_KEPT = 16
"""Requests whose times are kept; a reply to an older one brings no permit for a cold
server."""

ROUNDING = 1e-6
"""Part of a permit by which rounding of times may leave the accrued ones short."""

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
unnoticed grant together must fit into a single second. Also the share that an entry
grants that has just joined, while earlier ones may not know of it."""

CONFIRMING_ENTRIES = 2
"""Entries next in the order that must know of one that joined before it grants the full
limit of a cold server. One of them granted before, unless more joined together."""

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
    burst = BURST_REQUESTS + BURST_S * permits_per_s
    granter.tokens = min(burst, granter.tokens + added)


def next_grant_at(granter, permits_per_s):
    """Return the time of the next permit for an entry that waits, else infinity."""
    if not granter.claims or granter.refilled_at is None:
        return math.inf
    return granter.refilled_at + max(0.0, 1 - granter.tokens) / permits_per_s


def interval_s(granter, permits_per_s):
    """Return the expected time between two permits for each entry that waits."""
    return max(1, len(granter.claims)) / permits_per_s


@attrs.define(eq=False)
class Inquiry:
    """Requests of this entry for permits to one entry that grants them.

    Attributes
    ----------
    vm : str
        VM to which the last request was sent.
    number : int
        Number of the last request.
    sent_at : float
        Time of the last request.
    sent : dict of int to float
        Time of each of the last requests, by number.
    is_answered : bool
        Whether the last request was answered.
    unanswered : int
        Consecutive unanswered requests.
    next_at : float
        Time of the next request.
    refresh_s : float
        Time after which a request is to be repeated, as last reported.
    interval_s : float or None
        Expected time between two permits, as last reported.
    """

    vm: str = ""
    number: int = 0
    sent_at: float = -math.inf
    sent: dict = attrs.field(factory=dict)
    is_answered: bool = True
    unanswered: int = 0
    next_at: float = -math.inf
    refresh_s: float = REFRESH_MIN_S
    interval_s: float | None = None


@attrs.define(eq=False)
class Holder:
    """Permits that this entry holds for one server, and its requests for more.

    Attributes
    ----------
    expiries : list of float
        Times at which the permits expire, ascending.
    wanted_at : float
        Time at which a request last was withheld for want of a permit.
    is_wanted : bool
        Whether no permit was used since.
    inquiries : dict of Rank to Inquiry
    used_per_s : float
        Average rate at which permits were used, at the time `used_at`.
    used_at : float
        Time at which the last permit was used.
    credit : float
        Part of a permit that accrued to this entry while it was alone.
    credited_at : float or None
        Time up to which it accrued; None while another entry grants permits.
    is_cold : bool
        Whether the server was cold when the permits were last counted.
    """

    expiries: list = attrs.field(factory=list)
    wanted_at: float = -math.inf
    is_wanted: bool = False
    inquiries: dict = attrs.field(factory=lambda: {rank: Inquiry() for rank in Rank})
    used_per_s: float = 0.0
    used_at: float = -math.inf
    credit: float = 0.0
    credited_at: float | None = None
    is_cold: bool = False


def set_cold(holder, is_cold):
    """Record whether the server is cold; permits from before live too long for it."""
    if is_cold and not holder.is_cold:
        holder.expiries.clear()
    holder.is_cold = is_cold


def held(holder, now):
    """Return the number of valid permits."""
    while holder.expiries and holder.expiries[0] <= now:
        del holder.expiries[0]
    return len(holder.expiries)


def take(holder, now):
    """Use the permit that `held` counted, even if it has expired since.

    Raises
    ------
    InvariantError
        If there is none: the limit would be exceeded.
    """
    if not holder.expiries:
        raise errors.InvariantError("no permit is held", step="permits.take")
    del holder.expiries[0]
    holder.used_per_s = use_rate(holder, now) + 1 / USE_WINDOW_S
    holder.used_at, holder.is_wanted = now, False


def withhold(holder, now):
    """Record that a request has to wait; return whether permits are to be requested."""
    is_known = holder.is_wanted and now - holder.wanted_at <= DEMAND_S
    holder.wanted_at, holder.is_wanted = now, True
    return not is_known


def use_rate(holder, now):
    """Return the average rate in 1/s at which this entry uses permits."""
    return holder.used_per_s * math.exp((holder.used_at - now) / USE_WINDOW_S)


def wanted(holder, limit, now):
    """Return how many permits to request, 0 without demand."""
    if now - holder.wanted_at > DEMAND_S:
        return 0
    in_advance = int(HELD_S * min(limit, use_rate(holder, now)))
    return max(0, int(holder.is_wanted) + in_advance - held(holder, now))


def is_unreachable(holder, rank):
    """Whether the entry of a rank leaves requests for permits unanswered."""
    return holder.inquiries[rank].unanswered >= MAX_UNANSWERED


def due(holder, rank, now):
    """Return the number of a request to send now to the entry of a rank, or None.

    The deputy is asked only while the first entry is unreachable.
    """
    if rank is Rank.DEPUTY and not is_unreachable(holder, Rank.FIRST):
        return None
    inquiry = holder.inquiries[rank]
    if now < inquiry.next_at:
        return None
    if not inquiry.is_answered:
        inquiry.unanswered += 1
    inquiry.number += 1
    inquiry.sent_at, inquiry.is_answered = now, False
    inquiry.sent[inquiry.number] = now
    inquiry.sent.pop(inquiry.number - SENT_KEPT, None)
    is_down = inquiry.unanswered >= MAX_UNANSWERED
    inquiry.next_at = now + (RECHECK_S if is_down else REPLY_TIMEOUT_S)
    return inquiry.number


def follow_order(holder, vms):
    """Ask at once where another entry has taken a rank; `vms` are in order."""
    for rank, vm in zip(Rank, vms, strict=False):
        inquiry = holder.inquiries[rank]
        if inquiry.vm and inquiry.vm != vm:
            inquiry.is_answered, inquiry.unanswered = True, 0
            inquiry.next_at = -math.inf
        inquiry.vm = vm


def next_due_at(holder):
    """Return the time of the next request for permits, if there is demand."""
    ranks = [Rank.FIRST]
    if is_unreachable(holder, Rank.FIRST):
        ranks.append(Rank.DEPUTY)
    return min(holder.inquiries[rank].next_at for rank in ranks)


def cold_expiry(holder, rank, number, waited_s, lifetime_s, now):
    """Return the time at which a permit for a cold server expires that arrives now.

    The permit was granted `waited_s` after this entry's request arrived at the other
    one, thus not before that time after the request was sent. A process that was
    suspended since would use it too late otherwise.
    """
    sent_at = holder.inquiries[rank].sent.get(number, -math.inf)
    return min(now + lifetime_s, sent_at + waited_s + lifetime_s + COLD_TRANSIT_S)


def receive(holder, rank, number, expiries, expected_s, refresh_after_s, now):
    """Process the reply to a request for permits.

    Replies to a request that was sent long ago are ignored: this process or the other
    one was suspended meanwhile, and the permits may have expired.

    Parameters
    ----------
    holder : Holder
    rank : Rank
    number : int
        Number of the request.
    expiries : list of float
        Times at which the granted permits expire.
    expected_s : float or None
        Expected time between two permits.
    refresh_after_s : float
        Time after which the request is to be repeated if nothing was granted.
    now : float
    """
    inquiry = holder.inquiries[rank]
    max_age_s = CLAIM_REFRESHES * inquiry.refresh_s
    if number > inquiry.number or now - inquiry.sent_at > max_age_s:
        return
    inquiry.refresh_s = min(REFRESH_MAX_S, max(REFRESH_MIN_S, refresh_after_s))
    inquiry.is_answered, inquiry.unanswered = True, 0
    inquiry.interval_s = expected_s
    holder.expiries = sorted(holder.expiries + expiries)
    # After a grant, the next request is sent as soon as there is demand.
    inquiry.next_at = now if expiries else now + inquiry.refresh_s
    if rank is Rank.FIRST:
        holder.credited_at = None


def refused(holder, rank):
    """Process a reply of an entry that does not grant the permits of the server."""
    inquiry = holder.inquiries[rank]
    inquiry.is_answered, inquiry.unanswered = True, MAX_UNANSWERED


def accrue_alone(holder, limit, lifetime_s, entries, now, draw):
    """Add this entry's own part of the limit while no entry grants permits.

    Parameters
    ----------
    holder : Holder
    limit : float
    lifetime_s : float
        Lifetime of a permit.
    entries : int
        Number of entries that may do the same, including this one.
    now : float
    draw : callable without arguments
        Returns a random number, uniform in [0, 1). The first permit comes at a random
        time, as all entries may have lost the others at the same time.
    """
    if not all(is_unreachable(holder, rank) for rank in Rank):
        holder.credited_at = None
        return
    if holder.credited_at is None:
        holder.credit, holder.credited_at = draw(), now
    accrued = rate(limit, ALONE_SHARE) * (now - holder.credited_at) / max(1, entries)
    holder.credit, holder.credited_at = holder.credit + accrued, now
    if holder.credit >= 1:
        holder.credit = 0.0
        holder.expiries.append(now + lifetime_s)
        holder.expiries.sort()


def reported_interval_s(holder):
    """Return the expected time between two permits for this entry, or None."""
    first, deputy = (holder.inquiries[rank] for rank in Rank)
    if not is_unreachable(holder, Rank.FIRST):
        return first.interval_s
    return None if is_unreachable(holder, Rank.DEPUTY) else deputy.interval_s
