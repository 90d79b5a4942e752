"""What an agent on the platform knows, and the loops that keep it up to date."""

import math
import random

import anyio
import attrs

from carobstand import entry_records, errors, eventlog, http1, signals
from carobstand.core import named_versions
from carobstand.platform import kv, records

VERSIONS_WAIT_S = 12.0
"""Longest wait for named weights; a store that leaves one VM without an answer is asked
anew after it."""

WATCH_WAIT_S = 25.0
"""Longest wait for other changes; the kernel's probes end a connection that was
silenced on the way."""

CONFIGURATION_DELAY_S = 2.0
"""Time up to twice which an agent whose engine serves leaves the link to entries."""

GATHER_S = 1.0
"""Pause after news of entries: they register in series, and each answered watch is a
call of the store."""

RETRY_MIN_S = 0.2
RETRY_MAX_S = 0.8
"""Pauses between calls of a store that does not answer; they grow twofold. Weights that
were named meanwhile are awaited by all callers once it is back."""


@attrs.define(eq=False)
class View:
    """State that the loops of an agent share.

    Attributes
    ----------
    deployment : core.deployment.Deployment
    store : platform.kv.Store
    engine : http1.Caller
        The engine on this VM.
    configuration : core.routes.Configuration or None
        As it was when it was last needed.
    named : dict of str to list of core.named_versions.SeenVersion
        By model, in the order of their versions. Those named before this process
        began were named in the past without end.
    follows_versions : bool
        Whether the named weights have been read once.
    entries : dict of str to core.weight_sources.Entry
        By VM.
    report : core.engine_report.EngineReport or None
        Newest report of the engine; None while it does not answer.
    last_report : core.engine_report.EngineReport or None
        The same, kept while the engine is silent.
    copies : dict of int to core.weight_copy.WeightCopy
        Weights that are received or complete, by version.
    load_at : float or None
        Time at which the engine will be ordered to load, if that is near.
    changed : signals.Signal
        Notified at each change of the above.
    """

    deployment: object
    store: kv.Store
    engine: http1.Caller
    configuration: object = None
    named: dict = attrs.field(factory=dict)
    follows_versions: bool = False
    entries: dict = attrs.field(factory=dict)
    report: object = None
    last_report: object = None
    copies: dict = attrs.field(factory=dict)
    load_at: float | None = None
    changed: signals.Signal = attrs.field(factory=signals.Signal)


def service(view):
    """Return the `Service` of the engine, or None while it is not known."""
    config = view.configuration
    found = config.services.get(view.deployment.service) if config else None
    return found if found and found.weights else None


def origin(view):
    """Return the `Origin` of weights, or None."""
    services = view.configuration.services.values() if view.configuration else ()
    return next((item.origin for item in services if item.origin), None)


async def read_configuration(view):
    """Follow the configuration until it names the engine's service.

    After the loss of all VMs it is large for a narrow link, and entries need it first.
    """
    with anyio.move_on_after(CONFIGURATION_DELAY_S * (1 + random.random())):
        while not _lacks_weights(view):
            await view.changed.wait(1.0)
    await _follow(
        view,
        records.CONFIGURATION_KEY,
        lambda item: _apply_configuration(view, item),
        until=lambda: service(view) is not None,
    )


def _lacks_weights(view):
    """Whether the engine is to be brought to other weights than it has."""
    if view.last_report is None:
        return False
    holding = view.last_report.holding
    named = view.named.get(holding.model, []) if holding else ()
    return holding is None or any(item.version > holding.version for item in named)


async def follow_versions(view):
    """Follow the weights that operators name."""
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
        gather_s=GATHER_S,
    )


async def _follow(
    view, prefix, apply, *, wait_s=WATCH_WAIT_S, gather_s=0.0, until=lambda: False
):
    """Apply all items below `prefix`, then each change, until cancelled.

    Parameters
    ----------
    view : View
    prefix : str
    apply : callable of (platform.kv.Item)
    wait_s : float
        Longest wait of a watch.
    gather_s : float
        Pause after changes, in which further ones gather.
    until : callable without arguments
        Whether enough is known.
    """
    revision, pause_s = None, RETRY_MIN_S
    while not until():
        try:
            if revision is None:
                changes = await kv.list_prefix(view.store, prefix)
            else:
                changes = await kv.watch(view.store, prefix, revision, wait_s)
            for item in changes.items:
                _apply_readable(apply, item)
            revision = changes.revision
            view.follows_versions |= prefix == records.VERSION_PREFIX
            pause_s = RETRY_MIN_S
            if changes.items:
                view.changed.notify()
                await anyio.sleep(gather_s)
        except errors.HistoryLostError:
            revision = None
        except errors.StoreError as exc:
            eventlog.event("store.failed", error=str(exc), prefix=prefix)
            await anyio.sleep(pause_s)
            pause_s = min(RETRY_MAX_S, pause_s * 2)


def _apply_readable(apply, item):
    try:
        apply(item)
    except errors.RecordError as exc:
        eventlog.event("record.unreadable", key=item.key, error=exc.message)


def _apply_configuration(view, item):
    if item.key == records.CONFIGURATION_KEY and item.value is not None:
        view.configuration = records.configuration(item.value)


def _apply_version(view, item):
    if item.value is None:
        return
    named = records.named_version(item.value)
    known = view.named.setdefault(named.model, [])
    seen_at = anyio.current_time() if view.follows_versions else -math.inf
    if named_versions.add(known, named.version, seen_at):
        eventlog.event("version.named", model=named.model, version=named.version)


def _apply_entry(view, item):
    vm = item.key.removeprefix(entry_records.PREFIX)
    if item.value is None:
        view.entries.pop(vm, None)
    else:
        view.entries[vm] = entry_records.decode(vm, item.value)
