"""HTTP/1.1 server connections on h11: requests in, responses out, no more.

One task serves one connection. While a request is handled, the connection is read on,
so that a caller that leaves is noticed at once and its handler cancelled.
"""

import select

import anyio
import anyio.abc
import anyio.lowlevel
import attrs
import h11

from carobstand import errors, eventlog, http1
from carobstand.core import deployment, message_bounds

MAX_READ_AHEAD_BYTES = 262_144
"""Most bytes of later requests that are held while one is handled."""

BODY_PIECE_TIMEOUT_S = 5.0
"""Longest pause between two pieces of a request's body."""

LINGER_S = 0.3
"""Time in which the rest of a refused request is read, so that its caller gets the
answer instead of a reset."""

LINGER_READS = 32
"""Most reads in that time; a caller may send without end."""

ACCEPT_PAUSE_S = 0.1
"""Pause after a connection could not be accepted, as without a free descriptor."""

BODY_TIMEOUT_S = 30.0
"""Longest time of a whole body, however it trickles."""

_GONE = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


@attrs.frozen(kw_only=True)
class Limits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 65536
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.define(eq=False)
class Server:
    """State that all connections of a listener share.

    Attributes
    ----------
    limits : callable without arguments
        Returns the `Limits` in force.
    handle : async callable of (Request, Reply)
    is_closing : bool
        Connections end after the response in progress, idle ones at once.
    connections : set of Connection
    accepting : anyio.CancelScope
        Ends the listener; a connection that is refused lost nothing.
    """

    limits: object
    handle: object
    is_closing: bool = False
    connections: set = attrs.field(factory=set)
    accepting: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


@attrs.define(eq=False)
class Connection:
    """A caller's connection; `idle_scope` ends its wait for another request."""

    server: Server
    stream: object
    parser: h11.Connection
    idle_scope: object = None
    answered: int = 0
    traffic: message_bounds.MessageCounters = attrs.field(
        factory=message_bounds.MessageCounters
    )


@attrs.frozen
class Request:
    """A whole request; `headers` are h11's. `arrived` is the loop's time."""

    method: bytes
    target: bytes
    headers: object
    body: bytes
    arrived: float


class CallerGoneError(errors.CarobstandError):
    """The caller closed its connection, or no longer reads."""


@attrs.define(eq=False)
class Reply:
    """The response to one request; `started` once its head was sent."""

    conn: Connection
    started: bool = False
    finished: bool = False


async def start(reply, status, headers, length=None):
    """Send the head of a response; without `length` the body is sent in chunks."""
    reply.started = True
    await _send(reply.conn, _head(reply, status, headers, length))


async def send_data(reply, data):
    """Send bytes of the body."""
    await _send(reply.conn, reply.conn.parser.send(h11.Data(data=data)))


async def start_with(reply, status, headers, data):
    """Send the head of a response in chunks together with its first bytes."""
    reply.started = True
    head = _head(reply, status, headers, None)
    await _send(reply.conn, head + reply.conn.parser.send(h11.Data(data=data)))


async def finish(reply):
    """End the body."""
    tail = reply.conn.parser.send(h11.EndOfMessage())
    reply.finished = True
    if tail:
        await _send(reply.conn, tail)


async def respond(reply, status, headers, body=b""):
    """Send a whole response."""
    reply.started = reply.finished = True
    parser = reply.conn.parser
    raw = _head(reply, status, headers, len(body))
    if body:
        raw += parser.send(h11.Data(data=body))
    raw += parser.send(h11.EndOfMessage())
    await _send(reply.conn, raw)


def _head(reply, status, headers, length):
    headers = list(headers)
    if length is not None:
        headers.append((b"Content-Length", b"%d" % length))
    elif reply.conn.parser.their_http_version == b"1.1":
        headers.append((b"Transfer-Encoding", b"chunked"))
    if reply.conn.server.is_closing:
        headers.append((b"Connection", b"close"))
    return reply.conn.parser.send(h11.Response(status_code=status, headers=headers))


