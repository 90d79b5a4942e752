"""Random sampling of servers, so that entries do not all choose the same one.

Many entries share servers and receive the same reports, so the server that looks best
would get the requests of all entries until its next report. Each entry therefore
evaluates a random sample of the servers in its region first, and all servers only if
none of the sample is good enough.
"""

import math

MIN_SAMPLE_SIZE = 3
"""Smallest sample, in servers."""

SAMPLES_PER_SERVER = 2.0
"""Entries of the region whose samples contain the same server, on average."""

GOOD_SHARE = 0.5
"""Share of the spare time up to which the extra delay at a server is good enough."""


def sample_size(servers, entries):
    """Return how many servers of a region an entry evaluates first.

    Parameters
    ----------
    servers : int
        Servers of the service in the region.
    entries : int
        Entries of the region, including this one.
    """
    return max(
        MIN_SAMPLE_SIZE, math.ceil(SAMPLES_PER_SERVER * servers / max(1, entries))
    )


def is_good_enough(first_event_s, shortest_s, left_s):
    """Whether a server is good enough that the others need not be evaluated.

    Parameters
    ----------
    first_event_s : float
        Predicted time to the first event from this server.
    shortest_s : float
        Predicted time to the first event from an idle server.
    left_s : float
        Time left until the first event would be late.
    """
    return first_event_s - shortest_s <= GOOD_SHARE * (left_s - shortest_s)
