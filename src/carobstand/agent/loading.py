"""Stages received weights on the engine's VM, verifies them and orders the load."""

import hashlib
import random

import anyio
import attrs

from carobstand import errors, eventlog
from carobstand.agent import view as views
from carobstand.core import load_schedule, staging_limit, weight_copy
from carobstand.platform import engine_client, kv, records

IDLE_S = 0.25
"""Longest wait before checking again for pieces to stage."""

RETRY_S = 0.3
"""Pause after the engine rejected a call or an order to load."""

STALL_S = 1.0
"""Time without a new piece after which the copy's completion cannot be predicted."""

DRAIN_S = 2.6
"""Longest time in which an engine finishes its running requests before a load."""

PEERS_RETRY_S = 1.0
"""Shortest pause, at most doubled, before the engines of the service are read again
after the store failed. Their order matters for the 3 s or more of a load schedule."""

LOAD_START_TIMEOUT_S = 2.0
"""Longest wait until the engine's report shows that an accepted load has started."""

MAX_CHECK_AGE_S = 2.5
"""Longest time between the check of the first staged piece and the order to load. The
platform allows pieces that were spoilt in the last 3 s; the rest is for the order."""

READS_AT_ONCE = (1, 4, 16, 32)
"""Staged pieces that are read back at once, for the first check and for each one after
a check that took too long. Weights that cannot be checked in time are not loaded."""


@attrs.define(eq=False)
class Stage:
    """Pieces that this process has staged on the engine's VM.

    Attributes
    ----------
    version : int or None
        Version of the staged pieces.
    numbers : set of int
        Staged piece numbers.
    peers : list of str or None
        Addresses of the service's engines, for the load schedule; None until they have
        been read.
    evacuated, cold : frozenset of str
        Addresses of those in evacuated failure domains, and of those that are cold.
    complete_at : float or None
        Time at which all pieces were staged.
    held : int
        Number of pieces at `progressed_at`.
    progressed_at : float
        Time at which a piece was last staged.
    limit : core.staging_limit.StagingLimit
        Attempts to stage pieces that did not read back right.
    """

    version: int | None = None
    numbers: set = attrs.field(factory=set)
    peers: list | None = None
    evacuated: frozenset = frozenset()
    cold: frozenset = frozenset()
    complete_at: float | None = None
    held: int = 0
    progressed_at: float = 0.0
    limit: staging_limit.StagingLimit = attrs.field(factory=staging_limit.StagingLimit)


async def run(view):
    """Stage and load received weights until cancelled."""
    stage = Stage()
    async with anyio.create_task_group() as tg:
        tg.start_soon(_read_peers_once_per_version, view, stage)
        await _stage_and_load(view, stage)


async def _stage_and_load(view, stage):
    while True:
        try:
            copy = _next_copy(view, stage)
            if copy is None:
                view.load_at = None
                await view.changed.wait(IDLE_S)
            else:
                await _advance(view, stage, copy)
        except errors.BackendError as exc:
            eventlog.event("engine.refused", error=str(exc))
            stage.version = None
            await anyio.sleep(RETRY_S)


def _next_copy(view, stage):
    """Return the copy to stage now, or None."""
    report = view.report
    if report is None or report.is_busy or views.service(view) is None:
        return None
    now = anyio.current_time()
    if staging_limit.is_paused(stage.limit, report.started_ms, now):
        return None
    held = report.holding.version if report.holding else 0
    newer = [copy for version, copy in view.copies.items() if version > held]
    outlook = views.outlook(view, views.service(view))
    complete = [
        copy
        for copy in newer
        if weight_copy.is_complete(copy)
        and _position(view, stage, copy)
        < load_schedule.share_to_load(outlook, copy.version, now)
    ]
    incomplete = [copy for copy in newer if not weight_copy.is_complete(copy)]
    received = [copy for copy in incomplete if copy.version == view.target]
    # Staging overwrites staged pieces, so complete copies are loaded before others that
    # are still being received.
    candidates = complete or received or incomplete
    return max(candidates, key=lambda copy: copy.version, default=None)


