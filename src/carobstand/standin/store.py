"""Stand-in for the configuration store: compare-and-swap, leases and watches."""

import base64
import collections

import anyio
import attrs

from carobstand import signals
from carobstand.standin import web

MAX_VALUE_BYTES = 1_000_000
"""Largest value, in bytes; the platform's store has the same limit of 1 MB."""

READS_PER_S = 2000.0
"""Read calls per second above which calls queue."""

WRITES_PER_S = 400.0
"""Write calls per second above which calls queue."""

MAX_TOMBSTONES = 10_000
"""Largest number of deleted keys that watches still report."""


@attrs.frozen
class Entry:
    """Value of a key; `value` is None for a deleted key."""

    value: bytes | None
    revision: int
    lease: str = ""


@attrs.define
class Lease:
    """A lease and the keys that are deleted when it expires or is revoked."""

    ttl_s: float
    expires_at: float
    keys: set = attrs.field(factory=set)


@attrs.define(eq=False)
class StoreState:
    """Contents of the store, rate limits and counters of calls.

    `snapshot` is the (entries, revision) that reads return under the fault `stale`.
    """

    reads_per_s: float = READS_PER_S
    writes_per_s: float = WRITES_PER_S
    revision: int = 0
    entries: dict = attrs.field(factory=dict)
    tombstones: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    leases: dict = attrs.field(factory=dict)
    lease_count: int = 0
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    peak_calls_per_s: collections.Counter = attrs.field(factory=collections.Counter)
    calls_this_second: collections.Counter = attrs.field(factory=collections.Counter)
    current_second: int = 0
    next_free_at: dict = attrs.field(factory=dict)
    changed: signals.Signal = attrs.field(factory=signals.Signal)
    snapshot: object = None


def site(state=None):
    """Return the store as a `web.Site`."""
    state = state or StoreState()

    async def handle(req):
        return await _handle(state, host.switches, req)

    def stats():
        return {
            "calls": dict(state.calls),
            "busiest_second": dict(state.peak_calls_per_s),
            "revision": state.revision,
            "keys": len(state.entries),
        }

    host = web.Site("store", handle, stats)
    return host


async def _handle(state, switches, req):
    kind, action = _route(req)
    if action is None:
        return web.error_response(404, f"no such call: {req.method} {req.path}")
    await _count_and_throttle(state, kind)
    _expire(state, anyio.current_time())
    if not switches.stale:
        state.snapshot = None
    elif state.snapshot is None:
        state.snapshot = (dict(state.entries), state.revision)
    return await action(state, req)


def _visible_state(state):
    """Return the entries and the revision that `get` and `list` read."""
    return state.snapshot or (state.entries, state.revision)


def _route(req):
    method, path = req.method, req.path
    if path.startswith("/v1/kv/") and len(path) > len("/v1/kv/"):
        actions = {"GET": ("get", _get), "PUT": ("put", _put)}
        actions["DELETE"] = ("delete", _delete)
        return actions.get(method, ("", None))
    if method == "GET":
        actions = {"/v1/list": ("list", _list), "/v1/watch": ("watch", _watch)}
        return actions.get(path, ("", None))
    if method == "POST" and path == "/v1/leases":
        return "grant", _grant
    if path.startswith("/v1/leases/"):
        actions = {"POST": ("keep_alive", _keep_alive), "DELETE": ("revoke", _revoke)}
        return actions.get(method, ("", None))
    return "", None


async def _count_and_throttle(state, kind):
    """Count a call, and delay it while its group (reads or writes) exceeds its rate."""
    now = anyio.current_time()
    is_read = kind in ("get", "list", "watch")
    group = "reads" if is_read else "writes"
    rate = state.reads_per_s if is_read else state.writes_per_s
    state.calls[kind] += 1
    if int(now) != state.current_second:
        state.current_second, state.calls_this_second = int(now), collections.Counter()
    state.calls_this_second[group] += 1
    state.peak_calls_per_s[group] = max(
        state.peak_calls_per_s[group], state.calls_this_second[group]
    )
    start = max(now, state.next_free_at.get(group, 0.0))
    state.next_free_at[group] = start + 1 / rate
    if start > now:
        await anyio.sleep(start - now)


def _key(req):
    return req.path.removeprefix("/v1/kv/")


def _matches(state, key, expect):
    """Return whether the key's revision is `expect`; None always matches."""
    if expect is None:
        return True
    entry = state.entries.get(key)
    return int(expect) == (entry.revision if entry else 0)


