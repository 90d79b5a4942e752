"""Requests that servers lost, as evidence against them and the parts of their prompts.

A request whose server closes the connection and refuses the next one was lost at a
crash. Attempts whose request or part is convicted meanwhile are withdrawn.
"""

import collections
import contextlib

import anyio
import attrs

from carobstand import eventlog, http1, signals
from carobstand.core import announcements, part_ids, part_state, poison_parts
from carobstand.core import part_trials as core_trials
from carobstand.entry import datagram_sender, part_evidence, part_trials

CHECK_INTERVAL_S = 0.05
"""Interval of checks of servers that closed connections of unanswered requests."""

RESTART_CHECK_S = 0.25
"""Interval at which new starts are looked for, which takes a pass over all servers."""

CONNECT_TIMEOUT_S = 0.3
"""A server that has ended refuses connections at once; one that is cut off does not."""

MAX_LOST = 2_000
"""Lost requests of which the servers are checked; the oldest one is dropped first."""

RECENT_REQUESTS = 64
"""Requests that tell how common a part is."""

RESTART_S = 15.0
"""Time within which a new start of a server shows that it had ended."""

SETTLE_S = 0.1
"""Time in which other entries report answers to requests with the same parts."""

REQUEST_REASON = "it crashes servers"
PART_REASON = "a part of its prompt crashes servers"
TRIAL_REASON = "a part of its prompt may crash servers, which is being tried"
"""Reasons of rejections."""


