"""Newest weights in an entry's memory, for the agents and entries of its region."""

import anyio
import attrs

from carobstand import errors, eventlog, http1, signals
from carobstand.core import weight_copy
from carobstand.entry import fleet as fleets
from carobstand.entry import news_relay, weight_fetching
from carobstand.transfer import piece_stream
from carobstand.wire.gen_fleet import ttypes

COPIES_KEPT = 2
"""Versions of a model that are held; agents may still be receiving the older one."""

LOOK_INTERVAL_S = 0.25
"""Interval in which named versions are looked at again, as entries come and go."""

SETTLED_S = 3.0
"""Time after the start in which all entries have registered."""

UNREAD_S = 0.5
"""A version that is no longer the newest is not fetched on if nobody has received it
for so long: agents have gone on to the newest one."""

REQUEST_TIMEOUT_S = 1.5
"""Longest wait for the first request on a connection."""

REQUEST_IDLE_S = 10.0
"""Longest pause between two requests on a connection."""


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
            _fetch_served(cache)
            _stop_unread(cache)
            await cache.fleet.changed.wait(LOOK_INTERVAL_S)


def _fetch_named(cache):
    """Begin to fetch newly named weights that this entry holds for its region."""
    for model in cache.fleet.named:
        version = fleets.newest_version(cache.fleet, model)
        if weight_fetching.is_holder(cache.fleet, model, version):
            want(cache, model, version, needs_pieces=True)


def _fetch_served(cache):
    """Draw the weights with which the system starts for the first time.

    Engines that are added need them soon, and the origin may be away then.
    """
    fleet = cache.fleet
    if not fleet.deployment.is_first_start or fleet.named:
        return
    if anyio.current_time() - fleet.started < SETTLED_S:
        return
    for model in {holding.model for holding in fleets.holdings(fleet)}:
        version = fleets.served_version(fleet, model)
        if weight_fetching.is_drawer(fleet, model, version):
            want(cache, model, version, needs_pieces=True)


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


def want(cache, model, version, needs_pieces):
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


async def _fetch(cache, cached):
    """Receive one version until it is complete or no longer wanted."""
    try:
        with cached.scope:
            await weight_fetching.fetch(cache.fleet, cached)
    except Exception as exc:
        # The version is fetched anew once it is wanted again.
        eventlog.failure("weights.fetch_failed", exc, version=cached.version)
        key = (cached.model, cached.version)
        if cache.held.get(key) is cached:
            del cache.held[key]


async def _serve(cache, stream):
    """Send one version to another process, pieces as they arrive here."""
    frames = piece_stream.Frames(stream, "")
    try:
        http1.protect(stream)
        request = await piece_stream.receive(
            frames, REQUEST_TIMEOUT_S, piece_stream.MAX_REQUEST_BYTES
        )
        if isinstance(request, ttypes.NewsRequest):
            return await news_relay.serve(cache.fleet, frames, request)
        if not isinstance(request, ttypes.ManifestRequest):
            raise errors.WireError("no request", step="pieces.serve")
        version = request.version or _newest(cache, request.model)
        needs_pieces = not request.manifest_only
        cached = want(cache, request.model, version, needs_pieces)
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
    version = fleets.newest_version(cache.fleet, model)
    if version is None:
        version = fleets.served_version(cache.fleet, model)
    return version or piece_stream.NEWEST


async def _send_copy(frames, cached, request):
    """Send the manifest, then each block that is asked for, once it is here."""
    while cached.copy is None:
        if not await cached.changed.wait(piece_stream.ALIVE_S):
            await piece_stream.send(frames, piece_stream.no_manifest_yet(cached))
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
            if cached.copy is not copy or cached.scope.cancel_called:
                return
            if not await cached.changed.wait(piece_stream.ALIVE_S):
                waiting = ttypes.BlockReply(block.number, block.offset, b"")
                await piece_stream.send(frames, waiting)
        piece = copy.pieces[block.number]
        data = piece[block.offset : block.offset + block.size]
        reply = ttypes.BlockReply(block.number, block.offset, data)
        await piece_stream.send(frames, reply)
