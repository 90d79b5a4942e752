"""HTTP/1.1 client connections on h11, for forwarding requests and calling services.

A connection carries one exchange at a time; after it, the caller learns whether the
connection can be reused.
"""

import collections
import fcntl
import select
import socket
import struct
import termios

import anyio
import anyio.abc
import anyio.lowlevel
import attrs
import h11

from carobstand import errors
from carobstand.core import deployment, message_bounds

READ_BYTES = 32768
"""Maximum bytes read from a socket at a time."""

UNACKNOWLEDGED_TIMEOUT_S = 4.0
"""Time after which the kernel closes a connection with unacknowledged bytes
(TCP_USER_TIMEOUT). Detects connections whose packets are lost on the network."""

TCP_KEEPALIVE_IDLE_S = 2
TCP_KEEPALIVE_INTERVAL_S = 1
"""Idle time before the first TCP keepalive probe, and interval between probes. A watch
that only waits for data would not notice lost connectivity without probes."""

MIN_PAUSE_S = 0.1
"""Lateness of a timer from which the event loop counts as paused. Shorter pauses leave
most of the timeout to connect."""

KEEP_ALIVE_SLACK_S = 0.5
"""Margin before the end of the announced idle time within which a connection is not
reused."""

MAX_IDLE_DIGITS = 9
"""Most digits of an announced idle time in s. Hundreds of digits cannot be converted to
a floating-point number."""

MAX_RECENT_REQUEST_IDS = 32
"""Number of the most recent request ids kept per connection."""

MAX_HEADER_BYTES = 65536
"""Maximum size of a response head."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets the connection."""

_CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


@attrs.define(eq=False)
class Connection:
    """One connection to an HTTP server.

    Attributes
    ----------
    stream : anyio.abc.ByteStream
    peer : str
        ``host:port`` of the server.
    parser : h11.Connection
    idle_since : float
        Time of the event loop at which its last exchange ended.
    idle_until : float or None
        Time of the event loop until which the idle connection may be reused, None if
        the server announced no limit.
    uses : int
        Requests sent.
    message_counters : core.message_bounds.MessageCounters
        Of the response being received.
    request_ids : collections.deque of str
        Ids of the most recent requests.
    peer_work : core.message_bounds.PeerWork
        Shared by the connections to one server.
    is_complete : bool
        Whether the end of the response has been read.
    is_ended : bool
        Whether the server closed or reset the connection.
    """

    stream: object
    peer: str
    parser: h11.Connection = attrs.field(
        factory=lambda: h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
    )
    idle_since: float = 0.0
    idle_until: float | None = None
    uses: int = 0
    message_counters: message_bounds.MessageCounters = attrs.field(
        factory=message_bounds.MessageCounters
    )
    request_ids: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_RECENT_REQUEST_IDS)
    )
    peer_work: message_bounds.PeerWork = attrs.field(factory=message_bounds.PeerWork)
    is_complete: bool = False
    is_ended: bool = False


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


