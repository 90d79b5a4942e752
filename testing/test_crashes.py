"""Guards against poison requests that crash server after server."""

from carobstand.core import crashes


def lose_run(state, fingerprint, address, started_ms, now=0.0, restarted_ms=None):
    """Record a lost run; a server with `restarted_ms` has restarted at that time."""
    crashes.record_lost(state, fingerprint, address, started_ms, now)
    starts = {address: restarted_ms or started_ms}
    return crashes.count_confirmed(
        state, lambda server_address: starts.get(server_address, 0), now + 1.0
    )


def test_a_request_that_crashed_three_servers_is_refused():
    state = crashes.Crashes()
    for number in range(3):
        assert not crashes.is_poison(state, b"f", 1.0)
        assert lose_run(state, b"f", f"10.0.0.{number}:80", 100, restarted_ms=200)
    assert crashes.is_poison(state, b"f", 1.0)
    assert not crashes.is_poison(state, b"g", 1.0)


def test_crashes_of_one_server_count_once_for_each_start():
    state = crashes.Crashes()
    for started_ms in (100, 200, 300):
        lose_run(state, b"f", "10.0.0.1:80", started_ms, restarted_ms=started_ms + 100)
    assert crashes.is_poison(state, b"f", 1.0)


def test_runs_lost_by_a_server_that_did_not_restart_do_not_count():
    state = crashes.Crashes()
    for number in range(5):
        assert not lose_run(state, b"f", f"10.0.0.{number}:80", 100)
    assert not crashes.is_poison(state, b"f", 1.0)
    late = crashes.MAX_RESTART_S + 0.1
    assert not crashes.count_confirmed(state, lambda server_address: 100, late)
    assert not state.lost


def test_a_crash_reported_by_several_entries_counts_once():
    state = crashes.Crashes()
    assert crashes.add(state, b"f", "10.0.0.1:80/100", 0.0)
    assert not crashes.add(state, b"f", "10.0.0.1:80/100", 0.0)
    assert not lose_run(state, b"f", "10.0.0.1:80", 100, restarted_ms=200)


def test_a_request_that_ran_beside_a_poison_request_is_cleared_by_its_answer():
    state = crashes.Crashes()
    lose_run(state, b"f", "10.0.0.1:80", 100, restarted_ms=200)
    lose_run(state, b"f", "10.0.0.2:80", 100, restarted_ms=200)
    crashes.clear_answered(state, b"f")
    for number in range(3, 9):
        lose_run(state, b"f", f"10.0.0.{number}:80", 100, restarted_ms=200)
    assert not crashes.is_poison(state, b"f", 1.0)


def test_a_run_lost_by_a_server_with_an_unknown_start_is_not_recorded():
    state = crashes.Crashes()
    crashes.record_lost(state, b"f", "10.0.0.1:80", 0, 0.0)
    assert not state.lost


def test_the_numbers_of_lost_runs_and_cleared_requests_are_bounded():
    state = crashes.Crashes()
    for number in range(crashes.MAX_LOST + 10):
        crashes.record_lost(state, b"%d" % number, "10.0.0.1:80", 100, 0.0)
    assert len(state.lost) == crashes.MAX_LOST
    for number in range(crashes.MAX_CLEARED + 10):
        crashes.add(state, b"%d" % number, "10.0.0.1:80/1", 0.0)
        crashes.clear_answered(state, b"%d" % number)
    assert len(state.cleared) == crashes.MAX_CLEARED