async def _advance(view, stage, copy):
    """Stage the received pieces; once complete, verify them and order the load."""
    if stage.version != copy.version:
        stage.version, stage.numbers = copy.version, set()
        stage.complete_at = None
    for number in [n for n in copy.pieces if n not in stage.numbers]:
        await engine_client.stage_piece(
            view.engine, copy.model, number, copy.pieces[number]
        )
        stage.numbers.add(number)
    if view.copies.get(copy.version) is not copy:
        # It was dropped while pieces were staged.
        return
    if stage.held != len(stage.numbers):
        stage.held, stage.progressed_at = len(stage.numbers), anyio.current_time()
    if not weight_copy.is_complete(copy):
        view.load_at = _load_at(view, stage, copy)
        await view.changed.wait(IDLE_S)
        return
    if stage.complete_at is None:
        stage.complete_at = anyio.current_time()
    view.load_at = _load_at(view, stage, copy)
    while view.load_at is not None and _next_copy(view, stage) is copy:
        left_s = view.load_at - anyio.current_time()
        if left_s <= 0:
            break
        await view.changed.wait(min(left_s, IDLE_S))
        # An engine that has lost its weights meanwhile loads without delay.
        view.load_at = _load_at(view, stage, copy)
    if _next_copy(view, stage) is not copy:
        return
    await _check_and_load(view, stage, copy)


async def _read_peers_once_per_version(view, stage):
    """Read the engines of the service for each version that is staged.

    Staging does not wait for it: a store that does not respond would delay it by the
    timeout of the read, 12 s. Until a read succeeds, the engines read last are kept.
    """
    version = None
    while True:
        if stage.version in (None, version):
            await view.changed.wait(IDLE_S)
            continue
        staged = stage.version
        try:
            await _read_peers(view, stage)
            version = staged
        except errors.StoreError as exc:
            eventlog.event("peers.unknown", error=str(exc))
            await anyio.sleep(PEERS_RETRY_S * (1 + random.random()))


async def _read_peers(view, stage):
    """Read the engines of the service; raise StoreError if the store fails."""
    changes = await kv.list_prefix(view.store, records.SERVER_PREFIX, allow_stale=True)
    marked = await _read_evacuated_domains(view)
    peers = []
    for item in changes.items:
        try:
            found = records.decode_registration(item.key, item.value)
        except errors.RecordError as exc:
            eventlog.debug("record.unreadable", key=item.key, error=exc.message)
            continue
        if found.service == view.deployment.service:
            peers.append(found)
    stage.peers = [peer.address for peer in peers]
    stage.evacuated = frozenset(
        peer.address for peer in peers if peer.failure_domain in marked
    )
    stage.cold = frozenset(peer.address for peer in peers if peer.cold_s)
    if stage.evacuated or stage.cold:
        eventlog.event(
            "peers.idle", evacuated=len(stage.evacuated), cold=len(stage.cold)
        )


async def _read_evacuated_domains(view):
    marks = await kv.list_prefix(
        view.store, records.EVACUATION_PREFIX, allow_stale=True
    )
    found = set()
    for item in marks.items:
        try:
            found.add(records.decode_evacuation_key(item.key))
        except errors.RecordError as exc:
            eventlog.debug("record.unreadable", key=item.key, error=exc.message)
    return found


def _load_at(view, stage, copy):
    """Return the scheduled time to load a copy.

    None if the engine serves nothing until then, so that it loads without delay.
    """
    named = [n for n in view.named.get(copy.model, []) if n.version == copy.version]
    if not named or view.report is None or view.report.holding is None:
        return None
    now = anyio.current_time()
    outlook = views.outlook(view, views.service(view))
    ends_at = load_schedule.serving_ends_at(outlook)
    if weight_copy.is_complete(copy):
        complete_at = stage.complete_at
    elif now - stage.progressed_at > STALL_S and now < ends_at - DRAIN_S:
        # The end of an outage is not known; until shortly before the served weights
        # end, requests must not avoid engines for a load that may be far off.
        return None
    else:
        complete_at = now + outlook.copy_s * outlook.missing[copy.version]
    return load_schedule.earliest_load_at(
        _position(view, stage, copy), complete_at, ends_at
    )


