"""Stand-in for the platform's metadata store, with fault injection."""

import base64
import copy
import json
import math
import random
import urllib.parse

import anyio
import attrs

from carobstand import http1_server, signals

PAGE_ITEMS = 500
"""Items per page of a range."""

MAX_TXN_ENTRIES = 32
"""Largest number of entries of a transaction."""

READ_ONLY_PREFIXES = ("op/", "servers/")
"""Key prefixes that transactions may not write: operators and servers own them."""


@attrs.define
class Item:
    """Value of a key, with the revisions of its last write and of its creation."""

    value: bytes
    revision: int
    created: int
    lease: int = 0


@attrs.frozen
class Reject:
    """Fault of a transaction that has no effect and gets `status` as its response."""

    status: int


@attrs.frozen
class Delay:
    """Fault of a transaction that gets no response.

    It is executed `delay_s` later if its condition still holds then, or never if
    `delay_s` is infinite.
    """

    delay_s: float


@attrs.define(eq=False)
class Store:
    """Contents of the store and its injected faults.

    Attributes
    ----------
    items : dict of str to Item
    log : list of (int, str, Item or None)
        Revision, key and item of each change; the item is None for a deletion.
    oldest_watch_revision : int
        Watches from an earlier revision get status 410.
    leases : dict of int to (float, float)
        Time to live and expiry time, in seconds.
    era : int
        ``Store-Era`` of all responses; rises when the store comes back from a copy.
    after_page : callable or None
        Called without arguments after each page of a range that has more.
    mode : str
        ``up``: normal; ``busy``: status 503; ``silent``: no response; ``reset``: the
        connection is closed.
    delay_s : float
        Delay of every request.
    lose_share : float
        Share of transactions that take effect but get no response.
    txn_faults : list of Reject or Delay
        Faults of the next transactions, in order.
    calls : dict of str to int
        Number of calls by kind.
    """

    items: dict = attrs.field(factory=dict)
    log: list = attrs.field(factory=list)
    revision: int = 1
    oldest_watch_revision: int = 0
    leases: dict = attrs.field(factory=dict)
    next_lease: int = 1
    era: int = 1
    after_page: object = None
    mode: str = "up"
    delay_s: float = 0.0
    lose_share: float = 0.0
    txn_faults: list = attrs.field(factory=list)
    calls: dict = attrs.field(factory=dict)
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    changed: signals.Signal = attrs.field(factory=signals.Signal)


def write(store, key, value, lease=0):
    """Write a key without checks, as operators and backend servers do.

    Returns its revision.
    """
    store.revision += 1
    existing = store.items.get(key)
    created = existing.created if existing else store.revision
    item = Item(value, store.revision, created, lease)
    store.items[key] = item
    store.log.append((store.revision, key, item))
    store.changed.notify()
    return store.revision


def write_json(store, key, record):
    """Write a key with a JSON value; return its revision."""
    return write(store, key, json.dumps(record).encode())


def remove(store, key):
    """Remove a key if it exists."""
    if store.items.pop(key, None) is not None:
        store.revision += 1
        store.log.append((store.revision, key, None))
        store.changed.notify()


def take_copy(store):
    """Return a copy of the contents, for `restore`."""
    return copy.deepcopy(
        (store.items, store.log, store.revision, store.leases, store.next_lease)
    )


def restore(store, saved):
    """Continue from a copy; what was written since is lost."""
    contents = copy.deepcopy(saved)
    store.items, store.log, store.revision, store.leases, store.next_lease = contents
    store.era += 1
    store.changed.notify()


def compact(store):
    """Drop the change history; watches from earlier revisions get status 410."""
    store.oldest_watch_revision = store.revision
    store.log.clear()
    store.changed.notify()


def expire(store, now):
    """Remove expired leases and their keys."""
    for lease in [n for n, (_, end) in store.leases.items() if end <= now]:
        end_lease(store, lease)


def end_lease(store, lease):
    """End a lease and remove its keys."""
    store.leases.pop(lease, None)
    for key in [k for k, item in store.items.items() if item.lease == lease]:
        remove(store, key)


def server(store):
    """Return the `http1_server.Server` of a store."""

    async def handle(request, reply):
        expire(store, anyio.current_time())
        if store.delay_s:
            await anyio.sleep(store.delay_s)
        if store.mode == "silent":
            await anyio.sleep_forever()
        if store.mode == "reset":
            return
        if store.mode == "busy":
            return await http1_server.respond(reply, 503, [_era(store)])
        status, record = await _dispatch(store, request)
        # The transaction took effect, but its response is lost.
        if status == -1:
            await anyio.sleep_forever()
        headers = [(b"Content-Type", b"application/json"), _era(store)]
        await http1_server.respond(reply, status, headers, json.dumps(record).encode())
        if record.get("has_more") and store.after_page is not None:
            store.after_page()

    return http1_server.Server(
        lambda: http1_server.Limits(max_body_bytes=1 << 22), handle
    )


