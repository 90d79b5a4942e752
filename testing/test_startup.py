"""Tests of how processes that start obtain the configuration.

Guards against a region whose processes all read a large configuration over its narrow
link after a loss of power, which kept them without one for many seconds.
"""

from contextlib import nullcontext

import anyio
import pytest

from carobstand.core import read_order, weight_sources
from carobstand.platform import kv, records
from carobstand.standin.platform import kv as kv_standin
from testing import platform_fleet, test_evacuation

RECORD = "carobstand/entries/"


def entry(vm, region="north"):
    return weight_sources.Entry(vm, f"10.0.0.{vm[1:]}:1", "a", region)


def test_one_entry_of_a_region_reads_at_once_and_the_others_step_by_step():
    entries = [entry(f"e{number}") for number in range(1, 8)] + [entry("e9", "south")]
    plans = {me.vm: read_order.plan(entries, me) for me in entries}
    waits = sorted(plan.wait_s for vm, plan in plans.items() if vm != "e9")
    steps = [read_order.STEP_S * rank for rank in range(7)]
    assert waits == [min(read_order.MAX_WAIT_S, step) for step in steps]
    assert plans["e9"].wait_s == 0
    first = next(vm for vm, plan in plans.items() if not plan.wait_s and vm != "e9")
    for vm, plan in plans.items():
        if vm not in (first, "e9"):
            assert plan.others[0].vm == first


@pytest.fixture
def reads(monkeypatch):
    """Reads of the store by prefix, and whether they include the configuration."""
    found = []
    list_prefix = kv.list_prefix

    async def recorded(store, prefix, *, start_after="", **options):
        found.append((prefix, not start_after))
        return await list_prefix(store, prefix, start_after=start_after, **options)

    monkeypatch.setattr(kv, "list_prefix", recorded)
    return found


def configuration_reads(reads):
    prefixes = (records.OPERATOR_PREFIX, records.CONFIGURATION_KEY)
    return sum(prefix in prefixes and whole for prefix, whole in reads)


async def lose_entries(fleet, have_expired=False):
    """End all entries; their records outlive them in the store, or have expired."""
    kept = {key: i for key, i in fleet.store.items.items() if key.startswith(RECORD)}
    deployments = [item.deployment for item in fleet.entries.values()]
    for vm in list(fleet.entries):
        await platform_fleet.stop(fleet, vm)
    fleet.store.items.update(kept)
    if have_expired:
        for key in kept:
            kv_standin.remove(fleet.store, key)
    return deployments


async def start_again(fleet, dep):
    """Start an entry at its earlier address, without waiting until it is ready."""
    await platform_fleet.add_entry(
        fleet, dep.vm, ready=False, ip=dep.ip, region=dep.region
    )


def run_with_entries(test, count):
    async def scenario():
        async with platform_fleet.deployed(entries=count) as fleet:
            await platform_fleet.add_engine(fleet, "i-1", service="desk")
            for item in fleet.entries.values():
                await platform_fleet.until_ready(item)
            await platform_fleet.until(
                lambda: (
                    sum(key.startswith(RECORD) for key in fleet.store.items) == count
                )
            )
            await test(fleet)

    platform_fleet.run(scenario, timeout_s=30.0)


def test_a_configuration_crosses_the_link_once_when_all_entries_start_again(reads):
    async def test(fleet):
        deployments = await lose_entries(fleet)
        reads.clear()
        for dep in deployments:
            await start_again(fleet, dep)
        for item in fleet.entries.values():
            await platform_fleet.until_ready(item)
        assert configuration_reads(reads) == 1
        answer = await platform_fleet.send_request(fleet, "/q/", entry="entry-1")
        assert answer.status == 200

    run_with_entries(test, 5)


@pytest.mark.parametrize("is_store_down", [False, True])
def test_a_configuration_crosses_the_link_once_if_all_records_have_expired(
    monkeypatch, reads, is_store_down
):
    """Guards against a common read after an outage longer than the leases.

    The first list of entries precedes their registration, which takes more round trips.
    """
    grant_lease = kv.grant_lease

    async def grant_slowly(store, ttl_s):
        await anyio.sleep(0.15)
        return await grant_lease(store, ttl_s)

    async def test(fleet):
        deployments = await lose_entries(fleet, have_expired=True)
        monkeypatch.setattr(kv, "grant_lease", grant_slowly)
        outage = test_evacuation.away(fleet) if is_store_down else nullcontext()
        async with outage, anyio.create_task_group() as tg:
            reads.clear()
            for dep in deployments:
                tg.start_soon(start_again, fleet, dep)
            tg.start_soon(anyio.sleep, 1.0 if is_store_down else 0.0)
        for item in fleet.entries.values():
            await platform_fleet.until_ready(item)
        assert configuration_reads(reads) == 1

    run_with_entries(test, 5)


def test_a_change_after_the_relayed_configuration_is_not_missed(reads):
    async def test(fleet):
        engine = fleet.engines["i-1"]
        deployments = await lose_entries(fleet)
        for dep in deployments:
            await start_again(fleet, dep)
        platform_fleet.configure(fleet, tenants=[{"name": "new", "api_keys": ["k9"]}])
        for vm, item in fleet.entries.items():
            await platform_fleet.until_ready(item)
            with anyio.fail_after(5.0):
                while True:
                    answer = await platform_fleet.send_request(
                        fleet, "/q/", entry=vm, key="k9"
                    )
                    if answer.status == 200:
                        break
                    await anyio.sleep(0.05)
            answer = await platform_fleet.send_request(fleet, "/q/", entry=vm, key="k1")
            assert answer.status == 401
        assert engine.runs

    run_with_entries(test, 4)


def test_entries_read_the_store_if_the_first_ones_do_not_come_back(reads):
    async def test(fleet):
        deployments = await lose_entries(fleet)
        entries = [
            weight_sources.Entry(dep.vm, f"{dep.ip}:{dep.internal_ports[0]}", "a", "n")
            for dep in deployments
        ]
        me = [attributes for attributes in entries if attributes.vm == "entry-1"][0]
        ranked = read_order.plan(entries, me).others
        last = deployments[[dep.vm for dep in deployments].index(ranked[-1].vm)]
        reads.clear()
        await start_again(fleet, last)
        await platform_fleet.until_ready(fleet.entries[last.vm])
        assert configuration_reads(reads) == 1

    run_with_entries(test, 3)


def test_agents_get_the_services_from_entries(reads):
    async def test(fleet):
        engine = await platform_fleet.add_engine(fleet, "i-2")
        await platform_fleet.until_ready(fleet.entries["entry-1"])
        reads.clear()
        await platform_fleet.add_agent(fleet, engine)
        platform_fleet.name_version(fleet, 2)
        await platform_fleet.until(lambda: engine.version == 2, timeout_s=15.0)
        assert not configuration_reads(reads)

    run_with_entries(test, 1)


def test_the_services_of_a_configuration_are_a_configuration():
    raw = (
        b'{"version":7,"routes":[{"host":"h"}],"services":[{"name":"s"}],"tenants":[]}'
    )
    found = records.decode_configuration(records.services_only(raw))
    assert found.version == 7
    assert list(found.services) == ["s"]
    assert not found.routes
