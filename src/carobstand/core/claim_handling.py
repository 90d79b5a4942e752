"""Handlers of the request events that concern its claim.

A claim is written before an attempt is sent. If the store already has one, its stored
response is returned or the agent that it names is asked for its attempt.
"""

from carobstand.core import attempts, claims, events, request_state

MAX_CLAIM_WRITES = 3
"""Maximum writes of one claim when the store does not confirm them."""


def write(req, placed):
    """Return the effect that writes the claim for the attempt `placed`."""
    req.pending = placed
    req.stage = request_state.Stage.CLAIMING
    req.claim_held = False
    req.claim_writes += 1
    return [events.WriteClaim(_claim_of(req), req.claim_revision)]


def _claim_of(req):
    placed = req.pending
    return claims.Claim(
        req.digest,
        req.entry_start_id,
        placed.vm,
        placed.agent_start_id,
        placed.attempt_id,
    )


def on_written(req, event):
    """Send the attempt named by the claim that was written."""
    req.claim = _claim_of(req)
    req.claim_revision = event.revision
    req.claim_held = True
    req.claim_writes = 0
    req.earlier_may_have_run = False
    if req.gone:
        return request_state.refuse(req, 503, "Caller gone", "before the call was sent")
    return request_state.send(req, req.pending.attempt_id)


def on_not_written(req, event):
    """Read the claim in the store after a failed write."""
    if event.conflict:
        req.earlier_may_have_run = True
    req.stage = request_state.Stage.READING
    return [events.ReadClaim()]


def on_read(req, event):
    """Continue with the claim in the store, which this request may have written."""
    claim, placed = event.claim, req.pending
    req.claim_revision = event.revision
    if claim is None:
        req.claim_revision = 0
        req.earlier_may_have_run = False
        if placed is None:
            return [request_state.place(req)]
        if req.claim_writes >= MAX_CLAIM_WRITES:
            return request_state.refuse(
                req, 503, "The claim of the call cannot be written"
            )
        return write(req, placed)
    own = claim.entry_start_id == req.entry_start_id
    if placed is None:
        return _on_existing_claim(req, event)
    if own and claim.attempt_id == placed.attempt_id:
        return on_written(req, events.ClaimWritten(event.revision))
    if own and claim == req.claim:
        # The store still has the previous claim of this request: the write that
        # should have replaced it did not take effect.
        if req.claim_writes >= MAX_CLAIM_WRITES:
            return request_state.refuse(
                req, 503, "The claim of the call cannot be written"
            )
        return write(req, placed)
    return _on_existing_claim(req, event)


def _on_existing_claim(req, event):
    """Continue with the claim of an earlier or concurrent request with this key."""
    req.claim = event.claim
    req.earlier_may_have_run = True
    effects = _drop_pending(req)
    action = claims.next_action(event.claim, req.digest)
    if action is claims.Action.MISMATCH:
        req.earlier_may_have_run = False
        detail = "The Idempotency-Key was used for another request"
        return effects + request_state.refuse(req, 422, "Key used before", detail, None)
    if action is claims.Action.REPLAY:
        return effects + _replay(req, event.claim.response)
    if action is claims.Action.RESPONSE_NOT_HELD:
        detail = "The call ran; its response was too large to be stored"
        refusal = events.RejectRequest(
            409, "Response not held", detail, request_state.DONE
        )
        return effects + request_state.end(req, refusal, request_state.DONE)
    if event.open_here:
        return effects + _in_progress(req)
    req.stage = request_state.Stage.ASKING
    return effects + [events.QueryAgent(event.claim)]


def _drop_pending(req):
    placed, req.pending = req.pending, None
    if placed is None:
        return []
    del req.open_attempts[placed.attempt_id]
    req.used.discard(placed.vm)
    return [events.CloseAttempt(placed.attempt_id)]


def _in_progress(req):
    refusal = events.RejectRequest(
        409,
        "In progress",
        "A call with this key is running",
        request_state.UNKNOWN,
        events.RETRY_AFTER_S,
    )
    return request_state.end(req, refusal, request_state.UNKNOWN)


def _replay(req, stored):
    head = events.SendHead(stored.status, stored.headers, request_state.DONE)
    req.stage = request_state.Stage.ENDED
    req.outcome = request_state.DONE
    if req.gone:
        return []
    return [head, events.SendBody(stored.body), events.CompleteResponse()]


def on_not_read(req, event):
    """End the request because the store cannot be read."""
    detail = f"The configuration store does not answer: {event.reason}"
    if req.earlier_may_have_run:
        return request_state.unknown(req, detail, status=503)
    return request_state.refuse(req, 503, "Claims are unavailable", detail)


def on_agent_replied(req, event):
    """Continue with the phase of the claimed attempt at its agent."""
    if event.phase is attempts.Phase.RUNNING:
        return _in_progress(req)
    if claims.may_replace(event.phase):
        req.earlier_may_have_run = False
        return [request_state.place(req)]
    if event.answer is None:
        return request_state.unknown(req, "The response of the call is no longer held")
    answer = event.answer
    finished = claims.finish(req.claim, answer.status, answer.headers, answer.body)
    store = events.StoreOutcome(finished, req.claim_revision, None)
    return [*_replay(req, answer), store]


def on_agent_silent(req, event):
    """End the request because the agent that may have run the call cannot reply."""
    if event.gone:
        return request_state.unknown(req, "The agent that had the call was replaced")
    return request_state.unknown(req, "The agent that has the call does not answer")


def finished(req, status, headers, body):
    """Return the effect that stores the outcome of the call."""
    claim = claims.finish(req.claim, status, headers, body)
    return events.StoreOutcome(claim, req.claim_revision, req.pending.attempt_id)
