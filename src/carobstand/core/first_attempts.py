"""Detection of client retries by the time that is left until the deadline.

Callers of a route use about the same deadline for a first attempt; a client retry after
a refusal has clearly less time left. Whether an answer is on time is counted from the
first attempt.

Load pattern: overload, in which client retries of refused requests would take the slots
of requests that can still be answered on time.
"""

import collections

import attrs

MIN_SAMPLES = 10
"""Requests of a route needed to estimate its usual deadline."""

MAX_SAMPLES = 200
"""Latest requests used for the estimate: some seconds of a route's traffic."""

USUAL_QUANTILE = 0.75
"""Quantile of the deadlines that is taken as the usual one. It is the deadline of a
first attempt even if nearly half of the requests are client retries."""

FIRST_ATTEMPT_SHARE = 0.75
"""Minimum share of the usual deadline that a first attempt has left. Callers' timeouts
vary by about 15 %, and a client retry has used a fifth or more of its time."""

UPDATE_INTERVAL = 20
"""Number of requests between two computations of the usual deadline."""


@attrs.define(eq=False)
class Deadlines:
    """Latest deadlines of one route in s; `usual_s` is 0 while it is not known.

    `count` is the number of requests observed.
    """

    latest: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    count: int = 0
    usual_s: float = 0.0


def observe(state, deadline_s):
    """Record the deadline of a request; return the time since the first attempt.

    Parameters
    ----------
    state : Deadlines
    deadline_s : float

    Returns
    -------
    elapsed_s : float
        0 for a first attempt, and while the usual deadline is not known.
    """
    state.latest.append(deadline_s)
    state.count += 1
    if state.count >= MIN_SAMPLES and state.count % UPDATE_INTERVAL in (0, MIN_SAMPLES):
        ranked = sorted(state.latest)
        state.usual_s = ranked[int(USUAL_QUANTILE * len(ranked))]
    if deadline_s >= FIRST_ATTEMPT_SHARE * state.usual_s:
        return 0.0
    return state.usual_s - deadline_s
