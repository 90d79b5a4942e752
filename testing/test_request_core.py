"""Guards against wrong decisions in admission, routing, retries and attempts."""

import collections

import pytest

from carobstand import errors
from carobstand.core import (
    admission,
    attempts,
    claims,
    events,
    request_state,
    requests,
    retries,
    routing,
    suspects,
)


def ticket(number, customer="acme", weight=1.0, priority=0, now=0.0):
    return admission.Ticket(str(number), customer, "s", weight, priority, 1.0, now, 99)


def submit(state, item, now=0.0, rate=None, in_flight=None, queue=None):
    return admission.submit(state, item, rate, in_flight, queue, now)


def serve(state, count, seconds=0.1, now=0.0):
    """Admit and complete `count` requests of `seconds` each; return the end time."""
    for number in range(count):
        submit(state, ticket(f"warm{number}"), now)
        admitted = admission.admit_next(state, "s", lambda t: True, now)
        now += seconds
        admission.release(state, admitted, now)
    return now


def test_a_burst_after_an_idle_time_is_not_rejected_while_slots_are_free():
    state = admission.Admission()
    now = serve(state, 5) + 30
    for number in range(12):
        assert submit(state, ticket(number), now) == []
        assert admission.admit_next(state, "s", lambda t: True, now)


def test_a_request_that_cannot_be_served_in_time_is_rejected_at_once():
    state = admission.Admission()
    now = serve(state, 10, seconds=0.5)
    for number in range(2):
        submit(state, ticket(number), now)
        admission.admit_next(state, "s", lambda t: True, now)
    refusals = []
    for number in range(2, 10):
        refusals += submit(state, ticket(number), now)
    assert {item.cause for item in refusals} == {admission.RefusalCause.TOO_LONG}
    assert len(refusals) == 6
    assert all(item.retry_after_s > 0.6 for item in refusals)


def test_a_small_customer_is_served_before_the_backlog_of_a_large_one():
    state = admission.Admission()
    for number in range(20):
        submit(state, ticket(number, "large"))
    submit(state, ticket("small", "small"))
    order = []
    while item := admission.admit_next(state, "s", lambda t: True, 0.0):
        order.append(item.request_id)
    assert order.index("small") <= 1


def test_requests_that_overtake_a_blocked_one_do_not_delay_another_customer():
    state = admission.Admission()
    submit(state, ticket("blocked", "small"))
    for number in range(20):
        submit(state, ticket(number, "large"))
    for _ in range(15):
        item = admission.admit_next(state, "s", lambda t: t.customer != "small", 0.0)
        assert item.customer == "large"
    submit(state, ticket("late", "other"))
    assert admission.admit_next(state, "s", lambda t: t.customer != "small", 0.0)
    assert [item.customer for item in state.queues["s"].waiting].count("other") == 0


def test_shares_follow_the_weights():
    state = admission.Admission()
    for number in range(40):
        submit(state, ticket(number, "heavy", weight=3.0))
        submit(state, ticket(number, "light", weight=1.0))
    admitted_counts = collections.Counter(
        admission.admit_next(state, "s", lambda t: True, 0.0).customer
        for _ in range(40)
    )
    assert 28 <= admitted_counts["heavy"] <= 32


def test_a_full_queue_sheds_low_priority_first():
    state = admission.Admission()
    for number in range(3):
        submit(state, ticket(number, priority=1), queue=3)
    refused = submit(state, ticket("vip", "bolt", priority=5), queue=3)
    assert [item.ticket.priority for item in refused] == [1]


def test_the_rate_limit_is_divided_by_demand():
    state = admission.Admission()
    for number in range(10):
        submit(state, ticket(number), 0.1 * number)
    admission.set_shares(state, {"acme": 3 * 5.0}, 0, 1.0)
    share = state.customers["acme"].share
    local_rate = admission.rate_now(state.customers["acme"].demand, 1.0)
    assert share == pytest.approx(local_rate / (local_rate + 15))
    refused = [
        item
        for number in range(100)
        for item in submit(state, ticket(f"n{number}"), 1.0 + number / 100, rate=10)
    ]
    assert {item.cause for item in refused} == {admission.RefusalCause.RATE}
    assert 100 - len(refused) <= 2 * 10 * share + 2


