"""Correction of predicted times by the errors of this entry's recent requests.

Load pattern: several entries send to the same engines between two reports, and engines
are slower than they report.
"""

import attrs

SERVICE_WEIGHT = 0.08
"""Weight of one request in the moving average error of a service."""

SERVER_WEIGHT = 0.2
"""Weight of one request in the moving average error of a server."""

MAX_ERROR_S = 1.0
"""Bound of one error; larger errors come from faults, which `core.health` covers."""

ERROR_DECAY_S = 3.0
"""Time in which an error decays to a third without new requests."""


@attrs.define(eq=False)
class MeanError:
    """Moving average of actual minus predicted times, in seconds.

    `updated` is the time of the last request.
    """

    error_s: float = 0.0
    updated: float = 0.0


@attrs.define(eq=False)
class Calibration:
    """Errors by service, and by server in addition to those of its service."""

    services: dict = attrs.field(factory=dict)
    servers: dict = attrs.field(factory=dict)


def _decayed_error_s(mean, now):
    """Return the error, decayed to `now`."""
    if mean is None:
        return 0.0
    return mean.error_s / (1 + 2 * max(0.0, now - mean.updated) / ERROR_DECAY_S)


def _update(means, key, error_s, weight, now):
    mean = means.setdefault(key, MeanError())
    mean.error_s = (1 - weight) * _decayed_error_s(mean, now) + weight * error_s
    mean.updated = now


def observe(state, service, server_id, predicted_s, actual_s, now):
    """Record the time to the first byte of a request.

    Parameters
    ----------
    state : Calibration
    service, server_id : str
    predicted_s : float
        Prediction that includes the result of `correction_s`.
    actual_s : float
    now : float
    """
    applied_s = correction_s(state, service, server_id, now)
    error_s = max(-MAX_ERROR_S, min(MAX_ERROR_S, actual_s - predicted_s + applied_s))
    _update(state.services, service, error_s, SERVICE_WEIGHT, now)
    residual_s = error_s - _decayed_error_s(state.services[service], now)
    _update(state.servers, server_id, residual_s, SERVER_WEIGHT, now)


def correction_s(state, service, server_id, now):
    """Return the time to add to predictions of a server, 0 or more."""
    service_error_s = max(0.0, _decayed_error_s(state.services.get(service), now))
    return max(
        0.0, service_error_s + _decayed_error_s(state.servers.get(server_id), now)
    )
