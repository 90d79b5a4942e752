"""Backend servers that are registered in the platform's store."""

import attrs


@attrs.frozen(kw_only=True)
class Holding:
    """Range of layers of a model version that an engine holds; `end` is exclusive."""

    model: str
    version: int
    start: int = 0
    end: int | None = None


@attrs.frozen(kw_only=True)
class Registration:
    """Registration of one backend server in the store.

    Attributes
    ----------
    server_id : str
    service, address, failure_domain : str
    slots : int
        Number of requests that it processes concurrently.
    is_ready : bool
        False while it drains.
    holding : Holding or None
        Weights that it serves; None if it has no weights loaded.
    runs_model : bool
        Whether its registration lists models, as that of an engine does.
    started_ms : int
        Unix milliseconds of its start, 0 if not known.
    heartbeats : int
        Number of heartbeats since its start, as of the registration's last change.
    cold_s : float or None
        Time for which it stays cold, 0 if it is warm, None if it does not tell.
    malformed_cold : str
        Value of a time that is not a finite number of at least 0, else empty.
    """

    server_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_ready: bool
    holding: Holding | None = None
    runs_model: bool = False
    started_ms: int = 0
    heartbeats: int = 0
    cold_s: float | None = None
    malformed_cold: str = ""


@attrs.frozen
class Lapse:
    """A registration that is missing, though its server may still run.

    Attributes
    ----------
    since : float
        Time before which it was not removed.
    until : float
        Time at which the server is removed unless it registered again.
    grace_s : float
        Time after a leaving at which the server must receive no new requests.
    """

    since: float
    until: float
    grace_s: float


@attrs.define(eq=False)
class Registry:
    """Current registrations, and lapsed ones whose servers are still used.

    Attributes
    ----------
    servers : dict of str to Registration
    lapsed : dict of str to Lapse
        Servers whose registration is missing after an outage of the store.
    staying_at : dict of str to float
        Latest time at which a server is known not to have been leaving, as it answered
        a later request without saying so.
    removed : dict of str to Registration
        Last registrations of servers that are gone, the latest last.
    """

    servers: dict = attrs.field(factory=dict)
    lapsed: dict = attrs.field(factory=dict)
    staying_at: dict = attrs.field(factory=dict)
    removed: dict = attrs.field(factory=dict)


MAX_REMOVED = 4096
"""Maximum number of removed servers kept; the oldest is dropped first."""


LAPSE_MARGIN_S = 0.4
"""Time before the end of a grace period for requests that are under way: a change or a
request takes some 50 ms to arrive, and a held request waits up to 0.3 s."""


def lapse_grace_s(bounds, since_failure_s):
    """Return the grace period for which a server is used after its registration lapsed.

    Around an outage of the store, registrations of running servers lapse and are
    restored a little later. The server may also have left, so the period ends before
    the time after which a leaving server must receive no new requests.

    Parameters
    ----------
    bounds : core.deployment.Bounds
    since_failure_s : float
        Time since the store last failed to answer, in seconds.
    """
    if since_failure_s >= bounds.store_return_s:
        return 0.0
    return max(0.0, min(bounds.store_return_s, bounds.drain_s) - LAPSE_MARGIN_S)


def put(registry, registration):
    """Add or update a registration."""
    registry.servers[registration.server_id] = registration
    registry.lapsed.pop(registration.server_id, None)
    registry.removed.pop(registration.server_id, None)


def remove(registry, server_id, now, grace_s, since=None):
    """Remove a registration that is no longer in the store.

    Parameters
    ----------
    grace_s : float
        Grace period for which a server that was ready is still used: positive only
        around an outage of the store, when registrations of running servers lapse.
    since : float or None
        Lower bound of the time of the removal; `now` if None.
    """
    known = registry.servers.get(server_id)
    if known is None:
        return
    if grace_s > 0 and known.is_ready:
        lapse = Lapse(now if since is None else since, now + grace_s, grace_s)
        registry.lapsed.setdefault(server_id, lapse)
        return
    _drop(registry, server_id)


def record_staying(registry, server_id, at):
    """Record that a server was not leaving at a time, by its own answer."""
    if server_id in registry.servers:
        known_at = registry.staying_at.get(server_id, at)
        registry.staying_at[server_id] = max(known_at, at)


def is_doubtful(registry, server_id, now):
    """Whether a server may have left so long ago that it must get no requests.

    Its registration is missing. It may have been removed any time since the last
    confirmed state of the store, or since the server's last word that it stays, and the
    grace period counts from there: what was read late was not made late.
    """
    lapse = registry.lapsed.get(server_id)
    if lapse is None:
        return False
    since = max(lapse.since, registry.staying_at.get(server_id, lapse.since))
    return now >= min(lapse.until, since + lapse.grace_s)


def doubtful(registry, now):
    """Return the ids of the servers of which `is_doubtful` holds."""
    return [key for key in registry.lapsed if is_doubtful(registry, key, now)]


def expire(registry, now):
    """Remove lapsed servers whose grace period has ended; return their ids."""
    expired = [key for key, lapse in registry.lapsed.items() if lapse.until <= now]
    for server_id in expired:
        _drop(registry, server_id)
    return expired


def _drop(registry, server_id):
    registry.lapsed.pop(server_id, None)
    registry.staying_at.pop(server_id, None)
    known = registry.servers.pop(server_id, None)
    if known is not None:
        registry.removed[server_id] = known
        while len(registry.removed) > MAX_REMOVED:
            del registry.removed[next(iter(registry.removed))]


def without_outdated(registry, registrations):
    """Return what is news of the registrations in a restored copy of the store.

    A registration is outdated if a later one of the same start is known, or if its
    server was removed since and has written nothing later. In the place of an outdated
    one stands the later one, if its server is not gone.
    """
    found = []
    for item in registrations:
        known = registry.servers.get(item.server_id)
        gone = registry.removed.get(item.server_id)
        if known is not None and _is_older(item, known):
            found.append(known)
        elif gone is None or _is_older(gone, item):
            found.append(item)
    return found


def _is_older(item, other):
    """Whether `other` was written later than `item`."""
    if item.started_ms != other.started_ms:
        return item.started_ms < other.started_ms
    return item.heartbeats < other.heartbeats


def replace_all(registry, registrations, now, grace_s, since=None):
    """Replace the contents of the registry by those of a full read of the store.

    Registrations that are missing were removed at `since` or later, `now` if None.
    """
    listed = {item.server_id for item in registrations}
    for server_id in [key for key in registry.servers if key not in listed]:
        remove(registry, server_id, now, grace_s, since)
    for item in registrations:
        put(registry, item)
