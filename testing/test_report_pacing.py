"""Guards against load reports that are late, or that overload entries."""

import attrs

from carobstand.core import engine_report, registry, report_pacing

FIRST = engine_report.EngineReport(
    holding=registry.Holding(model="m", version=1), running=4, started_ms=1000
)


def changed(**changes):
    return attrs.evolve(FIRST, **changes)


def due(
    report, now, *, loads_at=None, interval_s=0.3, min_change=2, announced_load_at=None
):
    sent = report_pacing.LastReport(FIRST, announced_load_at, 10.0)
    return report_pacing.is_due(sent, report, loads_at, interval_s, min_change, now)


def test_the_first_report_and_a_repeat_after_an_interval_are_due():
    empty = report_pacing.LastReport()
    assert report_pacing.is_due(empty, FIRST, None, 0.3, 2, 0.0)
    assert not due(FIRST, 10.4)
    assert due(FIRST, 10.0 + report_pacing.REPEAT_S)


def test_a_change_that_affects_routing_is_due_at_once():
    assert due(changed(is_busy=True), 10.0)
    assert due(changed(holding=None), 10.0)
    assert due(changed(started_ms=2000), 10.0)
    assert due(FIRST, 10.0, loads_at=11.0)
    assert due(FIRST, 10.0, announced_load_at=11.0)
    assert due(FIRST, 10.0, announced_load_at=11.0, loads_at=11.5)
    assert not due(FIRST, 10.0, announced_load_at=11.0, loads_at=11.05)


def test_a_load_is_due_after_the_interval_if_it_changed_enough():
    assert not due(changed(running=6), 10.2)
    assert due(changed(running=6), 10.31)
    assert not due(changed(running=5), 10.4)
    assert due(changed(running=5), 10.11, interval_s=0.1, min_change=1)


def test_a_change_of_speed_is_due_after_the_interval():
    slow = changed(slowness=2.5)
    assert not due(slow, 10.2)
    assert due(slow, 10.31)
    assert not due(changed(slowness=1.05), 10.4)
    sent = report_pacing.LastReport(slow, None, 10.0)
    assert report_pacing.is_due(sent, FIRST, None, 0.3, 2, 10.31)


def test_report_messages_do_not_grow_with_the_square_of_the_fleet():
    def messages_per_s(regions, engines, entries):
        """Return the reports per second to each entry while all loads change."""
        near_s = report_pacing.region_interval_s(entries)
        far_s = report_pacing.OTHER_REGION_INTERVAL_S
        return engines / near_s + engines * (regions - 1) / far_s

    # The large site has 5 regions of 12 engines and 7 entries. Without
    # per-region intervals an entry got 10 reports/s from each of the 60 engines.
    assert messages_per_s(5, 12, 7) < 0.45 * 60 * 10
