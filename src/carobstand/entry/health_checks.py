"""Health checks of servers whose announcements are in doubt.

An entry asks a server if a newer start became known after the server said that it
leaves or named a limit: nothing but the server tells whether that still holds. It also
asks one whose registration is missing after a failure of the store: a server that
leaves says so in each answer, one whose registration only lapsed answers as before.
"""

import math

import anyio

from carobstand import errors, eventlog, http1_calls
from carobstand.core import announcements, registry
from carobstand.entry import server_limits
from carobstand.platform import engine_client

CHECK_INTERVAL_S = 0.25
"""Interval at which servers in doubt are looked for."""

MAX_AT_ONCE = 32
"""Servers with missing registrations that are asked at once, once in
`CHECK_INTERVAL_S`; those that answer requests meanwhile need not be asked."""

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
        await fwd.fleet.registrations_missing.wait(CHECK_INTERVAL_S)
        await _ask_missing(fwd)
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


async def _ask_missing(fwd):
    """Ask the servers whose registrations are missing whether they leave."""
    servers = fwd.fleet.servers
    if not servers.lapsed:
        return
    now = anyio.current_time()
    missing = [
        server_id
        for server_id in registry.doubtful(servers, now)
        if not _is_paused(fwd, server_id, now)
    ]
    async with anyio.create_task_group() as tg:
        for server_id in missing[:MAX_AT_ONCE]:
            tg.start_soon(_confirm, fwd, server_id)


async def _confirm(fwd, server_id):
    """Ask a server whose registration is missing whether it leaves."""
    asked_at = anyio.current_time()
    head = await _ask(fwd, server_id)
    if head is None:
        return
    if head.is_leaving:
        started_ms = fwd.fleet.servers.servers[server_id].started_ms
        announcements.record_leaving(
            fwd.fleet.announced, server_id, started_ms, anyio.current_time()
        )
    else:
        registry.record_staying(fwd.fleet.servers, server_id, asked_at)
        fwd.capacity_freed.notify()
    eventlog.event(
        "server.checked", server=server_id, leaving=head.is_leaving, limit=head.limit
    )


def _is_paused(fwd, server_id, now):
    """Whether a server wants no requests, which includes health checks."""
    known = fwd.fleet.announced.by_server.get(server_id)
    return known is not None and now < known.paused_until


async def _resolve(fwd, server_id):
    asked_at = anyio.current_time()
    server = fwd.fleet.servers.servers.get(server_id)
    if server is None or fwd.fleet.configuration is None:
        return
    if not _health_path(fwd, server):
        return _resolve_by_date(fwd, server_id)
    head = await _ask(fwd, server_id)
    if head is not None:
        _end_doubt(fwd, server_id, head.is_leaving, head.limit, asked_at)


def _health_path(fwd, server):
    """Return the path of a server's health check, or None."""
    config = fwd.fleet.configuration
    service = config.services.get(server.service) if config else None
    return service and service.health_path


async def _ask(fwd, server_id):
    """Return the `AnswerHead` of a server's health check, or None if it tells nothing.

    The server may have been removed when the answer arrives.
    """
    server = fwd.fleet.servers.servers.get(server_id)
    if server is None or not (path := _health_path(fwd, server)):
        return None
    caller = http1_calls.Client(server.address)
    try:
        head = await engine_client.check_health(caller, path)
    except errors.BackendError as exc:
        eventlog.event("server.unchecked", server=server_id, error=str(exc))
        return None
    finally:
        await http1_calls.close_idle(caller)
    is_other = head.server_id and head.server_id != server_id
    # A full server rejects health checks, too.
    is_rejected = head.status != 200 and not head.is_leaving
    if is_other or is_rejected:
        reason = f"status {head.status} from {head.server_id or server_id}"
        eventlog.event("server.unchecked", server=server_id, error=reason)
        return None
    return head if server_id in fwd.fleet.servers.servers else None


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
