"""Guards against rejected requests while all traffic moves to a new version."""

from carobstand.core import routing


def test_the_old_version_is_used_until_the_new_one_is_served():
    weights = {"v1": 0.0, "v2": 1.0}
    assert routing.choose_version(weights, {"v1"}, "", "f") == "v1"
    assert routing.choose_version(weights, {"v1", "v2"}, "", "f") == "v2"


def test_a_service_without_any_share_gets_no_requests():
    assert routing.choose_version({"v1": 0.0}, {"v1"}, "", "f") is None


def test_a_version_whose_row_was_replaced_is_used_until_its_successor_is_served():
    assert routing.choose_version({"v2": 1.0}, {"v1"}, "", "f") == "v1"


def test_a_version_that_the_caller_names_is_never_replaced_by_another():
    assert routing.choose_version({"v2": 1.0}, {"v1"}, "v2", "f") is None


def test_a_service_that_no_backend_server_serves_yet_gets_no_requests():
    assert routing.choose_version({"v2": 1.0}, set(), "", "f") is None


def test_a_started_answer_continues_where_its_replaced_version_is_retiring():
    """Otherwise a stream is cut if its backend server fails in a version change."""
    with_old_version = routing.Candidate(
        "a", frozenset({"v2"}), retiring=frozenset({"v1"})
    )
    without_old_version = routing.Candidate("b", frozenset({"v2"}))
    homes = routing.find_homes(
        [with_old_version, without_old_version], "v1", "p", "f", started=True
    )
    assert homes.by_prefix is with_old_version


def test_a_new_request_never_goes_to_a_retiring_version():
    with_old_version = routing.Candidate(
        "a", frozenset({"v2"}), retiring=frozenset({"v1"})
    )
    assert routing.find_homes([with_old_version], "v1", "p", "f").by_prefix is None


def test_the_last_home_of_a_request_is_used_again_after_a_stalled_attempt():
    """Otherwise a started answer waits until its deadline and is cut."""
    candidates = [
        routing.Candidate(name, frozenset({"v1"})) for name in ("a", "b", "c")
    ]
    before = routing.find_homes(candidates, "v1", "p", "f", failed_on={"a"})
    used = {"a", before.by_prefix.vm}
    after = routing.find_homes(candidates, "v1", "p", "f", used=used, failed_on={"a"})
    assert after.by_prefix is before.by_prefix
