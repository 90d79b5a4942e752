import random

from carobstand.core import first_attempts, queue_policy

PATIENCE_S = 6.1


def first_deadline(draw):
    """Return how long a caller waits for its first attempt."""
    return PATIENCE_S * draw.uniform(0.85, 1.0)


def overloaded(seed, seconds=10, a_second=40, refused=0.45):
    """Yield (deadline, is first attempt) of a route whose refused callers return."""
    draw = random.Random(seed)
    for _ in range(int(seconds * a_second)):
        deadline_s = first_deadline(draw)
        yield deadline_s, True
        if draw.random() < refused:
            yield deadline_s - draw.uniform(2.0, 3.0), False


def test_returns_are_told_from_first_attempts_with_patience_of_their_own():
    for seed in range(5):
        state = first_attempts.Deadlines()
        results = [
            (first_attempts.observe(state, deadline_s) == 0.0, is_first)
            for deadline_s, is_first in overloaded(seed)
        ]
        settled = results[2 * first_attempts.UPDATE_INTERVAL :]
        assert all(found == is_first for found, is_first in settled)


def test_the_time_since_the_first_attempt_is_near_the_true_one():
    draw = random.Random(1)
    state = first_attempts.Deadlines()
    for _ in range(100):
        first_attempts.observe(state, first_deadline(draw))
    for _ in range(50):
        deadline_s, waited_s = first_deadline(draw), draw.uniform(2.0, 3.0)
        found = first_attempts.observe(state, deadline_s - waited_s)
        assert abs(found - waited_s) < 0.15 * PATIENCE_S


def test_one_caller_with_endless_patience_changes_nothing():
    draw = random.Random(2)
    state = first_attempts.Deadlines()
    for number in range(400):
        if number % 10 == 0:
            first_attempts.observe(state, 600.0)
        assert first_attempts.observe(state, first_deadline(draw)) == 0.0


def test_nothing_is_told_from_a_few_requests():
    state = first_attempts.Deadlines()
    for deadline_s in (6.0, 2.0, 6.0, 1.0):
        assert first_attempts.observe(state, deadline_s) == 0.0


def test_a_return_is_late_and_goes_after_first_attempts():
    first = queue_policy.Terms(arrived=10.0, target=10.4, deadline=16.0)
    returned = queue_policy.Terms(arrived=9.9, target=7.9, deadline=13.0)
    assert queue_policy.sort_key(first, 0.05, 10.0) < queue_policy.sort_key(
        returned, 0.05, 10.0
    )
