"""Fetches weights for an entry, and switches to another source if one fails.

One entry, the seeder, downloads a version from the origin; the others receive it from
the seeder or from each other. Only if a source makes no progress although the origin
responds does another entry download from the origin too.
"""

import functools
import itertools

import anyio

from carobstand import errors, eventlog
from carobstand.core import weight_sources
from carobstand.entry import fleet as fleets
from carobstand.entry import piece_gathering
from carobstand.transfer import origin_download, piece_stream

SILENCE_S = 1.5
"""Maximum silence of another entry, which sends a keepalive every 0.4 s."""

MANIFEST_TIMEOUTS = piece_stream.Timeouts(SILENCE_S, 0.0)
"""Does not wait for an entry that has no manifest itself: two entries could wait for
each other."""

STALL_TIMEOUT_S = 3.0
"""Time without progress of a source after which the origin is tried directly."""

STALL_STEP_S = 1.0
"""Added to the timeout per rank, so that entries take over one at a time."""

PROGRESS_WAIT_S = 0.6
"""Time allowed for the source to make progress after the origin has responded."""

WINDOW = piece_stream.Window(blocks=4, block_bytes=8192)
"""Covers a delay of 15 ms between regions at the rate of the origin."""

REGISTRATION_WAIT_S = 0.3
"""Time after the first read of the store within which all entries register, which takes
0.1 s. Without a wait, each entry would download from the origin after all were down."""

ASKED_ENTRIES = 3
"""Entries that a seeder, or the first one of a region, asks for their pieces if agents
hold some already: those that take over from it, in their order."""

TURN_CHECK_S = 0.05
"""Interval of checks whether an older version is still to be fetched first."""

RETRY_S = 0.2
"""Pause after a failure of a source."""

UNREACHABLE_S = 3.0
"""Time for which a source that was silent or refused a connection counts as gone. Its
record stays for 15 s, and without this nobody took over from a seeder that was frozen
for 7 s."""

FAILURES = (
    errors.OriginError,
    errors.StalledError,
    errors.WeightsError,
    errors.WireError,
    errors.ConnectionClosedError,
)


def origin_of(fleet):
    """Return the configured `Origin`, or None."""
    services = fleet.configuration.services.values() if fleet.configuration else ()
    return next((item.origin for item in services if item.origin), None)


def _known_origin(fleet):
    origin = origin_of(fleet)
    if origin is None:
        raise errors.OriginError("no origin is configured", step="weights.fetch")
    return origin


def _entries(fleet):
    """Return this entry, and a list of it and all other registered entries."""
    dep = fleet.deployment
    me = weight_sources.entry_from_deployment(dep)
    others = [item for vm, item in fleet.roster.entries.items() if vm != dep.vm]
    return me, [me, *others]


def _seeders(fleet, model):
    """Return this entry, and all entries in the order in which they seed a model."""
    origin = origin_of(fleet)
    me, entries = _entries(fleet)
    if origin is None:
        return me, entries
    key = weight_sources.copy_key(model)
    region = fleet.deployment.regions.get(origin.failure_domain, "")
    return me, weight_sources.seeders(entries, key, origin.failure_domain, region)


def is_seeder(fleet, model):
    """Whether this entry downloads versions of a model from the origin."""
    me, order = _seeders(fleet, model)
    return order[0].vm == me.vm


def should_prefetch(fleet, model):
    """Whether this entry fetches versions of a model before they are requested."""
    me, entries = _entries(fleet)
    key = weight_sources.copy_key(model)
    own = weight_sources.ranked_in_region(entries, key, me.region)
    return is_seeder(fleet, model) or own[0].vm == me.vm


def sources_of(fleet, model, unreachable=frozenset()):
    """Return the entries to receive versions of a model from, best first.

    These are the entries ranked before this one in its region, then the seeder. The
    list is empty for the seeder.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    model : str
    unreachable : set of str
        VMs of entries that do not count: the next ones take their places.
    """
    me, order = _seeders(fleet, model)
    order = [entry for entry in order if entry.vm not in unreachable or entry == me]
    if order[0].vm == me.vm:
        return []
    key = weight_sources.copy_key(model)
    own = weight_sources.ranked_in_region(order, key, me.region)
    before = own[: [entry.vm for entry in own].index(me.vm)]
    return before + [entry for entry in order[:1] if entry not in before]


async def fetch(fleet, cached):
    """Fetch one version until it is complete, from other entries and from agents.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    cached : entry.weight_cache.CachedVersion
    """
    try:
        async with anyio.create_task_group() as tg:
            for source in (_fetch_from_entries, _gather_from_agents):
                tg.start_soon(_fetch_until_complete, source, fleet, cached, tg)
    except BaseExceptionGroup as group:
        raise errors.first_carobstand_error(group) from group
    cached.is_complete = True
    eventlog.event("weights.held", version=cached.copy.version)


async def _fetch_until_complete(source, fleet, cached, tg):
    await source(fleet, cached)
    tg.cancel_scope.cancel()


async def _gather_from_agents(fleet, cached):
    while not cached.needs_pieces:
        await cached.changed.wait(1.0)
    await piece_gathering.run(fleet, cached, _notifier(cached))


