"""Connections to other agents: used in both directions, closed when idle."""

import anyio
import attrs

from carobstand import errors, logs
from carobstand.core import swarm_state as st
from carobstand.wire import connection
from carobstand.wire.gen import ttypes

IDLE_S = 20.0
"""Time without a message of the swarm after which a connection is closed. Pings on
connections to 200 VMs would exceed 5 KB/s while no weights move."""

SWEEP_INTERVAL_S = 5.0


@attrs.define(eq=False)
class PeerLinks:
    """Open connections to other agents.

    Attributes
    ----------
    by_vm : dict of str to wire.connection.Connection
        The connection to use, whichever side opened it.
    used_at : dict of wire.connection.Connection to float
        Time of the last message of the swarm, for every open connection.
    dialed : set of wire.connection.Connection
        Those that this VM opened, and closes when they are idle.
    closed_sent, closed_received : int
        Bytes on connections that have ended.
    """

    by_vm: dict = attrs.field(factory=dict)
    used_at: dict = attrs.field(factory=dict)
    dialed: set = attrs.field(factory=set)
    closed_sent: int = 0
    closed_received: int = 0


async def connect(loop, member):
    """Return an open connection to a member.

    Raises
    ------
    ConnectionClosedError, HandshakeError
        If it cannot be reached, or another VM answers at its address.
    """
    conn = loop.links.by_vm.get(member.vm)
    if conn is not None and not conn.closed.is_set():
        if member.start_id in ("", conn.peer.start_id):
            note(loop, conn)
            return conn
    conn = await loop.state.dial_peer(member.address)
    if conn.peer.vm != member.vm:
        raise errors.ConnectionClosedError(
            f"VM {conn.peer.vm} answers instead of {member.vm}",
            step="weights.connect",
            peer=member.address,
        )
    loop.links.dialed.add(conn)
    note(loop, conn)
    return conn


def note(loop, conn):
    """Record the use of a connection, and tell the swarm when it ends."""
    links = loop.links
    known = conn in links.used_at
    links.used_at[conn] = anyio.current_time()
    links.by_vm[conn.peer.vm] = conn
    if not known:
        loop.tg.start_soon(_wait_for_end, loop, conn)


async def _wait_for_end(loop, conn):
    await conn.closed.wait()
    links = loop.links
    links.used_at.pop(conn, None)
    links.dialed.discard(conn)
    if links.by_vm.get(conn.peer.vm) is conn:
        del links.by_vm[conn.peer.vm]
    links.closed_sent += conn.bytes_sent
    links.closed_received += conn.bytes_received
    if not conn.extra.get("goodbye"):
        loop.feed(st.PeerLost(conn.peer.vm))


async def close_idle(loop):
    """Close idle connections until cancelled; peers learn that it is no failure."""
    while True:
        await anyio.sleep(SWEEP_INTERVAL_S)
        if any(not job.complete for job in loop.swarm.jobs.values()):
            continue
        before = anyio.current_time() - IDLE_S
        for conn in list(loop.links.dialed):
            if loop.links.used_at.get(conn, before) < before:
                await _close(conn)


async def _close(conn):
    conn.extra["goodbye"] = True
    try:
        connection.post(conn, ttypes.Goodbye(reason="idle"))
        await connection.flush(conn, 1.0)
    except errors.CarobstandError as exc:
        logs.event("weights.close_failed", peer=conn.peer.vm, error=exc.message)
    connection.close(conn)


def totals(links):
    """Return the bytes sent and received on all connections so far."""
    conns = list(links.used_at)
    sent = links.closed_sent + sum(conn.bytes_sent for conn in conns)
    received = links.closed_received + sum(conn.bytes_received for conn in conns)
    return sent, received
