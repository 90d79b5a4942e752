"""Faults reported by operators of similar systems, each injected by stand-ins."""

import time

import anyio
import pytest

from carobstand import http1, http1_server
from carobstand.agent import receiving, view
from carobstand.core import deployment, engine_report, named_versions, registry, routes
from carobstand.entry import forwarding, weight_cache, weight_fetching
from carobstand.standin.platform import engine, kv
from carobstand.wire import socket_streams
from testing import platform_builders as build
from testing import platform_fleet as fleets


def run_with_fleet(check, timeout_s=30.0, **options):
    """Run ``check(fleet)`` with one server of each service behind one entry."""

    async def test():
        async with fleets.deployed() as fleet:
            await fleets.add_engine(fleet, "i-1", **options.get("drafter", {}))
            await fleets.add_engine(fleet, "d-1", "desk", **options.get("desk", {}))
            await fleets.until_ready(fleet.entries["entry-1"])
            await anyio.sleep(fleets.CHANGE_DELAY_S)
            await check(fleet)

    fleets.run(test, timeout_s)


@pytest.mark.parametrize("request_id", [None, "r-same"])
def test_a_duplicate_response_reaches_no_other_request(request_id):
    async def check(fleet):
        desk = fleet.engines["d-1"]
        desk.fault, desk.faults_left = "copy", 1
        first = await fleets.send_request(
            fleet, "/q/x", request_id=request_id, body=b"one"
        )
        assert first.status == 200
        for number in range(4):
            runs = len(desk.runs)
            answer = await fleets.send_request(
                fleet, "/q/x", request_id=request_id, body=b"%d" % number
            )
            assert answer.status != 200 or len(desk.runs) > runs

    run_with_fleet(check)


def test_a_request_without_an_id_uses_a_new_backend_connection():
    async def check(fleet):
        desk = fleet.engines["d-1"]
        desk.fault, desk.faults_left = "copy", 1
        address = fleet.entries["entry-1"].deployment.ingress_address
        head = b"Host: one.example\r\nApi-Key: k1\r\nContent-Length: 0\r\n\r\n"
        for path in (b"/q/1", b"/q/2", b"/q/3"):
            raw = b"POST %s HTTP/1.1\r\n" % path + head
            got = await fleets.raw_exchange(address, raw, wait_s=0.2)
            assert fleets.statuses(got) == [200]
            assert desk.runs[-1].path == path.decode()

    run_with_fleet(check)


def test_requests_accepted_during_a_planned_stop_are_answered():
    async def check(fleet):
        entry = await fleets.add_entry(
            fleet, "entry-2", bounds=deployment.Bounds(stop_s=4.0)
        )
        answers = []

        async def ask(path):
            answers.append(
                await fleets.send_request(fleet, path, entry="entry-2", deadline_s=6.0)
            )

        async with anyio.create_task_group() as tg:
            entry.leaving.set()
            for _ in range(8):
                tg.start_soon(ask, "/q/x")
                tg.start_soon(ask, "/o/x")
                await anyio.sleep(0.28)
        assert len(answers) == 16
        assert all(answer.complete for answer in answers)

    run_with_fleet(check, desk={"step_s": 5.0, "slots": 20})


def test_a_request_sent_while_its_idle_connection_closes_is_answered():
    async def check(fleet):
        entry = fleet.entries["entry-1"]
        conn = await http1.connect(entry.deployment.ingress_address, 1.0)
        assert (await fleets.send_request_on(conn, fleet, "/q/x")).status == 200
        assert http1.prepare_for_reuse(conn)
        lookup = _Lookup(conn)
        await http1.send(conn, "POST", "/q/x", lookup.headers, b"")
        # The event loop does not run between sending the bytes and the shutdown.
        http1_server.begin_shutdown(lookup.server_of(entry))
        assert (await http1.receive_head(conn)).status_code == 200
        await http1.close(conn)

    class _Lookup:
        headers = [
            ("Host", "one.example"),
            ("Request-Id", "r-cross"),
            ("Api-Key", "k1"),
            ("Content-Length", "0"),
        ]

        def __init__(self, conn):
            self.conn = conn

        def server_of(self, entry):
            return _servers[entry.deployment.ingress_address]

    _servers = {}
    listen = http1_server.listen

    async def record(server, address):
        _servers[address] = server
        await listen(server, address)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(http1_server, "listen", record)
        run_with_fleet(check)


def test_a_slow_stream_is_neither_aborted_nor_moved():
    async def check(fleet):
        await fleets.add_engine(fleet, "i-2")
        await anyio.sleep(fleets.CHANGE_DELAY_S)
        for _ in range(4):
            answer = await fleets.send_request(fleet, "/s/x", deadline_s=6.0)
            assert answer.complete
            assert len(fleets.events_of(answer)) == 5
        runs = [
            run.ended
            for backend_server in fleet.engines.values()
            for run in backend_server.runs
        ]
        assert runs == ["200"] * 4

    run_with_fleet(check, drafter={"step_s": 0.6})


@pytest.mark.parametrize("fault", ["trickle", "silent"])
def test_a_stalled_stream_resumes_at_another_server(fault):
    async def check(fleet):
        stalled = fleet.engines["i-1"]
        stalled.fault, stalled.faults_left = fault, 1
        with anyio.fail_after(3):
            while stalled.faults_left:
                answer = await fleets.send_request(fleet, "/s/x")
                assert answer.complete
                ids = [
                    number for number, _ in fleets.events_of(_without_comments(answer))
                ]
                assert ids == [1, 2, 3, 4, 5]

    async def with_two(fleet):
        await fleets.add_engine(fleet, "i-2")
        await anyio.sleep(fleets.CHANGE_DELAY_S)
        await check(fleet)

    run_with_fleet(with_two)


