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
"""Approximate size of a message without chunk data, counted as control traffic."""


ROUNDING_S = 1e-4
"""Tolerance for time differences due to `token_bucket.ROUNDING_BYTES`."""


@attrs.frozen
class SimulationConfig:
    """Parameters of a simulated rollout.

    Attributes
    ----------
    n, chunk_count : int
        VMs, and chunks of the weights.
    window_s : float
        Window T, in which the origin transmits 4 copies and a VM 2 in each direction.
    region_copies : float
        Copies that the link of a region transmits in T, in each direction.
    domains : tuple of (failure domain, region)
        VM i is in domain ``i % len(domains)``.
    domain_delay_s, region_delay_s, local_delay_s : float
        One-way delay between failure domains of a region, between regions, and within
        a failure domain.
    loss : float
        Share of messages delayed as if they were lost and retransmitted.
    memory_copies : float
        Size of the chunk cache of a VM.
    start_spread_s : float
        Time over which the VMs receive their assignment.
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
    """One simulated VM; `generation` counts the replacements of its process.

    `completed` maps manifests to the time at which the VM held them, `refused` holds
    the manifests that do not fit in its memory.
    """

    vm: str
    member: object
    state: object
    generation: int = 0
    alive: bool = True
    paused_until: float = 0.0
    wake_at: float = float("inf")
    completed: dict = attrs.field(factory=dict)
    control_bytes: int = 0
    desired: dict = attrs.field(factory=dict)
    refused: set = attrs.field(factory=set)
    uplink_free_at: float = 0.0
    assigned_revision: int = 0


@attrs.define(eq=False)
class World:
    """Simulated time, network and origin.

    Attributes
    ----------
    chunk_data : dict of str to bytes
        Content of each chunk at the origin.
    origin_free_at, region_free_at
        Time from which the shared link can transmit the next chunk.
    origin_down : tuple of (start, end)
        Periods in which the origin is unavailable.
    region_bytes : dict of str to int
        Bytes received by each region from other regions.
    copy_bytes : int
        Size of the weights.
    corrupt, duplicate : float
        Share of chunks that are corrupted, and of messages that are duplicated.
    stalls : dict of (source VM or "", target VM) to float
        Time until which a link delivers nothing; "" is the origin.
    on_complete : callable
        Called with a node and a manifest digest when the node holds it.
    """

    cfg: SimulationConfig
    rng: random.Random
    now: float = 0.0
    event_queue: list = attrs.field(factory=list)
    seq: object = attrs.field(factory=itertools.count)
    nodes: dict = attrs.field(factory=dict)
    chunk_data: dict = attrs.field(factory=dict)
    origin_free_at: float = 0.0
    origin_bytes: int = 0
    origin_down: tuple = ()
    region_free_at: dict = attrs.field(factory=dict)
    region_bytes: dict = attrs.field(factory=dict)
    copy_bytes: int = 1
    corrupt: float = 0.0
    duplicate: float = 0.0
    jitter_s: float = 0.0
    stalls: dict = attrs.field(factory=dict)
    cut_regions: set = attrs.field(factory=set)
    late_downloads: set = attrs.field(factory=set)
    on_complete: object = None
    steps: int = 0
    messages: object = attrs.field(factory=collections.Counter)


def schedule(world, time, action, *args):
    """Call ``action(*args)`` at a simulated time."""
    heapq.heappush(
        world.event_queue, (max(time, world.now), next(world.seq), action, args)
    )


def run(world, until, done=lambda: False):
    """Process events until a time or until `done()`."""
    while world.event_queue and not done():
        time, _, action, args = world.event_queue[0]
        if time > until:
            break
        heapq.heappop(world.event_queue)
        world.now = time
        action(*args)


def publish(world, seed, shared=None, share=0.0):
    """Add weights to the origin; return (digest, manifest).

    The first `share` of the chunks are those of the manifest `shared`.
    """
    rng = random.Random(f"weights {seed}")
    files = []
    old = list(manifests.chunk_digests(shared)) if shared is not None else []
    for index in range(world.cfg.chunk_count):
        if index < len(old) * share:
            files.append((f"f{index}", world.chunk_data[old[index]]))
        else:
            files.append((f"f{index}", rng.randbytes(64)))
    manifest, parts = manifests.build(files, 64)
    world.chunk_data.update(parts)
    world.copy_bytes = manifests.total_bytes(manifest)
    return manifests.digest_of(manifests.encode(manifest)), manifest


def add_node(world, index, generation=0):
    """Add VM number `index`, or replace its process by a new one."""
    cfg = world.cfg
    domain, region = cfg.domains[index % len(cfg.domains)]
    vm = f"vm{index}"
    member = swarm_state.Member(vm, vm, domain, region, f"{vm}/{generation}")
    cache = chunks.ChunkCache(int(cfg.chunk_count * 64 * cfg.memory_copies))
    rng = random.Random(f"{vm} {generation} {world.rng.random()}")
    state = swarm_state.Swarm(vm, domain, region, cache, rng)
    node = Node(vm, member, state, generation)
    world.nodes[vm] = node
    copy = cfg.chunk_count * 64
    rates = swarm_state.RatesChanged(
        2 * copy / cfg.window_s,
        4 * copy / cfg.window_s,
        cfg.region_copies * copy / cfg.window_s,
    )
    deliver(world, node, rates)
    return node


def deliver(world, node, event):
    """Pass an event to the swarm core of a VM and execute the effects.

    Events for a paused VM are delivered when it resumes; a VM that has failed or was
    replaced gets none.
    """
    if not node.alive or world.nodes.get(node.vm) is not node:
        return
    if world.now < node.paused_until:
        schedule(world, node.paused_until, deliver, world, node, event)
        return
    world.steps += 1
    for effect in swarm.step(node.state, event, world.now):
        _EFFECTS[type(effect)](world, node, effect)
    wake = max(swarm.next_step_at(node.state, world.now), world.now + 0.0005)
    if wake < node.wake_at - 1e-9 or node.wake_at <= world.now:
        node.wake_at = wake
        schedule(world, wake, _wake, world, node, wake)


def _wake(world, node, wake):
    if node.wake_at == wake:
        node.wake_at = float("inf")
        deliver(world, node, swarm_state.Tick())


def _delay(world, near, far):
    """Return the delay of a message between two members, with loss and jitter."""
    cfg = world.cfg
    if near.region != far.region:
        delay = cfg.region_delay_s
    elif near.failure_domain != far.failure_domain:
        delay = cfg.domain_delay_s
    else:
        return cfg.local_delay_s
    if world.rng.random() < cfg.loss:
        delay += 0.2 + 2 * delay
    return delay * world.rng.uniform(1.0, 1.5)


def _connected(world, near, far):
    regions = {near.region, far.region}
    return len(regions) == 1 or not regions & world.cut_regions


def _send_event(world, node, vm, event, is_control=True):
    """Send an event to another VM; report a lost peer if it is unreachable."""
    target = world.nodes.get(vm)
    name = type(event).__name__
    world.messages[
        name, str(getattr(event, "probe", getattr(event, "reason", "")))
    ] += 1
    if is_control:
        node.control_bytes += MESSAGE_BYTES
    if (
        target is None
        or not target.alive
        or not _connected(world, node.member, target.member)
    ):
        schedule(
            world, world.now + 0.05, deliver, world, node, swarm_state.PeerLost(vm)
        )
        return
    arrival = world.now + _delay(world, node.member, target.member)
    arrival = max(arrival, world.stalls.get((node.vm, vm), 0.0))
    arrival += world.rng.random() * world.jitter_s
    schedule(world, arrival, deliver, world, target, event)
    if world.duplicate and world.rng.random() < world.duplicate:
        schedule(world, arrival + world.rng.random(), deliver, world, target, event)


def peer_lost(node):
    """Return the event for the end of the connections of a VM's process."""
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
    _send_event(world, node, effect.member.vm, event)


