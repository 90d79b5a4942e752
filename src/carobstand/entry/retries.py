"""Results of attempts, and whether a request may be sent to another server."""

import enum

import anyio

from carobstand import eventlog, metrics
from carobstand.core import (
    eligibility,
    entry_roster,
    retry_budget,
    routes,
    send_limits,
)
from carobstand.entry import registration, server_choice, server_limits


class Outcome(enum.Enum):
    """Result of one attempt at a backend server."""

    DONE = "done"
    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    MOVED = "moved"


def may_retry(call, outcome):
    """Whether a request may be sent once more after an attempt with this result."""
    if outcome is Outcome.NOT_SENT:
        return True
    if not send_limits.may_send_again(
        call.attempts_sent, call.runs, call.route.max_servers
    ):
        return False
    if call.reply.started and (
        call.is_passed_through or call.route.kind is not routes.Kind.STREAM
    ):
        return False
    return outcome is Outcome.NOT_RUN or routes.is_retryable(call.route)


def reserve_retry(fwd, call, share=1.0):
    """Reserve a retry from the service's budget, of which `share` may be used."""
    if call.has_reserved_retry:
        return True
    now = anyio.current_time()
    call.has_reserved_retry = retry_budget.withdraw(
        fwd.budgets[call.service],
        fwd.fleet.deployment.bounds,
        _slack_parts(fwd, now),
        now,
        share,
    )
    call.reserved_at = now
    return call.has_reserved_retry


def _slack_parts(fwd, now):
    """Return into how many parts the slack of a budget is divided."""
    fleet, dep = fwd.fleet, fwd.fleet.deployment
    confirmed_at = fleet.confirmed_at
    return entry_roster.count_parts(
        fleet.roster,
        dep.vm,
        now,
        dep.bounds.retry_window_s,
        confirmed_at is not None and now - confirmed_at < registration.LEASE_TTL_S,
    )


def record_send(fwd, call, server_id):
    """Count and log the attempt that is sent now, if it is not the first one."""
    if call.attempts_sent < 2:
        return
    now, bounds = anyio.current_time(), fwd.fleet.deployment.bounds
    budget, entries = fwd.budgets[call.service], _slack_parts(fwd, now)
    retry_budget.record_sent(budget, bounds, call.reserved_at, now)
    retries, requests = retry_budget.usage(budget, bounds, now)
    metrics.count(fwd.fleet.metrics, "attempts_repeated", service=call.service)
    eventlog.event(
        "attempt.repeated",
        request=call.req.request_id,
        server=server_id,
        service=call.service,
        sends=call.attempts_sent,
        waited_s=round(now - call.reserved_at, 3),
        retries=retries,
        requests=requests,
        entries=entries,
        slack=round(retry_budget.slack_part(budget, bounds, entries, now), 2),
    )


def readmit_rejecting(fwd, call):
    """Let a call be sent again to the servers that rejected it, if no other is left.

    Only for a call that may have run: any other can be refused.

    Returns
    -------
    is_readmitted : bool
    """
    if not (call.may_have_run and call.rejected_by):
        return False
    choices, excluded = server_choice.rank(
        fwd,
        call,
        fwd.fleet.servers.servers,
        anyio.current_time(),
        server_limits.would_withhold,
    )
    if choices or not eligibility.is_exhausted(excluded):
        return False
    eventlog.event(
        "request.readmitted",
        request=call.req.request_id,
        servers=sorted(call.rejected_by),
    )
    call.tried -= call.rejected_by
    call.rejected_by.clear()
    return True
