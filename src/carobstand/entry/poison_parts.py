"""Evidence against requests and prompt parts that crash servers, shared by the entries.

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
from carobstand.core import (
    announcements,
    deployment,
    entry_roster,
    poison_parts,
    rendezvous,
)
from carobstand.entry import datagram_sender
from carobstand.platform import kv
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes

CHECK_INTERVAL_S = 0.05
"""Interval of checks of servers that closed connections of unanswered requests."""

CONNECT_TIMEOUT_S = 0.3
"""A server that has ended refuses connections at once; one that is cut off does not."""

MAX_LOST = 2_000
"""Lost requests of which the servers are checked; the oldest one is dropped first."""

RESTART_S = 15.0
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

REQUEST_REASON = "it crashes servers"
PART_REASON = "a part of its prompt crashes servers"
"""Reasons of rejections."""

NO_AGE_MS = -1
MAX_AGE_MS = 2_000_000_000
"""Bounds of ages on the wire."""


@attrs.define(eq=False)
class LostRequest:
    """A request whose server closed the connection before its answer was complete.

    Attributes
    ----------
    server : core.registry.Registration
    started_ms : int
        Start of the server in Unix milliseconds, 0 if not known.
    parts : tuple of bytes
        Parts of its prompt that it may share with others.
    whole : bytes
        Identifies the request as a whole.
    request : bytes
        Identifies it among requests with the same parts.
    has_begun : bool
        Whether its answer had begun.
    at : float
    checked : anyio.Event
        Set once it is known whether the server refuses connections.
    is_crash : bool
        Whether the server has ended.
    """

    server: object
    started_ms: int
    parts: tuple
    whole: bytes
    request: bytes
    has_begun: bool
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
    sender : entry.datagram_sender.DatagramSender or None
        Both None while `run` does not run.
    """

    lost: list = attrs.field(factory=list)
    unanswered: dict = attrs.field(factory=dict)
    wake: signals.Signal = attrs.field(factory=signals.Signal)
    tasks: object = None
    sender: object = None


async def run(fwd):
    """Check lost requests and share evidence until cancelled."""
    tracker = fwd.part_tracker
    async with (
        await anyio.create_udp_socket(local_host=fwd.fleet.deployment.ip) as udp,
        anyio.create_task_group() as tg,
    ):
        tracker.sender, tracker.tasks = datagram_sender.DatagramSender(udp), tg
        try:
            tg.start_soon(_query_others, fwd)
            tg.start_soon(_sync_records, fwd)
            while True:
                if not tracker.lost:
                    await tracker.wake.wait(QUERY_INTERVAL_S)
                    continue
                await _check_lost(fwd)
                await anyio.sleep(CHECK_INTERVAL_S)
        finally:
            # Requests must not start tasks in a group that has ended.
            tracker.sender = tracker.tasks = None


def rejection_reason(fwd, call):
    """Return why a request must not be sent, as it or a part is convicted, or None.

    One entry sends a single request in a long while, to find wrong convictions.
    """
    state = fwd.fleet.prompt_parts
    now, parts = anyio.current_time(), _all_parts(call)
    part = poison_parts.convicted_part(state, parts, now)
    call.is_probe = False
    if part is None:
        return None
    if _ranks_first(fwd, part) and poison_parts.may_probe(state, parts, now):
        call.is_probe = True
        return None
    return REQUEST_REASON if part == call.whole else PART_REASON


def _all_parts(call):
    return (*call.parts, call.whole)


def record_sent(fwd, call):
    """Record that a request is sent; one with a convicted part is a probe."""
    if not call.is_probe:
        return
    parts = _all_parts(call)
    poison_parts.record_probe(fwd.fleet.prompt_parts, parts, anyio.current_time())
    eventlog.event("part.probed", request=call.req.request_id)
    _spread(fwd, parts)


