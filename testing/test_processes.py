"""Guards against lost work when real processes, links or the store fail or stop.

The tests share one fleet with enough VMs that stopped ones need no restart. Each test
waits for conditions, not for fixed times.
"""

import json
import signal

import anyio
import pytest
from anyio import from_thread

from bench import fleet as fleets
from bench import relay, soak_clients
from bench import soak_checks as checks
from carobstand.cli import edits
from carobstand.core import planner as plans
from carobstand.core import table as tables
from carobstand.platform import store
from carobstand.standin import generation

TOKENS = 150
"""Tokens of a stream; the stand-in engine takes 1.5 s for them."""


@pytest.fixture(scope="module")
def portal():
    with from_thread.start_blocking_portal() as opened:
        yield opened


@pytest.fixture(scope="module")
def fleet(portal):
    manager = fleets.open_fleet(
        entries=3,
        engines=3,
        plains=1,
        versions=("v1", "v2"),
        standin_flags=("--work-s", "0.3"),
        domains=fleets.DOMAINS[:1],
        entry_flags=("--leave-delay-s", "0.5"),
    )
    with portal.wrap_async_context_manager(manager) as opened:
        yield opened
        problems = fleets.stderr_by_program(opened)
        if not problems:
            fleets.discard_logs(opened)
    assert problems == {}


def entry(fleet, number=1):
    return fleet.programs[f"entry-{number}"]


async def stream(fleet, target, prompt, on_first_part):
    """Read a stream and start `on_first_part(agent)` once its first part has arrived.

    `agent` is the program that runs the attempt. Returns the complete body.
    """
    payload = {"model": "salahkar", "prompt": prompt, "max_tokens": TOKENS}
    body = bytearray()
    async with (
        fleet.customer_http.stream(
            "POST",
            f"{target.http_url}/v1/completions",
            json={**payload, "stream": True},
            headers={"Authorization": f"Bearer {fleet.keys['customer-1']}"},
        ) as resp,
        anyio.create_task_group() as tg,
    ):
        assert resp.status_code == 200
        async for part in resp.aiter_raw():
            if not body:
                tg.start_soon(on_first_part, await running_agent(fleet))
            body += part
    return bytes(body)


async def running_agent(fleet):
    """Wait for an agent of an engine that runs an attempt; return it."""
    while True:
        for program in fleets.programs_with_role(fleet, "agent"):
            body = await fleets.status(fleet, program)
            if body and body["running_attempts"] and "engine" in program.name:
                return program


def expected_bodies(fleet, prompt):
    """Return the expected bodies of a stream, one per version."""
    return [
        generation.expected_body(name, digest, prompt, TOKENS, True)
        for name, digest in fleet.versions.items()
    ]


def test_a_stream_survives_the_kill_of_its_agent(portal, fleet):
    async def kill(agent):
        await fleets.stop(agent, signal.SIGKILL)

    async def body():
        return await stream(fleet, entry(fleet), "kill", kill)

    assert portal.call(body) in expected_bodies(fleet, "kill")


def test_a_stream_survives_the_planned_stop_of_its_agent(portal, fleet):
    exit_statuses = []

    async def terminate(agent):
        exit_statuses.append(await fleets.stop(agent, signal.SIGTERM))

    async def body():
        return await stream(fleet, entry(fleet), "term agent", terminate)

    assert portal.call(body) in expected_bodies(fleet, "term agent")
    assert exit_statuses == [0]


def test_a_stream_survives_the_planned_stop_of_its_entry(portal, fleet):
    target = entry(fleet, 3)
    statuses = []

    async def terminate(agent):
        target.process.send_signal(signal.SIGTERM)

        async def not_ready():
            resp = await fleet.http.get(f"{target.status_url}/readyz")
            return resp.status_code == 503

        await fleets.wait_until(not_ready, "readiness fails")
        # Requests still arrive until the load balancer notices.
        resp = await fleet.http.get(f"{target.http_url}/v1/completions")
        statuses.append(resp.status_code)

    async def body():
        received_body = await stream(fleet, target, "term entry", terminate)
        return received_body, await fleets.stop(target, signal.SIGCONT)

    received_body, status = portal.call(body)
    assert received_body in expected_bodies(fleet, "term entry")
    assert (statuses, status) == ([401], 0)


