"""Where an entry receives weights from, and what it does if a source fails.

One entry draws a version from the origin; the others wait for it while it is there.
Only if it makes no progress although the origin answers others does the next one draw.
"""

import anyio

from carobstand import errors, eventlog
from carobstand.core import weight_sources
from carobstand.transfer import drawing, piece_stream

SILENCE_S = 1.5
"""Longest silence of another entry; it says three times a second that it is there."""

MANIFEST_PATIENCE = piece_stream.Patience(SILENCE_S, 0.0)
"""An entry that waits for the manifest itself is of no use: two could wait for each
other."""

STUCK_S = 3.0
"""Time without progress at another entry after which the origin is tried itself."""

STUCK_STEP_S = 1.0
"""Each later entry waits so much longer, so that one of them takes over at a time."""

PROBED_S = 0.6
"""Time for the first source to go on, once the origin has been seen to answer."""

WINDOW = piece_stream.Window(blocks=4, block_bytes=8192)
"""Covers 15 ms between regions at the rate of the origin."""

REGISTERED_S = 0.3
"""Time after its first read of the store in which an entry may not know all others:
after an outage of all, each one would draw. They register within 0.1 s."""

RETRY_S = 0.2
"""Pause after a source failed."""

FAILURES = (
    errors.OriginError,
    errors.StuckError,
    errors.WeightsError,
    errors.WireError,
    errors.ConnectionClosedError,
)


def origin_of(fleet):
    """Return the `Origin` of the configuration, or None."""
    services = fleet.configuration.services.values() if fleet.configuration else ()
    return next((item.origin for item in services if item.origin), None)


def _known_origin(fleet):
    origin = origin_of(fleet)
    if origin is None:
        raise errors.OriginError("no origin is configured", step="weights.fetch")
    return origin


def _entries(fleet):
    """Return this entry, and all that are registered with itself among them."""
    dep = fleet.deployment
    me = weight_sources.entry_from_deployment(dep)
    others = [item for vm, item in fleet.entries.items() if vm != dep.vm]
    return me, [me, *others]


def _drawers(fleet, model, version):
    """Return the entries in the order in which they draw a version."""
    origin = origin_of(fleet)
    me, entries = _entries(fleet)
    if origin is None:
        return me, entries
    key = weight_sources.copy_key(model, version)
    region = fleet.deployment.regions.get(origin.failure_domain, "")
    return me, weight_sources.seeders(entries, key, origin.failure_domain, region)


def is_drawer(fleet, model, version):
    """Whether this entry draws a version from the origin."""
    me, order = _drawers(fleet, model, version)
    return order[0].vm == me.vm


def is_holder(fleet, model, version):
    """Whether this entry receives a version before anyone asks for it."""
    me, entries = _entries(fleet)
    key = weight_sources.copy_key(model, version)
    own = weight_sources.ranked_in_region(entries, key, me.region)
    return is_drawer(fleet, model, version) or own[0].vm == me.vm


def sources_of(fleet, model, version):
    """Return the entries to receive from, best first.

    Those before this one in its region, then the one that draws; none for the latter.
    """
    me, order = _drawers(fleet, model, version)
    if order[0].vm == me.vm:
        return []
    key = weight_sources.copy_key(model, version)
    own = weight_sources.ranked_in_region(order, key, me.region)
    before = own[: [entry.vm for entry in own].index(me.vm)]
    return before + [entry for entry in order[:1] if entry not in before]


async def fetch(fleet, cached):
    """Receive one version, going from source to source, until it is complete.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    cached : entry.weight_cache.Cached
    """
    failures = 0
    while True:
        try:
            if cached.copy is None:
                await _fetch_manifest(fleet, cached, failures)
            while not cached.needs_pieces:
                await cached.changed.wait(1.0)
            await _until_entries_known(fleet)
            await _fetch_pieces(fleet, cached, failures)
            cached.is_complete = True
            eventlog.event("weights.held", version=cached.copy.version)
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
    while fleet.read_at is None:
        await fleet.changed.wait(REGISTERED_S)
    await anyio.sleep_until(fleet.read_at + REGISTERED_S)


async def _fetch_manifest(fleet, cached, failures):
    """Read the manifest from the origin, or from another entry if that failed."""
    others = _entries(fleet)[1][1:] if cached.version else []
    if failures % 2 and others:
        peer = others[failures // 2 % len(others)]
        cached.copy = await piece_stream.receive_manifest(
            peer.address, cached.model, cached.version, MANIFEST_PATIENCE
        )
    else:
        cached.copy = await drawing.manifest(
            _known_origin(fleet), cached.model, cached.version
        )
    eventlog.event("weights.manifest", version=cached.copy.version)
    cached.changed.notify()


async def _fetch_pieces(fleet, cached, failures):
    """Receive the pieces that are missing from one source."""
    me, order = _drawers(fleet, cached.model, cached.copy.version)
    rank = next(n for n, entry in enumerate(order) if entry.vm == me.vm)
    sources = sources_of(fleet, cached.model, cached.copy.version)
    if not sources:
        await drawing.draw(_known_origin(fleet), cached.copy, _notifier(cached))
        return
    source = sources[failures % len(sources)]
    patience = piece_stream.Patience(SILENCE_S, STUCK_S + STUCK_STEP_S * rank)
    try:
        await piece_stream.receive_pieces(
            source.address, cached.copy, _notifier(cached), WINDOW, patience
        )
    except errors.StuckError:
        await _draw_instead(fleet, cached)


async def _draw_instead(fleet, cached):
    """Draw from the origin if it answers here and the source still does not go on."""
    origin = _known_origin(fleet)
    await drawing.manifest(origin, cached.model, cached.copy.version)
    held = len(cached.copy.pieces)
    await anyio.sleep(PROBED_S)
    if len(cached.copy.pieces) > held:
        return
    eventlog.event("weights.drawing_instead", version=cached.copy.version, held=held)
    await drawing.draw(origin, cached.copy, _notifier(cached))


def _notifier(cached):
    return lambda number: cached.changed.notify()