def set_tcp_timeouts(stream):
    """Set the TCP timeouts by which the kernel closes unresponsive connections."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    timeout_ms = int(UNACKNOWLEDGED_TIMEOUT_S * 1000)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S)


async def connect(address, timeout_s):
    """Open a connection to ``host:port``; raise HttpError with `sent` False.

    If the event loop paused beyond the timeout, it is tried once more: the server may
    have accepted in time, and is not to be avoided for a pause of this process.
    """
    due_at = anyio.current_time() + timeout_s
    try:
        return await _connect_once(address, timeout_s)
    except errors.HttpError as exc:
        is_timeout = isinstance(exc.__cause__, TimeoutError)
        if not is_timeout or anyio.current_time() < due_at + MIN_PAUSE_S:
            raise
    return await _connect_once(address, timeout_s)


async def _connect_once(address, timeout_s):
    host, port = deployment.split_address(address)
    try:
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(host, port)
            set_tcp_timeouts(stream)
    except (OSError, TimeoutError) as exc:
        reason = f"cannot connect: {exc or 'timeout'}"
        raise errors.HttpError(
            reason, step="http.connect", peer=address, sent=False
        ) from exc
    return Connection(stream, address)


async def is_refused(address, timeout_s):
    """Whether ``host:port`` refuses connections, as no process listens there."""
    host, port = deployment.split_address(address)
    try:
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as exc:
        return isinstance(exc.__cause__ or exc, ConnectionRefusedError)
    await anyio.aclose_forcefully(stream)
    return False


async def send(conn, method, target, headers, body=b""):
    """Send a complete request.

    Parameters
    ----------
    conn : Connection
    method, target : bytes
    headers : list of (bytes, bytes)
        Including ``Host`` and the framing of `body`.
    body : bytes

    Raises
    ------
    HttpError
    """
    conn.uses += 1
    conn.is_complete = False
    message_bounds.reset(conn.message_counters)
    head = h11.Request(method=method, target=target, headers=headers)
    parts = [conn.parser.send(head)]
    if body:
        parts.append(conn.parser.send(h11.Data(data=body)))
    parts.append(conn.parser.send(h11.EndOfMessage()))
    try:
        await conn.stream.send(b"".join(parts))
    except _CONNECTION_ERRORS as exc:
        raise _connection_error(conn, "http.send", exc) from exc


async def receive_head(conn):
    """Return the `h11.Response` to the last request; raise HttpError on failure."""
    for _ in range(message_bounds.MAX_INTERIM_RESPONSES + 1):
        event = await _next_event(conn)
        if type(event) is h11.Response:
            _record_keep_alive(conn, event)
            return event
        if type(event) is not h11.InformationalResponse:
            raise errors.HttpError(
                f"expected a response, received {type(event).__name__}",
                step="http.receive",
                peer=conn.peer,
            )
    raise errors.HttpError(
        "too many interim responses", step="http.receive", peer=conn.peer
    )


async def receive_data(conn):
    """Return the next bytes of the response body, or None at its end.

    Small parts that have arrived together are returned together. No bytes are lost if
    it is cancelled; the next call returns them.
    """
    while not conn.is_complete:
        event = await _next_event(conn)
        if type(event) is h11.Data:
            data, is_turn_over = _join_parts(conn, event)
            _check_overhead(conn)
            if is_turn_over:
                await anyio.lowlevel.cancel_shielded_checkpoint()
            if data:
                return data
        elif type(event) is h11.EndOfMessage:
            conn.is_complete = True
        else:
            raise errors.HttpError(
                "the response ended before its body was complete",
                step="http.receive",
                peer=conn.peer,
            )
    return None


def _join_parts(conn, event):
    """Return the bytes of a part and of those that follow it in the parser's buffer.

    Returns
    -------
    data : bytes
    is_turn_over : bool
        Whether control has to return to the event loop before the next part.
    """
    parts = [event.data]
    while not message_bounds.count_part(conn.message_counters, len(event.data)):
        try:
            event = conn.parser.next_event()
        except h11.RemoteProtocolError:
            # The parser raises it again when the next part is asked for.
            return b"".join(parts), False
        if type(event) is not h11.Data:
            conn.is_complete = type(event) is h11.EndOfMessage
            return b"".join(parts), False
        parts.append(event.data)
    return b"".join(parts), True


def _check_overhead(conn):
    """Raise ExcessiveOverheadError if the response, or its server, exceeds a bound."""
    counters, now = conn.message_counters, anyio.current_time()
    if message_bounds.is_excessive(counters) or message_bounds.charge(
        counters, conn.peer_work, now
    ):
        raise errors.ExcessiveOverheadError(
            "the protocol overhead of the response exceeds its limit",
            step="http.receive",
            peer=conn.peer,
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
                conn.is_ended = True
            conn.message_counters.received += len(data)
            _check_overhead(conn)
            conn.parser.receive_data(data)
    except h11.RemoteProtocolError as exc:
        raise errors.HttpError(
            f"malformed response: {exc}", step="http.receive", peer=conn.peer
        ) from exc
    except _CONNECTION_ERRORS as exc:
        raise _connection_error(conn, "http.receive", exc) from exc


def _connection_error(conn, step, exc):
    conn.is_ended = True
    reason = f"connection ended: {exc.__cause__ or exc or type(exc).__name__}"
    return errors.HttpError(reason, step=step, peer=conn.peer)


def _record_keep_alive(conn, event):
    conn.idle_until = None
    for part in (header(event.headers, b"keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        is_number = value.isascii() and value.isdigit()
        if name.lower() == "timeout" and is_number and len(value) <= MAX_IDLE_DIGITS:
            idle_s = max(0.0, int(value) - KEEP_ALIVE_SLACK_S)
            conn.idle_until = anyio.current_time() + idle_s


def prepare_for_reuse(conn):
    """Prepare for another request; return whether the connection can be reused."""
    try:
        conn.parser.start_next_cycle()
    except h11.ProtocolError:
        return False
    return not conn.parser.trailing_data[0]


def is_usable(conn):
    """Whether an idle connection is open, not expired and without unread input."""
    if conn.idle_until is not None and conn.idle_until <= anyio.current_time():
        return False
    raw = conn.stream.extra(anyio.abc.SocketAttribute.raw_socket)
    if raw.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN | select.POLLRDHUP)
    return not poll.poll(0)


def has_peer_ended(stream):
    """Whether the end of what a peer sends, or a reset, has arrived, read or not.

    The kernel knows it before the event loop reads it, which matters after a pause of
    this process. Makes one system call.
    """
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    if raw.fileno() < 0:
        return True
    poll = select.poll()
    # Resets and errors are always reported.
    poll.register(raw.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


async def close(conn):
    """Close without waiting; works during cancellation too.

    The kernel goes on sending what the peer has not acknowledged, also after a close:
    a request that was lost on the way would reach its server seconds after its caller
    has left. In that case the connection is reset, which drops these bytes. Otherwise
    it is closed, as the kernel repeats the end of a connection but not a reset.

    Returns
    -------
    dropped : int
        Number of bytes that the peer had not acknowledged.
    """
    raw = conn.stream.extra(anyio.abc.SocketAttribute.raw_socket)
    dropped = _unacknowledged_bytes(raw) if raw.fileno() >= 0 else 0
    if dropped:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    await anyio.aclose_forcefully(conn.stream)
    return dropped


def _unacknowledged_bytes(raw):
    """Return the bytes in the send queue of a socket, those under way included."""
    found = fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, bytes(4))
    return struct.unpack("i", found)[0]
