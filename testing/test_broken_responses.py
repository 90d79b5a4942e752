"""Guards against faulty responses that reach callers as whole ones, or as theirs."""

import anyio
import pytest

from testing import platform_fleet


def run_with_servers(check, service, count=2, timeout_s=30.0, **options):
    """Run ``check(fleet, servers)`` with some servers of a service behind one entry."""

    async def scenario():
        async with platform_fleet.deployed() as fleet:
            servers = [
                await platform_fleet.add_engine(
                    fleet, f"b-{number}", service, **options
                )
                for number in range(count)
            ]
            await platform_fleet.until_ready(fleet.entries["entry-1"])
            await anyio.sleep(platform_fleet.CHANGE_DELAY_S)
            await check(fleet, servers)

    platform_fleet.run(scenario, timeout_s)


def expected_events(answer):
    """Return whether a stream holds each of its events once, in order."""
    numbers = [number for number, _ in platform_fleet.events_of(answer)]
    return numbers == [1, 2, 3, 4, 5]


@pytest.mark.parametrize("request_id", [None, "r-same"])
def test_a_repeated_rejection_is_no_answer_to_a_request_that_runs(request_id):
    async def check(fleet, servers):
        server = servers[0]
        for _ in range(5):
            server.fault, server.faults_left = "shed twice", 1
            await platform_fleet.send_request(fleet, "/o/x", request_id=request_id)
            runs = len(server.runs)
            answer = await platform_fleet.send_request(
                fleet, "/o/x", request_id=request_id
            )
            await anyio.sleep(0.1)
            ran = len(server.runs) - runs
            assert ran <= 1
            assert not (ran and answer.status in (408, 421, 429, 503))

    run_with_servers(check, "desk", count=1)


@pytest.mark.parametrize("fault", ["error", "shed", "half a head", "unsigned"])
def test_an_error_of_the_next_server_does_not_enter_a_stream_that_had_begun(fault):
    async def check(fleet, servers):
        faulty = {"cut": 0, fault: 0}
        for server, name in zip(servers, faulty, strict=True):
            server.fault, server.faults_left = name, 1000
        for _ in range(6):
            answer = await platform_fleet.send_request(fleet, "/s/x")
            if answer.complete and answer.status == 200:
                assert expected_events(answer)
            elif answer.status == 200:
                for number, data in platform_fleet.events_of(answer):
                    assert data.endswith(b"/%d" % number)
            assert b"error" not in answer.body or answer.status != 200
            assert b"HTTP/1.1" not in answer.body
        assert all(server.runs or server.arrivals for server in servers)

    run_with_servers(check, "drafter")


@pytest.mark.parametrize("path", ["/s/x", "/q/x", "/o/x"])
def test_a_response_that_ends_within_its_head_is_not_a_success(path):
    async def check(fleet, servers):
        servers[0].fault, servers[0].faults_left = "half a head", 1000
        answer = await platform_fleet.send_request(fleet, path)
        assert answer.status in (502, 504)
        assert len(servers[0].runs) == 1

    run_with_servers(check, "drafter" if path == "/s/x" else "desk", count=1)


def test_a_stream_that_ends_with_its_connection_is_complete():
    async def check(fleet, servers):
        servers[0].fault, servers[0].faults_left = "open stream", 1
        answer = await platform_fleet.send_request(fleet, "/s/x")
        assert answer.complete
        assert expected_events(answer)

    run_with_servers(check, "drafter", count=1)


@pytest.mark.parametrize("fault", ["open cut", "open head"])
def test_a_stream_without_framing_that_broke_off_is_continued_or_cut(fault):
    async def check(fleet, servers):
        for server in servers:
            server.fault, server.faults_left = fault, 1
        for _ in range(4):
            answer = await platform_fleet.send_request(fleet, "/s/x")
            assert (
                not answer.complete or answer.status != 200 or expected_events(answer)
            )

    run_with_servers(check, "drafter")
