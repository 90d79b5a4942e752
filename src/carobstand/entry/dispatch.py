"""Request processing: runs the state machine of the core for each request."""

import anyio
import attrs

from carobstand import errors, logs
from carobstand.core import admission, events, request_state, requests, retries
from carobstand.entry import (
    attempt_tracking,
    backend_selection,
    calls,
    claim_store,
    effects,
    request_metrics,
    suspect_sharing,
)
from carobstand.wire import handlers
from carobstand.wire.gen import ttypes

LATE_COMPLETION_S = 35.0
"""Time after the deadline during which a non-idempotent call may still complete.

Its response is stored for client retries; the agent allows 30 s.
"""

TICK_S = 0.02
"""Resolution of request timers; hedge delays are tenths of a second."""

WRITE_TIMEOUT_S = 30.0
"""Maximum time for a caller to read a part of its response."""

STALL_TIMEOUT_S = 5.0
"""Idle time of a started engine stream after which it is resumed elsewhere.

The target between two tokens is 28 ms.
"""


@attrs.define(eq=False)
class Dispatcher:
    """State of request processing in one entry.

    `first_bytes` holds times to the first byte by service, for hedging; `runs` are
    the requests in progress, and `has_runs` is set when there may be one.
    """

    open_attempts: attempt_tracking.OpenAttempts = attrs.field(
        factory=attempt_tracking.OpenAttempts
    )
    queues: admission.Admission = attrs.field(factory=admission.Admission)
    pool: backend_selection.Pool = attrs.field(factory=backend_selection.Pool)
    suspect_tracker: suspect_sharing.SuspectTracker = attrs.field(
        factory=suspect_sharing.SuspectTracker
    )
    claims: claim_store.PendingClaims = attrs.field(factory=claim_store.PendingClaims)
    budget: retries.Budget = attrs.field(factory=retries.Budget)
    first_bytes: dict = attrs.field(factory=dict)
    tasks: object = None
    runs: set = attrs.field(factory=set)
    has_runs: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def open_requests(self):
        """Number of requests that have not ended."""
        return len(self.runs)


def attach(state):
    """Return the dispatcher of `state`; it is created at the first call."""
    if state.dispatcher is None:
        dp = state.dispatcher = Dispatcher()
        state.suspects = dp.suspect_tracker

        def lost(vm, peer):
            backend_selection.on_agent_lost(state, dp, vm, peer)

        def joined(vm, peer):
            backend_selection.on_agent_joined(state, dp, vm, peer)

        state.agent_lost.append(lost)
        state.agent_joined.append(joined)
    return state.dispatcher


def part(state):
    """Return the handlers and the loop that serve requests of this entry."""
    dp = attach(state)

    async def on_batch(conn, message):
        attempt_tracking.on_frames(dp.open_attempts, conn, message)

    async def on_revoke_reply(conn, message):
        claim_store.on_reply(dp.claims, conn, message)

    async def run():
        async with anyio.create_task_group() as tasks:
            dp.tasks = tasks
            tasks.start_soon(
                attempt_tracking.watch_connections, state, dp.open_attempts
            )
            tasks.start_soon(backend_selection.run, state, dp)
            tasks.start_soon(backend_selection.serve_queues, state, dp)
            tasks.start_soon(suspect_sharing.run, state, dp.suspect_tracker)
            tasks.start_soon(_tick, dp)

    return handlers.Part(
        {ttypes.AnswerBatch: on_batch, ttypes.RevokeReply: on_revoke_reply}, run
    )


async def handle(state, call, sink):
    """Process one request.

    Parameters
    ----------
    state : entry.state.EntryState
    call : calls.Call
    sink : object
        Async methods ``head(status, headers, outcome)``, ``data(bytes)`` and
        ``end()``, each of which waits while the caller reads slowly, and
        ``on_gone``, which is set here and called when the caller disconnects.

    Raises
    ------
    calls.RefusedError
        If the request is to be answered with a problem document. Nothing was
        passed to `sink`.
    calls.CutError
        If the response cannot be completed after its start was delivered.
    calls.CallerGoneError
        If the caller disconnected.
    """
    dp = attach(state)
    if dp.tasks is None:
        outcome = calls.NOT_RUN if call.idempotent else calls.UNKNOWN
        raise calls.RefusedError(503, "The entry is starting", "", outcome, 1.0)
    run = effects.Run(state, dp, call, sink, _request(state, dp, call))

    def on_disconnect():
        run.post(events.CallerDisconnected())
        run.answered.set()

    sink.on_disconnect = on_disconnect
    if call.idempotent:
        with run.scope:
            await _drive(run)
        if run.scope.cancelled_caught:
            raise calls.CallerGoneError("caller reads too slowly", step="request.write")
    else:
        # The call continues if its caller disconnects, and its outcome is stored.
        sink.has_write_timeout = True
        dp.tasks.start_soon(_drive, run)
        await run.answered.wait()
    if run.failure is None and run.req.gone:
        raise calls.CallerGoneError("caller disconnected", step="request.answer")
    if run.failure is not None:
        raise run.failure


