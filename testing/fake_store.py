"""In-memory configuration store with fault injection, for virtual time."""

import collections
import itertools
import random

import anyio
import attrs

from carobstand import errors, signals
from carobstand.platform import store as stores


@attrs.define
class Lease:
    expires_at: float
    ttl_s: float
    keys: set = attrs.field(factory=set)


@attrs.define(eq=False)
class SharedState:
    """Contents and injected faults of the store, shared by all of its clients.

    A call loses its answer, or returns stale items, with the given probabilities.
    """

    rng: random.Random
    revision: int = 0
    items: dict = attrs.field(factory=dict)
    log: list = attrs.field(factory=list)
    leases: dict = attrs.field(factory=dict)
    changed: signals.Signal = attrs.field(factory=signals.Signal)
    down: bool = False
    latency_s: float = 0.003
    lost_answer_probability: float = 0.0
    stale_read_probability: float = 0.0
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    calls_per_second: collections.Counter = attrs.field(factory=collections.Counter)


def write(shared, key, value):
    """Write a key, or delete it if the value is None; notify the watches.

    Returns the item that was written.
    """
    shared.revision += 1
    item = stores.Item(key, value, shared.revision)
    if value is None:
        shared.items.pop(key, None)
    else:
        shared.items[key] = item
    shared.log.append(item)
    shared.changed.notify()
    return item


def _expire(shared):
    now = anyio.current_time()
    for name, lease in list(shared.leases.items()):
        if lease.expires_at <= now:
            _drop_lease(shared, name)


def _drop_lease(shared, name):
    lease = shared.leases.pop(name, None)
    for key in lease.keys if lease else ():
        if key in shared.items:
            write(shared, key, None)


def client(shared):
    """Return (Store, link) of one client; the keys of `link` inject its faults.

    With ``"cut"`` the store is unreachable, with ``"silent"`` watches get no response.
    While ``"paused"`` is set, a call waits between the caller's checks and the store;
    ``"pause_at_plan"`` sets ``"paused"`` when the client is about to write a plan.
    """
    link = {"cut": False, "silent": False, "paused": False, "pause_at_plan": False}
    calls = collections.Counter()

    async def begin_call(kind):
        calls[kind] += 1
        shared.calls[kind] += 1
        group = "reads" if kind in ("get", "list", "watch") else "writes"
        shared.calls_per_second[group, int(anyio.current_time())] += 1
        await anyio.sleep(shared.latency_s * shared.rng.uniform(0.5, 2))
        while link["paused"]:
            await anyio.sleep(0.1)
        if shared.down or link["cut"]:
            await anyio.sleep(shared.rng.choice((0, 2)))
            raise errors.StoreUnavailableError("no answer", step=f"store.{kind}")
        _expire(shared)

    async def finish_call(kind):
        await anyio.sleep(shared.latency_s * shared.rng.uniform(0.5, 2))
        while link["paused"]:
            await anyio.sleep(0.1)
        if shared.rng.random() < shared.lost_answer_probability:
            await anyio.sleep(2)
            raise errors.StoreUnavailableError("answer lost", step=f"store.{kind}")

    def check(key, expect):
        current = shared.items.get(key)
        if expect is not None and expect != (current.revision if current else 0):
            raise errors.ConflictError(f"{key} changed", step="store.cas")

    def stale():
        return shared.log and shared.rng.random() < shared.stale_read_probability

    def as_of(revision):
        """Return the items as they were at an earlier store revision."""
        items_then = {}
        for item in shared.log:
            if item.revision <= revision:
                items_then[item.key] = item
        return items_then

    async def get(key):
        await begin_call("get")
        item = shared.items.get(key)
        if stale():
            older = [past for past in shared.log[:-1] if past.key == key and past.value]
            item = shared.rng.choice(older) if older else item
        await finish_call("get")
        return item

    async def put(key, value, expect=None, lease=None):
        if link["pause_at_plan"] and key.startswith("config/plan/"):
            link.update(paused=True, pause_at_plan=False)
        await begin_call("put")
        check(key, expect)
        if lease is not None and lease not in shared.leases:
            raise errors.ConflictError("lease has lapsed", step="store.put")
        item = write(shared, key, value)
        if lease is not None:
            shared.leases[lease].keys.add(key)
        await finish_call("put")
        return item

    async def delete(key, expect=None):
        await begin_call("delete")
        check(key, expect)
        if key in shared.items:
            write(shared, key, None)
        await finish_call("delete")

    async def list_prefix(prefix):
        await begin_call("list")
        revision, found = shared.revision, shared.items
        if stale():
            revision = max(0, shared.revision - shared.rng.randrange(9))
            found = as_of(revision)
        items = tuple(
            item
            for key, item in found.items()
            if key.startswith(prefix) and item.value is not None
        )
        changes = stores.Changes(revision, items)
        await finish_call("list")
        return changes

    async def watch(prefix, after, wait_s):
        await begin_call("watch")
        if link["silent"] and wait_s > 0:
            await anyio.sleep(wait_s + 2)
            raise errors.StoreUnavailableError("silent", step="store.watch")
        if stale():
            # A replica that lags may also send items that the caller already has.
            revision = max(0, after - 3)
            items = [i for k, i in as_of(after).items() if k.startswith(prefix)]
            return stores.Changes(revision, tuple(i for i in items if i.value)[-1:])
        deadline = anyio.current_time() + wait_s
        while True:
            if shared.down or link["cut"]:
                raise errors.StoreUnavailableError("closed", step="store.watch")
            new = itertools.takewhile(
                lambda item: item.revision > after, reversed(shared.log)
            )
            latest = {}
            for item in new:
                if item.key.startswith(prefix):
                    latest.setdefault(item.key, item)
            if latest:
                return stores.Changes(shared.revision, tuple(latest.values()))
            left_s = deadline - anyio.current_time()
            if left_s <= 0:
                await finish_call("watch")
                return stores.Changes(shared.revision, ())
            await shared.changed.wait(min(1.0, left_s))

    async def grant(ttl_s):
        await begin_call("grant")
        name = f"lease-{shared.rng.getrandbits(64):x}"
        shared.leases[name] = Lease(anyio.current_time() + ttl_s, ttl_s)
        await finish_call("grant")
        return name

    async def keep_alive(lease):
        await begin_call("keep_alive")
        if lease not in shared.leases:
            raise errors.ConflictError("lease has lapsed", step="store.keep_alive")
        held = shared.leases[lease]
        held.expires_at = anyio.current_time() + held.ttl_s
        await finish_call("keep_alive")

    async def revoke(lease):
        await begin_call("revoke")
        _drop_lease(shared, lease)
        await finish_call("revoke")

    async def close():
        return None

    store = stores.Store(
        get,
        put,
        delete,
        list_prefix,
        watch,
        grant,
        keep_alive,
        revoke,
        close,
        calls,
    )
    return store, link
