"""Tests of placement, latency prediction and the load that entries record."""

import math

import pytest

from carobstand.core import (
    announcements,
    calibration,
    eligibility,
    engine_load,
    health,
    latency_model,
    outstanding,
    placement,
    value_density,
)
from testing import platform_builders as build

SIZE = placement.Size(prompt_tokens=964, answer_tokens=119)


def ranked(
    servers,
    loads=(),
    in_progress=None,
    healths=None,
    size=SIZE,
    location=build.ENTRY_LOCATION,
    excluded=(),
    start_deadline=lambda holding: math.inf,
    prediction_errors=None,
    announced=None,
    now=0.0,
):
    """Return the ids of the servers that may take a request, best first."""
    loads_by_server = engine_load.EngineLoads()
    for item in loads:
        engine_load.put(loads_by_server, item)
    healths = healths or {}
    announced = announced or announcements.Announcements()
    by_id = {server.server_id: server for server in servers}
    conditions = eligibility.Conditions(
        service="drafter",
        loads=loads_by_server,
        healths=healths,
        announced=announced,
        tried=set(excluded),
    )
    candidates = eligibility.sort_out(by_id, conditions, now)
    choices = placement.rank(
        candidates,
        build.service(),
        in_progress or {},
        healths,
        prediction_errors or calibration.Calibration(),
        size,
        location,
        lambda: 0.5,
        start_deadline,
        now,
    )
    return [choice.candidate.server.server_id for choice in choices]


def engines(count):
    return [build.registration(f"i-{n}") for n in range(1, count + 1)]


def test_the_server_with_most_free_slots_is_preferred():
    servers = engines(3)
    running = (14, 3, 9)
    loads = [
        build.load_report(s, running=n) for s, n in zip(servers, running, strict=True)
    ]
    assert ranked(servers, loads) == ["i-2", "i-3", "i-1"]


def test_own_attempts_that_no_report_includes_yet_count():
    servers = engines(2)
    loads = [
        build.load_report(servers[0], running=2),
        build.load_report(servers[1], running=6),
    ]
    outstanding_attempts = outstanding.Outstanding()
    for number in range(12):
        outstanding.begin(outstanding_attempts, number, 964, 0.01)
    assert ranked(servers, loads, {"i-1": outstanding_attempts}, now=0.05)[0] == "i-2"


def test_unread_prompts_at_an_empty_engine_count():
    servers = engines(2)
    loads = [build.load_report(servers[0]), build.load_report(servers[1], running=8)]
    unread = outstanding.Outstanding()
    for number in range(8):
        outstanding.begin(unread, number, 3000, 0.0)
    assert ranked(servers, loads, {"i-1": unread})[0] == "i-2"


def test_another_region_is_used_once_its_predicted_time_is_clearly_shorter():
    near = build.registration("i-1")
    far = build.registration("i-2", failure_domain="b")
    equal_loads = [
        build.load_report(near, running=2),
        build.load_report(far, running=2),
    ]
    assert ranked([near, far], equal_loads)[0] == "i-1"
    near_is_busy = [
        build.load_report(near, running=20),
        build.load_report(far, running=2),
    ]
    assert ranked([near, far], near_is_busy)[0] == "i-2"


def test_servers_without_weights_or_busy_or_not_ready_or_excluded_are_not_ranked():
    empty = build.registration("i-1", holding=None)
    loading, draining = build.registration("i-2"), build.registration("i-3")
    loads = [build.load_report(loading, is_busy=True)]
    servers = [empty, loading, build.registration("i-3", is_ready=False)]
    assert ranked(servers, loads) == []
    assert ranked([draining], excluded=["i-3"]) == []


def test_servers_whose_weights_may_start_no_more_requests_are_left_out():
    servers = engines(1)
    assert ranked(servers, start_deadline=lambda holding: 5.0, now=4.0) == ["i-1"]
    assert ranked(servers, start_deadline=lambda holding: 5.0, now=5.0) == []


def test_a_rejecting_server_is_left_out_and_a_failing_one_is_used_if_alone():
    servers = engines(2)
    rejecting, failing = health.ServerHealth(), health.ServerHealth()
    health.refused(rejecting, 0.0, 1000)
    assert ranked(servers, healths={"i-1": rejecting}) == ["i-2"]
    for _ in range(health.LOSSES_BEFORE_PAUSE):
        health.lost(failing, 0.0, 1000)
    assert ranked(servers, healths={"i-1": failing}) == ["i-2"]
    assert ranked(servers[:1], healths={"i-1": failing}) == ["i-1"]


@pytest.mark.parametrize(("now", "started_ms"), [(0.0, 2000), (8.0, 1000)])
def test_a_server_that_lost_a_request_is_preferred_again_with_time_or_a_restart(
    now, started_ms
):
    """Guards against a restarted server that idles for as long as another one does."""
    servers = [
        build.registration("i-1", started_ms=started_ms),
        build.registration("i-2"),
    ]
    state, busy = health.ServerHealth(), outstanding.Outstanding()
    health.lost(state, 0.0, 1000)
    outstanding.begin(busy, "call", 964, now)
    healths, in_progress = {"i-1": state}, {"i-2": busy}
    assert ranked(servers, (), in_progress, healths, now=now)[0] == "i-1"
    before = [build.registration("i-1"), servers[1]]
    assert ranked(before, (), in_progress, healths, now=0.1)[0] == "i-2"


