import itertools
from functools import partial

import anyio
import pytest

from carobstand import errors, http1
from carobstand.entry import platform_main as entry_main
from carobstand.standin.platform import engine, kv
from testing import platform_fleet as fleets

PAUSES_S = (0.5, 1.0, 2.0, 2.0)
"""Minimum times between requests to a server that refuses each of them."""


def run_with_fleet(check, entries=1, timeout_s=20.0):
    """Run ``check(fleet)`` with one server of each service behind the entries."""

    async def test():
        async with fleets.deployed(entries) as fleet:
            await fleets.add_engine(fleet, "i-1")
            await fleets.add_engine(fleet, "d-1", "desk")
            for entry in fleet.entries.values():
                await fleets.until_ready(entry)
            # Entries batch the changes after a registration for this long.
            await anyio.sleep(fleets.CHANGE_DELAY_S)
            await check(fleet)

    fleets.run(test, timeout_s)


def test_a_stream_is_forwarded_completely():
    async def check(fleet):
        answer = await fleets.send_request(fleet, "/s/x?y=1", body=b"prompt")
        assert answer.status == 200
        assert answer.complete
        assert [number for number, _ in fleets.events_of(answer)] == [1, 2, 3, 4, 5]
        assert answer.headers["server-signature"] == "s.1"
        run = fleet.engines["i-1"].runs[0]
        assert (run.path, run.body, run.tenant) == ("/s/x?y=1", b"prompt", "acme")

    run_with_fleet(check)


def test_an_unsafe_request_is_answered_and_runs_once():
    async def check(fleet):
        answer = await fleets.send_request(
            fleet, "/o/x", body=b"order", request_id="r-7"
        )
        assert (answer.status, answer.body) == (200, b"answer to r-7")
        assert len(fleet.engines["d-1"].runs) == 1

    run_with_fleet(check)


def test_one_connection_serves_several_requests_in_turn():
    async def check(fleet):
        address = fleet.entries["entry-1"].deployment.ingress_address
        conn = await http1.connect(address, 1.0)
        for path in ("/o/1", "/s/2", "/q/3", "/o/4"):
            answer = await fleets.send_request_on(conn, fleet, path, body=b"x")
            assert answer.status == 200
            assert http1.prepare_for_reuse(conn)
        await http1.close(conn)

    run_with_fleet(check)


def test_api_keys_identify_the_customer():
    async def check(fleet):
        assert (await fleets.send_request(fleet, "/o/x", key="nobody")).status == 401
        assert (await fleets.send_request(fleet, "/o/x", key=None)).status == 401
        assert (await fleets.send_request(fleet, "/p/x", key=None)).status == 200
        assert (await fleets.send_request(fleet, "/none/x")).status == 404
        assert [run.tenant for run in fleet.engines["d-1"].runs] == [""]

    run_with_fleet(check)


def test_a_newer_configuration_takes_effect_at_once_and_an_older_one_never():
    async def check(fleet):
        fleets.configure(fleet, tenants=[{"name": "acme", "api_keys": ["k2"]}])
        await anyio.sleep(0.1)
        assert (await fleets.send_request(fleet, "/o/x", key="k1")).status == 401
        assert (await fleets.send_request(fleet, "/o/x", key="k2")).status == 200
        old = {**fleet.configuration, "version": 1, "tenants": []}
        kv.write_json(fleet.store, "op/config", old)
        await anyio.sleep(0.1)
        assert (await fleets.send_request(fleet, "/o/x", key="k2")).status == 200

    run_with_fleet(check)


def test_an_entry_without_a_configuration_is_not_ready_and_answers_503():
    async def test():
        async with fleets.deployed(entries=0) as fleet:
            kv.remove(fleet.store, "op/config")
            entry = await fleets.add_entry(fleet, ready=False)
            await anyio.sleep(0.2)
            assert await fleets.readiness(entry) == 503
            answer = await fleets.send_request(fleet, "/o/x")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0

    fleets.run(test)


@pytest.mark.parametrize("fault", ["reset", "foreign", "unsigned", "extra"])
def test_an_unsafe_request_with_a_lost_or_invalid_response_is_not_retried(fault):
    async def check(fleet):
        desk = fleet.engines["d-1"]
        await fleets.add_engine(fleet, "d-2", "desk")
        desk.fault, desk.faults_left = fault, 100
        fleet.engines["d-2"].fault, fleet.engines["d-2"].faults_left = fault, 100
        for number in range(6):
            answer = await fleets.send_request(fleet, "/o/x", request_id=f"r-{number}")
            expected_status = 200 if fault == "extra" else 502
            assert answer.status == expected_status
            assert "server-signature" not in answer.headers or expected_status == 200
            if expected_status == 200:
                assert answer.body == b"answer to r-%d" % number
        runs = [run.request_id for e in fleet.engines.values() for run in e.runs]
        assert len(runs) == len(set(runs))

    run_with_fleet(check)


