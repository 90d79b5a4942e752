"""Reports demand to the entry that shares a service's capacity, by UDP.

`core.admission_shares` decides who shares it and what is admitted. Without a fresh
summary, as that entry ended or is cut off, an entry admits by its own view only.
"""

import math
import random

import anyio
import attrs

from carobstand import eventlog
from carobstand.core import admission_shares, deployment, entry_roster, value_density
from carobstand.entry import server_limits
from carobstand.wire.gen_fleet import ttypes

CHECK_INTERVAL_S = 0.1
"""Interval of checks whether a report is due."""

MAX_AMOUNT = 2**31 - 1
MAX_PORT = 65535


@attrs.define(eq=False)
class ServiceDemand:
    """What this entry is asked for of one service, and what it may admit.

    Attributes
    ----------
    offered : core.admission_shares.Rates
        Cost of the requests that could be on time, by rank and customer.
    served : core.admission_shares.Rates
        Cost of the requests that were answered.
    met, late, rejected : int
        Outcomes since the last report.
    reported : float
        Total of the last report in s per s.
    added_up : frozenset of (int, str)
        Ranks and customers without a row of their own in it.
    number : int
        Number of the last report.
    sent_at : float
    target : str
        VM to which it was sent.
    is_answered : bool
    unanswered : int
        Consecutive reports that `target` did not answer.
    recheck_at : dict of str to float
        Time from which an entry that did not answer is asked again, by VM.
    shares : core.admission_shares.Shares
        As last summarized.
    shares_until : float
    refresh_s : float
        Interval of reports under overload.
    drawing : core.admission_shares.Drawing
    """

    offered: admission_shares.Rates = attrs.field(factory=admission_shares.Rates)
    served: admission_shares.Rates = attrs.field(factory=admission_shares.Rates)
    met: int = 0
    late: int = 0
    rejected: int = 0
    reported: float = 0.0
    added_up: frozenset = frozenset()
    number: int = 0
    sent_at: float = -math.inf
    target: str = ""
    is_answered: bool = True
    unanswered: int = 0
    recheck_at: dict = attrs.field(factory=dict)
    shares: admission_shares.Shares = attrs.field(factory=admission_shares.Shares)
    shares_until: float = -math.inf
    refresh_s: float = admission_shares.REPORT_MIN_S
    drawing: admission_shares.Drawing = attrs.field(factory=admission_shares.Drawing)


@attrs.define(eq=False)
class Demand:
    """Demand by service.

    Attributes
    ----------
    own : dict of str to ServiceDemand
    sharings : dict of str to core.admission_shares.Sharing
        Of the services whose capacity this entry shares.
    capacities : dict of str to (float or None, float)
        Capacity of each such service, and until when it is not computed again.
    capacity_of : callable of (str)
        Returns the capacity of a service's servers in s of server time per s, or None
        if it is not known.
    draw : callable without arguments
        Returns a random number, uniform in [0, 1).
    """

    own: dict = attrs.field(factory=dict)
    sharings: dict = attrs.field(factory=dict)
    capacities: dict = attrs.field(factory=dict)
    capacity_of: object = lambda service: None
    draw: object = random.random


RISE_REPORT_S = 2.0
"""Shortest time until a report of a higher demand without overload. The rates of a
service with a few requests per second change by half all the time."""


def _cost_s(fwd, call):
    """Return the server time that a call takes; 1 without a latency model."""
    config = fwd.fleet.configuration
    service = config.services.get(call.service) if config else None
    if service is None or service.latency_model is None:
        return 1.0
    size = call.size
    return value_density.cost_s(
        service.latency_model, size.prompt_tokens, size.answer_tokens
    )


def admit(fwd, call):
    """Count a new call that could be on time; return whether it is admitted."""
    now = anyio.current_time()
    own = fwd.demand.own.setdefault(call.service, ServiceDemand())
    key = call.terms.priority, call.customer
    admission_shares.add(own.offered, key, _cost_s(fwd, call), now)
    if now > own.shares_until:
        return True
    key = _reported_key(own, call)
    return admission_shares.is_admitted(own.drawing, own.shares, *key, fwd.demand.draw)


