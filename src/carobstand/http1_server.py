"""Minimal HTTP/1.1 server on h11.

One task serves one connection. The connection is read while a request is handled, so
that the handler is cancelled as soon as the caller disconnects.
"""

import contextlib
import math

import anyio
import anyio.abc
import anyio.lowlevel
import attrs
import h11

from carobstand import errors, eventlog, http1
from carobstand.core import byte_budget, deployment, message_bounds
from carobstand.wire import socket_streams

READ_AHEAD_BYTES = 16_384
"""Bytes of pipelined requests up to which more are read while a request is handled. The
rest stays in the kernel's buffer, and the caller's sends block when that is full."""

CALLER_CHECK_S = 0.1
"""Interval of checks whether the caller has left while nothing more is read ahead."""

MAX_SENT_AHEAD = 64
"""Consecutive responses before whose end further requests had arrived, after which a
connection is closed. Each request takes the event loop for as long as one of a caller
that waits for its response. Callers that wait send none ahead."""

BODY_READ_TIMEOUT_S = 5.0
"""Maximum wait for the next bytes of a request body."""

LINGER_TIMEOUT_S = 0.3
"""Time for which the rest of a rejected request is read, so that its caller receives
the response instead of a connection reset."""

MAX_LINGER_READS = 32
"""Maximum reads within that time, as a caller may send endlessly."""

MEMORY_RETRY_AFTER_S = 1.0
"""Retry-After of a request for whose body there is no memory; bodies that are held for
slow callers are released by the time-outs of their requests, some each second."""

LIMITS_RETRY_AFTER_S = 1.0
"""Retry-After of a request that exceeds limits that may be outdated."""

SIZE_STATUSES = (413, 431)
"""Statuses of requests that exceed a size limit; they are never retried."""

MEMORY_CHECK_S = 0.1
"""Interval of checks for memory for bytes that a caller sends ahead."""

LATE_SEND_S = 0.3
"""Maximum time for sending the end of a response after its deadline."""

SLOW_SEND_S = 0.1
"""Shortest time of a send that counts as one for which the caller has to read. Shorter
ones add up to seconds in a long response of a busy process."""

ACCEPT_PENDING_S = 2.0
"""Maximum time in which a shutdown accepts connections that are established already.
With 0.5 s, 200 callers of a busy process had some of them reset."""

CLOSING_WAIT_S = 0.05
"""Time for which a used connection is still read before a shutdown closes it: a request
that was sent before its caller could know may be in the buffers of this process."""

SLOW_REQUEST_S = 0.5
"""Time for the rest of a request after which its connection may be closed for another
one. Ordinary requests arrive within some round trips."""

FULL_LOG_INTERVAL_S = 1.0
"""Shortest time between two log lines about too many connections."""

BODY_TIMEOUT_S = 30.0
"""Maximum time for a complete body, even if bytes keep arriving slowly."""

_CONNECTION_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


