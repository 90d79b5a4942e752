"""Requests that crash the backend servers that run them.

A run that was lost counts against its request once its server has been seen to have
started anew. Other causes, such as a connection that was reset, leave the start as it
was. All requests that a crash ends are suspected; those that are answered once are not
any more.
"""

import attrs

from carobstand.core import suspects

REFUSED_FROM = 3
"""Crashes from which a request is refused: requests that run beside a deadly one are
often in two, as they are tried again."""

RESTART_S = 15.0
"""Longest time from a lost run until its server's new start is known."""

MAX_LOST = 2_000
"""Lost runs that are looked at; beyond it the oldest is dropped."""

MAX_CLEARED = 5_000
"""Requests remembered as harmless."""


@attrs.frozen
class LostRun:
    """A run without an answer, at a server with a known start."""

    fingerprint: bytes
    address: str
    started_ms: int
    until: float


@attrs.define(eq=False)
class Crashes:
    """What an entry knows.

    Attributes
    ----------
    lost : list of LostRun
        Oldest first.
    suspected : core.suspects.Suspects
    cleared : dict of bytes to None
        Fingerprints of suspected requests that were answered since.
    """

    lost: list = attrs.field(factory=list)
    suspected: suspects.Suspects = attrs.field(factory=suspects.Suspects)
    cleared: dict = attrs.field(factory=dict)


def note_lost(crashes, fingerprint, address, started_ms, now):
    """Record a run that ended without an answer; `started_ms` 0 if it is not known."""
    if not started_ms or fingerprint in crashes.cleared:
        return
    if len(crashes.lost) >= MAX_LOST:
        del crashes.lost[0]
    crashes.lost.append(LostRun(fingerprint, address, started_ms, now + RESTART_S))


def confirm(crashes, start_of, now):
    """Return lost runs whose servers have started anew, and count them.

    Parameters
    ----------
    crashes : Crashes
    start_of : callable of (str) to int
        Unix milliseconds of the start of the server at an address, 0 if not known.
    now : float

    Returns
    -------
    confirmed : list of (bytes, str)
        Fingerprint and id of the failure.
    """
    confirmed, waiting = [], []
    for run in crashes.lost:
        if start_of(run.address) > run.started_ms:
            failure = f"{run.address}/{run.started_ms}"
            if add(crashes, run.fingerprint, failure, now):
                confirmed.append((run.fingerprint, failure))
        elif now < run.until:
            waiting.append(run)
    crashes.lost = waiting
    return confirmed


def add(crashes, fingerprint, failure, now):
    """Count one crash, which any entry may have seen; return whether it is new."""
    if fingerprint in crashes.cleared:
        return False
    return suspects.add(crashes.suspected, fingerprint, [failure], now)


def note_answered(crashes, fingerprint):
    """Record that a suspected request was answered: it does not crash servers."""
    if crashes.suspected.held.pop(fingerprint, None) is None:
        return
    if len(crashes.cleared) >= MAX_CLEARED:
        del crashes.cleared[next(iter(crashes.cleared))]
    crashes.cleared[fingerprint] = None


def is_deadly(crashes, fingerprint, now):
    """Whether a request must not be run again."""
    return suspects.failures(crashes.suspected, fingerprint, now) >= REFUSED_FROM
