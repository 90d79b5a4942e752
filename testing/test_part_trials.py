"""Guards against proper requests that are denied for a part that crashes no server."""

import itertools
import math

import anyio
import pytest

from carobstand.core import part_ids, part_state, part_trials, poison_parts
from carobstand.entry import rejections
from carobstand.standin.platform import engine
from testing import part_traffic, platform_fleet, trial_builders

P, Q = part_ids.digest("p"), part_ids.digest("q")
ALLOWED_SHARE, ALLOWED = 1 / 500, 5
"""Proper requests that may be ended with a 4xx, by the rule DENIED."""


def suspended(*parts, crashes=2):
    """Return a state with unproven convictions at time 10 for some crashes each."""
    state = part_state.PoisonParts()
    for part in parts:
        for number in range(crashes):
            trial_builders.lose(state, part, number, 9.0 + 0.3 * number)
    for part in parts:
        names = {trial_builders.crash(number) for number in range(crashes)}
        poison_parts.add_conviction(state, part, 10.0, names, is_proven=False)
    return state


def fail_trial(state, part, number, now, unknown=(), is_rare=False):
    """Send a trial of a part whose server crashes; return whether that is proof."""
    tried = part_trials.begin(state, (part,), "entry-1", now)
    part_trials.record_sent(state, tried)
    trial_builders.lose(state, part, number, now)
    part_trials.end(state, tried, "entry-1", now)
    unknown = frozenset({part, *unknown})
    return part_trials.record_failure(state, part, unknown, is_rare, now)


def test_two_crashes_and_two_failed_trials_prove_a_conviction():
    """Two crashes alone were taken for a proof."""
    state = part_state.PoisonParts()
    trial_builders.lose(state, P, 1, 10.0)
    trial_builders.lose(state, P, 2, 10.5)
    assert poison_parts.convict(state, 10.6) == [P]
    assert poison_parts.proven_part(state, (P,)) is None
    assert not fail_trial(state, P, 3, 20.0)
    assert fail_trial(state, P, 4, 21.0)
    assert poison_parts.proven_part(state, (Q, P)) == P


def test_one_failed_trial_proves_the_conviction_of_a_rare_part():
    """Each further trial of a deadly part ended a server that callers needed."""
    state = suspended(P)
    assert fail_trial(state, P, 3, 20.0, is_rare=True)


@pytest.mark.parametrize(
    ("count", "size", "is_rare"), [(1, 31, False), (6, 32, True), (7, 32, False)]
)
def test_a_part_is_rare_by_the_last_requests(count, size, is_rare):
    sample = [(P, Q)] * count + [(Q,)] * (size - count)
    assert part_trials.is_rare(P, sample) == is_rare


def test_a_rare_part_is_tried_once_crashed_servers_are_back():
    """Trials of a deadly part ended servers while others had not come back."""
    state = suspended(P)
    sample = [(P, Q)] + [(Q,)] * part_trials.MIN_SAMPLE
    last = max(state.crashes.values())
    assert part_trials.is_due(state, (P,), [], 10.1)
    assert not part_trials.is_due(state, (P,), sample, 10.1)
    assert part_trials.is_due(state, (P,), sample, last + part_trials.RARE_CALM_S)


def test_a_trial_fails_only_while_no_other_server_crashes():
    """Servers that crash one after the other by themselves proved a sound part."""
    state = suspended(P)
    for number in range(6):
        now = 20.0 + number
        trial_builders.lose(state, Q, 100 + number, now - 0.5)
        assert not fail_trial(state, P, 10 + number, now)
    assert poison_parts.proven_part(state, (P,)) is None


def test_a_trial_proves_nothing_against_one_of_two_unknown_parts():
    """A sound part that trials shared with the deadly one was proven instead."""
    state = suspended(P)
    assert not fail_trial(state, P, 10, 20.0, unknown=(Q,))
    assert not fail_trial(state, P, 11, 21.0, unknown=(Q,))
    assert fail_trial(state, P, 12, 22.0)


def test_one_request_at_a_time_is_a_trial():
    """A deadly part that all callers send would end several servers at once."""
    state = suspended(P)
    assert part_trials.is_due(state, (P,), (), 10.1)
    tried = part_trials.begin(state, (P, Q), "entry-1", 10.1)
    assert tried == (P,)
    assert not part_trials.is_due(state, (P,), (), 10.2)
    part_trials.end(state, tried, "entry-1", 10.5)
    assert not part_trials.is_due(state, (P,), (), 10.6)
    assert part_trials.is_due(state, (P,), (), 10.5 + part_trials.TRIAL_GAP_S)


@pytest.mark.parametrize("is_calm", [True, False])
def test_few_trials_follow_the_fifth_crash(is_calm):
    """The users allow three requests with a deadly part after its fifth crash."""
    state = suspended(P, crashes=part_trials.FREE_CRASHES)
    sent = 0
    numbers = itertools.count(100)
    for tick in range(40_000):
        now = 10.0 + 0.05 * tick
        if not is_calm and now < 100.0:
            trial_builders.lose(state, Q, next(numbers), now)
        if poison_parts.proven_part(state, (P,)):
            if poison_parts.may_probe(state, (P,), now):
                poison_parts.record_probe(state, (P,), now)
                sent += 1
        elif part_trials.is_due(state, (P,), (), now):
            fail_trial(state, P, next(numbers), now)
            sent += 1
    assert 2 <= sent <= poison_parts.MAX_LATE_REQUESTS


