"""Forwards decoded requests: server selection, attempts, retries, final response."""

import contextlib

import anyio
import attrs

from carobstand import errors, eventlog, http1, http1_server, signals
from carobstand.core import (
    byte_budget,
    calibration,
    engine_load,
    event_stream,
    exchange,
    expected_work,
    health,
    placement,
    queue_policy,
    retry_budget,
    routes,
    send_limits,
)
from carobstand.entry import (
    backend_pool,
    demand_exchange,
    fleet,
    part_trials,
    planned_stop,
    poison_parts,
    queueing,
    rejections,
    response_bodies,
    response_heads,
    retries,
    server_choice,
    server_limits,
    streams,
)
from carobstand.platform import http_headers

FINAL_RESPONSE_S = 0.3
"""Time reserved for final responses to reach their callers before a planned stop."""


@attrs.define(eq=False)
class Forwarder:
    """Forwarding state shared by all requests of an entry.

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
    sizes : dict of (str, str) to core.value_density.RouteMeans
        By host and prefix of the route.
    delays : dict of str to float
        `core.queue_policy.shared_delay_s` by service.
        Cached for the configuration version `delays_version`.
    prediction_errors : core.calibration.Calibration
    answer_lengths : core.expected_work.Learned
    budgets : dict of str to core.retry_budget.Budget
        By service.
    queue : entry.queueing.Queue
    loads : core.engine_load.EngineLoads
    part_tracker : entry.poison_parts.Tracker
    scopes : set of anyio.CancelScope
        Cancel scopes of the requests in progress, with their deadlines.
    waiting_attempts : dict of anyio.CancelScope to core.eligibility.Candidate
        Attempts whose server has not begun to answer; the deadline is the end of the
        weights that they are to run on.
    shortlists : dict of str to dict of frozenset or None to core.shortlist.Shortlist
        By service and allowed regions.
    outcomes : dict of str to core.missed_targets.Outcomes
        By service.
    sends : dict of str to core.recent_sends.Sends
        By service.
    capacity_freed : signals.Signal
        Notified when a backend server may have a free slot.
    limits : entry.server_limits.ServerLimits
    bodies : core.byte_budget.ByteBudget
        Memory for the bodies of requests and responses.
    demand : entry.demand_exchange.Demand
    is_closing : bool
        Whether a planned stop has reached the time at which no callers are routed here.
    """

    fleet: fleet.Fleet
    pool: backend_pool.BackendPool = attrs.field(factory=backend_pool.BackendPool)
    in_progress: dict = attrs.field(factory=dict)
    healths: dict = attrs.field(factory=dict)
    deadlines: dict = attrs.field(factory=dict)
    sizes: dict = attrs.field(factory=dict)
    delays: dict = attrs.field(factory=dict)
    delays_version: int | None = None
    prediction_errors: calibration.Calibration = attrs.field(
        factory=calibration.Calibration
    )
    answer_lengths: expected_work.Learned = attrs.field(factory=expected_work.Learned)
    budgets: dict = attrs.field(factory=dict)
    queue: queueing.Queue = attrs.field(factory=queueing.Queue)
    loads: engine_load.EngineLoads = attrs.field(factory=engine_load.EngineLoads)
    part_tracker: poison_parts.Tracker = attrs.field(factory=poison_parts.Tracker)
    scopes: set = attrs.field(factory=set)
    waiting_attempts: dict = attrs.field(factory=dict)
    shortlists: dict = attrs.field(factory=dict)
    outcomes: dict = attrs.field(factory=dict)
    sends: dict = attrs.field(factory=dict)
    capacity_freed: signals.Signal = attrs.field(factory=signals.Signal)
    limits: server_limits.ServerLimits = attrs.field(
        default=attrs.Factory(
            lambda self: server_limits.ServerLimits(self.fleet), takes_self=True
        )
    )
    bodies: byte_budget.ByteBudget = attrs.field(
        default=attrs.Factory(
            lambda self: byte_budget.ByteBudget(
                byte_budget.of_memory(self.fleet.deployment.memory_bytes)
            ),
            takes_self=True,
        )
    )
    demand: demand_exchange.Demand = attrs.field(factory=demand_exchange.Demand)
    is_closing: bool = False

    def __attrs_post_init__(self):
        self.fleet.versions_changed = lambda: _update_ends(self)


