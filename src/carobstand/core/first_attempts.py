"""Tells a caller's first attempt from one that comes back, by the time it has left.

Callers of a route wait equally long for a first attempt; one that was refused comes
back with less. An answer is on time or late counted from the first attempt.
"""

import attrs

MIN_SAMPLES = 10
"""Requests of a route from which its usual deadline is known."""

USUAL_SHARE = 0.3
"""Share of the requests that a deadline needs to be a usual one."""

MAX_VALUES = 64
"""Different deadlines counted per route; then counting begins anew."""


@attrs.define(eq=False)
class Deadlines:
    """Counts of deadlines of one route, in whole milliseconds."""

    counts: dict = attrs.field(factory=dict)
    total: int = 0


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
    value = round(deadline_s * 1000)
    if len(state.counts) >= MAX_VALUES and value not in state.counts:
        usual = max(state.counts, key=state.counts.get)
        state.counts = {usual: state.counts[usual]}
        state.total = state.counts[usual]
    state.counts[value] = state.counts.get(value, 0) + 1
    state.total += 1
    if state.total < MIN_SAMPLES:
        return 0.0
    usual = max(state.counts, key=state.counts.get)
    if state.counts[usual] < USUAL_SHARE * state.total or value >= usual:
        return 0.0
    return (usual - value) / 1000
