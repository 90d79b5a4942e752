"""Configuration store: interface and HTTP adapter."""

import base64
import binascii
import collections

import attrs

from carobstand import errors
from carobstand.platform import http

ABSENT = 0
"""Expected revision of a key that must not exist."""


@attrs.frozen
class Item:
    """A key and its value. `revision` is the store revision of its last write.

    `value` is None for a key that a watch reports as deleted.
    """

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class Changes:
    """Items returned by a list or watch, and the store revision they reflect."""

    revision: int
    items: tuple


@attrs.frozen
class Store:
    """Calls of the configuration store, all asynchronous.

    ``get(key) -> Item or None``; ``put(key, value, expect=None, lease=None) -> Item``
    writes if the key's revision is `expect` (`ABSENT`: no such key; None: always), else
    raises ConflictError; ``delete(key, expect=None)``; ``list(prefix) -> Changes``;
    ``watch(prefix, after, wait_s) -> Changes`` returns once a key changed after store
    revision `after`, or with no items after `wait_s`; ``grant(ttl_s) -> lease id``;
    ``keep_alive(lease)`` raises ConflictError once the lease has lapsed;
    ``revoke(lease)``; ``close()``. A call without a response raises
    StoreUnavailableError; a write may still have taken effect.
    """

    get: object
    put: object
    delete: object
    list: object
    watch: object
    grant: object
    keep_alive: object
    revoke: object
    close: object
    calls: collections.Counter = attrs.field(factory=collections.Counter)


def http_store(url, timeout_s=2.0):
    """Return a `Store` over HTTP.

    Parameters
    ----------
    url : str
        Base URL of the store.
    timeout_s : float
        Timeout of a call; that of a watch is `wait_s` longer.

    Returns
    -------
    store : Store
    """
    client = http.client(url, timeout_s)
    calls = collections.Counter()

    async def request(kind, method, path, **options):
        calls[kind] += 1
        return await http.call(
            client,
            errors.StoreUnavailableError,
            f"store.{kind}",
            method,
            path,
            **options,
        )

    def conflict(kind, key):
        return errors.ConflictError(
            f"{key} was changed by another writer", step=f"store.{kind}", peer=url
        )

    async def get(key):
        resp = await request("get", "GET", f"/v1/kv/{key}", allowed=(200, 404))
        if resp.status_code == 404:
            return None
        return Item(key, resp.content, _revision(resp, url))

    async def put(key, value, expect=None, lease=None):
        params = {"expect": expect, "lease": lease}
        params = {name: val for name, val in params.items() if val is not None}
        resp = await request(
            "put",
            "PUT",
            f"/v1/kv/{key}",
            params=params,
            content=value,
            allowed=(200, 409),
        )
        if resp.status_code == 409:
            raise conflict("put", key)
        return Item(key, value, _revision(resp, url))

    async def delete(key, expect=None):
        params = {} if expect is None else {"expect": expect}
        resp = await request(
            "delete", "DELETE", f"/v1/kv/{key}", params=params, allowed=(200, 404, 409)
        )
        if resp.status_code == 409:
            raise conflict("delete", key)

    async def list_prefix(prefix):
        resp = await request("list", "GET", "/v1/list", params={"prefix": prefix})
        return _changes(resp, url)

    async def watch(prefix, after, wait_s):
        resp = await request(
            "watch",
            "GET",
            "/v1/watch",
            params={"prefix": prefix, "after": after, "wait": wait_s},
            timeout=timeout_s + wait_s,
        )
        return _changes(resp, url)

    async def grant(ttl_s):
        resp = await request("grant", "POST", "/v1/leases", params={"ttl": ttl_s})
        return resp.text

    async def keep_alive(lease):
        resp = await request(
            "keep_alive", "POST", f"/v1/leases/{lease}", allowed=(200, 404)
        )
        if resp.status_code == 404:
            raise conflict("keep_alive", f"lease {lease}")

    async def revoke(lease):
        await request("revoke", "DELETE", f"/v1/leases/{lease}", allowed=(200, 404))

    return Store(
        get,
        put,
        delete,
        list_prefix,
        watch,
        grant,
        keep_alive,
        revoke,
        client.aclose,
        calls,
    )


def _revision(resp, url):
    try:
        return int(resp.headers["x-revision"])
    except (KeyError, ValueError) as exc:
        raise errors.StoreUnavailableError(
            "response without a revision", step="store.parse", peer=url
        ) from exc


def _changes(resp, url):
    try:
        body = resp.json()
        items = tuple(
            Item(
                str(item["key"]),
                None
                if item["value"] is None
                else base64.b64decode(item["value"], validate=True),
                int(item["revision"]),
            )
            for item in body["items"]
        )
        return Changes(int(body["revision"]), items)
    except (KeyError, TypeError, ValueError, binascii.Error) as exc:
        raise errors.StoreUnavailableError(
            f"malformed response: {exc}", step="store.parse", peer=url
        ) from exc
