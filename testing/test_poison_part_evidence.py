"""Guards against wrong and missing convictions of requests and prompt parts."""

import itertools
import random

import pytest

from carobstand.core import part_ids, part_state, poison_parts
from testing import trial_builders

P, Q = part_ids.digest("p"), part_ids.digest("q")


def lose_request(state, whole, times, begun=0, first=0, address=None):
    """Record that a request was lost at crashes, with an answer in the last ones."""
    for number, at in enumerate(times):
        has_begun = number >= len(times) - begun
        request = part_ids.run_begun(whole) if has_begun else whole
        name = trial_builders.crash(first + number, address)
        poison_parts.add_sighting(state, whole, name, request, at, at)


REQUEST = part_ids.whole(b"/o/x", b"acme", b"body")
FELLOW = part_ids.whole(b"/o/x", b"acme", b"other")


@pytest.mark.parametrize(
    ("times", "begun", "address", "is_convicted"),
    [
        ((10.0, 11.0, 12.0), 0, None, True),
        ((10.0, 11.0, 12.0), 0, "10.0.0.1:80", True),
        ((10.0, 11.0), 0, None, False),
        ((10.0, 10.02, 10.04), 0, None, False),
        ((10.0, 11.0, 12.0, 13.0), 2, None, False),
        ((10.0, 11.0, 12.0, 13.0, 14.0), 5, None, True),
    ],
)
def test_a_request_is_convicted_by_crashes_at_several_moments(
    times, begun, address, is_convicted
):
    state = part_state.PoisonParts()
    for _ in range(2):
        lose_request(state, REQUEST, times, begun, address=address)
    assert poison_parts.convict(state, 15.0) == [REQUEST] * is_convicted


def test_an_answered_request_is_convicted_by_a_longer_series_of_later_crashes_only():
    state = part_state.PoisonParts()
    lose_request(state, REQUEST, (10.0, 11.0))
    assert poison_parts.record_answer(state, [REQUEST], 11.5) == [REQUEST]
    lose_request(state, REQUEST, [12.0 + 0.2 * number for number in range(6)], first=2)
    assert poison_parts.convict(state, 13.5) == []
    lose_request(state, REQUEST, (14.0,), first=9)
    assert poison_parts.convict(state, 14.5) == [REQUEST]


def test_a_request_beside_one_that_crashes_servers_is_not_convicted():
    state = part_state.PoisonParts()
    lose_request(state, FELLOW, (10.0, 11.0, 12.0))
    lose_request(state, REQUEST, (10.0, 11.0, 12.0, 13.0))
    (
        trial_builders.lose(state, P, 0, 10.0),
        trial_builders.lose(state, P, 1, 11.0, request="r0"),
    )
    assert poison_parts.convict(state, 13.2) == [REQUEST]
    lose_request(state, FELLOW, (10.0, 11.0, 12.0, 13.0))
    assert poison_parts.convict(state, 13.4) == []
    assert not state.suspects


def test_requests_that_cannot_be_told_apart_are_convicted_together():
    state = part_state.PoisonParts()
    for request in (REQUEST, FELLOW):
        lose_request(state, request, (10.0, 11.0, 12.0))
    assert set(poison_parts.convict(state, 12.2)) == {REQUEST, FELLOW}


def test_two_requests_at_two_crashes_convict_a_part_without_an_answer():
    state = part_state.PoisonParts()
    trial_builders.lose(state, P, 1, 10.0)
    assert poison_parts.convict(state, 10.2) == []
    trial_builders.lose(state, P, 2, 11.0)
    assert poison_parts.convict(state, 11.2) == [P]
    assert poison_parts.convicted_part(state, (Q, P), 12.0) == P
    assert poison_parts.convicted_part(state, (Q,), 12.0) is None


def test_one_request_that_comes_again_does_not_convict_the_parts_that_it_shares():
    state = part_state.PoisonParts()
    for number in range(7):
        trial_builders.lose(state, P, number, 10.0 + number, request="same")
    assert poison_parts.convict(state, 20.0) == []


def test_servers_that_end_at_one_moment_do_not_convict_a_part():
    state = part_state.PoisonParts()
    for number in range(3):
        trial_builders.lose(state, P, number, 10.0 + 0.01 * number)
    assert poison_parts.convict(state, 10.2) == []


def test_one_server_that_crashes_by_turns_does_not_convict_a_part_at_once():
    state = part_state.PoisonParts()
    for number in range(3):
        trial_builders.lose(state, P, number, 10.0 + number, address="10.0.0.1:80")
    assert poison_parts.convict(state, 13.0) == []


def test_a_part_that_crashes_all_servers_at_once_is_convicted():
    state = part_state.PoisonParts()
    for number in range(poison_parts.MIN_CRASHES):
        trial_builders.lose(state, P, number, 10.0 + 0.01 * number)
    assert poison_parts.convict(state, 10.2) == [P]


def test_a_part_in_every_crash_is_cleared_by_an_answer_in_between():
    state = part_state.PoisonParts()
    for number in range(8):
        trial_builders.lose(state, Q, number, 10.0 + number)
        poison_parts.record_answer(state, [Q], 10.5 + number)
        assert poison_parts.convict(state, 10.6 + number) == []


