"""Prediction, placing, and what entries remember of servers."""

import math

import pytest

from carobstand.core import (
    announcements,
    calibration,
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
    place=build.ENTRY_LOCATION,
    excluded=(),
    begin_by=lambda holding: math.inf,
    errors_seen=None,
    said=None,
    now=0.0,
):
    """Return the ids of servers in the order in which they are preferred."""
    known = engine_load.EngineLoads()
    for item in loads:
        engine_load.put(known, item)
    healths = healths or {}
    said = said or announcements.Announcements()
    by_id = {server.server_id: server for server in servers}
    found = placement.candidates(
        by_id, known, healths, said, "drafter", set(excluded), now
    )
    choices = placement.rank(
        found,
        build.service(),
        in_progress or {},
        healths,
        errors_seen or calibration.Calibration(),
        size,
        place,
        lambda: 0.5,
        begin_by,
        now,
    )
    return [choice.candidate.server.server_id for choice in choices]


def engines(count):
    return [build.registration(f"i-{n}") for n in range(1, count + 1)]


def test_the_server_with_most_room_is_preferred():
    servers = engines(3)
    running = (14, 3, 9)
    loads = [build.load(s, running=n) for s, n in zip(servers, running, strict=True)]
    assert ranked(servers, loads) == ["i-2", "i-3", "i-1"]


def test_own_sends_count_that_no_report_can_show_yet():
    servers = engines(2)
    loads = [build.load(servers[0], running=2), build.load(servers[1], running=6)]
    busy = outstanding.Outstanding()
    for number in range(12):
        outstanding.begin(busy, number, 964, 0.01)
    assert ranked(servers, loads, {"i-1": busy}, now=0.05)[0] == "i-2"


def test_unread_prompts_at_an_empty_engine_count():
    servers = engines(2)
    loads = [build.load(servers[0]), build.load(servers[1], running=8)]
    reading = outstanding.Outstanding()
    for number in range(8):
        outstanding.begin(reading, number, 3000, 0.0)
    assert ranked(servers, loads, {"i-1": reading})[0] == "i-2"


def test_another_region_is_used_once_it_is_clearly_earlier():
    near = build.registration("i-1")
    far = build.registration("i-2", failure_domain="b")
    same = [build.load(near, running=2), build.load(far, running=2)]
    assert ranked([near, far], same)[0] == "i-1"
    busy = [build.load(near, running=20), build.load(far, running=2)]
    assert ranked([near, far], busy)[0] == "i-2"


def test_servers_without_weights_or_in_an_order_are_no_candidates():
    empty = build.registration("i-1", holding=None)
    ordered, draining = build.registration("i-2"), build.registration("i-3")
    loads = [build.load(ordered, is_busy=True)]
    servers = [empty, ordered, build.registration("i-3", is_ready=False)]
    assert ranked(servers, loads) == []
    assert ranked([draining], excluded=["i-3"]) == []


def test_weights_that_may_begin_nothing_any_more_are_left_out():
    servers = engines(1)
    assert ranked(servers, begin_by=lambda holding: 5.0, now=4.0) == ["i-1"]
    assert ranked(servers, begin_by=lambda holding: 5.0, now=5.0) == []


def test_a_server_that_refuses_is_left_out_and_one_that_loses_comes_last():
    servers = engines(2)
    refusing, losing = health.ServerHealth(), health.ServerHealth()
    health.refused(refusing, 0.0, 1000)
    assert ranked(servers, healths={"i-1": refusing}) == ["i-2"]
    for _ in range(health.LOSSES_BEFORE_PAUSE):
        health.lost(losing, 0.0, 1000)
    assert ranked(servers, healths={"i-1": losing}) == ["i-2"]
    assert ranked(servers[:1], healths={"i-1": losing}) == ["i-1"]


def test_an_engine_that_is_about_to_load_gets_what_ends_before():
    servers = engines(2)
    loads = [
        build.load(servers[0], running=1, next_load_at=0.5),
        build.load(servers[1], running=9),
    ]
    assert ranked(servers, loads)[0] == "i-2"
    assert ranked(servers, loads, size=placement.Size(100, 6))[0] == "i-1"


