"""Guards against rollouts that are late, incomplete or use too much bandwidth."""

import random

import pytest

from bench import swarm_simulation
from carobstand.core import chunks, swarm, token_bucket
from carobstand.core import manifest as manifests
from carobstand.core import swarm_state as st


def shape(**changes):
    return swarm_simulation.SimulationConfig(**{"n": 8, "chunk_count": 64, **changes})


@pytest.mark.parametrize("policy", list(st.Policy))
def test_a_rollout_without_faults_meets_its_targets_in_simulated_time(policy):
    world, digest = swarm_simulation.simulate_rollout(
        shape(policy=policy, chunk_count=128), 1
    )
    report = swarm_simulation.summarize(world, digest)
    by_time = policy is st.Policy.TIME
    assert report["time_to_n"] <= (1.25 if by_time else 1.6)
    assert report["origin_copies"] <= (2.0 if by_time else 1.05)
    assert max(report["region_copies"].values()) <= 1.05


def start_nodes(world, count, digest, manifest):
    for index in range(count):
        swarm_simulation.add_node(world, index)
    members = [node.member for node in world.nodes.values()]
    for node in world.nodes.values():
        swarm_simulation.assign(world, node, {digest: manifest}, members)
    return members


def complete(world, digest):
    return all(
        chunks.is_complete(node.state.cache, digest)
        for node in world.nodes.values()
        if node.alive
    )


def test_a_late_joiner_fetches_everything_from_peers():
    world = swarm_simulation.World(shape(), random.Random(2))
    digest, manifest = swarm_simulation.publish(world, 2)
    members = start_nodes(world, 8, digest, manifest)
    swarm_simulation.run(world, 100, lambda: complete(world, digest))
    origin_bytes_before = world.origin_bytes
    late = swarm_simulation.add_node(world, 8)
    for node in list(world.nodes.values()):
        swarm_simulation.assign(
            world, node, {digest: manifest}, [*members, late.member]
        )
    swarm_simulation.run(world, 200, lambda: complete(world, digest))
    assert complete(world, digest)
    assert world.origin_bytes == origin_bytes_before


def test_a_superseded_transfer_stops_and_its_chunks_are_reused():
    world = swarm_simulation.World(shape(), random.Random(3))
    old, old_manifest = swarm_simulation.publish(world, 3)
    new, new_manifest = swarm_simulation.publish(world, 4, old_manifest, 0.9)
    members = start_nodes(world, 8, old, old_manifest)
    swarm_simulation.run(
        world, 100, lambda: world.origin_bytes > 0.5 * world.copy_bytes
    )
    for node in world.nodes.values():
        swarm_simulation.assign(world, node, {new: new_manifest}, members)
        assert all(
            item.digest in node.state.jobs[new].index
            for item in node.state.transfers.values()
        )
    swarm_simulation.run(world, 200, lambda: complete(world, new))
    assert complete(world, new)
    assert world.origin_bytes < 1.3 * world.copy_bytes


def test_a_rollback_to_cached_chunks_transfers_nothing():
    world = swarm_simulation.World(shape(n=3), random.Random(5))
    old, old_manifest = swarm_simulation.publish(world, 5)
    new, new_manifest = swarm_simulation.publish(world, 6)
    members = start_nodes(world, 3, old, old_manifest)
    for digest, manifest in ((old, old_manifest), (new, new_manifest)):
        for node in world.nodes.values():
            swarm_simulation.assign(world, node, {digest: manifest}, members)
        swarm_simulation.run(world, 500, lambda digest=digest: complete(world, digest))
    origin_bytes_before = world.origin_bytes
    for node in world.nodes.values():
        swarm_simulation.assign(world, node, {old: old_manifest}, members)
    assert complete(world, old) and world.origin_bytes == origin_bytes_before


