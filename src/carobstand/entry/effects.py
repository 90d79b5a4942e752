"""Applies the effects that the core returns for one request."""

import collections
import contextlib
import json

import anyio
import attrs

from carobstand import errors, logs
from carobstand.core import (
    admission,
    attempts,
    events,
    retries,
    routing,
    suspects,
)
from carobstand.entry import (
    attempt_tracking,
    backend_selection,
    calls,
    claim_store,
    request_metrics,
    suspect_sharing,
)
from carobstand.wire.gen import ttypes

_OUTCOMES = {
    ttypes.Outcome.DONE: attempts.Outcome.DONE,
    ttypes.Outcome.NOT_RUN: attempts.Outcome.NOT_RUN,
    ttypes.Outcome.UNKNOWN: attempts.Outcome.UNKNOWN,
}


@attrs.define(eq=False)
class PlacedAttempt:
    """An attempt of a request, the slot it occupies, and the events already reported.

    `sent_at` is None until the attempt is sent; the other fields say which of its
    events the core has received.
    """

    attempt: attempt_tracking.OpenAttempt
    choice: backend_selection.Choice
    sent_at: float | None = None
    head_reported: bool = False
    end_reported: bool = False
    reported_detach_at: float | None = None
    unreachable_reported: bool = False


@attrs.define(eq=False)
class Run:
    """One request in progress.

    `received_at` is the time of the last response bytes, `queued_s` the time spent in
    queues, `due` the expiry of the next timer. `scope` cancels an idempotent request.
    """

    state: object
    dp: object
    call: calls.Call
    sink: object
    req: object
    events: collections.deque = attrs.field(factory=collections.deque)
    wake: anyio.Event = attrs.field(factory=anyio.Event)
    answered: anyio.Event = attrs.field(factory=anyio.Event)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    due: float = float("inf")
    attempts: dict = attrs.field(factory=dict)
    ticket: object = None
    used: frozenset = frozenset()
    version: str = ""
    failure: Exception | None = None
    hedge_at: float | None = None
    received_at: float | None = None
    queued_s: float = 0.0
    first_sent: bool = False
    last_body_at: float | None = None
    closing: bool = False

    def post(self, event):
        """Queue an event for the core."""
        self.events.append(event)
        self.wake.set()

    def reserve(self, choice):
        """Occupy a slot at a backend server and reserve an attempt id."""
        routing.take(choice.candidate)
        retries.started(
            backend_selection.health_of(self.dp.pool, choice.candidate.vm),
            anyio.current_time(),
        )
        attempt = attempt_tracking.reserve(
            self.state, self.dp.open_attempts, self._on_change
        )
        self.attempts[attempt.attempt_id] = PlacedAttempt(attempt, choice)
        hello = choice.peer.hello
        self.post(
            events.Placed(attempt.attempt_id, hello.vm, hello.start_id, choice.version)
        )

    def _on_change(self):
        self.wake.set()


def collect_events(run):
    """Convert what arrived for the attempts of a request into events."""
    for attempt_id, placed in list(run.attempts.items()):
        attempt = placed.attempt
        if placed.sent_at is None or placed.end_reported:
            continue
        head = None
        if attempt.answer.status is not None and not placed.head_reported:
            placed.head_reported = True
            head = (
                attempt.answer.status,
                attempt.answer.headers,
                _is_stream(attempt.answer.headers),
            )
            _observe_first_byte(run, placed)
        data = attempt_tracking.take_data(attempt)
        if head is not None or data:
            run.received_at = anyio.current_time()
            run.events.append(events.ResponseData(attempt_id, data, head))
            if not run.req.started or run.req.gone:
                # Undelivered data is buffered in this entry or no longer needed.
                attempt_tracking.acknowledge(attempt, attempt.answer.end)
        if attempt_tracking.ended(attempt):
            placed.end_reported = True
            run.events.append(_end_event(run, placed))
        elif (
            attempt.detached_at is not None
            and placed.reported_detach_at != attempt.detached_at
        ):
            placed.reported_detach_at = attempt.detached_at
            run.events.append(events.AttemptDetached(attempt_id))
        elif attempt.unreachable and not placed.unreachable_reported:
            placed.unreachable_reported = True
            _record_suspect(run, attempt, "lost")


def _is_stream(headers):
    return any(
        name.lower() == "content-type" and value.lower().startswith("text/event-stream")
        for name, value in headers
    )


def _observe_first_byte(run, placed):
    waited_s = anyio.current_time() - placed.sent_at
    service = run.call.service.name
    first = run.dp.first_bytes.setdefault(service, retries.FirstByteTimes())
    retries.observe(first, waited_s)


