"""Passive health checks: backend servers that this entry avoids after failures.

Active health checks and registrations lag and may be wrong, so only the results of this
entry's requests count here.
"""

import math

import attrs

PAUSE_MIN_S = 0.5
PAUSE_MAX_S = 2.0
"""Bounds of the time for which a server is avoided; each further pause is twice as
long, up to the maximum, until the server answers."""

LOSSES_BEFORE_PAUSE = 2
"""Consecutive lost requests after which a server is avoided for a pause."""

FAILED_SHARE_DECAY = 0.8
"""Decay per request of the earlier results in the share of failed requests."""

FAILED_SHARE_FADE_S = PAUSE_MAX_S
"""Time constant with which the share of failed requests fades without any results. A
server that another one beats by its penalty gets no requests that could lower it; after
the longest pause a server that lost requests is tried again, too."""

FAILURE_PENALTY_S = 0.4
"""Time added to the predictions of a server whose requests all failed."""


UNREAD_S = 1.0
"""Time for which a caller did not read its response, after which the end of the
connection says nothing of the server. Servers cut off a response that stays unread for
some seconds, of which a part passes while buffers on the way fill up."""


@attrs.define(eq=False)
class ServerHealth:
    """Recent request results of one server.

    Attributes
    ----------
    avoid_until : float
        End of the current or last pause.
    pause_s : float
        Length of the last pause; 0 after an answer.
    consecutive_losses : int
        Consecutive lost requests.
    failed_share : float
        Exponentially weighted share of requests that failed, at the time `failed_at`.
    failed_at : float
        Time of the last lost request.
    failed_start_ms : int
        Start time of the server at that time, 0 if it is not known.
    is_refusing : bool
        Whether the last pause was for a refusal rather than for lost requests.
    started_ms : int
        Start time of the server when the last pause began.
    """

    avoid_until: float = 0.0
    pause_s: float = 0.0
    consecutive_losses: int = 0
    failed_share: float = 0.0
    failed_at: float = 0.0
    failed_start_ms: int = 0
    is_refusing: bool = False
    started_ms: int = 0


def answered(state):
    """Record a complete answer."""
    state.pause_s = 0.0
    state.avoid_until = 0.0
    state.consecutive_losses = 0
    state.failed_share *= FAILED_SHARE_DECAY


def refused(state, now, started_ms=0):
    """Record that the server is unreachable or refuses requests."""
    _pause(state, now, started_ms)
    state.is_refusing = True


def _pause(state, now, started_ms):
    state.pause_s = min(PAUSE_MAX_S, max(PAUSE_MIN_S, 2 * state.pause_s))
    state.avoid_until = now + state.pause_s
    state.started_ms = started_ms


def lost(state, now, started_ms=0, unread_s=0.0):
    """Record a request that was sent but got no complete answer.

    Parameters
    ----------
    state : ServerHealth
    now : float
    started_ms : int
        Start time of the server, 0 if it is not known.
    unread_s : float
        Time for which the caller did not read the answer; from `UNREAD_S` on the loss
        does not count.
    """
    if unread_s >= UNREAD_S:
        return
    earlier_share = _failed_share(state, now, started_ms)
    state.failed_share = 1 - FAILED_SHARE_DECAY * (1 - earlier_share)
    state.failed_at, state.failed_start_ms = now, started_ms
    state.consecutive_losses += 1
    if state.consecutive_losses >= LOSSES_BEFORE_PAUSE:
        _pause(state, now, started_ms)
        state.is_refusing = False


def is_avoided(state, now, started_ms=0):
    """Whether the server is avoided now; a restart of the server ends the pause."""
    if started_ms and started_ms != state.started_ms and state.started_ms:
        return False
    return now < state.avoid_until


def penalty_s(state, now, started_ms=0):
    """Return the time to add to the server's predictions for its recent failures."""
    return FAILURE_PENALTY_S * _failed_share(state, now, started_ms)


def _failed_share(state, now, started_ms):
    """Return the share of failed requests now; a restart of the server resets it."""
    if started_ms and state.failed_start_ms and started_ms != state.failed_start_ms:
        return 0.0
    elapsed_s = max(0.0, now - state.failed_at)
    return state.failed_share * math.exp(-elapsed_s / FAILED_SHARE_FADE_S)
