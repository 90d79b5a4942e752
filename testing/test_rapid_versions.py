"""Versions named in quick succession, while the origin or entries are unavailable."""

import math
from unittest import mock

import anyio
import attrs

from carobstand import errors
from carobstand.agent import loading
from carobstand.core import load_schedule, named_versions, staging_limit
from carobstand.platform import engine_client
from carobstand.platform import kv as kv_client
from carobstand.standin.platform import kv, origin
from carobstand.transfer import piece_stream
from testing import platform_fleet as fleets
from testing import virtual_time, weight_builders
from testing.test_platform_weights import (
    by_seeder_rank,
    run_with_agents,
    versions,
)


def test_the_rest_of_a_copy_is_received_after_the_origin_was_lost():
    # Both sides kept only the pieces of the newest version and began anew.
    async def check(fleet):
        backend_server = fleet.engines["i-1"]
        fleet.origin.bytes_per_s = 3_000.0
        fleets.name_version(fleet, 2)
        await fleets.until(
            lambda: backend_server.staged.get(4) == origin.piece(fleet.origin, 2, 4)
        )
        fleet.origin.is_down = True
        fleets.name_version(fleet, 3)
        await fleets.until(lambda: fleet.origin.newest == 3)
        fleet.origin.is_down = False
        await fleets.until(lambda: versions(fleet) == {3}, 20)
        assert all(sent <= 1 for sent in fleet.origin.sent.values())

    run_with_agents(check)


def test_a_third_version_named_before_the_second_is_complete_is_loaded():
    async def check(fleet):
        fleet.origin.bytes_per_s = 5_000.0
        for version in (2, 3, 4):
            fleets.name_version(fleet, version)
        await fleets.until(lambda: versions(fleet) == {4}, 20)

    run_with_agents(check)


def test_copies_outlive_the_entries_that_hold_them():
    # The origin is down and all entries are replaced: only agents hold the copy.
    async def check(fleet):
        fleets.name_version(fleet, 2)
        await fleets.until(lambda: versions(fleet) == {2}, 12)
        fleet.origin.is_down = True
        for vm in ("entry-1", "entry-2"):
            await fleets.stop(fleet, vm)
            kv.remove(fleet.store, f"carobstand/entries/{vm}")
        await fleets.add_entry(fleet, "entry-3")
        backend_server = await fleets.add_engine(fleet, "i-9", version=None)
        await fleets.add_agent(fleet, backend_server, "side-9")
        await fleets.until(lambda: backend_server.version == 2, 15)

    run_with_agents(check)


def test_pieces_that_were_staged_long_before_the_load_are_repaired():
    async def check(fleet):
        backend_server = fleet.engines["i-1"]
        fleet.origin.bytes_per_s = 3_000.0
        fleets.name_version(fleet, 2)
        wanted = origin.piece(fleet.origin, 2, 0)
        await fleets.until(lambda: backend_server.staged.get(0) == wanted)
        fleet.origin.is_down = True
        backend_server.staged[0] = b"rotten"
        fleets.name_version(fleet, 3)
        fleet.origin.is_down = False
        await fleets.until(lambda: versions(fleet) == {3}, 20)
        assert not backend_server.corrupt_loads

    run_with_agents(check, engines=1)


def test_piece_numbers_survive_the_wire():
    for numbers in ((), (0,), (7, 8), range(96)):
        raw = piece_stream.encode_numbers(numbers)
        assert piece_stream.decode_numbers(raw, 96) == set(numbers)
    assert piece_stream.decode_numbers(b"\xff\xff", 3) == {0, 1, 2}


def test_an_older_copy_is_not_loaded_while_the_newest_is_expected_in_time():
    # Without a manifest of version 3 yet, version 2 was the only copy to stage.
    async def check():
        state = weight_builders.agent_view(serving=1, named=(2, 3))
        stage = loading.Stage()
        weight_builders.add_copy(state, 2)
        assert loading._next_copy(state, stage) is None
        copy = weight_builders.add_copy(state, 3)
        assert loading._next_copy(state, stage) is copy

    virtual_time.run(check)


def test_no_older_version_is_ordered_if_a_request_was_queued_since_the_poll():
    # The request would begin on version 2 after the load, possibly after its end.
    async def ordered(waiting):
        state = weight_builders.agent_view(serving=1, named=(2, 3))
        copy = weight_builders.add_copy(state, 2)
        bounds = state.deployment.bounds
        await anyio.sleep(bounds.version_s + load_schedule.ORDER_DELAY_S)
        later = named_versions.SeenVersion(3, anyio.current_time() - 5.0)
        state.named["m"][1] = later
        fresh = attrs.evolve(state.report, waiting=waiting)
        load = mock.AsyncMock(return_value=409)
        with mock.patch.multiple(
            engine_client,
            fetch_report=mock.AsyncMock(return_value=fresh),
            load_staged=load,
        ):
            await loading._order_load(state, copy, math.inf)
        return load.await_count

    async def check():
        assert await ordered(waiting=0) == 1
        assert await ordered(waiting=1) == 0

    virtual_time.run(check)


