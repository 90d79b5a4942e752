"""Guards against changes missed, or undone, when the store comes back from a copy."""

import contextlib

import anyio
import pytest

from carobstand import entry_records, part_records
from carobstand.core import part_ids
from carobstand.entry import rejections
from carobstand.platform import kv as kv_client
from carobstand.standin.platform import engine, kv
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes
from testing import platform_builders as build
from testing import platform_fleet

IN_FORCE_S = 2.5
"""Time within which a change is in force once the store is reached again."""

TENANTS = [{"name": "acme", "api_keys": ["k1", "k2"]}]


@contextlib.asynccontextmanager
async def running(entries):
    """Run entries with two servers and two API keys; yield the fleet."""
    async with platform_fleet.deployed(entries) as fleet:
        for server_id in ("d-1", "d-2"):
            await platform_fleet.add_engine(fleet, server_id, "desk")
        platform_fleet.configure(fleet, tenants=TENANTS)
        for entry in fleet.entries.values():
            await platform_fleet.until_ready(entry)
        await anyio.sleep(1.0)
        yield fleet


def run_running(check, entries, timeout_s=40.0):
    """Run ``check(fleet)`` with `entries` entries."""

    async def scenario():
        async with running(entries) as fleet:
            await check(fleet)

    platform_fleet.run(scenario, timeout_s)


@contextlib.asynccontextmanager
async def away(fleet):
    """Stop the store; it serves again afterwards."""
    await platform_fleet.stop(fleet, "store")
    yield
    await platform_fleet.start_server(
        fleet, kv.server(fleet.store), fleet.store_address, "store"
    )


def pass_revision(store, revision):
    """Write until the store is past a revision."""
    while store.revision <= revision:
        kv.write(store, "elsewhere/x", b"")


def change_all(fleet):
    """Add a route, take a key away, and remove a server."""
    routes = [
        *fleet.configuration["routes"],
        build.route_record(name="n", prefix="/n/", type="safe", service="desk"),
    ]
    tenants = [{"name": "acme", "api_keys": ["k1"]}]
    platform_fleet.configure(fleet, routes=routes, tenants=tenants)
    kv.remove(fleet.store, "servers/d-2")


async def check_in_force(fleet, entries=None):
    """Check that what `change_all` changed is in force at each entry."""
    gone = fleet.engines["d-2"]
    before = len(gone.arrivals)
    for entry in entries or fleet.entries:
        added = await platform_fleet.send_request(fleet, "/n/x", entry=entry)
        assert (entry, added.status) == (entry, 200)
        revoked = await platform_fleet.send_request(
            fleet, "/q/x", entry=entry, key="k2"
        )
        assert (entry, revoked.status) == (entry, 401)
        for _ in range(6):
            answer = await platform_fleet.send_request(fleet, "/q/x", entry=entry)
            assert (entry, answer.status) == (entry, 200)
    assert len(gone.arrivals) == before


@pytest.mark.parametrize("entries", [1, 5])
@pytest.mark.parametrize("returns", [1, 2])
def test_changes_before_the_held_revision_are_in_force_after_a_return(entries, returns):
    async def check(fleet):
        saved = kv.take_copy(fleet.store)
        for number in range(8):
            kv.write(fleet.store, f"elsewhere/{number}", b"")
        await anyio.sleep(1.0)
        held = fleet.store.revision
        async with away(fleet):
            for _ in range(returns):
                kv.restore(fleet.store, saved)
            change_all(fleet)
            pass_revision(fleet.store, held)
        await anyio.sleep(IN_FORCE_S)
        await check_in_force(fleet)

    run_running(check, entries)


def test_changes_are_in_force_after_a_return_at_which_no_watch_was_cut():
    async def check(fleet):
        saved = kv.take_copy(fleet.store)
        for number in range(8):
            kv.write(fleet.store, f"elsewhere/{number}", b"")
        await anyio.sleep(1.0)
        held = fleet.store.revision
        kv.restore(fleet.store, saved)
        change_all(fleet)
        pass_revision(fleet.store, held)
        await anyio.sleep(IN_FORCE_S)
        await check_in_force(fleet)

    run_running(check, 5)


