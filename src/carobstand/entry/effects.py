"""Carries out what the core decides for one request."""

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
from carobstand.entry import calls, claimstore, measure, placing, suspecting, tries
from carobstand.wire.gen import ttypes

_OUTCOMES = {
    ttypes.Outcome.DONE: attempts.Outcome.DONE,
    ttypes.Outcome.NOT_RUN: attempts.Outcome.NOT_RUN,
    ttypes.Outcome.UNKNOWN: attempts.Outcome.UNKNOWN,
}


@attrs.define(eq=False)
class Sent:
    """An attempt of a request: its transport and the backend server it occupies."""

    t: tries.Try
    choice: placing.Choice
    sent_at: float | None = None
    head_passed: bool = False
    end_passed: bool = False
    detach_passed: float | None = None
    unreachable_passed: bool = False


@attrs.define(eq=False)
class Run:
    """One request in progress.

    `heard_at` is the time of the last answer bytes, `queued_s` the time spent in
    queues, `due` the end of the next timer. `scope` ends an idempotent request.
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
    heard_at: float | None = None
    queued_s: float = 0.0
    first_sent: bool = False
    last_body_at: float | None = None
    closing: bool = False

    def post(self, event):
        """Queue an event of the core."""
        self.events.append(event)
        self.wake.set()

    def reserve(self, choice):
        """Occupy a backend server and take an attempt id."""
        routing.take(choice.candidate)
        retries.started(
            placing.health_of(self.dp.pool, choice.candidate.vm), anyio.current_time()
        )
        t = tries.reserve(self.state, self.dp.book, self._changed)
        self.attempts[t.attempt_id] = Sent(t, choice)
        hello = choice.peer.hello
        self.post(events.Placed(t.attempt_id, hello.vm, hello.start_id, choice.version))

    def _changed(self):
        self.wake.set()


def collect(run):
    """Turn what arrived for the attempts of a request into events."""
    for attempt_id, sent in list(run.attempts.items()):
        t = sent.t
        if sent.sent_at is None or sent.end_passed:
            continue
        head = None
        if t.answer.status is not None and not sent.head_passed:
            sent.head_passed = True
            head = (t.answer.status, t.answer.headers, _is_stream(t.answer.headers))
            _note_first_bytes(run, sent)
        data = tries.take_data(t)
        if head is not None or data:
            run.heard_at = anyio.current_time()
            run.events.append(events.Data(attempt_id, data, head))
            if not run.req.started or run.req.gone:
                # What is not delivered is held by this entry or not wanted.
                tries.delivered(t, t.answer.end)
        if tries.ended(t):
            sent.end_passed = True
            run.events.append(_ended(run, sent))
        elif t.detached_at is not None and sent.detach_passed != t.detached_at:
            sent.detach_passed = t.detached_at
            run.events.append(events.Detached(attempt_id))
        elif t.unreachable and not sent.unreachable_passed:
            sent.unreachable_passed = True
            _suspect(run, t, "lost")


def _is_stream(headers):
    return any(
        name.lower() == "content-type" and value.lower().startswith("text/event-stream")
        for name, value in headers
    )


def _note_first_bytes(run, sent):
    waited_s = anyio.current_time() - sent.sent_at
    service = run.call.service.name
    first = run.dp.first_bytes.setdefault(service, retries.FirstBytes())
    retries.observe(first, waited_s)


def _ended(run, sent):
    """Record the result of an attempt and return its event."""
    t, now = sent.t, anyio.current_time()
    vm = sent.choice.candidate.vm
    health = placing.health_of(run.dp.pool, vm)
    if t.lost is not None:
        retries.failed(health, now)
        if t.lost is tries.Loss.AGENT_GONE:
            _suspect(run, t, "lost")
        broken = t.lost is tries.Loss.BROKEN
        return events.Ended(
            t.attempt_id, attempts.Outcome.UNKNOWN, t.lost_detail, broken
        )
    final = t.final
    outcome = _OUTCOMES[final.outcome]
    if final.running is not None:
        candidate = sent.choice.candidate
        candidate.others = max(0, final.running - candidate.own + 1)
        candidate.reported_at = now
    if outcome is attempts.Outcome.DONE:
        bad = t.answer.status is not None and t.answer.status >= 500
        (retries.failed if bad else retries.succeeded)(health, now)
    elif outcome is attempts.Outcome.UNKNOWN:
        retries.failed(health, now)
        if final.backend_died:
            if not final.backend_up:
                placing.mark_failed(run.dp.pool, vm)
            _suspect(run, t, final.backend_starts or 0)
    elif final.backend_died:
        # The backend server is down, or was restarted and serves nothing.
        retries.failed(health, now)
        placing.mark_failed(run.dp.pool, vm)
    elif final.retry_after_ms:
        sent.choice.candidate.full_until = now + final.retry_after_ms / 1000
    full = outcome is attempts.Outcome.NOT_RUN and bool(final.retry_after_ms)
    return events.Ended(t.attempt_id, outcome, final.reason or "", full=full)


def _suspect(run, t, number):
    failure = suspects.failure_id(t.vm, t.agent_start_id, number)
    suspecting.failed(run.state, run.dp.shared, run.call.fingerprint, failure)


def give_up_stalled(run):
    """End the attempts of a stream that has been silent for too long."""
    run.heard_at = None
    for attempt_id, sent in run.attempts.items():
        # An agent that is unreachable may come back with the rest of the answer.
        silent = sent.t.detached_at is None
        if sent.sent_at is not None and not sent.end_passed and silent:
            sent.end_passed = True
            tries.cancel(sent.t)
            health = placing.health_of(run.dp.pool, sent.choice.candidate.vm)
            retries.failed(health, anyio.current_time())
            run.post(
                events.Ended(attempt_id, attempts.Outcome.UNKNOWN, "stream stalled")
            )


async def apply_all(run, effects):
    """Carry out effects in order."""
    for effect in effects:
        await _APPLY[type(effect)](run, effect)


async def _place(run, effect):
    run.used, run.version = effect.used, effect.version
    for sent in run.attempts.values():
        sent.t.patient = run.req.started and sent.t.detached_at is not None
    if not effect.hedge:
        placing.enqueue(run.state, run.dp, run)
        return
    now = anyio.current_time()
    choice = placing.choose(
        run.state, run.dp, run.call, effect.used, effect.version, now
    )
    if choice is not None:
        measure.count(run.state, "hedges", service=run.call.service.name)
        run.reserve(choice)


async def _send(run, effect):
    sent = run.attempts[effect.attempt_id]
    now = anyio.current_time()
    message = _message(run.call, sent.choice.version, effect.offset, now)
    peer = sent.choice.peer
    try:
        if not placing.able(run.state, run.dp.pool, peer.hello.vm, peer):
            raise errors.ConnectionClosedError("agent is leaving", step="request.send")
        tries.send(run.state, sent.t, peer, message)
    except (errors.ConnectionClosedError, errors.WireError) as exc:
        run.post(events.NotSent(effect.attempt_id, exc.message))
        return
    sent.sent_at = now
    run.heard_at = now
    logs.event(
        "attempt.sent",
        request=run.call.request_id,
        attempt=effect.attempt_id,
        version=sent.choice.version,
        peer=peer.hello.vm,
    )
    if not run.first_sent:
        run.first_sent = True
        own_s = now - run.call.arrived - run.queued_s
        measure.record(run.state, "overhead_s", own_s)
        run.hedge_at = _hedge_at(run, now)


def _hedge_at(run, now):
    """Return when a second attempt is due; None if there is to be none."""
    queue = run.dp.queues.queues.get(run.call.service.name)
    first = run.dp.first_bytes.get(run.call.service.name)
    failures = suspects.failures(run.dp.shared.core, run.call.fingerprint, now)
    if first is None or failures or (queue is not None and queue.waiting):
        return None
    delay_s = retries.hedge_delay(first)
    if delay_s is None or run.state.cfg.router != "carobstand":
        return None
    return now + delay_s


def _message(call, version, offset, now):
    body = call.body
    if call.model is not None:
        doc = {**call.model, "model": f"{call.service.name}:{version}"}
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
def _caller(run):
    """Turn the loss of the caller into an event; later effects are still applied."""
    try:
        yield
    except calls.CallerGoneError as exc:
        run.failure = exc
        run.post(events.CallerGone())


async def _head(run, effect):
    now = anyio.current_time()
    waited_s = now - run.call.arrived
    measure.record(run.state, "first_byte_s", waited_s, customer=_customer(run))
    with _caller(run):
        await run.sink.head(effect.status, effect.headers, effect.outcome)


async def _body(run, effect):
    now = anyio.current_time()
    if run.last_body_at is not None:
        gap_s = now - run.last_body_at
        measure.record(run.state, "token_gap_s", gap_s, customer=_customer(run))
    run.last_body_at = now
    with _caller(run):
        await run.sink.data(effect.data)
    run.heard_at = anyio.current_time()
    for sent in run.attempts.values():
        if sent.sent_at is not None and not sent.end_passed:
            tries.delivered(sent.t, run.req.offset)


def _customer(run):
    return run.call.customer.name


async def _complete(run, effect):
    with _caller(run):
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
    sent = run.attempts.get(effect.attempt_id)
    if sent is not None:
        tries.cancel(sent.t)


async def _close(run, effect):
    sent = run.attempts.pop(effect.attempt_id, None)
    if sent is None:
        return
    tries.release(run.state, run.dp.book, sent.t)
    routing.give_back(sent.choice.candidate)
    if not run.closing:
        placing.pump(run.state, run.dp, run.call.service.name)


async def _write_claim(run, effect):
    run.post(
        await claimstore.write(
            run.state, run.dp.claims, run.call.claim_key, effect.claim, effect.expect
        )
    )


async def _read_claim(run, effect):
    run.post(await claimstore.read(run.state, run.call.claim_key, run.dp.book.open))


async def _drop_claim(run, effect):
    run.dp.tasks.start_soon(
        claimstore.drop, run.state, run.call.claim_key, effect.expect
    )


async def _store_outcome(run, effect):
    sent = run.attempts.pop(effect.attempt_id, None)
    if sent is not None:
        routing.give_back(sent.choice.candidate)

    async def store():
        try:
            await claimstore.store_outcome(
                run.state,
                run.dp.claims,
                run.call.claim_key,
                effect.claim,
                effect.expect,
            )
        finally:
            if sent is not None:
                tries.release(run.state, run.dp.book, sent.t)

    run.dp.tasks.start_soon(store)


async def _ask_agent(run, effect):
    run.post(await claimstore.ask(run.state, run.dp.claims, effect.claim))


def clean_up(run):
    """Release everything that a request holds, also if its task was cancelled."""
    run.closing = True
    now = anyio.current_time()
    for sent in run.attempts.values():
        if sent.sent_at is not None:
            tries.cancel(sent.t)
        tries.release(run.state, run.dp.book, sent.t)
        routing.give_back(sent.choice.candidate)
    run.attempts.clear()
    if run.ticket is not None:
        admission.leave(run.dp.queues, run.ticket, now)
    placing.pump(run.state, run.dp, run.call.service.name)


_APPLY = {
    events.Place: _place,
    events.Send: _send,
    events.WriteClaim: _write_claim,
    events.ReadClaim: _read_claim,
    events.DropClaim: _drop_claim,
    events.StoreOutcome: _store_outcome,
    events.AskAgent: _ask_agent,
    events.Head: _head,
    events.Body: _body,
    events.Complete: _complete,
    events.Refuse: _refuse,
    events.Cut: _cut,
    events.Cancel: _cancel,
    events.Close: _close,
}
