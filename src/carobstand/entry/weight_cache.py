"""Caches the newest weights in memory and serves them to agents and entries."""

import collections
import functools

import anyio
import attrs

from carobstand import errors, eventlog, signals
from carobstand.core import engine_load, weight_copy
from carobstand.entry import change_relay, versions, weight_fetching
from carobstand.transfer import piece_server, piece_stream
from carobstand.wire.gen_fleet import ttypes

COPIES_KEPT = 3
"""Versions kept per model, complete or not: agents may still receive an older one, and
a newer one may be named meanwhile. A copy has 2.4 MB, an entry's VM 152 MB or more."""

CHECK_INTERVAL_S = 0.25
"""Interval of checks for versions to fetch, as entries start and stop."""

REGISTRATION_WAIT_S = 3.0
"""Time after the start within which all entries register."""

UNUSED_TIMEOUT_S = 0.5
"""Time without requests of agents after which fetching a version that is no longer the
newest is stopped: agents have moved on to the newest one. Its pieces are kept."""

PRECEDENCE_S = 1.5
"""Time after its last piece in which an older version precedes newer ones. A download
piece takes 0.1 s; without progress the origin may lack the older version."""


@attrs.define(eq=False)
class CachedVersion:
    """A version in the cache, complete or still being fetched.

    Attributes
    ----------
    version : int
        Requested version; `piece_stream.NEWEST` for the newest one.
    copy : core.weight_copy.WeightCopy or None
        None until the manifest is known.
    needs_pieces : bool
        Whether the pieces were requested, not only the manifest.
    is_complete : bool
    demanded_at : float
        Time at which an agent last requested a piece from here, or reported that it
        receives the version; at first that of the start of the fetch.
    progressed_at : float
        Time at which the last piece arrived, at first that of the first request.
    unreachable : dict of str to float
        Time at which a source last did not respond, by its VM.
    wanted : collections.Counter
        Number of readers that wait for each piece.
    scope : anyio.CancelScope or None
        Scope of the fetch; None while it is stopped.
    is_dropped : bool
        Whether the version was removed from the cache.
    fetched_since : float
        Time at which the fetch was started.
    has_to_wait : callable without arguments
        Whether an older version is to be fetched before this one now.
    agents : callable without arguments
        Returns the number of its pieces that agents of the region hold, by the IP
        address of the agent.
    changed : signals.Signal
        Notified when the manifest, a piece or `needs_pieces` changes.
    """

    model: str
    version: int
    copy: weight_copy.WeightCopy | None = None
    needs_pieces: bool = False
    is_complete: bool = False
    demanded_at: float = 0.0
    progressed_at: float = attrs.field(factory=anyio.current_time)
    unreachable: dict = attrs.field(factory=dict)
    wanted: collections.Counter = attrs.field(factory=collections.Counter)
    scope: anyio.CancelScope | None = None
    is_dropped: bool = False
    fetched_since: float = 0.0
    has_to_wait: object = lambda: False
    agents: object = dict
    changed: signals.Signal = attrs.field(factory=signals.Signal)


@attrs.define(eq=False)
class WeightCache:
    """CachedVersion weights of an entry.

    Attributes
    ----------
    fleet : entry.fleet.Fleet
    loads : core.engine_load.EngineLoads
        Reports of agents, which tell what pieces they hold.
    held : dict of (str, int) to CachedVersion
        By model and version.
    tasks : task group
        Runs the fetches.
    explain : callable or None
        Returns the reply to an `ExplainRequest`, which comes over the same port.
    """

    fleet: object
    loads: object = attrs.field(factory=engine_load.EngineLoads)
    held: dict = attrs.field(factory=dict)
    tasks: object = None
    explain: object = None


async def run(cache):
    """Fetch named versions and serve them to other processes until cancelled."""
    dep = cache.fleet.deployment
    listener = await anyio.create_tcp_listener(
        local_host=dep.ip, local_port=dep.internal_ports[0]
    )
    async with listener, anyio.create_task_group() as tg:
        cache.tasks = tg
        handle = functools.partial(_serve, cache)
        tg.start_soon(piece_server.listen, listener, handle)
        while True:
            _fetch_named(cache)
            _fetch_served(cache)
            _note_demand(cache)
            _stop_unused(cache)
            await cache.fleet.changed.wait(CHECK_INTERVAL_S)


