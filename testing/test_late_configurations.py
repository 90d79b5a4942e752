"""Tests of entries whose copy of the configuration is behind the store's."""

import anyio
import pytest

from carobstand.core import deployment
from carobstand.entry import fleet as fleets
from carobstand.platform import kv
from testing import platform_builders as build
from testing import platform_fleet, store_proxy

BOUNDS = deployment.Bounds()


async def start_proxy(fleet):
    """Serve a proxy before the store; return it and its address."""
    proxy = store_proxy.Proxy(fleet.store_address)
    address = f"{platform_fleet.new_host()}:{fleet.port + 18}"
    fleet.tasks.start_soon(store_proxy.serve, proxy, address)
    await platform_fleet.wait_bound(address)
    return proxy, address


async def keep_connections(store, count):
    """Leave some idle connections to the store in the pool of its client."""
    async with anyio.create_task_group() as tg:
        for _ in range(count):
            tg.start_soon(kv.get, store, "op/config")


async def next_watch(store):
    """Wait until a watch begins that waits for its full time."""
    for _ in range(2):
        known = store.calls["watch"]
        await platform_fleet.until(lambda known=known: store.calls["watch"] > known)


@pytest.mark.parametrize("kept", [0, 3])
def test_a_change_is_in_force_soon_after_the_connections_of_a_watch_went_silent(kept):
    """The watch, then each kept connection, was given up after a time-out of its own.

    Entries have to know all changes once they are in touch with the store again.
    """

    async def scenario():
        async with platform_fleet.deployed(0) as fleet:
            proxy, address = await start_proxy(fleet)
            dep = platform_fleet.build_deployment(
                fleet, "entry-1", store_address=address
            )
            state = fleets.Fleet(dep, kv.connect(address))
            fleet.tasks.start_soon(fleets.observe, state)
            await platform_fleet.until(lambda: state.first_read_at is not None)
            await keep_connections(state.store, kept)
            await next_watch(state.store)
            store_proxy.silence(proxy)
            silent_at = anyio.current_time()
            platform_fleet.configure(fleet)
            version = fleet.configuration["version"]
            while state.configuration.version < version:
                await anyio.sleep(0.01)
            assert anyio.current_time() - silent_at < BOUNDS.contact_s

    platform_fleet.run(scenario)


async def statuses_of_unknown(fleet):
    """Return the answers to a request without a route, and to one with a wrong key."""
    return [
        await platform_fleet.send_request(fleet, "/none/x"),
        await platform_fleet.send_request(fleet, "/q/x", key="unknown"),
    ]


def test_nothing_is_denied_by_a_configuration_that_may_be_outdated():
    """Requests that a newer version allows got 404 and 401, which are never retried."""

    async def scenario():
        async with platform_fleet.deployed(1) as fleet:
            await platform_fleet.add_engine(fleet, "i-1", "desk")
            await platform_fleet.until_usable(fleet, "i-1", "/q/x")
            await platform_fleet.stop(fleet, "store")
            await anyio.sleep(BOUNDS.apply_s)
            answers = await statuses_of_unknown(fleet)
            assert [answer.status for answer in answers] == [503, 503]
            assert all(float(answer.headers["retry-after"]) > 0 for answer in answers)
            known = await platform_fleet.send_request(fleet, "/q/x")
            assert known.status == 200

    platform_fleet.run(scenario)


def test_a_request_is_not_too_large_for_good_by_limits_that_may_be_outdated():
    """Requests within the limits of a newer version got 413, which is never retried."""

    async def scenario():
        async with platform_fleet.deployed(1) as fleet:
            await platform_fleet.add_engine(fleet, "i-1", "desk")
            await platform_fleet.until_usable(fleet, "i-1", "/q/x")
            body = b"x" * (fleet.configuration["limits"]["max_body_bytes"] + 1)
            answer = await platform_fleet.send_request(fleet, "/q/x", body=body)
            assert answer.status == 413
            await platform_fleet.stop(fleet, "store")
            await anyio.sleep(BOUNDS.apply_s)
            answer = await platform_fleet.send_request(fleet, "/q/x", body=body)
            assert answer.status == 503 and float(answer.headers["retry-after"]) > 0

    platform_fleet.run(scenario)


def test_unknown_routes_and_keys_are_denied_at_once_while_the_store_answers():
    """Guards against refusals that are held back, or never final, in calm."""

    async def scenario():
        async with platform_fleet.deployed(1) as fleet:
            await platform_fleet.add_engine(fleet, "i-1", "desk")
            await platform_fleet.until_usable(fleet, "i-1", "/q/x")
            route = build.route_record(name="n", prefix="/n/", service="desk")
            for number in range(50):
                if number in (10, 12, 14, 30):
                    platform_fleet.configure(fleet, routes=[route])
                first, _ = answers = await statuses_of_unknown(fleet)
                assert first.status == 404 and answers[1].status in (401, 404)
                await anyio.sleep(0.1)

    platform_fleet.run(scenario)