def _refuse(world, node, effect):
    vm, generation = effect.conn
    target = world.nodes.get(vm)
    if target is not None and target.generation == generation:
        event = swarm_state.TransferFailed(
            effect.request_id, effect.reason, effect.retry_after_s
        )
        _send_event(world, node, vm, event)


def _send(world, node, effect):
    vm, generation = effect.conn
    data = node.state.cache.data[effect.digest]
    _check_rate(world, node, len(data))
    sent = swarm_state.UploadEnded(effect.conn, effect.request_id)
    schedule(world, world.now, deliver, world, node, sent)
    target = world.nodes.get(vm)
    if target is None or target.generation != generation:
        return
    if world.rng.random() < world.corrupt:
        data = b"\0" + data[1:-1] + b"\0"
    event = swarm_state.ChunkReceived(effect.request_id, effect.digest, data)
    ready = world.now
    if node.member.region != target.member.region:
        ready = _transmit_between_regions(
            world, node.member.region, target.member.region, len(data)
        )
    schedule(world, ready, _send_event, world, node, vm, event, False)


def _check_rate(world, node, size):
    """Raise InvariantError if a VM sends faster than its link allows."""
    rate = node.state.links.up.bytes_per_s
    if rate is None:
        return
    if world.now < node.uplink_free_at - ROUNDING_S:
        raise errors.InvariantError(f"{node.vm} sends above {rate} bytes/s")
    node.uplink_free_at = world.now + size / rate


