"""Expected wait of a late request that an entry holds, by its recent late sends.

Load pattern: more requests than the servers can answer on time, for seconds. Late
requests then go only to engines with few others. How often an entry found such an
engine lately tells, without messages, whether another one is held in vain.
"""

import math

import attrs

WINDOW_S = 2.0
"""Time constant of the rate, as that of the pressure by which the wait is multiplied:
entries with 5 requests/s see too few sends in one second."""

MIN_PER_S = 0.5
"""Lowest rate that is assumed. An entry with 5 requests/s may send no late one for
seconds; at low pressure its late requests are then held all the same."""


@attrs.define(eq=False)
class Sends:
    """Late requests that were sent, as a sum that decays with `WINDOW_S`."""

    late: float = 0.0
    updated: float = 0.0


def record_late(state, now):
    """Record that a late request was sent."""
    state.late = state.late * _decay(state, now) + 1
    state.updated = now


def _decay(state, now):
    return math.exp(min(0.0, state.updated - now) / WINDOW_S)


def late_wait_s(state, ahead, now):
    """Return the expected wait of a late request for an engine in s.

    Parameters
    ----------
    state : Sends or None
        None if no late request was sent.
    ahead : int
        Requests that are served before.
    now : float
    """
    rate = state.late * _decay(state, now) / WINDOW_S if state is not None else 0.0
    return (ahead + 1) / max(MIN_PER_S, rate)
