"""When engines of which none may serve now are expected to serve again.

Load pattern: all engines of a service wait for weights or load them, for seconds, and
each rejected caller comes back once. One that returns while nothing serves is lost.
"""

from carobstand.core import engine_load

LOAD_S = 0.5
"""Time from the order to load until an idle engine serves: 0.3 s for the load itself,
the rest for the order and the report."""

BUSY_S = 1.0
"""Expected rest of a load that is under way. An engine first ends its running requests,
which takes up to 2.6 s."""


def expected_s(loads, servers, may_begin, now):
    """Return the time until the first of some engines is expected to serve.

    Parameters
    ----------
    loads : core.engine_load.EngineLoads
    servers : iterable of core.registry.Registration
    may_begin : callable of (core.registry.Holding or None)
        Whether requests may still begin on the given weights.
    now : float

    Returns
    -------
    wait_s : float
        0 if an engine serves now, or if no report tells of a load.
    """
    waits = []
    for server in servers:
        load = engine_load.fresh_load(loads, server, now)
        if load is None:
            continue
        if load.is_busy:
            waits.append(BUSY_S)
        elif load.holding is not None and may_begin(load.holding):
            return 0.0
        elif load.next_load_at is not None:
            waits.append(max(0.0, load.next_load_at - now) + LOAD_S)
    return min(waits, default=0.0)
