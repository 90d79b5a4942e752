"""Backend servers as the platform's store lists them."""

import attrs


@attrs.frozen(kw_only=True)
class Holding:
    """Layers of a model that an engine holds; `end` is exclusive."""

    model: str
    version: int
    start: int = 0
    end: int | None = None


@attrs.frozen(kw_only=True)
class Registration:
    """Entry of one backend server.

    Attributes
    ----------
    server_id : str
    service, address, failure_domain : str
    slots : int
        Requests that it processes at the same time.
    is_ready : bool
        False while it drains.
    holding : Holding or None
        Weights that it serves; None for one that holds none.
    runs_model : bool
        Whether it reports models at all.
    started_ms : int
        Unix milliseconds of its start, 0 if not known.
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


@attrs.define(eq=False)
class Registry:
    """Registrations in force, and those that are gone but may come back.

    Attributes
    ----------
    servers : dict of str to Registration
    missing : dict of str to float
        Servers whose entry lapsed around an outage of the store, with the time at
        which they count as gone.
    """

    servers: dict = attrs.field(factory=dict)
    missing: dict = attrs.field(factory=dict)


LAPSE_MARGIN_S = 0.4
"""Time before the end of a grace for a request to reach its server: news and requests
take some 50 ms, a request that is held up to 0.3 s."""


def lapse_grace_s(bounds, calm_s):
    """Return how long a server whose entry is gone is still used.

    Around an outage of the store, entries lapse though their servers live; they are
    back a little later. But it may also have left, and then it gets nothing new soon.

    Parameters
    ----------
    bounds : core.deployment.Bounds
    calm_s : float
        Time since the store last failed to answer.
    """
    if calm_s >= bounds.store_return_s:
        return 0.0
    return max(0.0, min(bounds.store_return_s, bounds.drain_s) - LAPSE_MARGIN_S)


def put(registry, registration):
    """Record an entry that was read."""
    registry.servers[registration.server_id] = registration
    registry.missing.pop(registration.server_id, None)


def remove(registry, server_id, now, grace_s):
    """Record that an entry is gone.

    Parameters
    ----------
    grace_s : float
        Time for which a server that was ready is still used: positive only around an
        outage of the store, in which entries lapse though the servers live.
    """
    known = registry.servers.get(server_id)
    if known is None:
        return
    if grace_s > 0 and known.is_ready:
        registry.missing.setdefault(server_id, now + grace_s)
        return
    del registry.servers[server_id]
    registry.missing.pop(server_id, None)


def expire(registry, now):
    """Drop missing servers whose time to come back is over; return their ids."""
    gone = [key for key, until in registry.missing.items() if until <= now]
    for server_id in gone:
        del registry.missing[server_id]
        registry.servers.pop(server_id, None)
    return gone


def replace_all(registry, registrations, now, grace_s):
    """Make a full read of the store the registry's contents."""
    listed = {item.server_id for item in registrations}
    for server_id in [key for key in registry.servers if key not in listed]:
        remove(registry, server_id, now, grace_s)
    for item in registrations:
        put(registry, item)
