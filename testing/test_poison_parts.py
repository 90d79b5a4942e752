"""Guards against prompt parts that crash the backend servers that answer on them."""

import contextlib
import os
import random
import signal

import anyio
import pytest

from carobstand.core import part_trials
from carobstand.core import poison_parts as core_parts
from carobstand.entry import part_evidence, rejections
from carobstand.standin.platform import engine, kv
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes
from testing import entry_processes, part_traffic, platform_fleet

REJECTED = rejections.POISON_STATUS
SEEDS = int(os.environ.get("CAROBSTAND_SEEDS", "2"))
"""Number of seeds of the longer scenario; more are run by hand."""

CONTACT_S = 3.0
FREE_CRASHES = 5
MAX_LATER_REQUESTS = 3
DOWN_S = 1.0
CONVICTED_S = 6.0
"""Time in which some ten requests with the deadly part come: two raise the suspicion,
and a trial proves it."""

QUICK_CALM_S = 0.5
"""Time without a crash after which a trial follows where a test begins with a convicted
part."""


@contextlib.asynccontextmanager
async def fleet_with_deadly_part(entries, engines=6):
    """Run entries and engines that a part of prompts crashes; yield the fleet."""
    async with platform_fleet.deployed(entries) as fleet:
        await add_engines(fleet, engines)
        for entry in fleet.entries.values():
            await platform_fleet.until_ready(entry)
        await anyio.sleep(platform_fleet.CHANGE_DELAY_S)
        yield fleet


async def add_engines(fleet, count):
    """Add engines that a part of prompts crashes."""
    for number in range(count):
        found = await platform_fleet.add_engine(
            fleet, f"i-{number + 1}", poison_part=part_traffic.DEADLY
        )
        platform_fleet.restart_crashed(fleet, found, DOWN_S)


def check_deadly_part(fleet):
    """Check that few requests with the deadly part reach servers after five crashes."""
    crashes = part_traffic.crash_times(fleet)
    assert crashes
    if len(crashes) >= FREE_CRASHES:
        after = crashes[FREE_CRASHES - 1] + CONTACT_S
        later = part_traffic.deadly_arrivals(fleet, after)
        assert len(later) <= MAX_LATER_REQUESTS


def sound_share(traffic, start, end):
    """Return the share of sound requests sent between two times that were served."""
    sound = [
        item for item in traffic.sent if not item.is_deadly and start <= item.at < end
    ]
    assert len(sound) >= 20
    return sum(item.status == 200 for item in sound) / len(sound)


@pytest.mark.parametrize("entries", [1, 5])
def test_a_part_that_crashed_five_servers_reaches_three_more_at_most(entries):
    async def scenario():
        async with fleet_with_deadly_part(entries) as fleet:
            traffic = part_traffic.Traffic(list(fleet.entries))
            await part_traffic.send(fleet, traffic, 8.0)
            check_deadly_part(fleet)
            crashes = part_traffic.crash_times(fleet)[:FREE_CRASHES]
            start = min(crashes[-1] + 2 * CONTACT_S, traffic.sent[-1].at - 1.0)
            assert sound_share(traffic, start, start + 10.0) >= 0.9

    platform_fleet.run(scenario, timeout_s=30.0)


@pytest.fixture
def quick_trials(monkeypatch):
    """Have rare parts tried soon, so that a part is convicted within `CONVICTED_S`."""
    monkeypatch.setattr(part_trials, "RARE_CALM_S", QUICK_CALM_S)


def run_convicted(check, entries=3, timeout_s=40.0):
    """Run ``check(fleet, traffic)`` once a part is convicted at all entries.

    To be used with `quick_trials`.
    """

    async def scenario():
        async with fleet_with_deadly_part(entries) as fleet:
            traffic = part_traffic.Traffic(list(fleet.entries))
            await part_traffic.send(fleet, traffic, CONVICTED_S)
            assert await rejecting_entries(fleet, traffic) == list(fleet.entries)
            await check(fleet, traffic)

    platform_fleet.run(scenario, timeout_s)


async def rejecting_entries(fleet, traffic):
    """Return the entries that reject a request with the deadly part."""
    found = []
    for number, entry in enumerate(fleet.entries):
        parts = (part_traffic.SHARED[0], part_traffic.DEADLY, f"c{number}")
        result = await part_traffic.send_one(fleet, traffic, entry, parts)
        if result.status == REJECTED:
            assert "retry-after" not in result.headers
            assert result.took_s < 0.5
            found.append(entry)
    return found


async def check_entry_rejects(fleet, traffic, entry):
    """Check that an entry sends no request with the deadly part."""
    before = len(part_traffic.deadly_arrivals(fleet, 0.0))
    parts = (part_traffic.SHARED[1], part_traffic.DEADLY, "d1")
    result = await part_traffic.send_one(fleet, traffic, entry, parts)
    assert result.status == REJECTED
    assert len(part_traffic.deadly_arrivals(fleet, 0.0)) == before