def _era(store):
    return b"Store-Era", b"%d" % store.era


async def _dispatch(store, request):
    target = request.target.decode()
    path, _, query_text = target.partition("?")
    query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
    kind = path.removeprefix("/v1/").partition("/")[0]
    store.calls[kind] = store.calls.get(kind, 0) + 1
    if kind == "kv-key":
        return _get(store, query["key"])
    if kind == "kv-range":
        return _range(store, query["prefix"], query.get("after", ""))
    if kind == "kv-watch":
        return await _watch(store, query)
    body = json.loads(request.body) if request.body else {}
    if kind == "kv-txn":
        return await _transact_or_fail(store, body)
    return _handle_lease(store, kind, path.rpartition("/")[2], body)


def _record(key, item):
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }


def _get(store, key):
    item = store.items.get(key)
    if item is None:
        return 404, {}
    return 200, {**_record(key, item), "store_revision": store.revision}


def _range(store, prefix, after):
    keys = sorted(k for k in store.items if k.startswith(prefix) and k > after)
    page = [_record(key, store.items[key]) for key in keys[:PAGE_ITEMS]]
    more = len(keys) > PAGE_ITEMS
    return 200, {"items": page, "has_more": more, "store_revision": store.revision}


async def _watch(store, query):
    prefix, after = query["prefix"], int(query["after"])
    deadline = anyio.current_time() + int(query["wait_ms"]) / 1000
    while True:
        if not store.oldest_watch_revision <= after <= store.revision:
            return 410, {}
        events = [
            _record(key, item) if item else _deletion_record(key, revision)
            for revision, key, item in store.log
            if revision > after and key.startswith(prefix)
        ]
        remaining_s = deadline - anyio.current_time()
        if events or remaining_s <= 0:
            return 200, {"events": events, "store_revision": store.revision}
        await store.changed.wait(remaining_s)
        if store.mode != "up":
            return 503, {}


def _deletion_record(key, revision):
    return {"key": key, "revision": revision, "deleted": True}


async def _transact_or_fail(store, body):
    fault = store.txn_faults.pop(0) if store.txn_faults else None
    if isinstance(fault, Reject):
        return fault.status, {}
    if isinstance(fault, Delay):
        # The caller may close its connection meanwhile, which cancels nothing here.
        with anyio.CancelScope(shield=not math.isinf(fault.delay_s)):
            await anyio.sleep(fault.delay_s)
            _transact(store, body)
        return -1, {}
    return _transact(store, body)


def _transact(store, body):
    entries = body["expected"] + body["writes"] + body["remove"]
    if len(entries) > MAX_TXN_ENTRIES:
        return 400, {"error": "too many entries"}
    written = [entry["key"] for entry in body["writes"]] + body["remove"]
    if any(key.startswith(READ_ONLY_PREFIXES) for key in written):
        return 403, {"error": "key prefix is read-only"}
    for expected in body["expected"]:
        item = store.items.get(expected["key"])
        if (item.revision if item else 0) != expected["revision"]:
            return 412, {"items": [_record(expected["key"], item)] if item else []}
    if any(w["lease"] and w["lease"] not in store.leases for w in body["writes"]):
        return 404, {"error": "no such lease"}
    for entry in body["writes"]:
        write(store, entry["key"], base64.b64decode(entry["value"]), entry["lease"])
    for key in body["remove"]:
        remove(store, key)
    if store.rng.random() < store.lose_share:
        return -1, {}
    return 200, {"revision": store.revision}


def _handle_lease(store, kind, lease_text, body):
    now = anyio.current_time()
    if kind == "kv-lease":
        lease, store.next_lease = store.next_lease, store.next_lease + 1
        ttl_s = body["ttl_ms"] / 1000
        store.leases[lease] = (ttl_s, now + ttl_s)
        return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
    lease = int(lease_text)
    if lease not in store.leases:
        return 404, {}
    if kind == "kv-keep":
        ttl_s = store.leases[lease][0]
        store.leases[lease] = (ttl_s, now + ttl_s)
        return 200, {"ttl_ms": int(ttl_s * 1000)}
    end_lease(store, lease)
    return 200, {}