def test_a_replaced_vm_receives_the_weights_again():
    world = swarm_simulation.World(shape(), random.Random(7))
    digest, manifest = swarm_simulation.publish(world, 7)
    start_nodes(world, 8, digest, manifest)
    swarm_simulation.run(world, 100, lambda: complete(world, digest))
    fresh = swarm_simulation.add_node(world, 3, generation=1)
    members = [node.member for node in world.nodes.values()]
    for node in list(world.nodes.values()):
        swarm_simulation.assign(world, node, {digest: manifest}, members)
    swarm_simulation.run(world, 300, lambda: complete(world, digest))
    assert digest in fresh.completed


def new_swarm():
    cache = chunks.ChunkCache(1 << 20)
    return st.Swarm("vm0", "fd0", "r0", cache, random.Random(1))


def member(vm):
    return st.Member(vm, vm, "fd0", "r0", "start")


def test_a_new_vm_that_ranks_first_fetches_a_chunk_from_another_region():
    """In a soak run it waited: no VM of its region was assigned to fetch the chunk."""
    world = swarm_simulation.World(shape(n=3, chunk_count=32), random.Random(8))
    digest, manifest = swarm_simulation.publish(world, 8)
    members = start_nodes(world, 3, digest, manifest)
    swarm_simulation.run(world, 100, lambda: complete(world, digest))
    fresh = swarm_simulation.add_node(world, 2, generation=1)
    members = [*members[:2], fresh.member]
    for node in list(world.nodes.values()):
        swarm_simulation.assign(world, node, {digest: manifest}, members)
    assert {node.member.region for node in world.nodes.values()} == {"r0", "r1", "r2"}
    swarm_simulation.run(world, 300, lambda: complete(world, digest))
    assert digest in fresh.completed


def test_all_chunks_arrive_although_rosters_grow_while_agents_connect():
    """Processes of two regions stalled: each had ranked the chunks by a roster of its
    own region only, and none requested the last chunks from the other region."""
    domains = (("fd0", "r0"), ("fd1", "r1"))
    world = swarm_simulation.World(shape(n=4, domains=domains), random.Random(9))
    digest, manifest = swarm_simulation.publish(world, 9)
    nodes = [swarm_simulation.add_node(world, index) for index in range(4)]
    for node in nodes:
        same_region = [n.member for n in nodes if n.member.region == node.member.region]
        swarm_simulation.assign(world, node, {digest: manifest}, same_region)
    # The origin goes down early, so that chunks must pass between the regions.
    world.origin_down = ((15.0, 1e9),)
    world.stalls = {("", "vm1"): 1e9, ("", "vm3"): 1e9}
    swarm_simulation.run(world, 15)
    members = [node.member for node in nodes]
    for node in nodes:
        swarm_simulation.assign(world, node, {digest: manifest}, members)
    swarm_simulation.run(world, 300, lambda: complete(world, digest))
    assert complete(world, digest)


def test_an_overdue_chunk_is_requested_from_a_second_peer_before_its_deadline():
    """With transfers of seconds per chunk, a lost request delayed a VM by minutes."""
    state = new_swarm()
    manifest, _ = manifests.build([("f", b"x" * 64)], 64)
    digest = manifests.digest_of(manifests.encode(manifest))
    swarm.step(state, st.RatesChanged(64.0, None, None), 0.0)
    swarm.step(state, st.ManifestsChanged({digest: (manifest, st.Policy.BYTES)}), 0.0)
    roster = st.RosterChanged(digest, (member("vm0"), member("vm1"), member("vm2")))
    swarm.step(state, roster, 0.0)
    effects = []
    for vm in ("vm1", "vm2"):
        effects += swarm.step(state, st.BitmapReceived(member(vm), digest, 1), 0.0)
    first = next(effect for effect in effects if isinstance(effect, st.Request))
    deadline = state.transfers[first.transfer].deadline
    effects = swarm.step(state, st.Tick(), deadline * 0.75)
    (second,) = [effect for effect in effects if isinstance(effect, st.Request)]
    assert second.member.vm != first.member.vm