async def _send(conn, raw):
    try:
        await conn.stream.send(raw)
    except _GONE as exc:
        raise CallerGoneError("the caller is gone", step="server.send") from exc


async def listen(server, address):
    """Accept and serve connections at ``host:port`` until cancelled or `close_idle`."""
    host, port = deployment.split_address(address)
    multi = await anyio.create_tcp_listener(local_host=host, local_port=port)
    async with anyio.create_task_group() as connections:
        with server.accepting:
            async with multi:
                # One address has one socket.
                await _accept(server, multi.listeners[0], connections)


async def _accept(server, listener, connections):
    """Serve each connection; one that cannot be accepted ends nothing."""
    while True:
        try:
            stream = await listener.accept()
        except OSError as exc:
            eventlog.event("accept.failed", error=repr(exc))
            await anyio.sleep(ACCEPT_PAUSE_S)
            continue
        connections.start_soon(serve_connection, server, stream)


async def serve_connection(server, stream):
    """Serve the requests of one connection until it ends."""
    parser = h11.Connection(
        h11.SERVER, max_incomplete_event_size=server.limits().max_header_bytes
    )
    conn = Connection(server, stream, parser)
    server.connections.add(conn)
    try:
        http1.protect(stream)
        while await _serve_one(conn):
            conn.answered += 1
            parser.start_next_cycle()
    except _GONE as exc:
        eventlog.debug("connection.ended", error=repr(exc))
    except Exception as exc:
        eventlog.failure("connection.failed", exc)
    finally:
        server.connections.discard(conn)
        await anyio.aclose_forcefully(stream)


async def _serve_one(conn):
    """Serve the next request; return whether another one may follow."""
    try:
        event = await _read_head(conn)
        if event is None:
            return False
        arrived = anyio.current_time()
        return await _serve_request(conn, event, arrived)
    except h11.RemoteProtocolError as exc:
        await _refuse(conn, exc.error_status_hint, str(exc))
    except TimeoutError:
        await _refuse(conn, 408, "the request did not arrive in time")
    return False


async def _serve_request(conn, event, arrived):
    problem = _head_problem(event, conn.server.limits())
    if problem is not None:
        await _refuse(conn, *problem)
        return False
    body = await _read_body(conn)
    if body is None:
        await _refuse(conn, 413, "the body is too large")
        return False
    req = Request(event.method, event.target, event.headers, body, arrived)
    reply = Reply(conn)
    async with anyio.create_task_group() as tg:
        tg.start_soon(_read_ahead, conn, tg.cancel_scope)
        try:
            await _handle(conn, req, reply)
        except CallerGoneError as exc:
            eventlog.debug("caller.gone", error=exc.message)
        tg.cancel_scope.cancel()
    if not reply.finished or conn.server.is_closing:
        return False
    return conn.parser.our_state is h11.DONE and conn.parser.their_state is h11.DONE


async def _handle(conn, req, reply):
    """Handle a request; an error in the program is answered, where that is possible."""
    try:
        await conn.server.handle(req, reply)
    except CallerGoneError:
        raise
    except Exception as exc:
        eventlog.failure("request.failed", exc)
        if not reply.started:
            await respond(reply, 502, [], b'{"error":"internal"}')


def _head_problem(event, limits):
    """Return the status and reason for which a head is refused, or None."""
    size = len(event.method) + len(event.target)
    size += sum(len(name) + len(value) for name, value in event.headers)
    if size > limits.max_header_bytes:
        return 431, "the head is too large"
    framings = [
        (name, value)
        for name, value in event.headers
        if name in (b"content-length", b"transfer-encoding")
    ]
    if len(framings) > 1:
        return 400, "more than one framing of the body"
    for name, value in framings:
        if name == b"content-length" and int(value) > limits.max_body_bytes:
            return 413, "the body is too large"
    return None


