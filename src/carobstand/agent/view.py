"""Cached state of an agent on the platform, and the loops that keep it current."""

import math
import random

import anyio
import attrs

from carobstand import (
    entry_records,
    errors,
    eventlog,
    http1_calls,
    signals,
    unreadable_records,
)
from carobstand.core import load_schedule, named_versions, routes, weight_copy
from carobstand.platform import kv, records
from carobstand.transfer import relayed_configuration

VERSIONS_WAIT_S = 12.0
"""Maximum wait of a watch for named versions. If the store leaves this VM without a
response, the watch is repeated after it."""

WATCH_WAIT_S = 25.0
"""Maximum wait of a watch for other changes. The kernel's keep-alive probes close a
connection that was silently dropped by the network."""

ASK_INTERVAL_S = 0.4
"""Pause before entries are asked for the configuration again."""

ASKED_ENTRIES = 2
"""Entries that are asked in one round; others may be gone, and time out."""

DIRECT_READ_S = 6.0
"""Shortest time, at most doubled, for which entries are asked before the configuration
is read from the store. Entries that all start at once have it within 6 s."""

CONFIGURATION_DELAY_S = 2.0
"""Shortest time, at most doubled, for which an agent whose engine serves delays its
read of the configuration, to leave the link to entries."""

STEADY_S = 5.0
"""Time after a failed call of the store in which no change is dated by its arrival."""

BATCH_DELAY_S = 1.0
"""Pause after changes of entries. They register one after another, and each watch that
returns costs a call of the store."""

RETRY_MIN_S = 0.2
RETRY_MAX_S = 0.8
"""Shortest and longest pause between calls of an unreachable store; it doubles with
each. It stays short because callers wait for versions named during the outage."""


@attrs.define(eq=False)
class View:
    """State shared by the loops of an agent.

    Attributes
    ----------
    deployment : core.deployment.Deployment
    store : platform.kv.Store
    engine : http1_calls.Client
        The engine on this VM.
    configuration : core.routes.Configuration or None
        No longer updated once it contains the engine's service.
    named : dict of str to list of core.named_versions.SeenVersion
        Named versions by model, in ascending order. Those found by the first listing
        were named before this process started and have a time of ``-inf``.
    versions_read : bool
        Whether the named versions have been listed at least once.
    arrived_at : float or None
        Time at which the changes that are being applied arrived; None if no watch had
        waited for them.
    witnessed : dict of (str, int) to float
        When versions arrived, by model and version, of those for which a watch waited.
    entries : dict of str to core.weight_sources.Entry
        Registered entries by VM.
    report : core.engine_report.EngineReport or None
        Latest report of the engine; None while it does not respond.
    last_report : core.engine_report.EngineReport or None
        Latest report, kept while the engine does not respond.
    unreadable : unreadable_records.Unreadable
        Records that cannot be decoded and were logged.
    copies : dict of int to core.weight_copy.WeightCopy
        Weights being received or complete, by version.
    target : int or None
        Version that is being received.
    load_at : float or None
        Scheduled time of the next order to load; None if none is expected soon.
    started_at : float
        Time at which this process began to receive weights.
    changed : signals.Signal
        Notified at each change of the above.
    """

    deployment: object
    store: kv.Store
    engine: http1_calls.Client
    configuration: object = None
    named: dict = attrs.field(factory=dict)
    versions_read: bool = False
    arrived_at: float | None = None
    witnessed: dict = attrs.field(factory=dict)
    entries: dict = attrs.field(factory=dict)
    report: object = None
    last_report: object = None
    unreadable: unreadable_records.Unreadable = attrs.field(
        factory=unreadable_records.Unreadable
    )
    copies: dict = attrs.field(factory=dict)
    target: int | None = None
    load_at: float | None = None
    started_at: float = 0.0
    changed: signals.Signal = attrs.field(factory=signals.Signal)


def service(view):
    """Return the `Service` of the engine, or None while it is unknown."""
    config = view.configuration
    found = config.services.get(view.deployment.service) if config else None
    return found if found and found.weights else None


def origin(view):
    """Return the `Origin` of weights, or None."""
    services = view.configuration.services.values() if view.configuration else ()
    return next((item.origin for item in services if item.origin), None)


def outlook(view, service):
    """Return the `core.load_schedule.Outlook` of the engine, or None without a report.

    An engine that stops reporting for a while still holds its weights, and a complete
    copy that is newer is about to be loaded.
    """
    report = view.report or view.last_report
    if report is None:
        return None
    size = service.weights.pieces * service.weights.piece_bytes
    source = origin(view)
    rates = [view.deployment.link_bytes_per_s, source.bytes_per_s if source else 0]
    return load_schedule.Outlook(
        named=view.named.get(service.weights.models[0], []),
        serving=report.holding.version if report.holding else None,
        complete=[v for v, c in view.copies.items() if weight_copy.is_complete(c)],
        missing={
            version: 1 - len(copy.pieces) / len(copy.digests)
            for version, copy in view.copies.items()
            if not weight_copy.is_complete(copy)
        },
        copy_s=max(load_schedule.receive_s(size, rate) for rate in rates),
        allowed_s=view.deployment.bounds.version_s,
        slowness=report.slowness,
        waiting=report.waiting if view.report else None,
    )


