"""Tests of requests whose chosen server may no longer get them when they are sent."""

import time

import anyio
import attrs
import pytest

from carobstand.core import deployment
from carobstand.entry import backend_pool
from carobstand.standin.platform import kv
from testing import platform_fleet

DEADLINE_S = 0.5
VERSION_S = 1.0


async def let_it_ask_for_a_pause(fleet, server):
    server.fault, server.faults_left, server.retry_delay_s = "shed", 1, 5.0
    await platform_fleet.send_request(fleet, "/o/x")


async def let_it_say_that_it_leaves(fleet, server):
    server.announces_leaving = True
    await platform_fleet.send_request(fleet, "/o/x")


async def let_it_drain(fleet, server):
    await platform_fleet.send_request(fleet, "/o/x")
    server.is_draining = True
    platform_fleet.engine.register(server, fleet.store)
    await anyio.sleep(2 * platform_fleet.CHANGE_DELAY_S)


async def let_it_vanish(fleet, server):
    await platform_fleet.send_request(fleet, "/o/x")
    kv.remove(fleet.store, f"servers/{server.server_id}")
    await anyio.sleep(2 * platform_fleet.CHANGE_DELAY_S)


async def let_its_weights_end(fleet, server):
    await platform_fleet.send_request(fleet, "/s/x")
    platform_fleet.name_version(fleet, 2)
    await anyio.sleep(VERSION_S + platform_fleet.CHANGE_DELAY_S)


@pytest.mark.parametrize(
    "change, path",
    [
        (let_it_ask_for_a_pause, "/o/x"),
        (let_it_say_that_it_leaves, "/o/x"),
        (let_it_drain, "/o/x"),
        (let_it_vanish, "/o/x"),
        (let_its_weights_end, "/s/x"),
    ],
)
def test_a_request_is_withheld_if_its_server_may_not_get_it_after_it_connected(
    monkeypatch, change, path
):
    """Guards against sends by a choice that was right before a pause of the process."""
    acquire = backend_pool.acquire

    async def check(fleet):
        bounds = attrs.evolve(deployment.Bounds(), version_s=VERSION_S)
        service = "drafter" if path == "/s/x" else "desk"
        server = await platform_fleet.add_engine(fleet, "e-1", service)
        await platform_fleet.add_entry(fleet, bounds=bounds)
        await platform_fleet.until_usable(fleet, "e-1", path)

        async def acquire_slowly(pool, address, request_id):
            conn = await acquire(pool, address, request_id)
            monkeypatch.setattr(backend_pool, "acquire", acquire)
            await change(fleet, server)
            return conn

        monkeypatch.setattr(backend_pool, "acquire", acquire_slowly)
        answer = await platform_fleet.send_request(fleet, path, deadline_s=5.0)
        assert answer.status == 503
        assert len(server.arrivals) == 1

    async def scenario():
        async with platform_fleet.deployed(entries=0) as fleet:
            await check(fleet)

    platform_fleet.run(scenario)


def test_a_request_is_not_sent_after_its_deadline_passed_while_the_loop_paused(
    monkeypatch,
):
    """Guards against runs that are broken off at once, as the timer is served later."""
    acquire = backend_pool.acquire

    async def check(fleet):
        server = await platform_fleet.add_engine(fleet, "e-1", "desk")
        await platform_fleet.until_usable(fleet, "e-1", "/o/x")

        async def acquire_slowly(pool, address, request_id):
            conn = await acquire(pool, address, request_id)
            time.sleep(DEADLINE_S)
            return conn

        monkeypatch.setattr(backend_pool, "acquire", acquire_slowly)
        answer = await platform_fleet.send_request(fleet, "/o/x", deadline_s=DEADLINE_S)
        assert answer.status == 503
        assert not server.arrivals

    async def scenario():
        async with platform_fleet.deployed() as fleet:
            await check(fleet)

    platform_fleet.run(scenario)
