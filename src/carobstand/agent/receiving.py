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
    while True:
        service = views.service(view)
        version = _version_to_receive(view, service) if service else None
        if version is None:
            await view.changed.wait(IDLE_S)
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
    # An engine that stops reporting for a while still holds its weights.
    report = view.report or view.last_report
    if report is None:
        return None
    held = report.holding.version if report.holding else None
    named = view.named.get(service.weights.models[0], [])
    if not named:
        complete = any(map(weight_copy.is_complete, view.copies.values()))
        return None if held is not None or complete else piece_stream.NEWEST
    newest = named[-1].version
    target = load_schedule.version_to_receive(
        named,
        _progress(view),
        _transfer_s(view, service),
        view.deployment.bounds.version_s,
        anyio.current_time(),
    )
    if held is not None and held >= newest:
        return None
    for version in (target, newest):
        copy = view.copies.get(version)
        if copy is None or not weight_copy.is_complete(copy):
            return version
    return None


def _progress(view):
    for copy in view.copies.values():
        if not weight_copy.is_complete(copy):
            return load_schedule.Progress(
                copy.version, len(copy.pieces), len(copy.digests)
            )
    return None


def _transfer_s(view, service):
    size = service.weights.pieces * service.weights.piece_bytes
    return load_schedule.receive_s(size, view.deployment.link_bytes_per_s)


async def _receive(view, service, version, failures):
    """Receive one version; stop early if another version supersedes it."""
    model = service.weights.models[0]
    source = await _select_source(view, model, version, failures)
    copy = view.copies.get(version)
    if copy is None:
        copy = await _receive_manifest(view, model, version, source)
        _drop_older_incomplete(view, copy)
        view.copies[copy.version] = copy
        eventlog.event(
            "weights.receiving",
            version=copy.version,
            source=source.vm if source else "origin",
        )
        await _reuse_staged(view, copy)
        view.changed.notify()
    try:
        async with anyio.create_task_group() as tg:
            tg.start_soon(_stop_if_superseded, view, service, copy, tg.cancel_scope)
            await _receive_pieces(view, copy, source)
            tg.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        raise errors.first_carobstand_error(group) from group
    if weight_copy.is_complete(copy):
        eventlog.event("weights.received", version=copy.version)
    view.changed.notify()


def _drop_older_incomplete(view, copy):
    """Drop incomplete copies of versions older than `copy`."""
    for version in list(view.copies):
        older = version < copy.version
        if older and not weight_copy.is_complete(view.copies[version]):
            del view.copies[version]


async def _stop_if_superseded(view, service, copy, scope):
    while _version_to_receive(view, service) == copy.version or not view.named:
        await view.changed.wait(IDLE_S)
    scope.cancel()


async def _select_source(view, model, version, failures):
    """Return the entry to receive from, or None for the origin itself.

    The origin is used only if entries fail repeatedly or none is known for a while,
    because all agents together would saturate its link.
    """
    if not view.entries:
        with anyio.move_on_after(ENTRIES_WAIT_S):
            while not view.entries:
                await view.changed.wait(IDLE_S)
    sources = _sources(view, model, version)
    if not sources or failures % ORIGIN_RETRY_CYCLE == ORIGIN_RETRY_CYCLE - 1:
        return None
    return sources[failures % len(sources)]


def _sources(view, model, version):
    dep = view.deployment
    key = weight_sources.copy_key(model, version)
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


async def _receive_pieces(view, copy, source):
    def on_piece(number):
        view.changed.notify()

    if weight_copy.is_complete(copy):
        return
    if source is not None:
        await piece_stream.receive_pieces(
            source.address, copy, on_piece, WINDOW, TIMEOUTS
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
