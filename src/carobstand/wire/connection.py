"""Framed bidirectional connections between processes."""

import collections

import anyio
import anyio.abc
import attrs

from carobstand import errors, logs
from carobstand.wire import codec
from carobstand.wire.gen import ttypes

PROTOCOL_VERSION = 1
"""Version of the messages; a peer with another version is refused."""

PING_INTERVAL_S = 0.8
"""Time between pings; three lost ones are noticed within 3 s."""

SILENT_PINGS = 3
"""Pings without any frame from the peer after which a connection is replaced."""

HANDSHAKE_TIMEOUT_S = 3.0
"""Longest wait for the peer's hello."""

MAX_QUEUED_BYTES = 8 * 1024 * 1024
"""Bytes waiting to be sent above which senders wait."""

RECEIVE_BYTES = 256 * 1024
"""Largest read from a socket."""


@attrs.define(eq=False)
class Connection:
    """One connection to another process, after both hellos."""

    stream: anyio.abc.ByteStream
    peer: ttypes.Hello
    address: str
    queue: collections.deque = attrs.field(factory=collections.deque)
    queued_bytes: int = 0
    wakeup: anyio.Event = attrs.field(factory=anyio.Event)
    drained: anyio.Event = attrs.field(factory=anyio.Event)
    closed: anyio.Event = attrs.field(factory=anyio.Event)
    buffer: bytearray = attrs.field(factory=bytearray)
    last_heard: float = 0.0
    bytes_sent: int = 0
    bytes_received: int = 0
    extra: dict = attrs.field(factory=dict)


def post(conn, message):
    """Queue `message` on `conn` without waiting.

    Parameters
    ----------
    conn : Connection
    message : struct

    Raises
    ------
    ConnectionClosedError
        If the connection has ended.
    """
    if conn.closed.is_set():
        raise errors.ConnectionClosedError(
            "connection is closed", step="wire.post", peer=conn.address
        )
    frame = codec.encode(message, logs.STATE.clock.tick())
    conn.queue.append(frame)
    conn.queued_bytes += len(frame)
    conn.wakeup.set()


async def send(conn, message):
    """Queue `message`, waiting while more than `MAX_QUEUED_BYTES` are queued."""
    while conn.queued_bytes > MAX_QUEUED_BYTES and not conn.closed.is_set():
        conn.drained = anyio.Event()
        await conn.drained.wait()
    post(conn, message)


async def run(conn, on_message):
    """Exchange frames until the connection ends.

    Parameters
    ----------
    conn : Connection
    on_message : async callable of (conn, message)
        Called for each message but pings, one at a time.

    Raises
    ------
    WireError
        If the peer sent a malformed frame. The connection is closed.
    ConnectionClosedError
        If the peer was silent for `SILENT_PINGS` pings.
    """
    conn.last_heard = anyio.current_time()
    try:
        async with anyio.create_task_group() as tg:
            tg.start_soon(_write, conn)
            tg.start_soon(_ping, conn)
            await _read(conn, on_message)
            tg.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        raise group.exceptions[0] from None
    finally:
        close(conn)
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            await anyio.aclose_forcefully(conn.stream)


def close(conn):
    """Mark `conn` closed and wake everyone who waits on it."""
    conn.closed.set()
    conn.wakeup.set()
    conn.drained.set()


async def _read(conn, on_message):
    while not conn.closed.is_set():
        body = await _read_frame(conn)
        if body is None:
            return
        message, stamp = codec.decode(body)
        logs.STATE.clock.merge(stamp)
        if isinstance(message, ttypes.Ping):
            post(conn, ttypes.Pong(seq=message.seq))
        elif not isinstance(message, ttypes.Pong):
            await on_message(conn, message)


async def _read_frame(conn):
    """Return the next frame's body, or None when the peer closed."""
    size = codec.LENGTH.size
    while True:
        buffer = conn.buffer
        if len(buffer) >= size:
            (length,) = codec.LENGTH.unpack_from(buffer)
            if length > codec.MAX_FRAME_BYTES:
                raise errors.WireError(
                    f"frame of {length} bytes exceeds {codec.MAX_FRAME_BYTES}",
                    step="wire.read",
                    peer=conn.address,
                )
            if len(buffer) >= size + length:
                body = bytes(memoryview(buffer)[size : size + length])
                del buffer[: size + length]
                return body
        try:
            data = await conn.stream.receive(RECEIVE_BYTES)
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            return None
        except anyio.ClosedResourceError:
            return None
        conn.last_heard = anyio.current_time()
        conn.bytes_received += len(data)
        buffer += data