def test_loads_are_spread_though_the_store_fails_when_the_first_piece_is_staged():
    # No agent knew another engine, so that all loaded at the same moment.
    async def check(fleet):
        fleet.origin.bytes_per_s = 20_000.0
        fleets.name_version(fleet, 2)
        await fleets.until(lambda: fleet.origin.sent)
        fleet.store.mode = "reset"
        loaded = {}

        def all_loaded():
            for server_id, backend_server in fleet.engines.items():
                if backend_server.version == 2:
                    loaded.setdefault(server_id, anyio.current_time())
            return len(loaded) == len(fleet.engines)

        await fleets.until(all_loaded, 12)
        assert max(loaded.values()) - min(loaded.values()) > 0.3

    run_with_agents(check, engines=4)


def test_engines_of_the_service_are_read_again_once_the_store_is_back():
    async def check():
        state = weight_builders.agent_view(serving=1, named=(2,))
        stage = loading.Stage(version=2)
        empty = kv_client.Changes(1, (), 0.0, 1)
        # The engines and the evacuation marks are read one after the other.
        answers = [errors.StoreError("down")] * 3 + [empty] * 2
        read = mock.AsyncMock(side_effect=answers)
        with mock.patch.object(kv_client, "list_prefix", read):
            with anyio.move_on_after(10.0):
                await loading._read_peers_once_per_version(state, stage)
        assert stage.peers == [] and read.await_count == 5

    virtual_time.run(check)


def test_a_piece_that_never_reads_back_right_is_not_staged_without_end():
    # The agent staged it 400 times a second beside the requests.
    async def check(fleet):
        backend_server = fleet.engines["i-1"]
        backend_server.spoilt_pieces = {3}
        fleets.name_version(fleet, 2)
        # The first one may be staged only when it is read back.
        most, counts = staging_limit.MAX_ATTEMPTS + 1, backend_server.staged_counts
        await fleets.until(lambda: counts[3] >= staging_limit.MAX_ATTEMPTS, 12)
        await anyio.sleep(staging_limit.PAUSE_S / 2)
        assert counts[3] <= most and backend_server.version == 1
        backend_server.spoilt_pieces = set()
        await fleets.until(lambda: backend_server.version == 2, 12)

    run_with_agents(check, engines=1)


def test_a_new_start_of_the_engine_ends_the_pause_after_failed_attempts():
    limit = staging_limit.StagingLimit()
    assert not staging_limit.is_paused(limit, 1, 0.0)
    staging_limit.pause(limit, 1, 10.0)
    assert staging_limit.is_paused(limit, 1, 10.0 + staging_limit.PAUSE_S - 0.1)
    assert not staging_limit.is_paused(limit, 1, 10.0 + staging_limit.PAUSE_S)
    assert not staging_limit.is_paused(limit, 2, 10.1)


def test_another_entry_downloads_while_a_lost_seeder_is_still_registered():
    # Entries waited for a frozen or killed seeder until its record lapsed after 15 s.
    async def check(fleet):
        fleet.origin.bytes_per_s = 10_000.0
        seeder, *_ = by_seeder_rank(list(fleet.entries))
        fleets.name_version(fleet, 2)
        await fleets.until(lambda: len(fleet.origin.sent) >= 3)
        await fleets.stop(fleet, seeder)
        await fleets.until(lambda: versions(fleet) == {2}, 8)

    run_with_agents(check, engines=2, entries=3)


def test_an_evacuated_engine_loads_without_delay():
    # It waited for its turn, while engines that served requests loaded before it.
    async def check(fleet):
        idle = await fleets.add_engine(fleet, "i-9", failure_domain="b")
        idle.staged = dict(fleet.engines["i-1"].staged)
        await fleets.add_agent(fleet, idle, "side-9", failure_domain="b")
        kv.write_json(fleet.store, "op/evacuate/b", {})
        await anyio.sleep(0.4)
        fleets.name_version(fleet, 2)
        await fleets.until(lambda: 2 in versions(fleet), 12)
        await anyio.sleep(0.5)
        assert idle.version == 2

    run_with_agents(check, engines=3)
