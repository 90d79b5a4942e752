"""One entry of a region reads the store and relays its changes to the others.

The others read the store directly while the reader fails to relay changes in time.
"""

import anyio

from carobstand.core import change_feed, deployment, weight_sources
from carobstand.entry import change_relay
from carobstand.entry import fleet as entry_fleet
from carobstand.platform import kv as kv_client
from carobstand.standin.platform import kv
from carobstand.wire.gen_fleet import ttypes
from testing import platform_builders as build
from testing import platform_fleet as fleets


def entry(number, region="north"):
    return weight_sources.Entry(f"e{number}", f"10.0.0.{number}:1", "a", region)


def item(key, revision):
    return kv_client.Item(key, b"{}", revision)


def test_all_entries_of_a_region_choose_the_same_reader():
    entries = [entry(number) for number in range(1, 6)]
    found = {
        me.vm: change_feed.reader(change_feed.ChangeFeed(), entries, me, 0.0)
        for me in entries
    }
    readers = {reader.vm for reader in found.values() if reader is not None}
    assert len(readers) == 1
    assert [vm for vm, reader in found.items() if reader is None] == list(readers)


def test_a_region_with_few_entries_reads_the_store_directly():
    entries = [entry(1), entry(2), entry(3), entry(4, "south")]
    assert not any(
        change_feed.reader(change_feed.ChangeFeed(), entries, me, 0.0) for me in entries
    )


def test_a_reader_that_failed_is_not_used_for_a_while():
    entries = [entry(number) for number in range(1, 5)]
    state = change_feed.ChangeFeed()
    follower = next(me for me in entries if change_feed.reader(state, entries, me, 0.0))
    change_feed.record_reader_failure(state, 10.0)
    assert (
        change_feed.reader(state, entries, follower, 10.0 + change_feed.DIRECT_S - 0.1)
        is None
    )
    assert change_feed.reader(state, entries, follower, 10.0 + change_feed.DIRECT_S)


def test_only_the_newest_change_of_a_key_is_kept_and_gaps_are_detected():
    state = change_feed.ChangeFeed()
    change_feed.reset(state, 5)
    change_feed.add(state, item("op/config", 6), 1.0)
    change_feed.add(state, item("servers/a", 7), 2.0)
    change_feed.add(state, item("op/config", 8), 3.0)
    assert [change.item.revision for change in change_feed.changes_after(state, 5)] == [
        7,
        8,
    ]
    assert [change.item.revision for change in change_feed.changes_after(state, 7)] == [
        8
    ]
    assert change_feed.changes_after(state, 4) is None
    for number in range(change_feed.MAX_ITEMS):
        change_feed.add(state, item(f"servers/{number}", 9 + number), 4.0)
    assert change_feed.changes_after(state, 6) is None


def run_with_region(check, timeout_s=30.0):
    """Run ``check(fleet)`` with five entries of one region and one backend server."""

    async def test():
        async with fleets.deployed(entries=5) as fleet:
            await fleets.add_engine(fleet, "d-1", "desk")
            for one in fleet.entries.values():
                await fleets.until_ready(one)
            await anyio.sleep(1.0)
            await check(fleet)

    fleets.run(test, timeout_s)


async def _statuses(fleet, key="k1"):
    return {
        vm: (await fleets.send_request(fleet, "/o/x", entry=vm, key=key)).status
        for vm in fleet.entries
        if vm in fleet.running
    }


def _reader_vm(fleet):
    candidates = [
        weight_sources.entry_from_deployment(one.deployment)
        for one in fleet.entries.values()
    ]
    return weight_sources.ranked_in_region(
        candidates, change_feed.RANKING_KEY, "north"
    )[0].vm