async def _fetch_from_entries(fleet, cached):
    """Fetch from other entries or the origin, switching sources after failures."""
    failures = 0
    while True:
        try:
            if cached.copy is None:
                await _fetch_manifest(fleet, cached, failures)
            while not cached.needs_pieces:
                await cached.changed.wait(1.0)
            await _until_entries_known(fleet)
            await _until_in_turn(cached)
            await _fetch_pieces(fleet, cached, failures)
            return
        except FAILURES as exc:
            failures += 1
            eventlog.event(
                "weights.source_failed", version=cached.version, error=str(exc)
            )
            if isinstance(exc, errors.WeightsError):
                cached.copy = None
            await anyio.sleep(RETRY_S)


async def _until_entries_known(fleet):
    while fleet.first_read_at is None:
        await fleet.changed.wait(REGISTRATION_WAIT_S)
    await anyio.sleep_until(entries_known_at(fleet))


def entries_known_at(fleet):
    """Return when this entry knows all entries that started together with it.

    A registration during the pause after a watch is read after that pause. Without it
    in the sum, two entries have downloaded the same copy.
    """
    pause_s = fleets.batch_delay_s(fleet.deployment.bounds)
    return fleet.first_read_at + REGISTRATION_WAIT_S + pause_s


async def _until_in_turn(cached):
    """Wait while an older version that is being received is to be fetched first."""
    while cached.has_to_wait():
        await anyio.sleep(TURN_CHECK_S)


async def _download(fleet, cached):
    await origin_download.download_pieces(
        _known_origin(fleet),
        cached.copy,
        _notifier(cached),
        wanted=cached.wanted,
        until_clear=functools.partial(_until_in_turn, cached),
    )


async def _fetch_manifest(fleet, cached, failures):
    """Fetch the manifest, alternately from the origin and from entries and agents."""
    port = fleet.deployment.internal_ports[0]
    others = [entry.address for entry in _entries(fleet)[1][1:]]
    agents = [f"{host}:{port}" for host in cached.agents()]
    # Entries and agents alternate, so that few failures lead to one that holds it.
    pairs = itertools.zip_longest(agents, others)
    peers = [peer for pair in pairs for peer in pair if peer] if cached.version else []
    if failures % 2 and peers:
        cached.copy = await piece_stream.receive_manifest(
            peers[failures // 2 % len(peers)],
            cached.model,
            cached.version,
            MANIFEST_TIMEOUTS,
        )
    else:
        cached.copy = await origin_download.fetch_manifest(
            _known_origin(fleet), cached.model, cached.version
        )
    eventlog.event("weights.manifest", version=cached.copy.version)
    cached.changed.notify()


async def _fetch_pieces(fleet, cached, failures):
    """Fetch the missing pieces from one source."""
    me, order = _seeders(fleet, cached.model)
    rank = next(n for n, entry in enumerate(order) if entry.vm == me.vm)
    sources = sources_of(fleet, cached.model, _unreachable(cached))
    if not failures and cached.agents():
        sources = await _entries_ahead(cached, me, order) or sources
    if not sources:
        await _download(fleet, cached)
        return
    source = sources[failures % len(sources)]
    timeouts = piece_stream.Timeouts(SILENCE_S, STALL_TIMEOUT_S + STALL_STEP_S * rank)
    try:
        await piece_stream.receive_pieces(
            source.address,
            cached.copy,
            _notifier(cached),
            WINDOW,
            timeouts,
            cached,
        )
    except errors.StalledError:
        await _download_instead(fleet, cached)
    except errors.UnresponsiveError:
        cached.unreachable[source.vm] = anyio.current_time()
        raise


def _unreachable(cached):
    """Return the VMs of sources that failed a moment ago."""
    now = anyio.current_time()
    return {vm for vm, at in cached.unreachable.items() if now - at < UNREACHABLE_S}


async def _entries_ahead(cached, me, order):
    """Return the entry that took over from this one, if it holds more pieces.

    A restarted seeder would otherwise share the origin's link with it, and a restarted
    first entry of a region would receive the copy from another region once more.
    """
    own = weight_sources.ranked_in_region(
        order, weight_sources.copy_key(cached.model), me.region
    )
    if order[0].vm == me.vm:
        entries = order[1 : 1 + ASKED_ENTRIES]
    elif own[0].vm == me.vm:
        entries = own[1 : 1 + ASKED_ENTRIES]
    else:
        return []
    found = []

    async def ask(entry):
        try:
            _, held = await piece_stream.receive_offer(
                entry.address, cached.model, cached.version, MANIFEST_TIMEOUTS
            )
        except FAILURES as exc:
            eventlog.debug("weights.not_offered", entry=entry.vm, error=str(exc))
            return
        if len(held) > len(cached.copy.pieces):
            found.append((len(held), entry))

    async with anyio.create_task_group() as tg:
        for entry in entries:
            tg.start_soon(ask, entry)
    return [entry for _, entry in sorted(found, key=lambda item: -item[0])[:1]]


async def _download_instead(fleet, cached):
    """Download from the origin if it responds and the source makes no progress."""
    await _until_in_turn(cached)
    origin = _known_origin(fleet)
    await origin_download.fetch_manifest(origin, cached.model, cached.copy.version)
    held = len(cached.copy.pieces)
    await anyio.sleep(PROGRESS_WAIT_S)
    if len(cached.copy.pieces) > held:
        return
    eventlog.event("weights.drawing_instead", version=cached.copy.version, held=held)
    await _download(fleet, cached)


def _notifier(cached):
    def on_piece(number):
        cached.progressed_at = anyio.current_time()
        cached.changed.notify()

    return on_piece
