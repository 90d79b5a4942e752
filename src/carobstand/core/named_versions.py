"""Versions that operators named, and until when requests may begin on older ones."""

import math

import attrs

MIN_WITNESSES = 3
MIN_DOMAINS = 2
MIN_REGIONS = 2
"""Fewest processes, failure domains and regions (of several) from which arrivals of a
named version date it. A frozen VM or a slow or cut link, also that of a region, delays
those behind it, so the earliest arrival counts."""

REPORT_DELAY_S = 0.1
"""Time by which even the earliest arrival may be late: 10 to 60 ms until a process
reads the change, and the datagram's way."""

VERSIONS_KEPT = 4
"""Versions of which reports are kept."""


@attrs.frozen
class SeenVersion:
    """A version that an operator named as the one to serve.

    `seen_at` is the time from which it counts as named, ``-inf`` if that was before the
    process started; `dated_by` says how an entry knows it, as one of the constants.
    """

    version: int
    seen_at: float
    dated_by: str | None = None


CONFIRMATION = "confirmation"
"""By the last state of the store that did not have the version."""

ARRIVALS = "arrivals"
"""By the earliest arrival at several processes."""

GRACE = "grace"
"""By the end of an outage of the store or by the start of this process."""


@attrs.frozen
class OwnDate:
    """What an entry knows itself of the time at which a version was named.

    Attributes
    ----------
    since : float
        Time before which it was not named, -inf if not known.
    grace_from : float
        Later time from which the time limits may count, as the entry was out of touch;
        -inf if it was not.
    arrived_at : float
        Time by which it was named, as it arrived then.
    is_witness : bool
        Whether a watch had waited for it, so that the arrival may be prompt.
    failure_domain : str
        Of this entry.
    """

    since: float
    grace_from: float = -math.inf
    arrived_at: float = math.inf
    is_witness: bool = False
    failure_domain: str = ""


def add(named, version, seen_at):
    """Append a version to `named`; return False if it is not newer than the last.

    Parameters
    ----------
    named : list of SeenVersion
        Ordered by version.
    version : int
    seen_at : float
    """
    if named and named[-1].version >= version:
        return False
    named.append(SeenVersion(version, seen_at))
    return True


@attrs.define(eq=False)
class Witnesses:
    """When agents saw versions of one model being named.

    `seen` holds failure domain and time by version and server id.
    """

    seen: dict = attrs.field(factory=dict)


def note_seen(witnesses, version, server_id, failure_domain, at):
    """Note an agent's report; the earliest one of each agent counts.

    Returns
    -------
    changed : bool
        Whether `earliest_arrival` of the version may have changed.
    """
    found = witnesses.seen.setdefault(version, {})
    while len(witnesses.seen) > VERSIONS_KEPT:
        del witnesses.seen[min(witnesses.seen)]
    if server_id in found and found[server_id][1] <= at:
        return False
    found[server_id] = failure_domain, at
    return True


def earliest_arrival(witnesses, version, own, regions):
    """Return the time before which a version was not named, None if not known.

    Each arrival is an upper bound of that time. The earliest of enough processes that
    share no link is taken to be at most `REPORT_DELAY_S` late.

    Parameters
    ----------
    witnesses : Witnesses
    version : int
    own : OwnDate
    regions : dict of str to str
        Region by failure domain, of the whole deployment.
    """
    found = list(witnesses.seen.get(version, {}).values())
    if own.is_witness:
        found.append((own.failure_domain, own.arrived_at))
    domains = {domain for domain, _ in found}
    spanned = {regions.get(domain, domain) for domain in domains}
    if (
        len(found) < MIN_WITNESSES
        or len(domains) < MIN_DOMAINS
        or len(spanned) < min(MIN_REGIONS, len(set(regions.values())))
    ):
        return None
    return min(own.arrived_at, *(at for _, at in found)) - REPORT_DELAY_S


def redate(named, own_dates, witnesses, regions):
    """Date named versions by what is known now.

    Parameters
    ----------
    named : list of SeenVersion
        Changed in place.
    own_dates : dict of int to OwnDate
        By version.
    witnesses : Witnesses
    regions : dict of str to str
    """
    named[:] = [
        _dated(item.version, own_dates[item.version], witnesses, regions)
        for item in named
    ]


def _dated(version, own, witnesses, regions):
    arrival = earliest_arrival(witnesses, version, own, regions)
    # Agents load and end weights by their arrivals, also while the entry was out of
    # touch, so its grace is of use only where no arrivals are known.
    other, dated_by = (
        (own.grace_from, GRACE) if arrival is None else (arrival, ARRIVALS)
    )
    if own.since >= other:
        return SeenVersion(version, own.since, CONFIRMATION)
    return SeenVersion(version, other, dated_by)


def begin_by(named, version, allowed_s):
    """Return the latest time at which requests may begin on weights of `version`.

    Parameters
    ----------
    named : list of SeenVersion
    version : int
    allowed_s : float
        Time after a version is named during which requests may begin on older ones.

    Returns
    -------
    time : float
        ``inf`` for the newest version.
    """
    newer_seen_at = (item.seen_at for item in named if item.version > version)
    return min(newer_seen_at, default=math.inf) + allowed_s
