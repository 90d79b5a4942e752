"""Choice of the backend server that gets a request."""


def candidates(servers, service, now_version, excluded):
    """Return the registrations that may run a request.

    Parameters
    ----------
    servers : dict of str to core.registry.Registration
    service : str
    now_version : callable of (str)
        Returns the lowest version that may still begin requests of a model.
    excluded : set of str
        Ids that are not asked again.
    """
    found = []
    for server in servers.values():
        if server.service != service or not server.is_ready:
            continue
        if server.server_id in excluded:
            continue
        if server.runs_model:
            if server.holding is None:
                continue
            if server.holding.version < now_version(server.holding.model):
                continue
        found.append(server)
    return found


def least_loaded(found, in_flight, draw):
    """Return the server with the least requests in flight per place, or None.

    Parameters
    ----------
    found : list of core.registry.Registration
    in_flight : dict of str to int
    draw : callable without arguments
        Uniform in [0, 1), to break ties.
    """
    return min(
        found,
        key=lambda s: (in_flight.get(s.server_id, 0) / max(1, s.slots), draw()),
        default=None,
    )
