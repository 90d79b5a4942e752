"""State that backend servers report about themselves in responses to this entry.

A server may leave or be overloaded while the registry is unavailable or lags. What it
reported to this entry directly takes precedence over its registration, survives outages
of the store, and is discarded only when the server restarts.
"""

import math

import attrs

from carobstand.core import permit_rates

MAX_SERVERS = 16384
"""Maximum number of servers kept; the least recently updated one is evicted first. All
of the 11,000 servers of the design size may be cold at once."""


@attrs.define
class Announcement:
    """What one server announced.

    Attributes
    ----------
    started_ms : int
        Start of the server in Unix milliseconds, 0 if it is not known.
    is_leaving : bool
        Whether it accepts no new requests until it restarts.
    leaving_named_at : float
        Time of the latest response that said so.
    doubted_at : float or None
        Time at which a newer start became known, which may be the one that announced
        all this or a later one; None if there is no doubt.
    paused_until : float
        Time until which it asked this entry to send no requests.
    limit : float or None
        Requests per second that it accepts from all entries together, None if it named
        no limit or withdrew it.
    limit_named_at : float
        Time of the latest response that named or withdrew the limit.
    cold_until : float
        Time until which it is cold.
    cold_named_at : float
        Time of the statement that tells so; minus infinity if it is assumed, as the
        server has just started.
    warmup : core.permits.Warmup or None
        What it takes while it is cold; None if it never was.
    """

    started_ms: int = 0
    is_leaving: bool = False
    leaving_named_at: float = -math.inf
    doubted_at: float | None = None
    paused_until: float = -math.inf
    limit: float | None = None
    limit_named_at: float = -math.inf
    cold_until: float = -math.inf
    cold_named_at: float = -math.inf
    warmup: permit_rates.Warmup | None = None


@attrs.define(eq=False)
class Announcements:
    """Announcements by server id, the most recently updated one last.

    `doubted` holds the ids of servers that have to be asked what still holds.
    """

    by_server: dict = attrs.field(factory=dict)
    doubted: set = attrs.field(factory=set)


def _touch(state, server_id, started_ms):
    """Return the announcement of a server, created if needed and moved to the end."""
    found = state.by_server.pop(server_id, None) or Announcement(started_ms)
    state.by_server[server_id] = found
    while len(state.by_server) > MAX_SERVERS:
        _forget(state, next(iter(state.by_server)))
    return found


def _forget(state, server_id):
    del state.by_server[server_id]
    state.doubted.discard(server_id)


def record_leaving(state, server_id, started_ms, now):
    """Record that a server is leaving; return whether that is new."""
    found = _touch(state, server_id, started_ms)
    is_new = not found.is_leaving
    found.is_leaving, found.leaving_named_at = True, now
    return is_new


def record_pause(state, server_id, started_ms, pause_s, now):
    """Record that a server asked for no requests for `pause_s` seconds.

    A shorter pause does not end a longer one.
    """
    found = _touch(state, server_id, started_ms)
    found.paused_until = max(found.paused_until, now + pause_s)


def record_limit(state, server_id, started_ms, limit, named_at):
    """Record the limit that a server named; return whether its limit changed.

    Parameters
    ----------
    state : Announcements
    server_id : str
    started_ms : int
        Start of the server that named it, 0 if it is not known.
    limit : float or None
        Requests per second; None withdraws an earlier limit.
    named_at : float
        Time of the response. What an older response said is ignored.
    """
    known = state.by_server.get(server_id)
    if known is None and limit is None:
        return False
    if known is not None and started_ms and started_ms < known.started_ms:
        return False
    found = _touch(state, server_id, started_ms)
    if found.limit_named_at > named_at:
        return False
    is_changed = found.limit != limit
    found.limit, found.limit_named_at = limit, named_at
    return is_changed


def record_cold(state, server_id, started_ms, until, named_at, warmup, now):
    """Record until when a server is cold; return whether it became cold or warm.

    Parameters
    ----------
    state : Announcements
    server_id : str
    started_ms : int
        Start of the server that is cold, 0 if it is not known. `record_start` discards
        what is known of earlier starts.
    until : float
        The past for a server that is warm.
    named_at : float
        Time of the statement; minus infinity if it is assumed because of a start. What
        an older statement says is ignored.
    warmup : core.permits.Warmup
    now : float
    """
    known = state.by_server.get(server_id)
    if known is None and until <= now:
        return False
    if known is not None and _is_earlier(known, started_ms, named_at):
        return False
    was_cold = is_cold(state, server_id, now)
    found = _touch(state, server_id, started_ms)
    found.started_ms = max(found.started_ms, started_ms)
    found.cold_until, found.cold_named_at, found.warmup = until, named_at, warmup
    return is_cold(state, server_id, now) != was_cold


