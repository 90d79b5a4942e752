"""Guards against refused requests while the whole share moves to a new version."""

from carobstand.core import routing


def test_the_old_version_answers_until_the_new_one_is_served():
    weights = {"v1": 0.0, "v2": 1.0}
    assert routing.choose_version(weights, {"v1"}, "", "f") == "v1"
    assert routing.choose_version(weights, {"v1", "v2"}, "", "f") == "v2"


def test_a_service_without_any_share_gets_no_requests():
    assert routing.choose_version({"v1": 0.0}, {"v1"}, "", "f") is None


def test_a_version_whose_row_was_replaced_answers_until_its_successor_is_served():
    assert routing.choose_version({"v2": 1.0}, {"v1"}, "", "f") == "v1"


def test_a_version_that_the_caller_names_is_never_replaced_by_another():
    assert routing.choose_version({"v2": 1.0}, {"v1"}, "v2", "f") is None


def test_a_service_that_no_backend_server_serves_yet_gets_no_requests():
    assert routing.choose_version({"v2": 1.0}, set(), "", "f") is None


def test_a_started_answer_continues_where_its_replaced_version_lingers():
    """Without it a stream is cut whose backend server failed in a version change."""
    lingers = routing.Candidate("a", frozenset({"v2"}), retiring=frozenset({"v1"}))
    changed = routing.Candidate("b", frozenset({"v2"}))
    found = routing.find_homes([lingers, changed], "v1", "p", "f", started=True)
    assert found.by_prefix is lingers


def test_a_new_request_never_goes_to_a_version_that_only_lingers():
    lingers = routing.Candidate("a", frozenset({"v2"}), retiring=frozenset({"v1"}))
    assert routing.find_homes([lingers], "v1", "p", "f").by_prefix is None


def test_the_last_home_of_a_request_is_asked_again_after_an_attempt_that_stalled():
    """Without it a started answer waits for its deadline and is cut."""
    found = [routing.Candidate(name, frozenset({"v1"})) for name in ("a", "b", "c")]
    before = routing.find_homes(found, "v1", "p", "f", failed_on={"a"})
    used = {"a", before.by_prefix.vm}
    after = routing.find_homes(found, "v1", "p", "f", used=used, failed_on={"a"})
    assert after.by_prefix is before.by_prefix
