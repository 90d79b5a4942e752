"""Tests of the limit for cold servers, without a network.

Guards against more requests in any second than a cold server survives, whatever the
entries know of each other, and against leaving most of what it sustains unused.
"""

import random

import anyio
import pytest

from carobstand.core import (
    announcements,
    eligibility,
    exchange,
    permit_rates,
    permits,
)
from carobstand.entry import (
    cold_servers,
    forwarding,
    limit_messages,
    permit_exchange,
    server_limits,
)
from carobstand.wire.gen_fleet import ttypes
from testing import cold_builders as build
from testing import limit_checks, virtual_time
from testing import limit_simulation as simulation
from testing import test_limit_simulation as faults

PER_S = 26.0
ALLOWED = 44
"""Requests in any second: `PER_S` x 1.5 + 5."""

USED_SHARE = 0.7
"""Share of the sustained rate that must be used. The limit is 0.81 of it at `PER_S`."""

COLD_S = 10.0


@pytest.mark.parametrize("per_s", [0.5, 3.0, 10.0, 26.0, 100.0, 1000.0])
def test_all_who_grant_permits_together_stay_within_the_allowed_number(per_s):
    warmup = permit_rates.Warmup(per_s, per_s * 1.5 + 5)
    limit = permit_rates.cold_limit(warmup)
    assert 0.75 * per_s <= limit <= per_s
    for effective in (limit, limit / 2, limit / 10, 0.0):
        granted = permit_rates.rate(effective)
        life_s = permit_rates.cold_permit_s(effective, warmup)
        span_s = permit_rates.COLD_WINDOW_S + life_s + permit_rates.COLD_TRANSIT_S
        total = 1.0
        for share in (1.0, permit_rates.DEPUTY_SHARE):
            burst = permit_rates.BURST_REQUESTS + permit_rates.BURST_S * share * granted
            total += share * granted * span_s + burst
        total += permit_rates.ALONE_SHARE * granted * span_s
        assert (
            life_s >= permit_rates.COLD_PERMIT_MIN_S and total <= warmup.allowed + 1e-6
        )


def come_back(cold_s=COLD_S):
    """Return a script in which all servers appear cold and stay so."""

    async def script(sim):
        for server in [sim.server, *sim.others]:
            simulation.make_cold(sim, server, cold_s)
        await anyio.sleep(cold_s)

    return script


def used_share(server, start, end, per_s=PER_S):
    used = limit_checks.requests_between(server, start, end)
    return used / (per_s * (end - start))


@pytest.mark.parametrize(
    ("entries", "shares"),
    [
        (1, None),
        (5, None),
        (5, [0.0, 1.0, 0.0, 0.0, 0.0]),
        (20, None),
        (20, [0.8**number / 5 for number in range(20)]),
    ],
)
def test_most_of_what_a_cold_server_sustains_is_used(entries, shares):
    sim = build.simulate(come_back(), 1, entries, shares=shares)
    start = build.SETTLE_S
    assert limit_checks.most_in_a_second(sim.server, 0, 1e9) <= ALLOWED
    assert used_share(sim.server, start, start + COLD_S) >= USED_SHARE
    assert used_share(sim.server, start, start + 3.0) >= USED_SHARE - 0.1


def test_a_failure_domain_that_comes_back_cold_takes_a_burst_of_all_entries():
    sim = build.simulate(come_back(3.0), 2, 20, servers=6, demand=300.0)
    servers = [sim.server, *sim.others]
    assert all(limit_checks.most_in_a_second(item, 0, 9) <= ALLOWED for item in servers)
    start = build.SETTLE_S
    used = [used_share(item, start, start + 3.0) for item in servers]
    assert sum(used) / len(used) >= USED_SHARE - 0.1


def test_entries_tell_each_other_what_one_response_says():
    """A server becomes cold again, and the store does not tell."""

    async def script(sim):
        simulation.list_server(sim, sim.server)
        await anyio.sleep(2.0)
        sim.server.tells_cold = True
        sim.server.cold_until = anyio.current_time() + COLD_S
        await anyio.sleep(COLD_S)

    sim = build.simulate(script, 4, 20)
    # A response takes 0.2 s, and a message to the granter and the others 0.04 s.
    known_at = build.SETTLE_S + 2.0 + 0.4
    assert limit_checks.most_in_a_second(sim.server, known_at, 1e9) <= ALLOWED


