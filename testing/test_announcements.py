"""Tests of the state that backend servers report about themselves in responses.

Guards against requests to servers that are leaving or paused.
"""

import anyio
import pytest

from carobstand.core import announcements
from carobstand.standin.platform import engine, kv
from testing import platform_fleet as fleets

LAG_S = 2.4
"""Two heartbeats: the time within which a start is usually reported."""


def test_a_leaving_server_gets_no_requests_until_it_says_that_it_stays():
    state = announcements.Announcements()
    assert announcements.record_leaving(state, "i-1", 1000, now=5.0)
    assert not announcements.record_leaving(state, "i-1", 1000, now=6.0)
    assert not announcements.accepts_requests(state, "i-1", 1e9)
    assert announcements.accepts_requests(state, "i-2", 6.0)
    assert not announcements.record_start(state, "i-1", 1000, 20.0)
    assert not state.doubted
    assert announcements.record_start(state, "i-1", 9000, 21.0)
    assert state.doubted == {"i-1"}
    assert not announcements.accepts_requests(state, "i-1", 21.0)
    assert not announcements.resolve_doubt(state, "i-1", True, None, 22.0)
    assert not announcements.accepts_requests(state, "i-1", 22.0)
    announcements.record_start(state, "i-1", 10_000, 23.0)
    assert announcements.resolve_doubt(state, "i-1", False, None, 24.0)
    assert announcements.accepts_requests(state, "i-1", 24.0)
    assert not state.doubted


def test_an_announcement_after_a_health_check_holds_though_its_answer_comes_later():
    state = announcements.Announcements()
    announcements.record_leaving(state, "i-1", 1000, now=5.0)
    announcements.record_start(state, "i-1", 4000, 6.0)
    announcements.record_leaving(state, "i-1", 4000, now=6.2)
    assert not announcements.resolve_doubt(state, "i-1", False, None, asked_at=6.1)
    assert not announcements.accepts_requests(state, "i-1", 7.0)


def test_the_first_known_start_does_not_discard_an_announcement_without_a_start():
    state = announcements.Announcements()
    announcements.record_leaving(state, "i-1", 0, now=5.0)
    assert not announcements.record_start(state, "i-1", 0, 20.0)
    assert not announcements.record_start(state, "i-1", 4000, 20.0)
    assert not announcements.accepts_requests(state, "i-1", 20.0)


def test_a_server_that_nothing_is_known_of_is_not_in_doubt():
    state = announcements.Announcements()
    announcements.record_limit(state, "i-1", 1000, 2.0, 5.0)
    announcements.record_start(state, "i-1", 2000, 6.0)
    assert state.doubted == {"i-1"}
    announcements.record_limit(state, "i-1", 2000, None, 6.5)
    announcements.record_start(state, "i-1", 3000, 7.0)
    assert not state.doubted and not state.by_server


def test_a_pause_that_a_server_asked_for_outlasts_the_news_of_its_start():
    state = announcements.Announcements()
    announcements.record_pause(state, "i-1", 1000, 3.0, now=1.0)
    announcements.record_start(state, "i-1", 2000, 1.5)
    assert not announcements.accepts_requests(state, "i-1", 3.9)
    assert announcements.accepts_requests(state, "i-1", 4.0)


def test_a_shorter_pause_does_not_end_a_longer_one():
    state = announcements.Announcements()
    announcements.record_pause(state, "i-1", 1000, 3.0, now=1.0)
    announcements.record_pause(state, "i-1", 1000, 0.5, now=1.1)
    assert not announcements.accepts_requests(state, "i-1", 3.9)
    assert announcements.accepts_requests(state, "i-1", 4.0)


def test_the_remaining_pause_is_that_of_the_server_whose_pause_ends_first():
    state = announcements.Announcements()
    announcements.record_pause(state, "i-1", 1000, 3.0, now=1.0)
    announcements.record_pause(state, "i-2", 1000, 2.0, now=1.0)
    announcements.record_leaving(state, "i-3", 1000, now=1.0)
    assert announcements.remaining_pause_s(state, ["i-1", "i-2", "i-3"], 1.5) == 1.5
    assert announcements.remaining_pause_s(state, ["i-1", "i-4"], 1.5) == 0.0


def test_the_number_of_servers_with_announcements_is_bounded():
    state = announcements.Announcements()
    for number in range(announcements.MAX_SERVERS + 10):
        announcements.record_leaving(state, f"i-{number}", 1000, now=1.0)
    assert len(state.by_server) == announcements.MAX_SERVERS
    assert announcements.accepts_requests(state, "i-9", 2.0)


def run_with_two_servers(check, timeout_s=20.0):
    """Run ``check(fleet, first, second)`` with two servers of service `desk`."""

    async def test():
        async with fleets.deployed() as fleet:
            first = await fleets.add_engine(fleet, "d-1", "desk", step_s=0.0)
            second = await fleets.add_engine(fleet, "d-2", "desk", step_s=0.0)
            await fleets.until_ready(fleet.entries["entry-1"])
            await anyio.sleep(fleets.CHANGE_DELAY_S)
            await check(fleet, first, second)

    fleets.run(test, timeout_s)