def test_a_report_counts_only_while_it_is_fresh_and_of_the_same_start():
    known = engine_load.EngineLoads()
    server = build.registration()
    assert engine_load.put(known, build.load(server, number=5))
    assert not engine_load.put(known, build.load(server, number=4))
    assert engine_load.fresh_load(known, server, 1.0)
    assert (
        engine_load.fresh_load(known, server, engine_load.MAX_REPORT_AGE_S + 0.1)
        is None
    )
    again = build.registration(started_ms=2000)
    assert engine_load.fresh_load(known, again, 1.0) is None


def test_an_answer_refreshes_a_report_but_makes_none():
    known, server = engine_load.EngineLoads(), build.registration()
    engine_load.update_from_answer(known, server, 7, 0, 1.0)
    assert engine_load.fresh_load(known, server, 1.0) is None
    engine_load.put(known, build.load(server))
    engine_load.update_from_answer(known, server, 7, 1, 1.0)
    found = engine_load.fresh_load(known, server, 2.0)
    assert (found.running, found.waiting, found.received_at) == (7, 1, 1.0)


def test_a_full_engine_makes_wait_and_a_slow_one_longer():
    free = latency_model.predict(build.LATENCY_MODEL, 3, 0, 964)
    full = latency_model.predict(build.LATENCY_MODEL, 18, 0, 964)
    slow = latency_model.predict(build.LATENCY_MODEL, 18, 0, 964, slowness=2.0)
    assert free.wait_s == 0.0
    assert full.wait_s == pytest.approx(
        3 * latency_model.slot_interval_s(build.LATENCY_MODEL)
    )
    assert slow.wait_s == pytest.approx(2 * full.wait_s)


def test_an_idle_engine_reads_many_prompts_only_pass_by_pass():
    first_s = [
        latency_model.predict(build.LATENCY_MODEL, 0, unread, 964).first_event_s
        for unread in (0, 4000, 16000)
    ]
    assert first_s == sorted(first_s)
    assert first_s[2] - first_s[0] > 16000 / build.LATENCY_MODEL.prefill_tokens_per_s


def test_ends_that_a_report_cannot_show_make_room():
    state = outstanding.Outstanding()
    for number in range(5):
        outstanding.begin(state, number, 100, 0.0)
    load = build.load(build.registration(), running=5, received_at=1.0)
    assert outstanding.occupancy(state, load, 0) == 5
    for number in range(3):
        outstanding.end(state, number, 1.1)
    assert outstanding.occupancy(state, load, 0) == 2


def test_without_a_report_other_entries_are_taken_to_be_alike():
    state = outstanding.Outstanding()
    outstanding.begin(state, "a", 100, 0.0)
    assert outstanding.occupancy(state, None, 4) == 5


def test_predictions_of_a_server_that_is_slow_unannounced_are_corrected():
    state = calibration.Calibration()
    for number in range(40):
        now = number * 0.1
        for server_id, actual_s in (("i-1", 0.1), ("i-2", 0.1), ("i-3", 0.5)):
            found = calibration.correction_s(state, "drafter", server_id, now)
            calibration.observe(state, "drafter", server_id, 0.1 + found, actual_s, now)
    assert calibration.correction_s(state, "drafter", "i-3", 4.0) > 0.25
    assert calibration.correction_s(state, "drafter", "i-1", 4.0) < 0.1
    assert calibration.correction_s(state, "drafter", "i-3", 60.0) < 0.05


def test_what_gives_most_for_an_engines_time_goes_first_within_bounds():
    sizes = value_density.RouteMeans()
    for _ in range(200):
        value_density.advance(sizes, build.LATENCY_MODEL, 964, 119)
    short = value_density.advance(sizes, build.LATENCY_MODEL, 964, 20)
    long = value_density.advance(sizes, build.LATENCY_MODEL, 964, 600)
    assert -value_density.MAX_ADVANCE <= long < 0 < short <= value_density.MAX_ADVANCE