def test_a_started_answer_is_not_shed_and_waits_until_its_deadline():
    state = admission.Admission()
    started = ticket("started")
    submit(state, started)
    assert admission.admit_next(state, "s", lambda t: True, 0.0) is started
    started.protected = True
    admission.requeue(state, started, True, 1.0)
    refused = [
        item for number in range(9) for item in submit(state, ticket(number), queue=2)
    ]
    assert started not in [item.ticket for item in refused]
    late = admission.expire(state, "s", 50.0)
    assert started not in [item.ticket for item in late]
    assert [item.ticket for item in admission.expire(state, "s", 99.0)] == [started]


def test_counts_return_to_zero_however_requests_end():
    state = admission.Admission()
    items = [ticket(number) for number in range(6)]
    for item in items:
        submit(state, item, in_flight=100)
    first = admission.admit_next(state, "s", lambda t: True, 0.0)
    admission.requeue(state, first, False, 0.1)
    admission.admit_next(state, "s", lambda t: True, 0.2)
    admission.expire(state, "s", 5.0)
    for item in items:
        admission.release(state, item, 6.0)
    assert state.customers["acme"].in_flight == 0
    assert state.queues["s"].in_flight == 0


def servers(count, **changes):
    return [
        routing.Candidate(f"vm-{number}", frozenset(["v1"]), limit=4, **changes)
        for number in range(count)
    ]


def test_all_copies_of_a_request_have_the_same_two_homes():
    for number in range(50):
        reached = set()
        for order in range(3):
            pool = servers(9)
            pool = pool[order:] + pool[:order]
            for _ in range(8):
                homes = routing.find_homes(pool, "v1", "p", f"f{number}")
                chosen = routing.pick(homes, 0.0)
                routing.take(chosen)
                reached.add(chosen.vm)
        assert len(reached) == 2


def test_a_request_never_moves_to_a_third_server_without_a_suspect_check():
    pool = servers(9)
    homes = routing.find_homes(pool, "v1", "p", "f")
    for home in (homes.by_prefix, homes.by_fingerprint):
        home.failed = True
    after = routing.find_homes(pool, "v1", "p", "f")
    assert after.needs_suspect_check
    assert after.by_prefix not in (homes.by_prefix, homes.by_fingerprint)


def test_after_one_failure_every_entry_finds_the_same_last_home():
    for number in range(40):
        homes = routing.find_homes(servers(6), "v1", "p", f"f{number}")
        last_homes = set()
        for down in range(6):
            pool = servers(6)
            pool[down].failed = True
            pool[-1 - down].usable = False
            homes_after_failure = routing.find_homes(
                pool, "v1", "p", f"f{number}", failed_on={homes.by_prefix.vm}
            )
            last_homes.add(
                homes_after_failure.by_prefix.vm
                if homes_after_failure.by_prefix
                else None
            )
        assert last_homes <= {homes.by_fingerprint.vm, None}


def test_a_popular_prefix_spreads_over_all_servers():
    pool = servers(8, weight=1.0)
    for candidate in pool:
        candidate.limit = 100
    for number in range(400):
        homes = routing.find_homes(pool, "v1", "popular", f"f{number}")
        routing.take(routing.pick(homes, 0.0))
    assert max(c.own_in_flight for c in pool) <= 2.5 * min(
        c.own_in_flight for c in pool
    )


def test_traffic_shares_follow_weights_and_ignore_versions_without_a_server():
    weights = {"v1": 3.0, "v2": 1.0, "v3": 96.0}
    served = {"v1", "v2"}
    version_counts = collections.Counter(
        routing.choose_version(weights, served, "", f"f{number}")
        for number in range(4000)
    )
    assert set(version_counts) == served
    assert version_counts["v1"] == pytest.approx(3000, rel=0.05)
    assert routing.choose_version(weights, served, "v3", "f") is None