async def _read_ahead(conn, scope):
    """Take bytes of later requests; cancel the handler once the caller is gone."""
    size = 0
    try:
        while size < MAX_READ_AHEAD_BYTES:
            data = await conn.stream.receive(http1.READ_BYTES)
            conn.parser.receive_data(data)
            size += len(data)
        reason = "sends too much ahead"
    except anyio.EndOfStream:
        reason = "closed"
    except _GONE as exc:
        reason = repr(exc)
    eventlog.debug("caller.left", reason=reason)
    scope.cancel()


async def _read_head(conn):
    """Return the next request's h11 event, or None if none comes.

    Raises TimeoutError if it has begun and does not end in time.
    """
    limits = conn.server.limits()
    message_bounds.reset(conn.traffic)
    event = conn.parser.next_event()
    if event is h11.NEED_DATA and not conn.parser.trailing_data[0]:
        if conn.server.is_closing and conn.answered and not _has_arrived(conn):
            return None
        with anyio.move_on_after(limits.idle_timeout_s) as conn.idle_scope:
            await _receive(conn)
        waited_in_vain = conn.idle_scope.cancelled_caught
        conn.idle_scope = None
        if waited_in_vain:
            return None
        event = conn.parser.next_event()
    with anyio.fail_after(limits.header_timeout_s):
        while event is h11.NEED_DATA:
            await _receive(conn)
            event = conn.parser.next_event()
    return event if type(event) is h11.Request else None


async def _read_body(conn):
    """Return the whole body, or None if it is over the limit."""
    max_bytes = conn.server.limits().max_body_bytes
    parts, size = [], 0
    with anyio.fail_after(BODY_TIMEOUT_S):
        while True:
            event = conn.parser.next_event()
            if event is h11.NEED_DATA:
                await _continue(conn)
                with anyio.fail_after(BODY_PIECE_TIMEOUT_S):
                    await _receive(conn)
            elif type(event) is h11.Data:
                size += len(event.data)
                if size > max_bytes:
                    return None
                parts.append(bytes(event.data))
                if message_bounds.count_part(conn.traffic, len(event.data)):
                    await anyio.lowlevel.checkpoint()
            else:
                return b"".join(parts)


async def _continue(conn):
    if conn.parser.they_are_waiting_for_100_continue:
        go_on = h11.InformationalResponse(status_code=100, headers=[])
        await conn.stream.send(conn.parser.send(go_on))


async def _receive(conn):
    try:
        data = await conn.stream.receive(http1.READ_BYTES)
    except anyio.EndOfStream:
        data = b""
    conn.traffic.received += len(data)
    if message_bounds.is_excessive(conn.traffic):
        raise h11.RemoteProtocolError("far more bytes than content")
    conn.parser.receive_data(data)


async def _refuse(conn, status, reason):
    """Answer a request that cannot be read, and let the caller read the answer."""
    eventlog.event("request.malformed", status=status, reason=reason)
    if conn.parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
    raw = conn.parser.send(h11.Response(status_code=status, headers=headers))
    raw += conn.parser.send(h11.EndOfMessage())
    with anyio.move_on_after(LINGER_S):
        await conn.stream.send(raw)
        await conn.stream.send_eof()
        for _ in range(LINGER_READS):
            await conn.stream.receive(http1.READ_BYTES)


def close_idle(server):
    """Accept no more connections, and close those that wait for another request.

    Others end after their response, and so do new ones after their first. A request
    that has arrived is served.
    """
    server.is_closing = True
    server.accepting.cancel()
    for conn in list(server.connections):
        if conn.idle_scope is not None and conn.answered and not _has_arrived(conn):
            conn.idle_scope.cancel()


def _has_arrived(conn):
    """Whether bytes of another request, or its caller's close, can be read."""
    raw = conn.stream.extra(anyio.abc.SocketAttribute.raw_socket)
    if raw.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))
