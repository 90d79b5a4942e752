"""What servers say of themselves: kept beside the registry, ended by a new start."""

import anyio
import pytest

from carobstand.core import announcements
from carobstand.standin.platform import engine, kv
from testing import platform_fleet as fleets

LAG_S = 2.4


def test_a_leaving_server_gets_nothing_until_it_starts_anew():
    state = announcements.Announcements()
    assert announcements.record_leaving(state, "i-1", 1000, now=5.0)
    assert not announcements.record_leaving(state, "i-1", 1000, now=6.0)
    assert not announcements.accepts_requests(state, "i-1", 1e9)
    assert announcements.accepts_requests(state, "i-2", 6.0)
    assert not announcements.record_start(state, "i-1", 1000, 20.0, LAG_S)
    assert not announcements.accepts_requests(state, "i-1", 20.0)
    assert announcements.record_start(state, "i-1", 9000, 21.0, LAG_S)
    assert announcements.accepts_requests(state, "i-1", 21.0)


def test_late_news_of_the_start_that_said_so_ends_nothing():
    state = announcements.Announcements()
    announcements.record_leaving(state, "i-1", 1000, now=5.0)
    assert not announcements.record_start(state, "i-1", 4000, 6.0, LAG_S)
    assert not announcements.accepts_requests(state, "i-1", 6.0)
    assert announcements.record_start(state, "i-1", 9000, 9.0, LAG_S)


def test_a_start_that_was_not_known_ends_nothing():
    state = announcements.Announcements()
    announcements.record_leaving(state, "i-1", 0, now=5.0)
    assert not announcements.record_start(state, "i-1", 0, 20.0, LAG_S)
    assert not announcements.record_start(state, "i-1", 4000, 20.0, LAG_S)
    assert not announcements.accepts_requests(state, "i-1", 20.0)


def test_a_shorter_pause_does_not_end_a_longer_one():
    state = announcements.Announcements()
    announcements.record_pause(state, "i-1", 1000, 3.0, now=1.0)
    announcements.record_pause(state, "i-1", 1000, 0.5, now=1.1)
    assert not announcements.accepts_requests(state, "i-1", 3.9)
    assert announcements.accepts_requests(state, "i-1", 4.0)


def test_the_earliest_end_of_a_pause_is_told():
    state = announcements.Announcements()
    announcements.record_pause(state, "i-1", 1000, 3.0, now=1.0)
    announcements.record_pause(state, "i-2", 1000, 2.0, now=1.0)
    announcements.record_leaving(state, "i-3", 1000, now=1.0)
    assert announcements.remaining_pause_s(state, ["i-1", "i-2", "i-3"], 1.5) == 1.5
    assert announcements.remaining_pause_s(state, ["i-1", "i-4"], 1.5) == 0.0


def test_the_number_of_servers_that_are_remembered_is_bounded():
    state = announcements.Announcements()
    for number in range(announcements.MAX_SERVERS + 10):
        announcements.record_leaving(state, f"i-{number}", 1000, now=1.0)
    assert len(state.by_server) == announcements.MAX_SERVERS
    assert announcements.accepts_requests(state, "i-9", 2.0)


def desks(check, timeout_s=20.0):
    """Run ``check(fleet, first, second)`` with two desks behind one entry."""

    async def test():
        async with fleets.deployed() as fleet:
            first = await fleets.add_engine(fleet, "d-1", "desk", step_s=0.0)
            second = await fleets.add_engine(fleet, "d-2", "desk", step_s=0.0)
            await fleets.until_ready(fleet.entries["entry-1"])
            await anyio.sleep(fleets.GATHERED_S)
            await check(fleet, first, second)

    fleets.run(test, timeout_s)


async def _ask_until(fleet, condition, path="/q/x"):
    with anyio.fail_after(5):
        while not condition():
            assert (await fleets.ask(fleet, path)).status == 200


def test_a_server_that_says_it_leaves_gets_nothing_more_though_the_store_is_away():
    async def check(fleet, first, second):
        first.announces_leaving = True
        await _ask_until(fleet, lambda: first.runs)
        await fleets.stop(fleet, "store")
        runs = len(first.runs)
        for _ in range(20):
            assert (await fleets.ask(fleet, "/q/x")).status == 200
        assert len(first.runs) == runs

    desks(check)


def test_its_older_entry_in_the_store_does_not_bring_it_back_but_its_new_start_does(
    monkeypatch,
):
    from carobstand.entry import fleet as entry_fleet

    monkeypatch.setattr(entry_fleet, "START_LAG_HEARTBEATS", 0)

    async def check(fleet, first, second):
        first.announces_leaving = True
        await _ask_until(fleet, lambda: first.runs)
        kv.remove(fleet.store, f"servers/{first.server_id}")
        await anyio.sleep(fleets.GATHERED_S)
        engine.register(first, fleet.store)
        await anyio.sleep(fleets.GATHERED_S)
        runs = len(first.runs)
        for _ in range(20):
            assert (await fleets.ask(fleet, "/q/x")).status == 200
        assert len(first.runs) == runs
        first.announces_leaving = False
        first.started_ms += 9000
        engine.register(first, fleet.store)
        await anyio.sleep(fleets.GATHERED_S)
        await _ask_until(fleet, lambda: len(first.runs) > runs)

    desks(check)


def test_leaving_holds_for_its_own_service_only():
    async def check(fleet, first, second):
        first.announces_leaving = second.announces_leaving = True
        drafter = await fleets.add_engine(fleet, "i-1")
        await anyio.sleep(fleets.GATHERED_S)
        await _ask_until(fleet, lambda: first.runs and second.runs)
        assert (await fleets.ask(fleet, "/q/x")).status == 503
        assert (await fleets.ask(fleet, "/s/x")).status == 200
        assert drafter.runs

    desks(check)


@pytest.mark.parametrize("path", ["/q/x", "/o/x"])
def test_a_server_that_wants_quiet_gets_nothing_for_so_long(path):
    async def check(fleet, first, second):
        first.fault, first.faults_left, first.retry_delay_s = "shed", 1, 1.5
        with anyio.fail_after(5):
            while first.faults_left:
                await fleets.ask(fleet, path)
        quiet_since = anyio.current_time()
        while anyio.current_time() < quiet_since + 1.3:
            assert (await fleets.ask(fleet, path)).status == 200
            await anyio.sleep(0.01)
        assert not first.runs
        await _ask_until(fleet, lambda: first.runs, path)

    desks(check)


def test_requests_that_wait_while_all_want_quiet_are_refused_with_the_time():
    async def check(fleet, first, second):
        for made in (first, second):
            made.fault, made.faults_left, made.retry_delay_s = "shed", 100, 2.5
        await fleets.ask(fleet, "/q/x")
        await fleets.ask(fleet, "/q/x")
        sheds = first.faults_left + second.faults_left
        answer = await fleets.ask(fleet, "/q/x")
        assert answer.status == 503
        assert 1.5 <= float(answer.headers["retry-after"]) <= 3.5
        assert first.faults_left + second.faults_left == sheds

    desks(check)
