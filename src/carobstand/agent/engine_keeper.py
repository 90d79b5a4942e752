"""Keeps the engine beside this agent on the weights that the operators name."""

import hashlib

import anyio
import attrs

from carobstand import errors, eventlog, http1, signals
from carobstand.core import routes
from carobstand.platform import engines, kv, records, weights_origin

WATCH_WAIT_S = 8.0
RETRY_S = 0.3
POLL_S = 0.25
PIECE_TIMEOUT_S = 4.0


@attrs.define(eq=False)
class Keeper:
    """State of the loops of an agent."""

    deployment: object
    store: object
    engine: http1.Caller
    configuration: object = None
    named: dict = attrs.field(factory=dict)
    changed: signals.Signal = attrs.field(factory=signals.Signal)


async def observe(keeper):
    """Follow the operators' keys in the store until cancelled."""
    revision = None
    while True:
        try:
            if revision is None:
                changes = await kv.list_prefix(keeper.store, records.OPERATOR_PREFIX)
            else:
                changes = await kv.watch(
                    keeper.store, records.OPERATOR_PREFIX, revision, WATCH_WAIT_S
                )
            for item in changes.items:
                _apply(keeper, item)
            revision = changes.revision
            keeper.changed.notify()
        except errors.HistoryLostError:
            revision = None
        except errors.StoreError as exc:
            eventlog.event("store.failed", error=str(exc))
            await anyio.sleep(RETRY_S)


def _apply(keeper, item):
    if item.value is None:
        return
    try:
        if item.key == records.CONFIGURATION_KEY:
            config = records.configuration(item.value)
            if routes.newer(keeper.configuration, config):
                keeper.configuration = config
        elif item.key.startswith(records.VERSION_PREFIX):
            named = records.named_version(item.value)
            known = keeper.named.get(named.model, 0)
            keeper.named[named.model] = max(known, named.version)
            eventlog.event("version.named", model=named.model, version=named.version)
    except errors.RecordError as exc:
        eventlog.event("record.unreadable", key=item.key, error=exc.message)


async def keep(keeper):
    """Bring the engine to the named version again and again until cancelled."""
    while True:
        try:
            await _step(keeper)
        except (errors.BackendError, errors.OriginError) as exc:
            eventlog.event("weights.failed", error=str(exc))
        await keeper.changed.wait(POLL_S)


async def _step(keeper):
    config = keeper.configuration
    service = config and config.services.get(keeper.deployment.service)
    if not service or not service.weights:
        return
    origin = next((s.origin for s in config.services.values() if s.origin), None)
    model = service.weights.models[0]
    report = await engines.report(keeper.engine)
    wanted = keeper.named.get(model)
    held = report.holding.version if report.holding else None
    if report.is_busy or (held is not None and held >= (wanted or 0)):
        return
    caller = http1.Caller(origin.address)
    manifest = await weights_origin.manifest(caller, model, wanted, PIECE_TIMEOUT_S)
    eventlog.event("weights.fetching", version=manifest.version, held=held)
    for number, digest in enumerate(manifest.digests):
        staged = await engines.staged_piece(keeper.engine, model, number)
        if staged is not None and hashlib.sha256(staged).digest() == digest:
            continue
        data = await weights_origin.piece(
            caller, model, manifest.version, number, PIECE_TIMEOUT_S, 1 << 20
        )
        if hashlib.sha256(data).digest() != digest:
            raise errors.OriginError("piece is spoilt", step="weights.fetch")
        await engines.stage(keeper.engine, model, number, data)
    report = await engines.report(keeper.engine)
    status = await engines.load_staged(
        keeper.engine, model, manifest.version, report.orders
    )
    eventlog.event("weights.ordered", version=manifest.version, status=status)
