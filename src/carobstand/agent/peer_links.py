"""Connections to other agents: bidirectional, and closed when idle."""

import anyio
import attrs

from carobstand import errors, logs
from carobstand.core import swarm_state as st
from carobstand.wire import connection
from carobstand.wire.gen import ttypes

IDLE_S = 5.0
"""Time without a swarm message after which a connection is closed.

Requests to VMs in hash order eventually open a connection to almost every VM, 92 at 96
VMs, and the pings on these took more processor time than the chunks.
"""

SWEEP_INTERVAL_S = 1.0


@attrs.define(eq=False)
class PeerLinks:
    """Open connections to other agents.

    Attributes
    ----------
    by_vm : dict of str to wire.connection.Connection
        Connection to use for a VM, whichever side opened it.
    used_at : dict of wire.connection.Connection to float
        Time of the last swarm message, for each open connection.
    dialed : set of wire.connection.Connection
        Connections that this VM opened; it closes them when idle.
    closed_bytes_sent, closed_bytes_received : int
        Bytes on closed connections.
    """

    by_vm: dict = attrs.field(factory=dict)
    used_at: dict = attrs.field(factory=dict)
    dialed: set = attrs.field(factory=set)
    closed_bytes_sent: int = 0
    closed_bytes_received: int = 0


async def connect(loop, member):
    """Return an open connection to a member.

    Raises
    ------
    ConnectionClosedError, HandshakeError
        If it is unreachable, or another VM is connected at its address.
    """
    conn = loop.links.by_vm.get(member.vm)
    if conn is not None and not conn.closed.is_set():
        if member.start_id in ("", conn.peer.start_id):
            record_use(loop, conn)
            return conn
    conn = await loop.state.dial_peer(member.address)
    if conn.peer.vm != member.vm:
        raise errors.ConnectionClosedError(
            f"VM {conn.peer.vm} answers instead of {member.vm}",
            step="weights.connect",
            peer=member.address,
        )
    loop.links.dialed.add(conn)
    record_use(loop, conn)
    return conn


def record_use(loop, conn):
    """Record the use of a connection; report its loss to the swarm when it closes."""
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
    links.closed_bytes_sent += conn.bytes_sent
    links.closed_bytes_received += conn.bytes_received
    if not conn.extra.get("goodbye"):
        start_id = conn.peer.start_id or ""
        loop.process_event(st.PeerLost(conn.peer.vm, start_id, conn))


async def close_idle(loop):
    """Close idle connections until cancelled; a `Goodbye` marks it as planned."""
    while True:
        await anyio.sleep(SWEEP_INTERVAL_S)
        idle_cutoff = anyio.current_time() - IDLE_S
        for conn in list(loop.links.dialed):
            idle = loop.links.used_at.get(conn, idle_cutoff) < idle_cutoff
            if idle and not _has_work(loop.swarm, conn):
                await _close(conn)


def _has_work(swarm, conn):
    """Return whether a transfer or an upload is in progress on a connection."""
    transfers = swarm.transfers.values()
    uploads = [*swarm.upload_queue, *swarm.sending.values(), swarm.charged_upload]
    return (
        conn.queued_bytes > 0
        or any(transfer.vm == conn.peer.vm for transfer in transfers)
        or any(upload is not None and upload.conn is conn for upload in uploads)
    )


async def _close(conn):
    conn.extra["goodbye"] = True
    try:
        connection.post(conn, ttypes.Goodbye(reason="idle"))
        await connection.flush(conn, 1.0)
    except errors.CarobstandError as exc:
        logs.event("weights.close_failed", peer=conn.peer.vm, error=exc.message)
    connection.close(conn)


def totals(links):
    """Return the bytes sent and received on all open and closed connections."""
    conns = list(links.used_at)
    sent = links.closed_bytes_sent + sum(conn.bytes_sent for conn in conns)
    received = links.closed_bytes_received + sum(conn.bytes_received for conn in conns)
    return sent, received
