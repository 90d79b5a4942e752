"""Stages received weights beside the engine, checks them, and orders the load."""

import hashlib

import anyio
import attrs

from carobstand import errors, eventlog
from carobstand.agent import view as views
from carobstand.core import load_schedule, weight_copy
from carobstand.platform import engines, kv, records

IDLE_S = 0.25
"""Interval in which it is looked again whether something is to be staged."""

RETRY_S = 0.3
"""Pause after the engine refused a call or an order."""

STARTED_S = 2.0
"""Longest wait for the report to show an order that was accepted."""


@attrs.define(eq=False)
class Stage:
    """Pieces that this process staged beside the engine.

    Attributes
    ----------
    version : int or None
        Version of the staged pieces.
    numbers : set of int
    peers : list of str or None
        Engines of the service, for the order of loads; None until they are read.
    complete_at : float or None
        When all pieces had arrived.
    """

    version: int | None = None
    numbers: set = attrs.field(factory=set)
    peers: list | None = None
    complete_at: float | None = None


async def run(view):
    """Stage and load what is received until cancelled."""
    stage = Stage()
    while True:
        try:
            copy = _next_copy(view)
            if copy is None:
                await view.changed.wait(IDLE_S)
            else:
                await _advance(view, stage, copy)
        except errors.BackendError as exc:
            eventlog.event("engine.refused", error=str(exc))
            stage.version = None
            await anyio.sleep(RETRY_S)


def _next_copy(view):
    """Return the copy to stage now, or None."""
    report = view.report
    if report is None or report.is_busy or views.service(view) is None:
        return None
    held = report.holding.version if report.holding else 0
    newer = [copy for version, copy in view.copies.items() if version > held]
    for version in [v for v in view.copies if v <= held]:
        del view.copies[version]
    complete = [copy for copy in newer if weight_copy.is_complete(copy)]
    # A complete copy is loaded before one that is still on its way is staged over it.
    candidates = complete or newer
    return max(candidates, key=lambda copy: copy.version, default=None)


async def _advance(view, stage, copy):
    """Stage what has arrived; once all has, check it and order the load."""
    if stage.version != copy.version:
        stage.version, stage.numbers = copy.version, set()
        stage.peers = stage.complete_at = None
    for number in [n for n in copy.pieces if n not in stage.numbers]:
        await engines.stage(view.engine, copy.model, number, copy.pieces[number])
        stage.numbers.add(number)
    if not weight_copy.is_complete(copy):
        if stage.peers is None:
            await _read_peers(view, stage)
        view.load_at = _load_at(view, stage, copy)
        await view.changed.wait(IDLE_S)
        return
    if stage.complete_at is None:
        stage.complete_at = anyio.current_time()
    view.load_at = _load_at(view, stage, copy)
    if view.load_at is not None:
        await anyio.sleep_until(view.load_at)
    if _next_copy(view) is not copy:
        return
    await _repair_staged(view, copy)
    await _order(view, copy)


async def _read_peers(view, stage):
    """Read which engines the service has; without an answer, this one alone."""
    stage.peers = []
    try:
        changes = await kv.list_prefix(
            view.store, records.SERVER_PREFIX, may_be_old=True
        )
    except errors.StoreError as exc:
        eventlog.event("peers.unknown", error=str(exc))
        return
    for item in changes.items:
        try:
            found = records.server(item.key, item.value)
        except errors.RecordError as exc:
            eventlog.debug("record.unreadable", key=item.key, error=exc.message)
            continue
        if found.service == view.deployment.service:
            stage.peers.append(found.address)


def _load_at(view, stage, copy):
    """Return when this engine will load a copy; None if it serves nothing till then."""
    named = [n for n in view.named.get(copy.model, []) if n.version == copy.version]
    if not named or view.report is None or view.report.holding is None:
        return None
    link = view.deployment.link_bytes_per_s
    if weight_copy.is_complete(copy):
        arrives = stage.complete_at
    else:
        missing = (len(copy.digests) - len(copy.pieces)) * copy.piece_bytes
        arrives = anyio.current_time() + load_schedule.receive_s(missing, link)
    return load_schedule.earliest_load_at(
        view.deployment.backend_address,
        stage.peers or [],
        copy.version,
        named[0],
        arrives,
        view.deployment.bounds.version_s,
    )


async def _repair_staged(view, copy):
    """Read all staged pieces back, and stage again those that are spoilt."""
    spoilt = 0
    for number, digest in enumerate(copy.digests):
        while True:
            data = await engines.staged_piece(view.engine, copy.model, number)
            if data is not None and hashlib.sha256(data).digest() == digest:
                break
            spoilt += 1
            await engines.stage(view.engine, copy.model, number, copy.pieces[number])
    if spoilt:
        eventlog.event("weights.repaired", version=copy.version, pieces=spoilt)


async def _order(view, copy):
    """Order the engine to load what is staged, and wait until its report shows it."""
    report = await engines.report(view.engine)
    if report.is_busy:
        return
    status = await engines.load_staged(
        view.engine, copy.model, copy.version, report.orders
    )
    eventlog.event("weights.ordered", version=copy.version, status=status)
    view.load_at = None
    if status == 409:
        await anyio.sleep(RETRY_S)
        return
    with anyio.move_on_after(STARTED_S):
        while not _is_started(view, copy):
            await view.changed.wait(IDLE_S)


def _is_started(view, copy):
    report = view.report
    if report is None:
        return False
    holding = report.holding
    return report.is_busy or (holding is not None and holding.version >= copy.version)
