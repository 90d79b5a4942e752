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
"""Interval of reports of a service that is not overloaded, while it gets requests."""

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

MIN_OF_SERVED = 0.5
"""Lowest such estimate, relative to what is answered, which includes late answers."""

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
    rows : dict of (int, str) to float
        The smallest customers of each rank are added up under an empty name.
    """
    ordered = sorted(demand.items(), key=lambda item: -item[1])
    rows = collections.Counter(dict(ordered[:MAX_ROWS]))
    for (rank, _), cost in ordered[MAX_ROWS:]:
        rows[rank, ""] += cost
    return dict(rows)


@attrs.define
class Report:
    """Latest report of an entry; rates in s of server time per s.

    `met`, `late` and `rejected` are numbers of requests since the report before.
    """

    number: int
    rows: dict
    met: int
    late: int
    rejected: int
    served: float
    received_at: float


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
    met, late, rejected : float
        Outcomes of the admitted requests since `stepped_at`.
    stepped_at : float
    is_overloaded : bool
    """

    reports: dict = attrs.field(factory=dict)
    share: float = INITIAL_SHARE
    capacity: float | None = None
    met: float = 0.0
    late: float = 0.0
    rejected: float = 0.0
    stepped_at: float = -math.inf
    is_overloaded: bool = False


def put(sharing, vm, report):
    """Store the report of an entry; return False if it is not newer."""
    known = sharing.reports.get(vm)
    if known is not None and 0 <= known.number - report.number < 1000:
        return False
    sharing.reports[vm] = report
    sharing.met += report.met
    sharing.late += report.late
    sharing.rejected += report.rejected
    return True


def refresh_s(sharing):
    """Return the interval of reports under overload."""
    return max(REPORT_MIN_S, REPORT_PER_ENTRY_S * len(sharing.reports))


def _drop_outdated(sharing, now):
    oldest = now - REPORT_INTERVALS * IDLE_REPORT_S
    for vm in [vm for vm, it in sharing.reports.items() if it.received_at < oldest]:
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
        sharing.capacity = None
        # Late answers of single slow servers are no evidence.
        sharing.share += 0.1 * (INITIAL_SHARE - sharing.share)
    elif known_capacity is not None:
        sharing.share = min(MAX_SHARE, max(MIN_SHARE, factor * sharing.share))
    else:
        served = sum(item.served for item in sharing.reports.values())
        offered = sum(sum(item.rows.values()) for item in sharing.reports.values())
        estimate = served if sharing.capacity is None else factor * sharing.capacity
        # Not far below what is served now, as servers may have come back, nor far above
        # the demand, as rejections may have other causes than the load.
        least = max(MIN_CAPACITY, MIN_OF_SERVED * served)
        most = max(served, MAX_OVER_DEMAND * offered)
        sharing.capacity = max(least, min(most, estimate))


@attrs.frozen
class Shares:
    """What is admitted of the demand.

    Attributes
    ----------
    marginal_rank : int or None
        Ranks before it are admitted, those after it are not. None: all are.
    admitted : dict of str to float
        Admitted part by customer of that rank; all of those that are missing.
    """

    marginal_rank: int | None = None
    admitted: dict = attrs.field(factory=dict)


def divide(demand, capacity):
    """Return the `Shares` of a capacity.

    Parameters
    ----------
    demand : dict of (int, str) to float
        Cost in s per s by rank and customer, of all entries.
    capacity : float
        In s per s.
    """
    by_rank = {}
    for (rank, customer), cost in demand.items():
        customers = by_rank.setdefault(rank, collections.Counter())
        customers[customer] += cost
    left = capacity
    for rank, customers in sorted(by_rank.items()):
        total = sum(customers.values())
        if total > left:
            limit = fair_limit(customers.values(), left)
            admitted = {
                name: limit / cost for name, cost in customers.items() if cost > limit
            }
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
    """Return the `Shares` of the reported demand, and the capacity or None."""
    capacity = step(sharing, known_capacity, now)
    if not sharing.is_overloaded or capacity is None:
        return Shares(), capacity
    demand = collections.Counter()
    for report in sharing.reports.values():
        demand.update(report.rows)
    return divide(demand, capacity), capacity


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
