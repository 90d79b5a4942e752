"""Suspects of an entry, shared through the store and from entry to entry."""

import anyio
import attrs

from carobstand import errors, logs
from carobstand.core import suspects
from carobstand.wire.gen import ttypes

MAX_TOLD = 256
"""Suspects told to other entries, newest last; a message stays small."""

MAX_PENDING = 512
"""Suspects waiting to be written to the store; more are only told to entries."""

MERGE_S = 0.5
"""Time between looks at what other entries told; they tell it once a second."""

WRITE_INTERVAL_S = 0.02
"""Time between writes of suspects: 50 a second, of several hundred in all."""

DOUBT_S = 0.3
"""Time in which a failure seen by another entry reaches the store."""


TOLD_S = 1.5
"""Time in which entries tell each other of a failure without the store."""


@attrs.define(eq=False)
class Shared:
    """Suspects and what is to be told of them.

    `shared` is read by the loop that talks to other entries; `changes` counts what it
    has not told yet.
    """

    core: suspects.Suspects = attrs.field(factory=suspects.Suspects)
    shared: list = attrs.field(factory=list)
    changes: int = 0
    pending: dict = attrs.field(factory=dict)
    merged: dict = attrs.field(factory=dict)
    wake: anyio.Event = attrs.field(factory=anyio.Event)


def failed(state, shared, fingerprint, failure):
    """Record that a backend server failed while it ran `fingerprint`."""
    now = anyio.current_time()
    if not suspects.add(shared.core, fingerprint, [failure], now):
        return
    logs.event("suspect.added", fingerprint=fingerprint, failure=failure)
    _tell(shared, fingerprint)
    if len(shared.pending) < MAX_PENDING:
        shared.pending[fingerprint] = None
        shared.wake.set()
    state.changed.notify()


def _tell(shared, fingerprint):
    failures = sorted(shared.core.held[fingerprint].failures)
    kept = [item for item in shared.shared if item.fingerprint != fingerprint]
    item = ttypes.Suspect(
        fingerprint=fingerprint, deaths=len(failures), failures=failures
    )
    shared.shared[:] = [*kept, item][-MAX_TOLD:]
    shared.changes += 1


def merge(state, shared):
    """Take over what other entries told."""
    now = anyio.current_time()
    for vm, peer in list(state.entries.items()):
        told = peer.peer_state
        if told is None or shared.merged.get(vm) is told:
            continue
        shared.merged[vm] = told
        for item in told.suspects or ():
            if suspects.add(shared.core, item.fingerprint, item.failures or (), now):
                _tell(shared, item.fingerprint)
    for vm in [vm for vm in shared.merged if vm not in state.entries]:
        del shared.merged[vm]


async def settle(state, shared, fingerprint):
    """Learn what other entries know of a request that may make servers fail."""
    await anyio.sleep(DOUBT_S)
    merge(state, shared)
    if state.store is None:
        return
    try:
        item = await state.store.get(f"suspects/{fingerprint}")
        if item is not None:
            now = anyio.current_time()
            suspects.add(shared.core, fingerprint, suspects.decode(item.value), now)
    except errors.StoreError as exc:
        logs.event("suspect.unread", error=exc.message, step=exc.step)
        await anyio.sleep(TOLD_S)
        merge(state, shared)


async def run(state, shared):
    """Write suspects to the store and merge those of other entries."""
    lease = Lease()
    await _read_all(state, shared)
    while True:
        merge(state, shared)
        suspects.forget_expired(shared.core, anyio.current_time())
        if not shared.pending or state.store is None:
            shared.wake = anyio.Event()
            with anyio.move_on_after(MERGE_S):
                await shared.wake.wait()
            continue
        fingerprint = next(iter(shared.pending))
        del shared.pending[fingerprint]
        try:
            await _write(state, shared, lease, fingerprint)
        except errors.ConflictError:
            shared.pending[fingerprint] = None
        except errors.StoreError as exc:
            logs.event("suspect.unwritten", error=exc.message, step=exc.step)
            shared.pending[fingerprint] = None
            await anyio.sleep(1.0)
        await anyio.sleep(WRITE_INTERVAL_S)


async def _read_all(state, shared):
    """Read the suspects that were known before this entry started."""
    if state.store is None:
        return
    now = anyio.current_time()
    try:
        for item in (await state.store.list("suspects/")).items:
            fingerprint = item.key.removeprefix("suspects/")
            suspects.add(shared.core, fingerprint, suspects.decode(item.value), now)
    except errors.StoreError as exc:
        logs.event("suspect.unread", error=exc.message, step=exc.step)


@attrs.define
class Lease:
    """Store lease of written keys, replaced every half lifetime."""

    id: str | None = None
    until: float = 0.0


async def lease_id(store, lease, lifetime_s):
    """Return a lease whose keys live between one and one and a half `lifetime_s`."""
    now = anyio.current_time()
    if lease.id is None or now >= lease.until:
        lease.id = await store.grant(lifetime_s * 1.5)
        lease.until = now + lifetime_s / 2
    return lease.id


async def _write(state, shared, lease, fingerprint):
    if fingerprint not in shared.core.held:
        return
    store, key = state.store, f"suspects/{fingerprint}"
    item = await store.get(key)
    expect = 0
    if item is not None:
        expect = item.revision
        now = anyio.current_time()
        if suspects.add(shared.core, fingerprint, suspects.decode(item.value), now):
            _tell(shared, fingerprint)
    held = shared.core.held[fingerprint]
    if item is not None and suspects.encode(held) == item.value:
        return
    ident = await lease_id(store, lease, suspects.LIFETIME_S)
    await store.put(key, suspects.encode(held), expect=expect, lease=ident)
