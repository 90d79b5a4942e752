"""Runs attempts against the backend server and streams the responses to entries."""

import anyio
import attrs
import httpx

from carobstand import errors, logs
from carobstand.agent import frames
from carobstand.core import attempts
from carobstand.core import table as tables
from carobstand.wire import connection, handlers
from carobstand.wire.gen import ttypes

BATCH_BYTES = 512 * 1024
"""Largest amount of response data in one `AnswerBatch`."""

CONNECT_TIMEOUT_S = 2.0
"""Connect timeout to the backend server, which is on the same VM."""

PROBE_TIMEOUT_S = 0.3
"""Connect timeout of the probe that checks whether the backend server is up."""

CANCEL_GRACE_S = 30.0
"""How long a non-idempotent request may run past its deadline.

Its response is still stored for client retries.
"""

FINAL_ACK_S = 6.0
"""Longest wait for the entry to acknowledge the end of a response.

Until then the attempt counts as running, so that an agent that is leaving does not exit
before the entry has the complete response. This is long enough to replace a silent
connection.
"""

BUSY_RETRY_MS = 50
"""Time after which an entry may retry at a backend server that was at its limit."""

OUTBOX_IDLE_S = 1.0
"""Interval of checks whether a connection with an empty outbox has closed."""

SERVED_VERSION_HEADER = "X-Served-Version"

_PHASES = {
    attempts.Phase.NOT_SEEN: ttypes.AttemptPhase.NOT_SEEN,
    attempts.Phase.RUNNING: ttypes.AttemptPhase.RUNNING,
    attempts.Phase.FINISHED: ttypes.AttemptPhase.FINISHED,
    attempts.Phase.REFUSED: ttypes.AttemptPhase.REFUSED,
}


@attrs.define(eq=False)
class Run:
    """An attempt in progress.

    Attributes
    ----------
    attempt : core.attempts.Attempt
    message : ttypes.Attempt
    conn : wire.connection.Connection
        Connection to the entry that receives the response.
    scope : anyio.CancelScope
    acked : anyio.Event
        Set when the entry acknowledges data, which may reopen the send window.
    final_acked : anyio.Event
        Set when the entry has acknowledged the complete response, or on cancellation.
    cancelled : bool
    backend_starts : int
        `Executor.backend_starts` when the attempt began.
    """

    attempt: attempts.Attempt
    message: ttypes.Attempt
    conn: connection.Connection
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    acked: anyio.Event = attrs.field(factory=anyio.Event)
    final_acked: anyio.Event = attrs.field(factory=anyio.Event)
    cancelled: bool = False
    backend_starts: int = 0


@attrs.define(eq=False)
class Outbox:
    """Runs with unsent frames for one connection, in order of arrival."""

    unsent: dict = attrs.field(factory=dict)
    wake: anyio.Event = attrs.field(factory=anyio.Event)


@attrs.define(eq=False)
class Executor:
    """State of the executor of one agent.

    Attributes
    ----------
    state : agent.state.AgentState
    client : httpx.AsyncClient
    known_attempts : core.attempts.Attempts
    probe : async callable of a URL
        Returns whether the backend server accepts connections.
    tasks : anyio.abc.TaskGroup or None
        None while the loop does not run.
    runs : dict of (entry start id, attempt id) to Run
    outboxes : dict of wire.connection.Connection to Outbox
    backend_starts : int
        Incremented once per failure of the backend server, however many runs it ends.
    active : int
        Attempts that occupy the backend server.
    """

    state: object
    client: httpx.AsyncClient
    known_attempts: attempts.Attempts
    probe: object
    tasks: object = None
    runs: dict = attrs.field(factory=dict)
    outboxes: dict = attrs.field(factory=dict)
    backend_starts: int = 0
    active: int = 0


