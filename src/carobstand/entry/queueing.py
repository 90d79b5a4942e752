"""Queue of requests that wait for a backend server with a free slot."""

import collections
import math

import anyio
import attrs

from carobstand import eventlog
from carobstand.core import (
    announcements,
    calibration,
    eligibility,
    expected_work,
    missed_targets,
    outstanding,
    queue_policy,
    recent_sends,
    routes,
    server_work,
    shortlist,
    value_density,
)
from carobstand.entry import (
    demand_exchange,
    permitted_regions,
    server_choice,
    server_limits,
)

MAX_CHECK_INTERVAL_S = 0.02
"""Maximum interval between evaluations of waiting requests."""

MIN_CHECK_INTERVAL_S = 0.005
"""Minimum interval between evaluations; under load, slots are freed continually."""

SIZE_CLASS_FACTOR = 2.0
"""Ratio between the limits of classes of prompt sizes, for each of which a pass ranks
the servers once. A prediction for a prompt of another size would reject or hold calls
wrongly; with this ratio a pass has about six rankings."""


@attrs.define(eq=False)
class Waiter:
    """One waiting request; `done` is set when it is placed or rejected.

    A rejected one has no `choice`.
    """

    call: object
    choice: object = None
    refused: bool = False
    done: anyio.Event = attrs.field(factory=anyio.Event)


@attrs.define(eq=False)
class Queue:
    """Waiting requests of all services."""

    waiters: list = attrs.field(factory=list)


async def place(fwd, call):
    """Return the `Choice` of a server for a call, or None if it is to be rejected.

    The call occupies a slot of the server until `end`.
    """
    waiter = Waiter(call)
    if not call.is_counted and can_be_on_time(fwd, call):
        call.is_counted = True
        if not demand_exchange.admit(fwd, call):
            call.terms = attrs.evolve(call.terms, is_admitted=False)
    if not _is_behind(fwd, call):
        choice, excluded, verdict = _evaluate(fwd, call, anyio.current_time(), 0)
        if verdict is queue_policy.Verdict.SEND:
            begin(fwd, call, choice)
            return choice
        if verdict is queue_policy.Verdict.REFUSE:
            _reject(fwd, call, choice, excluded)
            return None
    fwd.queue.waiters.append(waiter)
    fwd.capacity_freed.notify()
    try:
        await waiter.done.wait()
    except BaseException:
        if waiter.choice is not None:
            end(fwd, call, waiter.choice)
        raise
    finally:
        fwd.queue.waiters.remove(waiter)
    return waiter.choice


def _is_behind(fwd, call):
    """Return whether requests with precedence wait for the same servers."""
    now = anyio.current_time()
    key = _order(fwd, call, now)
    return any(
        competes(fwd, other.call, call)
        and not other.done.is_set()
        and _order(fwd, other.call, now) < key
        for other in fwd.queue.waiters
    )


def competes(fwd, call, other):
    """Return whether two calls may wait for the same servers."""
    return call.service == other.service and routes.share_regions(
        permitted_regions.of_call(fwd.fleet, call),
        permitted_regions.of_call(fwd.fleet, other),
    )


def _order(fwd, call, now):
    return queue_policy.sort_key(
        call.terms, server_choice.idle_first_byte_s(fwd, call), now
    )


async def process_waiters(fwd):
    """Evaluate waiting requests when a slot may be free, until cancelled."""
    while True:
        if not fwd.queue.waiters:
            await fwd.capacity_freed.wait(1.0)
            continue
        _process_waiters_once(fwd)
        await anyio.sleep(MIN_CHECK_INTERVAL_S)
        await fwd.capacity_freed.wait(MAX_CHECK_INTERVAL_S - MIN_CHECK_INTERVAL_S)


def _process_waiters_once(fwd):
    now = anyio.current_time()
    ready = sorted(
        (waiter for waiter in fwd.queue.waiters if not waiter.done.is_set()),
        key=lambda waiter: _order(fwd, waiter.call, now),
    )
    rankings, ahead = {}, collections.Counter()
    for waiter in ready:
        call = waiter.call
        regions = permitted_regions.of_call(fwd.fleet, call)
        before = _count_ahead(ahead, call.service, regions)
        best, excluded, verdict = _evaluate_in_pass(fwd, call, now, before, rankings)
        if verdict is queue_policy.Verdict.HOLD:
            ahead[call.service, regions] += 1
            continue
        if verdict is queue_policy.Verdict.SEND:
            waiter.choice = best
            begin(fwd, call, best)
            rankings.clear()
        else:
            _reject(fwd, call, best, excluded)
        waiter.done.set()


