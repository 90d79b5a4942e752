"""State machine of one request in an entry, from its arrival to its final response.

`step` handles one event and returns the effects that the entry carries out, in order.
"""

from carobstand import errors
from carobstand.core import attempts, claim_handling, events, request_state, retries

MAX_HELD_BYTES = 256 * 1024
"""Answer bytes that are held until the answer is complete; event streams are not held.

A held answer can be retried without the caller noticing, and its outcome is known
when its head is sent.
"""

MAX_ATTEMPTS = 4
"""Maximum number of attempts of one request, each on another backend server."""

RETRYABLE_STATUSES = frozenset({429, 502, 503, 504})
"""Statuses of an idempotent call that are retried on another backend server."""

DONE = attempts.Outcome.DONE
NOT_RUN = attempts.Outcome.NOT_RUN
UNKNOWN = attempts.Outcome.UNKNOWN


def begin(req):
    """Return the first effects of a request.

    The claim of a non-idempotent call is read first, so that a client retry of a call
    that may have run is never rejected as not run.
    """
    retries.deposit(req.budget)
    if req.idempotent:
        return [request_state.place(req)]
    # Until the claim is read, an earlier call with the same key may have run.
    req.earlier_may_have_run = True
    req.stage = request_state.Stage.READING
    return [events.ReadClaim()]


def step(req, event):
    """Handle one event and return the effects to carry out, in order."""
    if req.stage is request_state.Stage.ENDED:
        if isinstance(event, events.Placed):
            return [events.CloseAttempt(event.attempt_id)]
        return []
    return _STEPS[type(event)](req, event)


def _on_placed(req, event):
    req.placing = False
    if req.winner is not None:
        # The attempt whose connection ended has answered in the meantime.
        return [events.CloseAttempt(event.attempt_id)]
    req.open_attempts[event.attempt_id] = request_state.OpenAttempt(event)
    req.used.add(event.vm)
    if req.idempotent:
        return request_state.send(req, event.attempt_id)
    return claim_handling.write(req, event)


def _on_not_placed(req, event):
    req.placing = False
    if req.open_attempts:
        return []
    if req.started:
        return request_state.cut(req, event.reason)
    if req.unresolved:
        return request_state.unknown(
            req, event.reason, retry_after_s=event.retry_after_s
        )
    return request_state.refuse(
        req, event.status, event.title, event.reason, event.retry_after_s
    )


def _on_data(req, event):
    if event.attempt_id not in req.open_attempts:
        return []
    effects = _select_winner(req, event.attempt_id)
    if req.winner != event.attempt_id:
        return effects
    req.stage = request_state.Stage.RUNNING
    if event.head is not None:
        if req.started and event.head[0] != req.head[0]:
            reason = f"status {event.head[0]} instead of the rest of the answer"
            failed = events.AttemptEnded(event.attempt_id, UNKNOWN, reason)
            cancel = events.CancelAttempt(event.attempt_id)
            return [*effects, cancel, *_on_ended(req, failed)]
        req.head = req.head or event.head
    req.held += event.data
    large = len(req.held) > MAX_HELD_BYTES
    if req.started or large or (req.head[2] and not _is_retryable(req)):
        effects += _flush(req, None)
    return effects


def _select_winner(req, attempt_id):
    """Deliver the answer of the first attempt that answers; cancel the others."""
    if req.winner is not None:
        return []
    req.winner = attempt_id
    if req.held_attempt_id != attempt_id:
        _discard_held(req)
        req.held_attempt_id = attempt_id
    effects = []
    for other in [num for num in req.open_attempts if num != attempt_id]:
        if req.open_attempts.pop(other).sent:
            effects.append(events.CancelAttempt(other))
        effects.append(events.CloseAttempt(other))
    return effects


def _is_retryable(req):
    """Whether the answer is a failure that another backend server may not return."""
    return (
        not req.started
        and req.idempotent
        and req.head[0] in RETRYABLE_STATUSES
        and req.attempts_sent < MAX_ATTEMPTS
    )


def _flush(req, outcome):
    """Deliver the held bytes; `outcome` is None while the answer is incomplete."""
    effects = []
    if not req.started:
        req.started = True
        req.version = req.open_attempts[req.winner].placed.version
        effects.append(events.SendHead(req.head[0], req.head[1], outcome))
    if req.held:
        data = bytes(req.held)
        req.held.clear()
        req.offset += len(data)
        if not req.idempotent and req.answer_to_store is not None:
            req.answer_to_store += data
            if len(req.answer_to_store) > attempts.MAX_KEPT_BYTES:
                req.answer_to_store = None
        effects.append(events.SendBody(data))
    return [] if req.gone else effects


def _on_ended(req, event):
    if event.attempt_id not in req.open_attempts:
        return []
    if event.outcome is DONE:
        return _on_done(req, event)
    won = req.winner == event.attempt_id
    if event.outcome is NOT_RUN:
        if won:
            raise errors.InvariantError(
                "an attempt that answered was reported as not run",
                step="requests.ended",
            )
        req.unresolved -= 1
        if event.no_slot:
            req.attempts_sent -= 1
            req.used.discard(req.open_attempts[event.attempt_id].placed.vm)
    del req.open_attempts[event.attempt_id]
    if won:
        req.winner = None
    effects = [events.CloseAttempt(event.attempt_id)]
    if req.open_attempts or req.placing:
        return effects
    return effects + _retry_or_end(req, event)


