"""Receives the weights that the engine should load from the best source."""

import anyio

from carobstand import errors, eventlog
from carobstand.agent import view as views
from carobstand.core import load_schedule, weight_copy, weight_sources
from carobstand.platform import engine_client
from carobstand.transfer import origin_download, piece_stream

TIMEOUTS = piece_stream.Timeouts(silence_s=1.5, stuck_s=8.0)
"""Timeouts of a transfer from an entry. Entries send a sign of life three times a
second, and switch to another source themselves after about 3 s."""

RETRY_S = 0.2
"""Pause after a source failed."""

IDLE_S = 0.5
"""Longest wait before checking again for missing weights."""

ENTRIES_PER_REGION = 2
"""Number of entries per region across which the region's agents are spread."""

ORIGIN_RETRY_CYCLE = 12
"""Number of tries in a row, the last of which goes to the origin itself: after about
2.5 s."""

ENTRIES_WAIT_S = 2.5
"""Longest wait for the first entry to register before the origin is used."""

WINDOW = piece_stream.Window(blocks=2, block_bytes=6144)
"""Receive window. A VM's link of a few Mbit/s transfers it in less than 30 ms."""

COPIES_KEPT = 3
"""Copies kept, complete or not: that of the served version, from which others may
receive it, and two that are being received. Each has up to 2.4 MB of the 168 MB of an
agent's VM."""

STALL_S = 1.0
"""Time without a piece after which the link is used for another version. A piece takes
0.05 s, and entries notice a source that failed within 0.5 s."""

REPORT_WAIT_S = 0.2
"""Time after the start of this process without a report of the engine after which the
engine is taken to start too. An engine that runs reports within 0.02 s; one that was
added starts 0.8 s after its agent, and a copy needs 4 to 5 s over the VM's link."""

START_CHECK_S = 0.1
"""Interval of checks until the engine has reported once."""

SAMPLED_PIECES = 3
"""Staged pieces read to find out whether the version is staged at all."""

_RETRIED_ERRORS = (
    errors.BackendError,
    errors.OriginError,
    errors.StalledError,
    errors.WeightsError,
    errors.WireError,
    errors.ConnectionClosedError,
)


async def run(view):
    """Receive weights that the engine lacks until cancelled."""
    failures = 0
    view.started_at = anyio.current_time()
    while True:
        service = views.service(view)
        version = _version_to_receive(view, service) if service else None
        if version is None:
            await view.changed.wait(IDLE_S if view.last_report else START_CHECK_S)
            continue
        try:
            await _receive(view, service, version, failures)
            failures = 0
        except _RETRIED_ERRORS as exc:
            failures += 1
            eventlog.event("weights.source_failed", version=version, error=str(exc))
            if isinstance(exc, errors.WeightsError):
                view.copies.pop(version, None)
            await anyio.sleep(RETRY_S)


def _version_to_receive(view, service):
    """Return the version to receive now, or None; `NEWEST` if none has been named."""
    outlook = views.outlook(view, service)
    if outlook is None:
        return _version_before_report(view, service)
    if not outlook.named:
        return None if load_schedule.held(outlook) else piece_stream.NEWEST
    if load_schedule.held(outlook) >= outlook.newest:
        return None
    return load_schedule.version_to_receive(outlook, anyio.current_time())


def _version_before_report(view, service):
    """Return the version to receive for an engine that starts, or None.

    The copy waits in memory until the engine can stage it.
    """
    is_early = anyio.current_time() < view.started_at + REPORT_WAIT_S
    if is_early or not view.versions_read:
        return None
    named = view.named.get(service.weights.models[0])
    complete = [v for v, copy in view.copies.items() if weight_copy.is_complete(copy)]
    if named:
        return None if named[-1].version in complete else named[-1].version
    return None if complete else piece_stream.NEWEST


async def _receive(view, service, version, failures):
    """Receive one version; stop early if another version supersedes it."""
    model = service.weights.models[0]
    # Reported as demand, also while the manifest is awaited.
    view.target = version
    source = await _select_source(view, model, failures)
    copy = view.copies.get(version)
    if copy is None:
        copy = await _receive_manifest(view, model, version, source)
        _keep(view, copy)
        eventlog.event(
            "weights.receiving",
            version=copy.version,
            source=source.vm if source else "origin",
        )
        if view.report is not None:
            await _reuse_staged(view, copy)
        view.changed.notify()
    view.target = copy.version
    try:
        async with anyio.create_task_group() as tg:
            tg.start_soon(_stop_if_superseded, view, service, copy, tg.cancel_scope)
            tg.start_soon(_receive_meanwhile, view, service, copy, source)
            await _receive_pieces(view, copy, source)
            tg.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        raise errors.first_carobstand_error(group) from group
    _note_received(view, copy)


def _note_received(view, copy):
    if weight_copy.is_complete(copy):
        eventlog.event("weights.received", version=copy.version)
    view.changed.notify()


