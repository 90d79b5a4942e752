"""Client of the platform's metadata store."""

import base64
import json
import urllib.parse

import anyio
import attrs

from carobstand import errors, eventlog, http1, http1_calls, signals
from carobstand.platform import fields

ABSENT = 0
"""Expected revision of a key that must not exist."""

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
"""Largest response; a page of a range has about 1 MB, a watch may return many
changes."""

CALL_TIMEOUT_S = 1.5
"""Timeout of a call, and longest pause within its response; a healthy store responds
within milliseconds, a slow one within 0.3 s."""

READ_TIMEOUT_S = 12.0
"""Timeout of a read whose response keeps arriving: many VMs may read a large
configuration at once over a narrow link."""

MAX_ERA_DIGITS = 18
"""Longest era; messages between processes carry it as an i64."""

WATCH_SLACK_S = 0.8
"""Time without data after the end of its wait at which a watch counts as failed."""


IMMEDIATE_S = 0.05
"""A watch that returns changes within this time did not wait for them; a response that
arrives within it was not delayed on the last part of its way."""


@attrs.frozen
class Item:
    """A key and its value, which is None if a watch reports the key as deleted.

    `revision` is that of the key's last change; `lease` is 0 if the key has no lease.
    """

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


@attrs.frozen
class Changes:
    """Items of a read, in order of their revisions, and the store's revision.

    `began_at` is the loop's time at which the response began to arrive; the changes
    were made before it. Revisions of different eras cannot be compared.
    """

    revision: int
    items: tuple
    began_at: float = 0.0
    era: int = 0


@attrs.define(eq=False)
class Store:
    """Client of the store.

    Attributes
    ----------
    caller : http1_calls.Client
    calls : dict of str to int
        Number of calls by kind.
    era : int
        Latest era named by a response, 0 if none named one. It rises when the store
        comes back from a copy and has lost its latest changes.
    era_changed : signals.Signal
        Notified when it rises.
    """

    caller: http1_calls.Client
    calls: dict = attrs.field(factory=dict)
    era: int = 0
    era_changed: signals.Signal = attrs.field(factory=signals.Signal)


def connect(address):
    """Return a `Store` at ``host:port``; nothing is sent yet."""
    return Store(http1_calls.Client(address))


async def get(store, key):
    """Return the `Item` of a key, or None."""
    target = "/v1/kv-key?" + urllib.parse.urlencode({"key": key})
    resp = await _call(
        store, "get", "GET", target, allowed=(200, 404), timeout_s=READ_TIMEOUT_S
    )
    return None if resp.status == 404 else _item(_record(resp, "store.get"))


async def list_prefix(store, prefix, *, allow_stale=False, start_after=""):
    """Return the `Changes` with all items below `prefix`, or those after a key.

    The pages are not one snapshot: the revision is that of the first page, so that a
    watch from it misses no change. All pages are of one era. With `allow_stale` the
    items may be outdated by seconds; such a read costs the store a tenth.
    """
    items, after, revision, era = [], start_after, None, None
    while True:
        query = {"prefix": prefix, **({"after": after} if after else {})}
        if allow_stale:
            query["stale_ok"] = 1
        target = "/v1/kv-range?" + urllib.parse.urlencode(query)
        resp = await _call(store, "range", "GET", target, timeout_s=READ_TIMEOUT_S)
        if era is not None and _era(resp) != era:
            items, after, revision, era = [], start_after, None, None
            continue
        era = _era(resp)
        record = _record(resp, "store.range")
        page = [_item(entry) for entry in record.records("items")]
        items += page
        if revision is None:
            revision = record.integer("store_revision", most=fields.MAX_REVISION)
        if not record.flag("has_more") or not page:
            return Changes(revision, tuple(items), resp.head_received_at, era)
        after = page[-1].key


async def watch(store, prefix, after, wait_s):
    """Wait up to `wait_s` for changes after a revision and return the `Changes`.

    Raises
    ------
    HistoryLostError
        If the store no longer has these changes; the keys must be listed again.
    """
    query = {"prefix": prefix, "after": after, "wait_ms": int(wait_s * 1000)}
    target = "/v1/kv-watch?" + urllib.parse.urlencode(query)
    resp = await _call(
        store,
        "watch",
        "GET",
        target,
        allowed=(200, 410),
        timeout_s=wait_s + READ_TIMEOUT_S,
        read_timeout_s=wait_s + WATCH_SLACK_S,
    )
    if resp.status == 410:
        raise errors.HistoryLostError(
            f"no history after {after}", step="store.watch", peer=store.caller.address
        )
    record = _record(resp, "store.watch")
    items = [_item(entry) for entry in record.records("events")]
    items.sort(key=lambda item: item.revision)
    return Changes(
        record.integer("store_revision", most=fields.MAX_REVISION),
        tuple(items),
        resp.head_received_at,
        _era(resp),
    )


def prompt_arrival(changes, sent_at):
    """Return when changes arrived that a watch had waited for, or None.

    None also if the response took long to arrive; then it may have begun late as well.
    """
    now = anyio.current_time()
    if changes.began_at - sent_at < IMMEDIATE_S or now - changes.began_at > IMMEDIATE_S:
        return None
    return changes.began_at


