"""Pings on a connection, and detection of peers that are silent or do not read."""

import anyio

from carobstand import errors
from carobstand.wire.gen import ttypes

PING_INTERVAL_S = 0.8
"""Interval of pings to a peer that sends nothing."""

SILENCE_TIMEOUT_S = 2.6
"""Silence after which a connection is closed: three pings at `PING_INTERVAL_S`, and
0.2 s for the pong to the last. A silent connection is detected within 3 s."""

ACCEPTOR_PING_DELAY_S = 0.2
"""Delay of the first ping of the side that accepted the connection: the ping of the
other side and its pong show to both that the peer is alive, so an idle connection
carries one ping per interval instead of two."""

WRITE_STALL_TIMEOUT_S = 10.0
"""Time without progress of a write after which the connection is closed, because the
peer does not read."""


async def watch(conn, post):
    """Ping a quiet peer; raise ConnectionClosedError once it is silent or stalled.

    A peer that sent data within `PING_INTERVAL_S` needs no ping. A silent one gets
    three (two from the side that accepted) before the connection is closed, and a busy
    one gets none. While a message is handled nothing is read, and pings show the peer
    that this process is alive. After a pause of this process itself the peer gets
    `SILENCE_TIMEOUT_S` again, because its frames may still be unread in the socket.

    Parameters
    ----------
    conn : connection.Connection
    post : callable of (conn, message)
        Queues a message without waiting.
    """
    pinged_at = anyio.current_time()
    seq = 0
    while True:
        ping_at = _ping_at(conn, pinged_at)
        silent_at = ping_at
        if conn.quiet_since is not None:
            silent_at = conn.quiet_since + SILENCE_TIMEOUT_S
        wake_at = min(ping_at, silent_at)
        await anyio.sleep_until(wake_at)
        now = anyio.current_time()
        if now - wake_at > PING_INTERVAL_S / 2 and conn.quiet_since is not None:
            conn.quiet_since = now
        if conn.quiet_since is not None and now >= conn.quiet_since + SILENCE_TIMEOUT_S:
            _fail(conn, f"peer silent for {now - conn.quiet_since:.1f} s")
        if (
            conn.write_since is not None
            and now - conn.write_since >= WRITE_STALL_TIMEOUT_S
        ):
            _fail(conn, f"peer does not read for {now - conn.write_since:.1f} s")
        if now >= _ping_at(conn, pinged_at):
            seq += 1
            pinged_at = now
            post(conn, ttypes.Ping(seq=seq))


def _ping_at(conn, pinged_at):
    """Return when the next ping is due unless data of the peer arrives before."""
    if conn.quiet_since is None or conn.quiet_since <= pinged_at:
        return pinged_at + PING_INTERVAL_S
    delay_s = ACCEPTOR_PING_DELAY_S if conn.accepted else 0.0
    return conn.quiet_since + PING_INTERVAL_S + delay_s


def _fail(conn, message):
    raise errors.ConnectionClosedError(message, step="wire.watch", peer=conn.address)
