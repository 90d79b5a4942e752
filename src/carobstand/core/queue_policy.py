"""Policy for requests that wait in an entry until a backend server can start them.

Load pattern: bursts and short overloads, for example while a few engines load weights.
A request is held only while some engine may still answer it on time; after that it is
rejected at once with a retry delay.
"""

import enum
import math

import attrs

NETWORK_TIME_S = 0.08
"""Network time between caller, entry and engine, which no prediction includes."""

MAX_LATE_HOLD_S = 0.5
"""Maximum wait of a request that can only be answered late."""

MAX_LATE_HOLD_OVERLOADED_S = 0.2
"""The same for an overloaded service, where freed slots go to others first."""

MAX_NO_SERVER_HOLD_S = 0.05
"""Maximum wait while no server can take the request."""

MAX_LATE_OCCUPANCY = 0.75
"""Share of an engine's slots that may be in use when a late request is sent to it."""

MAX_LATE_OCCUPANCY_OVERLOADED = 0.5
"""The same for an overloaded service. Late requests at fuller engines delay those that
can be on time: with 0.75, replays had 8% to 20% fewer answers on time."""

RESERVED_SLOTS = 2
"""Slots of an engine that are expected to be taken by requests of other entries that no
report shows yet, if the service is overloaded. A request that finds a slot beyond these
is not delayed by others, so that the margin of its prediction does not count: with it,
recorded runs had requests rejected while engines had half of their slots free."""

MAX_SPARE_OCCUPANCY = 0.75
"""Share of an engine's slots up to which it serves requests beyond their share. Replays
with 0.5 had 2% fewer answers on time."""

MAX_MARGIN_SHARE = 0.7
"""Maximum margin of a prediction, as a share of the time that a request can spare. More
would reject requests that an engine with few others would answer on time, and no later
answers would then reduce the margin."""

FIRST_LATE_PRIORITY = 6
LAST_PRIORITY = 9
"""Priorities in an engine's queue from which late requests of each rank are placed, and
the last one."""

ADVANCE_S = 0.1
"""Time by which a request with twice the mean value per engine time is moved ahead."""


class Verdict(enum.Enum):
    """What to do with a waiting request now."""

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


@attrs.frozen(kw_only=True)
class Terms:
    """Time limits and priority of a waiting request.

    Attributes
    ----------
    arrived : float
    target : float
        Latest time of the first byte for the answer to be on time.
    deadline : float
        Latest time of the final answer.
    priority : int
        0 is the highest.
    is_started : bool
        Whether the caller already has a part of the answer.
    max_delay_s : float
        Maximum delay caused by other requests at the server to which it is sent.
    advance : float
        Value per engine time relative to the mean, from `core.value_density.advance`.
    is_admitted : bool
        Whether it is within its customer's share of the capacity.
    """

    arrived: float
    target: float
    deadline: float
    priority: int = 0
    is_started: bool = False
    max_delay_s: float = math.inf
    advance: float = 0.0
    is_admitted: bool = True


def shared_delay_s(targets_s, shortest_s):
    """Return the maximum delay at a server that allows all kinds of requests.

    If requests with a long target filled the servers up to their own limit, those with
    a short target could never be sent.

    Parameters
    ----------
    targets_s : list of float
        Target times to the first byte of the service's requests; 0 for no target.
    shortest_s : float
        Usual time to the first byte at an idle server.
    """
    known = [target_s for target_s in targets_s if target_s]
    return max(0.0, min(known, default=math.inf) - NETWORK_TIME_S - shortest_s)


def is_late(terms, shortest_s, now):
    """Whether even an idle server can no longer answer on time."""
    return now + shortest_s + NETWORK_TIME_S > terms.target


def sort_key(terms, shortest_s, now):
    """Return the sort key of a waiting request; the smallest key is served first."""
    if terms.is_started:
        return (-1, False, terms.target)
    due = terms.target - ADVANCE_S * terms.advance
    is_behind = 2 * is_late(terms, shortest_s, now) or int(not terms.is_admitted)
    return (is_behind, terms.priority, due)


def engine_priority(terms, shortest_s, now):
    """Return the priority of a request in an engine's queue, 0 (first) to 9.

    Requests that can be on time precede late ones of any priority, as they do in the
    entry's queue.
    """
    if terms.is_started:
        return 0
    if is_late(terms, shortest_s, now):
        return min(FIRST_LATE_PRIORITY + terms.priority, LAST_PRIORITY)
    if not terms.is_admitted:
        return FIRST_LATE_PRIORITY - 1
    return min(1 + terms.priority, FIRST_LATE_PRIORITY - 2)