def test_a_chunk_evicted_while_its_upload_waits_is_refused():
    """Happened in a soak run when a second model filled the memory."""
    state = new_swarm()
    data = b"x" * 64
    digest = manifests.digest_of(data)
    chunks.put(state.cache, digest, data)
    token_bucket.set_rate(state.links.up, 64.0, 0.0)
    swarm.step(state, st.ChunkRequested("vm1", "r0", "conn", 8, digest), 0.0)
    swarm.step(state, st.ChunkRequested("vm2", "r0", "conn2", 9, digest), 0.0)
    state.cache.data.clear()
    effects = swarm.step(state, st.Tick(), 2.0)
    assert [effect.reason for effect in effects] == [st.Refusal.ABSENT] * 2


def test_the_end_of_an_old_connection_does_not_touch_the_process_that_replaced_it():
    """In a soak run a request of the new process was dropped without a reply."""
    state = new_swarm()
    data = b"x" * 64
    digest = manifests.digest_of(data)
    chunks.put(state.cache, digest, data)
    token_bucket.set_rate(state.links.up, 64.0, 0.0)
    fresh = st.Member("vm1", "vm1", "fd0", "r0", "new")
    swarm.step(state, st.BitmapReceived(fresh, "m", 0), 0.0)
    for number in (1, 2):
        swarm.step(
            state, st.ChunkRequested("vm1", "r0", "new conn", number, digest), 0.0
        )
    swarm.step(state, st.PeerLost("vm1", "old", "old conn"), 0.1)
    sent = swarm.step(state, st.Tick(), 1.1) + swarm.step(state, st.Tick(), 2.2)
    assert [effect.request_id for effect in sent] == [1, 2]
    assert state.peers["vm1"].failures == 0


def test_members_that_refused_a_manifest_do_not_delay_others():
    """The only VM with memory for a second model first asked all others per chunk."""
    world = swarm_simulation.World(shape(n=12), random.Random(10))
    digest, manifest = swarm_simulation.publish(world, 10)
    nodes = [swarm_simulation.add_node(world, index) for index in range(12)]
    members = [node.member for node in nodes]
    for node in nodes[:-1]:
        node.state.cache.limit_bytes = 1
    for node in nodes:
        swarm_simulation.assign(world, node, {digest: manifest}, members)
    swarm_simulation.run(world, 60, lambda: digest in nodes[-1].completed)
    assert digest in nodes[-1].completed


def test_vms_that_are_in_no_roster_are_removed():
    """State kept for every VM that ever joined would grow without limit."""
    state = new_swarm()
    manifest, _ = manifests.build([("f", b"x" * 64)], 64)
    digest = manifests.digest_of(manifests.encode(manifest))
    swarm.step(state, st.ManifestsChanged({digest: (manifest, st.Policy.BYTES)}), 0.0)
    for number in range(100):
        newest_member = member(f"other{number}")
        roster = st.RosterChanged(digest, (member("vm0"), newest_member))
        swarm.step(state, roster, float(number))
    assert len(state.peers) <= 2


def test_live_traffic_that_fills_the_link_does_not_count_as_a_stall():
    state = new_swarm()
    manifest, _ = manifests.build([("f", b"x" * 64)], 64)
    digest = manifests.digest_of(manifests.encode(manifest))
    swarm.step(state, st.RatesChanged(100.0, None, None), 0.0)
    swarm.step(state, st.LiveTraffic(500, 500), 0.0)
    swarm.step(state, st.ManifestsChanged({digest: (manifest, st.Policy.BYTES)}), 0.0)
    roster = st.RosterChanged(digest, (member("vm0"), member("vm1")))
    effects = swarm.step(state, roster, 0.0)
    effects += swarm.step(state, st.BitmapReceived(member("vm1"), digest, 1), 0.0)
    for tenth in range(1, 10 * int(2 * swarm.MAX_IDLE_S)):
        effects += swarm.step(state, st.LiveTraffic(20, 20), tenth / 10)
    assert not any(isinstance(effect, st.Request) for effect in effects)
    end = 2 * swarm.MAX_IDLE_S + 2
    assert any(
        isinstance(effect, st.Request) for effect in swarm.step(state, st.Tick(), end)
    )