def _reported_key(own, call):
    """Return the rank and the customer under which a call was last reported."""
    key = call.terms.priority, call.customer
    return (call.terms.priority, None) if key in own.added_up else key


def admitted_part(fwd, call):
    """Return the part of calls like this one that `admit` would admit now."""
    own = fwd.demand.own.get(call.service)
    if own is None or anyio.current_time() > own.shares_until:
        return 1.0
    return admission_shares.admitted_part(own.shares, *_reported_key(own, call))


def is_restricted(fwd, service, now):
    """Whether the demand of all entries for a service exceeds its capacity."""
    own = fwd.demand.own.get(service)
    if own is None or now > own.shares_until:
        return False
    return own.shares.marginal_rank is not None


def record_outcome(fwd, call, is_met, is_answered):
    """Count how a call ended that could be on time."""
    own = fwd.demand.own.setdefault(call.service, ServiceDemand())
    if not is_answered:
        own.rejected += 1
        return
    now = anyio.current_time()
    admission_shares.add(own.served, "", _cost_s(fwd, call), now)
    if call.terms.is_admitted and is_met:
        own.met += 1
    elif call.terms.is_admitted:
        own.late += 1


async def run(fwd):
    """Report demand until cancelled."""
    while True:
        step(fwd)
        await anyio.sleep(CHECK_INTERVAL_S)


def step(fwd):
    """Send the reports that are due."""
    now = anyio.current_time()
    for service, own in list(fwd.demand.own.items()):
        offered = admission_shares.per_second(own.offered, now)
        if _is_due(own, sum(offered.values()), now):
            _report(fwd, service, own, offered, now)
        elif not offered and now - own.sent_at > _idle_s(own):
            del fwd.demand.own[service]


def _idle_s(own):
    return admission_shares.idle_refresh_s(own.refresh_s)


def _is_due(own, total, now):
    since_s = now - own.sent_at
    if since_s < admission_shares.REPORT_MIN_S:
        return False
    is_sharing = own.shares.marginal_rank is not None
    if is_sharing or admission_shares.shows_overload(own.met, own.late, own.rejected):
        return since_s >= own.refresh_s
    # A decrease without overload changes nothing for others.
    is_risen = total > admission_shares.CHANGE_FACTOR * own.reported
    if is_risen and since_s >= max(RISE_REPORT_S, own.refresh_s):
        return True
    return total > 0 and since_s >= _idle_s(own)


def _report(fwd, service, own, offered, now):
    target = _target(fwd, service, own, now)
    own.number += 1
    own.sent_at, own.is_answered, own.reported = now, False, sum(offered.values())
    dep = fwd.fleet.deployment
    rows = admission_shares.largest_rows(offered)
    own.added_up = frozenset(offered.keys() - rows.keys())
    served = admission_shares.per_second(own.served, now)
    report = ttypes.DemandReport(
        name=service,
        vm=dep.vm,
        address=f"{dep.ip}:{dep.internal_ports[0]}",
        number=own.number,
        rows=[
            ttypes.DemandRow(rank, customer, _to_ms(cost))
            for (rank, customer), cost in rows.items()
        ],
        met=own.met,
        late=own.late,
        rejected=own.rejected,
        served=_to_ms(sum(served.values())),
    )
    own.met = own.late = own.rejected = 0
    if target == dep.vm:
        return on_summary(fwd, _summary(fwd, report), dep.vm)
    _send(fwd, server_limits.others(fwd.limits)[target].address, report)


def _to_ms(seconds):
    return round(min(MAX_AMOUNT, 1000 * seconds))


def _send(fwd, address, message):
    fwd.limits.outbox.append((address, message))
    server_limits.wake(fwd.limits)


def _target(fwd, service, own, now):
    """Return the VM of the first entry in the order that is not known to be away."""
    if own.target and not own.is_answered:
        own.unanswered += 1
        if own.unanswered >= admission_shares.MAX_UNANSWERED:
            own.recheck_at[own.target] = now + admission_shares.RECHECK_S
            eventlog.event("demand.unanswered", service=service, entry=own.target)
    vms = [*server_limits.others(fwd.limits), fwd.fleet.deployment.vm]
    own.recheck_at = {vm: at for vm, at in own.recheck_at.items() if at > now}
    order = admission_shares.sharing_entries(service, vms)
    target = next(vm for vm in order if vm not in own.recheck_at)
    if target != own.target:
        own.target, own.unanswered = target, 0
    return target


