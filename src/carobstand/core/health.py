"""Backend servers that this entry avoids because of how they answered it.

Health checks and registrations lag and may be false; what counts here is what happened
to requests.
"""

import attrs

PAUSE_MIN_S = 0.5
PAUSE_MAX_S = 2.0
"""Time without requests after a server refused one; it grows twofold in a row."""

FAILURES_IN_A_ROW = 2
"""Requests lost in a row after which a server is avoided for a pause."""

FORGET = 0.8
"""Weight of the earlier results in the share of failed requests, per request."""

FAILED_COST_S = 0.4
"""Predicted time that a server with only failures counts as slower."""


@attrs.define(eq=False)
class ServerHealth:
    """Results of one server.

    Attributes
    ----------
    avoid_until : float
    pause_s : float
        Length of the last pause; 0 after an answer.
    lost_in_a_row : int
    failed_share : float
        Share of requests that failed, recent ones weighted most.
    is_refusing : bool
        Whether the pause is for a server that takes no requests, not for lost ones.
    started_ms : int
        Start of the server as it was when it was last avoided.
    """

    avoid_until: float = 0.0
    pause_s: float = 0.0
    lost_in_a_row: int = 0
    failed_share: float = 0.0
    is_refusing: bool = False
    started_ms: int = 0


def answered(state):
    """Record a complete answer."""
    state.pause_s = 0.0
    state.avoid_until = 0.0
    state.lost_in_a_row = 0
    state.failed_share *= FORGET


def refused(state, now, started_ms=0):
    """Record that the server cannot be reached or does not take requests."""
    _pause(state, now, started_ms)
    state.is_refusing = True


def _pause(state, now, started_ms):
    state.pause_s = min(PAUSE_MAX_S, max(PAUSE_MIN_S, 2 * state.pause_s))
    state.avoid_until = now + state.pause_s
    state.started_ms = started_ms


def lost(state, now, started_ms=0):
    """Record a request whose answer did not come."""
    state.failed_share = 1 - FORGET * (1 - state.failed_share)
    state.lost_in_a_row += 1
    if state.lost_in_a_row >= FAILURES_IN_A_ROW:
        _pause(state, now, started_ms)
        state.is_refusing = False


def is_avoided(state, now, started_ms=0):
    """Whether the server gets no requests now; one that started anew does."""
    if started_ms and started_ms != state.started_ms and state.started_ms:
        return False
    return now < state.avoid_until


def penalty_s(state):
    """Return the time by which the server's predictions are worse for its failures."""
    return FAILED_COST_S * state.failed_share
