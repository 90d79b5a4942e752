"""Fair shares of a service's capacity over all entries.

Load pattern: more requests than the servers can answer on time, for seconds, unevenly
spread over entries, priorities and customers.

One entry, chosen by rendezvous hashing, adds up the demand that the entries report and
compares it with the capacity. Ranks (priorities) are admitted in order. The first one
that does not fit is the marginal rank; its customers get max-min fair shares of what
is left. All demand is measured by its cost in server time and not by the number of
requests. Each entry then draws which requests of a customer are admitted, whatever
their size and their entry. Requests that are not admitted may still use spare capacity.
"""

import collections
import math

import attrs

from carobstand.core import rendezvous

RATE_WINDOW_S = 1.0
"""Time constant of measured rates. An overload lasts seconds."""

REPORT_MIN_S = 0.5
REPORT_PER_ENTRY_S = 0.03
"""Interval of reports while a service is overloaded: longer with more entries, so that
the entry that shares the capacity receives a bounded number."""

IDLE_REPORT_S = 4.0
"""Shortest interval of reports of a service that is not overloaded, while it gets
requests."""

CHANGE_FACTOR = 1.5
"""Change of the demand that is reported before `IDLE_REPORT_S` has passed."""

REPORT_INTERVALS = 2.5
"""Intervals after which a report or a summary is outdated; allows for two that are
lost."""

MAX_UNANSWERED = 2
"""Unanswered reports after which the next entry in the order is asked."""

RECHECK_S = 8.0
"""Time after which an entry that did not answer is asked again, which leaves this one
without a summary for up to a second."""

MAX_ROWS = 24
"""Rows of a report, about 500 bytes. Smaller customers of a rank are added up."""

MAX_PIECES = 1000
"""Customers as which an added-up row counts at most, to bound the work for a report."""

OVERLOADED_SHARE = 0.1
"""Share of late and rejected requests from which capacity is shared."""

MIN_MISSED = 2
"""Late and rejected requests at an entry from which it reports more often; there are
single ones without overload."""

HIGH_LATE_SHARE = 0.12
LOW_LATE_SHARE = 0.06
"""Shares of late answers among the admitted requests from which the estimate of the
capacity falls, and up to which it rises."""

DECREASE = 0.92
INCREASE = 1.04
"""Factors on the estimate, once for each `STEP_S`."""

MAX_OVER_DEMAND = 2.0
"""Highest estimate of the capacity of servers without a latency model, relative to the
demand for them."""

MIN_OF_SERVED = 0.4
"""Lowest such estimate, relative to what was answered when the overload began. What is
answered later is no bound, as it falls with the estimate: answers that are late for
another cause than the load would let both fall to nothing."""

MIN_CAPACITY = 0.1
"""Lowest such estimate, in s of server time per s: from 0 it could not rise again."""

STEP_S = 0.5
"""Interval at which the estimate is corrected; a report's outcomes are as old."""

INITIAL_SHARE = 0.9
"""Part of the servers' full capacity that can be used on time, in replays of engines
with reports that are 0.1 to 0.3 s old."""

MIN_SHARE = 0.4
MAX_SHARE = 1.3
"""Bounds of that part."""


def sharing_entries(service, vms):
    """Return the VMs of the entries that may share a service's capacity, in order."""
    key = f"demand/{service}"
    return sorted(vms, key=lambda vm: rendezvous.score(key, vm))


@attrs.define(eq=False)
class Rates:
    """Rates by key, as sums that decay with `RATE_WINDOW_S`."""

    sums: dict = attrs.field(factory=dict)


def add(rates, key, amount, now):
    """Count an amount at a key."""
    total, updated = rates.sums.get(key, (0.0, now))
    decayed = total * math.exp(min(0.0, updated - now) / RATE_WINDOW_S)
    rates.sums[key] = decayed + amount, max(updated, now)


def per_second(rates, now):
    """Return the current rates by key, and forget those that have ended."""
    found = {
        key: total * math.exp(min(0.0, updated - now) / RATE_WINDOW_S) / RATE_WINDOW_S
        for key, (total, updated) in rates.sums.items()
    }
    for key in [key for key, rate in found.items() if rate < 1e-4]:
        del rates.sums[key], found[key]
    return found


def largest_rows(demand):
    """Return the demand in at most about `MAX_ROWS` rows.

    Parameters
    ----------
    demand : dict of (int, str) to float
        Cost in s per s by rank and customer.

    Returns
    -------
    rows : dict of (int, str or None) to float
        The smallest customers of each rank are added up under None.
    """
    ordered = sorted(demand.items(), key=lambda item: -item[1])
    rows = collections.Counter(dict(ordered[:MAX_ROWS]))
    for (rank, _), cost in ordered[MAX_ROWS:]:
        rows[rank, None] += cost
    return dict(rows)


