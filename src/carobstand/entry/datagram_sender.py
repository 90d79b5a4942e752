"""Sends datagrams of several tasks through one UDP socket."""

import anyio
import attrs

from carobstand import eventlog
from carobstand.core import deployment


@attrs.define(eq=False)
class DatagramSender:
    """A UDP socket, and a lock for the tasks that send through it.

    A socket raises an error if a task sends while another one does.
    """

    udp: object
    lock: anyio.Lock = attrs.field(factory=anyio.Lock)


async def send(sender, address, raw):
    """Send a datagram to ``host:port``; return whether it was sent."""
    host, port = deployment.split_address(address)
    try:
        async with sender.lock:
            await sender.udp.sendto(raw, host, port)
    except (OSError, anyio.ClosedResourceError, anyio.BrokenResourceError) as exc:
        eventlog.debug("datagram.unsent", peer=address, error=repr(exc))
        return False
    return True
