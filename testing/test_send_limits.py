from carobstand.core import send_limits


def count_sends(outcomes, max_runs):
    """Return the sends and runs of a request with these outcomes (True: a run)."""
    sends, runs = 0, 0
    for is_run in outcomes:
        sends, runs = sends + 1, runs + is_run
        if not send_limits.may_send_again(sends, runs, max_runs):
            break
    return sends, runs


def test_rejections_use_up_no_attempts_of_a_request_that_may_have_run():
    """Guards against unbounded sends, more runs than allowed, and lost responses."""
    assert count_sends([True, False, True], 2) == (3, 2)
    assert count_sends([True, *[False] * 9], 2) == (4, 1)
    assert count_sends([True, *[True] * 9], 2) == (2, 2)
    assert count_sends([True, False], 1) == (1, 1)
    assert count_sends([False] * 9, 2) == (2, 0)
