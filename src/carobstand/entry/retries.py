"""Results of attempts, and whether a request may be sent to another server."""

import enum

import anyio

from carobstand.core import entry_roster, retry_budget, routes


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
    if call.attempts_sent >= call.route.max_servers:
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
    now, bounds = anyio.current_time(), fwd.fleet.deployment.bounds
    call.has_reserved_retry = retry_budget.withdraw(
        fwd.budgets[call.service],
        bounds,
        entry_roster.count_within(fwd.fleet.roster, now, bounds.retry_window_s),
        now,
        share,
    )
    return call.has_reserved_retry
