"""Evidence against requests and prompt parts that crash servers, shared by the entries.

Sightings and convictions go to all entries by UDP, and an entry with other evidence is
asked for it once a second, so that one that has started, frozen or been cut off learns
what the others know. Convictions also lie in the store and outlast all processes.
"""

import itertools
import math
import random

import anyio

from carobstand import errors, eventlog, part_records
from carobstand.core import (
    deployment,
    entry_roster,
    part_ids,
    part_state,
    part_trials,
    poison_parts,
    rendezvous,
)
from carobstand.entry import datagram_sender
from carobstand.platform import kv
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes

QUERY_INTERVAL_S = 1.0
"""Interval of queries for the evidence of another entry."""

START_QUERY_INTERVAL_S = 0.2
START_QUERIES = 10
"""The same for the first queries of a process."""

SYNC_INTERVAL_S = 1.0
"""Interval at which the records in the store are compared with the convictions."""

PARTS_PER_DATAGRAM = 6
"""Evidence of so many parts mostly fits into a datagram that is not fragmented."""

MAX_REPORTED = 60
"""Parts in one reply; those that crash servers come first."""

NO_AGE_MS = -1
MAX_AGE_MS = 2_000_000_000
"""Bounds of ages on the wire."""


def withdraw_unanswered(fwd, part):
    """Take back the requests with a part that servers have not begun to answer."""
    for scope in fwd.part_tracker.unanswered.get(part, ()):
        scope.cancel()


def log_cleared(cleared, request):
    """Log the parts that an answer cleared; `request` is None if another entry told."""
    for part in cleared:
        eventlog.event("part.cleared", part=part.hex(), request=request)


def log_convicted(part, source, crashes=None):
    """Log that requests with a part are rejected for good."""
    eventlog.event("part.convicted", part=part.hex(), crashes=crashes, source=source)


def suspend(fwd, item, part, source):
    """Act on an unproven conviction: requests with the part are trials only.

    Requests with a common part that servers are processing are left there, as they are
    the trials that settle it soonest. Few requests have a rare part, and each may end a
    server that others need.
    """
    is_rare = part_trials.is_rare(part, fwd.part_tracker.recent)
    eventlog.event(
        "part.suspended",
        part=part.hex(),
        crashes=part_state.crash_count(item),
        source=source,
        rare=is_rare,
    )
    if is_rare:
        withdraw_unanswered(fwd, part)


def spread(fwd, parts, ended=False):
    """Send the evidence on some parts to all entries, in the background.

    Before and between runs of `poison_parts.run`, the others get it by their queries.
    `ended` also tells that a trial of this entry has ended.
    """
    if fwd.part_tracker.tasks is not None:
        fwd.part_tracker.tasks.start_soon(send_to_all, fwd, list(parts), ended)


async def send_to_all(fwd, parts, ended=False):
    """Send the evidence on some parts to all entries."""
    own_vm = fwd.fleet.deployment.vm
    others = entry_roster.running(fwd.fleet.roster, anyio.current_time())
    for raw in _encode(fwd, parts, ended):
        for entry in others.values():
            if entry.vm != own_vm:
                await _send(fwd, entry.address, raw)


async def _send(fwd, address, raw):
    if fwd.part_tracker.sender is not None:
        await datagram_sender.send(fwd.part_tracker.sender, address, raw)


def _own_address(fwd):
    dep = fwd.fleet.deployment
    return f"{dep.ip}:{dep.internal_ports[0]}"


def _encode(fwd, parts, ended=False):
    """Return datagrams with the evidence on some parts."""
    parts = sorted(parts)
    for start in range(0, len(parts), PARTS_PER_DATAGRAM):
        chunk = parts[start : start + PARTS_PER_DATAGRAM]
        evidence = [_evidence(fwd, part, ended) for part in chunk]
        yield fleet_codec.encode(ttypes.PartReport(evidence, _own_address(fwd)))


def _evidence(fwd, part, ended):
    state, now = fwd.fleet.prompt_parts, anyio.current_time()
    convicted = state.convicted.get(part)
    answered_at = poison_parts.sound_at(state, part)
    found = ttypes.PartEvidence(
        part=part,
        sightings=_sightings(state, part, now),
        sound_ms=_age_ms(now, answered_at) if answered_at > -math.inf else None,
        probes=0,
        probed_ms=NO_AGE_MS,
    )
    if convicted:
        own_vm = fwd.fleet.deployment.vm
        _describe_conviction(found, convicted, own_vm, ended, now)
    return found