async def disturb(sim, names, duration_s=12.0):
    draw = random.Random(sim.draw.random())
    chosen = [fault for fault in faults.FAULTS if fault.__name__ in names]
    new_vms = iter(range(100, 200))
    simulation.make_cold(sim, sim.server, duration_s + 10.0)
    end = anyio.current_time() + duration_s
    while anyio.current_time() < end:
        await anyio.sleep(draw.uniform(0.1, 3.0))
        vms = sorted(sim.nodes, key=lambda vm: draw.random())
        some = vms[: draw.randint(1, max(1, len(vms) // 2))]
        fault = draw.choice(chosen)
        if some:
            sim.tasks.start_soon(fault, sim, draw, some, str(next(new_vms)))


@pytest.mark.parametrize("entries", [5, 20])
@pytest.mark.parametrize(
    "names",
    [
        {"join"},
        {"freeze"},
        {"cut"},
        {"join", "lose_store"},
        {"join", "cut", "lose_store"},
        {"join", "leave", "lose_entry", "restart", "freeze", "cut", "lose_store"},
    ],
    ids=lambda names: "+".join(sorted(names)),
)
def test_no_second_exceeds_the_allowed_number_under_faults(entries, names):
    """No entry is excused: one that is not in touch counts, too."""
    sim = build.simulate(lambda sim: disturb(sim, names), 5, entries)
    assert limit_checks.most_in_a_second(sim.server, 0, 1e9) <= ALLOWED
    if names == {"join"}:
        start = build.SETTLE_S + 1.0
        assert used_share(sim.server, start, start + 11.0) >= USED_SHARE


def test_a_granter_that_knows_nothing_of_cold_servers_stops_nobody():
    """As one of an earlier version: it ignores the fields for cold servers."""

    async def script(sim):
        first = permit_rates.granting_entries(simulation.SERVER_ID, sim.nodes)[0]
        node = sim.nodes[first]
        node.limits.fleet.configuration = None
        node.callers_per_s = 0.0
        real = server_limits._learn_cold_from_message
        server_limits._learn_cold_from_message = lambda limits, message, peer: (
            limits is not node.limits and real(limits, message, peer)
        )
        try:
            await come_back()(sim)
        finally:
            server_limits._learn_cold_from_message = real

    vms = [str(number + 1) for number in range(5)]
    first = permit_rates.granting_entries(simulation.SERVER_ID, vms)[0]
    shares = [0.0 if vm == first else 0.25 for vm in vms]
    sim = build.simulate(script, 6, 5, shares=shares)
    assert limit_checks.most_in_a_second(sim.server, 0, 1e9) <= ALLOWED
    start = build.SETTLE_S
    assert used_share(sim.server, start + 1.0, start + COLD_S) >= 0.15


def cold_left(state, server_id="i-1"):
    """Return the time for which a `Fleet` takes a server to be cold."""
    known = state.announced.by_server.get(server_id)
    return max(0.0, known.cold_until - anyio.current_time()) if known else 0.0


@pytest.mark.parametrize(
    ("versions", "cold_s"),
    [
        ([{"warmup_remaining_ms": 2500}], 2.5),
        ([{}], 3.0),
        ([{"warmup_remaining_ms": 0}], 0.0),
        ([{"warmup_remaining_ms": "soon"}], 3.0),
        ([{"warmup_remaining_ms": -1}], 3.0),
        ([{"warmup_remaining_ms": float("nan")}], 3.0),
        ([{}, {"sequence": 5}], 2.0),
        ([{}, {"warmup_remaining_ms": 700}], 0.7),
        ([{}, {"warmup_remaining_ms": 0}], 0.0),
        ([{"warmup_remaining_ms": 0}, {"warmup_remaining_ms": 3000}], 3.0),
        ([{"warmup_remaining_ms": 0}, {"born": 2000}], 3.0),
        ([{}, {"born": 2000, "warmup_remaining_ms": 0}], 0.0),
    ],
)
def test_a_record_or_a_new_start_tells_that_a_server_is_cold(versions, cold_s):
    async def scenario():
        state = build.fleet()
        for number, changes in enumerate(versions):
            await anyio.sleep(1.0 if number else 0.0)
            build.list_server(state, **changes)
        assert cold_left(state) == pytest.approx(cold_s)

    virtual_time.run(scenario)


def test_servers_of_the_first_read_and_of_services_without_a_limit_are_not_cold():
    async def scenario():
        first = build.fleet(is_first_read=True)
        build.list_server(first)
        build.list_server(first, "i-2", warmup_remaining_ms=900)
        assert [cold_left(first), cold_left(first, "i-2")] == [0.0, 0.9]
        unlimited = build.fleet(per_s=0.0)
        build.list_server(unlimited, warmup_remaining_ms=900)
        assert not unlimited.announced.by_server

    virtual_time.run(scenario)


def test_an_older_statement_does_not_change_what_is_known():
    async def scenario():
        state = build.fleet()
        build.list_server(state, born=5000, warmup_remaining_ms=3000)
        await anyio.sleep(1.0)
        now = anyio.current_time()
        for started_ms, named_at in ((4000, now), (5000, now - 2.0)):
            cold_servers.note_cold(state, "i-1", started_ms, 0.0, named_at, "test")
        assert cold_left(state) == pytest.approx(2.0)
        cold_servers.assume_cold(state, "i-1", 5000, "test")
        assert cold_left(state) == pytest.approx(2.0)

    virtual_time.run(scenario)


def test_servers_marked_cold_are_cold_for_the_warm_up_of_their_service():
    async def scenario():
        state = build.fleet()
        build.list_server(state, "i-1", warmup_remaining_ms=0)
        build.list_server(state, "i-2", warmup_remaining_ms=9000)
        cold_servers.mark_cold(state, ["i-1", "i-2", "unknown"], "evacuation")
        assert [cold_left(state, item) for item in ("i-1", "i-2")] == [3.0, 9.0]
        assert cold_left(state, "unknown") == 0.0

    virtual_time.run(scenario)


def test_the_lower_limit_counts_and_that_of_a_cold_server_ends_by_itself():
    async def scenario():
        state = build.fleet()
        limits = forwarding.Forwarder(state).limits
        build.list_server(state, warmup_remaining_ms=2000)
        assert server_limits.withholds(limits, "i-1") is eligibility.Reason.COLD
        for named, reason in ((100.0, "COLD"), (2.0, "LIMITED")):
            server_limits.learn(limits, "i-1", 1000, named, 0.0, "test")
            found = server_limits.withholds(limits, "i-1")
            assert found is eligibility.Reason[reason]
        assert announcements.limit_of(state.announced, "i-1", 1.0) == 2.0
        server_limits.learn(limits, "i-1", 1000, None, 0.0, "test")
        woken = []
        limits.permit_arrived = woken.append
        assert server_limits.withholds(limits, "i-1") is eligibility.Reason.COLD
        assert permit_exchange.step(limits) <= 2.0
        await anyio.sleep(2.0)
        permit_exchange.step(limits)
        assert woken == ["i-1"] and server_limits.withholds(limits, "i-1") is None

    virtual_time.run(scenario)


def test_a_permit_for_a_cold_server_does_not_outlive_a_suspension():
    holder = permits.Holder(wanted_at=0.0)
    number = permits.due(holder, permit_rates.Rank.FIRST, 0.0)

    def expiry(waited_s, now):
        rank = permit_rates.Rank.FIRST
        return permits.cold_expiry(holder, rank, number, waited_s, 0.25, now)

    assert expiry(0.0, 0.05) == pytest.approx(0.3)
    assert expiry(1.0, 1.05) == pytest.approx(1.3)
    assert expiry(0.0, 0.6) < 0.6
    assert permits.cold_expiry(holder, permit_rates.Rank.FIRST, 9, 0.0, 0.25, 0.1) < 0


def test_permits_from_before_are_not_used_when_a_server_becomes_cold():
    holder = permits.Holder(expiries=[1.0, 2.0])
    permits.set_cold(holder, False)
    assert permits.held(holder, 0.0) == 2
    permits.set_cold(holder, True)
    assert permits.held(holder, 0.0) == 0


def test_a_request_needs_a_valid_permit_when_its_connection_is_open():
    """Guards against requests beyond the limit while connections are opened."""

    async def scenario():
        limits = forwarding.Forwarder(build.fleet()).limits
        build.list_server(limits.fleet, warmup_remaining_ms=0)
        unlimited = server_limits.take(limits, "i-1")
        assert server_limits.withholds_chosen(limits, "i-1", unlimited) is None
        server_limits.learn(limits, "i-1", 1000, 100.0, 0.0, "test")
        limited = eligibility.Reason.LIMITED
        assert server_limits.withholds_chosen(limits, "i-1", unlimited) is limited
        holder = limits.holders["i-1"]
        holder.expiries = [1.0, 1.5]
        permit = server_limits.take(limits, "i-1")
        assert server_limits.withholds_chosen(limits, "i-1", permit) is None
        assert holder.expiries == [1.5]
        await anyio.sleep(1.2)
        assert server_limits.withholds_chosen(limits, "i-1", permit) is None
        assert holder.expiries == []
        assert server_limits.withholds_chosen(limits, "i-1", permit) is limited
        holder.expiries = [9.0]
        permit = server_limits.take(limits, "i-1")
        build.list_server(limits.fleet, warmup_remaining_ms=2000)
        cold = eligibility.Reason.COLD
        assert server_limits.withholds_chosen(limits, "i-1", permit) is cold

    virtual_time.run(scenario)


def test_two_entries_do_not_prolong_a_cold_time_by_telling_each_other():
    async def scenario():
        pair = [forwarding.Forwarder(build.fleet()).limits for _ in range(2)]
        build.list_server(pair[0].fleet, warmup_remaining_ms=2000)
        for _ in range(100):
            for one, other in (pair, pair[::-1]):
                message = limit_messages.permit_reply(one, "i-1")
                await anyio.sleep(0.015)
                server_limits.learn_from_message(other, message, "peer")
        assert anyio.current_time() == pytest.approx(3.0)
        assert not any(server_limits.is_limited(item, "i-1") for item in pair)

    virtual_time.run(scenario)


def test_an_entry_that_joins_takes_over_the_grants_once_the_others_know():
    """Two that grant the full limit at once would exceed the allowed number."""

    async def scenario():
        first, *others = permit_rates.granting_entries("i-1", "12345", count=3)
        nodes = {vm: build.joined(vm, "12345") for vm in (first, *others)}
        new, old = nodes[first], nodes[others[0]]
        old.fleet.roster.entries.pop(first)
        asking = ttypes.PermitRequest(
            "i-1", vm="9", address="10.0.0.9:1", wanted=50, number=1
        )
        permit_exchange.on_request(old, asking, "peer")
        permit_exchange.step(new)
        rate = permit_exchange._permits_per_s(new, "i-1", permit_rates.Rank.FIRST)
        joined = [
            item for _, item in new.outbox if isinstance(item, ttypes.EntryJoined)
        ]
        assert len(joined) == 4 and not joined[0].is_reply
        permit_exchange.on_joined(old, joined[0], "peer")
        assert server_limits.granting(old, "i-1")[0] == first
        await anyio.sleep(0.2)
        permit_exchange.step(old)
        assert not old.granters
        for vm in others:
            assert not server_limits.is_confirmed(new, "i-1", 5.0)
            reply = ttypes.EntryJoined(vm, "10.0.0.1:1", is_reply=True)
            permit_exchange.on_joined(new, reply, "peer")
        full = permit_exchange._permits_per_s(new, "i-1", permit_rates.Rank.FIRST)
        assert rate == pytest.approx(permit_rates.COLD_STALE_SHARE * full)

    virtual_time.run(scenario)


def test_what_a_response_tells_goes_to_the_entry_that_grants():
    async def scenario():
        first, other = permit_rates.granting_entries("i-1", "12345")
        limits = build.joined(other, "12345", cold_ms=0)
        head = exchange.AnswerHead(status=200, cold_s=2.0)
        server_limits.record_answer(limits, "i-1", 1000, head, 0.0)
        [(address, message)] = limits.outbox
        assert address == f"10.0.0.{first}:7700" and message.cold_ms == 2000

    virtual_time.run(scenario)
