"""Evidence against prompt parts that crash servers, shared between the entries.

Sightings and convictions go to all entries by UDP, and an entry with other evidence is
asked for it once a second, so that one that has started, frozen or been cut off learns
what the others know. Convictions also lie in the store and outlast all processes.
"""

import contextlib
import itertools
import math
import random

import anyio
import attrs

from carobstand import errors, eventlog, http1, part_records, signals
from carobstand.core import deployment, entry_roster, poison_parts, rendezvous
from carobstand.platform import kv
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes

CHECK_INTERVAL_S = 0.05
"""Interval of checks of servers that closed connections of unanswered requests."""

CONNECT_TIMEOUT_S = 0.3
"""A server that has ended refuses connections at once; one that is cut off does not."""

RESTART_S = 5.0
"""Time within which a new start of a server shows that it had ended."""

SETTLE_S = 0.1
"""Time in which other entries report answers to requests with the same parts."""

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


@attrs.define(eq=False)
class LostRequest:
    """A request whose server closed the connection before its answer began.

    Attributes
    ----------
    server : core.registry.Registration
    started_ms : int
        Start of the server in Unix milliseconds, 0 if not known.
    parts : tuple of bytes
        Parts of its prompt that it may share with others.
    request : bytes
        Identifies it among requests with the same parts.
    at : float
    checked : anyio.Event
        Set once it is known whether the server refuses connections.
    is_crash : bool
        Whether the server has ended.
    """

    server: object
    started_ms: int
    parts: tuple
    request: bytes
    at: float
    checked: anyio.Event = attrs.field(factory=anyio.Event)
    is_crash: bool = False


@attrs.define(eq=False)
class Tracker:
    """Requests in progress and lost ones, as far as their parts matter.

    Attributes
    ----------
    lost : list of LostRequest
    unanswered : dict of bytes to set of anyio.CancelScope
        Scopes of the attempts whose answer has not begun, by part.
    wake : signals.Signal
        Notified when a request was lost.
    tasks : anyio.abc.TaskGroup or None
    udp : anyio.abc.UDPSocket or None
        Both None until `run` has started.
    """

    lost: list = attrs.field(factory=list)
    unanswered: dict = attrs.field(factory=dict)
    wake: signals.Signal = attrs.field(factory=signals.Signal)
    tasks: object = None
    udp: object = None


async def run(fwd):
    """Check lost requests and share evidence until cancelled."""
    tracker = fwd.part_tracker
    async with (
        await anyio.create_udp_socket(local_host=fwd.fleet.deployment.ip) as udp,
        anyio.create_task_group() as tg,
    ):
        tracker.udp, tracker.tasks = udp, tg
        tg.start_soon(_query_others, fwd)
        tg.start_soon(_sync_records, fwd)
        while True:
            if not tracker.lost:
                await tracker.wake.wait(QUERY_INTERVAL_S)
                continue
            await _check_lost(fwd)
            await anyio.sleep(CHECK_INTERVAL_S)


def is_rejected(fwd, call):
    """Return whether a part of the prompt is convicted, so that it must not be sent.

    One entry sends a single request in a long while, to find wrong convictions.
    """
    state = fwd.fleet.prompt_parts
    now = anyio.current_time()
    part = poison_parts.convicted_part(state, call.parts, now)
    call.is_probe = False
    if part is None:
        return False
    if _ranks_first(fwd, part) and poison_parts.may_probe(state, call.parts, now):
        call.is_probe = True
        return False
    return True


def record_sent(fwd, call):
    """Record that a request is sent; one with a convicted part is a probe."""
    if not call.is_probe:
        return
    poison_parts.record_probe(fwd.fleet.prompt_parts, call.parts, anyio.current_time())
    eventlog.event("part.probed", request=call.req.request_id)
    _spread(fwd, call.parts)


@contextlib.contextmanager
def unanswered(fwd, call):
    """Yield a scope that is cancelled if a part of the request is convicted."""
    held = fwd.part_tracker.unanswered
    with anyio.CancelScope() as scope:
        for part in call.parts if not call.is_probe else ():
            held.setdefault(part, set()).add(scope)
        try:
            yield scope
        finally:
            for part in call.parts:
                scopes = held.get(part, set())
                scopes.discard(scope)
                if not scopes:
                    held.pop(part, None)


def record_answer(fwd, call):
    """Record that the answer to a request has begun."""
    if not call.parts:
        return
    state = fwd.fleet.prompt_parts
    cleared = poison_parts.record_answer(state, call.parts, anyio.current_time())
    if cleared:
        _on_cleared(fwd, cleared, call.req.request_id)
        _spread(fwd, cleared)


def record_lost(fwd, call, server, started_ms):
    """Record that a server closed the connection before the answer began.

    Returns
    -------
    lost : LostRequest or None
        None if the prompt has no parts that it shares with others.
    """
    if not call.parts:
        return None
    lost = LostRequest(
        server,
        started_ms,
        call.parts[: poison_parts.MAX_PARTS],
        poison_parts.digest(call.req.prompt_parts[-1]),
        anyio.current_time(),
    )
    fwd.part_tracker.lost.append(lost)
    fwd.part_tracker.wake.notify()
    return lost


async def may_resend(fwd, lost):
    """Return whether a lost request may be sent to another server.

    If its server has ended, each of its parts must have been answered elsewhere.
    """
    state = fwd.fleet.prompt_parts

    def is_sound():
        now = anyio.current_time()
        return all(poison_parts.is_known_sound(state, part, now) for part in lost.parts)

    if is_sound():
        return True
    await lost.checked.wait()
    if not lost.is_crash:
        return True
    await anyio.sleep(SETTLE_S)
    return is_sound()


