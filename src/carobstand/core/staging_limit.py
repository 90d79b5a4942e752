"""Limit of attempts to stage a piece that does not read back as it was staged.

Load pattern: versions change quickly while the staging area of an engine is faulty. The
agent must not write and read the same piece without end beside the engine's requests.
"""

import attrs

MAX_ATTEMPTS = 5
"""Times that a piece is staged again before a load. Pieces that turned bad by chance
read back right after the first."""

PAUSE_S = 5.0
"""Time without attempts after the last one failed. A series takes some 10 ms, and an
engine that recovers within a version's time of 8 s or more is tried again in it."""


@attrs.define(eq=False)
class StagingLimit:
    """Failed attempts on one engine.

    Attributes
    ----------
    paused_until : float
        Time until which nothing is staged.
    started_ms : int or None
        Start of the engine on which the attempts failed; a later start ends the pause.
    """

    paused_until: float = 0.0
    started_ms: int | None = None


def is_exhausted(attempts):
    """Whether a piece was staged again as often as allowed."""
    return attempts >= MAX_ATTEMPTS


def pause(limit, started_ms, now):
    """Make no attempts for `PAUSE_S` on an engine that started at `started_ms`."""
    limit.paused_until, limit.started_ms = now + PAUSE_S, started_ms


def is_paused(limit, started_ms, now):
    """Whether nothing is to be staged now on an engine that started at `started_ms`."""
    return now < limit.paused_until and started_ms == limit.started_ms
