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

import math

import attrs

from carobstand import errors
from carobstand.core import permit_grants, permit_rates

DEMAND_S = 0.5
"""Time after a request was withheld in which permits are requested."""

REPLY_TIMEOUT_S = 0.25
"""Time after which a request for permits counts as unanswered; many round trips between
regions."""

MAX_UNANSWERED = 2
"""Consecutive unanswered requests after which an entry is taken to be unreachable."""

RECHECK_S = 1.0
"""Interval of requests to an unreachable entry."""

HELD_S = 0.1
"""Permits that an entry holds in advance: those of this time at the rate at which it
uses them."""

USE_WINDOW_S = 1.0
"""Time constant of the average rate at which an entry uses permits."""

SENT_KEPT = 16
"""Requests whose times are kept; a reply to an older one brings no permit for a cold
server."""


@attrs.define(eq=False)
class Inquiry:
    """Requests of this entry for permits to one entry that grants them.

    Attributes
    ----------
    vm : str
        VM to which the last request was sent.
    number : int
        Number of the last request.
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
    sent: dict = attrs.field(factory=dict)
    is_answered: bool = True
    unanswered: int = 0
    next_at: float = -math.inf
    refresh_s: float = permit_grants.REFRESH_MIN_S
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
    inquiries: dict = attrs.field(
        factory=lambda: {rank: Inquiry() for rank in permit_rates.Rank}
    )
    used_per_s: float = 0.0
    used_at: float = -math.inf
    credit: float = 0.0
    credited_at: float | None = None
    is_cold: bool = False


@attrs.frozen
class Permit:
    """A permit that was taken for one request.

    Attributes
    ----------
    expires_at : float
    is_cold : bool
        Whether it was granted for a cold server.
    """

    expires_at: float
    is_cold: bool


def is_valid(permit, is_cold, now):
    """Whether a request may still be sent with a `Permit`, or None for no permit.

    Parameters
    ----------
    permit : Permit or None
    is_cold : bool
        Whether the server is cold now; permits from before live too long for it.
    now : float
    """
    if permit is None or (is_cold and not permit.is_cold):
        return False
    return now < permit.expires_at


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
    """Return the `Permit` that `held` counted, even if it has expired since.

    Raises
    ------
    InvariantError
        If there is none: the limit would be exceeded.
    """
    if not holder.expiries:
        raise errors.InvariantError("no permit is held", step="permits.take")
    permit = Permit(holder.expiries.pop(0), holder.is_cold)
    holder.used_per_s = use_rate(holder, now) + 1 / USE_WINDOW_S
    holder.used_at, holder.is_wanted = now, False
    return permit


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
    if rank is permit_rates.Rank.DEPUTY and not is_unreachable(
        holder, permit_rates.Rank.FIRST
    ):
        return None
    inquiry = holder.inquiries[rank]
    if now < inquiry.next_at:
        return None
    if not inquiry.is_answered:
        inquiry.unanswered += 1
    inquiry.number += 1
    inquiry.is_answered = False
    inquiry.sent[inquiry.number] = now
    inquiry.sent.pop(inquiry.number - SENT_KEPT, None)
    is_down = inquiry.unanswered >= MAX_UNANSWERED
    inquiry.next_at = now + (RECHECK_S if is_down else REPLY_TIMEOUT_S)
    return inquiry.number


def follow_order(holder, vms):
    """Ask at once where another entry has taken a rank; `vms` are in order."""
    for rank, vm in zip(permit_rates.Rank, vms, strict=False):
        inquiry = holder.inquiries[rank]
        if inquiry.vm and inquiry.vm != vm:
            inquiry.is_answered, inquiry.unanswered = True, 0
            inquiry.next_at = -math.inf
        inquiry.vm = vm


def next_due_at(holder):
    """Return the time of the next request for permits, if there is demand."""
    ranks = [permit_rates.Rank.FIRST]
    if is_unreachable(holder, permit_rates.Rank.FIRST):
        ranks.append(permit_rates.Rank.DEPUTY)
    return min(holder.inquiries[rank].next_at for rank in ranks)


def cold_expiry(holder, rank, number, waited_s, lifetime_s, now):
    """Return the time at which a permit for a cold server expires that arrives now.

    The permit was granted `waited_s` after this entry's request arrived at the other
    one, thus not before that time after the request was sent. A process that was
    suspended since would use it too late otherwise.
    """
    sent_at = holder.inquiries[rank].sent.get(number, -math.inf)
    return min(
        now + lifetime_s, sent_at + waited_s + lifetime_s + permit_rates.COLD_TRANSIT_S
    )


def receive(holder, rank, number, expiries, expected_s, refresh_after_s, now):
    """Process the reply to a request for permits.

    Replies to a request that was sent long ago are ignored: this process or the other
    one was suspended meanwhile, and the permits may have expired. That holds also if
    another request has been sent since, before the reply was read.

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
    max_age_s = permit_grants.CLAIM_REFRESHES * inquiry.refresh_s
    # Requests that are no longer kept are older than those that are.
    oldest_at = next(iter(inquiry.sent.values()), -math.inf)
    sent_at = inquiry.sent.get(number, oldest_at)
    if number > inquiry.number or now - sent_at > max_age_s:
        return
    inquiry.refresh_s = min(
        permit_grants.REFRESH_MAX_S, max(permit_grants.REFRESH_MIN_S, refresh_after_s)
    )
    inquiry.is_answered, inquiry.unanswered = True, 0
    inquiry.interval_s = expected_s
    holder.expiries = sorted(holder.expiries + expiries)
    # After a grant, the next request is sent as soon as there is demand.
    inquiry.next_at = now if expiries else now + inquiry.refresh_s
    if rank is permit_rates.Rank.FIRST:
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
    if not all(is_unreachable(holder, rank) for rank in permit_rates.Rank):
        holder.credited_at = None
        return
    if holder.credited_at is None:
        holder.credit, holder.credited_at = draw(), now
    accrued = (
        permit_rates.rate(limit, permit_rates.ALONE_SHARE)
        * (now - holder.credited_at)
        / max(1, entries)
    )
    holder.credit, holder.credited_at = holder.credit + accrued, now
    if holder.credit >= 1:
        holder.credit = 0.0
        holder.expiries.append(now + lifetime_s)
        holder.expiries.sort()


def reported_interval_s(holder):
    """Return the expected time between two permits for this entry, or None."""
    first, deputy = (holder.inquiries[rank] for rank in permit_rates.Rank)
    if not is_unreachable(holder, permit_rates.Rank.FIRST):
        return first.interval_s
    return (
        None if is_unreachable(holder, permit_rates.Rank.DEPUTY) else deputy.interval_s
    )
