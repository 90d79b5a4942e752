"""Stand-in links between failure domains: relays with delay, loss and shared rates.

A relay listens for one destination on behalf of one source failure domain. Rates of VM
links are not emulated here; the product's own limits keep them.
"""

import asyncio
import random

import attrs

PIECE_BYTES = 16 * 1024
"""Bytes that pass a shared link at a time; connections take turns."""

QUEUED_BYTES = 64 * 1024
"""Bytes on their way on one connection above which no more are read: more than rate
times delay, and little enough for connections to share a link fairly."""


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


@attrs.define(eq=False)
class End(asyncio.Protocol):
    """One end of a relayed connection; passes what it reads on to `other`."""

    links: Links
    source: Place
    target: Place
    other: object = None
    transport: object = None
    waiting: list = attrs.field(factory=list)
    queued: int = 0
    last: float = 0.0

    def connection_made(self, transport):
        """Keep the transport and send what has waited for it."""
        self.transport = transport
        for data in self.waiting:
            transport.write(data)

    def data_received(self, data):
        """Pass data on when the links have carried it."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        for start in range(0, len(data), PIECE_BYTES):
            piece = data[start : start + PIECE_BYTES]
            ready = _arrival(self.links, self, len(piece), now)
            # Equal times would leave the order of two pieces open.
            ready = max(ready, self.last + 1e-6)
            self.last = ready
            self.queued += len(piece)
            loop.call_at(ready, self._pass_on, _damaged(self.links, piece))
        if self.queued > QUEUED_BYTES:
            self.transport.pause_reading()

    def _pass_on(self, piece):
        self.queued -= len(piece)
        if self.queued <= QUEUED_BYTES and not self.transport.is_closing():
            self.transport.resume_reading()
        if self.other.transport is None:
            self.other.waiting.append(piece)
        elif not self.other.transport.is_closing():
            self.other.transport.write(piece)

    def connection_lost(self, exc):
        """End the other side too, after what is on its way."""
        loop = asyncio.get_running_loop()
        loop.call_at(max(self.last, loop.time()) + 0.001, self._close_other)

    def _close_other(self):
        if self.other.transport is not None:
            self.other.transport.close()


async def relay(links, source, target, address):
    """Listen for connections from a failure domain to a VM; return the address.

    Callbacks of the event loop do the work, because one process relays the traffic of
    all agents: with tasks per connection it was the bottleneck at N = 96.

    Parameters
    ----------
    links : Links
    source : Place
        Any VM of the source failure domain.
    target : Place
    address : (str, int)
        Where the target listens.
    """
    loop = asyncio.get_running_loop()
    dialing = set()

    def accept():
        near, far = End(links, source, target), End(links, target, source)
        near.other, far.other = far, near
        dial = loop.create_task(_dial(loop, far, address))
        dialing.add(dial)
        dial.add_done_callback(dialing.discard)
        return near

    server = await loop.create_server(accept, "127.0.0.1", 0, backlog=256)
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


async def _dial(loop, far, address):
    try:
        await loop.create_connection(lambda: far, *address)
    except OSError:
        far.other.transport.abort()


def _arrival(links, end, size, now):
    """Return the time at which a piece arrives at the other side."""
    near, far = end.source, end.target
    delay = links.delay_s
    if near.region != far.region:
        delay = links.region_delay_s
        out = _reserve(links.regions[near.region, "out"], size, now)
        now = max(out, _reserve(links.regions[far.region, "in"], size, now))
    if links.rng.random() < links.loss:
        delay += 0.2 + 2 * delay
    ready = now + delay * links.rng.uniform(1.0, 1.5)
    return max(ready, links.stalled.get((near.failure_domain, far.vm), 0.0))


def _reserve(direction, size, now):
    start = max(now, direction.free_at)
    direction.free_at = start + size / direction.bytes_per_s
    direction.sent_bytes += size
    return direction.free_at


def _damaged(links, data):
    if len(data) < PIECE_BYTES or links.rng.random() >= links.corrupt:
        return data
    index = links.rng.randrange(len(data) // 2, len(data))
    return data[:index] + bytes([data[index] ^ 255]) + data[index + 1 :]
