"""Guards against requests to an evacuated failure domain, and against its lasting loss.

Marks must hold while the store is down or has lost them, and end with the operator's
removal even if a restored store shows no event for it.
"""

import contextlib

import anyio
import pytest

from carobstand.core import deployment, evacuation
from carobstand.entry import backend_pool, change_relay, evacuations, queueing
from carobstand.platform import kv as kv_client
from carobstand.standin.platform import engine, kv
from testing import domain_fleet as domains
from testing import platform_builders as build
from testing import platform_fleet as fleets

Change = evacuation.Change
BOUNDS = deployment.Bounds()
REPEAT_S = evacuation.REPEAT_FACTOR * BOUNDS.evacuation_s


def marked(**revisions):
    marks = evacuation.Marks()
    for domain, revision in revisions.items():
        evacuation.put(marks, domain, revision)
    return marks


def test_a_full_read_replaces_the_marks():
    marks = marked(a=5, b=6)
    assert evacuation.replace(marks, {"b": 6, "c": 9}, False, 0.0) == [
        (Change.REVOKED, "a"),
        (Change.APPLIED, "c"),
    ]
    assert marks.in_force == {"b", "c"}


def test_a_mark_that_a_restored_store_lacks_holds_until_it_would_be_written_again():
    marks = marked(a=5)
    assert evacuation.replace(marks, {}, True, 10.0) == [(Change.KEPT, "a")]
    assert not evacuation.settle(marks, 10.0 + REPEAT_S - 0.1, -1.0, BOUNDS)
    # Operators cannot write while the store is down.
    assert not evacuation.settle(marks, 10.0 + REPEAT_S, 12.0, BOUNDS)
    assert marks.in_force == {"a"}
    found = evacuation.settle(marks, 12.0 + REPEAT_S, 12.0, BOUNDS)
    assert found == [(Change.REVOKED, "a")]
    assert not marks.in_force


def test_a_mark_that_is_written_again_after_a_restore_stays():
    marks = marked(a=5)
    evacuation.replace(marks, {}, True, 10.0)
    assert not evacuation.put(marks, "a", 3)
    assert not evacuation.settle(marks, 99.0, 0.0, BOUNDS)
    assert marks.in_force == {"a"}


def test_a_removed_mark_that_a_restored_store_shows_is_doubted_for_a_while():
    marks = marked(a=5)
    assert evacuation.remove(marks, "a")
    found = evacuation.replace(marks, {"a": 5}, True, 10.0)
    assert found == [(Change.DOUBTED, "a")]
    assert not evacuation.replace(marks, {"a": 5}, False, 15.0)
    assert not marks.in_force
    # Nobody removed it again: it is a later one that happens to have the same revision.
    found = evacuation.settle(marks, 10.0 + REPEAT_S, 0.0, BOUNDS)
    assert found == [(Change.APPLIED, "a")]
    assert marks.in_force == {"a"}


@pytest.mark.parametrize("revision", [4, 6])
def test_a_mark_of_another_write_than_the_removed_one_holds_at_once(revision):
    marks = marked(a=5)
    evacuation.remove(marks, "a")
    evacuation.replace(marks, {"a": revision}, True, 10.0)
    assert marks.in_force == {"a"}


def test_a_new_process_believes_others_no_longer_than_they_would_themselves():
    kept, removed = marked(a=5), marked(b=6)
    evacuation.replace(kept, {}, True, 10.0)
    evacuation.remove(removed, "b")
    evacuation.replace(removed, {"b": 6}, True, 10.0)
    new, found = evacuation.Marks(), {"b": 6}
    told = evacuation.tell(kept) + evacuation.tell(removed)
    assert evacuation.learn(new, told, found, 15.0) == [(Change.KEPT, "a")]
    assert not evacuation.replace(new, found, False, 15.0)
    assert new.in_force == {"a"}
    evacuation.settle(new, 10.0 + REPEAT_S, 0.0, BOUNDS)
    assert new.in_force == {"b"}


def test_an_entry_that_is_behind_does_not_revive_a_removed_mark():
    behind, removed = marked(a=5), marked(a=5)
    evacuation.remove(removed, "a")
    new = evacuation.Marks()
    told = evacuation.tell(behind) + evacuation.tell(removed)
    assert not evacuation.learn(new, told, {}, 0.0)
    assert not new.in_force


def test_a_mark_is_taken_over_only_if_the_own_read_cannot_tell_of_it():
    item = kv_client.Item("op/evacuate/a", b"{}", 5)
    for era, since, count in ((2, None, 0), (1, None, 1), (2, 3.0, 1)):
        told = change_relay.Told(item, era, since)
        assert len(evacuations._marks_told(told, 2)) == count


