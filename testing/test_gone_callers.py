"""Tests of requests whose callers leave while their entry does not run."""

import http.client
import signal
import socket
import struct
import time

import anyio
import pytest

from carobstand import http1
from carobstand.core import deployment, queue_policy
from carobstand.entry import queueing
from testing import entry_processes, platform_fleet

CALLERS = 20
PAUSE_S = 1.4
BLOCKED_S = 0.6
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


def open_client(fleet):
    dep = fleet.entries["entry-1"].deployment
    host, port = deployment.split_address(dep.ingress_address)
    return http.client.HTTPConnection(host, port, timeout=5.0)


def send_request(client, request_id):
    """Send a request without a pass of the event loop."""
    headers = request_headers(request_id)
    fields = {name.decode(): value.decode() for name, value in headers}
    client.request("POST", "/p/x", headers=fields)


def leave_while_blocked(clients, is_reset=False):
    """Close connections during a pause, all without a pass of the event loop."""
    time.sleep(BLOCKED_S / 2)
    for client in clients:
        if is_reset:
            linger = struct.pack("ii", 1, 0)
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        client.close()
    time.sleep(BLOCKED_S / 2)


async def exchange_all(clients):
    """Get a response on each connection, all at the same time."""

    def exchange(client):
        send_request(client, f"answered-{clients.index(client)}")
        assert client.getresponse().read()

    async with anyio.create_task_group() as tg:
        for client in clients:
            tg.start_soon(anyio.to_thread.run_sync, exchange, client)


def run_with_fleet(check):
    """Run ``check(fleet, server)`` with an entry and a server that it may use."""

    async def scenario():
        async with platform_fleet.deployed() as fleet:
            server = await platform_fleet.add_engine(
                fleet, "e-1", "desk", slots=50, step_s=0.1
            )
            await platform_fleet.until_usable(fleet, "e-1", "/p/x")
            await check(fleet, server)

    platform_fleet.run(scenario)


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("is_kept", [False, True])
def test_a_request_is_not_sent_on_after_its_caller_left_while_the_loop_was_blocked(
    is_kept, is_reset
):
    """Guards against requests sent on at once, as an idle connection is at hand.

    Those that need a new connection are withdrawn while it is opened.
    """

    async def check(fleet, server):
        answered = [open_client(fleet) for _ in range(CALLERS)]
        await exchange_all(answered)
        clients = answered if is_kept else [open_client(fleet) for _ in answered]
        for client in clients if not is_kept else ():
            client.connect()
        await anyio.sleep(0.1)
        for number, client in enumerate(clients):
            send_request(client, f"gone-{number}")
        leave_while_blocked(clients, is_reset)
        await anyio.sleep(ALLOWED_S)
        assert len(server.runs) == CALLERS

    run_with_fleet(check)


def test_a_request_is_not_sent_on_after_its_caller_left_while_a_connection_opened(
    monkeypatch,
):
    """Guards against sends on a connection that opened during a pause of the loop."""
    released, opened, connect_at_once = anyio.Event(), [], http1.connect

    async def check(fleet, server):
        async def connect_slowly(address, timeout_s):
            conn = await connect_at_once(address, timeout_s)
            if address == server.address:
                opened.append(conn)
                await released.wait()
            return conn

        monkeypatch.setattr(http1, "connect", connect_slowly)
        clients = [open_client(fleet) for _ in range(CALLERS)]
        for number, client in enumerate(clients):
            send_request(client, f"gone-{number}")
        await platform_fleet.until(lambda: len(opened) == CALLERS)
        released.set()
        leave_while_blocked(clients)
        await anyio.sleep(ALLOWED_S)
        assert not server.runs

    run_with_fleet(check)


def test_a_request_is_not_sent_on_after_its_caller_left_while_it_was_queued(
    monkeypatch,
):
    """Guards against sends of requests for which a pass over the queue found a server.

    A pass over many requests may itself block the loop while their callers leave.
    """
    judge, process_once = queueing._verdict, queueing._process_waiters_once
    clients, held = [], [True]

    def hold_first(*args):
        return queue_policy.Verdict.HOLD if held else judge(*args)

    def process_slowly(fwd):
        if len(fwd.queue.waiters) == CALLERS:
            held.clear()
        process_once(fwd)
        if any(waiter.choice for waiter in fwd.queue.waiters):
            leave_while_blocked(clients)

    async def check(fleet, server):
        clients.extend(open_client(fleet) for _ in range(CALLERS))
        await exchange_all(clients)
        monkeypatch.setattr(queueing, "_verdict", hold_first)
        monkeypatch.setattr(queueing, "_process_waiters_once", process_slowly)
        for number, client in enumerate(clients):
            send_request(client, f"gone-{number}")
        await platform_fleet.until(lambda: not held)
        await anyio.sleep(ALLOWED_S)
        assert len(server.runs) == CALLERS

    run_with_fleet(check)
