"""Entries that run, by their records in the store.

Limits that hold for all entries together are divided among them. Records are an
incomplete picture: they lapse around an outage of the store though their entries run,
and an entry that has just left may have used its part of a budget.
"""

import math

import attrs

LAPSED_S = 7.0
"""Time for which an entry counts as running after its record lapsed around an outage of
the store. It finds out when it next renews its lease, and registers again."""

UNCOUNTED_PARTS = 25
UNCOUNTED_FACTOR = 4
"""Parts into which an entry that the others may not count divides a budget: so many at
least, and so many times the entries that it knows. The parts of all such entries
together stay below a quarter of the budget, if it knows all of them. With a slack of
100, the minimum allows three retries, as one stream may need when engines are full."""


@attrs.define(eq=False)
class Roster:
    """Registered entries and former ones.

    Attributes
    ----------
    entries : dict of str to core.weight_sources.Entry
        Entries with a record in the store, by VM.
    lapsed : dict of str to (core.weight_sources.Entry, float)
        Entries whose records lapsed, and until when they count as running, by VM.
    introduced : dict of str to (core.weight_sources.Entry, float)
        Entries that announced that they joined before their record was read here, and
        until when they count as running without it, by VM.
    leaving : dict of str to float
        Time at which each entry that announced a planned stop has stopped, by VM.
    removed_at : dict of str to float
        Time at which the record of each former entry was removed, by VM.
    doubtful : set of str
        Former entries that may run, as their records lapsed around an outage.
    listed_at : dict of str to float
        Time at which the record of each entry was first read, gaps of up to `LAPSED_S`
        not counted, by VM.
    """

    entries: dict = attrs.field(factory=dict)
    lapsed: dict = attrs.field(factory=dict)
    introduced: dict = attrs.field(factory=dict)
    leaving: dict = attrs.field(factory=dict)
    removed_at: dict = attrs.field(factory=dict)
    doubtful: set = attrs.field(factory=set)
    listed_at: dict = attrs.field(factory=dict)


def put(roster, vm, entry, now=-math.inf):
    """Add or update the record of an entry, which was read at `now`."""
    if vm not in roster.entries:
        roster.leaving.pop(vm, None)
        if now - roster.removed_at.get(vm, now) > LAPSED_S:
            roster.listed_at.pop(vm, None)
    roster.listed_at.setdefault(vm, now)
    roster.entries[vm] = entry
    roster.lapsed.pop(vm, None)
    roster.introduced.pop(vm, None)
    roster.removed_at.pop(vm, None)
    roster.doubtful.discard(vm)


def introduce(roster, entry, now):
    """Count an entry as running that announced itself, until its record is read."""
    if entry.vm not in roster.entries:
        roster.introduced[entry.vm] = entry, now + LAPSED_S
        roster.leaving.pop(entry.vm, None)


def remove(roster, vm, now, may_have_lapsed):
    """Remove the record of an entry.

    Parameters
    ----------
    roster : Roster
    vm : str
    now : float
    may_have_lapsed : bool
        Whether the entry may still run, as around an outage of the store.
    """
    known = roster.entries.pop(vm, None)
    if known is None:
        return
    roster.removed_at[vm] = now
    if may_have_lapsed:
        roster.lapsed[vm] = known, now + LAPSED_S
        roster.doubtful.add(vm)


def replace_all(roster, listed, now, may_have_lapsed):
    """Replace the records by those of a full read of the store, by VM."""
    for vm in [vm for vm in roster.entries if vm not in listed]:
        remove(roster, vm, now, may_have_lapsed)
    for vm, entry in listed.items():
        put(roster, vm, entry, now)


def running(roster, now):
    """Return the entries that count as running and are not leaving, by VM."""
    roster.lapsed = {vm: item for vm, item in roster.lapsed.items() if item[1] > now}
    lapsed = {vm: entry for vm, (entry, _) in roster.lapsed.items()}
    introduced = {
        vm: item[0] for vm, item in roster.introduced.items() if item[1] > now
    }
    return {
        vm: entry
        for vm, entry in {**introduced, **lapsed, **roster.entries}.items()
        if roster.leaving.get(vm, now) <= now
    }


def count_parts(roster, own_vm, now, window_s, is_in_touch):
    """Return into how many parts this entry divides a budget.

    Budgets that hold for all entries in a sliding window are divided among those that
    ran in the last `window_s` seconds. An entry that others may not have counted for as
    long, or may not count any more, takes only a small part.

    Parameters
    ----------
    roster : Roster
    own_vm : str
    now, window_s : float
    is_in_touch : bool
        Whether the lease of the own record cannot have expired unnoticed.
    """
    oldest = now - window_s
    is_known = (
        own_vm in roster.entries or roster.removed_at.get(own_vm, oldest) > oldest
    )
    _forget_former(roster, oldest, window_s)
    known = {*roster.entries, *roster.removed_at}
    is_counted = is_known and roster.listed_at.get(own_vm, now) <= oldest
    if is_counted and is_in_touch:
        return len(known)
    return max(UNCOUNTED_PARTS, UNCOUNTED_FACTOR * len(known))


def _forget_former(roster, oldest, window_s):
    """Forget former entries of which no use of a budget counts any more.

    One whose record lapsed may have used its part for another window.
    """
    roster.removed_at = {
        vm: at
        for vm, at in roster.removed_at.items()
        if at > oldest - (window_s if vm in roster.doubtful else 0.0)
    }
    roster.doubtful &= roster.removed_at.keys()
    known = {*roster.entries, *roster.removed_at}
    roster.listed_at = {vm: at for vm, at in roster.listed_at.items() if vm in known}
