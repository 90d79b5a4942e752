"""Health checks of servers whose announcements are in doubt.

An entry asks a server only if a newer start became known after the server said that it
leaves or named a limit: nothing but the server tells whether that still holds.
"""

import math

import anyio

from carobstand import errors, eventlog, http1
from carobstand.core import announcements
from carobstand.entry import server_limits
from carobstand.platform import engine_client

CHECK_INTERVAL_S = 0.25
"""Interval at which servers in doubt are looked for."""

RETRY_MIN_S = 1.0
RETRY_MAX_S = 8.0
"""Bounds of the time between health checks of a server that does not answer; each is
twice as long as the one before."""

START_LAG_HEARTBEATS = 2
"""Heartbeat intervals within which a server's start is usually reported. Used for
services that have no health check."""


async def run(fwd):
    """Ask servers whose announcements are in doubt until cancelled."""
    retries = {}
    while True:
        await anyio.sleep(CHECK_INTERVAL_S)
        doubted = fwd.fleet.announced.doubted
        if not doubted:
            retries.clear()
            continue
        now = anyio.current_time()
        async with anyio.create_task_group() as tg:
            for server_id in list(doubted):
                next_at, delay_s = retries.get(server_id, (now, RETRY_MIN_S))
                if now < next_at or _is_paused(fwd, server_id, now):
                    continue
                delay_s = min(RETRY_MAX_S, 2 * delay_s)
                retries[server_id] = now + delay_s, delay_s
                tg.start_soon(_resolve, fwd, server_id)


def _is_paused(fwd, server_id, now):
    """Whether a server wants no requests, which includes health checks."""
    return now < fwd.fleet.announced.by_server[server_id].paused_until


async def _resolve(fwd, server_id):
    server = fwd.fleet.servers.servers.get(server_id)
    config = fwd.fleet.configuration
    if server is None or config is None:
        return
    service = config.services.get(server.service)
    asked_at = anyio.current_time()
    if service is None or not service.health_path:
        return _resolve_by_date(fwd, server_id)
    caller = http1.Client(server.address)
    try:
        head = await engine_client.check_health(caller, service.health_path)
    except errors.BackendError as exc:
        eventlog.event("server.unchecked", server=server_id, error=str(exc))
        return
    finally:
        await http1.close_idle(caller)
    is_other = head.server_id and head.server_id != server_id
    # A full server rejects health checks, too.
    is_rejected = head.status != 200 and not head.is_leaving
    if is_other or is_rejected:
        reason = f"status {head.status} from {head.server_id or server_id}"
        eventlog.event("server.unchecked", server=server_id, error=reason)
        return
    _end_doubt(fwd, server_id, head.is_leaving, head.limit, asked_at)


def _resolve_by_date(fwd, server_id):
    """End a doubt where the server cannot be asked.

    What it announced shortly before its start became known holds.
    """
    found = fwd.fleet.announced.by_server[server_id]
    lag_s = START_LAG_HEARTBEATS * fwd.fleet.deployment.heartbeat_s
    since = found.doubted_at - lag_s
    is_leaving = found.is_leaving and found.leaving_named_at > since
    limit = found.limit if found.limit_named_at > since else None
    _end_doubt(fwd, server_id, is_leaving, limit, math.inf)


def _end_doubt(fwd, server_id, is_leaving, limit, asked_at):
    is_changed = announcements.resolve_doubt(
        fwd.fleet.announced, server_id, is_leaving, limit, asked_at
    )
    eventlog.event("server.checked", server=server_id, leaving=is_leaving, limit=limit)
    if is_changed:
        server_limits.on_limit_changed(fwd.limits, server_id)
        fwd.capacity_freed.notify()