def _without_comments(answer):
    """Return an answer without the comments of its event stream."""
    body = answer.body.replace(b": still here\n\n", b"")
    return fleets.Answer(answer.status, answer.headers, body, answer.complete)


def test_a_slow_unsafe_request_runs_once_until_it_ends():
    async def check(fleet):
        await fleets.add_engine(fleet, "d-2", "desk")
        await anyio.sleep(fleets.CHANGE_DELAY_S)
        for _ in range(3):
            assert (
                await fleets.send_request(fleet, "/o/x", deadline_s=5.0)
            ).status == 200
        assert (
            sum(len(backend_server.runs) for backend_server in fleet.engines.values())
            == 3
        )

    run_with_fleet(check, desk={"step_s": 1.6})


def test_an_unexpected_error_in_a_handler_fails_only_its_request(monkeypatch):
    async def fail(fwd, call):
        raise KeyError("unexpected")

    async def check(fleet):
        with monkeypatch.context() as patch:
            patch.setattr(forwarding, "serve", fail)
            assert (await fleets.send_request(fleet, "/o/x")).status == 502
        assert (await fleets.send_request(fleet, "/o/x")).status == 200

    run_with_fleet(check)


def test_a_failed_accept_does_not_stop_the_listener(monkeypatch):
    accept = socket_streams.accept
    failures_left = [3]

    def fail(raw):
        if failures_left[0]:
            failures_left[0] -= 1
            raise OSError(24, "Too many open files")
        return accept(raw)

    async def check(fleet):
        monkeypatch.setattr(socket_streams, "accept", fail)
        for _ in range(4):
            assert (await fleets.send_request(fleet, "/o/x")).status == 200
        assert failures_left == [0]

    run_with_fleet(check)


def test_weights_are_fetched_again_after_an_unexpected_error(monkeypatch):
    fetch = weight_fetching.fetch
    failed = []

    async def fail_once(fleet, cached):
        if not failed:
            failed.append(cached.version)
            raise KeyError("unexpected")
        await fetch(fleet, cached)

    monkeypatch.setattr(weight_fetching, "fetch", fail_once)
    caches = []
    run = weight_cache.run

    async def record(cache):
        caches.append(cache)
        await run(cache)

    monkeypatch.setattr(weight_cache, "run", record)

    async def check(fleet):
        fleets.name_version(fleet, 2)
        await fleets.until(
            lambda: any(
                item.is_complete for cache in caches for item in cache.held.values()
            )
        )
        assert failed

    run_with_fleet(check)


@pytest.mark.parametrize("fault", ["short", "unframed reset"])
def test_a_truncated_response_is_not_a_success(fault):
    async def check(fleet):
        desk = fleet.engines["d-1"]
        desk.fault, desk.faults_left = fault, 100
        # On a busy machine the connection to the server may not open within its
        # timeout. The request is then rejected, has not run, and may be sent again.
        for _ in range(20):
            await fleets.until_usable(fleet, "d-1", "/o/x")
            answer = await fleets.send_request(fleet, "/o/x")
            if answer.status != 503 or desk.runs:
                break
        assert answer.status == 502
        assert len(desk.runs) == 1
        await fleets.add_engine(fleet, "d-2", "desk")
        await fleets.until_usable(fleet, "d-2", "/q/x")
        answer = await fleets.send_request(fleet, "/q/x")
        assert (answer.status, answer.complete) == (200, True)

    run_with_fleet(check)


# A process that got no processor time for a second must not take servers for stalled.
@pytest.mark.parametrize("pause_s", [0.0, 1.2])
def test_running_streams_finish_when_their_server_loses_its_registration(pause_s):
    async def check(fleet):
        backend_server = fleet.engines["i-1"]
        await fleets.add_agent(fleet, backend_server)
        await fleets.add_engine(fleet, "i-2")
        await anyio.sleep(fleets.CHANGE_DELAY_S)
        answers = []

        async def ask():
            answers.append(await fleets.send_request(fleet, "/s/x", deadline_s=5.0))

        async with anyio.create_task_group() as tg:
            for _ in range(4):
                tg.start_soon(ask)
            await anyio.sleep(0.4)
            await fleets.stop(fleet, "side-1")
            kv.remove(fleet.store, f"servers/{backend_server.server_id}")
            await anyio.sleep(0.05)
            time.sleep(pause_s)
        assert all(answer.complete for answer in answers)
        runs = [run for item in fleet.engines.values() for run in item.runs]
        assert [run.ended for run in runs] == ["200"] * 4

    run_with_fleet(check, drafter={"step_s": 0.3})


def test_weights_are_received_while_the_engine_reports_nothing():
    async def check():
        dep = deployment.Deployment(
            vm="side-1",
            ip="127.0.0.1",
            failure_domain="a",
            region="north",
            regions={"a": "north"},
            internal_ports=(1, 2),
            store_address="127.0.0.1:1",
            service="drafter",
        )
        state = view.View(dep, None, None)
        weights = routes.Weights(models=("m",), layers=4, pieces=8, piece_bytes=64)
        service = build.service(weights=weights)
        holding = registry.Holding(model="m", version=1)
        state.last_report = engine_report.EngineReport(holding=holding)
        state.named["m"] = [named_versions.SeenVersion(2, anyio.current_time())]
        assert state.report is None
        assert receiving._version_to_receive(state, service) == 2

    fleets.run(check)


def test_the_stand_in_engine_documents_the_faults_used_here():
    assert {"copy", "trickle", "short"} <= set(engine.Engine.__doc__.split("``"))
