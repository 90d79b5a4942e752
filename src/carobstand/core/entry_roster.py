"""Entries that run, by their records in the store.

Limits that hold for all entries together are divided among them. Records are an
incomplete picture: they lapse around an outage of the store though their entries run,
and an entry that has just left may have used its part of a budget.
"""

import attrs

LAPSED_S = 7.0
"""Time for which an entry counts as running after its record lapsed around an outage of
the store. It finds out when it next renews its lease, and registers again."""

ASSUMED_ENTRIES = 10
"""Entries among which an entry divides a budget while its own record is missing."""


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
    """

    entries: dict = attrs.field(factory=dict)
    lapsed: dict = attrs.field(factory=dict)
    introduced: dict = attrs.field(factory=dict)
    leaving: dict = attrs.field(factory=dict)
    removed_at: dict = attrs.field(factory=dict)


def put(roster, vm, entry):
    """Add or update the record of an entry."""
    if vm not in roster.entries:
        roster.leaving.pop(vm, None)
    roster.entries[vm] = entry
    roster.lapsed.pop(vm, None)
    roster.introduced.pop(vm, None)
    roster.removed_at.pop(vm, None)


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


def replace_all(roster, listed, now, may_have_lapsed):
    """Replace the records by those of a full read of the store, by VM."""
    for vm in [vm for vm in roster.entries if vm not in listed]:
        remove(roster, vm, now, may_have_lapsed)
    for vm, entry in listed.items():
        put(roster, vm, entry)


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


def count_within(roster, own_vm, now, window_s):
    """Return among how many entries a budget is divided.

    Budgets that hold for all entries in a sliding window are divided among those that
    ran in the last `window_s` seconds. If this one is not among them, others may be
    missing too, and at least `ASSUMED_ENTRIES` are assumed.
    """
    oldest = now - window_s
    roster.removed_at = {vm: at for vm, at in roster.removed_at.items() if at > oldest}
    known = {*roster.entries, *roster.removed_at}
    if own_vm in known:
        return len(known)
    return max(len(known) + 1, ASSUMED_ENTRIES)
