"""Tests of which waiting requests are sent, held or rejected, also under overload."""

import heapq
import math
import random

import attrs
import pytest

from carobstand.core import (
    eligibility,
    missed_targets,
    placement,
    queue_policy,
    recent_sends,
)
from testing import platform_builders as build

SHORTEST_S = 0.06


def best(first_event_s, occupancy=10.0, margin_s=0.0):
    candidate = eligibility.Candidate(build.registration(), None, None)
    return placement.Choice(
        candidate, first_event_s, 0.0, occupancy, first_event_s, margin_s
    )


def decide(
    now=0.0,
    first_event_s=None,
    occupancy=10.0,
    margin_s=0.0,
    pressure=0.0,
    late_wait_s=0.0,
    **changes,
):
    choice = first_event_s and best(first_event_s, occupancy, margin_s)
    return queue_policy.decide(
        build.terms(**changes),
        choice,
        SHORTEST_S,
        now,
        pressure=pressure,
        late_wait_s=late_wait_s,
    ).value


def test_a_request_is_sent_where_it_is_answered_on_time():
    assert decide(first_event_s=0.2) == "send"
    assert decide(first_event_s=0.35) == "hold"


def test_a_late_request_takes_only_slots_that_others_do_not_need():
    assert decide(now=0.45, first_event_s=0.1, occupancy=8) == "send"
    assert decide(now=0.45, first_event_s=0.1, occupancy=15) == "hold"


def test_an_engine_that_may_be_full_needs_a_margin_if_the_service_is_overloaded():
    full = {"occupancy": 14.0, "margin_s": 0.15}
    assert decide(first_event_s=0.2, **full) == "send"
    assert decide(first_event_s=0.2, pressure=1.0, **full) == "hold"
    assert decide(first_event_s=0.15, pressure=1.0, **full) == "send"


def test_free_slots_are_used_whatever_the_margin():
    # A policy that asked for the margin here rejected requests in trials while engines
    # had half of their slots free.
    free = {"occupancy": 13.0, "margin_s": 0.15}
    assert decide(first_event_s=0.2, pressure=1.0, **free) == "send"


def test_no_margin_excludes_an_engine_that_is_nearly_idle():
    # Nothing would be sent, and no answer could ever reduce the margin.
    first_s = SHORTEST_S + 0.05
    assert decide(first_event_s=first_s, margin_s=3.0, pressure=1.0) == "send"


def test_late_requests_get_and_await_less_of_an_overloaded_service():
    late = {"now": 0.65, "first_event_s": 0.2}
    assert decide(occupancy=12, **late) == "send"
    assert decide(occupancy=9, pressure=1.0, **late) == "refuse"
    assert decide(occupancy=8, pressure=1.0, **late) == "send"


def test_a_late_request_of_an_overloaded_service_is_not_held_in_vain():
    """Guards against requests that are held for 0.2 s and then rejected."""
    late = {"now": 0.45, "first_event_s": 0.1, "occupancy": 15}
    assert decide(late_wait_s=0.5, pressure=1.0, **late) == "refuse"
    assert decide(late_wait_s=0.1, pressure=1.0, **late) == "hold"
    assert decide(late_wait_s=9.0, **late) == "hold"
    in_time = {"first_event_s": 0.35, "occupancy": 15}
    assert decide(late_wait_s=9.0, pressure=1.0, **in_time) == "hold"


def test_the_wait_of_a_late_request_follows_the_late_sends():
    """Guards against a rate that one send or a quiet second makes unusable."""
    sends = recent_sends.Sends()
    assert recent_sends.late_wait_s(None, 0, 0.0) == 2.0
    for _ in range(20):
        recent_sends.record_late(sends, 5.0)
    assert recent_sends.late_wait_s(sends, 1, 5.0) == pytest.approx(0.2)
    assert recent_sends.late_wait_s(sends, 0, 60.0) == 2.0


def test_late_requests_of_any_priority_come_after_those_that_can_be_on_time():
    late, started = build.terms(priority=0), build.terms(is_started=True)
    in_time = [build.terms(priority=rank, target=2.0) for rank in (0, 1, 30)]
    for order in (queue_policy.sort_key, queue_policy.engine_priority):
        ranked = [order(item, 0.1, 1.0) for item in (started, *in_time, late)]
        assert ranked == sorted(ranked)
        assert ranked[-1] > ranked[-2]
    assert queue_policy.engine_priority(build.terms(priority=30), 0.1, 1.0) == 9


def test_only_several_missed_targets_show_overload():
    state = missed_targets.Outcomes()
    for _ in range(40):
        missed_targets.record(state, True, 0.0)
    missed_targets.record(state, False, 0.0)
    assert missed_targets.pressure(state, 0.0) == 0.0
    for _ in range(8):
        missed_targets.record(state, False, 0.5)
    assert 0.0 < missed_targets.pressure(state, 0.5) < 1.0
    for _ in range(40):
        missed_targets.record(state, False, 0.5)
    assert missed_targets.pressure(state, 0.5) == 1.0
    assert missed_targets.pressure(state, 12.0) == 0.0


