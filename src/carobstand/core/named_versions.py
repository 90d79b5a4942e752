"""Versions that operators named, and until when requests may begin on older ones."""

import math

import attrs

MIN_WITNESSES = 3
MIN_DOMAINS = 2
"""Fewest agents, and fewest failure domains of theirs, whose reports date a named
version. A frozen VM or link delays those behind it, so the earliest report counts."""

REPORT_DELAY_S = 0.1
"""Time by which even the earliest report may be late: 10 to 60 ms until an agent reads
the change, and the datagram's way."""

VERSIONS_KEPT = 4
"""Versions of which reports are kept."""


@attrs.frozen
class SeenVersion:
    """A version that an operator named as the one to serve.

    `seen_at` is the time at which this process learned of it, ``-inf`` if it was named
    before the process started.
    """

    version: int
    seen_at: float


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
        Whether `earliest_seen` of the version may have changed.
    """
    found = witnesses.seen.setdefault(version, {})
    while len(witnesses.seen) > VERSIONS_KEPT:
        del witnesses.seen[min(witnesses.seen)]
    if server_id in found and found[server_id][1] <= at:
        return False
    found[server_id] = failure_domain, at
    return True


def earliest_seen(witnesses, version):
    """Return the time before which a version was not named, -inf if not known."""
    found = witnesses.seen.get(version, {}).values()
    if len(found) < MIN_WITNESSES:
        return -math.inf
    if len({failure_domain for failure_domain, _ in found}) < MIN_DOMAINS:
        return -math.inf
    return min(at for _, at in found) - REPORT_DELAY_S


def redate(named, own_dates, witnesses):
    """Replace the dates of named versions by the later of two lower bounds.

    Parameters
    ----------
    named : list of SeenVersion
        Changed in place.
    own_dates : dict of int to float
        What this process knows itself, by version.
    witnesses : Witnesses
    """
    named[:] = [
        SeenVersion(
            item.version,
            max(
                own_dates.get(item.version, item.seen_at),
                earliest_seen(witnesses, item.version),
            ),
        )
        for item in named
    ]


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
