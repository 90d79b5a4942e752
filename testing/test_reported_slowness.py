"""Guards against predictions that miss slow servers, and against a wrong margin."""

import math

import anyio
import pytest

from carobstand.core import (
    announcements,
    calibration,
    eligibility,
    engine_load,
    exchange,
    placement,
)
from carobstand.entry import fleet as fleets
from carobstand.entry import forwarding, response_heads
from testing import platform_builders as build

SIZE = placement.Size(prompt_tokens=964, answer_tokens=119)


def rank(servers, loads, now, service):
    conditions = eligibility.Conditions(
        service="drafter",
        loads=loads,
        healths={},
        announced=announcements.Announcements(),
    )
    found = eligibility.sort_out({s.server_id: s for s in servers}, conditions, now)
    return placement.rank(
        found,
        service,
        {},
        {},
        calibration.Calibration(),
        SIZE,
        build.ENTRY_LOCATION,
        lambda: 0.5,
        lambda holding: math.inf,
        now,
    )


def best_id(choices):
    return choices[0].candidate.server.server_id


def test_a_slow_server_is_avoided_until_the_period_is_over():
    for runs_model in (True, False):
        servers = [build.registration(f"i-{n}", runs_model=runs_model) for n in (1, 2)]
        loads = engine_load.EngineLoads()
        for server in servers if runs_model else ():
            engine_load.put(loads, build.load_report(server))
        service = build.service() if runs_model else None
        engine_load.note_slowness(loads, servers[0].address, 2.5, 0.1)
        first = rank(servers, loads, 0.1, service)
        assert best_id(first) == "i-2"
        later = rank(servers, loads, 0.1 + engine_load.SLOW_PERIOD_S, service)
        assert later[0].first_event_s == later[1].first_event_s


def test_the_latest_of_report_and_response_decides():
    loads, server = engine_load.EngineLoads(), build.registration()
    engine_load.put(loads, build.load_report(server, slowness=2.5, received_at=1.0))

    def slowness(now):
        load = engine_load.fresh_load(loads, server, now)
        return engine_load.slowness(loads, server.address, load, now)

    assert slowness(1.0) == 2.5
    engine_load.note_slowness(loads, server.address, 1.0, 1.1)
    engine_load.update_from_answer(loads, server, 1, 0, 1.1)
    assert slowness(1.1) == 1.0
    assert slowness(1.4) == pytest.approx(1.75)
    report = build.load_report(server, number=2, slowness=1.2, received_at=1.5)
    engine_load.put(loads, report)
    assert slowness(1.5) == 1.2


def test_only_slowness_of_the_last_period_is_kept():
    loads = engine_load.EngineLoads()
    for number in range(1000):
        engine_load.note_slowness(loads, f"10.0.0.{number}:1", 2.0, number * 0.1)
    assert len(loads.told) < 20


@pytest.mark.parametrize("value", [None, 0, math.nan, -1.0, math.inf])
def test_an_unusable_slowness_does_not_break_predictions(value):
    slowness = engine_load.usable_slowness(value)
    assert engine_load.MIN_SLOWNESS <= slowness <= engine_load.MAX_SLOWNESS


def margins(errors_s, at=lambda number: number / 12):
    """Return the state after requests whose predictions include the correction."""
    state = calibration.Calibration()
    for number, error_s in enumerate(errors_s):
        now = at(number)
        applied = (
            calibration.service_correction_s(state, "s", now),
            calibration.correction_s(state, "s", "i-1", now),
        )
        calibration.observe(
            state, "s", "i-1", 0.1 + applied[1], 0.1 + error_s, now, applied
        )
    return state


def test_all_but_a_fifth_of_requests_stay_within_the_margin():
    state = margins([0.0, 0.0, 0.0, 0.4, 0.0] * 8)
    now = 39 / 12
    assert calibration.margin_s(state, "s", now) < 0.4
    state = margins([0.0, 0.0, 0.4] * 13)
    service_s = calibration.service_correction_s(state, "s", now)
    margin_s = calibration.margin_s(state, "s", now)
    assert margin_s + service_s == pytest.approx(0.4, abs=0.1)


def test_a_constant_error_is_corrected_and_not_counted_twice():
    state = margins([0.3] * 120, at=lambda number: number / 12)
    now = 119 / 12
    correction_s = calibration.correction_s(state, "s", "i-1", now)
    margin_s = calibration.margin_s(state, "s", now)
    assert correction_s + margin_s == pytest.approx(0.3, abs=0.05)


def test_the_margin_is_0_without_late_requests_and_decays():
    assert calibration.margin_s(calibration.Calibration(), "s", 0.0) == 0.0
    assert calibration.margin_s(margins([-0.2] * 40), "s", 40 / 12) == 0.0
    assert calibration.margin_s(margins([1.0]), "s", 0.0) == 0.0
    state = margins([0.0, 0.5] * 20)
    at = 39 / 12
    fresh_s = calibration.margin_s(state, "s", at)
    assert fresh_s > 0.2
    assert 0 < calibration.margin_s(state, "s", at + 1.0) < fresh_s
    assert calibration.margin_s(state, "s", at + calibration.MARGIN_WINDOW_S) == 0.0


def test_an_entry_keeps_the_slowness_that_a_plain_server_tells():
    fleet = fleets.Fleet(build.deployment_of("e1", "10.0.0.1"), store=None, started=0.0)
    fwd = forwarding.Forwarder(fleet)
    server = build.registration(runs_model=False)
    load = exchange.Load(running=1, waiting=0, slots=8, slowness=2.5)

    async def record(server_id):
        head = exchange.AnswerHead(status=200, server_id=server_id, load=load)
        response_heads._record_load(fwd, server, head)
        now = anyio.current_time()
        return engine_load.slowness(fwd.loads, server.address, None, now)

    assert anyio.run(record, "another server at this address") == 1.0
    assert anyio.run(record, server.server_id) == pytest.approx(2.5, abs=0.1)