def _keep(view, copy):
    """Keep a new copy, and drop the oldest one if there are too many."""
    view.copies[copy.version] = copy
    while len(view.copies) > COPIES_KEPT:
        older = [version for version in view.copies if version != copy.version]
        del view.copies[min(older)]


async def _stop_if_superseded(view, service, copy, scope):
    while _version_to_receive(view, service) in (copy.version, piece_stream.NEWEST):
        await view.changed.wait(IDLE_S)
    if not weight_copy.is_complete(copy):
        eventlog.event(
            "weights.switched",
            version=copy.version,
            held=len(copy.pieces),
            next=_version_to_receive(view, service),
        )
    scope.cancel()


async def _receive_meanwhile(view, service, copy, source):
    """Receive pieces of another version while none of `copy` arrives.

    The link would be idle, and sources may hold pieces of the other version, or find
    only that one at the origin.
    """
    while source is not None:
        await _until_stalled(view, copy)
        other = _other_version(view, copy)
        if other is None:
            await view.changed.wait(IDLE_S)
            continue
        try:
            await _receive_other(view, copy, other, source)
        except _RETRIED_ERRORS as exc:
            eventlog.debug("weights.other_failed", version=other, error=str(exc))
            if isinstance(exc, errors.WeightsError):
                view.copies.pop(other, None)
            await anyio.sleep(IDLE_S)


async def _until_stalled(view, copy):
    """Wait until no piece of a copy has arrived for `STALL_S`."""
    held, since = len(copy.pieces), anyio.current_time()
    while anyio.current_time() - since < STALL_S:
        await view.changed.wait(STALL_S)
        if len(copy.pieces) != held:
            held, since = len(copy.pieces), anyio.current_time()


async def _cancel_on_progress(view, copy, scope):
    held = len(copy.pieces)
    while len(copy.pieces) == held:
        await view.changed.wait(IDLE_S)
    scope.cancel()


def _other_version(view, copy):
    """Return the version to receive besides `copy`: the newest incomplete other one."""
    named = view.named.get(copy.model, [])
    wanted = {named[-1].version} if named else set()
    wanted |= view.copies.keys()
    complete = {v for v, c in view.copies.items() if weight_copy.is_complete(c)}
    report = view.report or view.last_report
    serving = report.holding.version if report and report.holding else 0
    left = [v for v in wanted - complete if v not in (copy.version, serving)]
    return max((v for v in left if v > serving), default=None)


async def _receive_other(view, copy, version, source):
    """Receive another version until it is complete or pieces of `copy` arrive."""
    try:
        async with anyio.create_task_group() as tg:
            tg.start_soon(_cancel_on_progress, view, copy, tg.cancel_scope)
            other = view.copies.get(version)
            if other is None:
                other = await _receive_manifest(view, copy.model, version, source)
                _keep(view, other)
            await _receive_pieces(view, other, source, is_spare=True)
            _note_received(view, other)
            tg.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        raise errors.first_carobstand_error(group) from group


async def _select_source(view, model, failures):
    """Return the entry to receive from, or None for the origin itself.

    The origin is used only if entries fail repeatedly or none is known for a while,
    because all agents together would saturate its link.
    """
    if not view.entries:
        with anyio.move_on_after(ENTRIES_WAIT_S):
            while not view.entries:
                await view.changed.wait(IDLE_S)
    sources = _sources(view, model)
    if not sources or failures % ORIGIN_RETRY_CYCLE == ORIGIN_RETRY_CYCLE - 1:
        return None
    return sources[failures % len(sources)]


def _sources(view, model):
    dep = view.deployment
    key = weight_sources.copy_key(model)
    entries = list(view.entries.values())
    return weight_sources.sources_of_agent(
        dep.vm, dep.region, entries, key, ENTRIES_PER_REGION
    )


async def _receive_manifest(view, model, version, source):
    if source is not None:
        return await piece_stream.receive_manifest(
            source.address, model, version, TIMEOUTS
        )
    return await origin_download.fetch_manifest(_require_origin(view), model, version)


async def _receive_pieces(view, copy, source, is_spare=False):
    def on_piece(number):
        view.changed.notify()

    if weight_copy.is_complete(copy):
        return
    if source is not None:
        await piece_stream.receive_pieces(
            source.address, copy, on_piece, WINDOW, TIMEOUTS, is_spare=is_spare
        )
    else:
        await origin_download.download_pieces(_require_origin(view), copy, on_piece)


def _require_origin(view):
    origin = views.origin(view)
    if origin is None:
        raise errors.OriginError("no origin is configured", step="weights.receive")
    return origin


async def _reuse_staged(view, copy):
    """Add pieces that are staged on the engine's VM already, as after a crash."""
    numbers = sorted(await engine_client.list_staged_pieces(view.engine, copy.model))
    for index, number in enumerate(numbers):
        data = await engine_client.fetch_staged_piece(view.engine, copy.model, number)
        if data is not None:
            weight_copy.add(copy, number, data)
        if index + 1 == SAMPLED_PIECES and not copy.pieces:
            return
