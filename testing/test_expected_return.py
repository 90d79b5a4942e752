"""Tests of when engines that load weights are expected to serve again.

Guards against callers that are sent back to a service of which no engine serves yet.
"""

from carobstand.core import engine_load, expected_return
from testing import platform_builders as build

SERVERS = [build.registration(f"i-{number}") for number in (1, 2, 3)]


def expected_s(*changes, may_begin=lambda holding: False):
    loads = engine_load.EngineLoads()
    for server, fields in zip(SERVERS, changes, strict=False):
        engine_load.put(loads, build.load_report(server, received_at=1.0, **fields))
    return expected_return.expected_s(loads, SERVERS, may_begin, 1.0)


def test_callers_return_when_the_first_load_is_over():
    assert expected_s({"next_load_at": 4.0}, {"next_load_at": 3.0}) == 2.5
    assert expected_s({"next_load_at": 4.0}, {"is_busy": True}) == 1.0


def test_nothing_is_expected_while_an_engine_serves_or_no_load_is_known():
    assert expected_s({"next_load_at": 4.0}, may_begin=lambda holding: True) == 0.0
    assert expected_s({"holding": None}, {}) == 0.0
    assert expected_s() == 0.0