def test_a_request_is_rejected_once_waiting_cannot_help():
    late = 0.405 + queue_policy.MAX_LATE_HOLD_S
    assert decide(now=late, first_event_s=0.3, occupancy=16) == "refuse"
    assert decide(now=queue_policy.MAX_NO_SERVER_HOLD_S) == "refuse"
    assert decide(now=0.0) == "hold"


def test_a_started_stream_is_held_until_a_server_is_available():
    assert decide(now=5.0, is_started=True) == "hold"
    assert decide(now=5.0, first_event_s=0.5, occupancy=16, is_started=True) == "send"
    started, other = build.terms(is_started=True), build.terms(priority=0)
    assert queue_policy.sort_key(started, 0.1, 0.0) < queue_policy.sort_key(
        other, 0.1, 0.0
    )


def test_the_maximum_delay_is_that_of_the_kind_with_the_shortest_target():
    delay_s = queue_policy.shared_delay_s([0.406, 0.305, 0.0], SHORTEST_S)
    assert delay_s == pytest.approx(0.305 - queue_policy.NETWORK_TIME_S - SHORTEST_S)
    assert queue_policy.shared_delay_s([0.0], SHORTEST_S) == math.inf
    assert queue_policy.shared_delay_s([0.1], SHORTEST_S) == 0.0


@attrs.define
class Kind:
    target_s: float
    per_second: float
    sent: int = 0
    submitted: int = 0


SLOTS = 16
SERVICE_S = 0.3
SECONDS = 30
STEP_S = 0.01


def overload(kinds, is_shared, seed):
    """Return the share of requests of each kind that an overloaded server gets on time.

    The delay at the server grows with its occupancy, as at an engine. `is_shared`
    limits the delay to that of the kind with the shortest target.
    """
    rng = random.Random(seed)
    targets = [kind.target_s for kind in kinds]
    shared_s = (
        queue_policy.shared_delay_s(targets, SHORTEST_S) if is_shared else math.inf
    )
    running, queue = [], []
    for step in range(int(SECONDS / STEP_S)):
        now = step * STEP_S
        while running and running[0] <= now:
            heapq.heappop(running)
        for kind in kinds:
            if rng.random() < kind.per_second * STEP_S:
                kind.submitted += 1
                terms = queue_policy.Terms(
                    arrived=now,
                    target=now + kind.target_s,
                    deadline=now + 6,
                    max_delay_s=shared_s,
                )
                queue.append((terms, kind))
        queue.sort(key=lambda item: queue_policy.sort_key(item[0], SHORTEST_S, now))
        still_waiting = []
        for terms, kind in queue:
            first_s = SHORTEST_S + 0.22 * len(running) / SLOTS
            choice = best(first_s, len(running)) if len(running) < SLOTS else None
            if queue_policy.is_late(terms, SHORTEST_S, now):
                continue
            if (
                choice
                and queue_policy.decide(terms, choice, SHORTEST_S, now).value == "send"
            ):
                heapq.heappush(running, now + SERVICE_S)
                kind.sent += 1
            else:
                still_waiting.append((terms, kind))
        queue = still_waiting
    return [kind.sent / kind.submitted for kind in kinds]


@pytest.mark.parametrize("seed", range(3))
def test_requests_with_long_targets_do_not_starve_others_under_overload(seed):
    long_target, short_target = overload([Kind(0.406, 60), Kind(0.305, 30)], True, seed)
    assert short_target > 0.5 * long_target
    without_shared_delay = overload([Kind(0.406, 60), Kind(0.305, 30)], False, seed)
    assert short_target > without_shared_delay[1]


@pytest.mark.parametrize(
    ("permit_wait_s", "verdict"),
    [(0.05, queue_policy.Verdict.HOLD), (0.5, queue_policy.Verdict.REFUSE)],
)
def test_a_request_waits_only_for_a_permit_that_is_expected_in_time(
    permit_wait_s, verdict
):
    terms = build.terms(target=0.405)
    assert queue_policy.decide(terms, None, 0.1, 0.0, permit_wait_s) is verdict


def test_a_late_request_waits_for_a_permit_no_longer_than_for_a_slot():
    terms = build.terms(target=0.405)
    late = 0.5
    limit_s = 0.405 + queue_policy.MAX_LATE_HOLD_S - late
    for wait_s, verdict in (
        (limit_s - 0.01, queue_policy.Verdict.HOLD),
        (limit_s + 0.01, queue_policy.Verdict.REFUSE),
    ):
        assert queue_policy.decide(terms, None, 0.1, late, wait_s) is verdict


def test_a_started_stream_waits_for_a_permit_until_its_deadline():
    terms = build.terms(target=0.405, is_started=True)
    decided = queue_policy.decide(terms, None, 0.1, 5.0, 60.0)
    assert decided is queue_policy.Verdict.HOLD
