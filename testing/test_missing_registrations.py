"""Tests of servers whose registrations are missing: they left, or lapsed."""

import anyio
import pytest

from carobstand.core import registry
from carobstand.standin.platform import kv
from testing import platform_builders as build
from testing import platform_fleet, store_proxy

GRACE_S = 1.6
DRAIN_S = 2.0
SERVERS = ("i-1", "i-2", "i-3")


def missing(since, read_at=10.0):
    """Return a registry that read at 10 that a server is missing since some time."""
    state = registry.Registry()
    registry.put(state, build.registration("i-1"))
    registry.remove(state, "i-1", read_at, GRACE_S, since)
    return state


@pytest.mark.parametrize(
    ("since", "now", "is_doubtful"),
    [(9.9, 10.0, False), (9.9, 11.4, False), (9.9, 11.6, True), (8.3, 10.0, True)],
)
def test_the_grace_period_counts_from_the_earliest_possible_leaving(
    since, now, is_doubtful
):
    """It counted from the reading, and a server was used long after it had left."""
    assert registry.is_doubtful(missing(since), "i-1", now) == is_doubtful


def test_a_server_that_says_that_it_stays_is_used_for_the_rest_of_the_grace_period():
    """After an outage, entries would have no server until all register again."""
    state = missing(since=2.0)
    registry.record_staying(state, "i-1", 10.1)
    assert not registry.is_doubtful(state, "i-1", 10.2)
    assert registry.is_doubtful(state, "i-1", 10.0 + GRACE_S)
    assert registry.expire(state, 10.0 + GRACE_S) == ["i-1"]


def test_what_a_server_said_before_its_registration_went_counts():
    state = registry.Registry()
    registry.put(state, build.registration("i-1"))
    registry.record_staying(state, "i-1", 9.8)
    registry.remove(state, "i-1", 10.0, GRACE_S, since=2.0)
    assert not registry.is_doubtful(state, "i-1", 11.3)
    assert registry.is_doubtful(state, "i-1", 11.4)


def test_a_server_that_registers_again_is_not_in_doubt():
    state = missing(since=2.0)
    registry.put(state, build.registration("i-1"))
    assert not registry.is_doubtful(state, "i-1", 10.1)


async def add_entries(fleet, count, proxied=()):
    """Start entries; some reach the store through a proxy of their own."""
    proxies = {}
    for number in range(count):
        vm, changes = f"entry-{number + 1}", {}
        if vm in proxied:
            proxies[vm] = store_proxy.Proxy(fleet.store_address)
            address = f"{platform_fleet.new_host()}:{fleet.port + 18}"
            fleet.tasks.start_soon(store_proxy.serve, proxies[vm], address)
            await platform_fleet.wait_bound(address)
            changes["store_address"] = address
        await platform_fleet.add_entry(fleet, vm, **changes)
    return proxies


async def add_servers(fleet):
    for server_id in SERVERS:
        found = await platform_fleet.add_engine(fleet, server_id, "desk", slots=50)
        found.announces_leaving = False


async def send(fleet, vm):
    answer = await platform_fleet.send_request(fleet, "/q/x", entry=vm)
    assert answer.status == 200


def leave(fleet, server_id):
    """Have a server leave that never reports that it drains."""
    fleet.engines[server_id].announces_leaving = True
    fleet.engines[server_id].is_draining = True
    kv.remove(fleet.store, f"servers/{server_id}")


def test_a_server_that_left_while_the_watch_was_silent_gets_no_requests():
    """It was used for 1.6 s after the entry had read its leaving, which was late."""

    async def scenario():
        async with platform_fleet.deployed(0) as fleet:
            await add_servers(fleet)
            names = ["entry-1", "entry-2"]
            proxies = await add_entries(fleet, 2, proxied=names)
            await anyio.sleep(3.0)
            for vm in names:
                await platform_fleet.send_request(fleet, "/q/x", entry=vm)
            for proxy in proxies.values():
                store_proxy.silence(proxy)
            await anyio.sleep(1.0)
            leave(fleet, "i-1")
            left_at = anyio.current_time()
            await anyio.sleep(DRAIN_S + 0.05)
            async with anyio.create_task_group() as tg:
                for number in range(60):
                    vm = names[number % 2]
                    tg.start_soon(send, fleet, vm)
                    await anyio.sleep(0.05)
            late = [
                item.at - left_at
                for item in fleet.engines["i-1"].arrivals
                if item.at > left_at + DRAIN_S
            ]
            assert late == []

    platform_fleet.run(scenario, timeout_s=40.0)


def test_servers_are_used_while_their_lapsed_registrations_are_missing():
    """They lapse while the store is away, and are back within two seconds."""

    async def scenario():
        async with platform_fleet.deployed(0) as fleet:
            await add_servers(fleet)
            await add_entries(fleet, 2)
            await anyio.sleep(3.0)
            records = {
                key: fleet.store.items[f"servers/{key}"].value for key in SERVERS
            }
            fleet.store.mode = "silent"
            for server_id in SERVERS:
                kv.remove(fleet.store, f"servers/{server_id}")
            await anyio.sleep(4.5)
            fleet.store.mode = "up"
            answers = []
            for number in range(50):
                vm = f"entry-{number % 2 + 1}"
                answers.append(
                    await platform_fleet.send_request(fleet, "/p/x", entry=vm)
                )
                await anyio.sleep(0.05)
                if number == 25:
                    for key, value in records.items():
                        kv.write(fleet.store, f"servers/{key}", value)
            assert [answer.status for answer in answers] == [200] * len(answers)

    platform_fleet.run(scenario, timeout_s=40.0)