@contextlib.contextmanager
def unanswered(fwd, call):
    """Yield a scope that is cancelled if the request or a part of it is convicted."""
    held, parts = fwd.part_tracker.unanswered, _all_parts(call)
    with anyio.CancelScope() as scope:
        for part in parts if not call.is_probe else ():
            held.setdefault(part, set()).add(scope)
        try:
            yield scope
        finally:
            for part in parts:
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


def record_success(fwd, call):
    """Record that a request was answered with success, which clears it."""
    state = fwd.fleet.prompt_parts
    if not poison_parts.is_suspected(state, call.whole):
        return
    now = anyio.current_time()
    cleared = poison_parts.record_answer(state, (call.whole,), now)
    if cleared:
        _on_cleared(fwd, cleared, call.req.request_id)
        _spread(fwd, cleared)


def record_lost(fwd, call, server, started_ms):
    """Record that a server closed the connection before the answer was complete.

    Returns
    -------
    lost : LostRequest or None
        None if the answer had begun, or if the server was leaving: it ends anyway.
    """
    if _is_leaving(fwd, server):
        return None
    last_part = call.req.prompt_parts[-1:]
    lost = LostRequest(
        server,
        started_ms,
        call.parts[: poison_parts.MAX_PARTS],
        call.whole,
        poison_parts.digest(last_part[0]) if last_part else call.whole,
        call.has_begun,
        anyio.current_time(),
    )
    tracker = fwd.part_tracker
    if len(tracker.lost) >= MAX_LOST:
        tracker.lost.pop(0).checked.set()
    tracker.lost.append(lost)
    tracker.wake.notify()
    return None if call.has_begun else lost


def _is_leaving(fwd, server):
    listed = fwd.fleet.servers.servers.get(server.server_id)
    if listed is None or not listed.is_ready:
        return True
    return announcements.is_leaving(fwd.fleet.announced, server.server_id)


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
    now, starts = anyio.current_time(), _newest_starts(fwd)
    crashed = []
    for item in list(tracker.lost):
        has_restarted = 0 < item.started_ms < starts.get(item.server.address, 0)
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


def _newest_starts(fwd):
    """Return the latest known start of each server in Unix ms, by address.

    A server mostly starts anew under another id.
    """
    starts = {}
    for item in fwd.fleet.servers.servers.values():
        starts[item.address] = max(starts.get(item.address, 0), item.started_ms)
    for address, load in fwd.loads.by_address.items():
        starts[address] = max(starts.get(address, 0), load.started_ms)
    return starts


async def _check_server(address, refusing):
    if await http1.is_refused(address, CONNECT_TIMEOUT_S):
        refusing.add(address)


def _record_crashes(fwd, crashed):
    """Record the sightings of requests that were lost at crashes."""
    now, news = anyio.current_time(), {}
    for item in crashed:
        name = f"{item.server.server_id}/{item.started_ms}"
        crash = poison_parts.crash_id(item.server.address, name)
        for part, request in _sighted(item):
            if poison_parts.add_sighting(
                fwd.fleet.prompt_parts, part, crash, request, item.at, now
            ):
                news[part] = item, name
    for part, (item, name) in news.items():
        _log_suspected(fwd, part, item, name)
    if news:
        fwd.part_tracker.tasks.start_soon(_report_and_judge, fwd, list(news))


def _sighted(lost):
    """Yield the parts that a lost request is evidence against, and who was lost."""
    if lost.has_begun:
        yield lost.whole, poison_parts.run_begun(lost.whole)
        return
    yield lost.whole, lost.whole
    for part in lost.parts:
        yield part, lost.request


def _log_suspected(fwd, part, lost, name):
    state, now = fwd.fleet.prompt_parts, anyio.current_time()
    if part not in state.suspects:
        return
    if part == lost.whole:
        eventlog.event(
            "request.crashed_server",
            request=part.hex(),
            failure=name,
            began=lost.has_begun,
            after_s=round(now - lost.at, 3),
        )
    elif not poison_parts.is_known_sound(state, part, now):
        eventlog.event("part.suspected", part=part.hex(), crash=name)


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
