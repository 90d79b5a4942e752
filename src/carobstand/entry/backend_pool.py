"""Pool of keep-alive connections from an entry to backend servers."""

import anyio
import attrs

from carobstand import eventlog, http1
from carobstand.core import message_bounds

CONNECT_TIMEOUT_S = 0.4
"""Connect timeout: several round trips between regions, but less than the repetition of
a lost packet takes; after that, another server is the better choice."""

MAX_IDLE_S = 10.0
"""Maximum idle time of a reused connection; a server may set a shorter one."""

MAX_PEERS = 16_384
"""Servers whose work is kept; addresses change as servers are replaced."""


@attrs.define(eq=False)
class BackendPool:
    """Idle connections and number of open connections, by address.

    `peer_works` holds what is charged to a server for small parts of its responses.
    """

    idle: dict = attrs.field(factory=dict)
    open_counts: dict = attrs.field(factory=dict)
    used_at: dict = attrs.field(factory=dict)
    peer_works: dict = attrs.field(factory=dict)


async def acquire(pool, address, request_id):
    """Return a connection to ``host:port`` for one request.

    A connection that already carried this id is not reused: a late duplicate of the
    earlier response could not be distinguished from the response to this request. A
    request without an id always gets a new connection.

    Raises
    ------
    HttpError
        With `sent` False.
    """
    idle = pool.idle.get(address, [])
    skipped = []
    found = None
    while idle and found is None and request_id:
        conn, expires_at = idle.pop()
        if expires_at <= anyio.current_time() or not http1.is_usable(conn):
            await discard(pool, conn)
        elif request_id in conn.request_ids:
            skipped.append((conn, expires_at))
        else:
            found = conn
    pool.idle.setdefault(address, []).extend(skipped)
    if found is None:
        found = await http1.connect(address, CONNECT_TIMEOUT_S)
        found.peer_work = _peer_work(pool, address)
        pool.open_counts[address] = pool.open_counts.get(address, 0) + 1
    found.request_ids.append(request_id)
    return found


def _peer_work(pool, address):
    if address not in pool.peer_works and len(pool.peer_works) >= MAX_PEERS:
        del pool.peer_works[next(iter(pool.peer_works))]
    return pool.peer_works.setdefault(address, message_bounds.PeerWork())


def release(pool, conn):
    """Keep a connection after its exchange; return False if it cannot be reused."""
    if not conn.request_ids[-1] or not http1.prepare_for_reuse(conn):
        return False
    expires_at = anyio.current_time() + MAX_IDLE_S
    pool.idle.setdefault(conn.peer, []).append((conn, expires_at))
    return True


def put_back(pool, conn):
    """Keep a connection on which nothing was sent since `acquire` returned it."""
    conn.request_ids.pop()
    expires_at = anyio.current_time() + MAX_IDLE_S
    pool.idle.setdefault(conn.peer, []).append((conn, expires_at))


async def discard(pool, conn):
    """Close a connection."""
    remaining = pool.open_counts.get(conn.peer, 1) - 1
    if remaining:
        pool.open_counts[conn.peer] = remaining
    else:
        pool.open_counts.pop(conn.peer, None)
    dropped = await http1.close(conn)
    # What remains after the server ended the connection was dropped by that.
    if dropped and not conn.is_ended:
        eventlog.event("backend.reset", peer=conn.peer, unacknowledged=dropped)


async def close_idle(pool):
    """Close connections that are idle for too long or no longer usable."""
    now = anyio.current_time()
    for address in list(pool.idle):
        kept = []
        for conn, expires_at in pool.idle[address]:
            if expires_at > now and http1.is_usable(conn):
                kept.append((conn, expires_at))
            else:
                await discard(pool, conn)
        if kept:
            pool.idle[address] = kept
        else:
            del pool.idle[address]
