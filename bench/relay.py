"""TCP relay whose open connections can go silent while new ones work."""

import contextlib

import anyio
import anyio.abc
import attrs

from carobstand.wire import connection

READ_BYTES = 256 * 1024

BROKEN = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


@attrs.define(eq=False)
class Link:
    """One relayed connection; `silent` stops forwarding for good."""

    silent: bool = False


@attrs.define(eq=False)
class Relay:
    """Relay from `address` to `target`, both ``host:port``.

    While `cut` is set, new connections are accepted and never answered.
    """

    address: str
    target: str
    links: set = attrs.field(factory=set)
    silenced: int = 0
    cut: bool = False


def silence(relay):
    """Stop forwarding on all open connections; return how many there were."""
    for link in relay.links:
        link.silent = True
    count = len(relay.links)
    relay.links = set()
    relay.silenced += count
    return count


async def serve(relay, *, task_status=anyio.TASK_STATUS_IGNORED):
    """Relay connections until cancelled."""
    host, port = connection.split_address(relay.address)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    task_status.started()

    async def handle(client):
        async with client:
            while relay.cut:
                await anyio.sleep(0.2)
            await _relay(relay, client)

    async with listener:
        await listener.serve(handle)


async def _relay(relay, client):
    host, port = connection.split_address(relay.target)
    try:
        server = await anyio.connect_tcp(host, port)
    except OSError:
        return
    link = Link()
    relay.links.add(link)
    try:
        async with server, anyio.create_task_group() as tg:
            tg.start_soon(_pump, link, client, server, tg.cancel_scope)
            tg.start_soon(_pump, link, server, client, tg.cancel_scope)
    finally:
        relay.links.discard(link)


async def _pump(link, source, sink, scope):
    """Forward until the end; a silent link does not even pass on that it ended."""
    with contextlib.suppress(*BROKEN):
        while True:
            data = await source.receive(READ_BYTES)
            if link.silent:
                break
            await sink.send(data)
    if link.silent:
        await anyio.sleep_forever()
    scope.cancel()
