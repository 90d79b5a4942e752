"""Tells a caller's first attempt from one that comes back, by the time it has left.

Callers of a route wait about equally long for a first attempt; one that was refused
comes back with clearly less. An answer is on time or late counted from the first
attempt.

Load pattern: overload, in which requests that were refused come back and would take
the places of those that can still be answered on time.
"""

import collections

import attrs

MIN_SAMPLES = 10
"""Requests of a route from which its usual deadline is known."""

MAX_SAMPLES = 200
"""Requests that are looked at: some seconds of a route."""

REFERENCE = 0.75
"""Part of the requests with less time left than the usual one. Even if nearly half of
them come back, it is that of a first attempt."""

FIRST_SHARE = 0.75
"""A first attempt has at least this part of the usual time: callers' patience varies by
some 15 in 100, and one that comes back has waited for a fifth and more of its time."""

LOOK_INTERVAL = 20
"""Requests after which the usual time is computed anew."""


@attrs.define(eq=False)
class Deadlines:
    """Latest deadlines of one route in s; `usual_s` is 0 while it is not known."""

    latest: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    count: int = 0
    usual_s: float = 0.0


def observe(state, deadline_s):
    """Count the deadline of a request; return the time since the first attempt.

    Parameters
    ----------
    state : Deadlines
    deadline_s : float

    Returns
    -------
    elapsed_s : float
        0 for a first attempt, and while that cannot be told.
    """
    state.latest.append(deadline_s)
    state.count += 1
    if state.count >= MIN_SAMPLES and state.count % LOOK_INTERVAL in (0, MIN_SAMPLES):
        ranked = sorted(state.latest)
        state.usual_s = ranked[int(REFERENCE * len(ranked))]
    if deadline_s >= FIRST_SHARE * state.usual_s:
        return 0.0
    return state.usual_s - deadline_s
