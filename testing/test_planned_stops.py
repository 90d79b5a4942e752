"""Guards against requests that a planned stop cuts off, or answers untruthfully."""

import contextlib
import functools
import json
import random
import socket
import time

import anyio
import pytest

from carobstand import http1, http1_server
from carobstand.core import deployment
from carobstand.entry import platform_main as entry_main
from carobstand.platform import settings_file
from testing import entry_processes, stop_traffic
from testing import platform_builders as build
from testing import platform_fleet as fleets

LONG_S = 20.0
"""Work and deadline of requests that do not end before the stop."""


def request_head(path, request_id, deadline_s=6.0, key="k1"):
    """Return the bytes of a request without a body."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: one.example\r\nApi-Key: {key}\r\n"
        f"Request-Id: {request_id}\r\nDeadline-Ms: {int(1000 * deadline_s)}\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


@pytest.mark.parametrize("is_read", [True, False])
def test_a_request_received_during_a_response_is_served_before_the_close(is_read):
    """Guards against the loss of a pipelined request that the process had read.

    Without `is_read`, it arrives as the previous response ends and the stop begins.
    """

    async def test():
        address = f"{fleets.new_host()}:{fleets.free_port()}"
        targets = []

        async def handle(request, reply):
            targets.append(request.target)
            if request.target == b"/2":
                return await http1_server.respond(reply, 200, [])
            if is_read:
                await client.send(request_head("/2", "r2"))
                await anyio.sleep(0.05)
                http1_server.begin_shutdown(server)
            await http1_server.respond(reply, 200, [])
            if not is_read:
                await client.send(request_head("/2", "r2"))
                http1_server.begin_shutdown(server)

        server = http1_server.Server(http1_server.Limits, handle)
        async with anyio.create_task_group() as tg:
            tg.start_soon(http1_server.listen, server, address)
            await fleets.wait_bound(address)
            host, port = deployment.split_address(address)
            got = b""
            async with await anyio.connect_tcp(host, port) as client:
                await client.send(request_head("/1", "r1"))
                with pytest.raises(anyio.EndOfStream):
                    while True:
                        got += await client.receive()
        assert targets == [b"/1", b"/2"]
        assert got.count(b"HTTP/1.1 200") == 2
        assert got.count(b"Connection: close") == 1

    fleets.run(test, timeout_s=5)


@pytest.mark.parametrize("is_stream", [True, False])
def test_a_response_that_is_ready_as_its_deadline_passes_is_delivered(is_stream):
    """Guards against a caller that gets no answer, on a connection left open."""

    async def test():
        address = f"{fleets.new_host()}:{fleets.free_port()}"

        async def handle(request, reply):
            with anyio.CancelScope() as scope:
                if is_stream:
                    await http1_server.start_response_with(reply, 200, [], b"a")
                # The timer and the answer of the server fall into one loop iteration.
                scope.cancel()
                if is_stream:
                    await http1_server.finish_response(reply)
                else:
                    await http1_server.respond(reply, 200, [])

        server = http1_server.Server(http1_server.Limits, handle)
        async with anyio.create_task_group() as tg:
            tg.start_soon(http1_server.listen, server, address)
            await fleets.wait_bound(address)
            got = await fleets.raw_exchange(address, request_head("/1", "r1"), 0.3)
            tg.cancel_scope.cancel()
        assert fleets.statuses(got) == [200]
        assert got.endswith(b"0\r\n\r\n" if is_stream else b"\r\n\r\n")

    fleets.run(test, timeout_s=5)


def test_connections_established_before_a_shutdown_are_served():
    """Guards against the reset of connections that a busy process had not accepted."""

    async def test():
        address = f"{fleets.new_host()}:{fleets.free_port()}"

        async def handle(request, reply):
            await http1_server.respond(reply, 200, [])

        server = http1_server.Server(http1_server.Limits, handle)
        async with anyio.create_task_group() as tg:
            tg.start_soon(http1_server.listen, server, address)
            await fleets.wait_bound(address)
            # The event loop does not run between the connects and the shutdown.
            socks = [
                socket.create_connection(deployment.split_address(address))
                for _ in range(20)
            ]
            for sock in socks:
                sock.sendall(request_head("/1", "r1"))
            http1_server.begin_shutdown(server)
        # The task group ends when all connections are closed.
        for sock in socks:
            with sock:
                assert fleets.statuses(sock.recv(4096)) == [200]

    fleets.run(test, timeout_s=5)


@contextlib.asynccontextmanager
async def stoppable(desk, drafter, **bounds):
    """Run one entry and a server of each service, with routes of long timeouts."""
    async with fleets.deployed(entries=0) as fleet:
        await fleets.add_engine(fleet, "d-1", "desk", **desk)
        await fleets.add_engine(fleet, "i-1", **drafter)
        record = functools.partial(build.route_record, timeout_ms=30000)
        routes = [
            record(prefix="/stream/"),
            record(prefix="/once/", stream_resumption=False),
            record(prefix="/unsafe/", type="unsafe", service="desk"),
            record(prefix="/safe/", type="safe", service="desk"),
            record(prefix="/any/", type="unsafe", service="desk", target_latency_ms=0),
            record(
                prefix="/slow/", type="unsafe", service="desk", target_latency_ms=9000
            ),
        ]
        for number, route in enumerate(routes):
            route["name"] = f"r{number}"
        fleets.configure(fleet, routes=routes)
        entry = await fleets.add_entry(fleet, bounds=deployment.Bounds(**bounds))
        await anyio.sleep(fleets.CHANGE_DELAY_S)
        yield fleet, entry
        fleet.tasks.cancel_scope.cancel()


def ran(fleet, answer):
    """Whether the request of an answer has begun to run."""
    runs = [run for item in fleet.engines.values() for run in item.runs]
    return answer.headers["request-id"] in {run.request_id for run in runs}


def test_a_late_request_that_may_be_cut_off_is_rejected_at_once_and_not_run():
    """Guards against passing on what the end of the grace period would cut off."""
    paths = ["/stream/", "/once/", "/unsafe/", "/safe/"]

    async def test():
        async with stoppable({"step_s": 0.1}, {}) as (fleet, entry):
            address = entry.deployment.ingress_address
            conns = [await http1.connect(address, 1.0) for _ in [*paths, "short"]]
            entry.leaving.set()
            slow = await fleets.send_request(fleet, "/slow/", deadline_s=LONG_S)
            early = await fleets.send_request(fleet, "/unsafe/", deadline_s=LONG_S)
            await anyio.sleep(entry_main.DEREGISTRATION_DELAY_S + 0.2)
            began = anyio.current_time()
            late = [
                await fleets.send_request_on(conn, fleet, path, deadline_s=LONG_S)
                for conn, path in zip(conns, paths, strict=False)
            ]
            took_s = anyio.current_time() - began
            short = await fleets.send_request_on(
                conns[-1], fleet, "/unsafe/", deadline_s=1.0
            )
            assert (slow.status, early.status, short.status) == (503, 200, 200)
            assert [answer.status for answer in late] == [503] * len(paths)
            assert not any(ran(fleet, answer) for answer in [slow, *late])
            assert all("retry-after" in answer.headers for answer in [slow, *late])
            assert all(answer.headers["connection"] == "close" for answer in late)
            assert took_s < 0.5

    fleets.run(test)


def test_a_waiting_request_is_rejected_when_the_entry_closes():
    """Guards against holding a request that cannot run until the end of the grace."""

    async def test():
        async with stoppable({"limit": 0.1}, {}) as (fleet, entry):
            answers, ended_at = [], []

            async def ask():
                answers.append(
                    await fleets.send_request(fleet, "/any/", deadline_s=LONG_S)
                )
                ended_at.append(anyio.current_time())

            # The first response names the limit.
            await ask()
            async with anyio.create_task_group() as tg:
                for _ in range(3):
                    tg.start_soon(ask)
                await anyio.sleep(0.1)
                stopped_at = anyio.current_time()
                entry.leaving.set()
            waited = [
                answer
                for answer, at in zip(answers, ended_at, strict=True)
                if at > stopped_at + 1.0
            ]
            assert waited
            assert {answer.status for answer in waited} == {503}
            assert not any(ran(fleet, answer) for answer in waited)
            latest_s = entry_main.DEREGISTRATION_DELAY_S + 0.5
            assert max(ended_at) < stopped_at + latest_s

    fleets.run(test)


def test_a_stop_uses_the_grace_period_of_reloaded_settings(tmp_path, monkeypatch):
    """Guards against a kill before the end of a grace that a reload shortened."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(build.settings_record(bounds={"grace_s": 4})))
    monkeypatch.setenv(settings_file.PATH_VARIABLE, str(path))

    async def test():
        async with stoppable({"step_s": LONG_S}, {}) as (fleet, entry):
            entry.hangups.notify()
            await anyio.sleep(0.1)
            stopped_at = anyio.current_time()
            entry.leaving.set()
            answer = await fleets.send_request(fleet, "/unsafe/", deadline_s=LONG_S)
            assert answer.status == 504
            assert anyio.current_time() < stopped_at + 4.0

    fleets.run(test)