def split_rows(rows):
    """Return the demand of one report by customer, with the added-up rows split.

    A customer in such a row has at most the demand of the smallest named row. It counts
    as the least number of customers of equal demand, so that it is no large customer.

    Parameters
    ----------
    rows : dict of (int, str or None) to float

    Returns
    -------
    demand : list of (int, str or None, float)
        Rank, customer and cost in s per s.
    """
    named = [cost for (_, customer), cost in rows.items() if customer is not None]
    largest = min((cost for cost in named if cost > 0), default=math.inf)
    demand = []
    for (rank, customer), cost in rows.items():
        number = 1
        if customer is None:
            number = min(MAX_PIECES, max(1, math.ceil(cost / largest)))
        demand += [(rank, customer, cost / number)] * number
    return demand


@attrs.define
class Report:
    """Latest report of an entry; rates in s of server time per s.

    `met`, `late` and `rejected` are numbers of requests since the report before.
    `interval_s` is the longest time until the next one.
    """

    number: int
    rows: dict
    met: int
    late: int
    rejected: int
    served: float
    received_at: float
    interval_s: float = IDLE_REPORT_S


@attrs.define(eq=False)
class Sharing:
    """Demand for one service, at the entry that shares its capacity.

    Attributes
    ----------
    reports : dict of str to Report
        By VM of the entry.
    share : float
        Part of the servers' capacity that is used on time.
    capacity : float or None
        Estimate for servers without known capacity, in s of server time per s.
    first_served : float
        What was answered when the overload began, in s of server time per s.
    met, late : float
        Outcomes of the admitted requests since `stepped_at`.
    rejected : float
        Rejected requests since then, admitted or not.
    stepped_at : float
    is_overloaded : bool
    divided : tuple of (Shares, float or None) or None
        What `shares_now` returned last, and
    divided_at : float
        when.
    """

    reports: dict = attrs.field(factory=dict)
    share: float = INITIAL_SHARE
    capacity: float | None = None
    first_served: float = 0.0
    met: float = 0.0
    late: float = 0.0
    rejected: float = 0.0
    stepped_at: float = -math.inf
    is_overloaded: bool = False
    divided: tuple | None = None
    divided_at: float = -math.inf


def put(sharing, vm, report):
    """Store the report of an entry; return False if it is not newer.

    Datagrams overtake each other within a short time only. A smaller number that comes
    later is that of an entry that restarted or that had no demand meanwhile.
    """
    known = sharing.reports.get(vm)
    if known is not None and 0 <= known.number - report.number < 1000:
        if report.received_at - known.received_at < REPORT_MIN_S:
            return False
    sharing.reports[vm] = report
    sharing.met += report.met
    sharing.late += report.late
    sharing.rejected += report.rejected
    return True


def refresh_s(sharing):
    """Return the interval of reports under overload."""
    return max(REPORT_MIN_S, REPORT_PER_ENTRY_S * len(sharing.reports))


def idle_refresh_s(refresh_s):
    """Return the interval of reports without overload, given that under overload."""
    return max(IDLE_REPORT_S, refresh_s)


def _drop_outdated(sharing, now):
    """Forget entries that ended, whose callers go to others by now."""
    for vm, item in list(sharing.reports.items()):
        if now - item.received_at > REPORT_INTERVALS * item.interval_s:
            del sharing.reports[vm]


def shows_overload(met, late, rejected):
    """Whether the outcomes at one entry since its last report may show overload."""
    missed = late + rejected
    return missed >= max(MIN_MISSED, OVERLOADED_SHARE * (met + missed))


def step(sharing, known_capacity, now):
    """Correct the estimate of the capacity by the outcomes of admitted requests.

    Parameters
    ----------
    sharing : Sharing
    known_capacity : float or None
        Capacity of the servers, in s of server time per s; None if it is not known.
    now : float

    Returns
    -------
    capacity : float or None
        That can be used on time; None if it is not known yet.
    """
    _drop_outdated(sharing, now)
    answered = sharing.met + sharing.late
    total = answered + sharing.rejected
    if now - sharing.stepped_at >= STEP_S and total >= 10:
        missed = (sharing.late + sharing.rejected) / total
        sharing.is_overloaded = missed >= OVERLOADED_SHARE
        late = sharing.late / max(1.0, answered)
        _correct(sharing, late, known_capacity)
        sharing.met = sharing.late = sharing.rejected = 0.0
        sharing.stepped_at = now
    elif now - sharing.stepped_at > REPORT_INTERVALS * IDLE_REPORT_S:
        sharing.is_overloaded = False
    if known_capacity is not None:
        return sharing.share * known_capacity
    return sharing.capacity


