"""Applies items of the store, as watched or read in full, to the state of an entry."""

import anyio

from carobstand import entry_records, errors, eventlog, part_records, unreadable_records
from carobstand.core import entry_roster, poison_parts, registry
from carobstand.entry import (
    cold_servers,
    configuration_versions,
    evacuations,
    registration,
    startup,
    versions,
)
from carobstand.platform import records

LAPSE_WINDOW_S = 10.0
"""Time after the last failed store call in which a removed record may have lapsed."""


MAX_AGE_S = 1e6
"""Longest age in log lines; changes before the first read have none."""


def apply_item(fleet, item, source="read"):
    """Apply one item of the store, depending on its key.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    item : platform.kv.Item
    source : str
        How it came: ``watch``, ``read``, ``reader`` or ``entry``.
    """
    try:
        if item.key == records.CONFIGURATION_KEY:
            configuration_versions.apply(fleet, item, source)
        elif item.key.startswith(records.VERSION_PREFIX):
            versions.apply_version(fleet, item)
        elif item.key.startswith(records.SERVER_PREFIX):
            _apply_server(fleet, item)
        elif records.is_evacuation_key(item.key):
            evacuations.apply_mark(fleet, item)
        elif item.key.startswith(entry_records.PREFIX):
            _apply_entry(fleet, item)
        elif item.key.startswith(part_records.PREFIX):
            _apply_part(fleet, item)
        unreadable_records.forget(fleet.unreadable, item.key)
    except errors.RecordError as exc:
        unreadable_records.log(fleet.unreadable, item.key, exc.message)
    except Exception as exc:
        # The loop would fail again at the next reading, and apply no later change.
        eventlog.failure("record.failed", exc, key=item.key)


def _apply_server(fleet, item):
    server_id = item.key.removeprefix(records.SERVER_PREFIX)
    now = anyio.current_time()
    if item.value is None:
        grace_s, since = _lapse_grace(fleet, now), fleet.changes_since
        registry.remove(fleet.servers, server_id, now, grace_s, since)
        _note_missing(fleet, [server_id], since)
        return
    try:
        registration = records.decode_registration(item.key, item.value)
    except errors.RecordError:
        registry.remove(fleet.servers, server_id, now, 0.0)
        raise
    known = _last_registration(fleet, server_id)
    registry.put(fleet.servers, registration)
    cold_servers.note_start(fleet, server_id, registration.started_ms)
    cold_servers.note_cold_record(fleet, registration, known)
    eventlog.event(
        "server.listed",
        server=server_id,
        service=registration.service,
        ready=registration.is_ready,
        version=registration.holding and registration.holding.version,
    )


def _last_registration(fleet, server_id):
    servers = fleet.servers
    return servers.servers.get(server_id) or servers.removed.get(server_id)


def replace_servers(fleet, items):
    """Replace the registrations of servers by those of a full read."""
    listed = []
    for item in items:
        try:
            listed.append(records.decode_registration(item.key, item.value))
            unreadable_records.forget(fleet.unreadable, item.key)
        except errors.RecordError as exc:
            unreadable_records.log(fleet.unreadable, item.key, exc.message)
    if fleet.was_restored:
        listed = registry.without_outdated(fleet.servers, listed)
    now = anyio.current_time()
    before = {
        item.server_id: _last_registration(fleet, item.server_id) for item in listed
    }
    since = fleet.confirmed_at
    missing = fleet.servers.servers.keys() - {item.server_id for item in listed}
    grace_s = _lapse_grace(fleet, now)
    registry.replace_all(fleet.servers, listed, now, grace_s, since)
    _note_missing(fleet, sorted(missing), since)
    for item in listed:
        cold_servers.note_start(fleet, item.server_id, item.started_ms)
        # A record that was read before would make the server cold once more.
        if item != before[item.server_id]:
            cold_servers.note_cold_record(fleet, item, before[item.server_id])


def _note_missing(fleet, server_ids, since):
    """Log registrations that are gone, and have their servers asked if in doubt."""
    now = anyio.current_time()
    for server_id in server_ids:
        eventlog.event(
            "server.removed",
            server=server_id,
            ago_s=None if since is None else round(min(now - since, MAX_AGE_S), 3),
            lapsed=server_id in fleet.servers.lapsed,
            doubtful=registry.is_doubtful(fleet.servers, server_id, now),
        )
    if fleet.servers.lapsed:
        fleet.registrations_missing.notify()


def _lapse_grace(fleet, now):
    return registry.lapse_grace_s(fleet.deployment.bounds, now - fleet.store_failed_at)


def _apply_entry(fleet, item):
    vm = item.key.removeprefix(entry_records.PREFIX)
    if vm == fleet.deployment.vm:
        registration.observe(fleet, item, fleet.era)
    now = anyio.current_time()
    if item.value is None:
        entry_roster.remove(fleet.roster, vm, now, may_have_lapsed(fleet, now))
    else:
        entry_roster.put(fleet.roster, vm, entry_records.decode(vm, item.value), now)


def _apply_part(fleet, item):
    part = part_records.part_of(item.key)
    if item.value is None:
        # The entry that removed the record reports the reason, if there is one.
        fleet.part_records.pop(part, None)
        return
    record = part_records.decode(item.value)
    fleet.part_records[part] = item
    state, now = fleet.prompt_parts, anyio.current_time()
    if part not in state.convicted and _is_outdated(fleet, part, now):
        return
    if poison_parts.add_conviction(
        state, part, now, (), record.is_proven, record.crashes
    ):
        _log_part_record(part, record)
    known = state.convicted.get(part)
    if known is not None:
        known.late_trials = max(known.late_trials, record.late_trials)


def _log_part_record(part, record):
    name, crashes = part.hex(), record.crashes
    if record.is_proven:
        eventlog.event("part.convicted", part=name, crashes=crashes, source="store")
        return
    eventlog.event(
        "part.suspended", part=name, crashes=crashes, source="store", rare=None
    )


def _is_outdated(fleet, part, now):
    """Whether the record of a part is about a conviction that an answer has ended.

    A write that is executed late, or a restored store, may bring it back. Of a new
    conviction of an answered part, the other entries also tell with its evidence.
    """
    state = fleet.prompt_parts
    if fleet.was_restored and part in state.sound_at:
        return True
    return poison_parts.is_known_sound(state, part, now)


def replace_own_records(fleet, changes):
    """Replace what the entries wrote by the items of a full read."""
    registration.observe_all(fleet, changes.items, changes.revision, changes.era)
    fleet.part_records.clear()
    for item in changes.items:
        if item.key.startswith(part_records.PREFIX):
            apply_item(fleet, item)
    now = anyio.current_time()
    listed = startup.registered_entries(fleet, changes.items)
    entry_roster.replace_all(fleet.roster, listed, now, may_have_lapsed(fleet, now))


def may_have_lapsed(fleet, now):
    """Whether a record that was removed may have lapsed around an outage."""
    return now - fleet.store_failed_at < LAPSE_WINDOW_S
