"""From a decoded request to its outcome: placing, sending, sending again, answering."""

import enum
import math
import random

import anyio
import attrs

from carobstand import errors, eventlog, http1, http1_server, signals
from carobstand.core import (
    announcements,
    calibration,
    crashes,
    engine_load,
    event_stream,
    exchange,
    health,
    pace,
    placement,
    retry_budget,
    routes,
    waiting,
)
from carobstand.entry import backend_pool, crash_news, fleet, queueing
from carobstand.platform import exchanges

MAX_WHOLE_ANSWER_BYTES = 1_048_576
"""Answers up to this size are held until they are complete, so that one that breaks off
can still be replaced; larger ones are passed on as they arrive."""

REFUSAL_BODY_S = 0.2
"""Longest wait for the body of a refusal; its head says that it did not run."""

RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 1.9
"""Retry-After of a request for which no server had room: short overloads, such as some
engines loading weights, are over by then. Callers are spread over the span."""


LAST_ANSWER_S = 0.3
"""Time for final answers to reach their callers before a planned stop ends."""

STALLED_GAPS = 3
"""Silence of a server, in longest pauses of the route, after which a request that may
run again goes on elsewhere."""

STALLED_MIN_S = 1.0
"""Shortest silence that counts so: passes with long prompts are far shorter."""

MOVED_RUNNING = 6
"""Requests at a server that is about to load, from which on it is soon empty; those of
a full one end within one another's time anyway."""

MOVED_REST_S = 0.4
"""Predicted rest of an answer that is worth a move: its prompt is read again."""

MOVED_GAP_S = 0.2
"""Longest predicted pause of a stream that moves."""

UNKNOWN_REST = 0.25
"""Expected rest of an answer that is longer than was guessed, in parts of itself."""

MOVES_SHARE = 0.4
"""Part of the retry budget that moves may use; the rest is for faults."""


class Outcome(enum.Enum):
    """How one send to a backend server ended."""

    DONE = "done"
    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    MOVED = "moved"


@attrs.define(eq=False)
class Forwarder:
    """State of forwarding that all requests of an entry share.

    Attributes
    ----------
    fleet : entry.fleet.Fleet
    pool : entry.backend_pool.BackendPool
    in_progress : dict of str to core.outstanding.Outstanding
        Requests that this entry has at each backend server, by server id.
    healths : dict of str to core.health.ServerHealth
        By server id.
    deadlines : dict of (str, str) to core.first_attempts.Deadlines
        By host and prefix of the route.
    sizes : dict of (str, str) to core.value.Sizes
        By host and prefix of the route.
    delays : dict of str to float
        `core.waiting.shared_delay_s` by service, in the configuration `delays_of`.
    errors_seen : core.calibration.Calibration
    budgets : dict of str to core.retry_budget.Budget
        By service.
    queue : entry.queueing.Queue
    loads : core.engine_load.EngineLoads
    crashes_seen : core.crashes.Crashes
    scopes : set of anyio.CancelScope
        Of the requests in progress; their deadlines end them.
    shortlists : dict of str to core.shortlist.Shortlist
        By service.
    freed : signals.Signal
        Notified when a backend server may have room.
    """

    fleet: fleet.Fleet
    pool: backend_pool.BackendPool = attrs.field(factory=backend_pool.BackendPool)
    in_progress: dict = attrs.field(factory=dict)
    healths: dict = attrs.field(factory=dict)
    deadlines: dict = attrs.field(factory=dict)
    sizes: dict = attrs.field(factory=dict)
    delays: dict = attrs.field(factory=dict)
    delays_of: int | None = None
    errors_seen: calibration.Calibration = attrs.field(factory=calibration.Calibration)
    budgets: dict = attrs.field(factory=dict)
    queue: queueing.Queue = attrs.field(factory=queueing.Queue)
    loads: engine_load.EngineLoads = attrs.field(factory=engine_load.EngineLoads)
    crashes_seen: crashes.Crashes = attrs.field(factory=crashes.Crashes)
    scopes: set = attrs.field(factory=set)
    shortlists: dict = attrs.field(factory=dict)
    freed: signals.Signal = attrs.field(factory=signals.Signal)


