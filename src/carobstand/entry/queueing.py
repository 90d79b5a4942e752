"""Queue of an entry: requests that wait for a backend server with room."""

import collections
import random

import anyio
import attrs

from carobstand import eventlog
from carobstand.core import (
    calibration,
    outstanding,
    pace,
    placement,
    sampling,
    shortlist,
    waiting,
)
from carobstand.entry import fleet

PUMP_INTERVAL_S = 0.02
"""Longest time between two looks at waiting requests."""

PUMP_PAUSE_S = 0.005
"""Shortest time between two looks: under load, a server may have room at any moment."""

LOOKS_IN_VAIN = 8
"""Waiting requests of a service without room, after which later ones are not looked at:
each look weighs all servers."""

PLAIN_FIRST_BYTE_S = 0.05
"""Time to the first byte of an idle server that publishes no pace."""


@attrs.define(eq=False)
class Waiter:
    """One waiting request; `done` is set once `choice` or `refused` is."""

    call: object
    choice: object = None
    refused: bool = False
    done: anyio.Event = attrs.field(factory=anyio.Event)


@attrs.define(eq=False)
class Queue:
    """Waiting requests of all services."""

    waiters: list = attrs.field(factory=list)


async def place(fwd, call):
    """Return the `Choice` of a server for a call, or None if it is to be refused.

    The call is counted at the server until `end`.
    """
    waiter = Waiter(call)
    if not _is_behind(fwd, call):
        choice, verdict = _look(fwd, call, anyio.current_time())
        if verdict is waiting.Verdict.SEND:
            begin(fwd, call, choice)
            return choice
        if verdict is waiting.Verdict.REFUSE:
            _log_refusal(call, choice)
            return None
    fwd.queue.waiters.append(waiter)
    fwd.freed.notify()
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
    """Whether requests that come before this one wait for the same service."""
    now = anyio.current_time()
    key = _order(fwd, call, now)
    return any(
        other.call.service == call.service
        and not other.done.is_set()
        and _order(fwd, other.call, now) < key
        for other in fwd.queue.waiters
    )


def _order(fwd, call, now):
    return waiting.order(call.terms, _shortest_s(fwd, call), now)


async def pump(fwd):
    """Decide on waiting requests, whenever a server may have room, until cancelled."""
    while True:
        if not fwd.queue.waiters:
            await fwd.freed.wait(1.0)
            continue
        _pump_once(fwd)
        await anyio.sleep(PUMP_PAUSE_S)
        await fwd.freed.wait(PUMP_INTERVAL_S - PUMP_PAUSE_S)


def _pump_once(fwd):
    now = anyio.current_time()
    ready = sorted(
        (waiter for waiter in fwd.queue.waiters if not waiter.done.is_set()),
        key=lambda waiter: _order(fwd, waiter.call, now),
    )
    in_vain = collections.Counter()
    for waiter in ready:
        service = waiter.call.service
        if in_vain[service] < LOOKS_IN_VAIN:
            choice, verdict = _look(fwd, waiter.call, now)
        else:
            choice, verdict = None, _unseen(fwd, waiter.call, now)
        if verdict is waiting.Verdict.HOLD:
            in_vain[service] += 1
            continue
        if verdict is waiting.Verdict.SEND:
            waiter.choice = choice
            begin(fwd, waiter.call, choice)
        else:
            _log_refusal(waiter.call, choice)
        waiter.done.set()


def _log_refusal(call, best):
    """Say what decided that a request is not sent; `best` is None without a server."""
    now = anyio.current_time()
    eventlog.event(
        "request.turned_away",
        request=call.req.request_id,
        service=call.service,
        best=best and best.candidate.server.server_id,
        occupancy=best and best.occupancy,
        predicted_s=best and round(best.first_event_s, 3),
        report_age_s=best
        and best.candidate.load
        and round(now - best.candidate.load.heard_at, 3),
        left_s=round(min(call.terms.target, call.terms.deadline) - now, 3),
        held_s=round(now - call.terms.arrived, 3),
    )


def can_go_on_time(fwd, call, gap_s):
    """Whether another server would begin a call within `gap_s`."""
    best = _best(fwd, call, anyio.current_time())
    return best is not None and best.first_event_s <= gap_s


def _look(fwd, call, now):
    """Return the best choice for a call now, and the verdict on it."""
    best = _best(fwd, call, now)
    return best, waiting.decide(call.terms, best, _shortest_s(fwd, call), now)


def _unseen(fwd, call, now):
    """Return the verdict on a call behind many for which no server has room."""
    if waiting.may_wait(call.terms, _shortest_s(fwd, call), now):
        return waiting.Verdict.HOLD
    return waiting.Verdict.REFUSE


