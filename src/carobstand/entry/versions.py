"""Versions of weights that an entry knows, and the times at which they were named."""

import math

import anyio
import attrs

from carobstand import eventlog
from carobstand.core import named_versions
from carobstand.entry import change_relay
from carobstand.platform import records

VERSION_SLACK_S = 0.3
"""Requests for old weights that have not begun this long before the deadline are
withdrawn: reading a new named version takes 50 ms, sending a request 10 ms, and each
takes 0.1 s more on a busy VM. With 0.2 s, requests began 2 and 8 ms too late."""

REDATED_S = 0.1
"""Smallest change of the date of a named version that is logged."""

PROCESS_START_S = 0.7
"""Shortest time assumed between the platform's start of the process and
`Fleet.started`: imports take 0.3 s on an idle VM, twice that while all VMs start."""

START_FACTOR = 2.0
"""The same time at least, as a multiple of the processor time used until then: the
process waits for the processor and for its files as long again."""


def apply_version(fleet, item):
    """Apply a named version of the store; one that is removed stays in force."""
    if item.value is None:
        return
    named = records.decode_named_version(item.value)
    known = fleet.named.setdefault(named.model, [])
    if known and known[-1].version >= named.version:
        return
    fleet.operator_items[item.key] = item
    own = _own_date(fleet)
    dates = fleet.own_dates.setdefault(named.model, {})
    for version in _skipped(fleet, named.model, named.version):
        # Older ones end with the first version after them, of which only the time is
        # known up to which this entry had missed nothing.
        since = min(own.since, fleet.confirmed_at or own.since)
        dates[version] = attrs.evolve(own, since=since, is_witness=False)
        named_versions.add(known, version, -math.inf)
    dates[named.version] = own
    named_versions.add(known, named.version, -math.inf)
    _redate(fleet, named.model)
    now = anyio.current_time()
    failed_ago_s = now - fleet.store_failed_at
    eventlog.event(
        "version.named",
        model=named.model,
        version=named.version,
        ago_s=round(now - known[-1].seen_at, 3),
        dated_by=known[-1].dated_by,
        unconfirmed_s=round(now - (fleet.confirmed_at or fleet.started), 3),
        store_failed_ago_s=(
            round(failed_ago_s, 3)
            if failed_ago_s < change_relay.UNKNOWN_AGE_S
            else None
        ),
    )


def _skipped(fleet, model, version):
    """Return the versions that may have been named before a version that was read.

    Listings and entries that pass changes on tell only the newest version.
    """
    if fleet.named[model]:
        before = fleet.named[model][-1].version
    elif fleet.revision:
        before = served_version(fleet, model) or version - 1
    else:
        before = version - 2
    first = max(before + 1, version - named_versions.VERSIONS_KEPT)
    return range(max(1, first), version)


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
        fleet.own_dates[model],
        fleet.witnesses.get(model, named_versions.Witnesses()),
        fleet.deployment.regions,
    )
    if named == before:
        return
    fleet.versions_changed()
    for item, old in zip(named, before, strict=True):
        if old.dated_by and abs(item.seen_at - old.seen_at) > REDATED_S:
            eventlog.event(
                "version.redated",
                model=model,
                version=item.version,
                later_s=round(item.seen_at - old.seen_at, 3),
                dated_by=item.dated_by,
            )


def _own_date(fleet):
    """Return the `OwnDate` of a named version that was just read.

    After a store outage the version may have been named long ago; the time limits do
    not apply to a process that has just reconnected to the store, or has just started.
    The outage is known to have lasted until the last failed call was sent, not until it
    timed out.
    """
    bounds = fleet.deployment.bounds
    if fleet.revision:
        since, regained_at = fleet.changes_since, fleet.store_unreachable_at
    else:
        since, start_s = -math.inf, START_FACTOR * fleet.startup_s
        regained_at = fleet.started - max(PROCESS_START_S, start_s)
    arrived_at = fleet.arrived_at
    return named_versions.OwnDate(
        since=since,
        grace_from=regained_at + bounds.contact_s - bounds.version_s,
        arrived_at=anyio.current_time() if arrived_at is None else arrived_at,
        is_witness=arrived_at is not None,
        failure_domain=fleet.deployment.failure_domain,
    )


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