def _margin_s(terms, best, shortest_s, pressure):
    """Return the time by which a request is to be predicted earlier than its target."""
    spare_s = terms.target - terms.arrived - NETWORK_TIME_S - shortest_s
    return pressure * min(best.margin_s, MAX_MARGIN_SHARE * max(0.0, spare_s))


def decide(
    terms, best, shortest_s, now, permit_wait_s=None, pressure=0.0, late_wait_s=0.0
):
    """Return the `Verdict` for one request.

    Parameters
    ----------
    terms : Terms
    best : core.placement.Choice or None
        Best server, or None if no server can take the request.
    shortest_s : float
        Time to the first byte at an idle server of the service.
    now : float
    permit_wait_s : float or None
        Expected wait for a permit if all servers limit their requests, else None.
    pressure : float
        How overloaded the service is, from `core.missed_targets.pressure`.
    late_wait_s : float
        Expected wait for an engine if the request is late, from `core.recent_sends`.
    """
    if terms.is_started:
        return Verdict.HOLD if best is None else Verdict.SEND
    if best is None and permit_wait_s is not None:
        return _decide_limited(terms, shortest_s, now, permit_wait_s)
    late = is_late(terms, shortest_s, now)
    if not terms.is_admitted and not late:
        return _decide_beyond_share(terms, best, shortest_s, now)
    if best is not None:
        slots = max(1, best.candidate.server.slots)
        latest = terms.target
        if best.occupancy + 1 + RESERVED_SLOTS * pressure > slots:
            latest -= _margin_s(terms, best, shortest_s, pressure)
        on_time = now + best.first_event_s + NETWORK_TIME_S <= latest
        if on_time and best.first_event_s - shortest_s <= terms.max_delay_s:
            return Verdict.SEND
        max_occupancy = _blend(
            MAX_LATE_OCCUPANCY, MAX_LATE_OCCUPANCY_OVERLOADED, pressure
        )
        if late and best.occupancy <= slots * max_occupancy:
            return Verdict.SEND
    if best is None and now >= terms.arrived + MAX_NO_SERVER_HOLD_S:
        return Verdict.REFUSE
    # A late request that is expected to be rejected after its wait is rejected at once.
    # The same for one that can still be on time cost 3% of the answers on time in a
    # replay of halved capacity.
    sent_at = now + pressure * late_wait_s if late else now
    is_held = may_hold(terms, shortest_s, sent_at, pressure)
    return Verdict.HOLD if is_held else Verdict.REFUSE


def _decide_beyond_share(terms, best, shortest_s, now):
    """Return the `Verdict` for a request that only spare capacity may serve."""
    if best is None:
        return Verdict.REFUSE
    latest = terms.target - _margin_s(terms, best, shortest_s, 1.0)
    on_time = now + best.first_event_s + NETWORK_TIME_S <= latest
    slots = max(1, best.candidate.server.slots)
    is_spare = best.occupancy <= slots * MAX_SPARE_OCCUPANCY
    return Verdict.SEND if on_time and is_spare else Verdict.REFUSE


def _blend(calm, overloaded, pressure):
    return calm + pressure * (overloaded - calm)


def _decide_limited(terms, shortest_s, now, permit_wait_s):
    """Return the `Verdict` for a request that needs a permit of a limited server."""
    sent_at = now + permit_wait_s
    if not is_late(terms, shortest_s, now):
        is_in_time = not is_late(terms, shortest_s, sent_at)
    else:
        is_in_time = may_hold(terms, shortest_s, sent_at)
    return Verdict.HOLD if is_in_time else Verdict.REFUSE


def may_hold(terms, shortest_s, now, pressure=0.0):
    """Whether a request that no server can take now should be held."""
    if terms.is_started or not is_late(terms, shortest_s, now):
        return True
    hold_s = _blend(MAX_LATE_HOLD_S, MAX_LATE_HOLD_OVERLOADED_S, pressure)
    hold_until = max(terms.arrived, terms.target) + hold_s
    return now < min(hold_until, terms.deadline)


def next_evaluation_at(terms, shortest_s):
    """Return the time at which a held request is evaluated again."""
    return min(terms.target - shortest_s - NETWORK_TIME_S, terms.deadline)
