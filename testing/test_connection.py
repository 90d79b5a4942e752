"""Guards against peers that block a process, exhaust its memory or stop it."""

import contextlib
import socket
import struct

import anyio
import pytest

from carobstand import errors
from carobstand.wire import codec, connection, listeners, liveness
from carobstand.wire.gen import ttypes


def hello(vm="a1", **changes):
    fields = {
        "protocol": connection.PROTOCOL_VERSION,
        "role": ttypes.Role.AGENT,
        "vm": vm,
        "start_id": "s",
        "failure_domain": "kutch-bhuj",
        "region": "kutch",
        "address": "127.0.0.1:1",
    }
    return ttypes.Hello(**{**fields, **changes})


async def ignore(conn, message):
    """Handle a message by doing nothing."""


@contextlib.asynccontextmanager
async def server(on_message=ignore, ended=None):
    """Run a server of connections; yield its port.

    `ended` collects the exception, or None, with which each connection ended.
    """
    ended = [] if ended is None else ended

    async def on_connection(conn):
        try:
            await connection.run(conn, on_message)
            ended.append(None)
        except errors.CarobstandError as exc:
            ended.append(exc)
            raise

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tg:
        tg.start_soon(connection.serve, listener, hello, on_connection)
        yield port
        tg.cancel_scope.cancel()


def run(body, timeout_s=20):
    async def limited():
        with anyio.fail_after(timeout_s):
            await body()

    anyio.run(limited)


async def raw_peer(port, first=None):
    """Connect without the client code; `first` is sent, by default a hello."""
    stream = await anyio.connect_tcp("127.0.0.1", port)
    await stream.send(codec.encode(hello(), 1) if first is None else first)
    return stream


async def read_to_end(stream):
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            await stream.receive()


@pytest.mark.parametrize(
    "first",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        struct.pack(">I", codec.MAX_FRAME_BYTES),
        b"\x00\x00\x00\x03abc",
        codec.encode(ttypes.Ping(seq=1), 1),
        codec.encode(hello(protocol=99), 1),
        codec.encode(hello(vm=""), 1),
        codec.encode(hello(role=7), 1),
    ],
    ids=["http", "tls", "large", "garbage", "ping", "protocol", "vm", "role"],
)
def test_an_invalid_first_frame_ends_only_that_connection(first):
    async def body():
        async with server() as port:
            stream = await raw_peer(port, first)
            await read_to_end(stream)
            conn = await connection.dial(f"127.0.0.1:{port}", hello())
            assert conn.peer.vm == "a1"
            await conn.stream.aclose()

    run(body)


def test_a_peer_that_never_sends_a_hello_is_dropped(monkeypatch):
    monkeypatch.setattr(connection, "HANDSHAKE_TIMEOUT_S", 0.2)

    async def body():
        async with server() as port:
            stream = await raw_peer(port, b"")
            await read_to_end(stream)

    run(body)


def test_handshakes_in_progress_are_bounded(monkeypatch):
    monkeypatch.setattr(connection, "MAX_HANDSHAKES", 2)

    async def body():
        async with server() as port:
            waiting = [await raw_peer(port, b"") for _ in range(2)]
            for stream in waiting:
                await stream.receive()
            await read_to_end(await raw_peer(port, b""))
            await waiting[0].aclose()
            await anyio.sleep(0.05)
            conn = await connection.dial(f"127.0.0.1:{port}", hello())
            await conn.stream.aclose()

    run(body)


@pytest.mark.parametrize(
    "frame",
    [struct.pack(">I", codec.MAX_FRAME_BYTES + 1), b"\x00\x00\x00\x02\xff\xff"],
    ids=["large", "malformed"],
)
def test_a_bad_frame_after_the_hello_is_a_wire_error(frame):
    ended = []

    async def body():
        async with server(ended=ended) as port:
            stream = await raw_peer(port)
            await stream.send(frame)
            await read_to_end(stream)

    run(body)
    assert isinstance(ended[0], errors.WireError)


def test_a_message_that_its_handler_cannot_process_ends_only_that_connection():
    ended = []

    async def on_message(conn, message):
        return message.attempt_id + 1

    async def body():
        async with server(on_message, ended) as port:
            stream = await raw_peer(port)
            await stream.send(codec.encode(ttypes.Attempt(), 1))
            await read_to_end(stream)
            await (await raw_peer(port)).receive()

    run(body)
    assert isinstance(ended[0], errors.WireError)
    assert "cannot process Attempt" in ended[0].message


def test_an_invariant_error_of_a_handler_reaches_the_process():
    async def on_message(conn, message):
        raise errors.InvariantError("broken")

    async def body():
        async with server(on_message) as port:
            stream = await raw_peer(port)
            await stream.send(codec.encode(ttypes.Cancel(attempt_id=1), 1))
            await anyio.sleep_forever()

    with pytest.raises(BaseExceptionGroup) as group:
        run(body)
    assert group.value.split(errors.InvariantError)[0] is not None


def test_a_silent_connection_ends_within_three_seconds():
    assert liveness.SILENCE_TIMEOUT_S < 3
    assert liveness.SILENCE_TIMEOUT_S > 3 * liveness.PING_INTERVAL_S
    ended = []

    async def body():
        async with server(ended=ended) as port:
            stream = await raw_peer(port)
            await read_to_end(stream)

    run(body)
    assert "silent for 2.6" in ended[0].message


