"""Framed bidirectional connections between processes."""

import collections
import contextlib
import ssl
import traceback

import anyio
import anyio.abc
import anyio.lowlevel
import attrs
from anyio.streams import tls as anyio_tls

from carobstand import errors, logs, signals
from carobstand.wire import codec, framing, hellos, liveness, tls
from carobstand.wire.gen import ttypes

PROTOCOL_VERSION = hellos.PROTOCOL_VERSION

HANDSHAKE_TIMEOUT_S = 3.0
"""Timeout of the TLS handshake, and then of the exchange of hellos."""

MAX_HANDSHAKES = 512
"""Accepted connections whose hello is pending; further ones are closed immediately. A
restarted entry of the design size gets about 200 connections of agents and entries."""

MAX_QUEUED_BYTES = 8 * 1024 * 1024
"""Queued bytes above which `send` waits."""

OVERFLOW_BYTES = 2 * MAX_QUEUED_BYTES
"""Queued bytes above which `post` closes the connection."""

WRITE_BYTES = 256 * 1024
"""Largest write to a socket; small enough to observe progress of a large queue."""

RECEIVE_BYTES = 256 * 1024
"""Largest read from a socket."""

FRAMES_PER_TURN = 32
"""Frames handled before other tasks run; a read may return thousands of small ones."""

ACCEPT_RETRY_S = 0.2
"""Pause after a failed accept, for example because file descriptors ran out."""

TRAFFIC = collections.Counter()
"""Bytes of frames sent to and received from other processes, by direction."""


