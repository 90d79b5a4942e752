"""Suspect requests of an entry, shared through the store and between entries."""

import anyio
import attrs

from carobstand import errors, logs
from carobstand.core import suspects
from carobstand.wire.gen import ttypes

MAX_SHARED = 256
"""Maximum number of suspects sent to other entries, which bounds the message size."""

MAX_PENDING = 512
"""Maximum number of queued store writes; further suspects are only sent to entries."""

MERGE_INTERVAL_S = 0.5
"""Interval at which suspects of other entries, sent once a second, are merged."""

WRITE_INTERVAL_S = 0.02
"""Minimum interval between store writes: 50/s, of several hundred for all entries."""

STORE_DELAY_S = 0.3
"""Time within which a failure seen by another entry is written to the store."""

PEER_DELAY_S = 1.5
"""Time within which entries learn of a failure from each other, without the store."""


@attrs.define(eq=False)
class SuspectTracker:
    """Suspects of this entry and their state of sharing.

    `outgoing` is the list that is sent to other entries, newest last, and `changes` the
    number of its updates. `pending` holds the fingerprints to be written to the store,
    `merged` the last state merged from each entry, by VM.
    """

    core: suspects.Suspects = attrs.field(factory=suspects.Suspects)
    outgoing: list = attrs.field(factory=list)
    changes: int = 0
    pending: dict = attrs.field(factory=dict)
    merged: dict = attrs.field(factory=dict)
    wake: anyio.Event = attrs.field(factory=anyio.Event)


def record_failure(state, tracker, fingerprint, failure):
    """Record that a backend server failed while it ran `fingerprint`."""
    now = anyio.current_time()
    if not suspects.add(tracker.core, fingerprint, [failure], now):
        return
    logs.event("suspect.added", fingerprint=fingerprint, failure=failure)
    _queue_for_peers(tracker, fingerprint)
    if len(tracker.pending) < MAX_PENDING:
        tracker.pending[fingerprint] = None
        tracker.wake.set()
    state.changed.notify()


def _queue_for_peers(tracker, fingerprint):
    failures = sorted(tracker.core.held[fingerprint].failures)
    others = [item for item in tracker.outgoing if item.fingerprint != fingerprint]
    item = ttypes.Suspect(
        fingerprint=fingerprint, deaths=len(failures), failures=failures
    )
    tracker.outgoing[:] = [*others, item][-MAX_SHARED:]
    tracker.changes += 1


def merge(state, tracker):
    """Merge the suspects reported by other entries."""
    now = anyio.current_time()
    for vm, peer in list(state.entries.items()):
        reported = peer.peer_state
        if reported is None or tracker.merged.get(vm) is reported:
            continue
        tracker.merged[vm] = reported
        for item in reported.suspects or ():
            if suspects.add(tracker.core, item.fingerprint, item.failures or (), now):
                _queue_for_peers(tracker, item.fingerprint)
    for vm in [vm for vm in tracker.merged if vm not in state.entries]:
        del tracker.merged[vm]


async def refresh_suspect(state, tracker, fingerprint):
    """Update the failures of a possible poison request from other entries."""
    await anyio.sleep(STORE_DELAY_S)
    merge(state, tracker)
    if state.store is None:
        return
    try:
        item = await state.store.get(f"suspects/{fingerprint}")
        if item is not None:
            now = anyio.current_time()
            suspects.add(tracker.core, fingerprint, suspects.decode(item.value), now)
    except errors.StoreError as exc:
        logs.event("suspect.unread", error=exc.message, step=exc.step)
        await anyio.sleep(PEER_DELAY_S)
        merge(state, tracker)


async def run(state, tracker):
    """Write suspects to the store and merge those of other entries."""
    lease = Lease()
    await _read_all(state, tracker)
    while True:
        merge(state, tracker)
        suspects.forget_expired(tracker.core, anyio.current_time())
        if not tracker.pending or state.store is None:
            tracker.wake = anyio.Event()
            with anyio.move_on_after(MERGE_INTERVAL_S):
                await tracker.wake.wait()
            continue
        fingerprint = next(iter(tracker.pending))
        del tracker.pending[fingerprint]
        try:
            await _write(state, tracker, lease, fingerprint)
        except errors.ConflictError:
            tracker.pending[fingerprint] = None
        except errors.StoreError as exc:
            logs.event("suspect.unwritten", error=exc.message, step=exc.step)
            tracker.pending[fingerprint] = None
            await anyio.sleep(1.0)
        await anyio.sleep(WRITE_INTERVAL_S)


async def _read_all(state, tracker):
    """Read all suspects that are in the store."""
    if state.store is None:
        return
    now = anyio.current_time()
    try:
        for item in (await state.store.list("suspects/")).items:
            fingerprint = item.key.removeprefix("suspects/")
            suspects.add(tracker.core, fingerprint, suspects.decode(item.value), now)
    except errors.StoreError as exc:
        logs.event("suspect.unread", error=exc.message, step=exc.step)


@attrs.define
class Lease:
    """Store lease of written keys, replaced every half lifetime."""

    id: str | None = None
    until: float = 0.0


async def lease_id(store, lease, lifetime_s):
    """Return a lease under which new keys live for 1 to 1.5 times `lifetime_s`."""
    now = anyio.current_time()
    if lease.id is None or now >= lease.until:
        lease.id = await store.grant(lifetime_s * 1.5)
        lease.until = now + lifetime_s / 2
    return lease.id


async def _write(state, tracker, lease, fingerprint):
    if fingerprint not in tracker.core.held:
        return
    store, key = state.store, f"suspects/{fingerprint}"
    item = await store.get(key)
    expect = 0
    if item is not None:
        expect = item.revision
        now = anyio.current_time()
        if suspects.add(tracker.core, fingerprint, suspects.decode(item.value), now):
            _queue_for_peers(tracker, fingerprint)
    held = tracker.core.held[fingerprint]
    if item is not None and suspects.encode(held) == item.value:
        return
    ident = await lease_id(store, lease, suspects.LIFETIME_S)
    await store.put(key, suspects.encode(held), expect=expect, lease=ident)