def part(state, client=None, probe=None):
    """Return the handlers and the background loop of the executor.

    Parameters
    ----------
    state : agent.state.AgentState
    client : httpx.AsyncClient or None
        None creates a client for ``cfg.backend_url``.
    probe : async callable of a URL, or None
        Returns whether the backend server accepts connections; None opens a connection.
    """
    client = client or _client(state.cfg.backend_url)
    ex = Executor(state, client, attempts.Attempts(state.start_id), probe or _probe)

    async def on_attempt(conn, message):
        _on_attempt(ex, conn, message)

    async def on_ack(conn, message):
        run = ex.runs.get((conn.peer.start_id, message.attempt_id))
        if run is not None:
            attempts.acknowledge(run.attempt, message.offset)
            run.acked.set()
            if run.attempt.final_sent and message.offset == run.attempt.end:
                run.final_acked.set()

    async def on_cancel(conn, message):
        run = ex.runs.get((conn.peer.start_id, message.attempt_id))
        if run is not None:
            _cancel(run)

    async def on_revoke(conn, message):
        _on_revoke(ex, conn, message)

    async def on_resume(conn, message):
        _on_resume(ex, conn, message)

    async def run():
        async with anyio.create_task_group() as tasks:
            ex.tasks = tasks
            try:
                await _apply_floors(ex)
            finally:
                ex.tasks = None
                with anyio.CancelScope(shield=True):
                    await ex.client.aclose()

    return handlers.Part(
        {
            ttypes.Attempt: on_attempt,
            ttypes.AnswerAck: on_ack,
            ttypes.Cancel: on_cancel,
            ttypes.Revoke: on_revoke,
            ttypes.Resume: on_resume,
        },
        run,
    )


def _client(url):
    # No keep-alive: if the backend server closes an idle connection just before it is
    # reused, this looks the same as a failure while the request ran.
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
    client = httpx.AsyncClient(
        base_url=url,
        timeout=httpx.Timeout(None, connect=CONNECT_TIMEOUT_S),
        limits=limits,
        trust_env=False,
        follow_redirects=False,
    )
    client.headers.clear()
    return client


async def _apply_floors(ex):
    while True:
        now = anyio.current_time()
        for start_id, floor in list(ex.state.attempt_floors.items()):
            for attempt in attempts.raise_floor(
                ex.known_attempts, start_id, floor, now
            ):
                run = ex.runs.get((start_id, attempt.attempt_id))
                if run is not None:
                    _cancel(run)
        connected = {conn.peer.start_id for conn in ex.state.entries.values()}
        for attempt in attempts.discard_disconnected(ex.known_attempts, connected, now):
            _cancel(ex.runs[(attempt.entry_start_id, attempt.attempt_id)])
        for key in [
            key for key in ex.runs if attempts.find(ex.known_attempts, *key) is None
        ]:
            if ex.runs[key].attempt.final is not None:
                del ex.runs[key]
        attempts.drop_idle_entries(ex.known_attempts, now)
        for conn in [conn for conn in ex.outboxes if conn.closed.is_set()]:
            del ex.outboxes[conn]
        await anyio.sleep(0.5)


def _refusal(ex, conn, message):
    """Return the reason to refuse an attempt, or an empty string."""
    state = ex.state
    if message.entry_start_id != conn.peer.start_id:
        return "sent by another start of the entry"
    reason = attempts.refusal_reason(
        ex.known_attempts,
        message.entry_start_id,
        message.agent_start_id,
        message.attempt_id,
        anyio.current_time(),
    )
    if reason:
        return reason
    if state.leaving or ex.tasks is None:
        return "agent is leaving"
    if not state.backend_up:
        return "backend server is down"
    if message.service_name not in state.cfg.services:
        return "service is not run here"
    if message.version:
        replica = state.replicas.get((message.service_name, message.version))
        if replica is None or replica.phase != ttypes.ReplicaPhase.SERVING:
            return "version is not served"
    elif state.cfg.backend_type == "engine":
        return "attempt without a version"
    return ""


def _is_full(ex, message):
    """Whether the backend server already runs as many attempts as the table allows."""
    if ex.state.table is None:
        return False
    row = tables.service(ex.state.table, message.service_name)
    limit = row.max_in_flight if row is not None else None
    return limit is not None and ex.active >= limit