def _best(fwd, call, now):
    """Return the best choice for a call now, or None if no server can take it."""
    if fwd.fleet.servers.missing:
        fleet.expire_missing(fwd.fleet)
    known = fwd.fleet.servers.servers
    sampled = _best_of_some(fwd, call, known, now)
    if sampled is not None:
        return sampled
    state = fwd.shortlists.setdefault(call.service, shortlist.Shortlist())
    short = shortlist.ids(state, len(known), now)
    if short is not None:
        listed = {key: known[key] for key in short if key in known}
        choices = _rank(fwd, call, listed, now)
        if choices:
            return choices[0]
    choices = _rank(fwd, call, known, now)
    ranked = [choice.candidate.server.server_id for choice in choices]
    shortlist.note_full(state, ranked, now)
    return choices[0] if choices else None


def _others_by_region(state):
    """Return how many other entries each region has."""
    mine = state.deployment.vm
    found = collections.Counter(
        item.region for item in state.entries.values() if item.vm != mine
    )
    return dict(found)


def _best_of_some(fwd, call, known, now):
    """Return the best of a few servers of the region if it is good, else None."""
    dep = fwd.fleet.deployment
    near = [
        key
        for key, server in known.items()
        if server.service == call.service
        and dep.regions.get(server.failure_domain) == dep.region
    ]
    entries = sum(item.region == dep.region for item in fwd.fleet.entries.values())
    count = sampling.size(len(near), entries)
    if count >= len(near):
        return None
    picked = {key: known[key] for key in random.sample(near, count)}
    choices = _rank(fwd, call, picked, now)
    left_s = call.terms.target - waiting.WAY_S - now
    shortest_s = _shortest_s(fwd, call)
    if choices and sampling.is_good(choices[0].first_event_s, shortest_s, left_s):
        return choices[0]
    return None


def _rank(fwd, call, servers, now):
    """Return the `Choice` of each of some servers that can take a call, best first."""
    found = placement.candidates(
        servers,
        fwd.loads,
        fwd.healths,
        fwd.fleet.said,
        call.service,
        call.asked,
        now,
    )
    dep = fwd.fleet.deployment
    place_of_entry = placement.Place(
        failure_domain=dep.failure_domain,
        regions=dep.regions,
        others=max(0, len(fwd.fleet.entries) - 1),
        by_region=_others_by_region(fwd.fleet),
    )
    return placement.rank(
        found,
        service_of(fwd, call),
        fwd.in_progress,
        fwd.healths,
        fwd.errors_seen,
        call.size,
        place_of_entry,
        random.random,
        lambda holding: fleet.begin_by(fwd.fleet, holding),
        now,
    )


def service_of(fwd, call):
    """Return the `Service` of a call, or None if the configuration names none."""
    config = fwd.fleet.configuration
    return config.services.get(call.service) if config else None


def _shortest_s(fwd, call):
    """Return the time to the first byte of a call at an idle server."""
    if call.shortest_s is None:
        call.shortest_s = PLAIN_FIRST_BYTE_S
        service = service_of(fwd, call)
        if service is not None and service.pace is not None:
            idle = pace.predict(service.pace, 0, 0, call.size.prompt_tokens)
            call.shortest_s = idle.first_event_s
    return call.shortest_s


def begin(fwd, call, choice):
    """Count a request at the server that was chosen for it."""
    server_id = choice.candidate.server.server_id
    state = fwd.in_progress.setdefault(server_id, outstanding.Outstanding())
    outstanding.begin(state, call, call.size.prompt_tokens, anyio.current_time())


def answering(fwd, call, choice):
    """Note that a server has begun to answer a call."""
    now = anyio.current_time()
    server = choice.candidate.server
    outstanding.answering(fwd.in_progress[server.server_id], call)
    calibration.observe(
        fwd.errors_seen,
        server.service,
        server.server_id,
        choice.first_event_s,
        now - call.sent_at,
        now,
    )
    if fwd.queue.waiters:
        fwd.freed.notify()


def end(fwd, call, choice):
    """Count the end of a request, and let waiting ones take its place."""
    server_id = choice.candidate.server.server_id
    outstanding.end(fwd.in_progress[server_id], call, anyio.current_time())
    note_news(fwd, call.service, server_id)
    if fwd.queue.waiters:
        fwd.freed.notify()


def note_news(fwd, service, server_id):
    """Note that a server may have more room than before."""
    if service in fwd.shortlists:
        shortlist.note_news(fwd.shortlists[service], server_id)
