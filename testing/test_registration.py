"""Tests of the record of an entry in the store while its lease lives."""

import anyio
import pytest

from carobstand import http1_calls
from carobstand.core import own_record
from carobstand.standin.platform import kv
from testing import platform_fleet, registration_faults

RESTORED_S = 4.0
"""Time within which a lost record is back: a call without an answer takes 1.5 s, and a
watch that notices a silent store 3.3 s."""

STILL_S = 1.0


def run_running(check, entries=2):
    """Run ``check(fleet)`` once some entries are registered."""

    async def scenario():
        async with platform_fleet.deployed(entries) as fleet:
            await platform_fleet.until(
                lambda: all(
                    registration_faults.is_registered(fleet, vm) for vm in fleet.entries
                )
            )
            await check(fleet)

    platform_fleet.run(scenario)


@pytest.mark.parametrize(
    "lose", registration_faults.WAYS, ids=lambda lose: lose.__name__
)
def test_a_record_that_is_missing_while_its_lease_lives_is_written_again(lose):
    """An entry without a record took itself for the only one, and granted alone."""

    async def check(fleet):
        await lose(fleet)
        await platform_fleet.until(
            lambda: all(
                registration_faults.is_registered(fleet, vm) for vm in fleet.entries
            ),
            RESTORED_S,
        )
        await anyio.sleep(STILL_S)
        assert registration_faults.is_registered(fleet)

    run_running(check)


def test_a_removal_that_is_executed_late_spares_the_record_of_the_next_process():
    """The removal at a planned stop took away what the next process had written."""

    async def check(fleet):
        fleet.store.txn_faults.append(kv.Delay(1.5))
        fleet.entries["entry-1"].leaving.set()
        await platform_fleet.until(lambda: not fleet.store.txn_faults)
        await platform_fleet.stop(fleet, "entry-1")
        key = registration_faults.key_of()
        first = fleet.store.items[key].revision
        await platform_fleet.add_entry(fleet, "entry-1", ready=False)
        await platform_fleet.until(lambda: fleet.store.items[key].revision > first)
        revision = fleet.store.items[key].revision
        await anyio.sleep(2.0)
        assert fleet.store.items[key].revision == revision

    run_running(check, 1)


def test_a_write_that_is_executed_late_brings_no_stopped_entry_back():
    """The record of a process that had stopped stood until its lease ended."""

    async def check(fleet):
        await platform_fleet.stop(fleet, "entry-1")
        kv.remove(fleet.store, registration_faults.key_of())
        fleet.store.txn_faults.append(kv.Delay(3.0))
        await platform_fleet.add_entry(fleet, "entry-1", ready=False)
        await platform_fleet.until(lambda: not fleet.store.txn_faults)
        fleet.entries["entry-1"].leaving.set()
        await anyio.sleep(3.5)
        assert not registration_faults.is_registered(fleet)

    run_running(check, 1)


def test_an_entry_that_stops_does_not_register_again():
    """A stopping entry wrote its record anew if its lease had ended."""

    async def check(fleet):
        fleet.entries["entry-1"].leaving.set()
        await platform_fleet.until(lambda: not registration_faults.is_registered(fleet))
        kv.expire(fleet.store, anyio.current_time() + 60.0)
        await anyio.sleep(STILL_S)
        assert not registration_faults.is_registered(fleet)

    run_running(check, 1)


def test_metrics_tell_that_the_record_is_missing_and_that_it_is_back():
    async def check(fleet):
        dep = fleet.entries["entry-1"].deployment
        before = await read_metrics(dep)
        await registration_faults.remove_once(fleet)
        await platform_fleet.until(
            lambda: registration_faults.is_registered(fleet), RESTORED_S
        )
        after = await read_metrics(dep)
        lost = 'carobstand_entry_records_lost_total{reason="absent"} 1'
        assert "carobstand_entry_registered{} 1" in before and lost not in before
        assert "carobstand_entry_registered{} 1" in after and lost in after

    run_running(check, 1)


async def read_metrics(dep):
    """Return the lines of an entry's metrics."""
    caller = http1_calls.Client(dep.readiness_address)
    resp = await http1_calls.call(
        caller, "GET", "/metrics", timeout_s=2.0, max_bytes=100_000
    )
    await http1_calls.close_idle(caller)
    return resp.body.decode().splitlines()


def written():
    """Return a record that was written at revision 7 of era 1 under lease 3."""
    own = own_record.OwnRecord("k", b"mine")
    own_record.begin_lease(own, 3, 1, 0.0)
    own_record.record_written(own, 7, 0.0)
    return own


@pytest.mark.parametrize(
    ("value", "lease", "revision", "era", "is_lost"),
    [
        (None, None, 6, 1, False),
        (None, None, 8, 1, True),
        (b"mine", 3, 7, 1, False),
        (b"mine", 2, 8, 1, True),
        (b"mine", None, 8, 1, False),
        (b"another", 3, 8, 1, True),
        (b"mine", 3, 4, 2, True),
        (None, None, 9, 0, False),
    ],
)
def test_a_record_counts_as_lost_by_later_news_only(
    value, lease, revision, era, is_lost
):
    """A watch returns changes that precede the write; they say nothing of it."""
    own = written()
    assert own_record.observe(own, value, lease, revision, era, 1.0) == is_lost
    assert (own.standing is own_record.Standing.OWN) != is_lost