def test_a_safe_request_is_retried_elsewhere_when_its_response_is_lost():
    async def check(fleet):
        await fleets.add_engine(fleet, "d-2", "desk")
        await anyio.sleep(0.05)
        desk = fleet.engines["d-1"]
        desk.fault, desk.faults_left = "reset", 1
        other = fleet.engines["d-2"]
        other.fault, other.faults_left = "reset", 1
        statuses = [(await fleets.send_request(fleet, "/q/x")).status for _ in range(6)]
        assert statuses.count(200) >= 5

    run_with_fleet(check)


def test_an_error_response_of_the_server_reaches_the_caller_unchanged():
    async def check(fleet):
        desk = fleet.engines["d-1"]
        desk.fault, desk.faults_left = "error", 1
        answer = await fleets.send_request(fleet, "/o/x")
        assert answer.status == 500
        assert answer.headers["server-signature"] == "s.1"

    run_with_fleet(check)


def test_a_response_without_a_length_is_forwarded_completely():
    async def check(fleet):
        desk = fleet.engines["d-1"]
        desk.fault, desk.faults_left = "unframed", 1
        answer = await fleets.send_request(fleet, "/o/x", request_id="r-1")
        assert (answer.status, answer.body) == (200, b"answer to r-1")

    run_with_fleet(check)


def test_an_interrupted_stream_resumes_at_another_server():
    async def check(fleet):
        first = fleet.engines["i-1"]
        await fleets.add_engine(fleet, "i-2")
        await anyio.sleep(0.05)
        for backend_server in (first, fleet.engines["i-2"]):
            backend_server.fault, backend_server.faults_left = "cut", 1
        answer = await fleets.send_request(fleet, "/s/x")
        assert answer.status == 200
        numbers = [number for number, _ in fleets.events_of(answer)]
        assert numbers == sorted(set(numbers))
        if answer.complete:
            assert numbers == [1, 2, 3, 4, 5]

    run_with_fleet(check)


def test_rejections_do_not_use_up_the_attempts_of_a_stream_that_was_broken_off():
    """Guards against a response that is closed in the middle after one full engine."""

    async def check(fleet):
        for server_id in ("i-2", "i-3"):
            await fleets.add_engine(fleet, server_id)
        await anyio.sleep(2 * fleets.CHANGE_DELAY_S)
        models = [fleet.engines[key] for key in ("i-1", "i-2", "i-3")]
        for model in models:
            model.fault, model.faults_left, model.step_s = "cut", 1, 0.1
        found = []

        async def send():
            found.append(await fleets.send_request(fleet, "/s/x"))

        async with anyio.create_task_group() as tg:
            tg.start_soon(send)
            await fleets.until(lambda: any(model.runs for model in models))
            for model in models:
                if not model.runs:
                    model.fault = "shed"
        assert found[0].complete
        assert [number for number, _ in fleets.events_of(found[0])] == [1, 2, 3, 4, 5]
        assert [sum(len(item.runs) for item in models)] == [2]
        assert sum(len(item.arrivals) for item in models) == 4

    run_with_fleet(check)


def test_a_stream_that_cannot_resume_does_not_look_complete():
    async def check(fleet):
        backend_server = fleet.engines["i-1"]
        backend_server.fault, backend_server.faults_left = "cut", 5
        answer = await fleets.send_request(fleet, "/s/x")
        assert answer.status == 200
        assert not answer.complete
        assert [number for number, _ in fleets.events_of(answer)] == [1, 2]

    run_with_fleet(check)


def test_a_rejected_unsafe_request_gets_a_retry_after():
    async def check(fleet):
        desk = fleet.engines["d-1"]
        desk.fault, desk.faults_left = "shed", 1
        answer = await fleets.send_request(fleet, "/o/x")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert not desk.runs

    run_with_fleet(check)


