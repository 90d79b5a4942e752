"""Tests of the reasons for which a server is no candidate.

Guards against a rejection that does not say which condition left no server, and against
requests that wait though no server will ever take them.
"""

import pytest

from carobstand.core import announcements, eligibility, engine_load, health
from testing import platform_builders as build

Reason = eligibility.Reason


def sort_out(servers, now=1.0, loads=(), **changes):
    by_address = engine_load.EngineLoads()
    for item in loads:
        engine_load.put(by_address, item)
    fields = {
        "service": "drafter",
        "loads": by_address,
        "healths": {},
        "announced": announcements.Announcements(),
        "regions": {"a": "north", "b": "south"},
    }
    conditions = eligibility.Conditions(**{**fields, **changes})
    by_id = {server.server_id: server for server in servers}
    return eligibility.sort_out(by_id, conditions, now)


def announced(**changes):
    return announcements.Announcements(
        {"i-1": announcements.Announcement(1000, **changes)}
    )


def refusing():
    state = health.ServerHealth()
    health.refused(state, 1.0, 1000)
    return {"i-1": state}


SERVER = build.registration("i-1")


@pytest.mark.parametrize(
    ("reason", "server", "changes"),
    [
        (Reason.DRAINING, build.registration("i-1", is_ready=False), {}),
        (Reason.ALREADY_TRIED, SERVER, {"tried": {"i-1"}}),
        (Reason.OUTSIDE_REGIONS, SERVER, {"permitted_regions": frozenset({"south"})}),
        (Reason.OUTSIDE_REGIONS, SERVER, {"permitted_regions": frozenset()}),
        (Reason.EVACUATED, SERVER, {"evacuated": {"a"}}),
        (Reason.LEAVING, SERVER, {"announced": announced(is_leaving=True)}),
        (Reason.PAUSED, SERVER, {"announced": announced(paused_until=2.0)}),
        (Reason.NO_WEIGHTS, build.registration("i-1", holding=None), {}),
        (
            Reason.LOADING,
            SERVER,
            {"loads": [build.load_report(SERVER, is_busy=True, received_at=1.0)]},
        ),
        (Reason.REFUSING, SERVER, {"healths": refusing()}),
        (Reason.NO_MEMORY, SERVER, {"lacks_memory": lambda server: True}),
        (Reason.TOO_LARGE, SERVER, {"is_too_large": True}),
        (Reason.COLD, SERVER, {"withholds": lambda server_id: Reason.COLD}),
    ],
)
def test_each_condition_names_its_reason(reason, server, changes):
    result = sort_out([server, build.registration("i-2", service="desk")], **changes)
    assert result.excluded == {"i-1": reason}
    assert not result.usable


def test_a_permit_is_asked_for_only_if_nothing_else_excludes_the_server():
    asked = []
    sort_out([SERVER], withholds=asked.append, evacuated={"a"})
    assert not asked
    sort_out([SERVER], withholds=asked.append)
    assert asked == ["i-1"]


def test_a_request_is_hopeless_only_if_waiting_helps_at_no_server():
    final, passing = Reason.OUTSIDE_REGIONS, Reason.LOADING
    assert eligibility.is_hopeless({"i-1": final, "i-2": Reason.EVACUATED})
    assert not eligibility.is_hopeless({"i-1": final, "i-2": passing})
    assert not eligibility.is_hopeless({})
    outdated = {"i-1": final, "i-2": Reason.OUTDATED_WEIGHTS}
    assert eligibility.is_exhausted(outdated) and not eligibility.is_hopeless(outdated)
    assert not eligibility.is_exhausted({**outdated, "i-3": passing})
    assert eligibility.count_reasons({"i-1": final, "i-2": final}) == {final.value: 2}
