"""Guards against hints taken as truth, and against a wrong account of work left."""

import math
import random
import statistics

import pytest

from carobstand.core import expected_work, outstanding, server_work
from testing import load_replay


def learned_errors(seed):
    """Return the errors of hint and expectation, as logarithms, and the state."""
    state, errors = expected_work.Learned(), []
    for req in load_replay.requests(random.Random(seed), 12.0, 40.0):
        key = load_replay.key_of(req)
        found = expected_work.expect(state, *key, req.hint, 110)
        errors.append(
            (
                abs(math.log(req.hint / req.answer)),
                abs(math.log(found.tokens / req.answer)),
                req.answer <= expected_work.quantile(found, 0.84),
                expected_work.mean_tokens(found) / req.answer,
            )
        )
        expected_work.observe(state, *key, req.hint, req.answer)
    return errors[150:], state


@pytest.mark.parametrize("seed", [1, 2])
def test_learned_lengths_are_closer_than_hints(seed):
    errors, _ = learned_errors(seed)
    hinted, expected = (statistics.median(item[i] for item in errors) for i in (0, 1))
    assert expected < 0.8 * hinted
    # 0.84 standard deviations above the median are the 80th percentile.
    assert statistics.mean(item[2] for item in errors) == pytest.approx(0.8, abs=0.07)


def test_without_answers_the_hint_or_the_usual_length_is_expected():
    state = expected_work.Learned()
    assert expected_work.expect(state, "r", "acme", None, 40, 110).tokens == 40
    assert expected_work.expect(state, "r", "acme", None, 0, 110).tokens == 110


def test_a_customer_with_few_answers_is_expected_to_be_like_its_route():
    state = expected_work.Learned()
    for _ in range(200):
        expected_work.observe(state, "r", "acme", None, 0, 100)
    expected_work.observe(state, "r", "new", None, 0, 1000)
    one = expected_work.expect(state, "r", "new", None, 0, 110).tokens
    for _ in range(30):
        expected_work.observe(state, "r", "new", None, 0, 1000)
    many = expected_work.expect(state, "r", "new", None, 0, 110).tokens
    assert 100 < one < 200
    assert many > 600


def test_the_maximum_of_a_request_bounds_its_expected_length():
    assert expected_work.mean_tokens(expected_work.Expected(100, 0.5), 80) == 80


def test_memory_for_customers_and_parts_is_bounded():
    state = expected_work.Learned()
    for number in range(3 * expected_work.MAX_GROUPS):
        expected_work.observe(state, "r", "acme", number, 0, 100)
    assert len(state.groups) == expected_work.MAX_GROUPS
    assert ("customer", "r", "acme") in state.groups


def test_the_account_of_work_is_empty_after_all_requests_ended():
    rng, state, open_requests = random.Random(3), outstanding.Outstanding(), []
    for number in range(400):
        outstanding.begin(state, number, 900, 0.0, rng.uniform(1, 300))
        open_requests.append(number)
        chosen = rng.choice(open_requests)
        if rng.random() < 0.7:
            outstanding.answer_started(state, chosen)
        for _ in range(rng.randrange(5)):
            server_work.record_written(state.work, chosen, 7)
        if rng.random() < 0.6:
            open_requests.remove(chosen)
            outstanding.end(state, chosen, 1.0)
        items = state.work.items.values()
        assert state.work.to_read == sum(item.to_read for item in items)
        left = [server_work.remaining_tokens(i.expected, i.written) for i in items]
        assert state.work.to_write == pytest.approx(sum(left))
    for number in open_requests:
        outstanding.end(state, number, 1.0)
    assert (state.work.to_read, state.work.to_write) == (0, 0.0)


def test_work_left_follows_the_events_and_stays_positive_beyond_expectation():
    state = outstanding.Outstanding()
    outstanding.begin(state, "a", 900, 0.0, 70)
    assert server_work.write_ratio(state.work, 4, 70) == 1.0
    server_work.record_written(state.work, "a", 63)
    assert server_work.write_ratio(state.work, 4, 70) < 1.0
    server_work.record_written(state.work, "a", 140)
    assert state.work.to_write > 0