def _count_ahead(held, service, regions):
    """Return how many of the calls that found no slot wait for the same servers."""
    return sum(
        count
        for (name, others), count in held.items()
        if name == service and routes.share_regions(regions, others)
    )


def _evaluate_in_pass(fwd, call, now, ahead, rankings):
    """Return what `_evaluate` returns, with the servers ranked for an earlier call.

    Servers are ranked anew only to send a call, to reject it for want of any server, or
    for the first call of its kind since one was sent. The rankings of a pass therefore
    grow with the requests that leave the queue and not with those that wait.

    Parameters
    ----------
    rankings : dict of tuple to (core.placement.Choice or None, dict, int)
        Best choice and excluded servers by kind of call, since a call was sent, and the
        size in tokens below which a call may still fit into the memory of a server.
    """
    kind = _kind(fwd, call)
    if kind in rankings:
        best, excluded, fitting_tokens = rankings[kind]
        verdict = _verdict(fwd, call, best, excluded, now, ahead)
        is_held = verdict is queue_policy.Verdict.HOLD
        # Without a choice, a smaller call may fit into the memory of a server.
        is_refused = best and verdict is queue_policy.Verdict.REFUSE
        # Beyond its customer's share, a call is rejected by its own prediction only.
        is_usable = is_held or (is_refused and call.terms.is_admitted)
        if is_usable and server_choice.needed_tokens(call) >= fitting_tokens:
            return best, excluded, verdict
    best, excluded = server_choice.best(fwd, call, now)
    lacks_memory = eligibility.Reason.NO_MEMORY in excluded.values()
    fitting_tokens = (
        server_choice.needed_tokens(call) if not best and lacks_memory else 0
    )
    rankings[kind] = best, excluded, fitting_tokens
    return best, excluded, _verdict(fwd, call, best, excluded, now, ahead)


def _kind(fwd, call):
    """Return what is equal for calls to which the same server is the best one."""
    conditions = server_choice.conditions_of(fwd, call)
    allowed = conditions.permitted_regions
    return (
        call.service,
        None if allowed is None else frozenset(allowed),
        frozenset(call.tried),
        int(math.log(max(1, call.size.prompt_tokens), SIZE_CLASS_FACTOR)),
    )


def pressure(fwd, service, now):
    """Return how overloaded a service is, from 0 to 1.

    It is 1 while its capacity is shared: an entry with few requests does not see the
    overload soon enough by itself.
    """
    if demand_exchange.is_restricted(fwd, service, now):
        return 1.0
    return missed_targets.pressure(fwd.outcomes.get(service), now)


def can_be_on_time(fwd, call):
    """Whether a call has a target that it could meet when it arrived."""
    terms, shortest_s = call.terms, server_choice.idle_first_byte_s(fwd, call)
    if terms.is_started or not math.isfinite(terms.target):
        return False
    return not queue_policy.is_late(terms, shortest_s, terms.arrived)


def _record_outcome(fwd, call, is_met, is_answered=True):
    """Record whether a call met its target, if it could do so when it arrived."""
    if not can_be_on_time(fwd, call):
        return
    demand_exchange.record_outcome(fwd, call, is_met, is_answered)
    state = fwd.outcomes.setdefault(call.service, missed_targets.Outcomes())
    missed_targets.record(state, is_met, anyio.current_time())


def _reject(fwd, call, best, excluded):
    """Log why a call is rejected; `best` is None if no server was available."""
    now = anyio.current_time()
    regions = permitted_regions.of_call(fwd.fleet, call)
    lacks_memory = eligibility.Reason.NO_MEMORY in excluded.values()
    is_hopeless = best is None and eligibility.is_hopeless(excluded, regions)
    if not lacks_memory and not is_hopeless:
        # Otherwise the rejection has another cause than the time that servers need, and
        # shares of that time would leave memory unused (55% instead of 65% used).
        _record_outcome(fwd, call, False, is_answered=False)
    permit_wait = None if best else permit_wait_s(fwd, call, 0)
    eventlog.event(
        "request.turned_away",
        request=call.req.request_id,
        service=call.service,
        best=best and best.candidate.server.server_id,
        occupancy=best and round(best.occupancy, 1),
        predicted_s=best and round(best.first_event_s, 3),
        margin_s=best and round(best.margin_s, 3),
        report_age_s=best
        and best.candidate.load
        and round(now - best.candidate.load.received_at, 3),
        permit_wait_s=permit_wait and round(permit_wait, 3),
        left_s=round(min(call.terms.target, call.terms.deadline) - now, 3),
        held_s=round(now - call.terms.arrived, 3),
        excluded=eligibility.count_reasons(excluded),
        pressure=round(pressure(fwd, call.service, now), 2),
        admitted=call.terms.is_admitted,
    )