def test_an_entry_behind_a_reader_settles_marks_too():
    async def check():
        fleet = domains.forwarder({"i-1": "a"}).fleet
        fleet.evacuation_marks, fleet.confirmed_at = marked(a=5), 10.0
        evacuation.replace(fleet.evacuation_marks, {}, True, 10.0)
        for confirmed_at, domain in ((11.0, {"a"}), (10.0 + REPEAT_S, set())):
            reply = change_relay.Reply([], 1, confirmed_at, 0.0, 0.0)
            await fleets.entry_fleet._apply_reader_reply(fleet, reply)
            assert fleet.evacuation_marks.in_force == domain

    anyio.run(check)


def test_a_mark_written_after_a_removal_holds_though_another_entry_is_behind():
    behind, ahead = marked(a=5), marked(a=8)
    evacuation.remove(behind, "a")
    new = evacuation.Marks()
    evacuation.learn(new, evacuation.tell(behind) + evacuation.tell(ahead), {"a": 5}, 0)
    evacuation.replace(new, {"a": 5}, False, 0.0)
    assert new.in_force == {"a"}


def test_remembered_removals_are_bounded():
    marks = evacuation.Marks()
    for number in range(evacuation.MAX_REMOVED + 5):
        evacuation.put(marks, f"z{number}", number)
        evacuation.remove(marks, f"z{number}")
    assert len(marks.removed) == evacuation.MAX_REMOVED


def test_a_waiting_request_is_rejected_at_once_if_its_last_domain_is_evacuated():
    async def check():
        fwd = domains.forwarder({"i-1": "a"}, running=60)
        waiter = queueing.Waiter(domains.call())
        fwd.queue.waiters.append(waiter)
        queueing._process_waiters_once(fwd)
        assert not waiter.done.is_set()
        evacuation.put(fwd.fleet.evacuation_marks, "a", 5)
        queueing._process_waiters_once(fwd)
        assert waiter.done.is_set() and waiter.choice is None

    anyio.run(check)


async def check_evacuated(fleet, domain="a", entries=None):
    """Check that all requests are served outside a failure domain."""
    before = domains.arrivals(fleet, domain)
    for entry in entries or fleet.entries:
        for path in ("/q/x", "/s/x"):
            assert await domains.send_series(fleet, path, 4, entry=entry) == {200}
    assert domains.arrivals(fleet, domain) == before


async def check_used(fleet, domain="a"):
    """Check that requests reach a failure domain."""
    before = domains.arrivals(fleet, domain)
    assert await domains.send_series(fleet) == {200}
    assert domains.arrivals(fleet, domain) > before


@contextlib.asynccontextmanager
async def away(fleet):
    """Stop the store; it serves again afterwards."""
    await fleets.stop(fleet, "store")
    yield
    await fleets.start_server(
        fleet, kv.server(fleet.store), fleet.store_address, "store"
    )


@pytest.mark.parametrize("entries", [1, 5])
def test_an_evacuation_holds_at_each_entry_until_it_is_revoked(entries):
    async def check(fleet):
        await domains.evacuate(fleet, "a")
        await check_evacuated(fleet)
        await fleets.add_entry(fleet, "entry-9")
        await check_evacuated(fleet, entries=["entry-9"])
        await domains.revoke(fleet, "a")
        await check_used(fleet)

    domains.run_running(check, entries=entries)


def test_requests_that_no_domain_may_serve_are_rejected_at_once():
    async def check(fleet):
        await domains.limit_regions(fleet, route=["north"])
        await domains.evacuate(fleet, "a")
        before = anyio.current_time()
        answer = await fleets.send_request(fleet, "/q/x")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert anyio.current_time() - before < 0.2
        assert not fleet.engines["d-a-1"].arrivals

    domains.run_running(check)


def test_a_running_stream_is_finished_and_a_resumed_one_goes_elsewhere():
    async def check(fleet):
        servers = fleet.engines["i-a-1"], fleet.engines["i-a-2"]
        for server, fault in zip(servers, ("cut", ""), strict=True):
            server.fault, server.faults_left = fault, int(bool(fault))
        answers = []

        async def ask():
            answers.append(await fleets.send_request(fleet, "/s/x", deadline_s=5.0))

        async with anyio.create_task_group() as tg:
            for _ in range(2):
                tg.start_soon(ask)
                await anyio.sleep(0.05)
            await fleets.until(lambda: all(server.runs for server in servers))
            await domains.evacuate(fleet, "a")
        assert all(answer.complete for answer in answers)
        assert [len(fleets.events_of(answer)) for answer in answers] == [5, 5]
        assert sorted(run.ended for item in servers for run in item.runs) == [
            "200",
            "cut",
        ]
        assert domains.arrivals(fleet, "b") == 1

    domains.run_running(check, count=2, step_s=0.4)