@attrs.define(eq=False)
class Call:
    """One request of a caller in this entry.

    Attributes
    ----------
    req : core.exchange.Inbound
    body : bytes
    route : core.routes.Route
    service : str
    customer : str
    reply : http1_server.Reply
    size : core.placement.Size
    terms : core.waiting.Terms
        Times by which it must be answered, on the loop's clock.
    shortest_s : float or None
        Time to the first byte at an idle server, once it was computed.
    asked : set of str
        Servers that are not tried again.
    sends : int
        Servers to which it was sent.
    sent_at : float
        Time of the last send.
    progress_at : float
        Time of the last event, or of the last look at a server that is silent.
    has_repeat : bool
        Whether the next send was already taken from the budget.
    may_have_run : bool
        Whether a send ended without a statement that the request did not run.
    events : core.event_stream.EventStream
        What the caller has of a stream.
    """

    req: exchange.Inbound
    body: bytes
    route: routes.Route
    service: str
    customer: str
    reply: http1_server.Reply
    size: placement.Size
    terms: waiting.Terms
    shortest_s: float | None = None
    asked: set = attrs.field(factory=set)
    sends: int = 0
    sent_at: float = 0.0
    progress_at: float = 0.0
    has_repeat: bool = False
    may_have_run: bool = False
    events: event_stream.EventStream = attrs.field(factory=event_stream.EventStream)


async def serve(fwd, call):
    """Serve one request until its final answer, at the latest at its deadline."""
    now = anyio.current_time()
    budget = fwd.budgets.setdefault(call.service, retry_budget.Budget(now))
    retry_budget.count_request(budget, fwd.fleet.deployment.bounds, now)
    with anyio.CancelScope(deadline=call.terms.deadline) as scope:
        fwd.scopes.add(scope)
        try:
            await _try_servers(fwd, call)
        finally:
            fwd.scopes.discard(scope)
    if scope.cancelled_caught:
        await _give_up(fwd, call, 504, "deadline")


def answer_by(fwd, stops_at):
    """Give each request its final answer before a planned stop ends the process."""
    fwd.fleet.stops_at = stops_at - LAST_ANSWER_S
    for scope in fwd.scopes:
        scope.deadline = min(scope.deadline, fwd.fleet.stops_at)


async def _try_servers(fwd, call):
    while True:
        if crash_news.is_deadly(fwd, call):
            return await _give_up(fwd, call, 502, "it crashes servers")
        chosen = await queueing.place(fwd, call)
        if chosen is None:
            return await _give_up(fwd, call, 502, "no server has room in time")
        try:
            outcome = await _send(fwd, call, chosen)
        finally:
            queueing.end(fwd, call, chosen)
        if outcome is Outcome.DONE:
            crash_news.note_answered(fwd, call)
            return None
        if call.reply.started:
            call.terms = attrs.evolve(call.terms, is_started=True)
        if not _may_send_again(call, outcome):
            return await _give_up(fwd, call, 502, outcome.value)
        if call.sends and not _withdraw(fwd, call):
            return await _give_up(fwd, call, 502, "retry budget is spent")


def _may_send_again(call, outcome):
    if outcome is Outcome.NOT_SENT:
        return True
    if call.sends >= call.route.max_servers:
        return False
    return outcome is Outcome.NOT_RUN or routes.may_repeat(call.route)


def _withdraw(fwd, call, share=1.0):
    """Take one repeat from the budget of the call's service, or a part of it."""
    if call.has_repeat:
        return True
    call.has_repeat = retry_budget.withdraw(
        fwd.budgets[call.service],
        fwd.fleet.deployment.bounds,
        max(1, len(fwd.fleet.entries)),
        anyio.current_time(),
        share,
    )
    return call.has_repeat


