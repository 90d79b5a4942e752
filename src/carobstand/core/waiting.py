"""Requests that wait in an entry until a backend server can begin them in time.

Load pattern: bursts and short overloads, such as a few engines loading weights. A
request is held only while some engine may still answer it in time; after that its
caller is told at once when to come again.
"""

import enum
import math

import attrs

WAY_S = 0.08
"""Time for the ways between caller, entry and engine that no prediction contains."""

LATE_HOLD_S = 0.5
"""Longest wait of a request that can only be answered late."""

NO_SERVER_HOLD_S = 0.05
"""Longest wait while no server can take requests at all."""

LATE_OCCUPANCY = 0.75
"""Share of an engine's places up to which late requests may take one."""


ADVANCE_S = 0.1
"""Time by which a request of twice the usual worth for an engine's time goes first."""


class Verdict(enum.Enum):
    """What happens to a waiting request now."""

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


@attrs.frozen(kw_only=True)
class Terms:
    """When a request must have been placed.

    Attributes
    ----------
    arrived : float
    target : float
        Time of the first byte up to which the answer is on time.
    deadline : float
        Time of the final answer at the latest.
    priority : int
        0 is first.
    is_started : bool
        Whether its caller already has a part of the answer.
    delay_s : float
        Longest delay by other requests at the server to which it is sent.
    advance : float
        Worth for an engine's time against the mean, as `core.value` tells it.
    """

    arrived: float
    target: float
    deadline: float
    priority: int = 0
    is_started: bool = False
    delay_s: float = math.inf
    advance: float = 0.0


def shared_delay_s(targets_s, shortest_s):
    """Return the delay at a server that leaves room for all kinds of request.

    If those with more time filled the servers up to their own limit, those with less
    could never be sent.

    Parameters
    ----------
    targets_s : list of float
        Times to the first byte within which the service's requests are on time.
    shortest_s : float
        Usual time to the first byte at an idle server.
    """
    known = [target_s for target_s in targets_s if target_s]
    return max(0.0, min(known, default=math.inf) - WAY_S - shortest_s)


def is_late(terms, shortest_s, now):
    """Whether even an idle server could not answer on time any more."""
    return now + shortest_s + WAY_S > terms.target


def order(terms, shortest_s, now):
    """Return the key by which waiting requests are served, the smallest first."""
    if terms.is_started:
        return (-1, False, terms.target)
    turn = terms.target - ADVANCE_S * terms.advance
    return (terms.priority, is_late(terms, shortest_s, now), turn)


def decide(terms, best, shortest_s, now):
    """Return the `Verdict` on one request.

    Parameters
    ----------
    terms : Terms
    best : core.placement.Choice or None
        Best server, None if there is none.
    shortest_s : float
        Time to the first byte at an idle server of the service.
    now : float
    """
    if terms.is_started:
        return Verdict.HOLD if best is None else Verdict.SEND
    late = is_late(terms, shortest_s, now)
    if best is not None:
        on_time = now + best.first_event_s + WAY_S <= terms.target
        if on_time and best.first_event_s - shortest_s <= terms.delay_s:
            return Verdict.SEND
        slots = max(1, best.candidate.server.slots)
        if late and best.occupancy <= slots * LATE_OCCUPANCY:
            return Verdict.SEND
    if best is None and now >= terms.arrived + NO_SERVER_HOLD_S:
        return Verdict.REFUSE
    return Verdict.HOLD if may_wait(terms, shortest_s, now) else Verdict.REFUSE


def may_wait(terms, shortest_s, now):
    """Whether a request that no server can take now is held."""
    if terms.is_started or not is_late(terms, shortest_s, now):
        return True
    hold_until = max(terms.arrived, terms.target) + LATE_HOLD_S
    return now < min(hold_until, terms.deadline)


def hold_until(terms, shortest_s):
    """Return the time at which a request that was not placed is decided on again."""
    return min(terms.target - shortest_s - WAY_S, terms.deadline)