def _describe_conviction(found, item, own_vm, ended, now):
    """Add to a `PartEvidence` what this entry knows of a conviction and its trials."""
    found.convicted_ms = _age_ms(now, item.at)
    found.probes, found.probed_ms = item.probes, _age_ms(now, item.probed_at)
    found.is_proven, found.crashes = item.is_proven, part_state.crash_count(item)
    found.failures, found.late_trials = item.failures, item.late_trials
    if item.common is not None:
        found.common = sorted(item.common)
    # Others tell of their own trials; what is relayed might have ended meanwhile.
    if item.trial is not None and item.trial.vm == own_vm:
        found.trier, found.trial_ms = own_vm, _age_ms(now, item.trial.began_at)
    elif ended:
        found.trier, found.trial_ms = own_vm, NO_AGE_MS


def _sightings(state, part, now):
    if part in state.convicted:
        crashes = sorted(state.convicted[part].crashes)
        return [ttypes.PartSighting(crash, [], 0) for crash in crashes]
    return [
        ttypes.PartSighting(crash, sorted(item.requests), _age_ms(now, item.at))
        for crash, item in state.suspects.get(part, {}).items()
    ]


def _age_ms(now, at):
    return int(min(MAX_AGE_MS, max(0.0, now - at) * 1000))


async def query_others(fwd):
    """Ask one other entry after the other for evidence that this one lacks."""
    for number in itertools.count():
        is_starting = number < START_QUERIES
        await anyio.sleep(START_QUERY_INTERVAL_S if is_starting else QUERY_INTERVAL_S)
        now = anyio.current_time()
        state = fwd.fleet.prompt_parts
        for part in poison_parts.drop_expired(state, now):
            eventlog.event("part.cleared", part=part.hex(), request=None)
        others = entry_roster.running(fwd.fleet.roster, now)
        others.pop(fwd.fleet.deployment.vm, None)
        if others:
            entry = random.choice(list(others.values()))
            query = ttypes.PartQuery(poison_parts.summary(state), _own_address(fwd))
            await _send(fwd, entry.address, fleet_codec.encode(query))


def on_query(fwd, message, peer):
    """Send the evidence of this entry to one that has other evidence."""
    state = fwd.fleet.prompt_parts
    address = _checked_address(message.address, peer)
    if address is None or message.summary == poison_parts.summary(state):
        return
    parts = [*state.convicted, *reversed(state.suspects)][:MAX_REPORTED]
    _reply(fwd, address, parts)


def _reply(fwd, address, parts):
    async def send():
        for raw in _encode(fwd, parts):
            await _send(fwd, address, raw)

    if parts and fwd.part_tracker.tasks is not None:
        fwd.part_tracker.tasks.start_soon(send)


def _checked_address(address, peer):
    try:
        host, port = deployment.split_address(address or "")
        if host and 0 < port < 65536:
            return address
        reason = f"address {address!r}"
    except ValueError as exc:
        reason = str(exc)
    eventlog.event("datagram.malformed", peer=peer, error=reason)
    return None


def on_report(fwd, message, peer):
    """Merge the evidence of another entry; reply with what it does not know."""
    address = _checked_address(message.address, peer)
    unknown_there = []
    for item in message.parts or ():
        try:
            if _merge(fwd, item, peer):
                unknown_there.append(item.part)
        except (TypeError, ValueError) as exc:
            eventlog.event("datagram.malformed", peer=peer, error=str(exc))
    if address is not None:
        _reply(fwd, address, unknown_there)


def _check(item):
    """Raise ValueError if evidence on a part has malformed identifiers or ages."""
    size = part_ids.ID_BYTES
    crashes = [sighting.crash for sighting in item.sightings or ()]
    requests = [name for found in item.sightings or () for name in found.requests or ()]
    if len(item.part or b"") != size or any(len(name) != size for name in requests):
        raise ValueError("malformed part or request")
    if any(len(crash or b"") != 2 * size for crash in crashes):
        raise ValueError("malformed crash")
    ages = [sighting.age_ms for sighting in item.sightings or ()]
    if any(age is None or age < 0 for age in ages):
        raise ValueError("malformed age of a sighting")
    if any(len(part or b"") != size for part in item.common or ()):
        raise ValueError("malformed part of a failed trial")
    if min(item.failures or 0, item.late_trials or 0, item.crashes or 0) < 0:
        raise ValueError("malformed number of trials or crashes")
    if min(item.sound_ms or 0, item.convicted_ms or 0) < 0:
        raise ValueError("malformed age of an answer or a conviction")