async def _send_requests_until(fleet, condition, path="/q/x"):
    with anyio.fail_after(5):
        while not condition():
            assert (await fleets.send_request(fleet, path)).status == 200


def test_a_leaving_server_gets_no_more_requests_while_the_store_is_down():
    async def check(fleet, first, second):
        first.announces_leaving = True
        await _send_requests_until(fleet, lambda: first.runs)
        await fleets.stop(fleet, "store")
        runs = len(first.runs)
        for _ in range(20):
            assert (await fleets.send_request(fleet, "/q/x")).status == 200
        assert len(first.runs) == runs

    run_with_two_servers(check)


def test_a_leaving_server_gets_requests_again_after_a_restart_only():
    async def check(fleet, first, second):
        first.announces_leaving = True
        await _send_requests_until(fleet, lambda: first.runs)
        kv.remove(fleet.store, f"servers/{first.server_id}")
        await anyio.sleep(fleets.CHANGE_DELAY_S)
        engine.register(first, fleet.store)
        await anyio.sleep(fleets.CHANGE_DELAY_S)
        runs = len(first.runs)
        for _ in range(20):
            assert (await fleets.send_request(fleet, "/q/x")).status == 200
        assert len(first.runs) == runs
        first.announces_leaving = False
        first.started_ms += 9000
        engine.register(first, fleet.store)
        await anyio.sleep(fleets.CHANGE_DELAY_S)
        await _send_requests_until(fleet, lambda: len(first.runs) > runs)

    run_with_two_servers(check)


@pytest.mark.parametrize(("has_check", "late_s"), [(True, LAG_S + 0.2), (False, 0.1)])
def test_a_leaving_server_whose_start_becomes_known_late_gets_no_requests(
    has_check, late_s
):
    async def check(fleet, first, second):
        if not has_check:
            services = fleet.configuration["services"]
            del services[0]["health_check_path"]
            fleets.configure(fleet, services=services)
        first.started_ms += 5000
        first.announces_leaving = True
        await _send_requests_until(fleet, lambda: first.runs)
        await anyio.sleep(late_s)
        engine.register(first, fleet.store)
        await anyio.sleep(fleets.CHANGE_DELAY_S)
        runs, until = len(first.runs), anyio.current_time() + 2.0
        while anyio.current_time() < until:
            assert (await fleets.send_request(fleet, "/q/x")).status == 200
        assert len(first.runs) == runs
        assert first.health_checks == has_check

    run_with_two_servers(check)


def test_an_announcement_holds_though_its_stream_breaks_off_before_the_first_event():
    async def check(fleet, first, second):
        headers = [("Prompt-Prefix", "dead:40,a1:40"), ("Token-Usage", "80,8")]
        leaving = await fleets.add_engine(fleet, "i-1", poison_part="dead")
        leaving.announces_leaving = True
        fleets.restart_crashed(fleet, leaving, 0.1)
        await anyio.sleep(fleets.CHANGE_DELAY_S)
        answer = await fleets.send_request(fleet, "/s/x", headers=headers)
        assert answer.status != 200 and leaving.crashes == 1
        leaving.started_ms -= 1000
        await anyio.sleep(0.5)
        for _ in range(5):
            assert (await fleets.send_request(fleet, "/s/x")).status == 503
            await anyio.sleep(0.5)
        assert len(leaving.arrivals) == 1

    run_with_two_servers(check)


def test_a_leaving_server_affects_only_its_own_service():
    async def check(fleet, first, second):
        first.announces_leaving = second.announces_leaving = True
        drafter = await fleets.add_engine(fleet, "i-1")
        await anyio.sleep(fleets.CHANGE_DELAY_S)
        await _send_requests_until(fleet, lambda: first.runs and second.runs)
        assert (await fleets.send_request(fleet, "/q/x")).status == 503
        assert (await fleets.send_request(fleet, "/s/x")).status == 200
        assert drafter.runs

    run_with_two_servers(check)


@pytest.mark.parametrize("path", ["/q/x", "/o/x"])
def test_a_server_that_asked_for_a_pause_gets_no_requests_until_it_ends(path):
    async def check(fleet, first, second):
        first.fault, first.faults_left, first.retry_delay_s = "shed", 1, 1.5
        with anyio.fail_after(5):
            while first.faults_left:
                await fleets.send_request(fleet, path)
        pause_began_at = anyio.current_time()
        while anyio.current_time() < pause_began_at + 1.3:
            assert (await fleets.send_request(fleet, path)).status == 200
            await anyio.sleep(0.01)
        assert not first.runs
        await _send_requests_until(fleet, lambda: first.runs, path)

    run_with_two_servers(check)


def test_requests_are_rejected_with_a_retry_time_while_all_servers_are_paused():
    async def check(fleet, first, second):
        for server in (first, second):
            server.fault, server.faults_left, server.retry_delay_s = "shed", 100, 2.5
        await fleets.send_request(fleet, "/q/x")
        await fleets.send_request(fleet, "/q/x")
        faults_left_before = first.faults_left + second.faults_left
        answer = await fleets.send_request(fleet, "/q/x")
        assert answer.status == 503
        assert 1.5 <= float(answer.headers["retry-after"]) <= 3.5
        assert first.faults_left + second.faults_left == faults_left_before

    run_with_two_servers(check)
