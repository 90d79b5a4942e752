"""Servers that may run a request, and the reason why each other one may not.

Load pattern: any. The same list of reasons decides the placement of each request, goes
into the log line of each rejection, and answers an operator's question why a server got
no requests.
"""

import collections
import enum

import attrs

from carobstand.core import announcements, engine_load, health


class Reason(enum.Enum):
    """Why a server is no candidate for a request."""

    REMOVED = "no longer registered"
    DOUBTFUL = "registration is missing"
    DRAINING = "draining"
    LEAVING = "leaving"
    ALREADY_TRIED = "already tried"
    OUTSIDE_REGIONS = "outside the allowed regions"
    EVACUATED = "evacuated"
    PAUSED = "asked for a pause"
    NO_WEIGHTS = "no weights"
    LOADING = "loading weights"
    OUTDATED_WEIGHTS = "outdated weights"
    REFUSING = "refused requests"
    LIMITED = "limited"
    COLD = "cold"
    NO_MEMORY = "no memory"
    TOO_LARGE = "too large for its memory"


_FINAL = {
    Reason.REMOVED,
    Reason.DRAINING,
    Reason.LEAVING,
    Reason.ALREADY_TRIED,
    Reason.OUTSIDE_REGIONS,
    Reason.EVACUATED,
    Reason.TOO_LARGE,
}


def is_final(reason):
    """Whether a waiting request gains nothing, as the reason lasts for seconds."""
    return reason in _FINAL


def never(_):
    """Return None: no server is excluded by this condition."""
    return None


@attrs.frozen(kw_only=True)
class Conditions:
    """What decides which servers may run one request.

    Attributes
    ----------
    service : str
    loads : core.engine_load.EngineLoads
    healths : dict of str to core.health.ServerHealth
        By server id.
    announced : core.announcements.Announcements
    tried : set of str
        Ids of servers that are not tried again.
    regions : dict of str to str
        Region of each failure domain.
    permitted_regions : frozenset of str or None
        Regions whose servers may run the request; None for all.
    evacuated : set of str
        Failure domains whose servers get no requests.
    is_doubtful : callable of (str)
        Whether a server, by its id, may have left some time ago, as its registration
        is missing.
    withholds : callable of (str)
        Returns why requests to a server, by its id, have to wait for a permit:
        `Reason.LIMITED`, `Reason.COLD`, or None. It is called last, as it may ask for
        a permit.
    lacks_memory : callable of (core.registry.Registration)
        Whether the request does not fit into the memory that a server has left.
    is_too_large : bool
        Whether the request exceeds the memory of each engine of the service.
    """

    service: str
    loads: engine_load.EngineLoads
    healths: dict
    announced: announcements.Announcements
    tried: set = attrs.field(factory=set)
    regions: dict = attrs.field(factory=dict)
    permitted_regions: frozenset | None = None
    evacuated: set = attrs.field(factory=set)
    is_doubtful: object = never
    withholds: object = never
    lacks_memory: object = never
    is_too_large: bool = False


@attrs.frozen
class Candidate:
    """A backend server that may run a request.

    Attributes
    ----------
    server : core.registry.Registration
    holding : core.registry.Holding or None
        Weights that the server holds, by its latest report.
    load : core.engine_load.EngineLoad or None
        Latest report, or None if there is no fresh one.
    slowness : float
        Ratio of the present to the usual time for a unit of work there.
    """

    server: object
    holding: object
    load: object
    slowness: float = 1.0


@attrs.define(eq=False)
class Candidates:
    """Servers of a service, sorted out for one request.

    Attributes
    ----------
    found : list of Candidate
    avoided : list of Candidate
        Servers that lost requests recently; used only if there are no others.
    excluded : dict of str to Reason
        By server id.
    """

    found: list = attrs.field(factory=list)
    avoided: list = attrs.field(factory=list)
    excluded: dict = attrs.field(factory=dict)

    @property
    def usable(self):
        """Candidates to rank."""
        return self.found or self.avoided