async def _give_up(fwd, call, status, reason):
    """Send the final answer of a request that no server answers."""
    if call.reply.started:
        # A response that ends without its last chunk does not look complete.
        eventlog.event("request.cut", request=call.req.request_id, reason=reason)
        return
    if not call.may_have_run:
        await refuse(call.reply, call.req, 503, reason, _retry_after_s(fwd, call))
    else:
        await refuse(call.reply, call.req, status, reason, None)


def _retry_after_s(fwd, call):
    """Return the time after which a call that did not run may find room."""
    servers = fwd.fleet.servers.servers.values()
    ids = [item.server_id for item in servers if item.service == call.service]
    quiet_s = announcements.quiet_s(fwd.fleet.said, ids, anyio.current_time())
    if not math.isfinite(quiet_s):
        quiet_s = 0.0
    earliest_s = max(RETRY_AFTER_MIN_S, quiet_s)
    return earliest_s + random.uniform(0.0, RETRY_AFTER_MAX_S - RETRY_AFTER_MIN_S)


async def refuse(reply, req, status, reason, retry_after_s=None):
    """Answer a request that the system does not serve."""
    eventlog.event(
        "request.refused",
        request=req and req.request_id,
        status=status,
        reason=reason,
        retry_after_s=retry_after_s,
    )
    headers = exchanges.refusal_headers(req, retry_after_s)
    body = b'{"error":"%s"}' % reason.encode()
    await http1_server.respond(reply, status, headers, body)


async def _send(fwd, call, chosen):
    """Send the request to one server and pass its answer on.

    Returns
    -------
    outcome : Outcome
    """
    server = chosen.candidate.server
    state = fwd.healths.setdefault(server.server_id, health.ServerHealth())
    call.asked.add(server.server_id)
    try:
        conn = await backend_pool.take(fwd.pool, server.address, call.req.request_id)
    except errors.HttpError as exc:
        health.refused(state, anyio.current_time(), server.started_ms)
        eventlog.event("backend.unreachable", server=server.server_id, error=str(exc))
        return Outcome.NOT_SENT
    kept = False
    ran_before = call.may_have_run
    call.may_have_run = True
    call.sends += 1
    call.sent_at = anyio.current_time()
    call.has_repeat = False
    try:
        await _send_request(call, chosen, conn)
        begin_by = fleet.begin_by(fwd.fleet, chosen.candidate.holding)
        head, data = await _receive_start(fwd, call, conn, begin_by)
        queueing.answering(fwd, call, chosen)
        _note_load(fwd, server, head)
        _note_announcements(fwd, server, head)
        _log_start(call, chosen, head)
        outcome = await _pass_answer_on(fwd, call, chosen, conn, head, data)
        if head.status == 421:
            health.refused(state, anyio.current_time(), server.started_ms)
        if outcome is Outcome.NOT_RUN:
            call.may_have_run = ran_before
        else:
            health.answered(state)
        if outcome in (Outcome.DONE, Outcome.NOT_RUN):
            kept = backend_pool.give_back(fwd.pool, conn)
        return outcome
    except errors.HttpError as exc:
        health.lost(state, anyio.current_time(), server.started_ms)
        crash_news.note_lost(fwd, call, server)
        eventlog.event(
            "attempt.failed",
            request=call.req.request_id,
            server=server.server_id,
            error=str(exc),
        )
        return Outcome.UNKNOWN
    finally:
        if not kept:
            await backend_pool.discard(fwd.pool, conn)


async def _send_request(call, chosen, conn):
    resumed = call.reply.started
    holding = chosen.candidate.holding
    out = exchange.Outbound(
        server_id=chosen.candidate.server.server_id,
        deadline_s=call.terms.deadline - anyio.current_time(),
        customer=call.customer,
        version=holding.version if holding else None,
        resume_after=call.events.last_id if resumed else None,
    )
    headers = exchanges.backend_headers(call.req, out, call.body)
    await http1.send(conn, call.req.method, call.req.target, headers, call.body)