@attrs.frozen(kw_only=True)
class Limits:
    """Size limits and timeouts for requests.

    With `are_certain`, a request that is too large is refused for good. Otherwise the
    limits may be outdated, and its caller is told to come back.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 65536
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    are_certain: bool = True


@attrs.define(eq=False)
class Server:
    """State shared by all connections of a listener.

    Attributes
    ----------
    limits : callable without arguments
        Returns the current `Limits`.
    handle : async callable of (Request, Reply)
    is_closing : bool
        Connections are closed after the response in progress, idle ones immediately.
    is_accepting : bool
        Whether connections may still be accepted that `connections` does not have yet.
    connections : set of Connection
    accepting : anyio.CancelScope
        Stops accepting connections; a refused connection loses no request.
    bodies : core.byte_budget.ByteBudget
        Memory for the bodies of requests.
    max_connections : int or None
        Open connections from which one that waits for a request, or for long for the
        rest of one, is closed for each new one.
    full_logged_at : float
        Time at which it was last logged that there are so many.
    """

    limits: object
    handle: object
    bodies: byte_budget.ByteBudget = attrs.field(factory=byte_budget.ByteBudget)
    max_connections: int | None = None
    full_logged_at: float = -math.inf
    is_closing: bool = False
    is_accepting: bool = False
    connections: set = attrs.field(factory=set)
    accept_scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


@attrs.define(eq=False)
class Connection:
    """Connection of a caller.

    Attributes
    ----------
    server : Server
    stream : anyio.abc.ByteStream
    parser : h11.Connection
    idle_scope : anyio.CancelScope or None
        Set while waiting for another request; its deadline closes the connection.
    receive_scope : anyio.CancelScope or None
        Set while the rest of a request is received; cancelling it ends the connection.
    waits_since : float
        Time at which the last wait for a request, or for its rest, began.
    is_evicted : bool
        Whether it is being closed for a new connection.
    responses_sent : int
    message_counters : core.message_bounds.MessageCounters
        Of the request being received.
    reserved : int
        Bytes of its request, and of those sent ahead, reserved in `Server.bodies`.
    sent_ahead : int
        Consecutive responses before whose end further requests had arrived.
    has_unsent : bool
        Whether the end of the last response may still wait for its caller to read.
    """

    server: Server
    stream: object
    parser: h11.Connection
    idle_scope: object = None
    receive_scope: object = None
    waits_since: float = 0.0
    is_evicted: bool = False
    responses_sent: int = 0
    message_counters: message_bounds.MessageCounters = attrs.field(
        factory=message_bounds.MessageCounters
    )
    reserved: int = 0
    sent_ahead: int = 0
    has_unsent: bool = False


@attrs.frozen
class Request:
    """A complete request.

    Attributes
    ----------
    method, target : bytes
    headers : h11 Headers
    body : bytes
    received_at : float
        Time of the event loop at which the head was received.
    """

    method: bytes
    target: bytes
    headers: object
    body: bytes
    received_at: float


class NoMemoryError(errors.CarobstandError):
    """There is no memory for the body of a request."""


class CallerGoneError(errors.CarobstandError):
    """The caller closed its connection or stopped reading."""


@attrs.define(eq=False)
class Reply:
    """Response to one request.

    `started` is set when sending its head begins, `finished` when sending its end does.
    `unread_s` sums up the sends that took at least `SLOW_SEND_S`, as the caller did not
    read. With `is_head`, the response has the head that another method would get, and
    no body.
    """

    conn: Connection
    is_head: bool = False
    started: bool = False
    finished: bool = False
    unread_s: float = 0.0


def has_caller_left(reply):
    """Whether the end or a reset of the caller's connection has arrived, read or not.

    After a pause of the event loop a request may be read before the end that arrived
    with it. Handlers check this right before they have another process do work.
    """
    return http1.has_peer_ended(reply.conn.stream)


def log_withdrawn(request_id, server_id, received_at):
    """Log that a request is not passed on, as its caller has left.

    Parameters
    ----------
    request_id : str or None
    server_id : str or None
        None before a server was chosen.
    received_at : float
        Time of the event loop at which the head was received.
    """
    held_s = round(anyio.current_time() - received_at, 3)
    eventlog.event(
        "request.withdrawn", request=request_id, server=server_id, held_s=held_s
    )


async def start_response(reply, status, headers, length=None):
    """Send the head of a response; without `length` the body uses chunked encoding."""
    reply.started = True
    await _send(reply.conn, _head(reply, status, headers, length))


async def send_data(reply, data):
    """Send part of the response body."""
    await _send_timed(reply, _body_part(reply, data))


def _body_part(reply, data):
    """Return a part of the body as sent; the response to a HEAD request has none."""
    return b"" if reply.is_head else reply.conn.parser.send(h11.Data(data=data))


async def start_response_with(reply, status, headers, data):
    """Send the head of a chunked response together with the first bytes of its body."""
    reply.started = True
    head = _head(reply, status, headers, None)
    await _send_timed(reply, head + _body_part(reply, data))


async def finish_response(reply):
    """Send the end of the response body."""
    tail = reply.conn.parser.send(h11.EndOfMessage())
    reply.finished = True
    _count_sent_ahead(reply.conn)
    if tail:
        await _send_end(reply.conn, tail)


async def respond(reply, status, headers, body=b""):
    """Send a complete response."""
    reply.started = reply.finished = True
    _count_sent_ahead(reply.conn)
    parser = reply.conn.parser
    raw = _head(reply, status, headers, len(body))
    if body:
        raw += _body_part(reply, body)
    raw += parser.send(h11.EndOfMessage())
    await _send_end(reply.conn, raw)


def _count_sent_ahead(conn):
    """Count whether bytes have come before the end of a response is sent.

    Only these were certainly sent ahead; what comes later may be a reply to it.
    """
    conn.sent_ahead = conn.sent_ahead + 1 if conn.parser.trailing_data[0] else 0


def _head(reply, status, headers, length):
    headers = list(headers)
    if length is not None:
        headers.append((b"Content-Length", b"%d" % length))
    elif reply.conn.parser.their_http_version == b"1.1":
        headers.append((b"Transfer-Encoding", b"chunked"))
    conn = reply.conn
    # A request that was received ahead is served before the connection is closed.
    is_last = conn.server.is_closing and not conn.parser.trailing_data[0]
    if is_last or conn.sent_ahead >= MAX_SENT_AHEAD:
        headers.append((b"Connection", b"close"))
    return reply.conn.parser.send(h11.Response(status_code=status, headers=headers))


async def _send_timed(reply, raw):
    began_at = anyio.current_time()
    await _send(reply.conn, raw)
    took_s = anyio.current_time() - began_at
    if took_s >= SLOW_SEND_S:
        reply.unread_s += took_s


async def _send_end(conn, raw):
    """Send the end of a response, also if its deadline has just passed.

    The stream checks for a cancellation before it writes, and the caller would get
    neither this response nor another one.
    """
    now = anyio.current_time()
    is_late = anyio.current_effective_deadline() <= now
    # A caller that reads nothing must not hold its connection for good.
    max_s = LATE_SEND_S if is_late else conn.server.limits().idle_timeout_s
    with anyio.CancelScope(shield=is_late, deadline=now + max_s):
        conn.has_unsent = True
        await _send(conn, raw)
        conn.has_unsent = False


async def _send(conn, raw):
    try:
        await conn.stream.send(raw)
    except _CONNECTION_ERRORS as exc:
        raise CallerGoneError(
            "the caller closed its connection", step="server.send"
        ) from exc


async def listen(server, address):
    """Serve connections at ``host:port`` until cancelled or `begin_shutdown`."""
    host, port = deployment.split_address(address)
    multi = await anyio.create_tcp_listener(local_host=host, local_port=port)
    server.is_accepting = True
    async with anyio.create_task_group() as connections:
        async with multi:
            # A single IP address yields a single listener.
            raw = multi.listeners[0].extra(anyio.abc.SocketAttribute.raw_socket)
            socket_streams.limit_buffers(raw)
            with server.accept_scope:
                while True:
                    # Nothing else notices a cancellation while callers are pending.
                    await anyio.lowlevel.checkpoint_if_cancelled()
                    if not socket_streams.is_readable(raw):
                        await anyio.wait_readable(raw)
                    await _accept(raw, server, connections)
            closes_at = anyio.current_time() + ACCEPT_PENDING_S
            while socket_streams.is_readable(raw) and anyio.current_time() < closes_at:
                await anyio.lowlevel.checkpoint_if_cancelled()
                await _accept(raw, server, connections)
        # The tasks of the last connections start in this iteration of the event loop.
        await anyio.lowlevel.checkpoint()
        server.is_accepting = False


async def _accept(raw, server, connections):
    """Serve the next connection; a failed accept is logged, and followed by a pause."""
    try:
        stream = socket_streams.accept(raw)
    except OSError as exc:
        eventlog.event("accept.failed", error=repr(exc))
        await anyio.sleep(socket_streams.ACCEPT_RETRY_DELAY_S)
        return
    if stream is not None and _make_room(server):
        connections.start_soon(serve_connection, server, stream)
    elif stream is not None:
        await stream.aclose()
    # Callers that are pending must not keep the others waiting.
    await anyio.lowlevel.cancel_shielded_checkpoint()


def _make_room(server):
    """Close a connection if there are too many; return False if none can be closed.

    Connections without a whole request so far go first, of these the one that waits for
    longest, so that a caller that has just connected has time to send its request.
    """
    if server.max_connections is None:
        return True
    if len(server.connections) < server.max_connections:
        return True
    now = anyio.current_time()
    waiting = [conn for conn in server.connections if _may_be_closed(conn, now)]
    if now - server.full_logged_at >= FULL_LOG_INTERVAL_S:
        server.full_logged_at = now
        eventlog.event(
            "connections.full", open=len(server.connections), waiting=len(waiting)
        )
    if not waiting:
        return False
    # Without a request so far, or with a part of one, before those that are kept.
    first = min(waiting, key=lambda conn: (conn.responses_sent > 0, conn.waits_since))
    first.is_evicted = True
    (first.idle_scope or first.receive_scope).cancel()
    return True


def _may_be_closed(conn, now):
    """Whether a connection waits for a request, or too long for the rest of one."""
    if conn.is_evicted:
        return False
    is_slow = now - conn.waits_since >= SLOW_REQUEST_S
    return conn.idle_scope is not None or (conn.receive_scope is not None and is_slow)


async def serve_connection(server, stream):
    """Serve the requests of one connection until it is closed."""
    parser = h11.Connection(
        h11.SERVER, max_incomplete_event_size=server.limits().max_header_bytes
    )
    conn = Connection(server, stream, parser)
    server.connections.add(conn)
    try:
        http1.set_tcp_timeouts(stream)
        while await _serve_one(conn):
            conn.responses_sent += 1
            parser.start_next_cycle()
        if conn.sent_ahead >= MAX_SENT_AHEAD:
            eventlog.debug("connection.ended", error="too many requests sent ahead")
            await _linger(conn)
    except _CONNECTION_ERRORS as exc:
        eventlog.debug("connection.ended", error=repr(exc))
    except Exception as exc:
        eventlog.failure("connection.failed", exc)
    finally:
        server.connections.discard(conn)
        _release(conn)
        await anyio.aclose_forcefully(stream)


async def _serve_one(conn):
    """Serve the next request; return whether the connection can be reused."""
    try:
        event = await _read_head(conn)
        if event is None:
            return False
        received_at = anyio.current_time()
        is_reusable = await _serve_request(conn, event, received_at)
        return is_reusable and _keep_reserved(conn)
    except NoMemoryError as exc:
        await _reject(conn, 503, exc.message, MEMORY_RETRY_AFTER_S)
    except h11.RemoteProtocolError as exc:
        await _reject(conn, exc.error_status_hint, str(exc))
    except TimeoutError:
        if not conn.is_evicted:
            await _reject(conn, 408, "the request did not arrive in time")
    return False


async def _serve_request(conn, event, received_at):
    rejection = _check_head(event, conn.server.limits())
    if rejection is not None:
        await _reject(conn, *rejection)
        return False
    body = await _read_body(conn)
    if body is None:
        await _reject(conn, 413, "the body is too large")
        return False
    if http1.has_peer_ended(conn.stream):
        log_withdrawn(http1.header(event.headers, b"request-id"), None, received_at)
        return False
    req = Request(event.method, event.target, event.headers, body, received_at)
    reply = Reply(conn, is_head=event.method == b"HEAD")
    async with anyio.create_task_group() as tg:
        tg.start_soon(_read_ahead, conn, tg.cancel_scope)
        try:
            await _handle(conn, req, reply)
        except CallerGoneError as exc:
            eventlog.debug("caller.gone", error=exc.message)
        tg.cancel_scope.cancel()
    if not reply.finished:
        return False
    if not (conn.parser.our_state is h11.DONE and conn.parser.their_state is h11.DONE):
        return False
    return not conn.has_unsent or await _send_rest(conn)


async def _send_rest(conn):
    """Wait until the caller has read most of a response; return False if it does not.

    The stream does not accept further bytes before. The response to a pipelined request
    would be dropped at its deadline, and its caller would take the next one for it.
    """
    with anyio.move_on_after(conn.server.limits().idle_timeout_s):
        await conn.stream.send(b"")
        conn.has_unsent = False
    return not conn.has_unsent


async def _handle(conn, req, reply):
    """Call the handler; unexpected errors become a 502 if no response was started."""
    try:
        await conn.server.handle(req, reply)
    except CallerGoneError:
        raise
    except Exception as exc:
        eventlog.failure("request.failed", exc)
        if not reply.started:
            await respond(reply, 502, [], b'{"error":"internal"}')


def _check_head(event, limits):
    """Return the status and reason of the rejection of a head, or None if valid."""
    size = len(event.method) + len(event.target)
    size += sum(len(name) + len(value) for name, value in event.headers)
    if size > limits.max_header_bytes:
        return 431, "the head is too large"
    framing_headers = [
        (name, value)
        for name, value in event.headers
        if name in (b"content-length", b"transfer-encoding")
    ]
    if len(framing_headers) > 1:
        return 400, "more than one framing of the body"
    for name, value in framing_headers:
        if name == b"content-length" and int(value) > limits.max_body_bytes:
            return 413, "the body is too large"
    return None


async def _read_ahead(conn, scope):
    """Buffer some pipelined requests; cancel `scope` if the caller disconnects."""
    try:
        while True:
            left = READ_AHEAD_BYTES - len(conn.parser.trailing_data[0])
            if left > 0:
                data = await conn.stream.receive(left)
                conn.parser.receive_data(data)
                while not _reserve(conn, len(data)):
                    await anyio.sleep(MEMORY_CHECK_S)
            elif http1.has_peer_ended(conn.stream):
                reason = "closed"
                break
            else:
                await anyio.sleep(CALLER_CHECK_S)
    except anyio.EndOfStream:
        reason = "closed"
    except _CONNECTION_ERRORS as exc:
        reason = repr(exc)
    eventlog.debug("caller.left", reason=reason)
    scope.cancel()


async def _read_head(conn):
    """Return the h11 event of the next request, or None if none is received.

    Raises TimeoutError if a head is incomplete after `header_timeout_s`.
    """
    limits = conn.server.limits()
    message_bounds.reset(conn.message_counters)
    event = conn.parser.next_event()
    if event is h11.NEED_DATA and not conn.parser.trailing_data[0]:
        is_last_wait = conn.server.is_closing and conn.responses_sent
        wait_s = CLOSING_WAIT_S if is_last_wait else limits.idle_timeout_s
        conn.waits_since = anyio.current_time()
        with anyio.move_on_after(wait_s) as conn.idle_scope:
            await _receive(conn)
        timed_out = conn.idle_scope.cancelled_caught
        conn.idle_scope = None
        # Bytes that arrive at that moment do not keep a connection to be closed.
        if timed_out or conn.is_evicted:
            return None
        event = conn.parser.next_event()
    with _receiving(conn, limits.header_timeout_s):
        while event is h11.NEED_DATA:
            await _receive(conn)
            event = conn.parser.next_event()
    return event if type(event) is h11.Request else None


@contextlib.contextmanager
def _receiving(conn, timeout_s):
    """Return a context that raises TimeoutError at its end, or if it is cancelled."""
    conn.waits_since = anyio.current_time()
    try:
        with anyio.fail_after(timeout_s) as conn.receive_scope:
            yield
        if conn.is_evicted:
            raise TimeoutError
    finally:
        conn.receive_scope = None


async def _read_body(conn):
    """Return the complete body, or None if it exceeds the limit."""
    max_bytes = conn.server.limits().max_body_bytes
    parts, size = [], 0
    with _receiving(conn, BODY_TIMEOUT_S):
        while True:
            event = conn.parser.next_event()
            if event is h11.NEED_DATA:
                await _send_continue(conn)
                with anyio.fail_after(BODY_READ_TIMEOUT_S):
                    await _receive(conn)
            elif type(event) is h11.Data:
                size += len(event.data)
                if size > max_bytes:
                    return None
                if not _reserve(conn, len(event.data)):
                    raise NoMemoryError("no memory for the body", step="server.read")
                parts.append(bytes(event.data))
                if message_bounds.count_part(conn.message_counters, len(event.data)):
                    await anyio.lowlevel.checkpoint()
            else:
                return b"".join(parts)


def _keep_reserved(conn):
    """Keep memory reserved for what was read ahead; return False if there is none."""
    _release(conn)
    return _reserve(conn, len(conn.parser.trailing_data[0]))


def _release(conn):
    byte_budget.release(conn.server.bodies, conn.reserved)
    conn.reserved = 0


def _reserve(conn, size):
    """Reserve memory until the end of the request; return False if there is none."""
    if not byte_budget.reserve(conn.server.bodies, size):
        return False
    conn.reserved += size
    return True


async def _send_continue(conn):
    if conn.parser.they_are_waiting_for_100_continue:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        await conn.stream.send(conn.parser.send(interim))


async def _receive(conn):
    try:
        data = await conn.stream.receive(http1.READ_BYTES)
    except anyio.EndOfStream:
        data = b""
    conn.message_counters.received += len(data)
    if message_bounds.is_excessive(conn.message_counters):
        raise h11.RemoteProtocolError("far more bytes than content")
    conn.parser.receive_data(data)


async def _reject(conn, status, reason, retry_after_s=None):
    """Respond to a request that is not served, then read its rest for a while."""
    if status in SIZE_STATUSES and not conn.server.limits().are_certain:
        status, retry_after_s = 503, LIMITS_RETRY_AFTER_S
    eventlog.event("request.malformed", status=status, reason=reason)
    if conn.parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.3f" % retry_after_s))
    raw = conn.parser.send(h11.Response(status_code=status, headers=headers))
    raw += conn.parser.send(h11.EndOfMessage())
    with anyio.move_on_after(LINGER_TIMEOUT_S):
        await conn.stream.send(raw)
        await _linger(conn)


async def _linger(conn):
    """End the responses, and read the rest of what was sent for a while."""
    with anyio.move_on_after(LINGER_TIMEOUT_S), contextlib.suppress(anyio.EndOfStream):
        await conn.stream.send_eof()
        for _ in range(MAX_LINGER_READS):
            await conn.stream.receive(http1.READ_BYTES)


def begin_shutdown(server):
    """Stop accepting connections and close idle ones after `CLOSING_WAIT_S`.

    Others are closed after the response in progress, and connections without a request
    so far after their first response. A request that arrives before is still served.
    """
    server.is_closing = True
    server.accept_scope.cancel()
    closes_at = anyio.current_time() + CLOSING_WAIT_S
    for conn in server.connections:
        if conn.idle_scope is not None and conn.responses_sent:
            conn.idle_scope.deadline = min(conn.idle_scope.deadline, closes_at)