def _is_earlier(known, started_ms, named_at):
    """Whether more recent statements are known than one of a cold time."""
    is_of_earlier_start = 0 < started_ms < known.started_ms
    return is_of_earlier_start or named_at < known.cold_named_at


def tells_cold(state, server_id, started_ms):
    """Whether a cold time, even a past one, is known of the same or a later start."""
    found = state.by_server.get(server_id)
    if found is None or math.isinf(found.cold_until):
        return False
    return not 0 < found.started_ms < started_ms


def is_cold(state, server_id, now):
    """Whether a server is cold and its requests are limited for that."""
    found = state.by_server.get(server_id)
    return found is not None and now < found.cold_until


def limit_of(state, server_id, now):
    """Return the effective limit of a server in requests per second, or None.

    It is the lower one of the limit that the server named and of the limit of a cold
    server; the latter ends by itself.
    """
    found = state.by_server.get(server_id)
    if found is None:
        return None
    if now >= found.cold_until:
        return found.limit
    cold_limit = permit_rates.cold_limit(found.warmup)
    return cold_limit if found.limit is None else min(found.limit, cold_limit)


def is_limited_by_cold(state, server_id, now):
    """Whether the effective limit of a server is that of its cold time."""
    found = state.by_server.get(server_id)
    if found is None or now >= found.cold_until:
        return False
    return found.limit is None or permit_rates.cold_limit(found.warmup) <= found.limit


def permit_s(state, server_id, now):
    """Return the lifetime of a permit for a server that has a limit."""
    limit = limit_of(state, server_id, now)
    if not is_cold(state, server_id, now):
        return permit_rates.permit_s(limit)
    return permit_rates.cold_permit_s(limit, state.by_server[server_id].warmup)


def record_start(state, server_id, started_ms, now):
    """Record a server's start, after which its earlier announcements are in doubt.

    A start may become known late, for instance while the store is down, so it may be
    the start of the process that made the announcements. They hold until the server
    answers a health check, except that it is not cold any more. Pauses end anyway.

    Parameters
    ----------
    state : Announcements
    server_id : str
    started_ms : int
        Start time from its registration or a report; 0 if neither contains one.
    now : float

    Returns
    -------
    is_changed : bool
        Whether an announcement was discarded or is in doubt.
    """
    found = state.by_server.get(server_id)
    if found is None or not started_ms or started_ms <= found.started_ms:
        return False
    is_first, found.started_ms = not found.started_ms, started_ms
    if is_first:
        return False
    found.cold_until = found.cold_named_at = -math.inf
    if found.is_leaving or found.limit is not None:
        found.doubted_at = now
        state.doubted.add(server_id)
        return True
    if found.paused_until <= now:
        _forget(state, server_id)
    return True


def resolve_doubt(state, server_id, is_leaving, limit, asked_at):
    """Record what a server said of itself after its start was in doubt.

    Parameters
    ----------
    state : Announcements
    server_id : str
    is_leaving : bool
    limit : float or None
        Requests per second, None for no limit.
    asked_at : float
        Time at which it was asked. What it announced later takes precedence. Infinite
        if it cannot be asked.

    Returns
    -------
    is_changed : bool
        Whether an announcement ended or changed.
    """
    state.doubted.discard(server_id)
    found = state.by_server.get(server_id)
    if found is None:
        return False
    found.doubted_at = None
    before = found.is_leaving, found.limit
    if not is_leaving and found.leaving_named_at < asked_at:
        found.is_leaving = False
    if found.limit_named_at < asked_at:
        found.limit = limit
        if math.isfinite(asked_at):
            found.limit_named_at = asked_at
    return (found.is_leaving, found.limit) != before


def is_leaving(state, server_id):
    """Whether a server announced that it accepts no new requests until it restarts."""
    found = state.by_server.get(server_id)
    return found is not None and found.is_leaving


def accepts_requests(state, server_id, now):
    """Whether the announcements of a server allow requests from this entry."""
    found = state.by_server.get(server_id)
    return found is None or not (found.is_leaving or now < found.paused_until)


def remaining_pause_s(state, server_ids, now):
    """Return the time until the first of some servers accepts requests again.

    Returns
    -------
    pause_s : float
        Seconds; 0 if one accepts requests now, infinite if all of them are leaving.
    """
    pauses = []
    for server_id in server_ids:
        found = state.by_server.get(server_id)
        if found is None:
            return 0.0
        pause_s = max(0.0, found.paused_until - now)
        pauses.append(math.inf if found.is_leaving else pause_s)
    return min(pauses, default=math.inf)
