"""Versions of weights that an entry knows, and the times at which they were named."""

import math

import anyio

from carobstand import eventlog
from carobstand.core import named_versions
from carobstand.platform import records

VERSION_SLACK_S = 0.3
"""Requests for old weights that have not begun this long before the deadline are
withdrawn: reading a new named version takes 50 ms, sending a request 10 ms, and each
takes 0.1 s more on a busy VM. With 0.2 s, requests began 2 and 8 ms too late."""

REDATED_S = 0.1
"""Smallest change of the date of a named version that is logged."""

PROCESS_START_S = 0.7
"""Time between the platform's start of the process and `Fleet.started`: imports take
0.3 s on an idle VM, and twice that while all VMs start."""


def apply_version(fleet, item):
    """Apply a named version of the store; one that is removed stays in force."""
    if item.value is None:
        return
    named = records.decode_named_version(item.value)
    known = fleet.named.setdefault(named.model, [])
    # A process that has just started cannot know when the version was named.
    seen_at = _seen_at(fleet) if fleet.revision else _seen_at_before_start(fleet)
    if named_versions.add(known, named.version, seen_at):
        fleet.operator_items[item.key] = item
        fleet.own_dates.setdefault(named.model, {})[named.version] = seen_at
        now = anyio.current_time()
        eventlog.event(
            "version.named",
            model=named.model,
            version=named.version,
            ago_s=round(now - seen_at, 3),
            unconfirmed_s=round(now - (fleet.confirmed_at or fleet.started), 3),
            store_failed_ago_s=round(now - fleet.store_failed_at, 3),
        )
        _redate(fleet, named.model)


def note_named(fleet, server, ago_ms):
    """Note when the agent of a server saw versions being named.

    An entry that was out of touch with the store dates a version back to its last
    confirmed state. Without these reports it stops using the served weights up to a
    second before they end.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    server : core.registry.Registration
    ago_ms : dict of int to int
        Time since then, by version.
    """
    services = fleet.configuration.services if fleet.configuration else {}
    service = services.get(server.service)
    if service is None or service.weights is None:
        return
    model, now = service.weights.models[0], anyio.current_time()
    witnesses = fleet.witnesses.setdefault(model, named_versions.Witnesses())
    changed = [
        named_versions.note_seen(
            witnesses,
            version,
            server.server_id,
            server.failure_domain,
            now - max(0, elapsed_ms) / 1000,
        )
        for version, elapsed_ms in ago_ms.items()
    ]
    if any(changed):
        _redate(fleet, model)


def _redate(fleet, model):
    """Date the named versions of a model by what is known now."""
    named = fleet.named.get(model)
    if not named:
        return
    before = list(named)
    named_versions.redate(
        named,
        fleet.own_dates.get(model, {}),
        fleet.witnesses.get(model, named_versions.Witnesses()),
    )
    for item, old in zip(named, before, strict=True):
        if abs(item.seen_at - old.seen_at) > REDATED_S:
            eventlog.event(
                "version.redated",
                model=model,
                version=item.version,
                later_s=round(item.seen_at - old.seen_at, 3),
            )


def _seen_at(fleet):
    """Return the time to record for a named version that was just read.

    After a store outage the version may have been named long ago; the time limits do
    not apply to a process that has just reconnected to the store. The outage is known
    to have lasted until the last failed call was sent, not until it timed out.
    """
    bounds = fleet.deployment.bounds
    regained = fleet.store_unreachable_at + bounds.contact_s - bounds.version_s
    return max(fleet.changes_since, regained)


def _seen_at_before_start(fleet):
    """Return the time to record for versions that were named before this process.

    The time limits do not apply to a process that has just started.
    """
    bounds = fleet.deployment.bounds
    return fleet.started - PROCESS_START_S + bounds.contact_s - bounds.version_s


def begin_by(fleet, holding):
    """Return the time by which requests for given weights must have begun.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    holding : core.registry.Holding or None

    Returns
    -------
    time : float
        Infinite for the newest weights.
    """
    if holding is None:
        return math.inf
    allowed_s = fleet.deployment.bounds.version_s - VERSION_SLACK_S
    named = fleet.named.get(holding.model, [])
    return named_versions.begin_by(named, holding.version, allowed_s)


def newest_version(fleet, model):
    """Return the newest named version of a model, or None."""
    named = fleet.named.get(model)
    return named[-1].version if named else None


def holdings(fleet):
    """Return the weights that registered engines report as served."""
    servers = fleet.servers.servers.values()
    return [server.holding for server in servers if server.holding]


def served_version(fleet, model):
    """Return the newest version of a model that a registered engine serves, or None."""
    versions = [item.version for item in holdings(fleet) if item.model == model]
    return max(versions, default=None)
