"""Final responses to requests that are rejected or failed, and their Retry-After."""

import math
import random

import anyio

from carobstand import eventlog, http1_server
from carobstand.core import announcements, expected_return
from carobstand.entry import planned_stop, queueing, server_choice, versions
from carobstand.platform import http_headers

RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 1.9
"""Range of Retry-After for requests that found no free slot, random so that callers do
not return at the same time. Short overloads, such as some engines loading weights, are
over by then."""

RETRY_AFTER_OVERLOADED_S = 2.0
"""Time added to the range of an overloaded service, whose spare capacity returns later
and has to serve all rejected callers."""

RETRY_RESERVE_S = 1.0
"""Time before its deadline at which a rejected caller should return at the latest."""

POISON_STATUS = 422
"""Status of a request that no server can answer, so that callers do not repeat it."""


async def reject_poison(fwd, call, rejection):
    """Reject a request that would, or may, crash the server that answers it.

    The status of a final rejection is true whether it has run or not, and invites no
    repetition. Otherwise the usual Retry-After leaves time for a trial, which mostly
    takes the time to the first event of an answer.
    """
    if not rejection.is_final:
        return await give_up(fwd, call, 502, rejection.reason)
    if call.reply.started:
        eventlog.event(
            "request.cut", request=call.req.request_id, reason=rejection.reason
        )
        return
    await refuse(call.reply, call.req, POISON_STATUS, rejection.reason)


async def give_up(fwd, call, status, reason):
    """End a request that no server could complete, with a final response."""
    if call.reply.started:
        # The caller detects the truncation, as the last chunk is missing.
        eventlog.event("request.cut", request=call.req.request_id, reason=reason)
        return
    if not call.may_have_run:
        await refuse(call.reply, call.req, 503, reason, _retry_after_s(fwd, call))
    else:
        await refuse(call.reply, call.req, status, reason, None)


def _retry_after_s(fwd, call):
    """Return the time after which a call that did not run may find a free slot."""
    if planned_stop.would_be_cut(fwd, call):
        return planned_stop.RETRY_AFTER_S
    now = anyio.current_time()
    ids = server_choice.located_ids(fwd, call)
    quiet_s = announcements.remaining_pause_s(fwd.fleet.announced, ids, now)
    if not math.isfinite(quiet_s):
        quiet_s = 0.0
    waiting = sum(queueing.competes(fwd, item.call, call) for item in fwd.queue.waiters)
    permit_s = queueing.permit_wait_s(fwd, call, waiting) or 0.0
    loaded_s = _until_loaded_s(fwd, ids, now)
    earliest_s = max(RETRY_AFTER_MIN_S, quiet_s, permit_s, loaded_s)
    overload = queueing.pressure(fwd, call.service, now)
    spread_s = RETRY_AFTER_MAX_S - RETRY_AFTER_MIN_S
    spread_s += overload * RETRY_AFTER_OVERLOADED_S
    # A delay beyond the deadline would be the caller's last.
    left_s = call.terms.deadline - now - RETRY_RESERVE_S - earliest_s
    return earliest_s + random.uniform(0.0, max(0.0, min(spread_s, left_s)))


def _until_loaded_s(fwd, ids, now):
    """Return the time until the first engine serves, if all of them load weights."""
    known = fwd.fleet.servers.servers
    servers = [known[key] for key in ids if known[key].is_ready]
    return expected_return.expected_s(
        fwd.loads,
        servers,
        lambda holding: now < versions.begin_by(fwd.fleet, holding),
        now,
    )


async def refuse(reply, req, status, reason, retry_after_s=None):
    """Respond to a request that is rejected or failed."""
    eventlog.event(
        "request.refused",
        request=req and req.request_id,
        status=status,
        reason=reason,
        retry_after_s=retry_after_s,
    )
    headers = http_headers.refusal_headers(req, retry_after_s)
    body = b'{"error":"%s"}' % reason.encode()
    await http1_server.respond(reply, status, headers, body)
