"""Tests of the number of entries among which common limits are divided."""

import anyio

from carobstand import entry_records
from carobstand.core import entry_roster, retry_budget, weight_sources
from carobstand.entry import fleet as fleets
from carobstand.entry import forwarding, retries, store_items
from carobstand.platform import kv as store_client
from carobstand.standin.platform import kv
from testing import budget_simulation, platform_fleet, virtual_time
from testing import platform_builders as build


def registered(count):
    """Return a fleet that has long known some entries, itself being the first."""
    fleet = fleets.Fleet(build.deployment_of("1", "10.0.0.1"), store=None)
    fleet.confirmed_at = anyio.current_time()
    for number in range(1, count + 1):
        vm = str(number)
        entry = weight_sources.Entry(vm, f"10.0.0.{vm}:7700", "a", "north")
        fleet.roster.listed_at[vm] = -100.0
        _apply(fleet, vm, entry_records.encode(entry))
    return fleet


def _apply(fleet, vm, value):
    item = store_client.Item(entry_records.key(vm), value, 1)
    store_items.apply_item(fleet, item)


def running(fleet):
    """Return the VMs of the entries that count as running."""
    return set(entry_roster.running(fleet.roster, anyio.current_time()))


def forwarder(fleet):
    """Return the state of an entry that has run for a while without requests."""
    fwd = forwarding.Forwarder(fleet)
    fwd.budgets["drafter"] = retry_budget.Budget(started=-100.0)
    return fwd


def allowed_retries(fwd):
    """Return how many retries an entry allows itself now."""
    count = 0
    while retries.reserve_retry(fwd, budget_simulation.Call()):
        count += 1
    return count


def test_records_that_lapse_with_the_store_do_not_raise_the_retry_budget_of_each():
    async def scenario():
        fleet = registered(5)
        before = allowed_retries(forwarder(fleet))
        fleet.store_failed_at = anyio.current_time()
        for number in range(1, 6):
            _apply(fleet, str(number), None)
        assert allowed_retries(forwarder(fleet)) == before
        await anyio.sleep(entry_roster.LAPSED_S)
        assert running(fleet) == set()

    virtual_time.run(scenario)


def test_an_entry_that_leaves_takes_its_part_of_the_retry_budget_with_it():
    async def scenario():
        staying, leaving = registered(2), registered(2)
        bounds = staying.deployment.bounds
        fwd = forwarder(staying)
        used = allowed_retries(fwd) + allowed_retries(forwarder(leaving))
        await anyio.sleep(1.0)
        _apply(staying, "2", None)
        used += allowed_retries(fwd)
        assert used <= bounds.retry_slack
        await anyio.sleep(bounds.retry_window_s + 1.0)
        assert allowed_retries(fwd) > used / 2

    virtual_time.run(scenario)


def test_an_entry_without_a_record_does_not_take_the_whole_retry_budget():
    """Entries whose records were lost each used the slack of all."""

    async def scenario():
        fwd = forwarder(registered(0))
        slack = fwd.fleet.deployment.bounds.retry_slack
        assert 0 < allowed_retries(fwd) <= slack / 5

    virtual_time.run(scenario)


def test_an_entry_that_is_removed_while_the_store_answers_no_longer_counts():
    async def scenario():
        fleet = registered(3)
        await anyio.sleep(100.0)
        _apply(fleet, "2", None)
        assert running(fleet) == {"1", "3"}

    virtual_time.run(scenario)


def test_an_entry_that_is_removed_while_history_is_lost_no_longer_counts():
    async def scenario():
        async with platform_fleet.deployed(2) as fleet:
            key = entry_records.key("entry-2")
            await platform_fleet.until(lambda: key in fleet.store.items)
            await platform_fleet.stop(fleet, "entry-2")
            state = fleets.Fleet(
                fleet.entries["entry-1"].deployment,
                store_client.connect(fleet.store_address),
            )
            await fleets.read_all(state)
            assert "entry-2" in state.roster.entries
            kv.remove(fleet.store, key)
            kv.compact(fleet.store)
            await fleets.read_all(state)
            assert "entry-2" not in state.roster.entries

    platform_fleet.run(scenario)
