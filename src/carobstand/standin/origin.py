"""Stand-in for the origin of weights, with a rate limit over all downloads."""

import collections
import hashlib

import anyio
import attrs

from carobstand.standin import faults, web

KINDS = {"manifests": "manifest", "chunks": "chunk"}
"""Path segment of each kind of content, and its name in counters."""


@attrs.define(eq=False)
class OriginState:
    """Contents of the origin by digest, and counters of what it has sent.

    `bytes_per_s` limits all downloads together; 0 is unlimited. `link_free_at` is the
    time at which the pieces scheduled so far have been sent.
    """

    bytes_per_s: float = 0.0
    blobs: dict = attrs.field(factory=lambda: {"manifests": {}, "chunks": {}})
    link_free_at: float = 0.0
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
    """Store the encoded `manifest` and `chunks` (digest to bytes) without HTTP."""
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
    return web.Response(200, _stream_body(state, switches, kind, data), headers)


def _put(state, kind, digest, data):
    if hashlib.sha256(data).hexdigest() != digest:
        return web.error_response(400, "content does not match the digest")
    state.blobs[kind][digest] = data
    return web.Response()


async def _stream_body(state, switches, kind, data):
    """Yield `data` in pieces; concurrent downloads share the rate limit."""
    data = faults.maybe_corrupt(switches, data)
    stall_at = faults.stall_offset(switches, len(data))
    for start in range(0, len(data), web.PIECE_BYTES):
        if stall_at is not None and start + web.PIECE_BYTES > stall_at:
            yield data[start:stall_at]
            await anyio.sleep_forever()
        piece = data[start : start + web.PIECE_BYTES]
        await _wait_for_rate_limit(state, len(piece))
        state.sent_bytes[KINDS[kind]] += len(piece)
        yield piece


async def _wait_for_rate_limit(state, count):
    if not state.bytes_per_s:
        return
    now = anyio.current_time()
    state.link_free_at = max(now, state.link_free_at) + count / state.bytes_per_s
    await anyio.sleep(state.link_free_at - now)
