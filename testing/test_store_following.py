"""Tests of an entry that reads the store for itself or others, in virtual time."""

import random

import anyio
import pytest

from carobstand import entry_records, errors
from carobstand.core import change_feed, weight_sources
from carobstand.entry import configuration_versions, weight_fetching
from carobstand.entry import fleet as fleets
from carobstand.platform import kv
from testing import platform_builders as build
from testing import virtual_time

CALL_S = 0.02
"""Time of a store call beyond its wait."""


def reader_of(entries):
    """Return the VM that reads the store for some entries of its region."""
    me = entries[0]
    found = change_feed.reader(change_feed.ChangeFeed(), entries, me, 0.0)
    return (found or me).vm


def follow(monkeypatch, change_times, duration_s, observe, entries=1, joining=None):
    """Call ``observe(fleet)`` all the time while a store changes at given times.

    The last change is the record of the entry `joining`, if one is given.

    Returns
    -------
    calls : int
        Number of watches.
    """
    calls = []
    records = [
        weight_sources.Entry(f"e{number}", f"10.0.0.{number}:1", "a", "north")
        for number in range(1, entries + 1)
    ]

    def change(number):
        if joining is None or number + 1 < len(change_times):
            return kv.Item(f"other/{number}", b"{}", number + 1)
        record = entry_records.encode(joining)
        return kv.Item(entry_records.key(joining.vm), record, number + 1)

    async def watch(store, prefix, revision, wait_s):
        calls.append(wait_s)
        end = anyio.current_time() + wait_s
        upcoming = change_times[revision:]
        if not upcoming or upcoming[0] > end:
            await anyio.sleep_until(end + CALL_S)
            return kv.Changes(revision, (), anyio.current_time())
        await anyio.sleep_until(upcoming[0])
        now = anyio.current_time()
        made = sum(at <= now for at in change_times)
        items = tuple(change(number) for number in range(revision, made))
        await anyio.sleep(CALL_S)
        return kv.Changes(made, items, anyio.current_time())

    async def list_prefix(store, prefix, **options):
        await anyio.sleep(CALL_S)
        found = ()
        if prefix == fleets.SYSTEM_PREFIX:
            found = tuple(
                kv.Item(entry_records.key(item.vm), entry_records.encode(item), 0)
                for item in records
            )
        return kv.Changes(0, found, anyio.current_time())

    async def ask_for_newer(entry, version):
        return []

    async def ask(address, services_only):
        raise errors.ConnectionClosedError("no such entry", step="news.ask")

    async def run():
        monkeypatch.setattr(fleets.startup.relayed_configuration, "ask", ask)
        monkeypatch.setattr(fleets.change_relay, "ask_for_newer", ask_for_newer)
        monkeypatch.setattr(kv, "watch", watch)
        monkeypatch.setattr(kv, "list_prefix", list_prefix)
        dep = build.deployment_of(reader_of(records), "10.0.0.1")
        fleet = fleets.Fleet(dep, store=None)
        async with anyio.create_task_group() as tg:
            tg.start_soon(fleets.observe, fleet)
            # An entry that is not the first in its region's order waits for others.
            with anyio.fail_after(7.0):
                while fleet.first_read_at is None:
                    await fleet.changed.wait(1.0)
            while anyio.current_time() < duration_s:
                observe(fleet)
                await anyio.sleep(0.05)
            tg.cancel_scope.cancel()

    virtual_time.run(run)
    return len(calls)


def check_keys(fleet):
    """Check that the API keys count as current."""
    assert fleets.are_keys_current(fleet, anyio.current_time())


def check_denials(fleet):
    """Check that requests that the configuration does not allow can be denied."""
    assert configuration_versions.may_deny(fleet, anyio.current_time())


def check_news(fleet):
    """Check that other entries accept what this one read for them."""
    bounds = fleet.deployment.bounds
    max_age_s = change_feed.MAX_AGE_SHARE * min(bounds.apply_s, bounds.drain_s)
    assert anyio.current_time() - fleet.confirmed_at <= max_age_s


@pytest.mark.parametrize("gap_s", [0.3, 0.9, 1.2, 1.4, 2.4, 4.0])
def test_keys_stay_current_while_changes_end_watches_early(monkeypatch, gap_s):
    times = [1.0 + gap_s * number for number in range(8)]
    follow(monkeypatch, times, 40.0, check_keys)


@pytest.mark.parametrize("seed", range(5))
def test_keys_stay_current_while_changes_come_at_random(monkeypatch, seed):
    draw = random.Random(seed)
    times = sorted(draw.uniform(0.5, 300.0) for _ in range(150))
    calls = follow(monkeypatch, times, 300.0, check_keys)
    assert calls <= 150 + 2 * 300.0 / fleets.WATCH_WAIT_S


@pytest.mark.parametrize("entries", [1, 5])
@pytest.mark.parametrize("seed", range(5))
def test_denials_stay_final_while_changes_come_at_random(monkeypatch, seed, entries):
    """Guards against 503 for unknown routes while the store answers."""
    draw = random.Random(seed)
    times = sorted(draw.uniform(0.5, 300.0) for _ in range(150))
    follow(monkeypatch, times, 300.0, check_denials, entries=entries)


@pytest.mark.parametrize("seed", range(5))
def test_news_of_a_reader_stay_recent_while_changes_come_at_random(monkeypatch, seed):
    draw = random.Random(seed)
    times = sorted(draw.uniform(0.5, 300.0) for _ in range(150))
    follow(monkeypatch, times, 300.0, check_news, entries=5)


def test_an_entry_that_registers_during_a_pause_is_known_before_a_download(monkeypatch):
    """Guards against two downloads of a copy by entries that start together."""
    joining = weight_sources.Entry("e9", "10.0.0.9:1", "a", "north")
    known = []

    def observe(fleet):
        if anyio.current_time() >= weight_fetching.entries_known_at(fleet):
            known.append("e9" in fleet.roster.entries)

    follow(monkeypatch, [0.15, 0.30], 1.0, observe, joining=joining)
    assert known and all(known)