@attrs.frozen
class Rejection:
    """Why a request must not be sent.

    Attributes
    ----------
    reason : str
    is_final : bool
        Whether the caller should not come again.
    """

    reason: str
    is_final: bool


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
    tried : tuple of bytes
        Parts whose trial it was.
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
    tried: tuple = ()
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
    recent : deque of tuple of bytes
        Parts of the last requests that were sent.
    tasks : anyio.abc.TaskGroup or None
    sender : entry.datagram_sender.DatagramSender or None
        Both None while `run` does not run.
    """

    lost: list = attrs.field(factory=list)
    unanswered: dict = attrs.field(factory=dict)
    wake: signals.Signal = attrs.field(factory=signals.Signal)
    recent: object = attrs.field(
        factory=lambda: collections.deque(maxlen=RECENT_REQUESTS)
    )
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
            tg.start_soon(part_evidence.query_others, fwd)
            tg.start_soon(part_evidence.sync_records, fwd)
            while True:
                if not tracker.lost:
                    await tracker.wake.wait(part_evidence.QUERY_INTERVAL_S)
                    continue
                await _check_lost(fwd)
                await anyio.sleep(CHECK_INTERVAL_S)
                if all(item.checked.is_set() for item in tracker.lost):
                    await tracker.wake.wait(RESTART_CHECK_S)
        finally:
            # Requests must not start tasks in a group that has ended.
            tracker.sender = tracker.tasks = None


def rejection(fwd, call):
    """Return the `Rejection` of a request that is convicted, or a part of it, or None.

    With an unproven conviction, one request at a time is sent as a trial. With a proven
    one, one entry sends a single request in a long while, to find wrong convictions.
    """
    state = fwd.fleet.prompt_parts
    now, parts = anyio.current_time(), _all_parts(call)
    call.is_probe = False
    if poison_parts.convicted_part(state, parts, now) is None:
        return None
    proven = poison_parts.proven_part(state, parts)
    if proven is None:
        # The events that it has delivered show that its parts crash no server.
        is_settled = call.reply.started or part_trials.is_trial(fwd, call, parts)
        if is_settled or part_trials.begin(fwd, call, parts):
            return None
        return Rejection(TRIAL_REASON, is_final=False)
    is_due = poison_parts.may_probe(state, parts, now)
    if is_due and part_evidence.ranks_first(fwd, proven):
        call.is_probe = True
        return None
    reason = REQUEST_REASON if proven == call.whole else PART_REASON
    return Rejection(reason, is_final=True)


def _all_parts(call):
    return (*call.parts, call.whole)


def record_sent(fwd, call, server):
    """Record that a request is sent; one with a convicted part is a trial or probe."""
    part_trials.record_sent(fwd, call, server)
    if call.parts:
        fwd.part_tracker.recent.append(call.parts)
    if not call.is_probe:
        return
    parts = _all_parts(call)
    poison_parts.record_probe(fwd.fleet.prompt_parts, parts, anyio.current_time())
    eventlog.event("part.probed", request=call.req.request_id)
    part_evidence.spread(fwd, parts)


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
        part_evidence.log_cleared(cleared, call.req.request_id)
        part_evidence.spread(fwd, cleared)


def record_success(fwd, call):
    """Record that a request was answered with success, which clears it."""
    state = fwd.fleet.prompt_parts
    if not poison_parts.is_suspected(state, call.whole):
        return
    now = anyio.current_time()
    cleared = poison_parts.record_answer(state, (call.whole,), now)
    if cleared:
        part_evidence.log_cleared(cleared, call.req.request_id)
        part_evidence.spread(fwd, cleared)


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
        part_ids.digest(last_part[0]) if last_part else call.whole,
        call.has_begun,
        anyio.current_time(),
        call.trial.tried if call.trial else (),
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
        crash = part_ids.crash_id(item.server.address, name)
        for part, request in _sighted(item):
            if poison_parts.add_sighting(
                fwd.fleet.prompt_parts, part, crash, request, item.at, now
            ):
                news[part] = item, name
    for part, (item, name) in news.items():
        _log_suspected(fwd, part, item, name)
    trials = [item for item in crashed if item.tried and not item.has_begun]
    if news or trials:
        tasks = fwd.part_tracker.tasks
        tasks.start_soon(_report_and_judge, fwd, list(news), trials)


def _sighted(lost):
    """Yield the parts that a lost request is evidence against, and who was lost."""
    if lost.has_begun:
        yield lost.whole, part_ids.run_begun(lost.whole)
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


async def _report_and_judge(fwd, parts, trials):
    """Report sightings and failed trials, hear the others, and judge parts."""
    await part_evidence.send_to_all(fwd, parts)
    await anyio.sleep(SETTLE_S)
    state, now = fwd.fleet.prompt_parts, anyio.current_time()
    proven = [part for item in trials for part in _failed(fwd, item)]
    convicted = poison_parts.convict(state, now)
    for part in convicted:
        item = state.convicted[part]
        if item.is_proven:
            proven.append(part)
        else:
            part_evidence.suspend(fwd, item, part, "own")
    for part in proven:
        crashes = part_state.crash_count(state.convicted[part])
        part_evidence.log_convicted(part, "own", crashes)
        part_evidence.withdraw_unanswered(fwd, part)
    tried = [part for item in trials for part in item.tried]
    await part_evidence.send_to_all(fwd, {*parts, *convicted, *tried})
    if convicted or proven:
        await anyio.sleep(SETTLE_S)
        await part_evidence.send_to_all(fwd, {*convicted, *proven})


def _failed(fwd, lost):
    """Record a failed trial; return the parts whose convictions it proves."""
    state, now = fwd.fleet.prompt_parts, anyio.current_time()
    unknown = frozenset(
        part for part in lost.parts if not poison_parts.is_known_sound(state, part, now)
    )
    proven = []
    for part in lost.tried:
        is_rare = core_trials.is_rare(part, fwd.part_tracker.recent)
        if core_trials.record_failure(state, part, unknown, is_rare, now):
            proven.append(part)
        item = state.convicted.get(part)
        eventlog.event(
            "part.trial_failed",
            part=part.hex(),
            server=lost.server.server_id,
            failures=item and item.failures,
            crashes=item and part_state.crash_count(item),
            common=item and len(item.common or ()),
        )
    return proven