def known_capacity(fwd, service):
    """Return the capacity of a service's servers in s of server time per s.

    Returns
    -------
    capacity : float or None
        None if it is not known: servers without a latency model and without limits.
    """
    config = fwd.fleet.configuration
    found = config.services.get(service) if config else None
    model = found.latency_model if found else None
    conditions = eligibility.Conditions(
        service=service,
        loads=fwd.loads,
        healths=fwd.healths,
        announced=fwd.fleet.announced,
        regions=fwd.fleet.deployment.regions,
        evacuated=fwd.fleet.evacuation_marks.in_force,
    )
    now = anyio.current_time()
    usable = eligibility.sort_out(fwd.fleet.servers.servers, conditions, now).usable
    capacities = [_server_capacity(fwd, item, model, now) for item in usable]
    # Without a usable server the capacity is not known: it may be back before an entry
    # hears of it, and nobody is to be restricted until then.
    return sum(capacities) if capacities and None not in capacities else None


def _server_capacity(fwd, candidate, model, now):
    server_id = candidate.server.server_id
    limit = announcements.limit_of(fwd.fleet.announced, server_id, now)
    if model is None:
        return limit
    cost_s = value_density.cost_s(
        model, model.usual_prompt_tokens, model.usual_answer_tokens
    )
    slowness = candidate.load.slowness if candidate.load else 1.0
    return min(1 / max(1.0, slowness), math.inf if limit is None else limit * cost_s)


def can_start_within(fwd, call, gap_s):
    """Return whether a server is predicted to start a call within `gap_s`."""
    best, _ = server_choice.best(fwd, call, anyio.current_time())
    return best is not None and best.first_event_s <= gap_s


def assess(fwd, call):
    """Return what would happen to a call that arrives now, without any effect.

    All servers are ranked; a call that is placed may be sent to the best one of a
    sample or of a shortlist.

    Returns
    -------
    choices : list of core.placement.Choice
        The best one first.
    excluded : dict of str to core.eligibility.Reason
        By server id.
    verdict : core.queue_policy.Verdict
    is_behind : bool
        Whether requests with precedence wait for the same servers.
    """
    now, servers = anyio.current_time(), fwd.fleet.servers.servers
    withholds = server_limits.would_withhold
    choices, excluded = server_choice.rank(fwd, call, servers, now, withholds)
    best = choices[0] if choices else None
    verdict = _verdict(fwd, call, best, excluded, now, 0)
    return choices, excluded, verdict, _is_behind(fwd, call)


def _evaluate(fwd, call, now, ahead):
    """Return the best choice for a call, the excluded servers, and the verdict.

    `ahead` calls of its service are served before.
    """
    best, excluded = server_choice.best(fwd, call, now)
    return best, excluded, _verdict(fwd, call, best, excluded, now, ahead)


def _verdict(fwd, call, best, excluded, now, ahead):
    """Return the `Verdict` on a call, given its best choice or None."""
    regions = permitted_regions.of_call(fwd.fleet, call)
    if best is None and not call.terms.is_started:
        is_exhausted = bool(excluded) and eligibility.is_exhausted(excluded)
        if is_exhausted or eligibility.is_hopeless(excluded, regions):
            return queue_policy.Verdict.REFUSE
    wait_s = permit_wait_s(fwd, call, ahead) if best is None else None
    overload = pressure(fwd, call.service, now)
    late_wait_s = recent_sends.late_wait_s(fwd.sends.get(call.service), ahead, now)
    return queue_policy.decide(
        call.terms,
        best,
        server_choice.idle_first_byte_s(fwd, call),
        now,
        wait_s,
        overload,
        late_wait_s,
    )


