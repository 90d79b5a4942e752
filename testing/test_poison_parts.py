"""Guards against prompt parts that crash the backend servers that answer on them."""

import contextlib

import anyio
import pytest

from testing import part_traffic, platform_fleet

CONTACT_S = 3.0
FREE_CRASHES = 5
MAX_LATER_REQUESTS = 3
DOWN_S = 1.0


@contextlib.asynccontextmanager
async def fleet_with_deadly_part(entries, engines=6):
    """Run entries and engines that a part of prompts crashes; yield the fleet."""
    async with platform_fleet.deployed(entries) as fleet:
        for number in range(engines):
            found = await platform_fleet.add_engine(
                fleet, f"i-{number + 1}", poison_part=part_traffic.DEADLY
            )
            platform_fleet.restart_crashed(fleet, found, DOWN_S)
        for entry in fleet.entries.values():
            await platform_fleet.until_ready(entry)
        await anyio.sleep(platform_fleet.CHANGE_DELAY_S)
        yield fleet


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