def _fetch_named(cache):
    """Start fetching named versions that this entry caches for its region."""
    for model in cache.fleet.named:
        version = versions.newest_version(cache.fleet, model)
        if weight_fetching.should_prefetch(cache.fleet, model):
            get_or_fetch(cache, model, version, needs_pieces=True)


def _fetch_served(cache):
    """Download the weights that are served at the first start of the system.

    Engines added later need them soon, and the origin may be unavailable by then.
    """
    fleet = cache.fleet
    if not fleet.deployment.is_first_start or fleet.named:
        return
    if anyio.current_time() - fleet.started < REGISTRATION_WAIT_S:
        return
    for model in {holding.model for holding in versions.holdings(fleet)}:
        version = versions.served_version(fleet, model)
        if weight_fetching.is_seeder(fleet, model):
            get_or_fetch(cache, model, version, needs_pieces=True)


def _stop_unused(cache):
    """Stop fetching older versions that no agent receives any more."""
    for (model, version), cached in list(cache.held.items()):
        newest = versions.newest_version(cache.fleet, model)
        if newest is None or version >= newest or cached.scope is None:
            continue
        if _is_in_demand(cached):
            continue
        held = len(cached.copy.pieces) if cached.copy else 0
        eventlog.event("weights.paused", version=version, newest=newest, held=held)
        _stop(cached)


def _is_in_demand(cached):
    """Whether agents are receiving a version; entries that prefetch do not count."""
    return anyio.current_time() - cached.demanded_at < UNUSED_TIMEOUT_S


def _note_demand(cache):
    """Note which versions agents receive, wherever they receive them from.

    Through a chain of entries the end of a demand would become known too late.
    """
    incomplete = [item for item in cache.held.values() if not item.is_complete]
    if not incomplete or not cache.fleet.named:
        return
    now = anyio.current_time()
    received = {
        load.receiving_version
        for load in cache.loads.by_address.values()
        if now - load.received_at < engine_load.MAX_REPORT_AGE_S
    }
    for cached in incomplete:
        if cached.version in received:
            cached.demanded_at = now


def _stop(cached):
    """Stop fetching a version; what is held of it stays."""
    if cached.scope is not None:
        cached.scope.cancel()
        cached.scope = None


def _drop(cache, key):
    """Remove a version from the cache, and end the connections of its readers."""
    cached = cache.held.pop(key)
    cached.is_dropped = True
    _stop(cached)
    cached.changed.notify()


def get_or_fetch(cache, model, version, needs_pieces):
    """Return the `CachedVersion` of a version; start to fetch what it lacks.

    Returns
    -------
    cached : CachedVersion or None
        None if the cache is full of newer versions.
    """
    key = (model, version)
    if key not in cache.held:
        others = sorted(other for name, other in cache.held if name == model)
        is_old = sum(other > version for other in others) >= COPIES_KEPT
        if is_old and version != piece_stream.NEWEST:
            return None
        for other in others[: max(0, len(others) + 1 - COPIES_KEPT)]:
            _drop(cache, (model, other))
        cached = cache.held[key] = CachedVersion(model, version)
        cached.has_to_wait = lambda: _has_to_wait(cache, cached)
        cached.agents = lambda: _agents_that_hold(cache, cached)
    cached = cache.held[key]
    is_stopped = cached.scope is None and not cached.is_complete
    if is_stopped and (needs_pieces or cached.copy is None):
        cached.scope = anyio.CancelScope()
        cached.demanded_at = cached.fetched_since = anyio.current_time()
        cache.tasks.start_soon(_fetch, cache, cached, cached.scope)
    if needs_pieces and not cached.needs_pieces:
        cached.needs_pieces = True
        cached.changed.notify()
    return cached