def permit_wait_s(fwd, call, ahead):
    """Return the expected wait for a permit if all servers of a call need one.

    Returns
    -------
    wait_s : float or None
        None if a server that may run the call has no limit, or if no permits were
        requested yet.
    """
    conditions = server_choice.conditions_of(fwd, call)
    usable = [
        server.server_id
        for server in fwd.fleet.servers.servers.values()
        if server.service == call.service
        and eligibility.final_reason(server, conditions) is None
    ]
    if not all(server_limits.is_limited(fwd.limits, item) for item in usable):
        return None
    return server_limits.expected_wait_s(fwd.limits, usable, ahead)


def begin(fwd, call, choice):
    """Count a request as in progress at its chosen server, and use a permit for it."""
    server_id = choice.candidate.server.server_id
    call.permit = server_limits.take(fwd.limits, server_id)
    state = fwd.in_progress.setdefault(server_id, outstanding.Outstanding())
    now = anyio.current_time()
    if queue_policy.is_late(
        call.terms, server_choice.idle_first_byte_s(fwd, call), now
    ):
        sends = fwd.sends.setdefault(call.service, recent_sends.Sends())
        recent_sends.record_late(sends, now)
    expected = call.size.answer_tokens
    if call.reply.started:
        written = call.events.events * _tokens_per_event(fwd, call)
        expected = server_work.remaining_tokens(expected, written)
    outstanding.begin(state, call, call.size.prompt_tokens, now, expected)


def record_response_started(fwd, call, choice, is_run=True):
    """Record that a server has begun its response, and the prediction error.

    A response that says that the request was not run tells nothing of the prediction.
    """
    now = anyio.current_time()
    server = choice.candidate.server
    if is_run and call.attempts_sent <= 1:
        arrives_at = now + queue_policy.NETWORK_TIME_S / 2
        _record_outcome(fwd, call, arrives_at <= call.terms.target)
    outstanding.answer_started(fwd.in_progress[server.server_id], call)
    if is_run:
        calibration.observe(
            fwd.prediction_errors,
            server.service,
            server.server_id,
            choice.first_event_s,
            now - call.sent_at,
            now,
            choice.corrections_s,
        )
    if fwd.queue.waiters:
        fwd.capacity_freed.notify()


def record_events(fwd, call, choice, events):
    """Record that more events of an answer have arrived."""
    state = fwd.in_progress[choice.candidate.server.server_id]
    tokens = events * _tokens_per_event(fwd, call)
    server_work.record_written(state.work, call, tokens)


def record_answer_length(fwd, call):
    """Learn the length of an answer that is complete.

    A stream that the caller resumed shows only the end of its answer.
    """
    service = server_choice.service_of(fwd, call)
    if service is None or service.latency_model is None or call.req.resume_after:
        return
    tokens = answer_tokens(call.events.events, service.latency_model.steps_per_pass)
    group = length_group(call.route, call.customer, call.parts)
    hint = call.req.answer_hint
    expected_work.observe(fwd.answer_lengths, *group, hint, tokens)
    eventlog.debug(
        "answer.completed",
        request=call.req.request_id,
        tokens=tokens,
        expected=round(call.size.answer_tokens),
        hint=hint,
    )


def length_group(route, customer, parts):
    """Return the keys of a route, customer and part by which lengths are learned."""
    return (route.host, route.prefix), customer, parts[-1] if parts else None


def answer_tokens(events, tokens_per_event):
    """Return the expected length of an answer; its last event may hold fewer tokens."""
    return max(1, events * tokens_per_event - (tokens_per_event - 1) // 2)


def _tokens_per_event(fwd, call):
    service = server_choice.service_of(fwd, call)
    if service is None or service.latency_model is None:
        return 0
    return service.latency_model.steps_per_pass


def end(fwd, call, choice):
    """Free the slot of a request, and wake the evaluation of waiting ones."""
    server_id = choice.candidate.server.server_id
    outstanding.end(fwd.in_progress[server_id], call, anyio.current_time())
    note_freed_capacity(fwd, call.service, server_id)
    if fwd.queue.waiters:
        fwd.capacity_freed.notify()


def note_freed_capacity(fwd, service, server_id):
    """Record that a server may have more free slots than before."""
    for state in fwd.shortlists.get(service, {}).values():
        shortlist.mark_changed(state, server_id)


def note_permit(fwd, server_id):
    """Wake the evaluation of waiting requests after a permit for a server arrived."""
    server = fwd.fleet.servers.servers.get(server_id)
    if server is not None:
        note_freed_capacity(fwd, server.service, server_id)
    if fwd.queue.waiters:
        fwd.capacity_freed.notify()