async def put(store, key, value, *, expect=None, lease=0):
    """Write a key.

    A call without an answer may be executed later, if its condition still holds then.

    Returns
    -------
    revision : int

    Raises
    ------
    RevisionError
        If the revision of the key is not `expect`.
    LeaseEndedError
    """
    encoded = base64.b64encode(value).decode()
    writes = [{"key": key, "value": encoded, "lease": lease}]
    body = {"expected": _expected(key, expect), "writes": writes, "remove": []}
    return await _transact(store, "put", body)


async def delete(store, key, *, expect=None):
    """Remove a key; raise RevisionError if its revision is not `expect`."""
    body = {"expected": _expected(key, expect), "writes": [], "remove": [key]}
    await _transact(store, "delete", body)


def _expected(key, revision):
    return [] if revision is None else [{"key": key, "revision": revision}]


async def _transact(store, kind, body):
    raw = json.dumps(body).encode()
    resp = await _call(
        store, kind, "POST", "/v1/kv-txn", body=raw, allowed=(200, 404, 412)
    )
    step, peer = f"store.{kind}", store.caller.address
    if resp.status == 404:
        raise errors.LeaseEndedError("the lease has ended", step=step, peer=peer)
    record = _record(resp, step)
    if resp.status == 412:
        raise errors.RevisionError(
            "a key was changed by another writer",
            step=step,
            peer=peer,
            items=tuple(_item(entry) for entry in record.records("items")),
        )
    return record.integer("revision", most=fields.MAX_REVISION)


async def grant_lease(store, ttl_s):
    """Return the id of a new lease."""
    raw = json.dumps({"ttl_ms": int(ttl_s * 1000)}).encode()
    resp = await _call(store, "grant", "POST", "/v1/kv-lease", body=raw)
    return _record(resp, "store.grant").integer("lease", most=fields.MAX_REVISION)


async def renew_lease(store, lease):
    """Renew a lease; raise LeaseEndedError if it has ended."""
    target = f"/v1/kv-keep/{lease}"
    resp = await _call(store, "keep", "POST", target, allowed=(200, 404))
    if resp.status == 404:
        raise errors.LeaseEndedError(
            f"lease {lease} has ended", step="store.keep", peer=store.caller.address
        )


async def revoke_lease(store, lease):
    """End a lease and remove its keys."""
    target = f"/v1/kv-lease-end/{lease}"
    await _call(store, "end", "DELETE", target, allowed=(200, 404))


async def _call(
    store,
    kind,
    method,
    target,
    *,
    body=b"",
    allowed=(200,),
    timeout_s=CALL_TIMEOUT_S,
    read_timeout_s=CALL_TIMEOUT_S,
):
    store.calls[kind] = store.calls.get(kind, 0) + 1
    step, peer = f"store.{kind}", store.caller.address
    try:
        resp = await http1_calls.call(
            store.caller,
            method,
            target,
            body=body,
            headers=[(b"Content-Type", b"application/json")] if body else [],
            timeout_s=timeout_s,
            read_timeout_s=read_timeout_s,
            max_bytes=MAX_RESPONSE_BYTES,
        )
    except errors.TooLargeError as exc:
        # Changes that exceed the response of a watch can still be read page by page.
        error_type = errors.HistoryLostError if kind == "watch" else errors.StoreError
        raise error_type(exc.message, step=step, peer=peer) from exc
    except errors.HttpError as exc:
        raise errors.StoreUnavailableError(exc.message, step=step, peer=peer) from exc
    _note_era(store, resp, step)
    if resp.status not in allowed:
        raise errors.StoreUnavailableError(
            f"status {resp.status}", step=step, peer=peer
        )
    return resp


def _era(resp):
    text = http1.header(resp.headers, b"store-era")
    if text is None:
        return 0
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
    if not is_number:
        raise errors.StoreUnavailableError(
            f"malformed era {text!r:.40}", step="store.era"
        )
    return int(text)


def _note_era(store, resp, step):
    era = _era(resp)
    if era < store.era:
        raise errors.StoreUnavailableError(
            f"response of era {era} after one of era {store.era}",
            step=step,
            peer=store.caller.address,
        )
    if era > store.era:
        if store.era:
            eventlog.event("store.restored", era=era, before=store.era)
        store.era = era
        store.era_changed.notify()


def _record(resp, step):
    try:
        return fields.parse(resp.body, step)
    except errors.RecordError as exc:
        raise errors.StoreUnavailableError(exc.message, step=step) from exc


def _item(record):
    try:
        key = record.any_text("key")
        revision = record.integer("revision", most=fields.MAX_REVISION)
        if record.flag("deleted"):
            return Item(key, None, revision)
        value = base64.b64decode(record.any_text("value"), validate=True)
        lease = record.integer("lease", 0, most=fields.MAX_REVISION)
        return Item(key, value, revision, lease)
    except (errors.RecordError, ValueError) as exc:
        raise errors.StoreUnavailableError(
            f"malformed item: {exc}", step="store.parse"
        ) from exc