async def read_configuration(view):
    """Follow the configuration until it contains the engine's service.

    Entries of the region are asked first, as they pass on the few services instead of
    all routes. The read from the store is delayed unless the engine lacks weights:
    after the loss of all VMs the link of the region is needed by entries first.
    """
    with anyio.move_on_after(DIRECT_READ_S * (1 + random.random())):
        while service(view) is None:
            await _ask_entries(view)
            await view.changed.wait(ASK_INTERVAL_S)
    with anyio.move_on_after(CONFIGURATION_DELAY_S * (1 + random.random())):
        while not _lacks_weights(view):
            await view.changed.wait(1.0)
    await _follow(
        view,
        records.CONFIGURATION_KEY,
        lambda item: _apply_configuration(view, item),
        until=lambda: service(view) is not None,
    )


async def _ask_entries(view):
    """Ask entries of the region, in random order, until one has the configuration."""
    region = view.deployment.region
    near = [entry for entry in view.entries.values() if entry.region == region]
    for entry in random.sample(near, min(len(near), ASKED_ENTRIES)):
        try:
            relayed = await relayed_configuration.ask(entry.address, services_only=True)
        except errors.CarobstandError as exc:
            eventlog.event("entry.not_asked", entry=entry.vm, error=str(exc))
            continue
        if relayed is not None:
            return _apply_readable(
                view, lambda item: _apply_configuration(view, item), relayed.item
            )


def _lacks_weights(view):
    """Whether the engine holds no weights or a newer version has been named."""
    if view.last_report is None:
        return False
    holding = view.last_report.holding
    named = view.named.get(holding.model, []) if holding else ()
    return holding is None or any(item.version > holding.version for item in named)


async def follow_versions(view):
    """Follow the versions that operators name."""
    await _follow(
        view,
        records.VERSION_PREFIX,
        lambda item: _apply_version(view, item),
        wait_s=VERSIONS_WAIT_S,
    )


async def follow_entries(view):
    """Follow the entries that may hold weights."""
    await _follow(
        view,
        entry_records.PREFIX,
        lambda item: _apply_entry(view, item),
        batch_delay_s=BATCH_DELAY_S,
    )


async def _follow(
    view, prefix, apply, *, wait_s=WATCH_WAIT_S, batch_delay_s=0.0, until=lambda: False
):
    """Apply all items below `prefix`, then each change, until `until` returns true.

    Parameters
    ----------
    view : View
    prefix : str
    apply : callable of (platform.kv.Item)
    wait_s : float
        Maximum wait of a watch.
    batch_delay_s : float
        Pause after changes, so that further ones arrive in one batch.
    until : callable without arguments
        Whether to stop.
    """
    revision, era, pause_s, failed_at = None, 0, RETRY_MIN_S, -math.inf
    while not until():
        sent_at, is_watch = anyio.current_time(), revision is not None
        try:
            if revision is None:
                changes = await kv.list_prefix(view.store, prefix)
            else:
                # After a failure, the first response tells whether history was lost.
                is_retry = pause_s > RETRY_MIN_S
                changes = await kv.watch(
                    view.store, prefix, revision, 0.0 if is_retry else wait_s
                )
                if changes.era != era:
                    revision = None
                    continue
            is_steady = is_watch and sent_at - failed_at > STEADY_S
            view.arrived_at = kv.prompt_arrival(changes, sent_at) if is_steady else None
            for item in changes.items:
                _apply_readable(view, apply, item)
            revision, era = changes.revision, changes.era
            view.versions_read |= prefix == records.VERSION_PREFIX
            pause_s = RETRY_MIN_S
            if changes.items:
                view.changed.notify()
                await anyio.sleep(batch_delay_s)
        except errors.HistoryLostError:
            revision = None
        except errors.StoreError as exc:
            eventlog.event("store.failed", error=str(exc), prefix=prefix)
            failed_at = anyio.current_time()
            await anyio.sleep(pause_s)
            pause_s = min(RETRY_MAX_S, pause_s * 2)


def _apply_readable(view, apply, item):
    try:
        apply(item)
        unreadable_records.forget(view.unreadable, item.key)
    except errors.RecordError as exc:
        unreadable_records.log(view.unreadable, item.key, exc.message)
    except Exception as exc:
        # The loop would fail again at the next reading, and apply no later change.
        eventlog.failure("record.failed", exc, key=item.key)


def _apply_configuration(view, item):
    if item.key != records.CONFIGURATION_KEY or item.value is None:
        return
    candidate = records.decode_configuration(item.value)
    if routes.is_newer(view.configuration, candidate):
        view.configuration = candidate


def _apply_version(view, item):
    if item.value is None:
        return
    named = records.decode_named_version(item.value)
    known = view.named.setdefault(named.model, [])
    seen_at = anyio.current_time() if view.versions_read else -math.inf
    if named_versions.add(known, named.version, seen_at):
        if view.arrived_at is not None:
            view.witnessed[named.model, named.version] = view.arrived_at
        arrived_at = view.arrived_at
        eventlog.event(
            "version.named",
            model=named.model,
            version=named.version,
            ago_s=arrived_at and round(anyio.current_time() - arrived_at, 3),
        )


def _apply_entry(view, item):
    vm = item.key.removeprefix(entry_records.PREFIX)
    if item.value is None:
        view.entries.pop(vm, None)
    else:
        view.entries[vm] = entry_records.decode(vm, item.value)
