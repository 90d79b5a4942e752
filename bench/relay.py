"""TCP relay that can stop forwarding on open connections while new ones work."""

import contextlib

import anyio
import anyio.abc
import attrs

from carobstand.wire import connection

READ_BYTES = 256 * 1024

CLOSED_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


@attrs.define(eq=False)
class Link:
    """One relayed connection; once `silent` is set, nothing more is forwarded."""

    silent: bool = False


@attrs.define(eq=False)
class Relay:
    """Relay from `address` to `target`, both ``host:port``.

    While `hold_new_connections` is set, new connections are accepted, but not
    connected to `target`. `silenced` counts the connections that `silence` has stopped.
    """

    address: str
    target: str
    links: set = attrs.field(factory=set)
    silenced: int = 0
    hold_new_connections: bool = False


def silence(relay):
    """Stop forwarding on all open connections, which stay open; return their number."""
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
            while relay.hold_new_connections:
                await anyio.sleep(0.2)
            await _relay_connection(relay, client)

    async with listener:
        await listener.serve(handle)


async def _relay_connection(relay, client):
    host, port = connection.split_address(relay.target)
    try:
        server = await anyio.connect_tcp(host, port)
    except OSError:
        return
    link = Link()
    relay.links.add(link)
    try:
        async with server, anyio.create_task_group() as tg:
            tg.start_soon(_forward, link, client, server, tg.cancel_scope)
            tg.start_soon(_forward, link, server, client, tg.cancel_scope)
    finally:
        relay.links.discard(link)


async def _forward(link, source, sink, scope):
    """Forward until `source` ends; a silent link does not forward that it ended."""
    with contextlib.suppress(*CLOSED_ERRORS):
        while True:
            data = await source.receive(READ_BYTES)
            if link.silent:
                break
            await sink.send(data)
    if link.silent:
        await anyio.sleep_forever()
    scope.cancel()
