"""HTTP/1.1 client connections on h11, with what forwarding needs of them.

A connection carries one exchange at a time and says whether another one may follow.
"""

import collections
import select
import socket

import anyio
import anyio.abc
import anyio.lowlevel
import attrs
import h11

from carobstand import errors
from carobstand.core import deployment, message_bounds

READ_BYTES = 32768
"""Most bytes taken from a socket at a time."""

UNANSWERED_S = 4.0
"""Time after which the kernel gives up on bytes that the other side does not confirm.
Connections that were silenced on the way end by it."""

PROBE_IDLE_S = 2
PROBE_INTERVAL_S = 1
"""Times after which, and in which, the kernel probes a connection without traffic; a
watch may wait on a connection that was silenced on the way."""

KEEP_ALIVE_SLACK_S = 0.5
"""A connection is not used again this close to the end of its announced idle time."""

REMEMBERED_IDS = 32
"""Requests of a connection whose ids are remembered."""

MAX_HEADER_BYTES = 65536
"""Largest head of a response."""

_ENDED = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


@attrs.define(eq=False)
class Connection:
    """One connection to an HTTP server.

    `idle_until` is the loop's time until which it may be used again while idle, None
    if the server announced no limit; `request_ids` are those that it carried last.
    """

    stream: object
    peer: str
    parser: h11.Connection = attrs.field(
        factory=lambda: h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
    )
    idle_until: float | None = None
    uses: int = 0
    traffic: message_bounds.MessageCounters = attrs.field(
        factory=message_bounds.MessageCounters
    )
    request_ids: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=REMEMBERED_IDS)
    )


@attrs.frozen
class Response:
    """A complete response. `headers` has lower-case names, as bytes pairs.

    `began_at` is the loop's time at which its head arrived.
    """

    status: int
    headers: tuple
    body: bytes
    began_at: float = 0.0


def header(headers, name):
    """Return the first value of a header as text, or None.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.
    name : bytes
        In lower case.
    """
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None


def protect(stream):
    """Let the kernel end a connection whose peer confirms nothing any more."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    timeout_ms = int(UNANSWERED_S * 1000)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)


async def connect(address, timeout_s):
    """Open a connection to ``host:port``; raise HttpError with `sent` False."""
    host, port = deployment.split_address(address)
    try:
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(host, port)
            protect(stream)
    except (OSError, TimeoutError) as exc:
        reason = f"no connection: {exc or 'timeout'}"
        raise errors.HttpError(
            reason, step="http.connect", peer=address, sent=False
        ) from exc
    return Connection(stream, address)


async def send(conn, method, target, headers, body=b""):
    """Send a whole request.

    Parameters
    ----------
    conn : Connection
    method, target : bytes
    headers : list of (bytes, bytes)
        With the framing of `body` and the host.
    body : bytes

    Raises
    ------
    HttpError
    """
    conn.uses += 1
    message_bounds.reset(conn.traffic)
    head = h11.Request(method=method, target=target, headers=headers)
    parts = [conn.parser.send(head)]
    if body:
        parts.append(conn.parser.send(h11.Data(data=body)))
    parts.append(conn.parser.send(h11.EndOfMessage()))
    try:
        await conn.stream.send(b"".join(parts))
    except _ENDED as exc:
        raise _ended(conn, "http.send", exc) from exc


async def receive_head(conn):
    """Return the `h11.Response` of the request sent last; raise HttpError."""
    for _ in range(message_bounds.MAX_INTERIM_RESPONSES + 1):
        event = await _next_event(conn)
        if type(event) is h11.Response:
            _note_keep_alive(conn, event)
            return event
        if type(event) is not h11.InformationalResponse:
            raise errors.HttpError(
                f"no response but {type(event).__name__}",
                step="http.receive",
                peer=conn.peer,
            )
    raise errors.HttpError(
        "interim responses without end", step="http.receive", peer=conn.peer
    )


async def receive_data(conn):
    """Return the next bytes of the response's body, or None at its end."""
    while True:
        event = await _next_event(conn)
        if type(event) is h11.Data:
            if message_bounds.count_part(conn.traffic, len(event.data)):
                await anyio.lowlevel.checkpoint()
            if event.data:
                return bytes(event.data)
        elif type(event) is h11.EndOfMessage:
            return None
        else:
            raise errors.HttpError(
                "the response ended early", step="http.receive", peer=conn.peer
            )


