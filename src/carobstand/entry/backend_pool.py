"""Connections of an entry to backend servers, kept for further requests."""

import anyio
import attrs

from carobstand import http1

CONNECT_TIMEOUT_S = 0.4
"""Longest wait for a connection: some round trips between regions and one lost packet
less, after which another server is the better choice."""

MAX_IDLE_S = 10.0
"""Idle connections are not used again after this, unless the server says less."""


@attrs.define(eq=False)
class BackendPool:
    """Idle connections by address, and open ones counted by address."""

    idle: dict = attrs.field(factory=dict)
    opened: dict = attrs.field(factory=dict)
    used_at: dict = attrs.field(factory=dict)


async def take(pool, address, request_id):
    """Return a connection to ``host:port`` for one request.

    A connection that carried this id before is not used: a second copy of that answer,
    coming late, could not be told from the answer to this request. Nor is any for a
    request without an id.

    Raises
    ------
    HttpError
        With `sent` False.
    """
    idle = pool.idle.get(address, [])
    passed = []
    found = None
    while idle and found is None and request_id:
        conn, until = idle.pop()
        if until <= anyio.current_time() or not http1.is_usable(conn):
            await discard(pool, conn)
        elif request_id in conn.request_ids:
            passed.append((conn, until))
        else:
            found = conn
    pool.idle.setdefault(address, []).extend(passed)
    if found is None:
        found = await http1.connect(address, CONNECT_TIMEOUT_S)
        pool.opened[address] = pool.opened.get(address, 0) + 1
    found.request_ids.append(request_id)
    return found


def give_back(pool, conn):
    """Keep a connection whose exchange is complete; return False if none may follow."""
    if not conn.request_ids[-1] or not http1.finish(conn):
        return False
    until = anyio.current_time() + MAX_IDLE_S
    pool.idle.setdefault(conn.peer, []).append((conn, until))
    return True


async def discard(pool, conn):
    """Close a connection."""
    left = pool.opened.get(conn.peer, 1) - 1
    if left:
        pool.opened[conn.peer] = left
    else:
        pool.opened.pop(conn.peer, None)
    await http1.close(conn)


async def close_idle(pool):
    """Close connections that have been idle for too long or that ended."""
    now = anyio.current_time()
    for address in list(pool.idle):
        kept = []
        for conn, until in pool.idle[address]:
            if until > now and http1.is_usable(conn):
                kept.append((conn, until))
            else:
                await discard(pool, conn)
        if kept:
            pool.idle[address] = kept
        else:
            del pool.idle[address]