@pytest.mark.parametrize("entries", [1, 5])
def test_what_an_old_copy_shows_does_not_undo_newer_changes(entries):
    async def check(fleet):
        saved = kv.take_copy(fleet.store)
        change_all(fleet)
        await anyio.sleep(IN_FORCE_S)
        await check_in_force(fleet)
        async with away(fleet):
            kv.restore(fleet.store, saved)
        await anyio.sleep(IN_FORCE_S)
        await check_in_force(fleet)
        for entry in fleet.entries.values():
            assert await platform_fleet.readiness(entry) == 200

    run_running(check, entries)


def test_a_leaving_server_that_an_old_copy_shows_as_ready_gets_no_requests():
    async def check(fleet):
        saved = kv.take_copy(fleet.store)
        leaving = fleet.engines["d-2"]
        leaving.is_draining, leaving.heartbeats = True, 33
        engine.register(leaving, fleet.store)
        await anyio.sleep(1.0)
        before = len(leaving.arrivals)
        async with away(fleet):
            kv.restore(fleet.store, saved)
        await anyio.sleep(1.5)
        for _ in range(20):
            answer = await platform_fleet.send_request(fleet, "/q/x")
            assert answer.status == 200
        assert len(leaving.arrivals) == before

    run_running(check, 1)


def test_a_server_that_registers_again_after_the_return_is_used():
    async def check(fleet):
        saved = kv.take_copy(fleet.store)
        kv.remove(fleet.store, "servers/d-2")
        await anyio.sleep(1.0)
        async with away(fleet):
            kv.restore(fleet.store, saved)
        await anyio.sleep(1.0)
        back = fleet.engines["d-2"]
        back.heartbeats += 5
        engine.register(back, fleet.store)
        await anyio.sleep(1.0)
        for _ in range(20):
            await platform_fleet.send_request(fleet, "/q/x")
        assert back.arrivals

    run_running(check, 1)


def test_a_server_registered_after_the_copy_was_taken_is_kept_until_it_is_back():
    async def check(fleet):
        saved = kv.take_copy(fleet.store)
        added = await platform_fleet.add_engine(fleet, "d-3", "desk")
        await anyio.sleep(1.0)
        for server_id in ("d-1", "d-2"):
            await platform_fleet.stop(fleet, server_id)
        async with away(fleet):
            kv.restore(fleet.store, saved)
        await anyio.sleep(0.5)
        answer = await platform_fleet.send_request(fleet, "/q/x")
        assert answer.status == 200
        engine.register(added, fleet.store)
        await anyio.sleep(3.0)
        answer = await platform_fleet.send_request(fleet, "/q/x")
        assert answer.status == 200

    run_running(check, 1)


def test_an_entry_that_starts_from_the_copy_learns_what_others_know():
    async def check(fleet):
        saved = kv.take_copy(fleet.store)
        change_all(fleet)
        platform_fleet.name_version(fleet, 7)
        await anyio.sleep(IN_FORCE_S)
        async with away(fleet):
            kv.restore(fleet.store, saved)
        await platform_fleet.add_entry(fleet, "entry-9")
        await check_in_force(fleet, ["entry-9"])

    # The removed server is not among what others tell, so it is stopped as well.
    async def stop_and_check(fleet):
        await platform_fleet.stop(fleet, "d-2")
        await check(fleet)

    run_running(stop_and_check, 3)