def _end_event(run, placed):
    """Record the result of an attempt and return its event."""
    attempt, now = placed.attempt, anyio.current_time()
    vm = placed.choice.candidate.vm
    health = backend_selection.health_of(run.dp.pool, vm)
    if attempt.loss is not None:
        retries.failed(health, now)
        if attempt.loss is attempt_tracking.Loss.AGENT_GONE:
            _record_suspect(run, attempt, "lost")
        broken = attempt.loss is attempt_tracking.Loss.BROKEN
        return events.AttemptEnded(
            attempt.attempt_id, attempts.Outcome.UNKNOWN, attempt.loss_detail, broken
        )
    final = attempt.final
    outcome = _OUTCOMES[final.outcome]
    if final.running is not None:
        candidate = placed.choice.candidate
        candidate.others_in_flight = max(0, final.running - candidate.own_in_flight + 1)
        candidate.reported_at = now
    if outcome is attempts.Outcome.DONE:
        is_error = attempt.answer.status is not None and attempt.answer.status >= 500
        (retries.failed if is_error else retries.succeeded)(health, now)
    elif outcome is attempts.Outcome.UNKNOWN:
        retries.failed(health, now)
        if final.backend_died:
            if not final.backend_up:
                backend_selection.mark_failed(run.dp.pool, vm)
            _record_suspect(run, attempt, final.backend_starts or 0)
    elif final.backend_died:
        # The backend server is down, or restarted and not serving yet.
        retries.failed(health, now)
        backend_selection.mark_failed(run.dp.pool, vm)
    elif final.retry_after_ms:
        placed.choice.candidate.full_until = now + final.retry_after_ms / 1000
    full = outcome is attempts.Outcome.NOT_RUN and bool(final.retry_after_ms)
    return events.AttemptEnded(
        attempt.attempt_id, outcome, final.reason or "", no_slot=full
    )


def _record_suspect(run, attempt, number):
    failure = suspects.failure_id(attempt.vm, attempt.agent_start_id, number)
    suspect_sharing.record_failure(
        run.state, run.dp.suspect_tracker, run.call.fingerprint, failure
    )


def end_stalled_attempts(run):
    """Cancel the attempts of a stream that delivered nothing for too long."""
    run.received_at = None
    for attempt_id, placed in run.attempts.items():
        # An unreachable agent may reconnect and deliver the rest of the response.
        silent = placed.attempt.detached_at is None
        if placed.sent_at is not None and not placed.end_reported and silent:
            placed.end_reported = True
            attempt_tracking.cancel(placed.attempt)
            health = backend_selection.health_of(
                run.dp.pool, placed.choice.candidate.vm
            )
            retries.failed(health, anyio.current_time())
            run.post(
                events.AttemptEnded(
                    attempt_id, attempts.Outcome.UNKNOWN, "stream stalled"
                )
            )


async def apply_all(run, effects):
    """Apply effects in order."""
    for effect in effects:
        await _HANDLERS[type(effect)](run, effect)


async def _place(run, effect):
    run.used, run.version = effect.used, effect.version
    for placed in run.attempts.values():
        placed.attempt.waits_for_agent = (
            run.req.started and placed.attempt.detached_at is not None
        )
    if not effect.hedge:
        backend_selection.enqueue(run.state, run.dp, run)
        return
    now = anyio.current_time()
    choice = backend_selection.choose(
        run.state, run.dp, run.call, effect.used, effect.version, now
    )
    if choice is not None:
        request_metrics.count(run.state, "hedges", service=run.call.service.name)
        run.reserve(choice)


async def _send(run, effect):
    placed = run.attempts[effect.attempt_id]
    now = anyio.current_time()
    message = _message(run.call, placed.choice.version, effect.offset, now)
    peer = placed.choice.peer
    try:
        if not backend_selection.accepts_work(
            run.state, run.dp.pool, peer.hello.vm, peer
        ):
            raise errors.ConnectionClosedError("agent is leaving", step="request.send")
        attempt_tracking.send(run.state, placed.attempt, peer, message)
    except (errors.ConnectionClosedError, errors.WireError) as exc:
        run.post(events.AttemptNotSent(effect.attempt_id, exc.message))
        return
    placed.sent_at = now
    run.received_at = now
    logs.event(
        "attempt.sent",
        request=run.call.request_id,
        attempt=effect.attempt_id,
        version=placed.choice.version,
        peer=peer.hello.vm,
    )
    if not run.first_sent:
        run.first_sent = True
        own_s = now - run.call.arrived - run.queued_s
        request_metrics.record(run.state, "overhead_s", own_s)
        run.hedge_at = _hedge_at(run, now)


def _hedge_at(run, now):
    """Return the time at which a hedge is due, or None."""
    queue = run.dp.queues.queues.get(run.call.service.name)
    first = run.dp.first_bytes.get(run.call.service.name)
    failures = suspects.failures(run.dp.suspect_tracker.core, run.call.fingerprint, now)
    if first is None or failures or (queue is not None and queue.waiting):
        return None
    delay_s = retries.hedge_delay(first)
    if delay_s is None or run.state.cfg.router != "carobstand":
        return None
    return now + delay_s