def test_an_entry_that_starts_later_rejects_a_convicted_part(quick_trials):
    async def check(fleet, traffic):
        await platform_fleet.add_entry(fleet, "entry-9")
        await check_entry_rejects(fleet, traffic, "entry-9")

    run_convicted(check)


def test_an_entry_that_starts_without_the_record_learns_of_a_convicted_part(
    quick_trials,
):
    async def check(fleet, traffic):
        for key in [key for key in fleet.store.items if "/parts/" in key]:
            del fleet.store.items[key]
        await platform_fleet.add_entry(fleet, "entry-9")
        await anyio.sleep(1.0)
        await check_entry_rejects(fleet, traffic, "entry-9")

    run_convicted(check)


def test_a_convicted_part_is_rejected_after_all_entries_have_restarted(quick_trials):
    async def check(fleet, traffic):
        await anyio.sleep(1.5)
        names = list(fleet.entries)
        for vm in names:
            await platform_fleet.stop(fleet, vm)
        for vm in names:
            await platform_fleet.add_entry(fleet, vm)
            await check_entry_rejects(fleet, traffic, vm)

    run_convicted(check)


def test_a_deadly_part_is_convicted_while_the_store_is_away(quick_trials):
    async def scenario():
        async with fleet_with_deadly_part(3) as fleet:
            traffic = part_traffic.Traffic(list(fleet.entries), deadly_share=0.0)
            await part_traffic.send(fleet, traffic, 0.5)
            await platform_fleet.stop(fleet, "store")
            traffic.deadly_share = 0.15
            await part_traffic.send(fleet, traffic, 2.5)
            await platform_fleet.start_server(
                fleet, kv.server(fleet.store), fleet.store_address, "store"
            )
            await part_traffic.send(fleet, traffic, 3.0)
            assert len(part_traffic.crash_times(fleet)) <= FREE_CRASHES
            assert await rejecting_entries(fleet, traffic) == list(fleet.entries)
            assert any("/parts/" in key for key in fleet.store.items)

    platform_fleet.run(scenario, timeout_s=30.0)


def test_an_entry_that_heard_nothing_learns_of_a_convicted_part(
    monkeypatch, quick_trials
):
    send = part_evidence._send

    async def scenario():
        async with fleet_with_deadly_part(3) as fleet:
            lost = fleet.entries["entry-3"].deployment

            async def drop(fwd, address, raw):
                if fwd.fleet.deployment.vm == lost.vm or address.startswith(lost.ip):
                    return
                await send(fwd, address, raw)

            monkeypatch.setattr(part_evidence, "_send", drop)
            monkeypatch.setattr(part_evidence.kv, "put", no_write)
            traffic = part_traffic.Traffic(["entry-1", "entry-2"])
            await part_traffic.send(fleet, traffic, CONVICTED_S)
            assert await rejecting_entries(fleet, traffic) == ["entry-1", "entry-2"]
            monkeypatch.setattr(part_evidence, "_send", send)
            await anyio.sleep(2 * part_evidence.QUERY_INTERVAL_S)
            await check_entry_rejects(fleet, traffic, "entry-3")

    async def no_write(*args, **options):
        """Write nothing."""

    platform_fleet.run(scenario, timeout_s=30.0)


def test_a_frozen_entry_process_rejects_a_part_convicted_meanwhile(tmp_path):
    vms = ["entry-1", "entry-2", "entry-3"]

    async def scenario():
        async with platform_fleet.deployed(0) as fleet:
            await add_engines(fleet, 6)
            async with entry_processes.started(fleet, vms, tmp_path) as processes:
                await anyio.sleep(platform_fleet.CHANGE_DELAY_S)
                processes["entry-3"].send_signal(signal.SIGSTOP)
                traffic = part_traffic.Traffic(["entry-1", "entry-2"])
                # The processes try a rare part after 10 s without a crash.
                calm_s = part_trials.RARE_CALM_S
                await part_traffic.send(fleet, traffic, calm_s + CONVICTED_S)
                processes["entry-3"].send_signal(signal.SIGCONT)
                await anyio.sleep(1.0)
                await check_entry_rejects(fleet, traffic, "entry-3")
                assert await rejecting_entries(fleet, traffic) == vms

    platform_fleet.run(scenario, timeout_s=40.0)


def test_servers_that_end_for_other_causes_convict_no_part():
    async def scenario():
        async with fleet_with_deadly_part(3) as fleet:
            traffic = part_traffic.Traffic(list(fleet.entries), deadly_share=0.0)
            traffic.rare_parts = 40
            async with anyio.create_task_group() as tg:
                tg.start_soon(part_traffic.send, fleet, traffic, 8.0)
                for turn in range(6):
                    await anyio.sleep(1.2)
                    engines = list(fleet.engines.values())
                    for ended in engines[:3] if turn % 2 else engines[turn : turn + 1]:
                        engine.crash(ended)
            assert REJECTED not in {item.status for item in traffic.sent}
            assert not any("/parts/" in key for key in fleet.store.items)

    platform_fleet.run(scenario, timeout_s=30.0)