@attrs.define(eq=False)
class Call:
    """One request of a caller.

    Attributes
    ----------
    req : core.exchange.Inbound
    body : bytes
    route : core.routes.Route
    service : str
    customer : str
    customer_record : core.routes.Customer or None
        The customer as configured when the request arrived.
    permitted_regions : tuple or None
        The configuration in which `entry.permitted_regions` looked the regions up last,
        and what it found.
    reply : http1_server.Reply
    parts : tuple of bytes
        Parts of its prompt that it may share, from `core.part_ids.shareable`.
    whole : bytes
        Identifies the request as a whole, from `core.part_ids.whole`.
    size : core.placement.Size
    terms : core.queue_policy.Terms
        Times that bound its response, on the loop's clock.
    idle_first_byte_s : float or None
        Predicted time to the first byte at an idle server, once computed.
    tried : set of str
        Ids of servers that are not tried again.
    permit : core.permits.Permit or None
        Permit with which its chosen server was chosen.
    rejected_by : set of str
        Those servers among `tried` that rejected the request as not run.
    attempts_sent : int
        Number of attempts sent.
    runs : int
        Number of attempts that were not confirmed as not run.
    sent_at : float
        Time of the last attempt.
    progress_at : float
        Time of the last complete event, or of the last stall check.
    has_reserved_retry : bool
        Whether the next attempt was already withdrawn from the retry budget.
    reserved_at : float
        Time at which that was decided last.
    has_begun : bool
        Whether the last attempt has begun its answer: an event of a stream arrived.
    lost : entry.poison_parts.LostRequest or None
        How the last attempt ended, if its server closed the connection before that.
    is_probe : bool
        Whether it is sent though a part of its prompt is convicted.
    trial : entry.part_trials.CallTrial or None
        Parts of its prompt that it is sent to try.
    is_passed_through : bool
        Whether a response that is not a stream is delivered as it arrives.
    is_counted : bool
        Whether it is counted as demand for its service.
    events : core.event_stream.EventStream
        State of the stream that is delivered to the caller.
    """

    req: exchange.Inbound
    body: bytes
    route: routes.Route
    service: str
    customer: str
    reply: http1_server.Reply
    size: placement.Size
    terms: queue_policy.Terms
    customer_record: routes.Customer | None = None
    permitted_regions: tuple | None = None
    parts: tuple = ()
    whole: bytes = b""
    idle_first_byte_s: float | None = None
    tried: set = attrs.field(factory=set)
    permit: object = None
    rejected_by: set = attrs.field(factory=set)
    attempts_sent: int = 0
    runs: int = 0
    sent_at: float = 0.0
    progress_at: float = 0.0
    has_reserved_retry: bool = False
    reserved_at: float = 0.0
    has_begun: bool = False
    lost: object = None
    is_probe: bool = False
    trial: object = None
    is_passed_through: bool = False
    is_counted: bool = False
    events: event_stream.EventStream = attrs.field(factory=event_stream.EventStream)

    @property
    def may_have_run(self):
        """Whether the request may have run: an attempt is not confirmed as not run."""
        return self.runs > 0


async def serve(fwd, call):
    """Serve one request until its final response, at the latest at its deadline."""
    now = anyio.current_time()
    started = fwd.fleet.started
    budget = fwd.budgets.setdefault(call.service, retry_budget.Budget(started))
    retry_budget.count_request(budget, fwd.fleet.deployment.bounds, now)
    with anyio.CancelScope(deadline=call.terms.deadline) as scope:
        fwd.scopes.add(scope)
        try:
            await _try_servers(fwd, call)
        finally:
            fwd.scopes.discard(scope)
            part_trials.end(fwd, call)
    if scope.cancelled_caught and not call.reply.finished:
        await rejections.give_up(fwd, call, 504, "deadline")


def limit_deadlines(fwd, stops_at):
    """Limit request deadlines so that all are answered before a planned stop."""
    fwd.fleet.stops_at = stops_at - FINAL_RESPONSE_S
    for scope in fwd.scopes:
        scope.deadline = min(scope.deadline, fwd.fleet.stops_at)


