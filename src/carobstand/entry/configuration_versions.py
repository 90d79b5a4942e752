"""The version of the configuration in force at an entry, and the age of its copy."""

import anyio

from carobstand import eventlog, metrics
from carobstand.core import routes
from carobstand.platform import records

MAX_AGE_S = 1e6
"""Longest age in log lines; there is none before the first read."""


def apply(fleet, item, source):
    """Put the configuration of a store item in force if it is newer than the one held.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    item : platform.kv.Item
    source : str
        How the item came: ``watch``, ``read``, ``reader`` or ``entry``.

    Raises
    ------
    RecordError
        If the configuration cannot be read; the one held stays in force.
    """
    if item.value is None:
        return
    began_at = anyio.current_time()
    candidate = records.decode_configuration(item.value)
    is_newer = routes.is_newer(fleet.configuration, candidate)
    outcome = "applied" if is_newer else "outdated"
    metrics.count(fleet.metrics, "configurations", source=source, outcome=outcome)
    if not is_newer:
        _log_outdated(fleet, item, candidate, source)
        return
    fleet.configuration = candidate
    fleet.operator_items[item.key] = item
    metrics.gauge(fleet.metrics, "configuration_version", candidate.version)
    eventlog.event(
        "configuration.applied",
        version=candidate.version,
        revision=item.revision,
        era=fleet.era,
        source=source,
        ago_s=_age(anyio.current_time(), fleet.changes_since),
        decode_s=round(anyio.current_time() - began_at, 3),
    )


def _log_outdated(fleet, item, candidate, source):
    """Log an older version. Full reads and relays repeat the one held all the time."""
    if candidate.version == fleet.configuration.version:
        return
    eventlog.event(
        "configuration.outdated",
        version=candidate.version,
        revision=item.revision,
        era=fleet.era,
        source=source,
        held=fleet.configuration.version,
    )


def may_deny(fleet, received_at):
    """Whether a request may be refused for good as the configuration does not allow it.

    A copy that was last confirmed longer ago than changes may take to be in force may
    lack the very version that allows the request. Its caller is told to come back.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    received_at : float
        Time of the event loop at which the request was received.
    """
    if fleet.confirmed_at is None:
        return False
    return received_at - fleet.confirmed_at <= fleet.deployment.bounds.apply_s


def log_denied(fleet, req, status, now):
    """Log what a refusal by the configuration, which is final, was decided on."""
    metrics.count(fleet.metrics, "requests_denied", status=str(status))
    eventlog.event(
        "request.denied",
        request=req.request_id,
        status=status,
        version=fleet.configuration.version,
        revision=fleet.revision,
        era=fleet.era,
        age_s=_age(now, fleet.confirmed_at),
    )


def _age(now, since):
    return None if since is None else round(min(now - since, MAX_AGE_S), 3)