def test_an_entry_held_up_as_it_closes_serves_the_established_connections():
    """Guards against an exit before accepted connections are counted."""

    async def test():
        async with stoppable({"slots": 10}, {}) as (fleet, entry):
            address = deployment.split_address(entry.deployment.ingress_address)
            entry.leaving.set()
            await anyio.sleep(entry_main.DEREGISTRATION_DELAY_S - 0.2)
            socks = [socket.create_connection(address) for _ in range(10)]
            for number, sock in enumerate(socks):
                sock.sendall(request_head("/unsafe/", f"p{number}", 1.0))
            time.sleep(0.4)
            await fleets.until(lambda: not fleet.running)
        for sock in socks:
            with sock:
                assert fleets.statuses(sock.recv(4096)) == [200]

    fleets.run(test)


def overlapping_stops(seed, directory, callers=40):
    """Stop three entry processes while callers use them; return the `Traffic`."""
    traffics = []

    async def test():
        async with fleets.deployed(entries=0) as fleet:
            for number in range(2):
                desk = {"step_s": 0.045, "slots": 30, "queue": 30}
                await fleets.add_engine(fleet, f"d-{number}", "desk", **desk)
                drafter = {"step_s": 0.06, "slots": 120}
                await fleets.add_engine(fleet, f"i-{number}", **drafter)
            fleets.configure(fleet, routes=stop_traffic.routes())
            vms = ["entry-1", "entry-2", "entry-3"]
            async with entry_processes.started(fleet, vms, directory) as processes:
                traffic = stop_traffic.Traffic(fleet, random.Random(seed))
                traffics.append(traffic)
                async with anyio.create_task_group() as tg:
                    for _ in range(callers):
                        tg.start_soon(stop_traffic.call_until_all_stop, traffic)
                    await anyio.sleep(0.5)
                    await stop_traffic.stop_all(traffic, processes)
                assert [process.poll() for process in processes.values()] == [0] * 3
            fleet.tasks.cancel_scope.cancel()

    fleets.run(test, timeout_s=40)
    return traffics[0]


@pytest.mark.parametrize("seed", [1])
def test_overlapping_stops_of_entry_processes_lose_no_request(seed, tmp_path):
    """Guards against lost and falsely rejected requests, and errors at the exit."""
    traffic = overlapping_stops(seed, tmp_path)
    assert stop_traffic.lost(traffic) == []
    assert stop_traffic.untrue(traffic) == []
    statuses = [item.status for item in traffic.sent]
    assert statuses.count(200) > 0.5 * len(statuses)
    logs = "".join(path.read_text() for path in tmp_path.glob("*.log"))
    assert "request.failed" not in logs and "loop.failed" not in logs