def _position(view, stage, copy):
    server = view.deployment.backend_address
    return load_schedule.position(
        server,
        stage.peers,
        copy.version,
        evacuated=stage.evacuated,
        cold=stage.cold,
    )


async def _check_and_load(view, stage, copy):
    """Check all staged pieces and order the load soon after.

    Pieces may spoil at any time, so a check that began too long ago is repeated, for
    example after a pause of this process. On an engine that needs long for each piece,
    several are read at once.
    """
    for reads in READS_AT_ONCE:
        began_at = anyio.current_time()
        if not await _repair_staged(view, stage, copy, reads):
            return
        if await _order_load(view, copy, began_at + MAX_CHECK_AGE_S):
            return
        took_s = round(anyio.current_time() - began_at, 3)
        eventlog.event("weights.check_late", version=copy.version, took_s=took_s)
    # `_stage_and_load` begins anew; the engine may answer faster by then.
    await anyio.sleep(RETRY_S)


async def _repair_staged(view, stage, copy, reads):
    """Read back all staged pieces, `reads` at once, and stage corrupt ones again.

    Returns whether all pieces read back right. If one never does, nothing is staged on
    this engine for a pause.
    """
    left = iter(enumerate(copy.digests))
    repaired, is_stageable = 0, True

    async def check():
        nonlocal repaired, is_stageable
        for number, digest in left:
            attempts = await _repair_piece(view, copy, number, digest)
            if attempts is None:
                _pause_staging(view, stage, copy, number, staging_limit.MAX_ATTEMPTS)
                is_stageable = False
                tg.cancel_scope.cancel()
                return
            repaired += attempts

    try:
        async with anyio.create_task_group() as tg:
            for _ in range(reads):
                tg.start_soon(check)
    except BaseExceptionGroup as group:
        raise errors.first_carobstand_error(group) from group
    if repaired:
        eventlog.event("weights.repaired", version=copy.version, pieces=repaired)
    return is_stageable


async def _repair_piece(view, copy, number, digest):
    """Stage a piece until it reads back right.

    Returns
    -------
    attempts : int or None
        Times that it was staged; None if it never reads back right.
    """
    attempts = 0
    while not await _reads_back(view, copy, number, digest):
        if staging_limit.is_exhausted(attempts):
            return None
        attempts += 1
        await engine_client.stage_piece(
            view.engine, copy.model, number, copy.pieces[number]
        )
    return attempts


async def _reads_back(view, copy, number, digest):
    data = await engine_client.fetch_staged_piece(view.engine, copy.model, number)
    return data is not None and hashlib.sha256(data).digest() == digest


def _pause_staging(view, stage, copy, number, attempts):
    started_ms = view.last_report.started_ms
    staging_limit.pause(stage.limit, started_ms, anyio.current_time())
    eventlog.event(
        "weights.unstageable",
        version=copy.version,
        piece=number,
        attempts=attempts,
        pause_s=staging_limit.PAUSE_S,
    )


async def _order_load(view, copy, order_by):
    """Order the engine to load the staged pieces; wait until its report shows it.

    Returns
    -------
    is_in_time : bool
        False if `order_by` had passed, so that nothing was ordered.
    """
    report = await engine_client.fetch_report(view.engine)
    service = views.service(view)
    if report.is_busy or service is None:
        return True
    # The polled report may be older than the last requests that reached the queue.
    outlook = attrs.evolve(views.outlook(view, service), waiting=report.waiting)
    now = anyio.current_time()
    if load_schedule.share_to_load(outlook, copy.version, now) == 0:
        await anyio.sleep(RETRY_S)
        return True
    if now > order_by:
        return False
    status = await engine_client.load_staged(
        view.engine, copy.model, copy.version, report.orders
    )
    eventlog.event("weights.ordered", version=copy.version, status=status)
    view.load_at = None
    if status == 409:
        await anyio.sleep(RETRY_S)
        return True
    with anyio.move_on_after(LOAD_START_TIMEOUT_S):
        while not _is_started(view, copy):
            await view.changed.wait(IDLE_S)
    return True


def _is_started(view, copy):
    report = view.report
    if report is None:
        return False
    holding = report.holding
    return report.is_busy or (holding is not None and holding.version >= copy.version)