def test_a_part_that_was_answered_before_and_is_deadly_now_is_convicted_by_five():
    state = part_state.PoisonParts()
    poison_parts.record_answer(state, [P], 9.0)
    for number in range(5):
        trial_builders.lose(state, P, number, 10.0 + number)
    assert poison_parts.convict(state, 15.0) == [P]


def test_a_sound_part_beside_the_deadly_one_is_not_convicted():
    state = part_state.PoisonParts()
    poison_parts.record_answer(state, [Q], 9.9)
    for number in range(2):
        trial_builders.lose(state, P, number, 10.0 + number)
        trial_builders.lose(state, Q, number, 10.0 + number)
    assert poison_parts.convict(state, 12.0) == [P]
    for number in range(2, 9):
        trial_builders.lose(state, Q, number, 10.0 + number)
        trial_builders.lose(state, P, number, 10.0 + number)
    assert Q not in poison_parts.convict(state, 20.0)


def test_crashes_that_a_convicted_part_explains_do_not_count_for_others():
    state = part_state.PoisonParts()
    for number in range(3):
        trial_builders.lose(state, P, number, 10.0 + number)
    trial_builders.lose(state, Q, 1, 11.0, request="q1")
    assert poison_parts.convict(state, 13.0) == [P]
    trial_builders.lose(state, Q, 2, 12.0, request="q2")
    trial_builders.lose(state, Q, 0, 10.0, request="q3")
    assert poison_parts.convict(state, 13.0) == []
    assert Q not in state.suspects


def test_an_answer_undoes_a_wrong_conviction_and_its_evidence():
    state = part_state.PoisonParts()
    for number in range(2):
        trial_builders.lose(state, P, number, 10.0 + number)
    poison_parts.convict(state, 12.0)
    assert poison_parts.record_answer(state, [P], 13.0) == [P]
    assert poison_parts.convicted_part(state, (P,), 13.0) is None
    assert not poison_parts.add_conviction(state, P, 12.0)
    assert not trial_builders.lose(state, P, 1, 11.0)


def test_convictions_are_probed_a_few_times_only():
    state = part_state.PoisonParts()
    poison_parts.add_conviction(state, P, 10.0)
    sent = 0
    for now in itertools.takewhile(lambda now: now < 5000, itertools.count(10)):
        if poison_parts.may_probe(state, (P,), now):
            poison_parts.record_probe(state, (P,), now)
            sent += 1
    assert sent == len(poison_parts.PROBE_DELAYS_S) == 2
    poison_parts.add_conviction(state, Q, 10.0)
    assert not poison_parts.may_probe(state, (P, Q), 1e6)


def test_convictions_that_nobody_asks_for_are_dropped():
    state = part_state.PoisonParts()
    poison_parts.add_conviction(state, P, 0.0)
    late = poison_parts.CONVICTION_S + 1
    assert poison_parts.convicted_part(state, (P,), late - 2) == P
    assert poison_parts.drop_expired(state, late) == []
    assert poison_parts.drop_expired(state, 2 * late) == [P]


def test_a_flood_of_parts_drops_neither_evidence_nor_convictions():
    state = part_state.PoisonParts()
    poison_parts.add_conviction(state, Q, 1.0)
    trial_builders.lose(state, P, 1, 2.0)
    trial_builders.lose(state, P, 2, 3.0)
    for number in range(2 * poison_parts.MAX_SUSPECTS):
        trial_builders.lose(state, part_ids.digest(f"x{number}"), 3, 4.0)
    for number in range(2 * poison_parts.MAX_SOUND):
        poison_parts.record_answer(state, [part_ids.digest(f"y{number}")], 5.0)
    assert len(state.suspects) <= poison_parts.MAX_SUSPECTS
    assert len(state.sound_at) <= poison_parts.MAX_SOUND
    assert poison_parts.convict(state, 6.0)[0] == P
    assert poison_parts.convicted_part(state, (Q,), 6.0) == Q


def test_the_last_part_of_a_prompt_is_no_suspect():
    assert part_ids.shareable(("a", "b", "c")) == (
        part_ids.digest("a"),
        part_ids.digest("b"),
    )
    assert part_ids.shareable(("a",)) == part_ids.shareable(()) == ()


@pytest.mark.parametrize("seed", range(50))
def test_any_order_of_the_same_evidence_convicts_the_deadly_part_alone(seed):
    rng = random.Random(seed)
    innocent = [part_ids.digest(f"i{number}") for number in range(5)]
    news = []
    for number in range(5):
        at = 10.0 + number * rng.uniform(0.2, 3.0)
        for part in (P, *rng.sample(innocent, 2)):
            news.append(("lost", part, number, at))
        news += [("answer", part, number, at + 0.15) for part in innocent]
    rng.shuffle(news)
    state = part_state.PoisonParts()
    for kind, part, number, at in news:
        if kind == "lost":
            trial_builders.lose(state, part, number, at)
        else:
            poison_parts.record_answer(state, [part], at)
    assert poison_parts.convict(state, 40.0) == [P]
    assert set(state.convicted) == {P}