async def _check_lost(fwd):
    """Find out which servers of lost requests have ended."""
    tracker = fwd.part_tracker
    unchecked = [item for item in tracker.lost if not item.checked.is_set()]
    refusing = set()
    async with anyio.create_task_group() as tg:
        for address in {item.server.address for item in unchecked}:
            tg.start_soon(_check_server, address, refusing)
    now = anyio.current_time()
    crashed = []
    for item in list(tracker.lost):
        has_restarted = 0 < item.started_ms < _newest_start(fwd, item.server)
        is_refusing = item in unchecked and item.server.address in refusing
        if is_refusing or has_restarted:
            item.is_crash = True
            crashed.append(item)
        if item in unchecked:
            item.checked.set()
        if item.is_crash or now - item.at > RESTART_S:
            tracker.lost.remove(item)
    if crashed:
        _record_crashes(fwd, crashed)


def _newest_start(fwd, server):
    """Return the latest known start of a server in Unix ms, 0 if there is none."""
    listed = fwd.fleet.servers.servers.get(server.server_id, server)
    load = fwd.loads.by_address.get(server.address)
    return max(listed.started_ms, load.started_ms if load else 0)


async def _check_server(address, refusing):
    if await http1.is_refused(address, CONNECT_TIMEOUT_S):
        refusing.add(address)


def _record_crashes(fwd, crashed):
    state, now = fwd.fleet.prompt_parts, anyio.current_time()
    news = {}
    for item in crashed:
        name = f"{item.server.server_id}/{item.started_ms}"
        crash = poison_parts.crash_id(item.server.address, name)
        for part in item.parts:
            if poison_parts.add_sighting(
                state, part, crash, item.request, item.at, now
            ):
                news[part] = name
    for part, name in news.items():
        if part in state.suspects and not poison_parts.is_known_sound(state, part, now):
            eventlog.event("part.suspected", part=part.hex(), crash=name)
    if news:
        fwd.part_tracker.tasks.start_soon(_report_and_judge, fwd, list(news))


async def _report_and_judge(fwd, parts):
    """Report sightings, wait for what others know, and convict parts."""
    await _send_to_all(fwd, parts)
    await anyio.sleep(SETTLE_S)
    state, now = fwd.fleet.prompt_parts, anyio.current_time()
    known = {part: len(state.suspects.get(part, ())) for part in parts}
    convicted = poison_parts.convict(state, now)
    for part in convicted:
        eventlog.event(
            "part.convicted", part=part.hex(), crashes=known.get(part), source="own"
        )
        _withdraw_unanswered(fwd, part)
    await _send_to_all(fwd, {*parts, *convicted})
    if convicted:
        await anyio.sleep(SETTLE_S)
        await _send_to_all(fwd, convicted)


def _withdraw_unanswered(fwd, part):
    """Take back the requests with a part that servers have not begun to answer."""
    for scope in fwd.part_tracker.unanswered.get(part, ()):
        scope.cancel()


def _on_cleared(fwd, cleared, request):
    for part in cleared:
        eventlog.event("part.cleared", part=part.hex(), request=request)


def _spread(fwd, parts):
    if fwd.part_tracker.tasks is not None:
        fwd.part_tracker.tasks.start_soon(_send_to_all, fwd, list(parts))


async def _send_to_all(fwd, parts):
    own_vm = fwd.fleet.deployment.vm
    others = entry_roster.running(fwd.fleet.roster, anyio.current_time())
    for raw in _encode(fwd, parts):
        for entry in others.values():
            if entry.vm != own_vm:
                await _send(fwd, entry.address, raw)


async def _send(fwd, address, raw):
    host, port = deployment.split_address(address)
    try:
        await fwd.part_tracker.udp.sendto(raw, host, port)
    except OSError as exc:
        eventlog.debug("part.unsent", peer=address, error=str(exc))


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


async def _query_others(fwd):
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
            _on_cleared(fwd, cleared, None)
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
        _withdraw_unanswered(fwd, item.part)
    held = state.convicted.get(item.part)
    if held is not None and (item.probes or 0) > held.probes:
        held.probes, held.probed_at = item.probes, now - item.probed_ms / 1000


def _ranks_first(fwd, part):
    """Whether this entry is the one that probes a part and writes its record."""
    running = entry_roster.running(fwd.fleet.roster, anyio.current_time())
    names = {*running, fwd.fleet.deployment.vm}
    first = min(names, key=lambda vm: rendezvous.score(part.hex(), vm))
    return first == fwd.fleet.deployment.vm


async def _sync_records(fwd):
    """Keep the records in the store equal to the convictions of this entry."""
    while True:
        await anyio.sleep(SYNC_INTERVAL_S)
        state, records = fwd.fleet.prompt_parts, fwd.fleet.part_records
        for part in state.convicted.keys() & fwd.part_tracker.unanswered.keys():
            _withdraw_unanswered(fwd, part)
        missing = [part for part in state.convicted if part not in records]
        outdated = [part for part in records if part not in state.convicted]
        try:
            for part in missing:
                if _ranks_first(fwd, part):
                    await kv.put(fwd.fleet.store, part_records.key(part), b"{}")
                    records.add(part)
            for part in outdated:
                if _ranks_first(fwd, part):
                    await kv.delete(fwd.fleet.store, part_records.key(part))
                    records.discard(part)
        except (errors.StoreError, errors.ConflictError) as exc:
            eventlog.event("part.record_failed", error=str(exc))
