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
from carobstand.core import deployment, entry_roster, poison_parts, rendezvous
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


def spread(fwd, parts):
    """Send the evidence on some parts to all entries, in the background.

    Before and between runs of `poison_parts.run`, the others get it by their queries.
    """
    if fwd.part_tracker.tasks is not None:
        fwd.part_tracker.tasks.start_soon(send_to_all, fwd, list(parts))


async def send_to_all(fwd, parts):
    """Send the evidence on some parts to all entries."""
    own_vm = fwd.fleet.deployment.vm
    others = entry_roster.running(fwd.fleet.roster, anyio.current_time())
    for raw in _encode(fwd, parts):
        for entry in others.values():
            if entry.vm != own_vm:
                await _send(fwd, entry.address, raw)


async def _send(fwd, address, raw):
    if fwd.part_tracker.sender is not None:
        await datagram_sender.send(fwd.part_tracker.sender, address, raw)


def _own_address(fwd):
    dep = fwd.fleet.deployment
    return f"{dep.ip}:{dep.internal_ports[0]}"


def _encode(fwd, parts):
    """Return datagrams with the evidence on some parts."""
    parts = sorted(parts)
    for start in range(0, len(parts), PARTS_PER_DATAGRAM):
        chunk = parts[start : start + PARTS_PER_DATAGRAM]
        evidence = [_evidence(fwd.fleet.prompt_parts, part) for part in chunk]
        yield fleet_codec.encode(ttypes.PartReport(evidence, _own_address(fwd)))


def _evidence(state, part):
    now = anyio.current_time()
    convicted = state.convicted.get(part)
    answered_at = poison_parts.sound_at(state, part)
    return ttypes.PartEvidence(
        part=part,
        sightings=_sightings(state, part, now),
        sound_ms=_age_ms(now, answered_at) if answered_at > -math.inf else None,
        convicted_ms=_age_ms(now, convicted.at) if convicted else None,
        probes=convicted.probes if convicted else 0,
        probed_ms=_age_ms(now, convicted.probed_at) if convicted else NO_AGE_MS,
    )


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
    size = poison_parts.ID_BYTES
    crashes = [sighting.crash for sighting in item.sightings or ()]
    requests = [name for found in item.sightings or () for name in found.requests or ()]
    if len(item.part or b"") != size or any(len(name) != size for name in requests):
        raise ValueError("malformed part or request")
    if any(len(crash or b"") != 2 * size for crash in crashes):
        raise ValueError("malformed crash")
    ages = [sighting.age_ms for sighting in item.sightings or ()]
    if any(age is None or age < 0 for age in ages):
        raise ValueError("malformed age of a sighting")
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
    if poison_parts.add_conviction(state, item.part, at, crashes):
        eventlog.event(
            "part.convicted", part=item.part.hex(), crashes=None, source=peer
        )
        withdraw_unanswered(fwd, item.part)
    held = state.convicted.get(item.part)
    if held is not None and (item.probes or 0) > held.probes:
        held.probes, held.probed_at = item.probes, now - item.probed_ms / 1000


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
        state, records = fwd.fleet.prompt_parts, fwd.fleet.part_records
        for part in state.convicted.keys() & fwd.part_tracker.unanswered.keys():
            withdraw_unanswered(fwd, part)
        missing = [part for part in state.convicted if part not in records]
        outdated = [part for part in records if part not in state.convicted]
        try:
            for part in missing:
                if ranks_first(fwd, part):
                    await kv.put(fwd.fleet.store, part_records.key(part), b"{}")
                    records.add(part)
            for part in outdated:
                if ranks_first(fwd, part):
                    await kv.delete(fwd.fleet.store, part_records.key(part))
                    records.discard(part)
        except (errors.StoreError, errors.ConflictError) as exc:
            eventlog.event("part.record_failed", error=str(exc))