def test_a_request_that_arrives_twice_is_answered_once():
    """Duplicates of requests took the upload slots that a waiting VM needed."""
    state = new_swarm()
    data = b"x" * 64
    digest = manifests.digest_of(data)
    chunks.put(state.cache, digest, data)
    chunk_requested = st.ChunkRequested("vm1", "r0", "conn", 8, digest)
    sent = swarm.step(state, chunk_requested, 0.0) + swarm.step(
        state, chunk_requested, 1.0
    )
    assert [type(effect) for effect in sent] == [st.Send]


def test_a_peer_that_sends_corrupted_chunks_gets_fewer_requests():
    state = new_swarm()
    manifest, parts = manifests.build([("f", random.Random(1).randbytes(640))], 64)
    digest = manifests.digest_of(manifests.encode(manifest))
    swarm.step(state, st.ManifestsChanged({digest: (manifest, st.Policy.TIME)}), 0.0)
    roster = st.RosterChanged(digest, (member("vm0"), member("bad"), member("good")))
    effects = list(swarm.step(state, roster, 0.0))
    for vm in ("bad", "good"):
        bitmap_received = st.BitmapReceived(member(vm), digest, (1 << 10) - 1)
        effects += swarm.step(state, bitmap_received, 0.0)
    request_counts = {"bad": 0, "good": 0}
    now = 0.0
    while now < 60.0 and not state.jobs[digest].complete:
        now += 0.01
        effects = effects or list(swarm.step(state, st.Tick(), now))
        effect = effects.pop(0) if effects else None
        if isinstance(effect, st.Request):
            request_counts[effect.member.vm] += 1
            bad = effect.member.vm == "bad"
            data = b"damaged" if bad else parts[effect.digest]
            chunk_received = st.ChunkReceived(effect.transfer, effect.digest, data)
            effects += swarm.step(state, chunk_received, now)
    assert state.jobs[digest].complete
    assert request_counts["bad"] < request_counts["good"]
    assert state.peers["bad"].score < state.peers["good"].score


def test_a_chunk_that_is_not_cached_is_never_sent():
    state = new_swarm()
    chunk_requested = st.ChunkRequested("vm1", "r0", "conn", 7, "0" * 64)
    (refused,) = swarm.step(state, chunk_requested, 0.0)
    assert refused.reason is st.Refusal.ABSENT
    data = b"x" * 64
    digest = manifests.digest_of(data)
    chunks.put(state.cache, digest, data)
    token_bucket.set_rate(state.links.up, 64.0, 0.0)
    assert not swarm.step(state, st.ChunkRequested("vm1", "r0", "conn", 8, digest), 0.0)
    state.cache.data.clear()
    (refused,) = swarm.step(state, st.Tick(), 2.0)
    assert refused.reason is st.Refusal.ABSENT


def test_a_stalled_transfer_is_requested_elsewhere():
    state = new_swarm()
    manifest, _ = manifests.build([("f", b"x" * 64)], 64)
    digest = manifests.digest_of(manifests.encode(manifest))
    swarm.step(state, st.ManifestsChanged({digest: (manifest, st.Policy.BYTES)}), 0.0)
    roster = st.RosterChanged(digest, (member("vm0"), member("vm1"), member("vm2")))
    swarm.step(state, roster, 0.0)
    requests = []
    for vm in ("vm1", "vm2"):
        requests += swarm.step(state, st.BitmapReceived(member(vm), digest, 1), 0.0)
    now = 0.0
    while now < 20.0 and len({r.member.vm for r in requests}) < 2:
        now = swarm.next_step_at(state, now)
        requests += [
            effect
            for effect in swarm.step(state, st.Tick(), now)
            if isinstance(effect, st.Request)
        ]
        requests = [effect for effect in requests if isinstance(effect, st.Request)]
    assert {request.member.vm for request in requests} == {"vm1", "vm2"}
