"""Stand-in of the origin of weights, with a shared rate limit."""

import collections
import hashlib

import anyio
import attrs

from carobstand.standin import faults, web

KINDS = {"manifests": "manifest", "chunks": "chunk"}
"""Path segments and the names under which they are counted."""


@attrs.define(eq=False)
class OriginState:
    """Contents of the origin by digest, and what it has sent.

    `bytes_per_s` limits all downloads together; 0 is unlimited.
    """

    bytes_per_s: float = 0.0
    blobs: dict = attrs.field(factory=lambda: {"manifests": {}, "chunks": {}})
    free_at: float = 0.0
    requests: collections.Counter = attrs.field(factory=collections.Counter)
    sent_bytes: collections.Counter = attrs.field(factory=collections.Counter)
    sent_per_digest: collections.Counter = attrs.field(factory=collections.Counter)


def site(state=None):
    """Return the origin as a `web.Site`."""
    state = state or OriginState()

    async def handle(req):
        return _handle(state, origin.switches, req)

    def stats():
        return {
            "requests": dict(state.requests),
            "sent_bytes": dict(state.sent_bytes),
            "most_sent": max(state.sent_per_digest.values(), default=0),
        }

    origin = web.Site("origin", handle, stats)
    return origin


def publish(state, manifest, chunks):
    """Store the encoded `manifest` and `chunks` (digest to bytes) at once."""
    state.blobs["manifests"][hashlib.sha256(manifest).hexdigest()] = manifest
    state.blobs["chunks"].update(chunks)


def _handle(state, switches, req):
    parts = req.path.strip("/").split("/")
    if len(parts) != 3 or parts[0] != "v1" or parts[1] not in KINDS:
        return web.error_response(404, f"no such path: {req.path}")
    _, kind, digest = parts
    state.requests[f"{req.method.lower()} {KINDS[kind]}"] += 1
    if req.method == "PUT":
        return _put(state, kind, digest, req.body)
    if req.method != "GET":
        return web.error_response(405, req.method)
    data = state.blobs[kind].get(digest)
    if data is None:
        return web.error_response(404, f"no such {KINDS[kind]}: {digest}")
    state.sent_per_digest[digest] += 1
    headers = (("content-length", len(data)),)
    return web.Response(200, _body(state, switches, kind, data), headers)


def _put(state, kind, digest, data):
    if hashlib.sha256(data).hexdigest() != digest:
        return web.error_response(400, "content does not match the digest")
    state.blobs[kind][digest] = data
    return web.Response()


async def _body(state, switches, kind, data):
    """Yield `data` in pieces; all downloads take turns at the shared rate."""
    data = faults.corrupted(switches, data)
    stop = faults.stall_point(switches, len(data))
    for start in range(0, len(data), web.PIECE_BYTES):
        if stop is not None and start + web.PIECE_BYTES > stop:
            yield data[start:stop]
            await anyio.sleep_forever()
        piece = data[start : start + web.PIECE_BYTES]
        await _take_turn(state, len(piece))
        state.sent_bytes[KINDS[kind]] += len(piece)
        yield piece


async def _take_turn(state, count):
    if not state.bytes_per_s:
        return
    now = anyio.current_time()
    state.free_at = max(now, state.free_at) + count / state.bytes_per_s
    await anyio.sleep(state.free_at - now)
