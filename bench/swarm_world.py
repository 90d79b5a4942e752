"""Simulated network of swarm cores, for long seeded runs and policy measurements.

Each VM runs the shipped `core.swarm`; only time and the network are simulated. Links
of VMs are paced by the product's own limits; the origin and the links between regions
transmit one chunk after another at their rates.
"""

import collections
import heapq
import itertools
import random

import attrs

from carobstand import errors
from carobstand.core import chunks, swarm, swarm_state
from carobstand.core import manifest as manifests

MESSAGE_BYTES = 110
"""Approximate size of a message without chunk data, for control bytes."""


ROUNDING_S = 1e-4
"""Difference of times that is due to `token_bucket.ROUNDING_BYTES`."""


@attrs.frozen
class Shape:
    """Shape of a rollout.

    Attributes
    ----------
    window_s : float
        T: the origin carries 4 copies in it, a VM 2 in each direction.
    region_copies : float
        Copies that the link of a region carries in T, in each direction.
    domains : tuple of (failure domain, region)
        VM i is in domain ``i % len(domains)``.
    """

    n: int = 24
    chunk_count: int = 128
    window_s: float = 40.0
    region_copies: float = 4.0
    domains: tuple = (("fd0", "r0"), ("fd1", "r1"), ("fd2", "r2"), ("fd3", "r0"))
    domain_delay_s: float = 0.005
    region_delay_s: float = 0.007
    local_delay_s: float = 0.0005
    loss: float = 0.01
    policy: object = swarm_state.Policy.TIME
    memory_copies: float = 3.0
    start_spread_s: float = 0.3


@attrs.define(eq=False)
class Node:
    """One VM of the world."""

    vm: str
    member: object
    state: object
    generation: int = 0
    alive: bool = True
    paused_until: float = 0.0
    wake_at: float = float("inf")
    completed: dict = attrs.field(factory=dict)
    control_bytes: int = 0
    wanted: dict = attrs.field(factory=dict)
    refused: set = attrs.field(factory=set)
    up_free: float = 0.0
    told: int = 0


@attrs.define(eq=False)
class World:
    """Simulated time, network and origin."""

    shape: Shape
    rng: random.Random
    now: float = 0.0
    heap: list = attrs.field(factory=list)
    seq: object = attrs.field(factory=itertools.count)
    nodes: dict = attrs.field(factory=dict)
    parts: dict = attrs.field(factory=dict)
    origin_free: float = 0.0
    origin_bytes: int = 0
    origin_down: tuple = ()
    region_free: dict = attrs.field(factory=dict)
    region_bytes: dict = attrs.field(factory=dict)
    copy_bytes: int = 1
    corrupt: float = 0.0
    duplicate: float = 0.0
    jitter_s: float = 0.0
    stalls: dict = attrs.field(factory=dict)
    cut_regions: set = attrs.field(factory=set)
    late_draws: set = attrs.field(factory=set)
    on_complete: object = None
    steps: int = 0
    messages: object = attrs.field(factory=collections.Counter)


def at(world, time, action, *args):
    """Call ``action(*args)`` at a simulated time."""
    heapq.heappush(world.heap, (max(time, world.now), next(world.seq), action, args))


def run(world, until, done=lambda: False):
    """Process events until a time or until `done()`."""
    while world.heap and not done():
        time, _, action, args = world.heap[0]
        if time > until:
            break
        heapq.heappop(world.heap)
        world.now = time
        action(*args)


def publish(world, seed, shared=None, share=0.0):
    """Add weights to the origin; return (digest, manifest).

    `share` of the chunks are taken from the manifest `shared`.
    """
    rng = random.Random(f"weights {seed}")
    files = []
    old = list(manifests.chunk_digests(shared)) if shared is not None else []
    for index in range(world.shape.chunk_count):
        if index < len(old) * share:
            files.append((f"f{index}", world.parts[old[index]]))
        else:
            files.append((f"f{index}", rng.randbytes(64)))
    made, parts = manifests.build(files, 64)
    world.parts.update(parts)
    world.copy_bytes = manifests.total_bytes(made)
    return manifests.digest_of(manifests.encode(made)), made


def add_node(world, index, generation=0):
    """Add VM number `index`, or replace it by a new process."""
    shape = world.shape
    domain, region = shape.domains[index % len(shape.domains)]
    vm = f"vm{index}"
    member = swarm_state.Member(vm, vm, domain, region, f"{vm}/{generation}")
    cache = chunks.ChunkCache(int(shape.chunk_count * 64 * shape.memory_copies))
    rng = random.Random(f"{vm} {generation} {world.rng.random()}")
    state = swarm_state.Swarm(vm, domain, region, cache, rng)
    node = Node(vm, member, state, generation)
    world.nodes[vm] = node
    copy = shape.chunk_count * 64
    rates = swarm_state.RatesChanged(
        2 * copy / shape.window_s,
        4 * copy / shape.window_s,
        shape.region_copies * copy / shape.window_s,
    )
    feed(world, node, rates)
    return node


