"""Reads the operators' items at the start of an entry.

The configuration comes from another entry of the region if possible. The other items
are small and are read from the store, which also tells what the configuration lacks:
changes after the revision of the entry that passed it on are read by the next watch.
"""

import random

import anyio
import attrs

from carobstand import entry_records, errors, eventlog, unreadable_records
from carobstand.core import read_order, weight_sources
from carobstand.entry import registration
from carobstand.platform import kv, records
from carobstand.transfer import relayed_configuration

RETRY_S = 0.2
"""Pause before other entries are asked again."""

FIRST_ROUND_S = 0.5
"""Shortest limit of the time for questions. An entry that restarts alone finds the
configuration at others even if it is the first to read it from the store."""

ASKED_AT_ONCE = 2
"""Entries that are asked at a time."""

MAX_AGE_SHARE = 0.8
"""Maximum age of a relayed configuration, as a share of the time within which changes
must take effect. Watches of other entries last nearly as long; the first watch of this
one, right after its start, returns what is missing."""


@attrs.frozen
class OperatorItems:
    """Operators' items as read, and up to when they are complete.

    Attributes
    ----------
    changes : platform.kv.Changes
    confirmed_at : float
        Time up to which no change is missing.
    """

    changes: kv.Changes
    confirmed_at: float


async def read_operator_items(fleet, entries, may_have_lapsed=False):
    """Return the `OperatorItems` for an entry that knows none yet.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    entries : dict of str to core.weight_sources.Entry
        Registered entries by VM.
    may_have_lapsed : bool
        Whether the store was down until shortly before, so that records of entries may
        have lapsed that are written again now.
    """
    me = weight_sources.entry_from_deployment(fleet.deployment)
    entries = await _settled(fleet, entries, me, may_have_lapsed)
    plan = read_order.plan(entries.values(), me)
    bounds = fleet.deployment.bounds
    max_age_s = MAX_AGE_SHARE * min(bounds.apply_s, bounds.drain_s)
    relayed = await _ask_others(plan, max_age_s)
    sent_at = anyio.current_time()
    if relayed is not None:
        rest = await kv.list_prefix(
            fleet.store,
            records.OPERATOR_PREFIX,
            start_after=records.CONFIGURATION_KEY,
        )
        if rest.era == relayed.era:
            eventlog.event("configuration.relayed", revision=relayed.revision)
            return _joined(rest, relayed, sent_at)
    found = await kv.list_prefix(fleet.store, records.OPERATOR_PREFIX)
    return OperatorItems(found, sent_at)


async def _settled(fleet, entries, me, may_have_lapsed):
    """Return the registered entries after those that start now had time to register."""
    retry_s = registration.RETRY_S if may_have_lapsed else 0.0
    wait_s = read_order.settle_s(entries.values(), me, retry_s)
    if not wait_s:
        return entries
    await anyio.sleep(wait_s)
    listed = await kv.list_prefix(fleet.store, entry_records.PREFIX)
    found = registered_entries(fleet, listed.items)
    eventlog.event("entries.settled", waited_s=wait_s, entries=len(found))
    return found


def _joined(rest, relayed, sent_at):
    changes = attrs.evolve(
        rest,
        items=(relayed.item, *rest.items),
        revision=min(rest.revision, relayed.revision),
    )
    return OperatorItems(changes, min(sent_at, relayed.confirmed_at))


async def _ask_others(plan, max_age_s):
    """Return the `Relayed` configuration of another entry, or None in time."""
    with anyio.move_on_after(max(plan.wait_s, FIRST_ROUND_S)):
        return await _ask_in_turn(plan, max_age_s)
    return None


async def _ask_in_turn(plan, max_age_s):
    """Ask the entries that read it first, and others that may have it from before."""
    until = anyio.current_time() + plan.wait_s
    first, others = plan.others[:ASKED_AT_ONCE], plan.others[ASKED_AT_ONCE:]
    while plan.others:
        sample = random.sample(others, min(len(others), ASKED_AT_ONCE))
        for asked in (first, sample):
            relayed = await _first_reply(asked, max_age_s)
            if relayed is not None:
                return relayed
        if anyio.current_time() >= until:
            break
        await anyio.sleep(RETRY_S)
    return None


async def _first_reply(entries, max_age_s):
    """Return the first usable configuration of some entries, or None."""
    found = []

    async def ask(entry):
        relayed = await _ask(entry)
        if relayed is None or found:
            return
        if anyio.current_time() - relayed.confirmed_at > max_age_s:
            # That entry may have missed changes that are in force by now.
            return
        found.append(relayed)
        tg.cancel_scope.cancel()

    async with anyio.create_task_group() as tg:
        for entry in entries:
            tg.start_soon(ask, entry)
    return found[0] if found else None


async def _ask(entry):
    try:
        return await relayed_configuration.ask(entry.address, services_only=False)
    except errors.CarobstandError as exc:
        eventlog.event("entry.not_asked", entry=entry.vm, error=str(exc))
        return None


def registered_entries(fleet, items):
    """Return the readable records of entries among some items, by VM."""
    listed = {}
    for item in items:
        if not item.key.startswith(entry_records.PREFIX):
            continue
        vm = item.key.removeprefix(entry_records.PREFIX)
        try:
            listed[vm] = entry_records.decode(vm, item.value)
            unreadable_records.forget(fleet.unreadable, item.key)
        except errors.RecordError as exc:
            unreadable_records.log(fleet.unreadable, item.key, exc.message)
    return listed