def _on_done(req, event):
    attempt_id = event.attempt_id
    if req.head is None:
        failed = events.AttemptEnded(attempt_id, UNKNOWN, "the answer has no status")
        return _on_ended(req, failed)
    effects = _select_winner(req, attempt_id)
    if _is_retryable(req) and _may_retry(req):
        del req.open_attempts[attempt_id]
        _discard_answer(req)
        return [*effects, events.CloseAttempt(attempt_id), request_state.place(req)]
    effects += _flush(req, DONE)
    if not req.gone:
        effects.append(events.CompleteResponse())
    req.stage = request_state.Stage.ENDED
    req.outcome = DONE
    del req.open_attempts[attempt_id]
    if req.idempotent:
        return [*effects, events.CloseAttempt(attempt_id)]
    return [
        *effects,
        claim_handling.finished(req, req.head[0], req.head[1], req.answer_to_store),
    ]


def _discard_answer(req):
    """Discard the undelivered part of an answer, so that another attempt can win."""
    req.winner = None
    _discard_held(req)


def _discard_held(req):
    req.held.clear()
    if not req.started:
        req.head = None


def _on_detached(req, event):
    """Start a second attempt while the one whose connection ended may still return.

    This is done once per request. If the second connection ends too, this may be a
    poison request that makes backend servers fail, which is known only some seconds
    later.
    """
    repeatable = req.idempotent and (req.resumable or not req.started)
    only_attempt = set(req.open_attempts) == {event.attempt_id} and not req.placing
    if not (repeatable and only_attempt) or req.failed_over or req.gone:
        return []
    if req.attempts_sent >= MAX_ATTEMPTS or not _may_retry(req):
        return []
    req.failed_over = True
    req.winner = None
    return [request_state.place(req)]


def _retry_or_end(req, event):
    """Continue after the last open attempt ended without a complete answer."""
    attempts_left = req.attempts_sent < MAX_ATTEMPTS and not req.gone
    reason = event.reason
    if event.outcome is NOT_RUN and attempts_left:
        return [request_state.place(req)]
    repeatable = req.idempotent and (req.resumable or not req.started)
    if event.outcome is UNKNOWN and attempts_left and repeatable and not event.corrupt:
        if _may_retry(req):
            _discard_answer(req)
            return [request_state.place(req)]
    if req.started:
        return request_state.cut(req, reason)
    if req.unresolved:
        return request_state.unknown(req, reason)
    return request_state.refuse(req, 503, "Not run", reason)


def _may_retry(req):
    """Whether another attempt may be made.

    An attempt that resumes a started answer is charged to the budget but is allowed
    even if the budget is empty: when an entry loses many connections at once, the
    budget would otherwise cut most of its answers. Each such attempt replaces a lost
    one, and `MAX_ATTEMPTS` bounds their number.
    """
    return req.may_retry and (retries.withdraw(req.budget) or req.started)


def _on_not_sent(req, event):
    return _on_ended(req, events.AttemptEnded(event.attempt_id, NOT_RUN, event.reason))


def _on_hedge_due(req, event):
    only_attempt = (
        req.stage is request_state.Stage.RUNNING and len(req.open_attempts) == 1
    )
    if not (req.idempotent and only_attempt) or req.winner is not None:
        return []
    if req.hedged or req.attempts_sent > 1 or not _may_retry(req):
        return []
    req.hedged = True
    return [request_state.place(req, hedge=True)]


def _on_deadline(req, event):
    if not req.idempotent and req.unresolved and not req.gone:
        # The call is not cancelled, so that client retries find its response.
        refusal = events.RejectRequest(
            504, "Outcome unknown", "deadline passed", UNKNOWN, events.RETRY_AFTER_S
        )
        req.gone = True
        return [events.AbortResponse("deadline passed") if req.started else refusal]
    if req.started:
        return request_state.cut(req, "deadline passed")
    if request_state.may_have_run(req):
        return request_state.unknown(req, "deadline passed", status=504)
    return request_state.refuse(req, 504, "Not run", "deadline passed")


def _on_caller_gone(req, event):
    req.gone = True
    if req.stage is request_state.Stage.CLAIMING:
        return []
    if not req.idempotent and req.unresolved:
        return []
    may_have_run = request_state.may_have_run(req) or req.started
    return request_state.end(req, None, UNKNOWN if may_have_run else NOT_RUN)


_STEPS = {
    events.Placed: _on_placed,
    events.NotPlaced: _on_not_placed,
    events.ClaimWritten: claim_handling.on_written,
    events.ClaimNotWritten: claim_handling.on_not_written,
    events.ClaimRead: claim_handling.on_read,
    events.ClaimNotRead: claim_handling.on_not_read,
    events.AgentReplied: claim_handling.on_agent_replied,
    events.AgentUnreachable: claim_handling.on_agent_silent,
    events.ResponseData: _on_data,
    events.AttemptEnded: _on_ended,
    events.AttemptDetached: _on_detached,
    events.AttemptNotSent: _on_not_sent,
    events.HedgeDue: _on_hedge_due,
    events.DeadlinePassed: _on_deadline,
    events.CallerDisconnected: _on_caller_gone,
}