def test_at_most_half_of_the_servers_are_ejected():
    healths = {f"vm-{number}": retries.Health() for number in range(5)}
    for health in healths.values():
        for second in range(20):
            retries.failed(health, float(second))
    assert len(retries.ejected(healths, 20.0)) == 2


def test_the_breaker_opens_and_one_probe_closes_it():
    health = retries.Health()
    for second in range(5):
        retries.failed(health, float(second))
    assert retries.ejection_score(health, 4.5) > 0
    retries.started(health, 6.0)
    assert retries.ejection_score(health, 6.0) > 0
    retries.succeeded(health, 6.1)
    assert retries.ejection_score(health, 6.1) == 0


def test_retries_stay_within_a_tenth_of_the_requests():
    budget = retries.Budget()
    retries_made = 0
    for _ in range(1000):
        retries.deposit(budget)
        retries_made += retries.withdraw(budget)
    assert retries_made <= 1000 * retries.BUDGET_SHARE + retries.BUDGET_START


def test_failures_are_counted_once_however_many_entries_report_them():
    state = suspects.Suspects()
    for _ in range(5):
        suspects.add(state, "f", [suspects.failure_id("vm-1", "a", 0)], 0.0)
    assert not suspects.is_refused(state, "f", 0.0)
    suspects.add(state, "f", [suspects.failure_id("vm-2", "b", 0)], 0.0)
    assert suspects.is_refused(state, "f", 1.0)
    assert not suspects.is_refused(state, "f", suspects.LIFETIME_S + 1)


def call(idempotent=False):
    return request_state.Request(idempotent, "d", "e1", False, retries.Budget())


def test_a_non_idempotent_attempt_is_not_sent_without_its_claim():
    req = call()
    requests.begin(req)
    requests.step(req, events.ClaimRead(None))
    requests.step(req, events.Placed(1, "vm", "a", ""))
    with pytest.raises(errors.InvariantError):
        request_state.send(req, 1)


def test_a_call_that_may_have_run_is_never_reported_as_not_run():
    req = call()
    requests.begin(req)
    requests.step(req, events.ClaimRead(None))
    requests.step(req, events.Placed(1, "vm", "a", ""))
    requests.step(req, events.ClaimWritten(7))
    (rejection,) = [
        effect
        for effect in requests.step(
            req, events.AttemptEnded(1, attempts.Outcome.UNKNOWN)
        )
        if isinstance(effect, events.RejectRequest)
    ]
    assert rejection.outcome is attempts.Outcome.UNKNOWN
    with pytest.raises(errors.InvariantError):
        request_state.end(req, None, attempts.Outcome.NOT_RUN)


def stream():
    req = request_state.Request(True, "d", "e1", True, retries.Budget())
    requests.begin(req)
    requests.step(req, events.Placed(1, "vm-1", "a", "v1"))
    requests.step(req, events.ResponseData(1, b"abc", (200, (), True)))
    return req


def test_a_stream_whose_connection_ended_is_retried_elsewhere_at_once():
    req = stream()
    (place_effect,) = requests.step(req, events.AttemptDetached(1))
    assert (place_effect.version, place_effect.used) == ("v1", frozenset(["vm-1"]))
    assert requests.step(req, events.NotPlaced(503, "", "")) == []
    assert requests.step(req, events.Placed(2, "vm-2", "b", "v1")) == [
        events.SendAttempt(2, offset=3)
    ]
    effects = requests.step(req, events.ResponseData(2, b"def", (200, (), True)))
    assert effects == [
        events.CancelAttempt(1),
        events.CloseAttempt(1),
        events.SendBody(b"def"),
    ]


def test_a_stream_continues_at_its_agent_if_that_reconnects_first():
    req = stream()
    requests.step(req, events.AttemptDetached(1))
    assert requests.step(req, events.ResponseData(1, b"def")) == [
        events.SendBody(b"def")
    ]
    assert requests.step(req, events.Placed(2, "vm-2", "b", "v1")) == [
        events.CloseAttempt(2)
    ]
    assert events.CompleteResponse() in requests.step(
        req, events.AttemptEnded(1, attempts.Outcome.DONE)
    )


