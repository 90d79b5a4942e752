"""Versions that operators named, and until when requests may begin on older ones."""

import math

import attrs


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
