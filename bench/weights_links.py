"""Stand-in links between failure domains: relays with delay, loss and shared rates.

A relay listens for one destination on behalf of one source failure domain. Rates of VM
links are not emulated here; the product's own limits keep them.
"""

import random

import anyio
import attrs

PIECE_BYTES = 16 * 1024
"""Bytes that pass a shared link at a time; connections take turns."""

QUEUED_PIECES = 16
"""Pieces on their way on one connection: more than rate times delay."""


@attrs.define
class Direction:
    """One direction of the link of a region: bytes pass one after another."""

    bytes_per_s: float
    free_at: float = 0.0
    sent_bytes: int = 0


@attrs.define(eq=False)
class Links:
    """Shape of the network between failure domains.

    Attributes
    ----------
    regions : dict of (region, "in" or "out") to Direction
    delay_s, region_delay_s : float
        One-way delay between failure domains of a region, and between regions.
    loss : float
        Share of pieces that are lost once and sent again after a timeout.
    corrupt : float
        Share of pieces in which one byte is changed.
    stalled : dict of (source domain, destination VM) to float
        Time until which nothing passes.
    """

    regions: dict
    rng: random.Random
    delay_s: float = 0.005
    region_delay_s: float = 0.007
    loss: float = 0.01
    corrupt: float = 0.0
    stalled: dict = attrs.field(factory=dict)


@attrs.frozen
class Place:
    """Where an end of a link is."""

    vm: str
    failure_domain: str
    region: str


async def relay(links, source, target, address, tg):
    """Listen for connections from a failure domain to a VM; return the address.

    Parameters
    ----------
    links : Links
    source : Place
        Any VM of the source failure domain.
    target : Place
    address : (str, int)
        Where the target listens.
    tg : anyio.abc.TaskGroup
    """
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", backlog=256)

    async def handle(near):
        try:
            far = await anyio.connect_tcp(*address)
        except OSError:
            await near.aclose()
            return
        async with near, far, anyio.create_task_group() as group:
            scope = group.cancel_scope
            group.start_soon(_pump, links, source, target, near, far, scope)
            group.start_soon(_pump, links, target, source, far, near, scope)

    tg.start_soon(listener.serve, handle)
    host, port = listener.extra(anyio.abc.SocketAttribute.local_address)[:2]
    return f"{host}:{port}"


async def _pump(links, source, target, near, far, scope):
    """Pass bytes in one direction; the end of either side ends both."""
    send, receive = anyio.create_memory_object_stream(QUEUED_PIECES)
    key = (source.failure_domain, target.vm)

    async def write():
        async for ready, data in receive:
            ready = max(ready, links.stalled.get(key, 0.0))
            await anyio.sleep(max(0.0, ready - anyio.current_time()))
            await far.send(data)

    async def read():
        while True:
            data = await near.receive(PIECE_BYTES)
            ready = await _pass_shared(links, source, target, len(data))
            await send.send((ready, _damaged(links, data)))

    try:
        async with anyio.create_task_group() as tg:
            tg.start_soon(write)
            await read()
    except* (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
        pass
    finally:
        scope.cancel()


async def _pass_shared(links, source, target, size):
    """Wait for the shared links and return the time of arrival."""
    delay = links.delay_s
    if source.region != target.region:
        delay = links.region_delay_s
        out = links.regions[source.region, "out"]
        into = links.regions[target.region, "in"]
        end = max(_reserve(out, size), _reserve(into, size))
        await anyio.sleep(max(0.0, end - anyio.current_time()))
    if links.rng.random() < links.loss:
        delay += 0.2 + 2 * delay
    return anyio.current_time() + delay * links.rng.uniform(1.0, 1.5)


def _reserve(direction, size):
    start = max(anyio.current_time(), direction.free_at)
    direction.free_at = start + size / direction.bytes_per_s
    direction.sent_bytes += size
    return direction.free_at


def _damaged(links, data):
    if len(data) < PIECE_BYTES or links.rng.random() >= links.corrupt:
        return data
    index = links.rng.randrange(len(data) // 2, len(data))
    return data[:index] + bytes([data[index] ^ 255]) + data[index + 1 :]