def test_a_stream_over_a_connection_that_goes_silent_is_resumed(portal, fleet):
    target = entry(fleet)

    async def silence(agent):
        relay.silence(target.relay)

    async def body():
        return await stream(fleet, target, "silence", silence)

    assert portal.call(body) in expected_bodies(fleet, "silence")


async def post_order(fleet, order_id, key):
    return await soak_clients.request(
        fleet,
        entry(fleet),
        "customer-1",
        "POST",
        "/services/order-desk/orders",
        {"Idempotency-Key": key},
        json={"order_id": order_id},
    )


async def count_runs(fleet, order_id):
    agents = [p for p in fleets.programs_with_role(fleet, "agent") if "plain" in p.name]
    found = [await fleets.stats(fleet, program.backend) for program in agents]
    return sum(stats["runs"].get(order_id, 0) for stats in found)


def test_an_order_during_a_store_outage_runs_only_after_a_client_retry(portal, fleet):
    async def body():
        await fleets.set_faults(fleet, "store", down=True)
        try:
            refused = await post_order(fleet, "outage", "k-outage")
            ran = await count_runs(fleet, "outage")
        finally:
            await fleets.set_faults(fleet, "store")
        done = None

        async def accepted():
            nonlocal done
            done = await post_order(fleet, "outage", "k-outage")
            return done.status == 200

        await fleets.wait_until(accepted, "the order is accepted")
        return refused, ran, done, await count_runs(fleet, "outage")

    refused, ran, done, ran_after_retry = portal.call(body)
    assert (refused.status, refused.outcome, ran) == (503, "unknown", 0)
    assert int(refused.headers["retry-after"]) >= 1
    assert json.loads(done.body)["order_id"] == "outage"
    assert ran_after_retry == 1


def test_an_order_whose_claim_response_was_lost_runs_at_most_once(portal, fleet):
    async def body():
        await fleets.set_faults(fleet, "store", lose_answers=1, paths="/v1/kv/claims/")
        first = await post_order(fleet, "lost", "k-lost")
        await fleets.set_faults(fleet, "store")
        repeated = await post_order(fleet, "lost", "k-lost")
        return first, repeated, await count_runs(fleet, "lost")

    first, repeated, ran = portal.call(body)
    assert ran <= 1
    if first.outcome == "done":
        assert repeated.body == first.body and ran == 1
    elif first.outcome == "not-run":
        assert repeated.outcome != "done" or ran == 1


def test_a_paused_planner_does_not_revert_the_plan_of_its_successor(portal, fleet):
    async def body():
        former = await checks.find_planner(fleet)
        client = store.http_store(fleet.store_direct_url)
        former.process.send_signal(signal.SIGSTOP)
        try:
            await _expire_planner_lease(client)

            async def has_successor():
                found = await checks.find_planner(fleet)
                return found is not None and found is not former

            await fleets.wait_until(has_successor, "another entry is planner")
            _, base = await edits.read(client)
            key = ("version", "v2", "salahkar")
            rows = tables.set_cells(base, key, {"weight": "1"})
            author = edits.Author("asha", 1.0, "pause")
            await edits.accept(client, base, rows, author, "serve v2 too")
            await fleets.wait_until(lambda: _is_served(fleet, "v2"), "v2 is served")
            written = await client.get("config/plan/salahkar")
        finally:
            former.process.send_signal(signal.SIGCONT)
        await fleets.wait_until_ready(fleet, former)
        revision = (await edits.read(client))[1].revision
        await fleets.wait_until(
            lambda: _has_revision(fleet, former, revision),
            "the resumed VM has the table",
        )
        final = await client.get("config/plan/salahkar")
        await client.close()
        return written, final

    written, final = portal.call(body)
    assert final.revision >= written.revision
    before = plans.from_json(written.value)
    after = plans.from_json(final.value)
    assert (after.revision, after.table_revision) >= (
        before.revision,
        before.table_revision,
    )
    assert any("v2" in assigned.serve for assigned in after.assignments.values())


async def _expire_planner_lease(client):
    """Delete the lease in the store, as if it had expired during the pause."""
    item = await client.get("lease/planner")
    await client.delete(item.key, expect=item.revision)


async def _is_served(fleet, version):
    return any(
        version in served for served in (await fleets.served_versions(fleet)).values()
    )


async def _has_revision(fleet, program, revision):
    body = await fleets.status(fleet, program)
    return body is not None and body["table_revision"] >= revision
