"""Newest weights in an entry's memory, for the agents and entries of its region."""

import anyio
import attrs

from carobstand import errors, eventlog, http1, signals
from carobstand.core import weight_copy, weight_sources
from carobstand.entry import fleet as fleets
from carobstand.transfer import drawing, piece_stream
from carobstand.wire.gen_fleet import ttypes

STALL_S = 1.5
"""Longest wait for the next piece of another entry, after which the next source is
tried."""

WINDOW = piece_stream.Window(blocks=4, block_bytes=8192)
"""Covers 15 ms between regions at the rate of the origin."""

REQUEST_IDLE_S = 10.0
"""Longest pause between two requests on a connection."""

RETRY_S = 0.2
"""Pause after a source failed."""

COPIES_KEPT = 2
"""Versions of a model that are held; agents may still be receiving the older one."""

LOOK_INTERVAL_S = 0.25
"""Interval in which named versions are looked at again, as entries come and go."""

UNREAD_S = 0.5
"""A version that is no longer the newest is not fetched on if nobody has received it
for so long: agents have gone on to the newest one."""

_FAILURES = (
    errors.OriginError,
    errors.WeightsError,
    errors.WireError,
    errors.ConnectionClosedError,
)


@attrs.define(eq=False)
class Cached:
    """One version on its way into the cache.

    Attributes
    ----------
    version : int
        As it was asked for; `piece_stream.NEWEST` for the newest one.
    copy : core.weight_copy.WeightCopy or None
        None until the manifest is known.
    needs_pieces : bool
        Whether more than the manifest was asked for.
    is_complete : bool
    readers : int
        Processes that receive it from here now.
    read_at : float
        Time at which the last reader ended.
    changed : signals.Signal
        Notified at each change of the above and at each piece.
    """

    model: str
    version: int
    copy: weight_copy.WeightCopy | None = None
    needs_pieces: bool = False
    is_complete: bool = False
    readers: int = 0
    read_at: float = attrs.field(factory=anyio.current_time)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    changed: signals.Signal = attrs.field(factory=signals.Signal)


@attrs.define(eq=False)
class WeightCache:
    """Weights that an entry holds.

    Attributes
    ----------
    fleet : entry.fleet.Fleet
    held : dict of (str, int) to Cached
        By model and version.
    tasks : task group
        In which versions are fetched.
    """

    fleet: object
    held: dict = attrs.field(factory=dict)
    tasks: object = None


async def run(cache):
    """Fetch named versions and serve them to other processes until cancelled."""
    dep = cache.fleet.deployment
    listener = await anyio.create_tcp_listener(
        local_host=dep.ip, local_port=dep.internal_ports[0]
    )
    async with anyio.create_task_group() as tg:
        cache.tasks = tg
        tg.start_soon(listener.serve, lambda stream: _serve(cache, stream))
        while True:
            _fetch_named(cache)
            _stop_unread(cache)
            await cache.fleet.changed.wait(LOOK_INTERVAL_S)


def _fetch_named(cache):
    """Begin to fetch newly named weights that this entry holds for its region."""
    for model in cache.fleet.named:
        version = fleets.newest_version(cache.fleet, model)
        if _is_holder(cache, model, version):
            _want(cache, model, version, needs_pieces=True)


def _stop_unread(cache):
    """Stop fetching older versions that nobody receives any more."""
    now = anyio.current_time()
    for (model, version), cached in list(cache.held.items()):
        newest = fleets.newest_version(cache.fleet, model)
        if newest is None or version >= newest or cached.readers:
            continue
        if cached.is_complete or now - cached.read_at < UNREAD_S:
            continue
        eventlog.event("weights.abandoned", version=version, newest=newest)
        del cache.held[model, version]
        cached.scope.cancel()


def _is_holder(cache, model, version):
    origin = _origin(cache)
    if origin is None:
        return False
    me, entries = _entries(cache)
    key = weight_sources.copy_key(model, version)
    return weight_sources.is_holder(
        me, entries, key, origin.failure_domain, _region_of(cache, origin)
    )


def _want(cache, model, version, needs_pieces):
    """Return the `Cached` of a version, and begin to fetch it if it is new."""
    key = (model, version)
    if key not in cache.held:
        cache.held[key] = Cached(model, version)
        cache.tasks.start_soon(_fetch, cache, cache.held[key])
        _drop_old(cache, model)
    cached = cache.held[key]
    if needs_pieces and not cached.needs_pieces:
        cached.needs_pieces = True
        cached.changed.notify()
    return cached


def _drop_old(cache, model):
    versions = sorted(version for name, version in cache.held if name == model)
    for version in versions[:-COPIES_KEPT]:
        cache.held.pop((model, version)).scope.cancel()


def _origin(cache):
    config = cache.fleet.configuration
    services = config.services.values() if config else ()
    return next((item.origin for item in services if item.origin), None)


def _region_of(cache, origin):
    return cache.fleet.deployment.regions.get(origin.failure_domain, "")