@attrs.define(eq=False)
class Connection:
    """One connection to another process, after both hellos.

    Attributes
    ----------
    peer : ttypes.Hello
    address : str
        Address of the peer, ``host:port``.
    queued_bytes : int
        Bytes of frames that are not yet written to the socket.
    quiet_since : float or None
        When the connection last began to wait for data of the peer; None while a
        message is handled, because nothing is read then. Loop time, in seconds.
    write_since : float or None
        When the write in progress began, None without one. Loop time, in seconds.
    accepted : bool
        Whether the peer opened the connection.
    extra : dict
        Data of the owner of the connection.
    """

    stream: anyio.abc.ByteStream
    peer: ttypes.Hello
    address: str
    queue: collections.deque = attrs.field(factory=collections.deque)
    queued_bytes: int = 0
    wakeup: anyio.Event = attrs.field(factory=anyio.Event)
    drained: signals.Signal = attrs.field(factory=signals.Signal)
    closed: anyio.Event = attrs.field(factory=anyio.Event)
    frames: framing.Buffer = attrs.field(factory=framing.Buffer)
    quiet_since: float | None = None
    write_since: float | None = None
    accepted: bool = False
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
        If the connection has ended, or is closed because more than `OVERFLOW_BYTES`
        are queued.
    WireError
        If the message exceeds the largest frame; the connection stays open.
    """
    if conn.closed.is_set():
        raise errors.ConnectionClosedError(
            "connection is closed", step="wire.post", peer=conn.address
        )
    frame = codec.encode(message, logs.STATE.clock.tick())
    if conn.queued_bytes + len(frame) > OVERFLOW_BYTES:
        close(conn)
        raise errors.ConnectionClosedError(
            f"peer does not read: {conn.queued_bytes} bytes are queued",
            step="wire.post",
            peer=conn.address,
        )
    conn.queue.append(frame)
    conn.queued_bytes += len(frame)
    conn.wakeup.set()


async def send(conn, message):
    """Queue `message`, waiting while more than `MAX_QUEUED_BYTES` are queued."""
    while conn.queued_bytes > MAX_QUEUED_BYTES and not conn.closed.is_set():
        await conn.drained.wait(liveness.WRITE_STALL_TIMEOUT_S)
    post(conn, message)


async def flush(conn, timeout_s):
    """Wait until all queued frames are written to the socket, at most `timeout_s`.

    Returns
    -------
    flushed : bool
    """
    with anyio.move_on_after(timeout_s):
        while conn.queued_bytes and not conn.closed.is_set():
            await conn.drained.wait(timeout_s)
    return conn.queued_bytes == 0


async def run(conn, on_message):
    """Exchange frames until the connection ends.

    Parameters
    ----------
    conn : Connection
    on_message : async callable of (conn, message)
        Called for each message except pings and pongs, one at a time. Nothing is read
        from the peer while it runs.

    Raises
    ------
    WireError
        If the peer sent a malformed frame, or a message that its handler could not
        process. The connection is closed.
    ConnectionClosedError
        If the peer was silent or did not read for too long; see `liveness`.
    InvariantError
        As raised by a handler; the process must stop.
    """
    try:
        async with anyio.create_task_group() as tg:
            tg.start_soon(_cancel_when_closed, conn, tg.cancel_scope)
            tg.start_soon(_write, conn)
            tg.start_soon(liveness.watch, conn, post)
            await _read(conn, on_message)
            close(conn)
    except BaseExceptionGroup as group:
        raise _main_exception(group) from None
    finally:
        close(conn)
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            await anyio.aclose_forcefully(conn.stream)


def _main_exception(group):
    """Return an InvariantError of a group if there is one, else the first exception."""
    invariant, _ = group.split(errors.InvariantError)
    group = invariant or group
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return group


def close(conn):
    """Mark `conn` as closed and wake all tasks that wait on it; `run` then returns."""
    conn.closed.set()
    conn.wakeup.set()
    conn.drained.notify()


async def _cancel_when_closed(conn, scope):
    """Cancel the reader, which waits on the socket, when another task closes `conn`."""
    await conn.closed.wait()
    scope.cancel()


async def _read(conn, on_message):
    handled = 0
    while not conn.closed.is_set():
        body = framing.take(conn.frames, conn.address)
        if body is None:
            if not await _fill(conn):
                return
            continue
        message, stamp = codec.decode(body)
        logs.STATE.clock.merge(stamp)
        if isinstance(message, ttypes.Ping):
            post(conn, ttypes.Pong(seq=message.seq))
        elif not isinstance(message, ttypes.Pong):
            await _handle(conn, message, on_message)
        handled += 1
        if handled % FRAMES_PER_TURN == 0:
            await anyio.lowlevel.checkpoint()


async def _handle(conn, message, on_message):
    """Call `on_message`; its failure ends this connection, not the process."""
    try:
        await on_message(conn, message)
    except errors.CarobstandError:
        raise
    except Exception as exc:
        logs.event(
            "handler.failed",
            peer=conn.address,
            message_kind=type(message).__name__,
            error=repr(exc),
            traceback=traceback.format_exc(),
        )
        raise errors.WireError(
            f"cannot process {type(message).__name__}: {exc!r}",
            step="wire.handle",
            peer=conn.address,
        ) from exc


async def _fill(conn):
    """Read more of the stream; return False at its end."""
    conn.quiet_since = anyio.current_time()
    try:
        data = await conn.stream.receive(RECEIVE_BYTES)
    except (
        anyio.EndOfStream,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
        OSError,
    ):
        return False
    conn.quiet_since = None
    conn.bytes_received += len(data)
    TRAFFIC["received"] += len(data)
    framing.add(conn.frames, data)
    return True


async def _write(conn):
    while not conn.closed.is_set():
        if not conn.queue:
            conn.wakeup = anyio.Event()
            await conn.wakeup.wait()
            continue
        data = framing.join(conn.queue, WRITE_BYTES)
        conn.write_since = anyio.current_time()
        try:
            await conn.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            close(conn)
            return
        conn.write_since = None
        conn.queued_bytes -= len(data)
        conn.bytes_sent += len(data)
        TRAFFIC["sent"] += len(data)
        conn.drained.notify()


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
        If the peer refuses this process, sends no hello in time or speaks another
        version.
    WireError
        If what the peer sent is not a frame.
    """
    conn = Connection(stream=stream, peer=ttypes.Hello(), address=address)
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            await stream.send(codec.encode(hello, logs.STATE.clock.tick()))
            while (
                body := framing.take(conn.frames, address, framing.MAX_HELLO_BYTES)
            ) is None:
                data = await stream.receive(framing.MAX_HELLO_BYTES)
                framing.add(conn.frames, data)
    except TimeoutError:
        raise hellos.refusal(
            f"no hello within {HANDSHAKE_TIMEOUT_S} s", address
        ) from None
    except anyio.EndOfStream:
        problem = "peer closed before its hello"
        if stream.extra(anyio_tls.TLSAttribute.ssl_object, None) is not None:
            problem += "; it may not trust the certificate of this process"
        raise hellos.refusal(problem, address) from None
    except ssl.SSLError as exc:
        raise hellos.refusal(tls.reason(exc), address) from exc
    except (OSError, anyio.BrokenResourceError) as exc:
        raise hellos.refusal("connection reset before the hello", address) from exc
    message, stamp = codec.decode(body)
    hellos.check(message, address)
    logs.STATE.clock.merge(stamp)
    conn.peer = message
    return conn


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
        If the peer refuses this process or is refused.
    """
    try:
        host, port = split_address(address)
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            stream = await anyio.connect_tcp(
                host,
                port,
                tls=tls_context is not None,
                ssl_context=tls_context,
                tls_standard_compatible=False,
            )
    except ssl.SSLError as exc:
        raise hellos.refusal(tls.reason(exc), address) from exc
    except (
        OSError,
        ValueError,
        anyio.BrokenResourceError,
        anyio.EndOfStream,
    ) as exc:
        raise errors.ConnectionClosedError(
            f"cannot connect: {str(exc) or type(exc).__name__}",
            step="wire.dial",
            peer=address,
        ) from exc
    try:
        return await handshake(stream, hello, address)
    except BaseException:
        await anyio.aclose_forcefully(stream)
        raise


async def serve(listener, hello, on_connection, secure=None):
    """Accept connections until cancelled.

    Parameters
    ----------
    listener : anyio.abc.Listener
    hello : callable returning ttypes.Hello
    on_connection : async callable of (conn,)
        Runs the connection; it ends when the callable returns.
    secure : async callable of (stream,) returning a stream, or None
        Does the TLS handshake of an accepted stream; see `tls.acceptor`.

    Raises
    ------
    InvariantError
        As raised by `on_connection`.
    """
    pending = set()

    async def handle(stream):
        remote = stream.extra(anyio.abc.SocketAttribute.remote_address, ("?", 0))
        address = f"{remote[0]}:{remote[1]}"
        try:
            if len(pending) >= MAX_HANDSHAKES:
                raise hellos.refusal(
                    f"{MAX_HANDSHAKES} handshakes in progress", address
                )
            pending.add(stream)
            conn = await _accept(stream, hello(), address, secure)
            pending.discard(stream)
            conn.accepted = True
            await on_connection(conn)
        except errors.InvariantError:
            raise
        except errors.CarobstandError as exc:
            logs.event(
                "connection.failed", error=exc.message, step=exc.step, peer=address
            )
        finally:
            pending.discard(stream)
            with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                await anyio.aclose_forcefully(stream)

    async with listener, anyio.create_task_group() as tg:
        while True:
            try:
                await listener.serve(handle, tg)
            except* OSError as group:
                logs.event("accept.failed", error=str(group.exceptions[0]))
            await anyio.sleep(ACCEPT_RETRY_S)


async def _accept(stream, hello, address, secure):
    """Do any TLS handshake and exchange hellos; send a refused peer the reason."""
    try:
        if secure is not None:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                stream = await secure(stream)
    except TimeoutError:
        raise hellos.refusal("no TLS handshake in time", address) from None
    except (
        OSError,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
        anyio.EndOfStream,
    ) as exc:
        raise hellos.refusal(tls.reason(exc), address) from exc
    try:
        if secure is not None:
            tls.check_certificate(stream, address)
        return await handshake(stream, hello, address)
    except errors.HandshakeError as exc:
        goodbye = ttypes.Goodbye(reason=exc.message)
        with anyio.move_on_after(1), contextlib.suppress(Exception):
            await stream.send(codec.encode(goodbye, logs.STATE.clock.tick()))
        raise


def split_address(address):
    """Return host and port of ``host:port``; raise ValueError if malformed."""
    host, sep, port = address.rpartition(":")
    if not sep or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"address {address!r} is not host:port")
    return host.strip("[]"), int(port)