def test_a_change_reaches_all_entries_and_costs_the_store_one_answer():
    async def check(fleet):
        watches = fleet.store.calls.get("kv-watch", 0)
        fleets.configure(fleet, tenants=[{"name": "acme", "api_keys": ["k2"]}])
        await anyio.sleep(0.4)
        assert set((await _statuses(fleet, "k1")).values()) == {401}
        assert set((await _statuses(fleet, "k2")).values()) == {200}
        # Watches of the reader in 0.4 s, and the response with the change.
        assert fleet.store.calls["kv-watch"] - watches <= 4

    run_with_region(check)


def test_entries_read_the_store_directly_once_the_reader_is_killed():
    async def check(fleet):
        await fleets.stop(fleet, _reader_vm(fleet))
        await anyio.sleep(0.2)
        fleets.configure(fleet, tenants=[{"name": "acme", "api_keys": ["k2"]}])
        await anyio.sleep(0.5)
        found = await _statuses(fleet, "k1")
        assert len(found) == 4
        assert set(found.values()) == {401}

    run_with_region(check)


def test_a_change_takes_effect_in_time_though_the_reader_is_disconnected(monkeypatch):
    """The reader receives nothing from the store; entries that poll it detect this."""
    watch = kv_client.watch
    disconnected = []

    async def watch_unless_disconnected(store, *args):
        changes = await watch(store, *args)
        if store in disconnected:
            await anyio.sleep_forever()
        return changes

    async def record(fleet):
        observed.append(fleet)
        await observe(fleet)

    observed, observe = [], entry_fleet.observe
    monkeypatch.setattr(kv_client, "watch", watch_unless_disconnected)
    monkeypatch.setattr(entry_fleet, "observe", record)

    async def check(fleet):
        reader = _reader_vm(fleet)
        disconnected.extend(
            one.store for one in observed if one.deployment.vm == reader
        )
        fleets.configure(fleet, tenants=[{"name": "acme", "api_keys": ["k2"]}])
        await anyio.sleep(deployment.Bounds().apply_s - 0.4)
        found = await _statuses(fleet, "k1")
        assert found.pop(reader) == 200
        assert set(found.values()) == {401}

    run_with_region(check)


def test_all_entries_reject_keys_during_a_store_outage_and_accept_them_after():
    async def check(fleet):
        await fleets.stop(fleet, "store")
        await anyio.sleep(4.6)
        assert set((await _statuses(fleet)).values()) == {503}
        await fleets.start_server(
            fleet, kv.server(fleet.store), fleet.store_address, "store"
        )
        await anyio.sleep(2.5)
        assert set((await _statuses(fleet)).values()) == {200}

    run_with_region(check)


def test_entries_without_a_reply_from_the_reader_read_the_store_directly(monkeypatch):
    async def check(fleet):
        async def hang(state, frames, request):
            await anyio.sleep_forever()

        # Entries that poll the reader already still get replies; new ones get none.
        monkeypatch.setattr(change_relay, "serve", hang)
        for vm in ("entry-8", "entry-9"):
            await fleets.add_entry(fleet, vm)
        await anyio.sleep(1.5)
        fleets.configure(fleet, tenants=[{"name": "acme", "api_keys": ["k2"]}])
        await anyio.sleep(1.6)
        for vm in ("entry-8", "entry-9"):
            assert (await fleets.send_request(fleet, "/o/x", entry=vm)).status == 401

    run_with_region(check)


def test_a_reader_in_another_era_of_the_store_has_no_complete_changes():
    async def scenario():
        dep = build.deployment_of("e1", "127.0.0.1")
        fleet = entry_fleet.Fleet(dep, None)
        fleet.revision, fleet.era = 12, 2
        change_feed.reset(fleet.history, 3)
        change_feed.add(fleet.history, item("op/config", 5), 0.0)
        change_feed.add(fleet.history, item("servers/a", 12), 0.0)
        for era, is_complete in ((1, False), (2, True), (3, False)):
            request = ttypes.NewsRequest(9, 300, era)
            assert not change_relay._is_current(fleet, request)
            reply = change_relay._reply(fleet, request)
            assert (reply.is_complete, reply.era) == (is_complete, 2)
            assert bool(reply.items) == is_complete

    anyio.run(scenario)
