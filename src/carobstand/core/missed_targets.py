"""Share of a service's recent requests that missed their target time to first byte.

Load pattern: more requests than the servers can answer on time, for seconds. The share
tells overload from single late answers. Overload is shown by late answers at first,
and by rejections once the policy reacts. Below `CALM_SHARE` nothing is restricted:
caution would only delay requests that most likely are on time anyway.
"""

import math

import attrs

WINDOW_S = 2.0
"""Time constant of the share. Entries with 5 requests/s see too few in one second."""

CALM_SHARE = 0.2
"""Share of missed targets up to which a service is not overloaded: engines that slow
down for a moment cause as much, and an entry judges by a dozen requests."""

OVERLOADED_SHARE = 0.5
"""Share of missed targets from which a service is fully overloaded."""

PRIOR_MET = 2.0
"""Requests on time that are assumed in addition, as an entry may have seen few."""


@attrs.define(eq=False)
class Outcomes:
    """Requests that could have been on time, as sums that decay with `WINDOW_S`."""

    met: float = 0.0
    missed: float = 0.0
    updated: float = 0.0


def record(state, is_met, now):
    """Record that a request met or missed its target."""
    decay = _decay(state, now)
    state.met = state.met * decay + is_met
    state.missed = state.missed * decay + (not is_met)
    state.updated = now


def _decay(state, now):
    return math.exp(min(0.0, state.updated - now) / WINDOW_S)


def pressure(state, now):
    """Return how overloaded a service is, from 0 (not at all) to 1.

    Parameters
    ----------
    state : Outcomes or None
        None if nothing was recorded.
    now : float
    """
    if state is None or not state.missed:
        return 0.0
    decay = _decay(state, now)
    share = state.missed * decay / ((state.missed + state.met) * decay + PRIOR_MET)
    excess = (share - CALM_SHARE) / (OVERLOADED_SHARE - CALM_SHARE)
    return max(0.0, min(1.0, excess))