def test_entries_register_again_after_their_records_are_lost():
    async def check(fleet):
        items, log, revision, _, _ = kv.take_copy(fleet.store)
        for vm in fleet.entries:
            items.pop(entry_records.key(vm))
        # The ids of the lost leases now belong to others.
        other = {lease: (1000.0, anyio.current_time() + 1000.0) for lease in range(9)}
        async with away(fleet):
            kv.restore(fleet.store, (items, log, revision, other, 9))
        await anyio.sleep(IN_FORCE_S)
        for vm in fleet.entries:
            assert entry_records.key(vm) in fleet.store.items
            assert fleet.store.items[entry_records.key(vm)].lease not in other
        assert other == {lease: fleet.store.leases[lease] for lease in other}

    run_running(check, 3)


def test_convictions_are_recorded_again_after_they_are_lost():
    async def check(fleet):
        saved = kv.take_copy(fleet.store)
        kv.write(fleet.store, "carobstand/parts/0102030405060708", b"{}")
        await anyio.sleep(1.0)
        async with away(fleet):
            kv.restore(fleet.store, saved)
        await anyio.sleep(IN_FORCE_S)
        assert "carobstand/parts/0102030405060708" in fleet.store.items

    run_running(check, 3)


def test_weights_named_before_the_held_revision_reach_an_engine_after_a_return():
    async def check(fleet):
        backend_server = await platform_fleet.add_engine(fleet, "i-1")
        await platform_fleet.add_agent(fleet, backend_server)
        await anyio.sleep(1.5)
        saved = kv.take_copy(fleet.store)
        for number in range(8):
            kv.write(fleet.store, f"op/version/other-{number}", b"{}")
        await anyio.sleep(1.0)
        held = fleet.store.revision
        async with away(fleet):
            kv.restore(fleet.store, saved)
            platform_fleet.name_version(fleet, 2)
            pass_revision(fleet.store, held)
        await platform_fleet.until(lambda: backend_server.version == 2, 8.0)

    run_running(check, 1)


def test_a_return_between_two_pages_of_a_read_is_noticed():
    async def check(fleet):
        for number in range(kv.PAGE_ITEMS + 10):
            kv.write(fleet.store, f"pages/{number:05}", b"old")
        saved = kv.take_copy(fleet.store)
        for number in range(kv.PAGE_ITEMS + 10):
            kv.write(fleet.store, f"pages/{number:05}", b"new")
        fleet.store.after_page = lambda: go_back(fleet.store, saved)
        store = kv_client.connect(fleet.store_address)
        found = await kv_client.list_prefix(store, "pages/")
        assert {item.value for item in found.items} == {b"old"}
        assert found.revision <= fleet.store.revision

    def go_back(store, saved):
        store.after_page = None
        kv.restore(store, saved)

    run_running(check, 1)


def test_a_conviction_that_an_answer_ended_does_not_return_with_the_copy():
    async def check(fleet):
        await platform_fleet.add_engine(fleet, "i-1")
        part = part_ids.digest("c1")
        key = part_records.key(part)
        kv.write(fleet.store, key, b"{}")
        saved = kv.take_copy(fleet.store)
        kv.remove(fleet.store, key)
        await anyio.sleep(1.0)
        headers = [("Prompt-Prefix", "c1:40,d1:8")]
        first = await platform_fleet.send_request(fleet, "/s/x", headers=headers)
        assert first.status == rejections.POISON_STATUS
        report = ttypes.PartReport(
            [ttypes.PartEvidence(part, [], sound_ms=0)], "127.0.0.1:1"
        )
        dep = fleet.entries["entry-1"].deployment
        async with await anyio.create_udp_socket(local_host="127.0.0.1") as udp:
            raw = fleet_codec.encode(report)
            await udp.sendto(raw, dep.ip, dep.internal_ports[0])
        await anyio.sleep(0.2)
        async with away(fleet):
            kv.restore(fleet.store, saved)
        await anyio.sleep(IN_FORCE_S)
        answer = await platform_fleet.send_request(fleet, "/s/x", headers=headers)
        assert answer.status == 200
        assert key not in fleet.store.items

    run_running(check, 1)