def _correct(sharing, late, known_capacity):
    factor = 1.0
    if late > HIGH_LATE_SHARE:
        factor = DECREASE
    elif late < LOW_LATE_SHARE:
        factor = INCREASE
    if not sharing.is_overloaded:
        sharing.capacity, sharing.first_served = None, 0.0
        # Late answers of single slow servers are no evidence.
        sharing.share += 0.1 * (INITIAL_SHARE - sharing.share)
    elif known_capacity is not None:
        sharing.share = min(MAX_SHARE, max(MIN_SHARE, factor * sharing.share))
    else:
        served = sum(item.served for item in sharing.reports.values())
        offered = sum(sum(item.rows.values()) for item in sharing.reports.values())
        if sharing.capacity is None:
            sharing.first_served = estimate = served
        else:
            estimate = factor * sharing.capacity
        # Not far below what was served, nor far above the demand, as late answers and
        # rejections may have other causes than the load.
        least = max(MIN_CAPACITY, MIN_OF_SERVED * sharing.first_served)
        most = max(served, MAX_OVER_DEMAND * offered)
        sharing.capacity = max(least, min(most, estimate))


@attrs.frozen
class Shares:
    """What is admitted of the demand.

    Attributes
    ----------
    marginal_rank : int or None
        Ranks before it are admitted, those after it are not. None: all are.
    admitted : dict of (str or None) to float
        Admitted part by customer of that rank, None for the added-up ones; all of those
        that are missing.
    """

    marginal_rank: int | None = None
    admitted: dict = attrs.field(factory=dict)


def divide(demand, capacity):
    """Return the `Shares` of a capacity.

    Parameters
    ----------
    demand : iterable of (int, str or None, float)
        Rank, customer and cost in s per s, of all entries. Those of a named customer
        are added up, those without a name are customers of their own.
    capacity : float
        In s per s.
    """
    by_rank = {}
    for rank, customer, cost in demand:
        named, others = by_rank.setdefault(rank, (collections.Counter(), []))
        if customer is None:
            others.append(cost)
        else:
            named[customer] += cost
    left = capacity
    for rank, (named, others) in sorted(by_rank.items()):
        total = sum(named.values()) + sum(others)
        if total > left:
            limit = fair_limit([*named.values(), *others], left)
            admitted = {
                name: limit / cost for name, cost in named.items() if cost > limit
            }
            if others and max(others) > limit:
                granted = sum(min(cost, limit) for cost in others)
                admitted[None] = granted / sum(others)
            return Shares(rank, admitted)
        left -= total
    return Shares()


def fair_limit(amounts, capacity):
    """Return the max-min fair limit: amounts up to it are granted in full.

    Parameters
    ----------
    amounts : iterable of float
        Their sum exceeds the capacity.
    capacity : float
    """
    left = max(0.0, capacity)
    ordered = sorted(amounts)
    for number, amount in enumerate(ordered):
        limit = left / (len(ordered) - number)
        if amount > limit:
            return limit
        left -= amount
    return math.inf


def shares_now(sharing, known_capacity, now):
    """Return the `Shares` of the reported demand, and the capacity or None.

    They are computed anew once for each `STEP_S`: adding up all reports for each one
    that arrives would take a third of a core with 370 entries.
    """
    was_overloaded = sharing.is_overloaded
    capacity = step(sharing, known_capacity, now)
    is_due = (
        sharing.divided is None
        or sharing.is_overloaded != was_overloaded
        or now - sharing.divided_at >= STEP_S
    )
    if is_due:
        sharing.divided, sharing.divided_at = (
            (_divide(sharing, capacity), capacity),
            now,
        )
    return sharing.divided


def _divide(sharing, capacity):
    if not sharing.is_overloaded or capacity is None:
        return Shares()
    reports = sharing.reports.values()
    demand = [row for report in reports for row in split_rows(report.rows)]
    return divide(demand, capacity)


def admitted_part(shares, rank, customer):
    """Return the part of a customer's requests of a rank to admit, 0 to 1."""
    if shares.marginal_rank is None or rank < shares.marginal_rank:
        return 1.0
    if rank > shares.marginal_rank:
        return 0.0
    return shares.admitted.get(customer, 1.0)


@attrs.define(eq=False)
class Drawing:
    """Parts of requests not yet admitted, by rank and customer."""

    credits: dict = attrs.field(factory=dict)


def is_admitted(drawing, shares, rank, customer, draw):
    """Draw whether a request is admitted, so that the part of them is exact.

    Parameters
    ----------
    drawing : Drawing
    shares : Shares
    rank : int
    customer : str
    draw : callable without arguments
        Returns a random number, uniform in [0, 1). Entries begin at different points.
    """
    part = admitted_part(shares, rank, customer)
    if part >= 1.0:
        return True
    if part <= 0.0:
        return False
    credit = drawing.credits.get((rank, customer))
    credit = (draw() if credit is None else credit) + part
    drawing.credits[rank, customer] = credit % 1.0
    return credit >= 1.0