def _request(state, dp, call):
    engine = call.service.type == "engine"
    return request_state.Request(
        idempotent=call.idempotent,
        digest=call.digest,
        entry_start_id=state.start_id,
        resumable=engine,
        budget=dp.budget,
    )


async def _drive(run):
    """Apply the effects of one request until it has ended."""
    run.dp.runs.add(run)
    run.dp.has_runs.set()
    try:
        await effects.apply_all(run, requests.begin(run.req))
        while run.req.stage is not request_state.Stage.ENDED or run.events:
            if not run.events:
                await _wait(run)
            while run.events:
                event = run.events.popleft()
                await effects.apply_all(run, requests.step(run.req, event))
    except errors.InvariantError as exc:
        run.dp.tasks.start_soon(_crash_process, exc)
        raise
    finally:
        run.dp.runs.discard(run)
        effects.clean_up(run)
        _record_end(run)
        run.answered.set()


async def _crash_process(exc):
    """Raise `exc` in the task group, which ends the process.

    The process must not continue after a violated invariant.
    """
    raise exc


async def _tick(dp):
    """Wake requests whose timer has expired; cancel those whose write timed out.

    One loop serves all requests: a timer per wait took a sixth of the time that an
    entry spends on a token.
    """
    while True:
        if not dp.runs:
            dp.has_runs = anyio.Event()
            await dp.has_runs.wait()
        await anyio.sleep(TICK_S)
        now = anyio.current_time()
        for run in list(dp.runs):
            if run.due <= now:
                run.wake.set()
            since = run.sink.write_started_at
            if since is not None and now - since > WRITE_TIMEOUT_S:
                run.scope.cancel()


async def _wait(run):
    """Wait for the next event of a request, or for its next timer.

    What arrived while effects were applied, for example during a slow write to the
    caller, is collected first: it has set the previous `wake`, and nothing more may
    arrive, as the agent waits for acknowledgements once its window is full.
    """
    effects.collect_events(run)
    if run.events:
        return
    now = anyio.current_time()
    due, event = _next_timer(run, now)
    if due > now:
        run.due = due
        run.wake = anyio.Event()
        await run.wake.wait()
    effects.collect_events(run)
    if not run.events and anyio.current_time() >= due:
        _post_timer_event(run, event)


def _next_timer(run, now):
    """Return the expiry time of the next timer of a request, and its event.

    The event is None for the stall timeout of a stream.
    """
    late = run.req.gone and not run.call.idempotent
    timers = [
        (
            run.call.deadline + (LATE_COMPLETION_S if late else 0.0),
            events.DeadlinePassed(),
        )
    ]
    if run.hedge_at is not None:
        timers.append((run.hedge_at, events.HedgeDue()))
    if run.req.started and run.req.resumable and run.received_at is not None:
        timers.append((run.received_at + STALL_TIMEOUT_S, None))
    return min(timers, key=lambda timer: timer[0])


def _post_timer_event(run, event):
    if event is None:
        effects.end_stalled_attempts(run)
        return
    if isinstance(event, events.HedgeDue):
        run.hedge_at = None
    run.post(event)


def _record_end(run):
    outcome = run.req.outcome
    labels = {
        "customer": run.call.customer.name,
        "outcome": calls.OUTCOME_HEADER.get(outcome, "unknown"),
    }
    took_s = anyio.current_time() - run.call.arrived
    request_metrics.record(run.state, "request_s", took_s, **labels)
    request_metrics.count(run.state, "requests", **labels)
    logs.event(
        "request.ended",
        request=run.call.request_id,
        outcome=labels["outcome"],
        attempts=run.req.attempts_sent,
        error=str(run.failure) if run.failure else "",
    )
