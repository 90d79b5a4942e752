"""Guards against queues whose processing cost grows with their length."""

import anyio
import attrs
import pytest

from carobstand import http1_server
from carobstand.core import (
    deployment,
    eligibility,
    engine_load,
    exchange,
    named_versions,
    placement,
    queue_policy,
    registry,
    routes,
)
from carobstand.entry import fleet as fleets
from carobstand.entry import forwarding, queueing, server_choice
from testing import platform_builders as build
from testing import virtual_time

DEPLOYMENT = deployment.Deployment(
    vm="e1",
    ip="10.0.0.1",
    failure_domain="a",
    region="north",
    regions={"a": "north"},
    internal_ports=(1, 2),
    store_address="10.0.0.2:1",
)


def forwarder(engines, running):
    """Return a `Forwarder` with `engines` servers that just reported their load."""
    config = routes.Configuration(
        version=1, routes={}, services={"drafter": build.service()}
    )
    servers = [build.registration(f"i-{n}") for n in range(1, engines + 1)]
    known_servers = registry.Registry(
        servers={server.server_id: server for server in servers}
    )
    fleet = fleets.Fleet(DEPLOYMENT, None, configuration=config, servers=known_servers)
    fwd = forwarding.Forwarder(fleet)
    now = anyio.current_time()
    for server in servers:
        report = build.load_report(server, running=running, received_at=now)
        engine_load.put(fwd.loads, report)
    return fwd


def call_at(now):
    return forwarding.Call(
        req=exchange.Inbound(method=b"POST", target=b"/a/", host="h"),
        body=b"",
        route=build.route(),
        service="drafter",
        customer="",
        reply=http1_server.Reply(None),
        size=placement.Size(964, 119),
        terms=build.terms(arrived=now, target=now + 0.405, deadline=now + 6.0),
    )


@pytest.fixture
def evaluations(monkeypatch):
    """Return a list of the calls for which all servers were evaluated."""
    evaluated_calls = []
    evaluate = server_choice.best

    def count(fwd, call, now):
        evaluated_calls.append(call)
        return evaluate(fwd, call, now)

    monkeypatch.setattr(server_choice, "best", count)
    return evaluated_calls


def test_a_long_queue_costs_no_more_evaluations_than_a_short_one(evaluations):
    async def test():
        fwd = forwarder(engines=40, running=30)
        now = anyio.current_time()
        for _ in range(500):
            waiter = queueing.Waiter(call_at(now))
            fwd.queue.waiters.append(waiter)
        queueing._process_waiters_once(fwd)
        assert len(evaluations) == 1
        assert not any(waiter.done.is_set() for waiter in fwd.queue.waiters)

    anyio.run(test)


def test_a_request_behind_others_is_queued_without_an_evaluation(evaluations):
    async def test():
        fwd = forwarder(engines=2, running=30)
        now = anyio.current_time()
        fwd.queue.waiters.append(queueing.Waiter(call_at(now)))
        with anyio.move_on_after(0.02):
            await queueing.place(fwd, call_at(now + 0.01))
        assert not evaluations

    anyio.run(test)


def test_requests_that_are_not_evaluated_are_rejected_in_time():
    async def test():
        fwd = forwarder(engines=2, running=30)
        past = anyio.current_time() - 3.0
        for _ in range(50):
            fwd.queue.waiters.append(queueing.Waiter(call_at(past)))
        queueing._process_waiters_once(fwd)
        assert all(waiter.done.is_set() for waiter in fwd.queue.waiters)
        assert all(waiter.choice is None for waiter in fwd.queue.waiters)

    anyio.run(test)


def test_servers_with_free_slots_empty_the_queue():
    async def test():
        fwd = forwarder(engines=10, running=2)
        now = anyio.current_time()
        for _ in range(20):
            fwd.queue.waiters.append(queueing.Waiter(call_at(now)))
        queueing._process_waiters_once(fwd)
        assert all(waiter.choice for waiter in fwd.queue.waiters)

    anyio.run(test)


@pytest.mark.parametrize("is_limited", [False, True])
def test_rejections_for_want_of_time_count_also_if_other_servers_are_excluded(
    is_limited,
):
    """Guards against an overload after an evacuation that is not taken for one."""

    async def rejected():
        fwd = forwarder(engines=10, running=30)
        fwd.fleet.evacuation_marks.in_force.add("b")
        away = build.registration("i-11", failure_domain="b")
        fwd.fleet.servers.servers["i-11"] = away
        call = call_at(anyio.current_time())
        if is_limited:
            regions = frozenset(["north"])
            call.route = attrs.evolve(call.route, permitted_regions=regions)
        call.terms = build.terms(
            arrived=call.terms.arrived - 1.0,
            target=call.terms.arrived - 0.6,
            deadline=call.terms.deadline,
        )
        now = anyio.current_time()
        best, excluded, verdict = queueing._evaluate(fwd, call, now, 0)
        assert best and verdict is queue_policy.Verdict.REFUSE
        queueing._reject(fwd, call, best, excluded)
        return fwd.demand.own["drafter"].rejected

    assert anyio.run(rejected) == 1


@pytest.mark.parametrize("is_started", [False, True])
def test_requests_are_not_held_while_no_server_has_usable_weights(is_started):
    """Guards against rejections after a wait in which no weights can be loaded."""

    async def check():
        fwd = forwarder(2, running=1)
        fwd.fleet.named["m"] = [named_versions.SeenVersion(2, -100.0)]
        now = anyio.current_time()
        call = call_at(now)
        call.terms = attrs.evolve(call.terms, is_started=is_started)
        _, excluded, verdict = queueing._evaluate(fwd, call, now, 0)
        assert set(excluded.values()) == {eligibility.Reason.OUTDATED_WEIGHTS}
        expected = (
            queue_policy.Verdict.HOLD if is_started else queue_policy.Verdict.REFUSE
        )
        assert verdict is expected

    virtual_time.run(check)
