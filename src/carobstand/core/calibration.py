"""Corrects predictions by what requests of this entry saw a moment ago.

Load pattern: several entries send to the same engines between two reports, and engines
that work more slowly than they say.
"""

import attrs

SERVICE_WEIGHT = 0.08
"""Weight of one request in the mean error of a service."""

SERVER_WEIGHT = 0.2
"""Weight of one request in the mean error of a server."""

MAX_ERROR_S = 1.0
"""Larger errors come from faults, which the health of servers tells."""

FORGET_S = 3.0
"""Time in which an error that is no longer observed falls to a third."""


@attrs.define(eq=False)
class MeanError:
    """Mean of actual less predicted times, in seconds; `updated` is a time."""

    error_s: float = 0.0
    updated: float = 0.0


@attrs.define(eq=False)
class Calibration:
    """Errors by service, and by server beyond those of its service."""

    services: dict = attrs.field(factory=dict)
    servers: dict = attrs.field(factory=dict)


def _now(mean, now):
    """Return the error as it counts at `now`."""
    if mean is None:
        return 0.0
    return mean.error_s / (1 + 2 * max(0.0, now - mean.updated) / FORGET_S)


def _update(means, key, error_s, weight, now):
    mean = means.setdefault(key, MeanError())
    mean.error_s = (1 - weight) * _now(mean, now) + weight * error_s
    mean.updated = now


def observe(state, service, server_id, predicted_s, actual_s, now):
    """Record how long the first byte of a request took.

    Parameters
    ----------
    state : Calibration
    service, server_id : str
    predicted_s : float
        Prediction with the corrections that `correction_s` told.
    actual_s : float
    now : float
    """
    before = correction_s(state, service, server_id, now)
    error_s = max(-MAX_ERROR_S, min(MAX_ERROR_S, actual_s - predicted_s + before))
    _update(state.services, service, error_s, SERVICE_WEIGHT, now)
    rest_s = error_s - _now(state.services[service], now)
    _update(state.servers, server_id, rest_s, SERVER_WEIGHT, now)


def correction_s(state, service, server_id, now):
    """Return the time by which predictions of a server are corrected, 0 or more."""
    common_s = max(0.0, _now(state.services.get(service), now))
    return max(0.0, common_s + _now(state.servers.get(server_id), now))
