"""From a decoded request to its outcome: placing, sending, sending again, answering."""

import enum
import random

import anyio
import attrs

from carobstand import errors, eventlog, http1, http1_server, signals
from carobstand.core import (
    engine_load,
    event_stream,
    exchange,
    placement,
    routes,
)
from carobstand.entry import backend_pool, fleet
from carobstand.platform import exchanges

MAX_WHOLE_ANSWER_BYTES = 1_048_576
"""Answers up to this size are held until they are complete, so that one that breaks off
can still be replaced; larger ones are passed on as they arrive."""

RETRY_AFTER_S = 0.1
"""Retry-After where nothing better is known."""

VERSION_SLACK_S = 0.7
"""Old weights get no request this close to the end of the time in which they may."""


class Outcome(enum.Enum):
    """How one send to a backend server ended."""

    DONE = "done"
    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@attrs.define(eq=False)
class Forwarder:
    """State of forwarding that all requests of an entry share.

    Attributes
    ----------
    fleet : entry.fleet.Fleet
    pool : entry.backend_pool.BackendPool
    in_flight : dict of str to int
        Requests that this entry has at each backend server.
    loads : core.engine_load.EngineLoads
    freed : signals.Signal
        Notified when a backend server may have room.
    """

    fleet: fleet.Fleet
    pool: backend_pool.BackendPool = attrs.field(factory=backend_pool.BackendPool)
    in_flight: dict = attrs.field(factory=dict)
    loads: engine_load.EngineLoads = attrs.field(factory=engine_load.EngineLoads)
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
    deadline : float
        Loop's time of the final answer at the latest.
    asked : set of str
        Servers to which it was sent.
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
    deadline: float
    asked: set = attrs.field(factory=set)
    may_have_run: bool = False
    events: event_stream.EventStream = attrs.field(factory=event_stream.EventStream)


async def serve(fwd, call):
    """Serve one request until its final answer, at the latest at its deadline."""
    with anyio.CancelScope(deadline=call.deadline) as scope:
        await _try_servers(fwd, call)
    if scope.cancelled_caught:
        await _give_up(call, 504, "deadline")


async def _try_servers(fwd, call):
    while True:
        chosen = _choose(fwd, call)
        if chosen is None:
            return await _give_up(call, 502, "no server")
        outcome = await _send(fwd, call, chosen)
        if outcome is Outcome.DONE:
            return None
        if not _may_send_again(call, outcome):
            return await _give_up(call, 502, outcome.value)


def _may_send_again(call, outcome):
    if outcome is Outcome.NOT_SENT:
        return True
    if len(call.asked) >= call.route.max_servers:
        return False
    return outcome is Outcome.NOT_RUN or routes.may_repeat(call.route)


def _choose(fwd, call):
    found = placement.candidates(
        fwd.fleet.servers.servers,
        fwd.loads,
        call.service,
        lambda model: oldest_version(fwd.fleet, model),
        call.asked,
        anyio.current_time(),
    )
    return placement.least_loaded(found, fwd.in_flight, random.random)


def oldest_version(state, model):
    """Return the lowest version of `model` that may still begin requests."""
    named = state.named.get(model)
    if named is None:
        return 0
    age_s = anyio.current_time() - named.seen_at
    if age_s > state.deployment.bounds.version_s - VERSION_SLACK_S:
        return named.version
    return 0


async def _give_up(call, status, reason):
    """Send the final answer of a request that no server answers."""
    if call.reply.started:
        # A response that ends without its last chunk does not look complete.
        eventlog.event("request.cut", request=call.req.request_id, reason=reason)
        return
    if not call.may_have_run:
        await refuse(call.reply, call.req, 503, reason, RETRY_AFTER_S)
    else:
        await refuse(call.reply, call.req, status, reason, None)


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
    server = chosen.server
    try:
        conn = await backend_pool.take(fwd.pool, server.address)
    except errors.HttpError as exc:
        eventlog.event("backend.unreachable", server=server.server_id, error=str(exc))
        call.asked.add(server.server_id)
        return Outcome.NOT_SENT
    kept = False
    ran_before = call.may_have_run
    call.asked.add(server.server_id)
    call.may_have_run = True
    _count(fwd, server.server_id, 1)
    try:
        await _send_request(call, chosen, conn)
        outcome = await _pass_answer_on(call, conn)
        if outcome is Outcome.NOT_RUN:
            call.may_have_run = ran_before
        if outcome in (Outcome.DONE, Outcome.NOT_RUN):
            kept = backend_pool.give_back(fwd.pool, conn)
        return outcome
    except errors.HttpError as exc:
        eventlog.event(
            "attempt.failed",
            request=call.req.request_id,
            server=server.server_id,
            error=str(exc),
        )
        return Outcome.UNKNOWN
    finally:
        _count(fwd, server.server_id, -1)
        if not kept:
            await backend_pool.discard(fwd.pool, conn)


def _count(fwd, server_id, change):
    left = fwd.in_flight.get(server_id, 0) + change
    if left:
        fwd.in_flight[server_id] = left
    else:
        del fwd.in_flight[server_id]


async def _send_request(call, chosen, conn):
    resumed = call.reply.started
    out = exchange.Outbound(
        server_id=chosen.server.server_id,
        deadline_s=call.deadline - anyio.current_time(),
        customer=call.customer,
        version=chosen.holding.version if chosen.holding else None,
        resume_after=call.events.last_id if resumed else None,
    )
    headers = exchanges.backend_headers(call.req, out, call.body)
    await http1.send(conn, call.req.method, call.req.target, headers, call.body)


async def _pass_answer_on(call, conn):
    raw = await http1.receive_head(conn)
    head = exchanges.answer_head(raw.status_code, raw.headers)
    if head.request_id != call.req.request_id:
        raise errors.HttpError(
            f"answer to {head.request_id!r}", step="forward.receive", peer=conn.peer
        )
    if head.not_run or head.status == 421:
        await _read_all(conn, head)
        return Outcome.NOT_RUN
    if call.route.kind is routes.Kind.STREAM and head.status == 200:
        return await _pass_stream_on(call, conn, head)
    return await _pass_whole_on(call, conn, head)


async def _read_all(conn, head):
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


async def _pass_whole_on(call, conn, head):
    body = await _read_all(conn, head)
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
        return Outcome.UNKNOWN
    await http1_server.respond(call.reply, head.status, head.headers, body)
    return Outcome.DONE


async def _pass_stream_on(call, conn, head):
    if not head.is_signed:
        raise errors.HttpError(
            "stream without signature", step="forward.receive", peer=conn.peer
        )
    events = call.events
    events.pending = b""
    while (data := await http1.receive_data(conn)) is not None:
        complete = event_stream.feed(events, data)
        if not events.in_order:
            raise errors.HttpError(
                "events out of order", step="forward.receive", peer=conn.peer
            )
        if complete and not call.reply.started:
            await http1_server.start_with(call.reply, 200, head.headers, complete)
        elif complete:
            await http1_server.send_data(call.reply, complete)
    if events.pending:
        raise errors.HttpError(
            "the stream ends within an event", step="forward.receive", peer=conn.peer
        )
    if not call.reply.started:
        await http1_server.start(call.reply, 200, head.headers)
    await http1_server.finish(call.reply)
    return Outcome.DONE
