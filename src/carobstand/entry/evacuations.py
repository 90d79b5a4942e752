"""Evacuation marks of an entry: applies them, and logs what became of each."""

import anyio

from carobstand import errors, eventlog, unreadable_records
from carobstand.core import evacuation
from carobstand.entry import cold_servers
from carobstand.platform import records


def apply_mark(fleet, item):
    """Apply an evacuation mark that was written, or removed, in the store."""
    failure_domain = records.decode_evacuation_key(item.key)
    if item.value is not None:
        if evacuation.put(fleet.evacuation_marks, failure_domain, item.revision):
            _note_mark(fleet, evacuation.Change.APPLIED, failure_domain)
    elif evacuation.remove(fleet.evacuation_marks, failure_domain):
        note_evacuation_revoked(fleet, failure_domain)


def replace_marks(fleet, read, told, is_restored):
    """Replace the evacuation marks by those of a full read.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    read : platform.kv.Changes
        The operators' items.
    told : list of entry.change_relay.Told
        Items of other entries.
    is_restored : bool
        Whether the store came back from a copy since the last read.
    """
    now = anyio.current_time()
    found = {}
    for item in read.items:
        failure_domain = _marked_domain(fleet.unreadable, item)
        if failure_domain is not None:
            found[failure_domain] = item.revision
    known = [mark for answer in told for mark in _marks_told(answer, read.era)]
    changes = evacuation.learn(fleet.evacuation_marks, known, found, now)
    changes += evacuation.replace(fleet.evacuation_marks, found, is_restored, now)
    for change, failure_domain in changes:
        _note_mark(fleet, change, failure_domain)


def _marked_domain(unreadable, item):
    """Return the failure domain that an item marks, or None."""
    if not records.is_evacuation_key(item.key):
        return None
    try:
        return records.decode_evacuation_key(item.key)
    except errors.RecordError as exc:
        unreadable_records.log(unreadable, item.key, exc.message)
        return None


def _marks_told(answer, era):
    """Return what another entry tells of a mark, as a list of at most one item.

    A mark that it has from the same era of the store would be in the store if it were
    still in force: this process reads the store itself.
    """
    # Others are asked only once the store was restored, so this is logged each time.
    failure_domain = _marked_domain(unreadable_records.Unreadable(), answer.item)
    is_removed = answer.item.value is None
    is_outdated = not is_removed and answer.since is None and answer.era == era
    if failure_domain is None or is_outdated:
        return []
    return [
        evacuation.Told(
            failure_domain=failure_domain,
            revision=answer.item.revision,
            is_removed=is_removed,
            since=answer.since,
        )
    ]


def settle_marks(fleet):
    """Give up what a restored store contradicts and operators did not repeat."""
    changes = evacuation.settle(
        fleet.evacuation_marks,
        fleet.confirmed_at,
        fleet.store_failed_at,
        fleet.deployment.bounds,
    )
    for change, failure_domain in changes:
        _note_mark(fleet, change, failure_domain)


def _note_mark(fleet, change, failure_domain):
    """Log what became of an evacuation mark."""
    if change is evacuation.Change.REVOKED:
        return note_evacuation_revoked(fleet, failure_domain)
    eventlog.event(
        "evacuation.changed",
        failure_domain=failure_domain,
        change=change.value,
        is_known=failure_domain in fleet.deployment.regions,
        servers=_count_servers(fleet, failure_domain),
    )


def note_evacuation_revoked(fleet, failure_domain):
    """Record that servers of a failure domain may get requests again from now on.

    Called once for each evacuation that ends here, whether its mark was removed or a
    restored store did not show it again in time.
    """
    eventlog.event(
        "evacuation.revoked",
        failure_domain=failure_domain,
        servers=_count_servers(fleet, failure_domain),
    )
    # They are usually cold, and registrations tell so with a delay.
    servers = fleet.servers.servers.values()
    returned = [
        server.server_id
        for server in servers
        if server.failure_domain == failure_domain
    ]
    cold_servers.mark_cold(fleet, returned, "evacuation")


def _count_servers(fleet, failure_domain):
    servers = fleet.servers.servers.values()
    return sum(server.failure_domain == failure_domain for server in servers)