async def _write(conn):
    while not conn.closed.is_set():
        if not conn.queue:
            conn.wakeup = anyio.Event()
            await conn.wakeup.wait()
            continue
        data = b"".join(conn.queue)
        conn.queue.clear()
        try:
            await conn.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            close(conn)
            await anyio.aclose_forcefully(conn.stream)
            return
        conn.queued_bytes -= len(data)
        conn.bytes_sent += len(data)
        conn.drained.set()


async def _ping(conn):
    seq = 0
    while not conn.closed.is_set():
        await anyio.sleep(PING_INTERVAL_S)
        silent_s = anyio.current_time() - conn.last_heard
        if silent_s > PING_INTERVAL_S * SILENT_PINGS:
            raise errors.ConnectionClosedError(
                f"peer silent for {silent_s:.1f} s",
                step="wire.ping",
                peer=conn.address,
            )
        seq += 1
        post(conn, ttypes.Ping(seq=seq))


async def handshake(stream, hello, address):
    """Exchange hellos on a new stream.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
    hello : ttypes.Hello
        Hello of this process.
    address : str
        Address of the peer, for errors.

    Returns
    -------
    conn : Connection

    Raises
    ------
    HandshakeError
        If the peer sends no hello in time or speaks another version.
    """
    conn = Connection(stream=stream, peer=ttypes.Hello(), address=address)
    with anyio.move_on_after(HANDSHAKE_TIMEOUT_S):
        await stream.send(codec.encode(hello, logs.STATE.clock.tick()))
        body = await _read_frame(conn)
        if body is None:
            raise errors.HandshakeError(
                "peer closed before its hello", step="wire.handshake", peer=address
            )
        message, stamp = codec.decode(body)
        logs.STATE.clock.merge(stamp)
        _check_hello(message, address)
        conn.peer = message
        return conn
    raise errors.HandshakeError(
        f"no hello within {HANDSHAKE_TIMEOUT_S} s", step="wire.handshake", peer=address
    )


def _check_hello(message, address):
    if not isinstance(message, ttypes.Hello):
        raise errors.HandshakeError(
            f"expected Hello, got {type(message).__name__}",
            step="wire.handshake",
            peer=address,
        )
    if message.protocol != PROTOCOL_VERSION:
        raise errors.HandshakeError(
            f"protocol {message.protocol}, this process speaks {PROTOCOL_VERSION}",
            step="wire.handshake",
            peer=address,
        )


async def dial(address, hello, tls_context=None):
    """Connect to `address` and exchange hellos.

    Parameters
    ----------
    address : str
        ``host:port``.
    hello : ttypes.Hello
    tls_context : ssl.SSLContext or None
        None connects without TLS.

    Returns
    -------
    conn : Connection

    Raises
    ------
    ConnectionClosedError
        If the peer cannot be reached.
    HandshakeError
        If the hellos do not match.
    """
    host, port = split_address(address)
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            stream = await anyio.connect_tcp(
                host,
                port,
                tls=tls_context is not None,
                ssl_context=tls_context,
                tls_standard_compatible=False,
            )
    except (OSError, TimeoutError, anyio.BrokenResourceError) as exc:
        raise errors.ConnectionClosedError(
            f"cannot connect: {exc or type(exc).__name__}",
            step="wire.dial",
            peer=address,
        ) from exc
    try:
        return await handshake(stream, hello, address)
    except BaseException:
        await anyio.aclose_forcefully(stream)
        raise


async def serve(listener, hello, on_connection):
    """Accept connections until cancelled.

    Parameters
    ----------
    listener : anyio.abc.Listener
    hello : callable returning ttypes.Hello
    on_connection : async callable of (conn,)
        Runs the connection; it ends when the callable returns.
    """

    async def handle(stream):
        remote = stream.extra(anyio.abc.SocketAttribute.remote_address, ("?", 0))
        address = f"{remote[0]}:{remote[1]}"
        async with stream:
            try:
                conn = await handshake(stream, hello(), address)
                await on_connection(conn)
            except errors.CarobstandError as exc:
                logs.event(
                    "connection.failed", error=exc.message, step=exc.step, peer=address
                )
            except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                logs.event("connection.failed", error="reset", peer=address)

    await listener.serve(handle)


def split_address(address):
    """Return host and port of ``host:port``; raise ValueError if malformed."""
    host, sep, port = address.rpartition(":")
    if not sep or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"address {address!r} is not host:port")
    return host.strip("[]"), int(port)
