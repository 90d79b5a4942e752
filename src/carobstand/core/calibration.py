"""Correction of predicted times by the errors of this entry's recent requests.

Load pattern: several entries send to the same engines between two reports, and engines
are slower than they report.

The correction is the mean error. The margin is the error beyond it that all but a fifth
of the requests stay within, so the two may be added.
"""

import collections

import attrs

SERVICE_WEIGHT = 0.08
"""Weight of one request in the moving average error of a service."""

SERVER_WEIGHT = 0.2
"""Weight of one request in the moving average error of a server."""

MAX_ERROR_S = 1.0
"""Bound of one error; larger errors come from faults, which `core.health` covers."""

ERROR_DECAY_S = 3.0
"""Time in which an error decays to a third without new requests."""


LATE_SHARE = 0.2
"""Share of requests whose first byte may come later than predicted plus the margin."""

MARGIN_WINDOW_S = 3.0
"""Age up to which errors count for the margin. An entry sends about 12 requests/s, so
that the window has some 36 of them."""

MAX_MARGIN_SAMPLES = 64
"""Most errors kept for the margin of one service."""

MIN_MARGIN_SAMPLES = 10
"""Number of errors below which the missing ones are taken as 0, so that a single late
request does not stop an entry from sending."""


@attrs.define(eq=False)
class MeanError:
    """Moving average of actual minus predicted times, in seconds.

    `updated` is the time of the last request.
    """

    error_s: float = 0.0
    updated: float = 0.0


@attrs.define(eq=False)
class RecentErrors:
    """Errors of a service's recent requests.

    Attributes
    ----------
    items : deque of (float, float)
        Time of each request, and its error in seconds without the correction of the
        service.
    quantile_s : float or None
        Quantile of the errors, None once it has to be computed anew.
    """

    items: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_MARGIN_SAMPLES)
    )
    quantile_s: float | None = None


@attrs.define(eq=False)
class Calibration:
    """Errors by service, and by server in addition to those of its service."""

    services: dict = attrs.field(factory=dict)
    servers: dict = attrs.field(factory=dict)
    recent: dict = attrs.field(factory=dict)


def _decayed_error_s(mean, now):
    """Return the error, decayed to `now`."""
    if mean is None:
        return 0.0
    return mean.error_s / (1 + 2 * max(0.0, now - mean.updated) / ERROR_DECAY_S)


def _update(means, key, error_s, weight, now):
    mean = means.setdefault(key, MeanError())
    mean.error_s = (1 - weight) * _decayed_error_s(mean, now) + weight * error_s
    mean.updated = now


def observe(
    state,
    service,
    server_id,
    predicted_s,
    actual_s,
    now,
    applied=None,
):
    """Record the time to the first byte of a request.

    Parameters
    ----------
    state : Calibration
    service, server_id : str
    predicted_s : float
        Prediction that includes the correction.
    actual_s : float
    now : float
    applied : (float, float) or None
        Corrections of service and server that the prediction includes; None for the
        current ones.
    """
    service_s, total_s = applied or (
        service_correction_s(state, service, now),
        correction_s(state, service, server_id, now),
    )
    residual_s = max(-MAX_ERROR_S, min(MAX_ERROR_S, actual_s - predicted_s))
    recent = state.recent.setdefault(service, RecentErrors())
    recent.items.append((now, residual_s + service_s))
    recent.quantile_s = None
    error_s = max(-MAX_ERROR_S, min(MAX_ERROR_S, actual_s - predicted_s + total_s))
    _update(state.services, service, error_s, SERVICE_WEIGHT, now)
    residual_s = error_s - _decayed_error_s(state.services[service], now)
    _update(state.servers, server_id, residual_s, SERVER_WEIGHT, now)


def service_correction_s(state, service, now):
    """Return the part of `correction_s` that all servers of a service share."""
    return max(0.0, _decayed_error_s(state.services.get(service), now))


def correction_s(state, service, server_id, now):
    """Return the time to add to predictions of a server, 0 or more."""
    return server_correction_s(
        state, service_correction_s(state, service, now), server_id, now
    )


def server_correction_s(state, service_s, server_id, now):
    """Return `correction_s` of a server, given the correction of its service."""
    return max(0.0, service_s + _decayed_error_s(state.servers.get(server_id), now))


def margin_s(state, service, now):
    """Return the time by which the first byte may exceed a corrected prediction.

    All but `LATE_SHARE` of the service's recent requests stayed within it. It is 0
    without requests in the last `MARGIN_WINDOW_S`, and shrinks linearly until then.
    """
    recent = state.recent.get(service)
    if recent is None or not recent.items:
        return 0.0
    left = 1.0 - (now - recent.items[-1][0]) / MARGIN_WINDOW_S
    if left <= 0.0:
        return 0.0
    if recent.quantile_s is None or recent.items[0][0] < now - MARGIN_WINDOW_S:
        recent.quantile_s = _quantile_s(recent, now - MARGIN_WINDOW_S)
    excess_s = recent.quantile_s - service_correction_s(state, service, now)
    return max(0.0, left * excess_s)


def _quantile_s(recent, oldest):
    """Remove errors from before `oldest`; return the quantile of the others."""
    while recent.items and recent.items[0][0] < oldest:
        recent.items.popleft()
    errors = [error_s for _, error_s in recent.items]
    errors += [0.0] * (MIN_MARGIN_SAMPLES - len(errors))
    errors.sort(reverse=True)
    return errors[int(LATE_SHARE * len(errors))]
