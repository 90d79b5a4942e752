"""Choice of the backend server that gets a request."""

import attrs

from carobstand.core import engine_load


@attrs.frozen
class Candidate:
    """A backend server that may run a request.

    Attributes
    ----------
    server : core.registry.Registration
    holding : core.registry.Holding or None
        Weights as its newest report tells them.
    load : core.engine_load.EngineLoad or None
        Fresh report, if there is one.
    """

    server: object
    holding: object
    load: object


def candidates(servers, loads, service, oldest_version, excluded, now):
    """Return the `Candidate` servers of a service.

    Parameters
    ----------
    servers : dict of str to core.registry.Registration
    loads : core.engine_load.EngineLoads
    service : str
    oldest_version : callable of (str)
        Returns the lowest version that may still begin requests of a model.
    excluded : set of str
        Ids that are not asked again.
    now : float
    """
    found = []
    for server in servers.values():
        if server.service != service or not server.is_ready:
            continue
        if server.server_id in excluded:
            continue
        if not server.runs_model:
            found.append(Candidate(server, None, None))
            continue
        load = engine_load.fresh(loads, server, now)
        holding = load.holding if load else server.holding
        if holding is None or (load and load.is_busy):
            continue
        if holding.version < oldest_version(holding.model):
            continue
        found.append(Candidate(server, holding, load))
    return found


def least_loaded(found, in_flight, draw):
    """Return the candidate with the least requests per place, or None.

    Parameters
    ----------
    found : list of Candidate
    in_flight : dict of str to int
    draw : callable without arguments
        Uniform in [0, 1), to break ties.
    """

    def weight(candidate):
        own = in_flight.get(candidate.server.server_id, 0)
        load = candidate.load
        known = load.running + load.waiting if load else 0
        return max(own, known) / max(1, candidate.server.slots)

    return min(found, key=lambda c: (weight(c), draw()), default=None)
