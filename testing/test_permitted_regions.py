"""Guards against requests that run outside the regions of their route or customer."""

import anyio
import pytest

from carobstand import errors
from carobstand.core import (
    eligibility,
    entry_roster,
    exchange,
    queue_policy,
    routes,
    weight_sources,
)
from carobstand.entry import backend_pool, queueing, streams
from carobstand.platform import records
from testing import domain_fleet as domains
from testing import platform_builders as build
from testing import platform_fleet as fleets


@pytest.mark.parametrize(
    ("route", "customer", "expected"),
    [
        ((), None, None),
        ((), (), None),
        (("north",), None, {"north"}),
        ((), ("south",), {"south"}),
        (("north", "south"), ("south", "east"), {"south"}),
        (("north",), ("south",), set()),
    ],
)
def test_the_regions_of_both_the_route_and_the_customer_bind(route, customer, expected):
    found = routes.permitted_regions(
        build.route(permitted_regions=frozenset(route)),
        None
        if customer is None
        else routes.Customer(name="x", permitted_regions=frozenset(customer)),
    )
    assert found == expected


def test_requests_compete_only_if_they_have_a_region_in_common():
    north, south, nowhere = map(frozenset, (["north"], ["south"], []))
    assert routes.share_regions(None, None)
    assert routes.share_regions(north, None)
    assert not routes.share_regions(north, south)
    assert not routes.share_regions(None, nowhere)
    assert not routes.share_regions(nowhere, nowhere)


@pytest.mark.parametrize("wrong", ["north", [1], {"north": 1}, [["north"]], [None]])
def test_malformed_regions_make_the_configuration_unreadable(wrong):
    route = build.route_record(allowed_regions=wrong)
    tenant = {"name": "acme", "api_keys": ["k1"], "allowed_regions": wrong}
    for changes in ({"routes": [route]}, {"tenants": [tenant]}):
        record = build.configuration_record(**changes)
        with pytest.raises(errors.RecordError):
            records.decode_configuration(build.encode_record(record))


def many_servers(entries=1):
    """Return a `Forwarder` with enough servers for a shortlist, most in ``north``."""
    fwd = domains.forwarder({f"i-{n}": "b" if n > 29 else "a" for n in range(40)})
    for number in range(entries):
        entry = weight_sources.Entry(f"e{number}", "10.0.0.9:1", "a", "north")
        entry_roster.put(fwd.fleet.roster, entry.vm, entry)
    return fwd


@pytest.mark.parametrize("entries", [1, 9])
def test_requests_with_other_regions_share_no_shortlist_or_sample(entries):
    async def check():
        fwd = many_servers(entries)
        for regions, domain in (("south", "b"), ("", "a"), ("north", "a")) * 4:
            domains.configure(fwd, route=[regions] if regions else [])
            chosen = await queueing.place(fwd, domains.call())
            assert chosen.candidate.server.failure_domain == domain

    anyio.run(check)


def test_servers_elsewhere_are_sampled_if_the_region_is_not_allowed(monkeypatch):
    """All entries would otherwise choose the one server that looks best."""
    sizes = []

    async def check():
        fwd = many_servers(entries=9)
        domains.configure(fwd, route=["south"])
        await queueing.place(fwd, domains.call())
        assert sizes == [3]

    sort_out = eligibility.sort_out
    monkeypatch.setattr(
        eligibility,
        "sort_out",
        lambda servers, *rest: sizes.append(len(servers)) or sort_out(servers, *rest),
    )
    anyio.run(check)


def test_held_requests_of_one_region_do_not_delay_those_of_another():
    async def check():
        fwd = domains.forwarder({"i-1": "a", "i-2": "b"})
        fwd.loads.by_address.clear()
        domains.configure(fwd, customer=["north"])
        full = fwd.fleet.servers.servers["i-1"]
        busy = build.load_report(full, running=60, received_at=anyio.current_time())
        fwd.loads.by_address[full.address] = busy
        held = [queueing.Waiter(domains.call()) for _ in range(20)]
        fwd.queue.waiters.extend(held)
        other = build.route(permitted_regions=frozenset(["south"]))
        req = exchange.Inbound(method=b"POST", target=b"/z/", host="h")
        waiter = queueing.Waiter(domains.call(req=req, route=other))
        fwd.queue.waiters.append(waiter)
        queueing._process_waiters_once(fwd)
        assert not any(item.done.is_set() for item in held)
        assert waiter.choice.candidate.server.server_id == "i-2"
        chosen = await queueing.place(fwd, domains.call(req=req, route=other))
        assert chosen.candidate.server.server_id == "i-2"

    anyio.run(check)


def test_a_waiting_request_is_rejected_at_once_if_its_last_region_is_taken_away():
    async def check():
        fwd = domains.forwarder({"i-1": "a"}, running=60)
        waiter = queueing.Waiter(domains.call())
        fwd.queue.waiters.append(waiter)
        queueing._process_waiters_once(fwd)
        assert not waiter.done.is_set()
        domains.configure(fwd, customer=["south"])
        queueing._process_waiters_once(fwd)
        assert waiter.done.is_set() and waiter.choice is None

    anyio.run(check)


def test_a_removed_route_and_key_keep_the_regions_that_the_request_came_with():
    async def check():
        fwd = domains.forwarder({"i-1": "a", "i-2": "b"})
        customer = routes.Customer(name="x", permitted_regions=frozenset(["south"]))
        call = domains.call(customer_record=customer)
        fwd.fleet.configuration = routes.Configuration(
            version=2, routes={}, services={"drafter": build.service()}
        )
        chosen = await queueing.place(fwd, call)
        assert chosen.candidate.server.failure_domain == "b"

    anyio.run(check)