def test_a_handler_that_takes_longer_than_three_pings_keeps_the_connection(monkeypatch):
    monkeypatch.setattr(liveness, "PING_INTERVAL_S", 0.05)
    monkeypatch.setattr(liveness, "SILENCE_TIMEOUT_S", 0.2)
    answers = []

    async def slow(conn, message):
        await anyio.sleep(1)
        connection.post(conn, ttypes.AnswerAck(attempt_id=message.attempt_id))

    async def body():
        async def on_answer(conn, message):
            answers.append(message)
            connection.close(conn)

        async with server(slow) as port:
            conn = await connection.dial(f"127.0.0.1:{port}", hello())
            connection.post(conn, ttypes.Cancel(attempt_id=7))
            await connection.run(conn, on_answer)

    run(body)
    assert answers == [ttypes.AnswerAck(attempt_id=7)]


def test_closing_a_connection_to_a_silent_peer_ends_it_at_once(monkeypatch):
    monkeypatch.setattr(liveness, "SILENCE_TIMEOUT_S", 60)

    async def silent(stream):
        await stream.send(codec.encode(hello(), 1))
        await anyio.sleep_forever()

    async def body():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tg:
            tg.start_soon(listener.serve, silent)
            conn = await connection.dial(f"127.0.0.1:{port}", hello())
            async with anyio.create_task_group() as running:
                running.start_soon(connection.run, conn, ignore)
                await anyio.sleep(0.05)
                connection.close(conn)
            tg.cancel_scope.cancel()

    run(body, timeout_s=10)


def test_a_peer_that_stops_reading_is_dropped_and_its_queue_is_bounded(monkeypatch):
    monkeypatch.setattr(liveness, "WRITE_STALL_TIMEOUT_S", 0.3)
    monkeypatch.setattr(liveness, "PING_INTERVAL_S", 0.05)
    ended = []
    chunk = ttypes.ChunkReply(request_id=1, data=b"x" * 1024 * 1024)

    async def keep_pinging(stream):
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            while True:
                await stream.send(codec.encode(ttypes.Ping(seq=1), 1))
                await anyio.sleep(0.05)

    async def flood(conn, message):
        while True:
            await connection.send(conn, chunk)
            assert conn.queued_bytes <= connection.MAX_QUEUED_BYTES + 2**21

    async def body():
        async with server(flood, ended) as port, anyio.create_task_group() as tg:
            stream = await raw_peer(port)
            await stream.send(codec.encode(ttypes.Cancel(attempt_id=1), 1))
            tg.start_soon(keep_pinging, stream)
            while not ended:
                await anyio.sleep(0.05)
            await stream.aclose()

    run(body)
    assert "does not read" in ended[0].message


def test_posts_above_the_limit_close_the_connection():
    chunk = ttypes.ChunkReply(data=b"x" * 1024 * 1024)
    conn = connection.Connection(stream=None, peer=hello(), address="127.0.0.1:1")
    with pytest.raises(errors.ConnectionClosedError, match="does not read"):
        for _ in range(connection.OVERFLOW_BYTES // len(chunk.data) + 1):
            connection.post(conn, chunk)
    assert conn.closed.is_set()
    assert conn.queued_bytes <= connection.OVERFLOW_BYTES


def test_all_senders_blocked_on_a_full_queue_continue(monkeypatch):
    monkeypatch.setattr(connection, "MAX_QUEUED_BYTES", 1000)
    received = []

    async def on_message(conn, message):
        if isinstance(message, ttypes.Cancel):
            received.append(message.attempt_id)

    async def body():
        async with server(on_message) as port:
            conn = await connection.dial(f"127.0.0.1:{port}", hello())
            data = ttypes.AnswerFrame(attempt_id=0, data=b"y" * 2000)
            connection.post(conn, ttypes.AnswerBatch(frames=[data]))
            async with anyio.create_task_group() as tg:
                for i in range(1, 4):
                    tg.start_soon(connection.send, conn, ttypes.Cancel(attempt_id=i))
                tg.start_soon(connection.run, conn, ignore)
                while len(received) < 3:
                    await anyio.sleep(0.01)
                connection.close(conn)

    run(body)
    assert sorted(received) == [1, 2, 3]


def test_flush_returns_once_the_peer_can_read_everything():
    reasons = []

    async def on_message(conn, message):
        reasons.append(message.reason)

    async def body():
        async with server(on_message) as port:
            conn = await connection.dial(f"127.0.0.1:{port}", hello())
            async with anyio.create_task_group() as tg:
                tg.start_soon(connection.run, conn, ignore)
                connection.post(conn, ttypes.Goodbye(reason="stopping"))
                assert await connection.flush(conn, 5)
                connection.close(conn)
            while not reasons:
                await anyio.sleep(0.01)

    run(body)
    assert reasons == ["stopping"]


def test_a_peer_that_resets_at_once_ends_only_that_connection():
    async def body():
        async with server() as port:
            for _ in range(20):
                sock = socket.create_connection(("127.0.0.1", port))
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                sock.close()
            await anyio.sleep(0.05)
            conn = await connection.dial(f"127.0.0.1:{port}", hello())
            await conn.stream.aclose()

    run(body)


def test_an_address_can_be_reused_after_its_server_is_cancelled():
    async def main():
        listener = await listeners.open_listener("127.0.0.1:0")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tg:
            tg.start_soon(connection.serve, listener, ttypes.Hello, None)
            await anyio.sleep(0.01)
            tg.cancel_scope.cancel()
        reopened = await listeners.open_listener(f"127.0.0.1:{port}")
        await reopened.aclose()

    anyio.run(main)