def test_a_late_trial_waits_until_other_crashes_are_over():
    state = suspended(P, crashes=part_trials.FREE_CRASHES)
    trial_builders.lose(state, Q, 100, 12.0)
    assert not part_trials.is_due(state, (P,), (), 12.0 + part_trials.CALM_S - 0.1)
    assert part_trials.is_due(state, (P,), (), 12.0 + part_trials.CALM_S)


def test_a_request_with_several_unproven_parts_is_a_trial_a_little_later():
    state = suspended(P, Q)
    assert not part_trials.is_due(state, (P, Q), (), 10.5)
    assert part_trials.is_due(state, (P,), (), 10.5)
    assert part_trials.is_due(state, (P, Q), (), 10.0 + part_trials.JOINT_DELAY_S)


def test_evidence_that_a_cleared_part_seemed_to_explain_counts_again():
    """The deadly part had to crash two more servers once a sound one was cleared."""
    state = part_state.PoisonParts()
    for number in range(3):
        trial_builders.lose(state, Q, number, 10.0 + number)
        trial_builders.lose(state, P, number, 10.0 + number)
    assert len(poison_parts.convict(state, 13.0)) == 1
    [first] = state.convicted
    other = P if first == Q else Q
    poison_parts.record_answer(state, [first], 14.0)
    assert poison_parts.convict(state, 14.0) == [other]


def test_a_proven_part_lifts_the_suspicion_that_its_crashes_raised():
    state = suspended(P, Q)
    fail_trial(state, P, 10, 20.0)
    assert fail_trial(state, P, 11, 21.0)
    assert set(state.convicted) == {P}


def test_of_two_trials_announced_at_once_one_takes_place():
    def precedes(vm, other):
        return vm < other

    first, second = suspended(P), suspended(P)
    for state, vm, other in ((first, "a", "b"), (second, "b", "a")):
        part_trials.begin(state, (P,), vm, 10.1)
        part_trials.note_other(
            state.convicted[P], part_trials.Trial(other, 10.1), precedes
        )
    assert part_trials.is_own(first, (P,), (P,), "a")
    assert not part_trials.is_own(second, (P,), (P,), "b")


def test_a_trial_of_an_entry_that_ended_blocks_others_for_a_while_only():
    state = suspended(P)
    trial = part_trials.Trial("gone", 10.1)
    part_trials.note_other(state.convicted[P], trial, lambda vm, other: True)
    assert not part_trials.is_due(state, (P,), (), 12.0)
    assert part_trials.is_due(state, (P,), (), 10.1 + part_trials.MAX_DURATION_S)


def test_a_part_that_others_convicted_is_settled_by_trials_here():
    state = part_state.PoisonParts()
    poison_parts.add_conviction(state, P, 10.0, is_proven=False, known_crashes=7)
    assert part_state.crash_count(state.convicted[P]) == 7
    poison_parts.add_conviction(state, P, 11.0, is_proven=True)
    assert poison_parts.proven_part(state, (P,)) == P
    assert poison_parts.sound_at(state, P) == -math.inf


@pytest.mark.parametrize("entries", [1, 3])
def test_engines_that_crash_by_themselves_deny_no_request(entries):
    """A part without an answer yet was denied for a minute after two crashes."""

    async def scenario():
        async with trial_builders.fleet_of_engines(entries, slow_s=0.6) as fleet:
            traffic = part_traffic.Traffic(list(fleet.entries))
            async with anyio.create_task_group() as tg:
                for number in range(24):
                    entry = traffic.entries[number % entries]
                    parts = ("0e1", f"b{number:x}")
                    tg.start_soon(part_traffic.send_one, fleet, traffic, entry, parts)
                await anyio.sleep(0.25)
                for ended in list(fleet.engines.values())[:2]:
                    engine.crash(ended)
                    await anyio.sleep(0.25)
            trial_builders.set_step_s(fleet, 0.01)
            start = anyio.current_time()
            while anyio.current_time() < start + 5.0:
                entry = traffic.entries[len(traffic.sent) % entries]
                parts = ("0e1", f"c{len(traffic.sent):x}")
                await part_traffic.send_one(fleet, traffic, entry, parts)
                await anyio.sleep(0.05)
            check_denied(traffic)
            later = [item for item in traffic.sent if item.at > start + 2.0]
            assert len(later) >= 20
            assert all(item.status == 200 for item in later)

    platform_fleet.run(scenario, timeout_s=40.0)


def test_a_series_of_crashes_at_the_start_denies_no_request():
    """No part has an answer at the start, and each was seen in several crashes."""

    async def scenario():
        async with trial_builders.fleet_of_engines(3, slow_s=2.0) as fleet:
            traffic = part_traffic.Traffic(list(fleet.entries), deadly_share=0.0)
            async with anyio.create_task_group() as tg:
                tg.start_soon(part_traffic.send, fleet, traffic, 12.0)
                for number in range(20):
                    await anyio.sleep(0.2)
                    engines = list(fleet.engines.values())
                    engine.crash(engines[number % len(engines)])
                trial_builders.set_step_s(fleet, 0.01)
            check_denied(traffic)
            last = traffic.sent[-1].at
            later = [item for item in traffic.sent if item.at > last - 1.0]
            assert sum(item.status == 200 for item in later) >= 0.9 * len(later)

    platform_fleet.run(scenario, timeout_s=40.0)


def check_denied(traffic):
    denied = [item for item in traffic.sent if item.status == rejections.POISON_STATUS]
    assert len(denied) <= ALLOWED + ALLOWED_SHARE * len(traffic.sent)
    told = [item for item in traffic.sent if item.status == 503]
    assert all(float(item.headers["retry-after"]) > 0 for item in told)