def feed(world, node, event):
    """Pass an event to a VM and carry out the effects."""
    if not node.alive or world.nodes.get(node.vm) is not node:
        return
    if world.now < node.paused_until:
        at(world, node.paused_until, feed, world, node, event)
        return
    world.steps += 1
    for effect in swarm.step(node.state, event, world.now):
        _EFFECTS[type(effect)](world, node, effect)
    wake = max(swarm.next_step_at(node.state, world.now), world.now + 0.0005)
    if wake < node.wake_at - 1e-9 or node.wake_at <= world.now:
        node.wake_at = wake
        at(world, wake, _wake, world, node, wake)


def _wake(world, node, wake):
    if node.wake_at == wake:
        node.wake_at = float("inf")
        feed(world, node, swarm_state.Tick())


def _delay(world, near, far):
    """Return the time of a message between two members, with loss and jitter."""
    shape = world.shape
    if near.region != far.region:
        delay = shape.region_delay_s
    elif near.failure_domain != far.failure_domain:
        delay = shape.domain_delay_s
    else:
        return shape.local_delay_s
    if world.rng.random() < shape.loss:
        delay += 0.2 + 2 * delay
    return delay * world.rng.uniform(1.0, 1.5)


def _connected(world, near, far):
    regions = {near.region, far.region}
    return len(regions) == 1 or not regions & world.cut_regions


def _post(world, node, vm, event, control=True):
    """Deliver an event to another VM after the delay of the link."""
    target = world.nodes.get(vm)
    name = type(event).__name__
    world.messages[
        name, str(getattr(event, "probe", getattr(event, "reason", "")))
    ] += 1
    if control:
        node.control_bytes += MESSAGE_BYTES
    if (
        target is None
        or not target.alive
        or not _connected(world, node.member, target.member)
    ):
        at(world, world.now + 0.05, feed, world, node, swarm_state.PeerLost(vm))
        return
    arrival = world.now + _delay(world, node.member, target.member)
    arrival = max(arrival, world.stalls.get((node.vm, vm), 0.0))
    arrival += world.rng.random() * world.jitter_s
    at(world, arrival, feed, world, target, event)
    if world.duplicate and world.rng.random() < world.duplicate:
        at(world, arrival + world.rng.random(), feed, world, target, event)


def peer_lost(node):
    """Return the event of the end of the connections of one process."""
    conn = (node.vm, node.generation)
    return swarm_state.PeerLost(node.vm, node.member.start_id, conn)


def _request(world, node, effect):
    conn = (node.vm, node.generation)
    event = swarm_state.ChunkRequested(
        node.vm,
        node.member.region,
        conn,
        effect.transfer,
        effect.digest,
        effect.probe,
    )
    _post(world, node, effect.member.vm, event)


def _refuse(world, node, effect):
    vm, generation = effect.conn
    target = world.nodes.get(vm)
    if target is not None and target.generation == generation:
        event = swarm_state.TransferFailed(
            effect.request_id, effect.reason, effect.retry_after_s
        )
        _post(world, node, vm, event)


def _send(world, node, effect):
    vm, generation = effect.conn
    data = node.state.cache.data[effect.digest]
    _check_rate(world, node, len(data))
    sent = swarm_state.UploadEnded(effect.conn, effect.request_id)
    at(world, world.now, feed, world, node, sent)
    target = world.nodes.get(vm)
    if target is None or target.generation != generation:
        return
    if world.rng.random() < world.corrupt:
        data = b"\0" + data[1:-1] + b"\0"
    event = swarm_state.ChunkReceived(effect.request_id, effect.digest, data)
    ready = world.now
    if node.member.region != target.member.region:
        ready = _cross(world, node.member.region, target.member.region, len(data))
    at(world, ready, _post, world, node, vm, event, False)


def _check_rate(world, node, size):
    """Raise InvariantError if a VM sends faster than its link allows."""
    rate = node.state.links.up.bytes_per_s
    if rate is None:
        return
    if world.now < node.up_free - ROUNDING_S:
        raise errors.InvariantError(f"{node.vm} sends above {rate} bytes/s")
    node.up_free = world.now + size / rate


def _cross(world, near, far, size):
    """Transmit over the shared links of two regions, one chunk after another."""
    copy = world.shape.chunk_count * 64
    rate = world.shape.region_copies * copy / world.shape.window_s
    start = max(
        world.now,
        world.region_free.get((near, "out"), 0.0),
        world.region_free.get((far, "in"), 0.0),
    )
    end = start + size / rate
    world.region_free[near, "out"] = world.region_free[far, "in"] = end
    world.region_bytes[far] = world.region_bytes.get(far, 0) + size
    return end