def _has_to_wait(cache, cached):
    """Whether an older version that is being received precedes this one.

    Both would halve the origin's link, so that neither might be complete in time.
    """
    now = anyio.current_time()
    return any(
        other.model == cached.model
        and other.version < cached.version
        and _is_in_demand(other)
        and not other.is_complete
        and now - other.progressed_at < PRECEDENCE_S
        for other in cache.held.values()
    )


def _agents_that_hold(cache, cached):
    """Return the number of pieces of a version that agents of the region hold."""
    fleet, now, found = cache.fleet, anyio.current_time(), {}
    dep, config = fleet.deployment, fleet.configuration
    for server in fleet.servers.servers.values():
        service = config.services.get(server.service) if config else None
        if service is None or service.weights is None:
            continue
        if cached.model not in service.weights.models:
            continue
        load = engine_load.fresh_load(cache.loads, server, now)
        if load is None or dep.regions.get(server.failure_domain) != dep.region:
            continue
        pieces = engine_load.held_pieces(load, cached.version, service.weights.pieces)
        if pieces:
            found[load.agent_host] = pieces
    return found


async def _fetch(cache, cached, scope):
    """Fetch a version until it is complete or cancelled."""
    try:
        with scope:
            await weight_fetching.fetch(cache.fleet, cached)
    except Exception as exc:
        # The next request for the version starts a new fetch.
        eventlog.failure("weights.fetch_failed", exc, version=cached.version)
        key = (cached.model, cached.version)
        if cache.held.get(key) is cached:
            _drop(cache, key)
    finally:
        if cached.scope is scope:
            cached.scope = None


async def _serve(cache, frames, request):
    """Serve one connection: a version, changes of the store, or an explanation."""
    if isinstance(request, ttypes.ExplainRequest) and cache.explain is not None:
        return await piece_stream.send(frames, cache.explain(request))
    if isinstance(request, ttypes.NewsRequest):
        return await change_relay.serve(cache.fleet, frames, request)
    piece_server.require_manifest_request(request)
    version = request.version or _newest_version(cache, request.model)
    needs_pieces = not request.manifest_only
    cached = get_or_fetch(cache, request.model, version, needs_pieces)
    if cached is None:
        raise errors.WireError("newer weights are held", step="pieces.serve")
    await _send_copy(frames, cached, request)


def _newest_version(cache, model):
    """Return the version to send if the newest one is requested."""
    version = versions.newest_version(cache.fleet, model)
    if version is None:
        version = versions.served_version(cache.fleet, model)
    return version or piece_stream.NEWEST


async def _send_copy(frames, cached, request):
    """Send the manifest, then each requested block once its piece has arrived."""
    while cached.copy is None:
        if cached.is_dropped:
            return
        if not await cached.changed.wait(piece_stream.KEEPALIVE_INTERVAL_S):
            await piece_server.send_pending_manifest(
                frames, cached.model, cached.version
            )
    copy = cached.copy

    async def until_held(block):
        if not block.spare:
            cached.demanded_at = anyio.current_time()
        if block.ahead or block.number in copy.pieces:
            return await _until_held(frames, cached, copy, block)
        cached.wanted[block.number] += 1
        try:
            return await _until_held(frames, cached, copy, block)
        finally:
            cached.wanted[block.number] -= 1
            cached.wanted += collections.Counter()

    await piece_server.send_copy(frames, copy, request, until_held)


async def _until_held(frames, cached, copy, block):
    """Wait for a piece; return False if this process will not have it."""
    while block.number not in copy.pieces:
        if cached.copy is not copy or cached.is_dropped:
            return False
        if cached.scope is None and not cached.is_complete:
            # Its fetch was stopped; a new request for the version resumes it.
            return False
        if not block.spare:
            cached.demanded_at = anyio.current_time()
        if not await cached.changed.wait(piece_stream.KEEPALIVE_INTERVAL_S):
            waiting = ttypes.BlockReply(block.number, block.offset, b"")
            await piece_stream.send(frames, waiting)
    return True
