import pytest

from carobstand.core import health, retry_budget
from testing import platform_builders as build


def test_retries_stay_within_the_ratio_and_an_equal_share_of_the_slack():
    bounds = build.bounds(retry_ratio=0.2, retry_slack=100.0, retry_window_s=10.0)
    budget = retry_budget.Budget(started=-100.0)
    for n in range(200):
        retry_budget.count_request(budget, bounds, n * 0.04)
    allowed = sum(retry_budget.withdraw(budget, bounds, 5, 9.0) for _ in range(200))
    assert 0 < allowed <= 0.2 * 200 + 100 / 5


def test_all_entries_together_stay_within_the_budget_in_every_window():
    bounds = build.bounds(retry_ratio=0.2, retry_slack=106.0, retry_window_s=10.0)
    budgets = [retry_budget.Budget(started=-100.0) for _ in range(5)]
    sent, requested = [], []
    for step in range(3000):
        now = step * 0.01
        for budget in budgets:
            if step % 10 == 0:
                retry_budget.count_request(budget, bounds, now)
                requested.append(now)
            if retry_budget.withdraw(budget, bounds, 5, now):
                sent.append(now)
    for start in range(0, 20):
        retries = sum(start <= at < start + 10 for at in sent)
        requests = sum(start <= at < start + 10 for at in requested)
        assert retries <= 0.2 * requests + 106


def test_a_restarted_process_has_little_slack_until_earlier_retries_no_longer_count():
    """Processes that were killed several times in a window used the slack each time."""
    bounds = build.bounds(retry_slack=100.0, retry_window_s=10.0)
    budget = retry_budget.Budget(started=0.0)
    times = [0.0, 0.5, 5.0] + [9.9] * 200
    early = sum(retry_budget.withdraw(budget, bounds, 1, now) for now in times)
    assert 0 < early <= 100 / 25
    later = sum(retry_budget.withdraw(budget, bounds, 1, 10.0) for _ in range(200))
    assert early < later <= 100 * retry_budget.SAFETY_FACTOR


@pytest.mark.parametrize("wait_s", [0.1, 3.0, 6.0])
def test_retries_that_wait_before_they_are_sent_stay_within_the_budget(wait_s):
    """They counted when reserved, and arrived with those of a later window."""
    bounds = build.bounds(retry_ratio=0.2, retry_slack=100.0, retry_window_s=10.0)
    budget = retry_budget.Budget(started=-100.0)
    waiting, sent = [], []
    for step in range(600):
        now = step * 0.1
        # The first ones wait; the later ones are sent at once.
        delay_s = wait_s if now < wait_s else 0.0
        while retry_budget.withdraw(budget, bounds, 1, now):
            waiting.append((now + delay_s, now))
        due = [item for item in waiting if item[0] <= now]
        waiting = [item for item in waiting if item[0] > now]
        for _, reserved_at in due:
            retry_budget.record_sent(budget, bounds, reserved_at, now)
            sent.append(now)
    for start in sent:
        assert sum(start <= at < start + 10.0 for at in sent) <= 100


def test_retries_of_an_older_window_no_longer_count():
    bounds = build.bounds(retry_slack=10.0, retry_window_s=10.0)
    budget = retry_budget.Budget(started=-100.0)
    while retry_budget.withdraw(budget, bounds, 1, 0.0):
        pass
    assert not retry_budget.withdraw(budget, bounds, 1, 9.0)
    assert retry_budget.withdraw(budget, bounds, 1, 11.5)


def test_a_server_that_rejects_requests_is_avoided_for_growing_pauses():
    state = health.ServerHealth()
    pauses, now = [], 0.0
    for _ in range(6):
        health.refused(state, now)
        assert health.is_avoided(state, now)
        pauses.append(state.avoid_until - now)
        now = state.avoid_until
        assert not health.is_avoided(state, now)
    assert pauses == sorted(pauses)
    assert pauses[-1] == health.PAUSE_MAX_S


def test_a_complete_response_ends_the_pause_of_a_server():
    state = health.ServerHealth()
    health.refused(state, 0.0)
    health.answered(state)
    assert not health.is_avoided(state, 0.0)
    health.refused(state, 0.0)
    assert state.pause_s == health.PAUSE_MIN_S


def test_a_restarted_server_is_not_avoided_for_earlier_rejections():
    state = health.ServerHealth()
    health.refused(state, 0.0, started_ms=1000)
    assert health.is_avoided(state, 0.1, started_ms=1000)
    assert not health.is_avoided(state, 0.1, started_ms=2000)


def test_one_lost_request_penalizes_a_server_and_two_in_a_row_avoid_it():
    state = health.ServerHealth()
    health.lost(state, 0.0)
    assert not health.is_avoided(state, 0.0)
    assert health.penalty_s(state, 0.0) > 0
    health.lost(state, 0.0)
    assert health.is_avoided(state, 0.0)


def test_the_share_of_failed_requests_decays_with_responses():
    state = health.ServerHealth()
    for _ in range(10):
        health.lost(state, 0.0)
    worst = health.penalty_s(state, 0.0)
    for _ in range(10):
        health.answered(state)
    assert health.penalty_s(state, 0.0) < worst / 5


def test_the_share_of_failed_requests_fades_and_ends_with_a_restart():
    """Guards against a restarted server that stays idle beside an idle other one."""
    state = health.ServerHealth()
    health.lost(state, 10.0, started_ms=1000)
    first = health.penalty_s(state, 10.0, 1000)
    assert health.penalty_s(state, 16.0, 1000) < 0.01 < first
    assert health.penalty_s(state, 10.1, 2000) == 0
    health.lost(state, 10.2, started_ms=2000)
    assert health.penalty_s(state, 10.2, 2000) == pytest.approx(first)