async def _get(state, req):
    entry = _visible_state(state)[0].get(_key(req))
    if entry is None:
        return web.error_response(404, "no such key")
    return web.Response(200, entry.value, (("X-Revision", entry.revision),))


async def _put(state, req):
    key, lease_id = _key(req), req.query.get("lease", "")
    if len(req.body) > MAX_VALUE_BYTES:
        return web.error_response(413, f"value exceeds {MAX_VALUE_BYTES} bytes")
    if not _matches(state, key, req.query.get("expect")):
        return web.error_response(409, "revision does not match")
    if lease_id and lease_id not in state.leases:
        return web.error_response(409, "lease has lapsed")
    revision = write(state, key, req.body, lease_id)
    return web.Response(200, b"", (("X-Revision", revision),))


async def _delete(state, req):
    key = _key(req)
    if not _matches(state, key, req.query.get("expect")):
        return web.error_response(409, "revision does not match")
    if key not in state.entries:
        return web.error_response(404, "no such key")
    remove(state, key)
    return web.Response(200, b"", (("X-Revision", state.revision),))


def write(state, key, value, lease_id=""):
    """Write `key` without a revision check; return its new revision."""
    previous = state.entries.get(key)
    if previous and previous.lease in state.leases:
        state.leases[previous.lease].keys.discard(key)
    if lease_id:
        state.leases[lease_id].keys.add(key)
    state.revision += 1
    state.entries[key] = Entry(value, state.revision, lease_id)
    state.tombstones.pop(key, None)
    state.changed.notify()
    return state.revision


def remove(state, key):
    """Delete `key`, which must exist."""
    previous = state.entries.pop(key)
    if previous.lease in state.leases:
        state.leases[previous.lease].keys.discard(key)
    state.revision += 1
    state.tombstones[key] = Entry(None, state.revision)
    if len(state.tombstones) > MAX_TOMBSTONES:
        state.tombstones.popitem(last=False)
    state.changed.notify()


def _changed_items(sources, prefix, after=0):
    found = [
        (key, entry)
        for source in sources
        for key, entry in source.items()
        if key.startswith(prefix) and entry.revision > after
    ]
    found.sort(key=lambda pair: pair[1].revision)
    return [
        {
            "key": key,
            "value": None
            if entry.value is None
            else base64.b64encode(entry.value).decode(),
            "revision": entry.revision,
        }
        for key, entry in found
    ]


async def _list(state, req):
    entries, revision = _visible_state(state)
    items = _changed_items((entries,), req.query.get("prefix", ""))
    return web.json_response({"revision": revision, "items": items})


async def _watch(state, req):
    prefix = req.query.get("prefix", "")
    after, wait_s = int(req.query["after"]), float(req.query["wait"])
    deadline = anyio.current_time() + wait_s
    while True:
        now = anyio.current_time()
        _expire(state, now)
        items = _changed_items((state.entries, state.tombstones), prefix, after)
        if items or now >= deadline:
            return web.json_response({"revision": state.revision, "items": items})
        expiry_times = [lease.expires_at for lease in state.leases.values()]
        await state.changed.wait(min([deadline, *expiry_times]) - now)


async def _grant(state, req):
    ttl_s = float(req.query["ttl"])
    if not 0 < ttl_s <= 7 * 86400:
        raise ValueError(f"ttl must be above 0 and at most a week, got {ttl_s}")
    state.lease_count += 1
    lease_id = f"lease-{state.lease_count}"
    state.leases[lease_id] = Lease(ttl_s, anyio.current_time() + ttl_s)
    state.changed.notify()
    return web.Response(200, lease_id.encode())


async def _keep_alive(state, req):
    lease = state.leases.get(req.path.removeprefix("/v1/leases/"))
    if lease is None:
        return web.error_response(404, "lease has lapsed")
    lease.expires_at = anyio.current_time() + lease.ttl_s
    return web.Response()


async def _revoke(state, req):
    lease_id = req.path.removeprefix("/v1/leases/")
    if lease_id not in state.leases:
        return web.error_response(404, "lease has lapsed")
    _delete_lease(state, lease_id)
    return web.Response()


def _expire(state, now):
    for lease_id, lease in list(state.leases.items()):
        if lease.expires_at <= now:
            _delete_lease(state, lease_id)


def _delete_lease(state, lease_id):
    for key in sorted(state.leases.pop(lease_id).keys):
        remove(state, key)