def test_a_request_is_withheld_if_its_domain_is_evacuated_while_it_connects(
    monkeypatch,
):
    acquire = backend_pool.acquire

    async def check(fleet):
        async def acquire_slowly(pool, address, request_id):
            conn = await acquire(pool, address, request_id)
            monkeypatch.setattr(backend_pool, "acquire", acquire)
            await domains.evacuate(fleet, "a")
            return conn

        monkeypatch.setattr(backend_pool, "acquire", acquire_slowly)
        assert (await fleets.send_request(fleet, "/o/x")).status == 200
        assert (domains.arrivals(fleet, "a"), domains.arrivals(fleet, "b")) == (0, 1)

    domains.run_running(check)


def test_an_evacuation_holds_while_the_store_is_down_and_servers_restart():
    async def check(fleet):
        await domains.evacuate(fleet, "a")
        async with away(fleet):
            await anyio.sleep(1.0)
            await check_evacuated(fleet)
        for server_id in ("d-a-1", "i-a-1"):
            server = fleet.engines[server_id]
            kv.remove(fleet.store, f"servers/{server_id}")
            server.started_ms += 1000
            engine.register(server, fleet.store)
        await anyio.sleep(2.5)
        await check_evacuated(fleet)

    domains.run_running(check)


@pytest.mark.parametrize("entries", [1, 5])
def test_a_mark_that_the_restored_store_lacks_holds_also_in_a_new_entry(entries):
    async def check(fleet):
        saved = kv.take_copy(fleet.store)
        await domains.evacuate(fleet, "a")
        async with away(fleet):
            kv.restore(fleet.store, saved)
        await anyio.sleep(1.0)
        await check_evacuated(fleet)
        await fleets.add_entry(fleet, "entry-9")
        await check_evacuated(fleet, entries=["entry-9"])
        await domains.evacuate(fleet, "a")
        await check_evacuated(fleet)
        await domains.revoke(fleet, "a")
        await check_used(fleet)

    domains.run_running(check, entries=entries)


@pytest.mark.parametrize("entries", [1, 5])
def test_a_removal_without_an_event_ends_the_evacuation(monkeypatch, entries):
    monkeypatch.setattr(evacuation, "REPEAT_FACTOR", 0.4)

    async def check(fleet):
        saved = kv.take_copy(fleet.store)
        await domains.evacuate(fleet, "a")
        async with away(fleet):
            kv.restore(fleet.store, saved)
        await anyio.sleep(0.5)
        await check_evacuated(fleet)
        await anyio.sleep(0.4 * BOUNDS.evacuation_s + kv_client.WATCH_SLACK_S + 2.5)
        for entry in fleet.entries:
            before = domains.arrivals(fleet, "a")
            assert await domains.send_series(fleet, entry=entry) == {200}
            assert domains.arrivals(fleet, "a") > before

    domains.run_running(check, entries=entries)


def test_a_removed_mark_that_the_restored_store_shows_excludes_nothing():
    async def check(fleet):
        await domains.evacuate(fleet, "a")
        saved = kv.take_copy(fleet.store)
        await domains.revoke(fleet, "a")
        async with away(fleet):
            kv.restore(fleet.store, saved)
        await anyio.sleep(1.0)
        await check_used(fleet)
        await fleets.add_entry(fleet, "entry-9")
        await domains.revoke(fleet, "a")
        await check_used(fleet)
        await domains.evacuate(fleet, "a")
        await check_evacuated(fleet)

    domains.run_running(check, entries=2)


@pytest.mark.parametrize("name", ["", "/", "c", "A", "a/", "a/b"])
def test_an_unknown_or_malformed_mark_excludes_nothing_else(name):
    async def check(fleet):
        await domains.evacuate(fleet, name)
        kv.write(fleet.store, "op/evacuate", b"{}")
        kv.write(fleet.store, "op/evacuated", b"{}")
        await check_used(fleet)
        await fleets.add_entry(fleet, "entry-9")
        await check_used(fleet)

    domains.run_running(check)


def test_a_short_bound_of_evacuations_shortens_the_batches_of_changes():
    bounds = build.bounds(evacuation_s=1.0)
    assert fleets.entry_fleet.batch_delay_s(bounds) < 0.2
