"""Emulated links between failure domains: relays with delay, loss and shared rates.

Each relay forwards connections from one source failure domain to one destination VM.
Rates of VM links are not emulated here; the product's own limits keep them.
"""

import asyncio
import random

import attrs

PIECE_BYTES = 16 * 1024
"""Bytes transmitted over a shared link at a time; connections alternate."""

MAX_QUEUED_BYTES = 64 * 1024
"""Maximum bytes in transit on one connection before reading pauses: above the product
of rate and delay, but small enough for connections to share a link fairly."""


@attrs.define
class Direction:
    """One direction of the link of a region, which transmits one piece at a time."""

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
        Share of pieces delayed as if they were lost and retransmitted.
    corrupt : float
        Share of pieces in which one byte is changed.
    stalled : dict of (source domain, destination VM) to float
        Time until which nothing is delivered.
    """

    regions: dict
    rng: random.Random
    delay_s: float = 0.005
    region_delay_s: float = 0.007
    loss: float = 0.01
    corrupt: float = 0.0
    stalled: dict = attrs.field(factory=dict)


@attrs.frozen
class Location:
    """VM, failure domain and region of one end of a link."""

    vm: str
    failure_domain: str
    region: str


@attrs.define(eq=False)
class RelayEndpoint(asyncio.Protocol):
    """One end of a relayed connection; forwards the data it reads to `other`."""

    links: Links
    source: Location
    target: Location
    other: object = None
    transport: object = None
    unsent: list = attrs.field(factory=list)
    queued_bytes: int = 0
    last_arrival_at: float = 0.0

    def connection_made(self, transport):
        """Store the transport and send the data that arrived before it."""
        self.transport = transport
        for data in self.unsent:
            transport.write(data)

    def data_received(self, data):
        """Forward data after the transmission time and delay of the links."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        for start in range(0, len(data), PIECE_BYTES):
            piece = data[start : start + PIECE_BYTES]
            arrives_at = _arrival_time(self.links, self, len(piece), now)
            # Callbacks at equal times have no defined order.
            arrives_at = max(arrives_at, self.last_arrival_at + 1e-6)
            self.last_arrival_at = arrives_at
            self.queued_bytes += len(piece)
            loop.call_at(
                arrives_at, self._pass_on, _corrupt_at_random(self.links, piece)
            )
        if self.queued_bytes > MAX_QUEUED_BYTES:
            self.transport.pause_reading()

    def _pass_on(self, piece):
        self.queued_bytes -= len(piece)
        if self.queued_bytes <= MAX_QUEUED_BYTES and not self.transport.is_closing():
            self.transport.resume_reading()
        if self.other.transport is None:
            self.other.unsent.append(piece)
        elif not self.other.transport.is_closing():
            self.other.transport.write(piece)

    def connection_lost(self, exc):
        """Close the other side after the data in transit has been delivered."""
        loop = asyncio.get_running_loop()
        loop.call_at(max(self.last_arrival_at, loop.time()) + 0.001, self._close_other)

    def _close_other(self):
        if self.other.transport is not None:
            self.other.transport.close()


async def relay(links, source, target, address):
    """Listen for connections from a failure domain to a VM; return the address.

    One process relays the traffic of all agents. It uses callbacks of the event loop:
    with a task per connection it was the bottleneck at N = 96.

    Parameters
    ----------
    links : Links
    source : Location
        Any VM of the source failure domain.
    target : Location
    address : (str, int)
        Where the target listens.
    """
    loop = asyncio.get_running_loop()
    dialing = set()

    def accept():
        near, far = (
            RelayEndpoint(links, source, target),
            RelayEndpoint(links, target, source),
        )
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


def _arrival_time(links, end, size, now):
    """Return the time at which a piece arrives at the other side."""
    near, far = end.source, end.target
    delay = links.delay_s
    if near.region != far.region:
        delay = links.region_delay_s
        out_end = _reserve(links.regions[near.region, "out"], size, now)
        now = max(out_end, _reserve(links.regions[far.region, "in"], size, now))
    if links.rng.random() < links.loss:
        delay += 0.2 + 2 * delay
    arrives_at = now + delay * links.rng.uniform(1.0, 1.5)
    return max(arrives_at, links.stalled.get((near.failure_domain, far.vm), 0.0))


def _reserve(direction, size, now):
    start = max(now, direction.free_at)
    direction.free_at = start + size / direction.bytes_per_s
    direction.sent_bytes += size
    return direction.free_at


def _corrupt_at_random(links, data):
    if len(data) < PIECE_BYTES or links.rng.random() >= links.corrupt:
        return data
    index = links.rng.randrange(len(data) // 2, len(data))
    return data[:index] + bytes([data[index] ^ 255]) + data[index + 1 :]
