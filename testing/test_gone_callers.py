"""Tests of requests whose callers leave while their entry does not run."""

import signal
import socket
import struct

import anyio
import pytest

from carobstand import http1
from testing import entry_processes, platform_fleet

CALLERS = 20
PAUSE_S = 1.4
LEAVE_AFTER_S = 0.3
ALLOWED_S = 0.5
"""Time after a caller left within which its request may still reach a server."""


async def connect(fleet, is_kept):
    """Open a connection to the entry; one request was answered on a kept one."""
    conn = await http1.connect(fleet.entries["entry-1"].deployment.ingress_address, 1.0)
    if is_kept:
        answer = await platform_fleet.send_request_on(conn, fleet, "/q/x")
        assert answer.status == 200 and http1.prepare_for_reuse(conn)
    return conn


async def leave(conn, is_reset):
    """Close a connection with the end of the stream or with a reset."""
    if is_reset:
        raw = conn.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await http1.close(conn)


def request_headers(request_id):
    return [
        (b"Host", b"one.example"),
        (b"Request-Id", request_id.encode()),
        (b"Deadline-Ms", b"1000"),
        (b"Api-Key", b"k1"),
        (b"Content-Length", b"0"),
    ]


@pytest.mark.parametrize("path", ["/q/x", "/o/x"])
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("is_kept", [False, True])
def test_a_request_is_not_sent_on_after_its_caller_left_during_a_pause_of_the_entry(
    tmp_path, is_kept, is_reset, path
):
    """Guards against requests that are read together with the end of their caller."""

    async def scenario():
        async with platform_fleet.deployed(entries=0) as fleet:
            server = await platform_fleet.add_engine(fleet, "e-1", "desk", slots=50)
            vms = ["entry-1"]
            async with entry_processes.started(fleet, vms, tmp_path) as processes:
                await platform_fleet.until_usable(fleet, "e-1", path)
                conns = [await connect(fleet, is_kept) for _ in range(CALLERS)]
                runs_before = len(server.runs)
                processes["entry-1"].send_signal(signal.SIGSTOP)
                for number, conn in enumerate(conns):
                    headers = request_headers(f"gone-{number}")
                    await http1.send(conn, b"POST", path.encode(), headers)
                await anyio.sleep(LEAVE_AFTER_S)
                for conn in conns:
                    await leave(conn, is_reset)
                await anyio.sleep(PAUSE_S - LEAVE_AFTER_S)
                processes["entry-1"].send_signal(signal.SIGCONT)
                await anyio.sleep(ALLOWED_S)
                assert len(server.runs) - runs_before == 0

    platform_fleet.run(scenario)
