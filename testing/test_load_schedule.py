import math

import attrs

from carobstand.core import load_schedule, named_versions
from testing import weight_builders as build


def test_a_version_in_progress_is_finished_if_the_newest_still_arrives_in_time():
    outlook = build.outlook((2, 20.0), (3, 24.0), missing={2: 0.25})
    assert load_schedule.version_to_receive(outlook, 24.0) == 2


def test_the_newest_version_replaces_one_that_would_delay_it():
    outlook = build.outlook((2, 18.0), (3, 20.0), missing={2: 0.625})
    assert load_schedule.version_to_receive(outlook, 20.0) == 3


def test_without_progress_the_newest_version_is_received():
    outlook = build.outlook((2, 18.0), (3, 20.0))
    assert load_schedule.version_to_receive(outlook, 20.0) == 3


def test_a_nearly_complete_version_is_finished_after_an_outage_of_the_origin():
    # The origin was down from 20.5 to 26.5; version 1 ends at 28.3, version 2 at 30.3.
    outlook = build.outlook(
        (2, 18.0), (3, 20.0), missing={2: 0.13}, copy_s=4.6, allowed_s=10.3
    )
    for now in (20.1, 22.0, 24.8, 26.5):
        assert load_schedule.version_to_receive(outlook, now) == 2


def test_an_older_version_that_would_end_at_once_is_not_finished():
    outlook = build.outlook(
        (2, 18.0), (3, 20.0), missing={2: 0.5}, copy_s=4.6, allowed_s=10.3
    )
    assert load_schedule.version_to_receive(outlook, 28.0) == 3


def test_of_two_older_versions_the_one_that_serves_longer_is_finished():
    outlook = build.outlook(
        (2, 18.0), (3, 20.0), (4, 24.0), missing={2: 0.1, 3: 0.2}, copy_s=4.6
    )
    assert load_schedule.version_to_receive(outlook, 26.0) == 3


def test_a_complete_version_is_not_received_again():
    outlook = build.outlook((2, 18.0), (3, 20.0), complete=[2], missing={3: 0.9})
    assert load_schedule.version_to_receive(outlook, 24.0) == 3


def test_an_older_version_is_loaded_only_if_it_serves_before_the_newest():
    # Version 1 ends at 26.0 and version 2 at 28.0; a copy takes 5.2 s.
    late = build.outlook((2, 18.0), (3, 20.0), complete=[2], missing={3: 0.9})
    assert load_schedule.share_to_load(late, 2, 23.0) == 1.0
    assert load_schedule.share_to_load(late, 2, 27.6) == 0.0
    assert load_schedule.share_to_load(late, 3, 27.6) == 1.0
    early = build.outlook((2, 18.0), (3, 20.0), complete=[2], missing={3: 0.3})
    assert load_schedule.share_to_load(early, 2, 21.0) == 0.0


def test_half_of_the_engines_load_an_older_version_if_the_newest_comes_at_the_end():
    # All engines loaded version 3 at the end of version 1, and none was in service.
    outlook = build.outlook((2, 18.0), (3, 20.0), complete=[2], missing={3: 0.9})
    assert load_schedule.share_to_load(outlook, 2, 21.0) == 0.5


def test_without_named_versions_any_complete_copy_is_loaded():
    outlook = build.outlook(complete=[1], serving=None)
    assert load_schedule.share_to_load(outlook, 1, 5.0) == 1.0


def load_times(received_at, ends_at):
    servers = [f"10.0.0.{n}:80" for n in range(10)]
    return sorted(
        load_schedule.earliest_load_at(
            load_schedule.position(server, servers, 2), received_at, ends_at
        )
        for server in servers
    )


def test_loads_are_spread_between_receipt_and_the_end_of_the_served_version():
    times = load_times(received_at=105.2, ends_at=108.0)
    assert times[0] >= 105.2
    assert times[-1] <= 108.0 - load_schedule.LOAD_MARGIN_S
    assert all(b - a < 1.0 for a, b in zip(times, times[1:], strict=False))
    assert len(set(times)) == 10