async def _try_servers(fwd, call):
    while True:
        if rejection := poison_parts.rejection(fwd, call):
            return await rejections.reject_poison(fwd, call, rejection)
        would_be_cut = planned_stop.would_be_cut(fwd, call)
        chosen = None if would_be_cut else await queueing.place(fwd, call)
        if chosen is None:
            would_be_cut = planned_stop.would_be_cut(fwd, call)
            reason = (
                planned_stop.REASON if would_be_cut else "no server has room in time"
            )
            return await rejections.give_up(fwd, call, 502, reason)
        try:
            outcome = await _send(fwd, call, chosen)
        finally:
            queueing.end(fwd, call, chosen)
        if outcome is retries.Outcome.DONE:
            return None
        if poison_parts.rejection(fwd, call):
            continue
        if call.reply.started:
            call.terms = attrs.evolve(call.terms, is_started=True)
        if not retries.may_retry(call, outcome):
            return await rejections.give_up(fwd, call, 502, outcome.value)
        if call.lost and not await poison_parts.may_resend(fwd, call.lost):
            return await rejections.give_up(
                fwd, call, 502, "it may have crashed a server"
            )
        if call.attempts_sent and not retries.reserve_retry(fwd, call):
            return await rejections.give_up(fwd, call, 502, "retry budget is spent")
        if retries.readmit_rejecting(fwd, call):
            await anyio.sleep(send_limits.READMIT_PAUSE_S)


async def _send(fwd, call, chosen):
    """Send the request to one server and forward its response.

    Returns
    -------
    outcome : entry.retries.Outcome
    """
    server = chosen.candidate.server
    state = fwd.healths.setdefault(server.server_id, health.ServerHealth())
    await part_trials.settle(call)
    try:
        conn = await backend_pool.acquire(fwd.pool, server.address, call.req.request_id)
    except errors.HttpError as exc:
        call.tried.add(server.server_id)
        health.refused(state, anyio.current_time(), server.started_ms)
        eventlog.event("backend.unreachable", server=server.server_id, error=str(exc))
        return retries.Outcome.NOT_SENT
    if http1_server.has_caller_left(call.reply):
        backend_pool.put_back(fwd.pool, conn)
        http1_server.log_withdrawn(
            call.req.request_id, server.server_id, call.terms.arrived
        )
        raise http1_server.CallerGoneError(
            "the caller left before the request was sent", step="forward.send"
        )
    if call.terms.deadline <= anyio.current_time():
        backend_pool.put_back(fwd.pool, conn)
        # The event loop paused; the scope of `serve` is cancelled in its next passes.
        await anyio.sleep_forever()
    reason = server_choice.withheld_reason(fwd, call, chosen.candidate)
    if reason is not None:
        # The server may be tried once it is allowed again: it received nothing.
        backend_pool.put_back(fwd.pool, conn)
        eventlog.event(
            "attempt.withheld",
            request=call.req.request_id,
            server=server.server_id,
            reason=reason.value,
        )
        return retries.Outcome.NOT_SENT
    if poison_parts.rejection(fwd, call):
        # It was convicted while it waited for a place or a connection.
        backend_pool.put_back(fwd.pool, conn)
        return retries.Outcome.NOT_SENT
    kept = False
    call.tried.add(server.server_id)
    call.attempts_sent += 1
    call.runs += 1
    call.sent_at = anyio.current_time()
    retries.record_send(fwd, call, server.server_id)
    call.has_reserved_retry = False
    call.has_begun, call.lost, call.reply.unread_s = False, None, 0.0
    poison_parts.record_sent(fwd, call, server)
    try:
        head, data = await _receive_unless_convicted(fwd, call, chosen, conn)
        queueing.record_response_started(fwd, call, chosen, not _says_not_run(head))
        response_heads.record(fwd, call, chosen, head)
        outcome = await _forward_response(fwd, call, chosen, conn, head, data)
        if head.status == 421:
            health.refused(state, anyio.current_time(), server.started_ms)
        if outcome is retries.Outcome.NOT_RUN:
            call.runs -= 1
            call.rejected_by.add(server.server_id)
        else:
            health.answered(state)
        if outcome is retries.Outcome.DONE and head.status < 300:
            poison_parts.record_success(fwd, call)
        if outcome in (retries.Outcome.DONE, retries.Outcome.NOT_RUN):
            kept = backend_pool.release(fwd.pool, conn)
        return outcome
    except errors.HttpError as exc:
        unread_s = call.reply.unread_s if conn.is_ended else 0.0
        now = anyio.current_time()
        health.lost(state, now, server.started_ms, unread_s)
        if isinstance(exc, errors.ExcessiveOverheadError):
            # Each further response would cost as much processor time.
            health.refused(state, now, server.started_ms)
        if conn.is_ended:
            call.lost = poison_parts.record_lost(
                fwd, call, server, response_heads.newest_start(fwd, server)
            )
        eventlog.event(
            "attempt.failed",
            request=call.req.request_id,
            server=server.server_id,
            began=call.has_begun,
            ended=conn.is_ended,
            unread_s=round(call.reply.unread_s, 3),
            parts=call.req.prompt_parts[:-1],
            error=str(exc),
        )
        return retries.Outcome.UNKNOWN
    finally:
        if not kept:
            await backend_pool.discard(fwd.pool, conn)


