"""Tests of responses to pipelined requests whose caller reads late."""

import socket
import time

import anyio

from carobstand import http1, http1_server
from carobstand.core import deployment
from testing import platform_fleet

BODY = b"x" * 4_000_000
"""More than the buffers of the connection hold."""

LIMITS = http1_server.Limits(
    max_header_bytes=8192,
    max_body_bytes=8192,
    header_timeout_s=5.0,
    idle_timeout_s=5.0,
)


async def handle(request, reply):
    """Respond with the target of the request, by a deadline as a handler has one."""
    body = BODY if request.target == b"/large" else request.target
    with anyio.move_on_after(0.2):
        await http1_server.respond(reply, 200, [], body)


def ask(address):
    """Pipeline two requests and send a third one later; return what was received."""
    with socket.socket() as raw:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        raw.settimeout(2.0)
        raw.connect(deployment.split_address(address))

        def send(target):
            raw.sendall(b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n" % target)

        send(b"/large")
        send(b"/2")
        time.sleep(0.8)
        found = b""
        while len(found) <= len(BODY) or not found.endswith(b"/3"):
            data = raw.recv(65536)
            if not data:
                break
            if len(found) <= len(BODY) < len(found) + len(data):
                send(b"/3")
            found += data
        return found.replace(BODY, b"")


def test_a_response_that_waited_for_a_slow_reader_is_not_dropped():
    """Guards against an answer that its caller takes for that to an earlier request."""

    async def scenario():
        address = f"{platform_fleet.new_host()}:{platform_fleet.free_port()}"
        server = http1_server.Server(lambda: LIMITS, handle)
        async with anyio.create_task_group() as tg:
            tg.start_soon(http1_server.listen, server, address)
            await anyio.sleep(0.1)
            found = await anyio.to_thread.run_sync(ask, address)
            tg.cancel_scope.cancel()
        bodies = [part.split(b"\r\n\r\n")[-1] for part in found.split(b"HTTP/1.1 ")]
        assert bodies == [b"", b"", b"/2", b"/3"]

    platform_fleet.run(scenario)


def test_a_caller_that_waits_for_each_response_keeps_its_connection():
    """Guards against taking fast callers for ones that send many requests ahead."""

    async def scenario():
        async with platform_fleet.deployed() as fleet:
            entry = fleet.entries["entry-1"].deployment
            conn = await http1.connect(entry.ingress_address, 1.0)
            for _ in range(4 * http1_server.MAX_SENT_AHEAD):
                await platform_fleet.send_request_on(conn, fleet, "/none/x")
                assert http1.prepare_for_reuse(conn) and http1.is_usable(conn)
            await http1.close(conn)

    platform_fleet.run(scenario)


def test_a_connection_with_many_requests_sent_ahead_ends_after_a_whole_response():
    """Guards against lost responses, as unread requests reset the connection."""
    request = b"GET /none/x HTTP/1.1\r\nHost: one.example\r\n\r\n"

    async def scenario():
        async with platform_fleet.deployed() as fleet:
            entry = fleet.entries["entry-1"].deployment
            count = 2 * http1_server.MAX_SENT_AHEAD
            raw = await platform_fleet.raw_exchange(
                entry.ingress_address, request * count, wait_s=3.0
            )
            heads = raw.count(b"HTTP/1.1 ")
            assert http1_server.MAX_SENT_AHEAD <= heads < count
            last = raw[raw.rindex(b"HTTP/1.1 ") :]
            assert b"connection: close" in last.lower()
            head, _, body = last.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split()[0])
            assert len(body) == length

    platform_fleet.run(scenario)
