"""What an entry learns of server starts and of servers that are cold."""

import math

import anyio

from carobstand import eventlog
from carobstand.core import announcements, permit_rates


def note_start(fleet, server_id, started_ms):
    """Record a server start, after which its earlier announcements are in doubt."""
    now = anyio.current_time()
    if announcements.record_start(fleet.announced, server_id, started_ms, now):
        eventlog.event("server.started_anew", server=server_id, start=started_ms)


def assume_cold(fleet, server_id, started_ms, source, is_known=True):
    """Record that a server is cold, as it started during traffic.

    What a statement told of the same start takes precedence.
    """
    if not announcements.tells_cold(fleet.announced, server_id, started_ms):
        cold_s = _cold_time_s(fleet, server_id)
        _set_cold(fleet, server_id, started_ms, cold_s, -math.inf, source, is_known)


def mark_cold(fleet, server_ids, source):
    """Record that servers are cold for the `cold_time_s` of their service from now.

    A later statement of a server, or a later start, takes precedence.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    server_ids : iterable of str
        Servers of services without a limit for cold servers are passed over.
    source : str
        Where it is known from, for the log.
    """
    now = anyio.current_time()
    for server_id in server_ids:
        listed = fleet.servers.servers.get(server_id)
        if listed is None:
            continue
        known = fleet.announced.by_server.get(server_id)
        started_ms = max(listed.started_ms, known.started_ms if known else 0)
        cold_s = _cold_time_s(fleet, server_id)
        if known is not None:
            cold_s = max(cold_s, known.cold_until - now)
        _set_cold(fleet, server_id, started_ms, cold_s, now, source)


def note_cold_record(fleet, registration, known):
    """Record whether a server is cold, by a registration that was just read.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    registration : core.registry.Registration
    known : core.registry.Registration or None
        The last one of the same server.
    """
    server_id, started_ms = registration.server_id, registration.started_ms
    if registration.malformed_cold:
        eventlog.event(
            "server.cold_malformed", server=server_id, value=registration.malformed_cold
        )
    cold_s = registration.cold_s
    if cold_s is not None:
        named_at = anyio.current_time() if cold_s else fleet.changes_since
        is_known = known is not None
        _set_cold(fleet, server_id, started_ms, cold_s, named_at, "record", is_known)
    elif fleet.first_read_at is not None and _is_new_start(fleet, registration, known):
        assume_cold(fleet, server_id, started_ms, "start", known is not None)


def knows_cold(fleet, server_id, started_ms):
    """Whether it is known here if the given start of a server, or a later one, is cold.

    Others may only assume that it is cold.
    """
    listed = fleet.servers.servers.get(server_id)
    is_told = (
        listed is not None
        and listed.cold_s is not None
        and listed.started_ms >= started_ms
    )
    return is_told or announcements.tells_cold(fleet.announced, server_id, started_ms)


def _is_new_start(fleet, registration, known):
    if known is None or known.started_ms != registration.started_ms:
        return True
    return not known.started_ms and registration.server_id in fleet.servers.removed


def _cold_time_s(fleet, server_id):
    service = _service_of(fleet, server_id)
    return service.cold_time_s if service is not None else 0.0


def _service_of(fleet, server_id):
    server = fleet.servers.servers.get(server_id)
    if server is None or fleet.configuration is None:
        return None
    return fleet.configuration.services.get(server.service)


def _set_cold(fleet, server_id, started_ms, cold_s, named_at, source, is_known=True):
    is_changed = note_cold(fleet, server_id, started_ms, cold_s, named_at, source)
    # Entries that do not know a new server yet learn both from the same record.
    if is_changed and is_known:
        fleet.cold_changed(server_id)


def note_cold(fleet, server_id, started_ms, cold_s, named_at, source, told_per_s=0.0):
    """Record a statement that a server is cold for `cold_s`, or warm.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    server_id : str
    started_ms : int
        Start of the server, 0 if it is not known.
    cold_s : float
    named_at : float
        Time of the statement; minus infinity if it is assumed because of a start.
    source : str
        Where it is known from, for the log.
    told_per_s : float
        Requests per second that it sustains while cold, as another entry says; used
        if the service of the server is not known here.

    Returns
    -------
    is_changed : bool
        Whether it became cold or warm. False if its service has no such limit.
    """
    service = _service_of(fleet, server_id)
    per_s = told_per_s if service is None else service.sustained_per_s
    if not per_s:
        return False
    bounds, now = fleet.deployment.bounds, anyio.current_time()
    allowed = per_s * bounds.cold_factor + bounds.cold_slack
    warmup = permit_rates.Warmup(per_s, allowed)
    if not announcements.record_cold(
        fleet.announced, server_id, started_ms, now + cold_s, named_at, warmup, now
    ):
        return False
    eventlog.event(
        "server.cold",
        server=server_id,
        cold_s=round(cold_s, 3),
        limit=round(permit_rates.cold_limit(warmup), 2),
        source=source,
    )
    return True