def test_loads_of_late_copies_are_spread_over_the_remaining_time():
    times = load_times(received_at=107.0, ends_at=108.0)
    assert 107.0 <= times[0] < times[-1] <= 108.0 - load_schedule.LOAD_MARGIN_S
    assert set(load_times(received_at=109.0, ends_at=108.0)) == {109.0}


def test_the_served_version_ends_when_the_first_newer_one_has_been_named_for_long():
    # Loads of version 3 were spread until the end of version 2, which is not served.
    outlook = build.outlook((2, 18.0), (3, 20.0), serving=1)
    assert load_schedule.serving_ends_at(outlook) == 26.0
    named = [named_versions.SeenVersion(1, 0.0)]
    assert named_versions.begin_by(named, 1, 8.0) == math.inf


def test_an_older_version_is_not_loaded_if_its_load_may_outlast_it():
    """Requests that wait in an engine during a load begin on the loaded weights.

    In a trial, an engine that was ordered to load version 2 a second before its end
    began waiting requests on it 10 ms too late.
    """
    named = [
        named_versions.SeenVersion(2, 0.0),
        named_versions.SeenVersion(3, 2.0),
    ]
    fields = {
        "named": named,
        "serving": 1,
        "complete": [2],
        "missing": {3: 1.0},
        "copy_s": 8.0,
        "allowed_s": 10.0,
    }
    outlook = load_schedule.Outlook(**fields)
    ends_at = 12.0
    in_time = ends_at - load_schedule.MAX_LOAD_S
    assert load_schedule.share_to_load(outlook, 2, in_time) == 1.0
    assert load_schedule.share_to_load(outlook, 2, in_time + 0.1) == 0.0
    slow = load_schedule.Outlook(**fields, slowness=2.5)
    assert load_schedule.share_to_load(slow, 2, in_time) == 0.0


def test_an_engine_with_an_empty_queue_loads_an_older_version_also_near_its_end():
    """Such an engine has no request that could begin late, however long its load takes.

    Without this rule no engine had usable weights for 4.7 s of a replayed day.
    """
    named = [
        named_versions.SeenVersion(2, 0.0),
        named_versions.SeenVersion(3, 2.0),
    ]
    outlook = load_schedule.Outlook(
        named=named,
        serving=1,
        complete=[2],
        missing={3: 1.0},
        copy_s=8.0,
        allowed_s=10.0,
        waiting=0,
    )
    quiet_at = 10.0 + load_schedule.ORDER_DELAY_S
    assert load_schedule.share_to_load(outlook, 2, quiet_at) == 1.0
    assert load_schedule.share_to_load(outlook, 2, quiet_at - 0.1) == 0.0
    for waiting in (1, None):
        state = attrs.evolve(outlook, waiting=waiting)
        assert load_schedule.share_to_load(state, 2, quiet_at) == 0.0
    assert load_schedule.share_to_load(outlook, 2, 12.0 - load_schedule.LOAD_S) == 0.0


def test_engines_that_know_no_others_load_in_the_same_order_spread_over_the_window():
    # All had position 0, and none was in service while they loaded at the same time.
    servers = [f"10.0.0.{n}:80" for n in range(50)]
    alone = {s: load_schedule.position(s, None, 2) for s in servers}
    ranks = {s: load_schedule.position(s, servers, 2) for s in servers}
    assert sorted(servers, key=alone.get) == sorted(servers, key=ranks.get)
    assert max(abs(alone[s] - ranks[s]) for s in servers) < 0.25


def test_engines_that_serve_little_or_nothing_load_first():
    # Others left service in their place, while evacuated engines waited idle.
    servers = [f"10.0.0.{n}:80" for n in range(10)]
    evacuated, cold = set(servers[:3]), set(servers[3:5])
    found = {
        s: load_schedule.position(s, servers, 2, evacuated=evacuated, cold=cold)
        for s in servers
    }
    assert {found[s] for s in evacuated} == {0.0}
    order = sorted(set(servers) - evacuated, key=found.get)
    assert set(order[:2]) == cold
    assert [found[s] for s in order] == [n / 7 for n in range(7)]