def test_an_engine_about_to_load_gets_only_requests_that_end_before():
    servers = engines(2)
    loads = [
        build.load_report(servers[0], running=1, next_load_at=0.5),
        build.load_report(servers[1], running=9),
    ]
    assert ranked(servers, loads)[0] == "i-2"
    assert ranked(servers, loads, size=placement.Size(100, 6))[0] == "i-1"


def test_a_report_counts_only_while_it_is_fresh_and_of_the_same_start():
    loads = engine_load.EngineLoads()
    server = build.registration()
    assert engine_load.put(loads, build.load_report(server, number=5))
    assert not engine_load.put(loads, build.load_report(server, number=4))
    assert engine_load.fresh_load(loads, server, 1.0)
    assert (
        engine_load.fresh_load(loads, server, engine_load.MAX_REPORT_AGE_S + 0.1)
        is None
    )
    restarted = build.registration(started_ms=2000)
    assert engine_load.fresh_load(loads, restarted, 1.0) is None


def test_an_answer_updates_a_report_but_creates_none():
    loads, server = engine_load.EngineLoads(), build.registration()
    engine_load.update_from_answer(loads, server, 7, 0, 1.0)
    assert engine_load.fresh_load(loads, server, 1.0) is None
    engine_load.put(loads, build.load_report(server))
    engine_load.update_from_answer(loads, server, 7, 1, 1.0)
    load = engine_load.fresh_load(loads, server, 2.0)
    assert (load.running, load.waiting, load.received_at) == (7, 1, 1.0)


def test_a_full_engine_adds_a_wait_and_a_slow_one_a_longer_wait():
    free = latency_model.predict(build.LATENCY_MODEL, 3, 0, 964)
    full = latency_model.predict(build.LATENCY_MODEL, 18, 0, 964)
    slow = latency_model.predict(build.LATENCY_MODEL, 18, 0, 964, slowness=2.0)
    assert free.wait_s == 0.0
    assert full.wait_s == pytest.approx(
        3 * latency_model.slot_interval_s(build.LATENCY_MODEL)
    )
    assert slow.wait_s == pytest.approx(2 * full.wait_s)


def test_an_idle_engine_reads_many_prompts_in_several_passes():
    first_s = [
        latency_model.predict(build.LATENCY_MODEL, 0, unread, 964).first_event_s
        for unread in (0, 4000, 16000)
    ]
    assert first_s == sorted(first_s)
    assert first_s[2] - first_s[0] > 16000 / build.LATENCY_MODEL.prefill_tokens_per_s


def test_attempts_that_ended_after_the_report_free_their_slots():
    state = outstanding.Outstanding()
    for number in range(5):
        outstanding.begin(state, number, 100, 0.0)
    load = build.load_report(build.registration(), running=5, received_at=1.0)
    assert outstanding.occupancy(state, load, 0) == 5
    for number in range(3):
        outstanding.end(state, number, 1.1)
    assert outstanding.occupancy(state, load, 0) == 2


def test_without_a_report_other_entries_are_assumed_to_send_as_much():
    state = outstanding.Outstanding()
    outstanding.begin(state, "a", 100, 0.0)
    assert outstanding.occupancy(state, None, 4) == 5


def test_predictions_for_a_server_with_unreported_slowness_are_corrected():
    state = calibration.Calibration()
    for number in range(40):
        now = number * 0.1
        for server_id, actual_s in (("i-1", 0.1), ("i-2", 0.1), ("i-3", 0.5)):
            correction_s = calibration.correction_s(state, "drafter", server_id, now)
            calibration.observe(
                state, "drafter", server_id, 0.1 + correction_s, actual_s, now
            )
    assert calibration.correction_s(state, "drafter", "i-3", 4.0) > 0.25
    assert calibration.correction_s(state, "drafter", "i-1", 4.0) < 0.1
    assert calibration.correction_s(state, "drafter", "i-3", 60.0) < 0.05


def test_requests_with_more_value_per_engine_time_go_first_within_bounds():
    means = value_density.RouteMeans()
    for _ in range(200):
        value_density.advance(means, build.LATENCY_MODEL, 964, 119)
    short = value_density.advance(means, build.LATENCY_MODEL, 964, 20)
    long = value_density.advance(means, build.LATENCY_MODEL, 964, 600)
    assert -value_density.MAX_ADVANCE <= long < 0 < short <= value_density.MAX_ADVANCE


def test_requests_that_arrive_late_at_an_engine_stop_earlier_before_its_version_ends():
    """Guards against a request that begins on outdated weights after a full link."""
    servers, errors_seen = engines(2), calibration.Calibration()
    loads = [build.load_report(server, running=2) for server in servers]
    for _ in range(20):
        calibration.observe(errors_seen, "drafter", "i-1", 0.1, 0.4, 10.0)

    def allowed(now):
        return ranked(
            servers[:1],
            loads[:1],
            start_deadline=lambda holding: 10.5,
            prediction_errors=errors_seen,
            now=now,
        )

    assert allowed(10.05) == ["i-1"]
    assert allowed(10.3) == []


def test_no_request_crosses_a_full_link_just_before_the_version_of_its_engine_ends():
    """Guards against a request that begins on outdated weights in another region."""
    near = build.registration("i-1")
    far = build.registration("i-2", failure_domain="b")

    def allowed(now):
        return set(ranked([near, far], start_deadline=lambda holding: 10.5, now=now))

    assert allowed(10.0) == {"i-1", "i-2"}
    assert allowed(10.2) == {"i-1"}