async def _receive_unless_convicted(fwd, call, chosen, conn):
    """Send a request and return what `_receive_start` returns."""
    with poison_parts.unanswered(fwd, call):
        await _send_request(fwd, call, chosen, conn)
        return await _receive_start(fwd, call, conn, chosen.candidate)
    raise errors.HttpError(
        "it or a part of it was convicted", step="forward.receive", peer=conn.peer
    )


async def _send_request(fwd, call, chosen, conn):
    resumed = call.reply.started
    holding = chosen.candidate.holding
    now = anyio.current_time()
    out = exchange.Outbound(
        server_id=chosen.candidate.server.server_id,
        deadline_s=call.terms.deadline - now,
        customer=call.customer,
        version=holding.version if holding else None,
        priority=queue_policy.engine_priority(
            call.terms, server_choice.idle_first_byte_s(fwd, call), now
        ),
        resume_after=call.events.last_id if resumed else None,
    )
    headers = http_headers.backend_headers(call.req, out, call.body)
    await http1.send(conn, call.req.method, call.req.target, headers, call.body)


async def _receive_start(fwd, call, conn, candidate):
    """Return the `AnswerHead` and, for a stream, the first bytes of its body.

    An attempt on outdated weights that has not begun by their end is abandoned, also if
    newer weights are named while it waits at the server.
    """
    with _until_outdated(fwd, candidate):
        raw = await streams.receive_unless_stalled(fwd, call, conn, http1.receive_head)
        head = http_headers.decode_response_head(raw.status_code, raw.headers)
        if head.request_id != call.req.request_id:
            raise errors.HttpError(
                f"response is for request {head.request_id!r}",
                step="forward.receive",
                peer=conn.peer,
            )
        response_heads.record_announcements(fwd, call, candidate.server, head)
        if not _is_stream(call, head):
            return head, None
        return head, await streams.receive_unless_stalled(
            fwd, call, conn, http1.receive_data
        )
    raise errors.HttpError(
        "not begun before the weights became outdated",
        step="forward.receive",
        peer=conn.peer,
    )


@contextlib.contextmanager
def _until_outdated(fwd, candidate):
    """Return a context that is left at the end of a candidate's weights."""
    with anyio.CancelScope(deadline=server_choice.begin_by(fwd, candidate)) as scope:
        fwd.waiting_attempts[scope] = candidate
        try:
            yield
        finally:
            del fwd.waiting_attempts[scope]


def _update_ends(fwd):
    """Apply changed ends of weights to the attempts that have not begun."""
    for scope, candidate in fwd.waiting_attempts.items():
        scope.deadline = server_choice.begin_by(fwd, candidate)


def _is_stream(call, head):
    return call.route.kind is routes.Kind.STREAM and head.status == 200


async def _forward_response(fwd, call, chosen, conn, head, data):
    if _says_not_run(head):
        await response_bodies.discard_refusal(conn)
        return retries.Outcome.NOT_RUN
    if _is_stream(call, head):
        return await streams.forward_stream(fwd, call, chosen, conn, head, data)
    return await _forward_buffered(fwd, call, conn, head)


def _says_not_run(head):
    return head.not_run or head.status == 421


async def _forward_buffered(fwd, call, conn, head):
    body = await response_bodies.receive(conn, fwd.bodies)
    try:
        return await _deliver_buffered(fwd, call, conn, head, body)
    finally:
        response_bodies.release(body, fwd.bodies)


async def _deliver_buffered(fwd, call, conn, head, body):
    if call.reply.started:
        raise errors.HttpError(
            f"status {head.status} for a resumed stream",
            step="forward.receive",
            peer=conn.peer,
        )
    implies_not_run = head.status in (408, 429, 503)
    if implies_not_run or (200 <= head.status < 300 and not head.is_signed):
        return retries.Outcome.UNKNOWN
    if head.status >= 500 and retries.may_retry(call, retries.Outcome.UNKNOWN):
        if retries.reserve_retry(fwd, call):
            return retries.Outcome.UNKNOWN
    if head.status < 300:
        poison_parts.record_answer(fwd, call)
    if not body.is_complete:
        call.is_passed_through = True
        await response_bodies.pass_through(conn, body, call.reply, head)
        return retries.Outcome.DONE
    raw = b"".join(body.chunks)
    await http1_server.respond(call.reply, head.status, head.headers, raw)
    return retries.Outcome.DONE
