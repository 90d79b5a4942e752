"""Tests with real entries of the exchange of demand for an overloaded service."""

import anyio

from carobstand import eventlog
from carobstand.core import admission_shares
from testing import platform_fleet as fleets

INTERVAL_S = 0.03
"""Interval of requests; the server answers 4 at a time in 0.5 s."""


async def send_requests(fleet, tasks, vms):
    """Send requests to some entries, also after rejections of earlier ones."""

    async def send_one(vm):
        await fleets.send_request(fleet, "/s/x", entry=vm)

    for number in range(400):
        tasks.start_soon(send_one, vms[number % len(vms)])
        await anyio.sleep(INTERVAL_S)


def test_another_entry_shares_the_capacity_after_the_first_one_is_lost(monkeypatch):
    """Guards against an overload that nobody limits once an entry is lost."""
    logged = []

    def log(name, **fields):
        logged.append((name, fields))

    def overloads():
        found = [fields for name, fields in logged if name == "demand.overload"]
        return sum(fields["overloaded"] for fields in found)

    async def scenario():
        async with fleets.deployed(3) as fleet:
            await fleets.add_engine(fleet, "i-1", step_s=0.1)
            for entry in fleet.entries.values():
                await fleets.until_ready(entry)
            await anyio.sleep(fleets.CHANGE_DELAY_S)
            first, *others = admission_shares.sharing_entries("drafter", fleet.entries)
            async with anyio.create_task_group() as tg:
                tg.start_soon(send_requests, fleet, tg, others)
                await fleets.until(lambda: overloads() == 1, 8.0)
                await fleets.stop(fleet, first)
                await fleets.until(lambda: overloads() == 2, 8.0)
                tg.cancel_scope.cancel()

    monkeypatch.setattr(eventlog, "event", log)
    fleets.run(scenario, 30.0)
    unanswered = [fields for name, fields in logged if name == "demand.unanswered"]
    assert unanswered
    assert not [name for name, _ in logged if name == "datagram.malformed"]