async def _next_event(conn):
    try:
        while True:
            event = conn.parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await conn.stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                data = b""
            conn.traffic.received += len(data)
            if message_bounds.is_excessive(conn.traffic):
                raise errors.HttpError(
                    "far more bytes than content", step="http.receive", peer=conn.peer
                )
            conn.parser.receive_data(data)
    except h11.RemoteProtocolError as exc:
        raise errors.HttpError(
            f"malformed response: {exc}", step="http.receive", peer=conn.peer
        ) from exc
    except _ENDED as exc:
        raise _ended(conn, "http.receive", exc) from exc


def _ended(conn, step, exc):
    reason = f"connection ended: {exc.__cause__ or exc or type(exc).__name__}"
    return errors.HttpError(reason, step=step, peer=conn.peer)


def _note_keep_alive(conn, event):
    conn.idle_until = None
    for part in (header(event.headers, b"keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            idle_s = max(0.0, int(value) - KEEP_ALIVE_SLACK_S)
            conn.idle_until = anyio.current_time() + idle_s


def finish(conn):
    """Prepare for another request; return False if none may follow."""
    try:
        conn.parser.start_next_cycle()
    except h11.ProtocolError:
        return False
    return not conn.parser.trailing_data[0]


def is_usable(conn):
    """Whether an idle connection can be used: open, in time, with nothing to read."""
    if conn.idle_until is not None and conn.idle_until <= anyio.current_time():
        return False
    raw = conn.stream.extra(anyio.abc.SocketAttribute.raw_socket)
    if raw.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN | select.POLLRDHUP)
    return not poll.poll(0)


async def close(conn):
    """Close at once, also while being cancelled."""
    await anyio.aclose_forcefully(conn.stream)


@attrs.define(eq=False)
class Caller:
    """Calls to one address over kept connections.

    Attributes
    ----------
    address : str
        ``host:port``.
    idle : list of Connection
    """

    address: str
    idle: list = attrs.field(factory=list)


async def call(
    caller,
    method,
    target,
    *,
    body=b"",
    headers=(),
    timeout_s,
    max_bytes,
    silence_s=None,
):
    """Make one call and return its complete `Response`.

    Parameters
    ----------
    caller : Caller
    method, target : str
    body : bytes
    headers : iterable of (bytes, bytes)
    timeout_s : float
        For the whole call.
    silence_s : float or None
        Longest time without any bytes of the response, None for `timeout_s`.
    max_bytes : int
        Largest body of a response.

    Raises
    ------
    HttpError
        If no complete response arrives; `sent` says whether the call may have had an
        effect.
    """
    sent = False
    try:
        with anyio.fail_after(timeout_s):
            conn = await _take(caller, silence_s or timeout_s)
            sent = True
            wait = _waiter(silence_s) if silence_s else _receive
            request = (method, target, headers, body)
            return await _exchange(caller, conn, request, max_bytes, wait)
    except TimeoutError as exc:
        raise errors.HttpError(
            f"no answer within {silence_s or timeout_s} s",
            step="http.call",
            peer=caller.address,
            sent=sent,
        ) from exc


async def _take(caller, timeout_s):
    while caller.idle:
        conn = caller.idle.pop()
        if is_usable(conn):
            return conn
        await close(conn)
    return await connect(caller.address, timeout_s)


def _waiter(silence_s):
    """Return a function that awaits ``receive(conn)`` for so long at most."""

    async def wait(receive, conn):
        with anyio.fail_after(silence_s):
            return await receive(conn)

    return wait


async def _receive(receive, conn):
    return await receive(conn)


async def _exchange(caller, conn, request, max_bytes, wait):
    method, target, headers, body = request
    kept = False
    framing = [(b"Host", caller.address.encode())]
    if body or method in ("POST", "PUT"):
        framing.append((b"Content-Length", b"%d" % len(body)))
    try:
        all_headers = [*framing, *headers]
        await send(conn, method.encode(), target.encode(), all_headers, body)
        head = await wait(receive_head, conn)
        began_at = anyio.current_time()
        parts, size = [], 0
        while (data := await wait(receive_data, conn)) is not None:
            parts.append(data)
            size += len(data)
            if size > max_bytes:
                raise errors.TooLargeError(
                    f"response over {max_bytes} bytes",
                    step="http.receive",
                    peer=conn.peer,
                )
        kept = finish(conn)
    finally:
        if kept:
            caller.idle.append(conn)
        else:
            await close(conn)
    return Response(head.status_code, tuple(head.headers), b"".join(parts), began_at)


async def close_idle(caller):
    """Close all idle connections."""
    while caller.idle:
        await close(caller.idle.pop())