def _on_attempt(ex, conn, message):
    key = (message.entry_start_id, message.attempt_id)
    now = anyio.current_time()
    if key in ex.runs and key[0] == conn.peer.start_id:
        logs.event("attempt.copy", request=message.request_id, attempt=key[1])
        return
    reason = _refusal(ex, conn, message)
    full = not reason and _is_full(ex, message)
    if full:
        reason = "backend server is at its limit"
    if reason:
        if message.entry_start_id == conn.peer.start_id:
            attempts.revoke_unseen(ex.known_attempts, *key, now)
        logs.event(
            "attempt.refused",
            request=message.request_id,
            attempt=message.attempt_id,
            reason=reason,
        )
        retry_after_ms = BUSY_RETRY_MS if full else None
        _post_final(
            conn, message.attempt_id, ttypes.Outcome.NOT_RUN, reason, retry_after_ms
        )
        return
    keep = not message.idempotent
    attempt = attempts.accept(
        ex.known_attempts,
        key[0],
        message.agent_start_id,
        key[1],
        keep,
        message.offset or 0,
        now,
    )
    run = Run(attempt, message, conn)
    ex.runs[key] = run
    ex.state.running_attempts += 1
    ex.active += 1
    ex.tasks.start_soon(_run_attempt, ex, run)


def _on_revoke(ex, conn, message):
    now = anyio.current_time()
    phase = attempts.revoke(
        ex.known_attempts, message.entry_start_id, message.attempt_id, now
    )
    reply = ttypes.RevokeReply(
        attempt_id=message.attempt_id,
        entry_start_id=message.entry_start_id,
        phase=_PHASES[phase],
    )
    attempt = attempts.find(
        ex.known_attempts, message.entry_start_id, message.attempt_id
    )
    full_answer = attempts.complete_answer(attempt) if attempt else None
    if full_answer is not None:
        reply.answer = frames.message_of(message.attempt_id, full_answer, "")
    logs.event("attempt.revoked", attempt=message.attempt_id, phase=phase.name)
    _post(conn, reply)


def _on_resume(ex, conn, message):
    key = (conn.peer.start_id, message.attempt_id)
    run = ex.runs.get(key)
    if run is not None and attempts.resume(run.attempt, message.offset):
        run.conn = conn
        run.acked.set()
        _queue_frames(ex, run)
        return
    if run is not None:
        _cancel(run)
        outcome, reason = ttypes.Outcome.UNKNOWN, "answer is no longer held"
    else:
        phase = attempts.revoke(ex.known_attempts, *key, anyio.current_time())
        if phase in (attempts.Phase.NOT_SEEN, attempts.Phase.REFUSED):
            outcome, reason = ttypes.Outcome.NOT_RUN, "attempt was not seen"
        else:
            outcome, reason = ttypes.Outcome.UNKNOWN, "attempt is no longer held"
    _post_final(conn, message.attempt_id, outcome, reason)


def _cancel(run):
    run.cancelled = True
    run.scope.cancel()
    run.final_acked.set()


async def _run_attempt(ex, run):
    message, attempt = run.message, run.attempt
    run.backend_starts = ex.backend_starts
    budget_s = max(message.deadline_ms or 0, 0) / 1000
    grace_s = 0 if message.idempotent else CANCEL_GRACE_S
    run.scope.deadline = anyio.current_time() + budget_s + grace_s
    try:
        try:
            with run.scope:
                await _call_backend(ex, run)
        finally:
            ex.active -= 1
        if attempt.final is None:
            reason = "cancelled" if run.cancelled else "deadline passed"
            attempts.finish(attempt, attempts.Outcome.UNKNOWN, reason)
        logs.event(
            "attempt.finished",
            request=message.request_id,
            attempt=message.attempt_id,
            outcome=attempt.final.outcome.name,
            reason=attempt.final.reason,
        )
        _queue_frames(ex, run)
        if not run.cancelled:
            with anyio.move_on_after(FINAL_ACK_S):
                await run.final_acked.wait()
    finally:
        if attempt.final is None:
            attempts.finish(attempt, attempts.Outcome.UNKNOWN, "agent stopped")
        ex.state.running_attempts -= 1
        ex.state.changed.notify()