def _entries(cache):
    """Return this entry, and all that are registered with itself among them."""
    dep = cache.fleet.deployment
    address = f"{dep.ip}:{dep.internal_ports[0]}"
    me = weight_sources.Entry(dep.vm, address, dep.failure_domain, dep.region)
    others = [item for vm, item in cache.fleet.entries.items() if vm != dep.vm]
    return me, [me, *others]


async def _fetch(cache, cached):
    """Receive one version until it is complete or no longer wanted."""
    with cached.scope:
        await _fetch_from_sources(cache, cached)


async def _fetch_from_sources(cache, cached):
    """Receive one version, going from source to source."""
    failures = 0
    while cache.held.get((cached.model, cached.version)) is cached:
        try:
            if cached.copy is None:
                await _fetch_manifest(cache, cached, failures)
            while not cached.needs_pieces:
                await cached.changed.wait(LOOK_INTERVAL_S)
            await _fetch_pieces(cache, cached, failures)
            cached.is_complete = True
            eventlog.event("weights.held", version=cached.copy.version)
            return
        except _FAILURES as exc:
            failures += 1
            eventlog.event(
                "weights.source_failed", version=cached.version, error=str(exc)
            )
            if isinstance(exc, errors.WeightsError):
                cached.copy = None
            await anyio.sleep(RETRY_S)


async def _fetch_manifest(cache, cached, failures):
    """Read the manifest from the origin, or from another entry if that failed."""
    others = [e for e in _entries(cache)[1][1:] if cached.version]
    if failures % 2 and others:
        peer = others[failures // 2 % len(others)]
        cached.copy = await piece_stream.receive_manifest(
            peer.address, cached.model, cached.version, STALL_S
        )
    else:
        cached.copy = await drawing.manifest(
            _known_origin(cache), cached.model, cached.version
        )
    eventlog.event("weights.manifest", version=cached.copy.version)
    cached.changed.notify()


def _known_origin(cache):
    origin = _origin(cache)
    if origin is None:
        raise errors.OriginError("no origin is configured", step="weights.fetch")
    return origin


async def _fetch_pieces(cache, cached, failures):
    sources = _sources(cache, cached)
    source = sources[failures % len(sources)]
    if source is None:
        await drawing.draw(
            _known_origin(cache), cached.copy, lambda number: cached.changed.notify()
        )
        return
    await piece_stream.receive_pieces(
        source.address,
        cached.copy,
        lambda number: cached.changed.notify(),
        STALL_S,
        WINDOW,
    )


def _sources(cache, cached):
    """Return the entries to receive from, and None for the origin at the end."""
    origin = _origin(cache)
    if origin is None:
        return [None]
    me, entries = _entries(cache)
    key = weight_sources.copy_key(cached.model, cached.copy.version)
    found = weight_sources.sources_of_entry(
        me, entries, key, origin.failure_domain, _region_of(cache, origin)
    )
    return [*found, None]


async def _serve(cache, stream):
    """Send one version to another process, pieces as they arrive here."""
    frames = piece_stream.Frames(stream, "")
    try:
        http1.protect(stream)
        request = await piece_stream.receive(
            frames, STALL_S, piece_stream.MAX_REQUEST_BYTES
        )
        if not isinstance(request, ttypes.ManifestRequest):
            raise errors.WireError("no request", step="pieces.serve")
        version = request.version or _newest(cache, request.model)
        needs_pieces = not request.manifest_only
        cached = _want(cache, request.model, version, needs_pieces)
        cached.readers += needs_pieces
        try:
            await _send_copy(frames, cached, request)
        finally:
            cached.readers -= needs_pieces
            cached.read_at = anyio.current_time()
    except (errors.WireError, errors.ConnectionClosedError) as exc:
        eventlog.debug("pieces.ended", error=str(exc))
    except Exception as exc:
        eventlog.failure("pieces.failed", exc)
    finally:
        await anyio.aclose_forcefully(stream)


def _newest(cache, model):
    """Return the version to send where the newest one is asked for."""
    return fleets.newest_version(cache.fleet, model) or piece_stream.NEWEST


async def _send_copy(frames, cached, request):
    while cached.copy is None:
        await cached.changed.wait(STALL_S)
    copy = cached.copy
    manifest = ttypes.ManifestReply(
        copy.model, copy.version, b"".join(copy.digests), copy.piece_bytes
    )
    await piece_stream.send(frames, manifest)
    while not request.manifest_only:
        block = await piece_stream.receive(
            frames, REQUEST_IDLE_S, piece_stream.MAX_REQUEST_BYTES
        )
        if not isinstance(block, ttypes.BlockRequest):
            raise errors.WireError("no request for a block", step="pieces.serve")
        while block.number not in copy.pieces:
            if cached.copy is not copy:
                return
            await cached.changed.wait(STALL_S)
        piece = copy.pieces[block.number]
        data = piece[block.offset : block.offset + block.size]
        reply = ttypes.BlockReply(block.number, block.offset, data)
        await piece_stream.send(frames, reply)
