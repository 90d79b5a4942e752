"""Guards against client retries that are taken for first attempts, and vice versa."""

import random

from carobstand.core import first_attempts, queue_policy

MAX_TIMEOUT_S = 6.1


def first_deadline(rng):
    """Return the timeout of a caller's first attempt in seconds."""
    return MAX_TIMEOUT_S * rng.uniform(0.85, 1.0)


def overload_deadlines(seed, seconds=10, per_second=40, rejected_share=0.45):
    """Yield (deadline, is first attempt) for a route whose rejected callers retry."""
    rng = random.Random(seed)
    for _ in range(int(seconds * per_second)):
        deadline_s = first_deadline(rng)
        yield deadline_s, True
        if rng.random() < rejected_share:
            yield deadline_s - rng.uniform(2.0, 3.0), False


def test_client_retries_are_distinguished_from_first_attempts_with_varied_timeouts():
    for seed in range(5):
        state = first_attempts.Deadlines()
        results = [
            (first_attempts.observe(state, deadline_s) == 0.0, is_first)
            for deadline_s, is_first in overload_deadlines(seed)
        ]
        after_warmup = results[2 * first_attempts.UPDATE_INTERVAL :]
        assert all(
            is_first_estimate == is_first
            for is_first_estimate, is_first in after_warmup
        )


def test_the_time_since_the_first_attempt_is_near_the_true_one():
    rng = random.Random(1)
    state = first_attempts.Deadlines()
    for _ in range(100):
        first_attempts.observe(state, first_deadline(rng))
    for _ in range(50):
        deadline_s, elapsed_s = first_deadline(rng), rng.uniform(2.0, 3.0)
        estimated_s = first_attempts.observe(state, deadline_s - elapsed_s)
        assert abs(estimated_s - elapsed_s) < 0.15 * MAX_TIMEOUT_S


def test_one_caller_with_a_very_long_timeout_changes_nothing():
    rng = random.Random(2)
    state = first_attempts.Deadlines()
    for number in range(400):
        if number % 10 == 0:
            first_attempts.observe(state, 600.0)
        assert first_attempts.observe(state, first_deadline(rng)) == 0.0


def test_a_few_requests_are_not_enough_to_detect_client_retries():
    state = first_attempts.Deadlines()
    for deadline_s in (6.0, 2.0, 6.0, 1.0):
        assert first_attempts.observe(state, deadline_s) == 0.0


def test_a_client_retry_is_late_and_sorts_after_first_attempts():
    first = queue_policy.Terms(arrived=10.0, target=10.4, deadline=16.0)
    client_retry = queue_policy.Terms(arrived=9.9, target=7.9, deadline=13.0)
    assert queue_policy.sort_key(first, 0.05, 10.0) < queue_policy.sort_key(
        client_retry, 0.05, 10.0
    )