async def _call_backend(ex, run):
    """Send the request and record the response and its outcome, unless cancelled."""
    attempt = run.attempt
    try:
        req = frames.request_of(ex.client, run.message)
    except (httpx.InvalidURL, ValueError, TypeError) as exc:
        attempts.finish(attempt, attempts.Outcome.NOT_RUN, f"malformed request: {exc}")
        return
    try:
        resp = await ex.client.send(req, stream=True)
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.UnsupportedProtocol) as exc:
        detail = str(exc) or type(exc).__name__
        reason = f"backend server not reached: {detail}"
        attempts.finish(attempt, attempts.Outcome.NOT_RUN, reason, backend_died=True)
        return
    except httpx.HTTPError as exc:
        await _finish_failed(ex, run, exc)
        return
    try:
        served = resp.headers.get(SERVED_VERSION_HEADER)
        if run.message.version and served is None and _engine_refused(resp):
            reason = f"engine refused the request with status {resp.status_code}"
            died = resp.status_code == 404
            attempts.finish(
                attempt, attempts.Outcome.NOT_RUN, reason, backend_died=died
            )
            return
        if run.message.version and served not in (None, run.message.version):
            raise errors.BackendError(
                f"answered by version {served}", step="attempt.run", peer="backend"
            )
        attempts.start_answer(attempt, resp.status_code, frames.headers_of(resp))
        _queue_frames(ex, run)
        async for data in resp.aiter_raw():
            attempts.append(attempt, data)
            _queue_frames(ex, run)
            while attempts.is_window_full(attempt):
                run.acked = anyio.Event()
                await run.acked.wait()
        attempts.finish(attempt, attempts.Outcome.DONE)
    except httpx.HTTPError as exc:
        await _finish_failed(ex, run, exc)
    except errors.BackendError as exc:
        attempts.finish(attempt, attempts.Outcome.UNKNOWN, exc.message)
    finally:
        with anyio.CancelScope(shield=True):
            await resp.aclose()


def _engine_refused(resp):
    """Whether the status means that the engine lacks the version or has no slot."""
    return resp.status_code in (404, 429, 503)


async def _probe(url):
    """Whether the backend server accepts connections."""
    with anyio.move_on_after(PROBE_TIMEOUT_S):
        try:
            stream = await anyio.connect_tcp(url.host, url.port or 80)
        except OSError:
            return False
        await anyio.aclose_forcefully(stream)
        return True
    return False


async def _finish_failed(ex, run, exc):
    """Record that the backend server closed the connection before the response ended.

    If the server still accepts connections, only this request is affected and the
    server keeps receiving others: it may be the only one of its service.
    """
    up = await ex.probe(ex.client.base_url)
    if run.backend_starts == ex.backend_starts:
        ex.backend_starts += 1
    attempts.finish(
        run.attempt,
        attempts.Outcome.UNKNOWN,
        f"backend server failed: {exc or type(exc).__name__}",
        backend_died=True,
        backend_starts=run.backend_starts,
        backend_up=up,
    )


def _queue_frames(ex, run):
    if ex.tasks is None or run.conn.closed.is_set():
        return
    outbox = ex.outboxes.get(run.conn)
    if outbox is None:
        outbox = ex.outboxes[run.conn] = Outbox()
        ex.tasks.start_soon(_flush, ex, run.conn, outbox)
    outbox.unsent[run] = None
    outbox.wake.set()


async def _flush(ex, conn, outbox):
    while not conn.closed.is_set():
        if not outbox.unsent:
            outbox.wake = anyio.Event()
            with anyio.move_on_after(OUTBOX_IDLE_S):
                await outbox.wake.wait()
            continue
        batch = _take_batch(ex, conn, outbox)
        if not batch:
            continue
        try:
            await connection.send(conn, ttypes.AnswerBatch(frames=batch))
        except errors.ConnectionClosedError:
            return


def _take_batch(ex, conn, outbox):
    batch = []
    taken = 0
    while outbox.unsent and taken < BATCH_BYTES:
        run = next(iter(outbox.unsent))
        del outbox.unsent[run]
        if run.conn is not conn:
            continue
        for frame in attempts.take_frames(run.attempt, BATCH_BYTES - taken):
            version = run.message.version
            out = frames.message_of(run.message.attempt_id, frame, version)
            if out.final:
                out.running = ex.active
            batch.append(out)
            taken += len(frame.data) + 1
        if attempts.has_unsent(run.attempt):
            outbox.unsent[run] = None
            break
    return batch


def _post_final(conn, attempt_id, outcome, reason, retry_after_ms=None):
    frame = ttypes.AnswerFrame(
        attempt_id=attempt_id,
        offset=0,
        final=True,
        outcome=outcome,
        reason=reason,
        retry_after_ms=retry_after_ms,
    )
    _post(conn, ttypes.AnswerBatch(frames=[frame]))


def _post(conn, message):
    try:
        connection.post(conn, message)
    except errors.ConnectionClosedError:
        logs.event("answer.dropped", peer=conn.address)