def test_a_part_that_no_longer_crashes_servers_is_served_after_a_probe(
    monkeypatch, quick_trials
):
    async def check(fleet, traffic):
        monkeypatch.setattr(core_parts, "PROBE_DELAYS_S", (1.0, 600.0))
        for backend_server in fleet.engines.values():
            backend_server.poison_part = None
        await anyio.sleep(1.0)
        assert await rejecting_entries(fleet, traffic) != list(fleet.entries)
        await anyio.sleep(0.5)
        assert await rejecting_entries(fleet, traffic) == []
        await anyio.sleep(1.0)
        assert not any("/parts/" in key for key in fleet.store.items)

    run_convicted(check)


def test_malformed_evidence_changes_nothing(quick_trials):
    async def check(fleet, traffic):
        dep = fleet.entries["entry-1"].deployment
        messages = [
            ttypes.PartQuery(b"", "nowhere"),
            ttypes.PartQuery(None, "127.0.0.1:99999"),
            ttypes.PartReport([], None),
            ttypes.PartReport([ttypes.PartEvidence()], "127.0.0.1:1"),
            ttypes.PartReport([ttypes.PartEvidence(b"x" * 8)], "127.0.0.1:1"),
            ttypes.PartReport(
                [ttypes.PartEvidence(b"x" * 8, [ttypes.PartSighting()])], "127.0.0.1:1"
            ),
        ]
        for crash, requests in ((None, []), (b"short", []), (b"c" * 16, [b"r"])):
            evidence = ttypes.PartEvidence(
                b"y" * 8, [ttypes.PartSighting(crash, requests, 0)], convicted_ms=0
            )
            messages.append(ttypes.PartReport([evidence], "127.0.0.1:1"))
        async with await anyio.create_udp_socket(local_host="127.0.0.1") as udp:
            for message in messages:
                raw = fleet_codec.encode(message)
                await udp.sendto(raw, dep.ip, dep.internal_ports[0])
        await anyio.sleep(0.2)
        assert await rejecting_entries(fleet, traffic) == list(fleet.entries)
        parts = (part_traffic.SHARED[0], "e1")
        result = await part_traffic.send_one(fleet, traffic, "entry-1", parts)
        assert result.status == 200
        await anyio.sleep(1.5 * part_evidence.SYNC_INTERVAL_S)
        assert not any((b"y" * 8).hex() in key for key in fleet.store.items)

    run_convicted(check)


async def disturb(fleet, traffic, rng):
    """Restart entries and end engines at random, in series that overlap."""
    while True:
        await anyio.sleep(rng.uniform(0.2, 1.5))
        if rng.random() < 0.4:
            engine.crash(rng.choice(list(fleet.engines.values())))
            continue
        vm = rng.choice(list(fleet.entries))
        traffic.entries = [item for item in traffic.entries if item != vm]
        await platform_fleet.stop(fleet, vm)
        await anyio.sleep(rng.uniform(0.0, 0.5))
        await platform_fleet.add_entry(fleet, vm)
        traffic.restarted.append((vm, anyio.current_time()))
        traffic.entries = [*traffic.entries, vm]


@pytest.mark.parametrize("seed", range(SEEDS))
def test_few_deadly_requests_reach_servers_whatever_else_ends(seed):
    rng = random.Random(seed)

    async def scenario():
        async with fleet_with_deadly_part(rng.randint(2, 6)) as fleet:
            traffic = part_traffic.Traffic(list(fleet.entries), rng=rng)
            traffic.deadly_share = rng.choice((0.03, 0.1, 0.3))
            traffic.rare_parts = rng.choice((0, 40))
            async with anyio.create_task_group() as tg:
                tg.start_soon(disturb, fleet, traffic, rng)
                await part_traffic.send(fleet, traffic, 9.0)
                tg.cancel_scope.cancel()
            crashes = part_traffic.deadly_crashes(fleet)
            if len(crashes) >= FREE_CRASHES:
                after = crashes[FREE_CRASHES - 1] + CONTACT_S
                later = part_traffic.deadly_arrivals(fleet, after)
                in_touch = [
                    item
                    for item in later
                    if not any(
                        vm == item.sender and 0 <= item.at - at < CONTACT_S
                        for vm, at in traffic.restarted
                    )
                ]
                assert len(in_touch) <= MAX_LATER_REQUESTS
            rejected = [item for item in traffic.sent if item.status == REJECTED]
            assert all(item.is_deadly for item in rejected)

    platform_fleet.run(scenario, timeout_s=60.0)
