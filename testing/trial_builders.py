"""Evidence and engines for tests of suspected prompt parts."""

import contextlib

import anyio

from carobstand.core import part_ids, poison_parts
from testing import platform_fleet

DOWN_S = 0.5
"""Time after a crash at which an engine is back."""


def crash(number, address=None):
    """Return the id of a crash of a server, one of its own unless it is named."""
    return part_ids.crash_id(address or f"10.0.0.{number}:80", f"s/{number}")


def lose(state, part, number, at, request=None, address=None):
    """Record that a request with a part was lost at a crash."""
    request = part_ids.digest(request or f"r{number}")
    return poison_parts.add_sighting(
        state, part, crash(number, address), request, at, at
    )


def set_step_s(fleet, step_s):
    """Set the time that engines take to their first event and between events."""
    for backend_server in fleet.engines.values():
        backend_server.step_s = step_s


@contextlib.asynccontextmanager
async def fleet_of_engines(entries, slow_s, engines=6):
    """Run entries and engines that answer `slow_s` late and come back from crashes."""
    async with platform_fleet.deployed(entries) as fleet:
        for number in range(engines):
            found = await platform_fleet.add_engine(
                fleet, f"i-{number + 1}", step_s=slow_s, slots=60
            )
            platform_fleet.restart_crashed(fleet, found, DOWN_S)
        for entry in fleet.entries.values():
            await platform_fleet.until_ready(entry)
        await anyio.sleep(platform_fleet.CHANGE_DELAY_S)
        yield fleet
