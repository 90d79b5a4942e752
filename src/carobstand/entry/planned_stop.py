"""Requests that a planned stop of this entry would cut off are not begun."""

import anyio

from carobstand.core import latency_model, routes
from carobstand.entry import server_choice

RETRY_AFTER_S = 0.1
"""Retry-After of requests that are not begun: another entry can serve them at once."""

REASON = "the entry stops before it could answer"


def would_be_cut(fwd, call):
    """Whether a request that has not run is not to be begun before the stop.

    While the platform routes callers here, its expected duration counts. Later, only
    requests on connections that were opened before arrive; each whose own deadline is
    after the stop is left to another entry, as one that is cut off may not be repeated.
    """
    if call.may_have_run or call.reply.started:
        return False
    if call.terms.deadline < fwd.fleet.stops_at:
        return False
    ends_at = anyio.current_time() + _expected_s(fwd, call)
    return fwd.is_closing or ends_at > fwd.fleet.stops_at


def _expected_s(fwd, call):
    """Return the duration at a server with all slots in use, as far as it is known."""
    service = server_choice.service_of(fwd, call)
    model = service.latency_model if service else None
    if model is None or call.route.kind is not routes.Kind.STREAM:
        return call.route.target_s
    tokens = call.size.answer_tokens
    return call.route.target_s + latency_model.answer_s(model, tokens, model.slots)


def begin_closing(fwd):
    """Reject waiting requests that would be cut off, and from now on new ones."""
    fwd.is_closing = True
    for waiter in fwd.queue.waiters:
        if not waiter.done.is_set() and would_be_cut(fwd, waiter.call):
            waiter.done.set()