def _merge(fwd, item, peer):
    """Merge evidence on one part; return whether the other entry lacks an answer."""
    _check(item)
    state, now = fwd.fleet.prompt_parts, anyio.current_time()
    answered_at = -math.inf
    if item.sound_ms is not None:
        answered_at = now - item.sound_ms / 1000
        if answered_at > poison_parts.sound_at(state, item.part):
            cleared = poison_parts.record_answer(state, [item.part], answered_at)
            log_cleared(cleared, None)
    for sighting in (item.sightings or ())[: poison_parts.MAX_CRASHES]:
        at = now - sighting.age_ms / 1000
        for request in (sighting.requests or ())[: poison_parts.MAX_REQUESTS]:
            poison_parts.add_sighting(
                state, item.part, sighting.crash, request, at, now
            )
    if item.convicted_ms is not None:
        _merge_conviction(fwd, item, now, peer)
    own_at = poison_parts.sound_at(state, item.part)
    if own_at <= answered_at:
        return False
    is_news = answered_at == -math.inf and now - own_at < poison_parts.KNOWN_SOUND_S
    is_wrong = item.convicted_ms is not None and item.part not in state.convicted
    return bool(item.sightings) and is_news or is_wrong


def _merge_conviction(fwd, item, now, peer):
    state = fwd.fleet.prompt_parts
    crashes = [sighting.crash for sighting in item.sightings or ()]
    at = now - item.convicted_ms / 1000
    known = state.convicted.get(item.part)
    was_proven = known is not None and known.is_proven
    # Entries of earlier versions convicted by proof only, and do not say so.
    is_proven = item.is_proven is not False
    is_new = poison_parts.add_conviction(
        state, item.part, at, crashes, is_proven, item.crashes or 0
    )
    held = state.convicted.get(item.part)
    if held is None:
        return
    if held.is_proven and not was_proven:
        log_convicted(item.part, peer)
        withdraw_unanswered(fwd, item.part)
    elif is_new:
        suspend(fwd, held, item.part, peer)
    if (item.probes or 0) > held.probes:
        held.probes, held.probed_at = item.probes, now - item.probed_ms / 1000
    _merge_trials(held, item, now)


def _merge_trials(held, item, now):
    """Merge what another entry tells of the trials of an unproven conviction."""
    held.late_trials = max(held.late_trials, item.late_trials or 0)
    if (item.failures or 0) > held.failures:
        held.failures, held.common = item.failures, frozenset(item.common or ())
    if held.is_proven or not item.trier or item.trial_ms is None:
        return
    if item.trial_ms >= 0:
        trial = part_trials.Trial(item.trier, now - item.trial_ms / 1000)
        part_trials.note_other(held, trial, precedence(item.part))
    elif held.trial is not None and held.trial.vm == item.trier:
        held.trial, held.tried_at = None, now


def precedence(part):
    """Return the order of two entries that announced a trial of a part at once."""

    def precedes(vm, other):
        return rendezvous.score(part.hex(), vm) < rendezvous.score(part.hex(), other)

    return precedes


def ranks_first(fwd, part):
    """Whether this entry is the one that probes a part and writes its record."""
    running = entry_roster.running(fwd.fleet.roster, anyio.current_time())
    names = {*running, fwd.fleet.deployment.vm}
    first = min(names, key=lambda vm: rendezvous.score(part.hex(), vm))
    return first == fwd.fleet.deployment.vm


async def sync_records(fwd):
    """Keep the records in the store equal to the convictions of this entry."""
    while True:
        await anyio.sleep(SYNC_INTERVAL_S)
        state, now = fwd.fleet.prompt_parts, anyio.current_time()
        for part in state.convicted.keys() & fwd.part_tracker.unanswered.keys():
            if state.convicted[part].is_proven:
                withdraw_unanswered(fwd, part)
        wanted = {
            part: part_records.encode(item)
            for part, item in state.convicted.items()
            if item.is_proven or now - item.at >= SYNC_INTERVAL_S
        }
        try:
            await _write_records(fwd, wanted)
            await _remove_records(fwd)
        except (errors.StoreError, errors.ConflictError) as exc:
            # After a conflict, the watch brings what another entry wrote.
            eventlog.event("part.record_failed", error=str(exc))


async def _write_records(fwd, wanted):
    """Write the records that are missing or differ, by part.

    A write on the condition of what was last seen does not bring a record back that was
    removed meanwhile, also if it is executed late.
    """
    store, records = fwd.fleet.store, fwd.fleet.part_records
    for part, value in wanted.items():
        known = records.get(part)
        if (known is not None and known.value == value) or not ranks_first(fwd, part):
            continue
        key, expected = part_records.key(part), known.revision if known else kv.ABSENT
        revision = await kv.put(store, key, value, expect=expected)
        records[part] = kv.Item(key, value, revision)


async def _remove_records(fwd):
    """Remove the records of parts that are not convicted any more."""
    state, records = fwd.fleet.prompt_parts, fwd.fleet.part_records
    for part in [part for part in records if part not in state.convicted]:
        if ranks_first(fwd, part):
            known = records[part]
            await kv.delete(fwd.fleet.store, known.key, expect=known.revision)
            records.pop(part, None)