async def _receive_start(fwd, call, conn, begin_by):
    """Return the `AnswerHead` and, for a stream, the first bytes of its body.

    A run on old weights that has not begun by `begin_by` is given up.
    """
    with anyio.CancelScope(deadline=begin_by):
        raw = await _unless_stalled(fwd, call, conn, http1.receive_head)
        head = exchanges.answer_head(raw.status_code, raw.headers)
        if head.request_id != call.req.request_id:
            raise errors.HttpError(
                f"answer to {head.request_id!r}", step="forward.receive", peer=conn.peer
            )
        if not _is_stream(call, head):
            return head, None
        return head, await _unless_stalled(fwd, call, conn, http1.receive_data)
    raise errors.HttpError(
        "its weights may begin no request now", step="forward.receive", peer=conn.peer
    )


def _note_load(fwd, server, head):
    if head.load is not None:
        engine_load.note_answer(
            fwd.loads,
            server,
            head.load.running,
            head.load.waiting,
            anyio.current_time(),
        )


def _note_announcements(fwd, server, head):
    """Keep what a server says of itself; another one may answer at its address."""
    if head.server_id and head.server_id != server.server_id:
        return
    now, said = anyio.current_time(), fwd.fleet.said
    server_id, started_ms = server.server_id, _newest_start(fwd, server)
    if head.is_leaving and announcements.leaving(said, server_id, started_ms, now):
        eventlog.event("server.said_leaving", server=server_id, start=started_ms)
    if head.quiet_s is not None:
        announcements.wants_quiet(said, server_id, started_ms, head.quiet_s, now)
        eventlog.event("server.wants_quiet", server=server_id, pause_s=head.quiet_s)


def _newest_start(fwd, server):
    """Return the newest start of a server that is known, in Unix ms."""
    load = fwd.loads.by_address.get(server.address)
    return max(server.started_ms, load.started_ms if load else 0)


def _log_start(call, chosen, head):
    now = anyio.current_time()
    eventlog.event(
        "attempt.began",
        request=call.req.request_id,
        server=chosen.candidate.server.server_id,
        status=head.status,
        occupancy=chosen.occupancy,
        predicted_s=round(chosen.first_event_s, 3),
        took_s=round(now - call.sent_at, 3),
        held_s=round(call.sent_at - call.terms.arrived, 3),
        report_age_s=chosen.candidate.load
        and round(call.sent_at - chosen.candidate.load.heard_at, 3),
        prompt=call.size.prompt_tokens,
        answer=call.size.answer_tokens,
    )


def _is_stream(call, head):
    return call.route.kind is routes.Kind.STREAM and head.status == 200


async def _pass_answer_on(fwd, call, chosen, conn, head, data):
    if head.not_run or head.status == 421:
        await _read_refusal(conn)
        return Outcome.NOT_RUN
    if _is_stream(call, head):
        return await _pass_stream_on(fwd, call, chosen, conn, head, data)
    return await _pass_whole_on(fwd, call, conn, head)


async def _read_refusal(conn):
    """Read the body of an answer whose head says it all."""
    try:
        with anyio.fail_after(REFUSAL_BODY_S):
            await _read_all(conn)
    except (errors.HttpError, TimeoutError) as exc:
        # The connection is closed, as its exchange is not complete.
        eventlog.event("backend.refusal_broken", peer=conn.peer, error=str(exc))


async def _read_all(conn):
    parts = []
    size = 0
    while (data := await http1.receive_data(conn)) is not None:
        parts.append(data)
        size += len(data)
        if size > MAX_WHOLE_ANSWER_BYTES:
            raise errors.HttpError(
                "answer too large", step="forward.receive", peer=conn.peer
            )
    return b"".join(parts)


async def _pass_whole_on(fwd, call, conn, head):
    body = await _read_all(conn)
    if call.reply.started:
        raise errors.HttpError(
            f"status {head.status} for a resumed stream",
            step="forward.receive",
            peer=conn.peer,
        )
    promises_not_run = head.status in (408, 429, 503)
    if promises_not_run or (200 <= head.status < 300 and not head.is_signed):
        return Outcome.UNKNOWN
    if head.status >= 500 and _may_send_again(call, Outcome.UNKNOWN):
        if _withdraw(fwd, call):
            return Outcome.UNKNOWN
    await http1_server.respond(call.reply, head.status, head.headers, body)
    return Outcome.DONE


