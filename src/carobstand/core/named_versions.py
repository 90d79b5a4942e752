"""Weights that operators named, and until when requests may begin on older ones."""

import math

import attrs


@attrs.frozen
class Named:
    """One named version.

    `seen_at` is when this process heard of it; in the past without end if it was named
    before the process began.
    """

    version: int
    seen_at: float


def add(named, version, seen_at):
    """Append a version to `named`; return False for one that is not newer.

    Parameters
    ----------
    named : list of Named
        In the order of their versions.
    version : int
    seen_at : float
    """
    if named and named[-1].version >= version:
        return False
    named.append(Named(version, seen_at))
    return True


def begin_by(named, version, allowed_s):
    """Return the time by which requests must have begun on weights of `version`.

    Parameters
    ----------
    named : list of Named
    version : int
    allowed_s : float
        Time from the naming of weights until none begin on older ones.

    Returns
    -------
    time : float
        Without end for the newest weights.
    """
    newer = (item.seen_at for item in named if item.version > version)
    return min(newer, default=math.inf) + allowed_s