def sort_out(servers, conditions, now):
    """Return the `Candidates` among some servers.

    Parameters
    ----------
    servers : dict of str to core.registry.Registration
        Those of other services are passed over.
    conditions : Conditions
    now : float
    """
    result = Candidates()
    for server in servers.values():
        if server.service != conditions.service:
            continue
        load = _load(server, conditions, now)
        holding = load.holding if load else server.holding
        state = conditions.healths.get(server.server_id)
        is_avoided = bool(state) and health.is_avoided(state, now, server.started_ms)
        reason = (
            lasting_reason(server, conditions, now)
            or _weights_reason(server, holding, load)
            or _current_reason(server, conditions, is_avoided and state.is_refusing)
        )
        if reason is not None:
            result.excluded[server.server_id] = reason
            continue
        slowness = engine_load.slowness(conditions.loads, server.address, load, now)
        holding = holding if server.runs_model else None
        candidate = Candidate(server, holding, load, slowness)
        (result.avoided if is_avoided else result.found).append(candidate)
    return result


def _load(server, conditions, now):
    if not server.runs_model:
        return None
    return engine_load.fresh_load(conditions.loads, server, now)


def location_reason(server, conditions):
    """Return the `Reason` why no request may go to a server's location, or None."""
    allowed = conditions.permitted_regions
    if allowed is not None:
        if conditions.regions.get(server.failure_domain) not in allowed:
            return Reason.OUTSIDE_REGIONS
    if server.failure_domain in conditions.evacuated:
        return Reason.EVACUATED
    return None


def open_domains(conditions):
    """Return the known failure domains whose servers may run a request."""
    allowed, evacuated = conditions.permitted_regions, conditions.evacuated
    return {
        domain
        for domain, region in conditions.regions.items()
        if (allowed is None or region in allowed) and domain not in evacuated
    }


def final_reason(server, conditions):
    """Return the `Reason` for which waiting for a server gains nothing, or None."""
    if not server.is_ready:
        return Reason.DRAINING
    if server.server_id in conditions.tried:
        return Reason.ALREADY_TRIED
    reason = location_reason(server, conditions)
    if reason is not None:
        return reason
    if announcements.is_leaving(conditions.announced, server.server_id):
        return Reason.LEAVING
    if conditions.is_too_large and server.runs_model:
        return Reason.TOO_LARGE
    return None


def lasting_reason(server, conditions, now):
    """Return the `Reason` why a server accepts no requests now, or None.

    Its weights, its memory and its limits are not considered.
    """
    reason = final_reason(server, conditions)
    if reason is not None:
        return reason
    if not announcements.accepts_requests(conditions.announced, server.server_id, now):
        return Reason.PAUSED
    if conditions.is_doubtful(server.server_id):
        return Reason.DOUBTFUL
    return None


def _weights_reason(server, holding, load):
    if not server.runs_model:
        return None
    if holding is None:
        return Reason.NO_WEIGHTS
    return Reason.LOADING if load and load.is_busy else None


def _current_reason(server, conditions, is_refusing):
    if is_refusing:
        return Reason.REFUSING
    if conditions.lacks_memory(server):
        return Reason.NO_MEMORY
    return conditions.withholds(server.server_id)


def is_hopeless(excluded, permitted_regions=None):
    """Whether no server of a service will take a request that waits.

    Parameters
    ----------
    excluded : dict of str to Reason
        Reason of each server of the service. If the service has no servers, a request
        is hopeless only if its regions are limited; others wait for registrations.
    permitted_regions : frozenset of str or None
        Regions whose servers may run the request; None for all.
    """
    if not excluded:
        return permitted_regions is not None
    return all(map(is_final, excluded.values()))


def is_exhausted(excluded):
    """Whether no server may run a request without a change of servers or of weights.

    Loads of weights take 0.3 s or more, so a short wait is in vain if all servers are
    excluded for final reasons or hold no weights on which the request may begin.
    """
    return all(
        is_final(reason) or reason in (Reason.NO_WEIGHTS, Reason.OUTDATED_WEIGHTS)
        for reason in excluded.values()
    )


def count_reasons(excluded):
    """Return the number of servers excluded for each reason, by its text."""
    return dict(collections.Counter(reason.value for reason in excluded.values()))