def _draw(world, node, effect):
    data = world.parts[effect.digest]
    if any(start <= world.now < end for start, end in world.origin_down):
        event = swarm_state.TransferFailed(effect.transfer, swarm_state.Refusal.LOST)
        at(world, world.now + 0.01, feed, world, node, event)
        return
    copy = world.shape.chunk_count * 64
    start = max(world.now, world.origin_free)
    world.origin_free = start + len(data) / (4 * copy / world.shape.window_s)
    world.origin_bytes += len(data)
    if world.rng.random() < world.corrupt:
        data = b"\0" + data[1:-1] + b"\0"
    event = swarm_state.ChunkReceived(effect.transfer, effect.digest, data)
    end = max(world.origin_free, world.stalls.get(("", node.vm), 0.0))
    at(world, end + world.shape.domain_delay_s, feed, world, node, event)


def _announce(world, node, effect):
    event = swarm_state.BitmapReceived(
        node.member, effect.manifest, effect.bitmap, effect.queued, effect.asks
    )
    node.control_bytes += world.shape.chunk_count // 8
    _post(world, node, effect.member.vm, event)


def _completed(world, node, effect):
    node.completed.setdefault(effect.manifest, world.now)
    if world.on_complete is not None:
        world.on_complete(node, effect.manifest)


def _memory_refused(world, node, effect):
    del world
    node.refused.add(effect.manifest)


def _ignore(world, node, effect):
    del world, node, effect


_EFFECTS = {
    swarm_state.Request: _request,
    swarm_state.Refuse: _refuse,
    swarm_state.Send: _send,
    swarm_state.Download: _draw,
    swarm_state.CancelTransfer: _ignore,
    swarm_state.Announce: _announce,
    swarm_state.Completed: _completed,
    swarm_state.MemoryRefused: _memory_refused,
}


def assign(world, node, wanted, members):
    """Tell a VM which manifests to hold, and who else does."""
    node.wanted = dict(wanted)
    node.refused.clear()
    policy = world.shape.policy
    event = swarm_state.ManifestsChanged(
        {key: (made, policy) for key, made in wanted.items()}
    )
    feed(world, node, event)
    for digest in wanted:
        feed(world, node, swarm_state.RosterChanged(digest, tuple(members)))


def plan_faults(world):
    """Plan the faults of the design's target over a rollout.

    5% of the VMs fail, 1% of the chunks are corrupted, one link in ten stalls for a
    quarter of T and the origin is unavailable for a fifth of T.
    """
    rng, window = world.rng, world.shape.window_s
    names = list(world.nodes)
    world.corrupt = 0.01
    start = rng.uniform(0, 0.2) * window
    world.origin_down = ((start, start + window / 5),)
    links = [(near, far) for near in ["", *names] for far in names if near != far]
    for link in rng.sample(links, len(links) // 10):
        start = rng.uniform(0, window / 2)
        at(world, start, world.stalls.__setitem__, link, start + window / 4)
    for vm in rng.sample(names, max(1, round(0.05 * len(names)))):
        at(world, rng.uniform(0.1, 0.4) * window, _fail, world, vm)


def _fail(world, vm):
    failed = world.nodes[vm]
    failed.alive = False
    for node in world.nodes.values():
        if node is not failed:
            at(world, world.now + 2.4, feed, world, node, peer_lost(failed))


def rollout(shape, seed, faults=False):
    """Return the world after a rollout, and its manifest digest."""
    world = World(shape, random.Random(seed))
    digest, made = publish(world, seed)
    for index in range(shape.n):
        add_node(world, index)
    members = [node.member for node in world.nodes.values()]
    for node in world.nodes.values():
        start = world.rng.random() * shape.start_spread_s
        at(world, start, assign, world, node, {digest: made}, members)
    if faults:
        plan_faults(world)
    run(world, 10 * shape.window_s, lambda: _all_hold(world, digest))
    return world, digest


def _all_hold(world, digest):
    return all(digest in node.completed for node in world.nodes.values() if node.alive)


def report(world, digest):
    """Return the measured quantities of a rollout as a dict."""
    live = [node for node in world.nodes.values() if node.alive]
    half = world.shape.window_s / 2
    times = [node.completed.get(digest, float("inf")) for node in live]
    elapsed = max(world.now, 0.001)
    return {
        "n": len(live),
        "policy": world.shape.policy.value,
        "time_to_n": round(max(times) / half, 3),
        "first": round(min(times) / half, 3),
        "origin_copies": round(world.origin_bytes / world.copy_bytes, 3),
        "region_copies": {
            key: round(size / world.copy_bytes, 3)
            for key, size in sorted(world.region_bytes.items())
        },
        "wasted_copies": round(
            sum(node.state.wasted_bytes for node in live) / world.copy_bytes, 3
        ),
        "control_bytes_s": round(
            sum(node.control_bytes for node in live) / len(live) / elapsed
        ),
        "steps": world.steps,
    }
