"""Tests of requests whose chosen server may no longer get them when they are sent."""

import anyio
import pytest

from carobstand.entry import backend_pool
from carobstand.standin.platform import kv
from testing import platform_fleet


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


@pytest.mark.parametrize(
    "change",
    [let_it_ask_for_a_pause, let_it_say_that_it_leaves, let_it_drain, let_it_vanish],
)
def test_a_request_is_withheld_if_its_server_may_not_get_it_after_it_connected(
    monkeypatch, change
):
    """Guards against sends by a choice that was right before a pause of the process."""
    acquire = backend_pool.acquire

    async def check(fleet):
        server = await platform_fleet.add_engine(fleet, "e-1", "desk")
        await platform_fleet.add_entry(fleet)
        await platform_fleet.until_usable(fleet, "e-1", "/o/x")

        async def acquire_slowly(pool, address, request_id):
            conn = await acquire(pool, address, request_id)
            monkeypatch.setattr(backend_pool, "acquire", acquire)
            await change(fleet, server)
            return conn

        monkeypatch.setattr(backend_pool, "acquire", acquire_slowly)
        answer = await platform_fleet.send_request(fleet, "/o/x", deadline_s=5.0)
        assert answer.status == 503
        assert len(server.arrivals) == 1

    async def scenario():
        async with platform_fleet.deployed(entries=0) as fleet:
            await check(fleet)

    platform_fleet.run(scenario)
