"""A proxy before the store whose open connections can go silent for good."""

import anyio
import attrs

from carobstand.core import deployment


@attrs.define(eq=False)
class Proxy:
    """Forwards connections to the store.

    Attributes
    ----------
    target : str
        Address of the store.
    silenced : set of int
        Numbers of the connections whose bytes are dropped.
    opened : int
        Number of connections so far.
    """

    target: str
    silenced: set = attrs.field(factory=set)
    opened: int = 0


def silence(proxy):
    """Make all open connections silent for good; new ones work."""
    proxy.silenced = set(range(proxy.opened))


async def serve(proxy, address):
    """Forward connections until cancelled."""
    host, port = deployment.split_address(address)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)

    async def forward(stream):
        number, proxy.opened = proxy.opened, proxy.opened + 1
        async with (
            stream,
            await anyio.connect_tcp(*deployment.split_address(proxy.target)) as peer,
            anyio.create_task_group() as tg,
        ):
            tg.start_soon(_copy, proxy, number, stream, peer, tg)
            tg.start_soon(_copy, proxy, number, peer, stream, tg)

    async with listener:
        await listener.serve(forward)


async def _copy(proxy, number, source, sink, tg):
    try:
        async for data in source:
            if number not in proxy.silenced:
                await sink.send(data)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        pass
    tg.cancel_scope.cancel()
