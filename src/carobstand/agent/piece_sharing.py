"""Serves the pieces that this agent holds to entries that lack them.

Load pattern: entries that held copies are gone while the origin is unavailable or slow.
"""

import functools

import anyio
import attrs

from carobstand import errors
from carobstand.transfer import piece_server

MAX_READERS = 1
"""Readers served at a time. The link also carries the engine's responses; a reader has
6 KB under way, which a link of 4 Mbit/s sends in 12 ms."""


@attrs.define(eq=False)
class Sharing:
    """Readers that are served now."""

    readers: int = 0


async def run(view):
    """Serve pieces until cancelled."""
    dep = view.deployment
    listener = await anyio.create_tcp_listener(
        local_host=dep.ip, local_port=dep.internal_ports[0]
    )
    handle = functools.partial(_serve, view, Sharing())
    async with listener:
        await piece_server.listen(listener, handle)


async def _serve(view, sharing, frames, request):
    piece_server.require_manifest_request(request)
    copy = view.copies.get(request.version)
    if copy is None or copy.model != request.model:
        raise errors.WireError("no such copy is held", step="pieces.serve")
    if sharing.readers >= MAX_READERS:
        raise errors.WireError("too many readers", step="pieces.serve")

    async def until_held(block):
        return block.number in copy.pieces

    sharing.readers += 1
    try:
        await piece_server.send_copy(frames, copy, request, until_held)
    finally:
        sharing.readers -= 1
