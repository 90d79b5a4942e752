"""Agents load only verified weights of a single version into a backend server."""

import random

import anyio
import pytest

from carobstand.agent import activation, manifest_fetching, peer_links
from carobstand.core import manifest as manifests
from carobstand.core import rows, swarm_seeding
from carobstand.wire import connection
from carobstand.wire.gen import ttypes
from testing import fake_weights as fakes


@pytest.fixture
def network(monkeypatch):
    fake_network = fakes.FakeNetwork()

    async def send(conn, message):
        fake_network.deliver(conn, message)

    monkeypatch.setattr(connection, "send", send)

    def close(conn):
        conn.closed.set()
        conn.other_end.closed.set()

    monkeypatch.setattr(connection, "post", fake_network.deliver)
    monkeypatch.setattr(connection, "close", close)
    return fake_network


def content(seed, size=64 * 1024):
    return random.Random(seed).randbytes(size)


def all_serve(network, version, vms=None):
    agents = [network.agents[vm] for vm in vms or network.agents]
    return lambda: all(version in agent.engine.serving for agent in agents)


def run(network, body):
    async def main():
        async with anyio.create_task_group() as tg:
            for vm in list(network.agents):
                network.start(tg, vm)
            await body(tg)
            tg.cancel_scope.cancel()

    anyio.run(main)


def test_every_backend_server_gets_the_exact_bytes_despite_corrupted_chunks(network):
    data = content(1)
    origin = fakes.FakeOrigin(corrupted_count=3)
    digest = origin.add([("model.bin", data)], 4096)
    for index in range(4):
        network.add(f"vm{index}", origin)
    damage = random.Random(5)

    def corrupt(sender, receiver, message):
        if isinstance(message, ttypes.ChunkReply) and damage.random() < 0.1:
            message.data = b"x" + (message.data or b"")[1:]
        return message

    network.filters.append(corrupt)
    row = rows.VersionRow("v1", "svc", digest)

    async def body(tg):
        network.assign("v1", row, 1)
        await fakes.wait_until(all_serve(network, "v1"))

    run(network, body)
    for agent in network.agents.values():
        assert agent.engine.content["v1", "model.bin"] == data
        assert agent.replicas["svc", "v1"].phase == ttypes.ReplicaPhase.SERVING


def test_weights_beyond_the_memory_limit_are_refused_and_the_served_ones_stay(network):
    origin = fakes.FakeOrigin()
    small = origin.add([("m", content(1))], 4096)
    large = origin.add([("m", content(2, 80 * 1024))], 4096)
    network.add("vm0", origin, memory=100 * 1024)
    agent = network.agents["vm0"]

    async def body(tg):
        network.assign("v1", rows.VersionRow("v1", "svc", small), 1)
        await fakes.wait_until(all_serve(network, "v1"))
        network.assign("v2", rows.VersionRow("v2", "svc", large), 2)
        agent.assignments["svc"].fetch = ["v1", "v2"]
        refused = ttypes.ReplicaPhase.REFUSED
        await fakes.wait_until(
            lambda: (
                agent.replicas.get(("svc", "v2"))
                and agent.replicas["svc", "v2"].phase == refused
            )
        )
        assert agent.engine.serving == {"v1": small}
        assert "bytes" in agent.replicas["svc", "v2"].detail

    run(network, body)


def test_a_version_change_during_a_transfer_ends_with_the_new_version_only(network):
    origin = fakes.FakeOrigin()
    base = content(1)
    old = origin.add([("m", base)], 1024)
    new = origin.add([("m", base[:32768] + content(3, 32768))], 1024)
    for index in range(3):
        network.add(f"vm{index}", origin)

    async def body(tg):
        network.assign("v1", rows.VersionRow("v1", "svc", old), 1)
        await fakes.wait_until(lambda: len(origin.fetched) > 10)
        network.assign("v2", rows.VersionRow("v2", "svc", new), 2)
        await fakes.wait_until(all_serve(network, "v2"))

    run(network, body)
    for agent in network.agents.values():
        assert manifests.digest_of(agent.engine.content["v2", "m"]) == (
            manifests.digest_of(base[:32768] + content(3, 32768))
        )
        assert agent.engine.serving == {"v2": new}


def test_an_idle_connection_is_closed_and_not_counted_as_a_failure(
    network, monkeypatch
):
    """Otherwise an agent would ping every VM of a past rollout forever."""
    monkeypatch.setattr(peer_links, "IDLE_S", 0.1)
    monkeypatch.setattr(peer_links, "SWEEP_INTERVAL_S", 0.05)
    origin = fakes.FakeOrigin()
    digest = origin.add([("m", content(1))], 4096)
    for index in range(3):
        network.add(f"vm{index}", origin)

    async def body(tg):
        network.assign("v1", rows.VersionRow("v1", "svc", digest), 1)
        await fakes.wait_until(all_serve(network, "v1"))
        conns = list(network.conns.values())
        assert conns
        await fakes.wait_until(lambda: all(conn.closed.is_set() for conn in conns))
        assert all(conn.extra.get("goodbye") for conn in conns)

    run(network, body)


def test_an_agent_without_an_origin_gets_everything_from_its_peers(
    network, monkeypatch
):
    monkeypatch.setattr(swarm_seeding, "FIRST_CHECK_S", 0.05)
    monkeypatch.setattr(swarm_seeding, "MIN_TAKEOVER_S", 0.1)
    monkeypatch.setattr(manifest_fetching, "PART_BYTES", 100)
    origin = fakes.FakeOrigin()
    digest = origin.add([("m", content(1))], 4096)
    for index in range(3):
        network.add(f"vm{index}", origin)
    network.agents["vm1"].origin = network.agents["vm2"].origin = None

    async def body(tg):
        network.assign("v1", rows.VersionRow("v1", "svc", digest), 1)
        await fakes.wait_until(all_serve(network, "v1"))

    run(network, body)


def test_a_plan_newer_than_the_table_changes_nothing_until_the_table_follows(
    network,
):
    """A target that omits the missing version would deactivate versions in service."""
    origin = fakes.FakeOrigin()
    digest = origin.add([("m", content(1))], 4096)
    agent = network.add("vm0", origin)
    network.assign("v1", rows.VersionRow("v1", "svc", digest), 1)
    assert activation.target_of(agent).serve == {"v1"}
    agent.assignments["svc"] = ttypes.Assignment("svc", 2, ["v2"], ["v1", "v2"])
    assert activation.target_of(agent) is None
