"""Detection of poison requests, which crash the backend servers that run them.

A lost run counts as a crash of its request once its server is known to have restarted.
Other causes, such as a connection reset, leave the start time of the server unchanged.
All requests that were running at a crash become suspects; a suspect that is answered
once is cleared.
"""

import attrs

from carobstand.core import suspects

POISON_CRASHES = 3
"""Number of crashes from which a request is refused. Requests that run beside a poison
request are often in two crashes, because they are retried."""

MAX_RESTART_S = 15.0
"""Maximum time between a lost run and the report of its server's new start."""

MAX_LOST = 2_000
"""Maximum number of lost runs held; the oldest is dropped first."""

MAX_CLEARED = 5_000
"""Maximum number of cleared requests held; the oldest is dropped first."""


@attrs.frozen
class LostRun:
    """A run without an answer, at a server whose start time is known.

    `expires_at` is the time at which the run is dropped if no restart was reported,
    `lost_at` the time at which the connection to the server ended.
    """

    fingerprint: bytes
    address: str
    started_ms: int
    expires_at: float
    lost_at: float


@attrs.define(eq=False)
class Crashes:
    """Lost runs and suspected requests known to one entry.

    Attributes
    ----------
    lost : list of LostRun
        Oldest first.
    suspected : core.suspects.Suspects
    cleared : dict of bytes to None
        Fingerprints of formerly suspected requests that have been answered.
    """

    lost: list = attrs.field(factory=list)
    suspected: suspects.Suspects = attrs.field(factory=suspects.Suspects)
    cleared: dict = attrs.field(factory=dict)


def record_lost(crashes, fingerprint, address, started_ms, now):
    """Record a run that ended without an answer; `started_ms` is 0 if not known."""
    if not started_ms or fingerprint in crashes.cleared:
        return
    if len(crashes.lost) >= MAX_LOST:
        del crashes.lost[0]
    expires_at = now + MAX_RESTART_S
    crashes.lost.append(LostRun(fingerprint, address, started_ms, expires_at, now))


def count_confirmed(crashes, start_of, now):
    """Count and return the lost runs whose servers have restarted since.

    Parameters
    ----------
    crashes : Crashes
    start_of : callable of (str) to int
        Start time of the server at an address in Unix milliseconds, 0 if not known.
    now : float

    Returns
    -------
    confirmed : list of (bytes, str, float)
        Fingerprint of the request, id of the failure and time since the loss, in s.
    """
    confirmed, unresolved = [], []
    for run in crashes.lost:
        if start_of(run.address) > run.started_ms:
            failure = f"{run.address}/{run.started_ms}"
            if add(crashes, run.fingerprint, failure, now):
                confirmed.append((run.fingerprint, failure, now - run.lost_at))
        elif now < run.expires_at:
            unresolved.append(run)
    crashes.lost = unresolved
    return confirmed


def add(crashes, fingerprint, failure, now):
    """Count one crash that any entry observed; return whether it is new."""
    if fingerprint in crashes.cleared:
        return False
    return suspects.add(crashes.suspected, fingerprint, [failure], now)


def clear_answered(crashes, fingerprint):
    """Clear a suspected request that was answered: it does not crash servers.

    Returns
    -------
    was_suspected : bool
    """
    if crashes.suspected.held.pop(fingerprint, None) is None:
        return False
    if len(crashes.cleared) >= MAX_CLEARED:
        del crashes.cleared[next(iter(crashes.cleared))]
    crashes.cleared[fingerprint] = None
    return True


def is_poison(crashes, fingerprint, now):
    """Whether a request is a poison request, which must not be run again."""
    return suspects.failures(crashes.suspected, fingerprint, now) >= POISON_CRASHES