def test_a_caller_that_disconnects_cancels_its_run():
    async def check(fleet):
        backend_server = fleet.engines["i-1"]
        backend_server.step_s = 0.2
        address = fleet.entries["entry-1"].deployment.ingress_address
        conn = await http1.connect(address, 1.0)
        headers = [
            ("Host", "one.example"),
            ("Request-Id", "r-1"),
            ("Deadline-Ms", "5000"),
            ("Api-Key", "k1"),
            ("Content-Length", "0"),
        ]
        await http1.send(conn, "POST", "/s/x", headers)
        await fleets.until(lambda: backend_server.running == 1)
        await http1.close(conn)
        await fleets.until(lambda: backend_server.running == 0, 0.5)
        assert backend_server.runs[0].ended == "gone"

    run_with_fleet(check)


def test_a_request_ends_at_the_timeout_of_its_route():
    async def check(fleet):
        routes = [
            {**route, "timeout_ms": 300} for route in fleet.configuration["routes"]
        ]
        fleets.configure(fleet, routes=routes)
        await anyio.sleep(0.1)
        desk = fleet.engines["d-1"]
        desk.fault, desk.faults_left = "silent", 1
        began = anyio.current_time()
        answer = await fleets.send_request(fleet, "/o/x")
        assert answer.status == 504
        assert 0.25 < anyio.current_time() - began < 0.6

    run_with_fleet(check)


def test_a_draining_server_gets_no_new_requests():
    async def check(fleet):
        await fleets.add_engine(fleet, "d-2", "desk")
        desk = fleet.engines["d-1"]
        desk.is_draining = True
        engine.register(desk, fleet.store)
        await anyio.sleep(0.1)
        before = len(desk.runs)
        for _ in range(6):
            assert (await fleets.send_request(fleet, "/o/x")).status == 200
        assert len(desk.runs) == before

    run_with_fleet(check)


def test_a_server_that_crashed_and_lost_its_weights_gets_few_requests():
    async def check(fleet):
        await fleets.add_engine(fleet, "i-2")
        await anyio.sleep(0.05)
        lost = fleet.engines["i-1"]
        engine.crash(lost)
        for _ in range(20):
            await fleets.send_request(fleet, "/s/x")
        times = [item.at for item in lost.arrivals]
        gaps = [later - at for at, later in itertools.pairwise(times)]
        assert len(gaps) <= len(PAUSES_S)
        pauses = PAUSES_S[: len(gaps)]
        assert all(gap >= pause for gap, pause in zip(gaps, pauses, strict=True))
        assert len(fleet.engines["i-2"].runs) >= 18

    run_with_fleet(check)


def test_a_stopping_entry_finishes_its_requests_and_reports_not_ready():
    async def check(fleet):
        backend_server = fleet.engines["i-1"]
        backend_server.step_s = 0.1
        entry = fleet.entries["entry-1"]
        answers = []

        async def one():
            answers.append(await fleets.send_request(fleet, "/s/x"))

        async with anyio.create_task_group() as tg:
            tg.start_soon(one)
            await fleets.until(lambda: backend_server.running == 1)
            entry.leaving.set()
            await anyio.sleep(0.05)
            assert await fleets.readiness(entry) == 503
            late = await fleets.send_request(fleet, "/o/late")
        assert late.status == 200
        assert answers[0].complete
        assert len(fleets.events_of(answers[0])) == 5

    run_with_fleet(check)


def test_a_stopping_entry_serves_open_connections_and_then_accepts_no_more():
    async def check(fleet):
        backend_server = fleet.engines["i-1"]
        backend_server.step_s = 1.0
        entry = fleet.entries["entry-1"]
        address = entry.deployment.ingress_address
        async with anyio.create_task_group() as tg:
            tg.start_soon(partial(fleets.send_request, fleet, "/s/x", deadline_s=9))
            await fleets.until(lambda: backend_server.running == 1)
            entry.leaving.set()
            await anyio.sleep(entry_main.DEREGISTRATION_DELAY_S - 0.3)
            conn = await http1.connect(address, 1.0)
            await anyio.sleep(0.5)
            assert (await fleets.send_request_on(conn, fleet, "/o/late")).status == 200
            await http1.close(conn)
            with pytest.raises(errors.HttpError):
                await http1.connect(address, 1.0)
            assert backend_server.running == 1

    run_with_fleet(check)