async def _pass_stream_on(fwd, call, chosen, conn, head, data):
    if not head.is_signed:
        raise errors.HttpError(
            "stream without signature", step="forward.receive", peer=conn.peer
        )
    events = call.events
    event_stream.resume(events)
    while data is not None:
        before = events.events
        complete = event_stream.feed(events, data)
        if not events.in_order or events.is_too_long:
            reason = "events out of order" if complete else "an event without end"
            raise errors.HttpError(reason, step="forward.receive", peer=conn.peer)
        if complete and not call.reply.started:
            await http1_server.start_with(call.reply, 200, head.headers, complete)
        elif complete:
            await http1_server.send_data(call.reply, complete)
        if complete and _should_move(fwd, call, chosen):
            return Outcome.MOVED
        data = await _receive_more(fwd, call, conn, events.events > before)
    if events.pending:
        raise errors.HttpError(
            "the stream ends within an event", step="forward.receive", peer=conn.peer
        )
    if not call.reply.started:
        await http1_server.start(call.reply, 200, head.headers)
    await http1_server.finish(call.reply)
    return Outcome.DONE


async def _receive_more(fwd, call, conn, is_progress):
    """Return more of a stream; bytes without a complete event are no progress."""
    if is_progress:
        call.progress_at = anyio.current_time()
    return await _unless_stalled(fwd, call, conn, http1.receive_data)


async def _unless_stalled(fwd, call, conn, receive):
    """Return ``await receive(conn)``, unless another server is to go on instead.

    A server that is only slow is waited for: only silence far beyond the pauses that
    the route allows counts, and only if another server can go on at once.
    """
    if not routes.may_repeat(call.route):
        return await receive(conn)
    patience_s = max(STALLED_MIN_S, STALLED_GAPS * _usual_wait_s(call))
    while True:
        due = max(call.progress_at, call.sent_at) + patience_s
        with anyio.CancelScope(deadline=max(due, anyio.current_time())) as scope:
            return await receive(conn)
        if scope.cancelled_caught and _can_leave(fwd, call):
            raise errors.HttpError(
                f"no progress for {patience_s:.1f} s",
                step="forward.receive",
                peer=conn.peer,
            )
        call.progress_at = anyio.current_time()


def _usual_wait_s(call):
    """Return the longest time to the first event, or between two, that is on time."""
    return call.route.max_gap_s if call.reply.started else call.route.target_s


def _can_leave(fwd, call):
    """Whether another server can go on with a call now, and the budget allows it."""
    if not _may_send_again(call, Outcome.UNKNOWN):
        return False
    return queueing.can_go_on_time(fwd, call, MOVED_GAP_S) and _withdraw(fwd, call)


def _should_move(fwd, call, chosen):
    """Whether a stream goes on elsewhere, so that its server can load weights sooner.

    A server that was ordered to load finishes what it runs first, and runs nothing
    else meanwhile; one long answer would keep all its places empty.
    """
    server = chosen.candidate.server
    load = engine_load.fresh(fwd.loads, server, anyio.current_time())
    if load is None or not load.is_busy or load.running > MOVED_RUNNING:
        return False
    if not _may_send_again(call, Outcome.UNKNOWN):
        return False
    service = queueing.service_of(fwd, call)
    if service is None or service.pace is None:
        return False
    written = call.events.events * service.pace.steps_per_pass
    left = max(call.size.answer_tokens - written, UNKNOWN_REST * written)
    if pace.answer_s(service.pace, left, load.running) < MOVED_REST_S:
        return False
    if not queueing.can_go_on_time(fwd, call, MOVED_GAP_S):
        return False
    return _withdraw(fwd, call, MOVES_SHARE)