def on_report(fwd, message, peer):
    """Process a datagram that reports the demand at another entry."""
    try:
        _, port = deployment.split_address(message.address or "")
        if not message.vm or not message.name or not 0 < port <= MAX_PORT:
            raise ValueError(f"no VM or service, or address {message.address!r}")
        summary = _summary(fwd, message)
    except (TypeError, ValueError, OverflowError) as exc:
        eventlog.event("datagram.malformed", peer=peer, error=str(exc))
        return
    if message.vm in entry_roster.running(fwd.fleet.roster, anyio.current_time()):
        _send(fwd, message.address, summary)


def _summary(fwd, report):
    """Store a report and return the summary for its sender.

    Raises
    ------
    TypeError, ValueError
        If a field is missing or out of range.
    """
    now = anyio.current_time()
    rows = {}
    for row in report.rows:
        if row.amount < 0:
            raise ValueError(f"demand {row.amount}")
        rows[int(row.rank), row.customer] = row.amount / 1000
    counts = [int(report.met), int(report.late), int(report.rejected)]
    if min(counts) < 0 or report.served < 0:
        raise ValueError(f"outcomes {counts}, {report.served}")
    sharing = fwd.demand.sharings.setdefault(report.name, admission_shares.Sharing())
    refresh_s = admission_shares.refresh_s(sharing)
    item = admission_shares.Report(
        int(report.number), rows, *counts, report.served / 1000, now
    )
    admission_shares.put(sharing, report.vm, item)
    was_overloaded = sharing.is_overloaded
    shares, capacity = admission_shares.shares_now(
        sharing, _known_capacity(fwd, report.name, now), now
    )
    is_restricted = shares.marginal_rank is not None
    item.interval_s = (
        refresh_s if is_restricted else admission_shares.idle_refresh_s(refresh_s)
    )
    if sharing.is_overloaded != was_overloaded:
        eventlog.event(
            "demand.overload",
            service=report.name,
            overloaded=sharing.is_overloaded,
            entries=len(sharing.reports),
            capacity=capacity and round(capacity, 2),
            marginal_rank=shares.marginal_rank,
        )
    own_customers = {customer for _, customer in rows}
    return ttypes.DemandSummary(
        name=report.name,
        number=report.number,
        refresh_ms=int(1000 * refresh_s),
        capacity=_to_ms(capacity or 0.0),
        marginal_rank=shares.marginal_rank,
        rows=[
            ttypes.DemandRow(shares.marginal_rank, customer, int(1000 * part))
            for customer, part in shares.admitted.items()
            if customer in own_customers
        ],
    )


def _known_capacity(fwd, service, now):
    """Return the capacity of a service's servers, computed at most twice a second.

    It looks at each server, and each entry reports.
    """
    capacity, until = fwd.demand.capacities.get(service, (None, 0.0))
    if now >= until:
        capacity = fwd.demand.capacity_of(service)
        fwd.demand.capacities[service] = capacity, now + admission_shares.STEP_S
    return capacity


def on_summary(fwd, message, peer):
    """Process a datagram that tells what to admit; one to an old report is ignored."""
    own = fwd.demand.own.get(message.name)
    if own is None or message.number != own.number:
        return
    try:
        shares = admission_shares.Shares(
            message.marginal_rank,
            {row.customer: row.amount / 1000 for row in message.rows or ()},
        )
        refresh_s = max(admission_shares.REPORT_MIN_S, message.refresh_ms / 1000)
    except (TypeError, ValueError) as exc:
        eventlog.event("datagram.malformed", peer=peer, error=str(exc))
        return
    own.is_answered, own.unanswered = True, 0
    own.refresh_s, own.shares = refresh_s, shares
    # Counted from the report: a suspended process reads the summary late.
    own.shares_until = own.sent_at + admission_shares.REPORT_INTERVALS * refresh_s