def test_an_entry_stops_when_its_last_request_has_ended():
    async def check(fleet):
        entry = fleet.entries["entry-1"]
        conn = await http1.connect(entry.deployment.ingress_address, 1.0)
        assert (await fleets.send_request_on(conn, fleet, "/o/x")).status == 200
        began = anyio.current_time()
        entry.leaving.set()
        await fleets.until(lambda: "entry-1" not in fleet.running, 6)
        assert anyio.current_time() - began < entry_main.DEREGISTRATION_DELAY_S + 1.0

    run_with_fleet(check)


BAD_REQUESTS = [
    (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", [400]),
    (b"GET\r\n\r\n", [400]),
    (b"GET /q/ HTTP/1.1\r\n\r\n", [400]),
    (b"GET /q/ HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", [400]),
    (
        b"POST /o/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        [400],
    ),
    (b"POST /o/ HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", [400]),
    (b"POST /o/ HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", [413]),
    (b"GET /q/ HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 40000 + b"\r\n\r\n", [431]),
    (b"POST /o/ HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf", [408, []]),
    (b"GET /q/ HTTP/1.1\r\nHost", [408]),
    (b"", [[]]),
    (b"GET /q/ HTTP/1.1\r\nHost: one.example\r\nDeadline-Ms: x\r\n\r\n", [400]),
]


@pytest.mark.parametrize(("raw", "allowed"), BAD_REQUESTS)
def test_a_malformed_request_reaches_no_server(raw, allowed):
    async def check(fleet):
        address = fleet.entries["entry-1"].deployment.ingress_address
        got = await fleets.raw_exchange(address, raw, wait_s=0.8)
        found = fleets.statuses(got)
        assert found in [[status] for status in allowed if status != []] + [
            status for status in allowed if status == []
        ]
        assert not any(backend_server.runs for backend_server in fleet.engines.values())
        assert (await fleets.send_request(fleet, "/o/x")).status == 200

    run_with_fleet(check)


def test_malformed_internal_messages_do_not_stop_an_entry():
    async def check(fleet):
        dep = fleet.entries["entry-1"].deployment
        host, port = dep.ip, dep.internal_ports[0]
        async with await anyio.create_udp_socket(local_host="127.0.0.1") as udp:
            for raw in (b"", b"\x00", b"\xff" * 1400, b"\x1c\x18\x05" * 30):
                await udp.sendto(raw, host, port)
        for raw in (b"\xff\xff\xff\xff", b"\x00\x00\x00\x02\x1c\x00", b"GET / HTTP"):
            await fleets.raw_exchange(f"{host}:{port}", raw, wait_s=0.1)
        assert (await fleets.send_request(fleet, "/o/x")).status == 200

    run_with_fleet(check)


def test_a_poison_request_is_rejected_by_all_entries():
    async def check(fleet):
        for number in range(2, 7):
            await fleets.add_engine(fleet, f"d-{number}", "desk")
        await anyio.sleep(0.1)
        desks = [
            backend_server
            for backend_server in fleet.engines.values()
            if backend_server.service == "desk"
        ]
        for attempt in range(9):
            entry = f"entry-{1 + attempt % 3}"
            answer = await fleets.send_request(
                fleet, "/q/x", entry=entry, body=b"deadly"
            )
            assert answer.status >= 500 or attempt >= 2 and answer.status == 422
            for backend_server in desks:
                engine.register(backend_server, fleet.store)
            await anyio.sleep(0.4)
        assert answer.status == 422
        # Attempts sent before the third crash was known add to these.
        assert 3 <= sum(backend_server.crashes for backend_server in desks) <= 5
        assert (
            await fleets.send_request(fleet, "/q/x", body=b"harmless")
        ).status == 200

    run_with_fleet(check, entries=3)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/nowhere/x", "k1", 404), ("/q/x", "unknown", 401), ("/q/x", "k1", 503)],
)
def test_a_refused_head_request_gets_an_answer_and_keeps_its_connection(
    path, key, status
):
    """The body of the refusal raised an error, and the connection was closed."""

    async def check(fleet):
        if status == 503:
            for backend_server in fleet.engines.values():
                backend_server.fault, backend_server.faults_left = "shed", 100
        address = fleet.entries["entry-1"].deployment.ingress_address
        conn = await http1.connect(address, 1.0)
        for number in range(2):
            answer = await fleets.send_request_on(
                conn, fleet, path, method="HEAD", key=key, request_id=f"h{number}"
            )
            assert (answer.status, answer.body, answer.complete) == (status, b"", True)
            assert int(answer.headers["content-length"]) > 0
            assert http1.prepare_for_reuse(conn)
        await http1.close(conn)

    run_with_fleet(check)
