"""Which servers an entry weighs first, so that entries do not all choose alike.

Load pattern: many entries share servers, and all see the same reports. Whichever
server looks best would get the requests of all of them until its next report. Each
entry weighs a few servers of its region at random instead, and all only if none of
those is good.
"""

import math

MIN_SIZE = 3
"""Fewest servers that are weighed."""

OVERLAP = 2.0
"""Entries of the region that weigh the same server at a time, on average."""

GOOD_SHARE = 0.5
"""Part of the time to spare up to which a server's delay is good enough."""


def size(servers, entries):
    """Return how many of a region's servers are weighed first.

    Parameters
    ----------
    servers : int
        Servers of the service in the region.
    entries : int
        Entries of the region, this one included.
    """
    return max(MIN_SIZE, math.ceil(OVERLAP * servers / max(1, entries)))


def is_good(first_event_s, shortest_s, left_s):
    """Whether a server is good enough for the others not to be weighed.

    Parameters
    ----------
    first_event_s : float
        Predicted time to the first event there.
    shortest_s : float
        The same at an idle server.
    left_s : float
        Time in which the first event is on time.
    """
    return first_event_s - shortest_s <= GOOD_SHARE * (left_s - shortest_s)