def test_a_stream_moves_only_to_allowed_servers():
    async def check():
        fwd = domains.forwarder({"i-1": "a", "i-2": "b"})
        call = domains.call(tried={"i-1"})
        assert queueing.can_start_within(fwd, call, streams.MOVE_MAX_GAP_S)
        domains.configure(fwd, route=["north"])
        assert not queueing.can_start_within(fwd, call, streams.MOVE_MAX_GAP_S)

    anyio.run(check)


def test_only_servers_of_permitted_regions_count_for_the_wait_for_permits():
    async def check():
        fwd = domains.forwarder({"i-1": "a", "i-2": "b"})
        domains.configure(fwd, route=["south"])
        domains.announce_limit(fwd, "i-2", 2.0, interval_s=0.5)
        assert queueing.permit_wait_s(fwd, domains.call(), 0) == pytest.approx(0.5)
        domains.configure(fwd)
        assert queueing.permit_wait_s(fwd, domains.call(), 0) is None

    anyio.run(check)


@pytest.mark.parametrize(
    "limits", [{"route": ["south"]}, {"customer": ["south"]}, {"route": ["east"]}]
)
def test_first_sends_reach_permitted_regions_only(limits):
    async def check(fleet):
        await domains.limit_regions(fleet, **limits)
        status = 503 if "east" in limits.get("route", ()) else 200
        for path in ("/q/x", "/o/x", "/s/x"):
            before = anyio.current_time()
            answer = await fleets.send_request(fleet, path)
            assert answer.status == status
            if status == 503:
                assert anyio.current_time() - before < queue_policy.NETWORK_TIME_S + 0.1
                assert float(answer.headers["retry-after"]) > 0
        assert await domains.send_series(fleet) == {status}
        assert domains.arrivals(fleet, "a") == 0

    domains.run_running(check)


def test_retries_stay_in_permitted_regions():
    async def check(fleet):
        await domains.limit_regions(fleet, route=["south"])
        for server_id in ("d-b-1", "d-b-2"):
            server = fleet.engines[server_id]
            server.fault, server.faults_left = "reset", 3
        statuses = await domains.send_series(fleet)
        assert 200 in statuses
        assert domains.arrivals(fleet, "a") == 0
        assert (
            fleet.engines["d-b-1"].faults_left + fleet.engines["d-b-2"].faults_left < 5
        )

    domains.run_running(check, count=2)


async def _cut_stream(fleet, change):
    """Send a stream that its server cuts; call ``change()`` while it runs."""
    await domains.limit_regions(fleet, route=["south"])
    server = fleet.engines["i-b-1"]
    server.fault, server.faults_left = "cut", 1
    answers = []

    async def ask():
        answers.append(await fleets.send_request(fleet, "/s/x", deadline_s=4.0))

    async with anyio.create_task_group() as tg:
        tg.start_soon(ask)
        await fleets.until(lambda: server.runs)
        await change()
    return answers[0]


def test_a_stream_is_resumed_where_the_regions_allow_it_by_then():
    async def check(fleet):
        answer = await _cut_stream(
            fleet, lambda: domains.limit_regions(fleet, route=["north"])
        )
        assert answer.complete
        assert [number for number, _ in fleets.events_of(answer)] == [1, 2, 3, 4, 5]
        assert domains.arrivals(fleet, "b") == 1

    domains.run_running(check, step_s=0.4)


def test_a_stream_without_another_allowed_server_goes_nowhere_else():
    async def check(fleet):
        answer = await _cut_stream(fleet, lambda: anyio.sleep(0))
        assert not answer.complete
        assert [number for number, _ in fleets.events_of(answer)] == [1, 2]
        assert domains.arrivals(fleet, "a") == 0

    domains.run_running(check)


@pytest.mark.parametrize("route", [["south"], []])
def test_a_stalled_stream_is_moved_to_allowed_servers_only(route):
    async def check(fleet):
        await domains.limit_regions(fleet, route=["south"])
        server = fleet.engines["i-b-1"]
        server.fault, server.faults_left = "trickle", 1
        answers = []

        async def ask():
            answers.append(await fleets.send_request(fleet, "/s/x", deadline_s=4.0))

        async with anyio.create_task_group() as tg:
            tg.start_soon(ask)
            await fleets.until(lambda: server.runs)
            await domains.limit_regions(fleet, route=route)
        assert answers[0].complete is not bool(route)
        assert domains.arrivals(fleet, "a") == int(not route)

    domains.run_running(check)


def test_a_request_is_withheld_if_its_region_is_taken_away_while_it_connects(
    monkeypatch,
):
    acquire = backend_pool.acquire

    async def check(fleet):
        async def acquire_slowly(pool, address, request_id):
            conn = await acquire(pool, address, request_id)
            monkeypatch.setattr(backend_pool, "acquire", acquire)
            await domains.limit_regions(fleet, customer=["south"])
            return conn

        monkeypatch.setattr(backend_pool, "acquire", acquire_slowly)
        answer = await fleets.send_request(fleet, "/o/x")
        assert answer.status == 200
        assert (domains.arrivals(fleet, "a"), domains.arrivals(fleet, "b")) == (0, 1)

    domains.run_running(check)