def _transmit_between_regions(world, near, far, size):
    """Transmit over the shared links of two regions, one chunk after another."""
    copy = world.cfg.chunk_count * 64
    rate = world.cfg.region_copies * copy / world.cfg.window_s
    start = max(
        world.now,
        world.region_free_at.get((near, "out"), 0.0),
        world.region_free_at.get((far, "in"), 0.0),
    )
    end = start + size / rate
    world.region_free_at[near, "out"] = world.region_free_at[far, "in"] = end
    world.region_bytes[far] = world.region_bytes.get(far, 0) + size
    return end


def _download(world, node, effect):
    data = world.chunk_data[effect.digest]
    if any(start <= world.now < end for start, end in world.origin_down):
        event = swarm_state.TransferFailed(effect.transfer, swarm_state.Refusal.LOST)
        schedule(world, world.now + 0.01, deliver, world, node, event)
        return
    copy = world.cfg.chunk_count * 64
    start = max(world.now, world.origin_free_at)
    world.origin_free_at = start + len(data) / (4 * copy / world.cfg.window_s)
    world.origin_bytes += len(data)
    if world.rng.random() < world.corrupt:
        data = b"\0" + data[1:-1] + b"\0"
    event = swarm_state.ChunkReceived(effect.transfer, effect.digest, data)
    end = max(world.origin_free_at, world.stalls.get(("", node.vm), 0.0))
    schedule(world, end + world.cfg.domain_delay_s, deliver, world, node, event)


def _announce(world, node, effect):
    event = swarm_state.BitmapReceived(
        node.member, effect.manifest, effect.bitmap, effect.queued, effect.asks
    )
    node.control_bytes += world.cfg.chunk_count // 8
    _send_event(world, node, effect.member.vm, event)


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
    swarm_state.Download: _download,
    swarm_state.CancelTransfer: _ignore,
    swarm_state.Announce: _announce,
    swarm_state.Completed: _completed,
    swarm_state.MemoryRefused: _memory_refused,
}


def assign(world, node, desired, members):
    """Assign manifests to a VM, with the members of their rosters."""
    node.desired = dict(desired)
    node.refused.clear()
    policy = world.cfg.policy
    event = swarm_state.ManifestsChanged(
        {key: (manifest, policy) for key, manifest in desired.items()}
    )
    deliver(world, node, event)
    for digest in desired:
        deliver(world, node, swarm_state.RosterChanged(digest, tuple(members)))


def schedule_faults(world):
    """Schedule the faults under which the design's target must be met.

    5% of the VMs fail, 1% of the chunks are corrupted, one pair in ten stalls for a
    quarter of T and the origin is unavailable for a fifth of T.
    """
    rng, window = world.rng, world.cfg.window_s
    names = list(world.nodes)
    world.corrupt = 0.01
    start = rng.uniform(0, 0.2) * window
    world.origin_down = ((start, start + window / 5),)
    pairs = [(near, far) for near in ["", *names] for far in names if near != far]
    for pair in rng.sample(pairs, len(pairs) // 10):
        start = rng.uniform(0, window / 2)
        schedule(world, start, world.stalls.__setitem__, pair, start + window / 4)
    for vm in rng.sample(names, max(1, round(0.05 * len(names)))):
        schedule(world, rng.uniform(0.1, 0.4) * window, _fail_vm, world, vm)


def _fail_vm(world, vm):
    failed = world.nodes[vm]
    failed.alive = False
    for node in world.nodes.values():
        if node is not failed:
            schedule(world, world.now + 2.4, deliver, world, node, peer_lost(failed))


def simulate_rollout(cfg, seed, faults=False):
    """Simulate a rollout; return the world at its end and the manifest digest."""
    world = World(cfg, random.Random(seed))
    digest, manifest = publish(world, seed)
    for index in range(cfg.n):
        add_node(world, index)
    members = [node.member for node in world.nodes.values()]
    for node in world.nodes.values():
        start = world.rng.random() * cfg.start_spread_s
        schedule(world, start, assign, world, node, {digest: manifest}, members)
    if faults:
        schedule_faults(world)
    run(world, 10 * cfg.window_s, lambda: _all_complete(world, digest))
    return world, digest


def _all_complete(world, digest):
    return all(digest in node.completed for node in world.nodes.values() if node.alive)


def summarize(world, digest):
    """Return the measured quantities of a rollout as a dict."""
    live = [node for node in world.nodes.values() if node.alive]
    half_window_s = world.cfg.window_s / 2
    times = [node.completed.get(digest, float("inf")) for node in live]
    elapsed = max(world.now, 0.001)
    return {
        "n": len(live),
        "policy": world.cfg.policy.value,
        "time_to_n": round(max(times) / half_window_s, 3),
        "first": round(min(times) / half_window_s, 3),
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