def test_a_conflict_with_another_claim_leads_to_a_query_and_not_to_a_run():
    req = call()
    requests.begin(req)
    requests.step(req, events.ClaimRead(None))
    requests.step(req, events.Placed(1, "vm", "a", ""))
    requests.step(req, events.ClaimNotWritten(conflict=True))
    other = claims.Claim("d", "e2", "vm-9", "a9", 4)
    effects = requests.step(req, events.ClaimRead(other, 8))
    assert [type(effect) for effect in effects] == [
        events.CloseAttempt,
        events.QueryAgent,
    ]


def accepted_attempt(keep=True):
    state = attempts.Attempts("a")
    return state, attempts.accept(state, "e", "a", 1, keep, 0, 0.0)


def test_a_revoked_attempt_is_refused_for_ever_however_many_are_revoked():
    state = attempts.Attempts("a")
    for number in range(1, 5000, 2):
        assert attempts.revoke(state, "e", number, 0.0) is attempts.Phase.NOT_SEEN
    assert all(
        attempts.refusal_reason(state, "e", "a", n, 0.0) for n in range(1, 5000, 2)
    )
    assert len(state.entries["e"].revoked) <= attempts.MAX_REVOKED


def test_an_attempt_below_the_floor_may_have_run():
    state, attempt = accepted_attempt()
    attempts.finish(attempt, attempts.Outcome.DONE)
    attempts.raise_floor(state, "e", 2, 0.0)
    assert attempts.revoke(state, "e", 1, 0.0) is attempts.Phase.FINISHED
    assert attempts.refusal_reason(state, "e", "a", 1, 0.0)


def test_answers_for_an_entry_that_has_gone_are_discarded_but_never_run_again():
    state, attempt = accepted_attempt()
    attempts.finish(attempt, attempts.Outcome.DONE)
    assert attempts.discard_disconnected(state, {"e"}, 800.0) == []
    attempts.discard_disconnected(state, (), 800.0 + attempts.ANSWER_RETENTION_S)
    assert attempts.find(state, "e", 1) is attempt
    attempts.discard_disconnected(state, (), 801.0 + attempts.ANSWER_RETENTION_S)
    assert attempts.find(state, "e", 1) is None
    assert attempts.revoke(state, "e", 1, 2000.0) is attempts.Phase.FINISHED


def test_an_answer_is_replayed_from_any_offset_that_was_not_acknowledged():
    _, attempt = accepted_attempt(keep=False)
    attempts.start_answer(attempt, 200, ())
    attempts.append(attempt, b"0123456789")
    assert b"".join(f.data for f in attempts.take_frames(attempt, 100)) == b"0123456789"
    attempts.acknowledge(attempt, 4)
    assert attempts.resume(attempt, 6)
    assert attempts.take_frames(attempt, 100)[0].data == b"6789"
    assert not attempts.resume(attempt, 3)


def test_an_answer_that_arrived_is_not_reported_as_not_run():
    _, attempt = accepted_attempt()
    attempts.start_answer(attempt, 200, ())
    with pytest.raises(errors.InvariantError):
        attempts.finish(attempt, attempts.Outcome.NOT_RUN)


def lose_first_attempt(req, started):
    """Return the effects when the only attempt of a request fails."""
    requests.begin(req)
    requests.step(req, events.Placed(1, "vm-1", "a", "v1"))
    if started:
        head = (200, (), True)
        requests.step(req, events.ResponseData(1, b"data: 1", head))
    lost = events.AttemptEnded(1, attempts.Outcome.UNKNOWN, "backend server failed")
    return requests.step(req, lost)


@pytest.mark.parametrize("started", [True, False])
def test_an_empty_retry_budget_does_not_cut_a_started_answer(started):
    req = request_state.Request(True, "d", "e1", True, retries.Budget(tokens=-1.0))
    effects = lose_first_attempt(req, started)
    assert any(isinstance(item, events.PlaceAttempt) for item in effects) == started
    assert any(isinstance(item, events.RejectRequest) for item in effects) != started