def _message(call, version, offset, now):
    body = call.body
    if call.completion is not None:
        doc = {**call.completion, "model": f"{call.service.name}:{version}"}
        doc["priority"] = call.customer.priority or 0
        body = json.dumps(doc).encode()
    return ttypes.Attempt(
        request_id=call.request_id,
        service_name=call.service.name,
        version=version,
        method=call.method,
        path=call.path,
        headers=[ttypes.Header(name, value) for name, value in call.headers],
        body=body,
        idempotent=call.idempotent,
        deadline_ms=max(1, int((call.deadline - now) * 1000)),
        priority=call.customer.priority or 0,
        customer=call.customer.name,
        offset=offset,
        fingerprint=call.fingerprint,
    )


@contextlib.contextmanager
def _caller_loss_as_event(run):
    """Convert `CallerGoneError` to an event, so that later effects are applied."""
    try:
        yield
    except calls.CallerGoneError as exc:
        run.failure = exc
        run.post(events.CallerDisconnected())


async def _head(run, effect):
    now = anyio.current_time()
    waited_s = now - run.call.arrived
    request_metrics.record(run.state, "first_byte_s", waited_s, customer=_customer(run))
    with _caller_loss_as_event(run):
        await run.sink.head(effect.status, effect.headers, effect.outcome)


async def _body(run, effect):
    now = anyio.current_time()
    if run.last_body_at is not None:
        gap_s = now - run.last_body_at
        request_metrics.record(run.state, "token_gap_s", gap_s, customer=_customer(run))
    run.last_body_at = now
    with _caller_loss_as_event(run):
        await run.sink.data(effect.data)
    run.received_at = anyio.current_time()
    for placed in run.attempts.values():
        if placed.sent_at is not None and not placed.end_reported:
            attempt_tracking.acknowledge(placed.attempt, run.req.offset)


def _customer(run):
    return run.call.customer.name


async def _complete(run, effect):
    with _caller_loss_as_event(run):
        await run.sink.end()
    run.answered.set()


async def _refuse(run, effect):
    run.failure = calls.RefusedError(
        effect.status,
        effect.title,
        effect.detail,
        effect.outcome,
        effect.retry_after_s,
    )
    run.answered.set()


async def _cut(run, effect):
    run.failure = calls.CutError(effect.reason, step="request.answer")
    run.answered.set()


async def _cancel(run, effect):
    placed = run.attempts.get(effect.attempt_id)
    if placed is not None:
        attempt_tracking.cancel(placed.attempt)


async def _close(run, effect):
    placed = run.attempts.pop(effect.attempt_id, None)
    if placed is None:
        return
    attempt_tracking.release(run.state, run.dp.open_attempts, placed.attempt)
    routing.give_back(placed.choice.candidate)
    if not run.closing:
        backend_selection.admit_waiting(run.state, run.dp, run.call.service.name)


async def _write_claim(run, effect):
    run.post(
        await claim_store.write(
            run.state, run.dp.claims, run.call.claim_key, effect.claim, effect.expect
        )
    )


async def _read_claim(run, effect):
    run.post(
        await claim_store.read(
            run.state, run.call.claim_key, run.dp.open_attempts.by_id
        )
    )


async def _drop_claim(run, effect):
    run.dp.tasks.start_soon(
        claim_store.drop, run.state, run.call.claim_key, effect.expect
    )


async def _store_outcome(run, effect):
    placed = run.attempts.pop(effect.attempt_id, None)
    if placed is not None:
        routing.give_back(placed.choice.candidate)

    async def store():
        try:
            await claim_store.store_outcome(
                run.state,
                run.dp.claims,
                run.call.claim_key,
                effect.claim,
                effect.expect,
            )
        finally:
            if placed is not None:
                attempt_tracking.release(
                    run.state, run.dp.open_attempts, placed.attempt
                )

    run.dp.tasks.start_soon(store)


async def _ask_agent(run, effect):
    run.post(await claim_store.query_agent(run.state, run.dp.claims, effect.claim))


def clean_up(run):
    """Release the resources of a request, also if its task was cancelled."""
    run.closing = True
    now = anyio.current_time()
    for placed in run.attempts.values():
        if placed.sent_at is not None:
            attempt_tracking.cancel(placed.attempt)
        attempt_tracking.release(run.state, run.dp.open_attempts, placed.attempt)
        routing.give_back(placed.choice.candidate)
    run.attempts.clear()
    if run.ticket is not None:
        admission.release(run.dp.queues, run.ticket, now)
    backend_selection.admit_waiting(run.state, run.dp, run.call.service.name)


_HANDLERS = {
    events.PlaceAttempt: _place,
    events.SendAttempt: _send,
    events.WriteClaim: _write_claim,
    events.ReadClaim: _read_claim,
    events.DeleteClaim: _drop_claim,
    events.StoreOutcome: _store_outcome,
    events.QueryAgent: _ask_agent,
    events.SendHead: _head,
    events.SendBody: _body,
    events.CompleteResponse: _complete,
    events.RejectRequest: _refuse,
    events.AbortResponse: _cut,
    events.CancelAttempt: _cancel,
    events.CloseAttempt: _close,
}
