"""Long seeded run of the weights core with faults, alone and in pairs.

Each episode rolls weights out over a simulated network, injects up to two kinds of
faults, lets them end and then requires that every live VM holds and serves what it was
assigned. The invariants are asserted by the product code itself.

Usage: python -m bench.soak_weights [--seed N] [--episodes N] [--only EPISODE]
"""

import argparse
import collections
import itertools
import json
import random
import sys
import time

import attrs

from bench import swarm_simulation as sim
from carobstand import errors
from carobstand.core import activation, chunks
from carobstand.core import swarm_state as st

FAULT_WINDOW_S = 30.0
"""Simulated time during which faults begin and end."""

SILENCE_TIMEOUT_S = 2.4
"""Time after which a silent connection is closed: three missed pings."""

RECOVERY_WINDOWS = 4
"""Number of windows T after the last fault within which every live VM must serve."""


@attrs.define(eq=False)
class Backend:
    """Simulated backend server.

    Attributes
    ----------
    ignores_fencing : bool
        Whether it does not check fencing tokens and reports 0 as its own; an agent
        that sends it a command with an old token breaks an invariant.
    failure_rate : float
        Share of commands that fail; half of them take effect nevertheless.
    serving, loaded : dict of str to str
        Manifest digest by version.
    fence : int
        Highest fencing token seen.
    """

    rng: random.Random
    ignores_fencing: bool
    failure_rate: float = 0.0
    serving: dict = attrs.field(factory=dict)
    loaded: dict = attrs.field(factory=dict)
    fence: int = 0


@attrs.define(eq=False)
class Episode:
    """One simulated rollout with faults, with a backend server beside each VM.

    `desired` maps the digests of the manifests that all VMs must hold to the manifests.
    """

    world: sim.World
    rng: random.Random
    backends: dict = attrs.field(factory=dict)
    activations: dict = attrs.field(factory=dict)
    made: dict = attrs.field(factory=dict)
    desired: dict = attrs.field(factory=dict)
    revision: int = 1
    healed_at: float = FAULT_WINDOW_S
    counts: collections.Counter = attrs.field(factory=collections.Counter)


def execute_command(backend, effect, cache):
    """Execute one command; raise InvariantError if it breaks an invariant."""
    if isinstance(effect, activation.QueryState):
        fence = 0 if backend.ignores_fencing else backend.fence
        return activation.Reported(backend.serving, backend.loaded, fence)
    if effect.fence < backend.fence:
        if not backend.ignores_fencing:
            return activation.Failed(fenced=True)
        raise errors.InvariantError("a command with an old fencing token was sent")
    if backend.rng.random() < backend.failure_rate / 2:
        return activation.Failed()
    backend.fence = effect.fence
    if isinstance(effect, activation.Load):
        if not chunks.is_complete(cache, effect.manifest):
            raise errors.InvariantError("load of unverified weights")
        backend.loaded[effect.version] = effect.manifest
    elif isinstance(effect, activation.Activate):
        backend.serving = {key: backend.loaded[key] for key in effect.versions}
    elif effect.version in backend.serving:
        raise errors.InvariantError("unload of a served version")
    else:
        backend.loaded.pop(effect.version, None)
    lost = backend.rng.random() < backend.failure_rate / 2
    return activation.Failed() if lost else activation.Succeeded()


def step_activation(episode, node, event):
    """Pass an event to the activation core of a VM and execute its commands."""
    key = (node.vm, node.generation)
    state = episode.activations.setdefault(key, activation.Activation())
    backend = episode.backends[node.vm]
    cache = node.state.cache
    now = episode.world.now

    def is_verified(digest):
        return chunks.is_complete(cache, digest)

    effects = activation.step(state, event, is_verified, now)
    while effects:
        result = execute_command(backend, effects[0], cache)
        effects = activation.step(state, result, is_verified, now)


def activation_target(episode, node):
    """Return the activation target for the manifests that a VM must hold."""
    names = {f"v-{digest[:8]}": digest for digest in node.desired}
    return activation.Target(node.assigned_revision, names, frozenset(names))


def assign_all(episode, spread_s):
    """Send the current plan and members to every VM, each after a random delay."""
    world = episode.world
    members = [node.member for node in world.nodes.values() if node.alive]
    episode.revision += 1
    for node in world.nodes.values():
        delay = episode.rng.uniform(0, spread_s)
        args = (episode, node, dict(episode.desired), members, episode.revision)
        sim.schedule(world, world.now + delay, assign_one, *args)


def assign_one(episode, node, desired, members, revision):
    """Deliver one assignment unless the VM has a newer one."""
    world = episode.world
    if (
        world.nodes.get(node.vm) is not node
        or not node.alive
        or revision < node.assigned_revision
    ):
        return
    node.assigned_revision = revision
    sim.assign(world, node, desired, members)
    step_activation(
        episode, node, activation.TargetChanged(activation_target(episode, node))
    )


def poll_backends(episode):
    """Let the activation cores check their backend servers every 0.5 s."""
    world = episode.world
    for node in list(world.nodes.values()):
        if node.alive and world.now >= node.paused_until:
            event = (
                activation.ReportOutdated()
                if world.now % 3 < 1
                else activation.Wakeup()
            )
            step_activation(episode, node, event)
    sim.schedule(world, world.now + 0.5, poll_backends, episode)


def random_live_node(episode):
    """Return a random live VM."""
    return episode.rng.choice([n for n in episode.world.nodes.values() if n.alive])


def close_connections(episode, vm, delay):
    """Report the end of every connection of `vm` to both of its ends after `delay`.

    A paused VM receives the report when it resumes.
    """
    world = episode.world
    notice_at = world.now + delay
    closed = world.nodes[vm]
    for node in list(world.nodes.values()):
        if node is not closed:
            sim.schedule(
                world, notice_at, sim.deliver, world, node, sim.peer_lost(closed)
            )
            sim.schedule(
                world, notice_at, sim.deliver, world, closed, sim.peer_lost(node)
            )


# Faults: each schedules its events between now and FAULT_WINDOW_S.


def fail_vms(episode):
    """VMs fail; most are replaced by a new process, after which rosters change."""
    world = episode.world

    def fail():
        live = [node for node in world.nodes.values() if node.alive]
        if len(live) <= 2:
            return
        node = episode.rng.choice(live)
        node.alive = False
        close_connections(
            episode, node.vm, episode.rng.choice([0.05, SILENCE_TIMEOUT_S])
        )
        if episode.rng.random() < 0.7:
            after = world.now + episode.rng.uniform(0.5, 5)
            sim.schedule(world, after, start_vm, episode, int(node.vm[2:]))

    for _ in range(episode.rng.randint(1, 4)):
        sim.schedule(world, episode.rng.uniform(0, FAULT_WINDOW_S * 0.8), fail)


def start_vm(episode, index):
    """Add a VM, or a new process of a VM that was there before."""
    world = episode.world
    old = world.nodes.get(f"vm{index}")
    node = sim.add_node(world, index, old.generation + 1 if old else 0)
    node.assigned_revision = 0
    if old is None or episode.rng.random() < 0.5:
        backend = Backend(episode.rng, episode.rng.random() < 0.5)
        episode.backends[node.vm] = backend
    assign_all(episode, 2.0)


def join_late(episode):
    """VMs join a rollout in progress."""
    first = len(episode.world.nodes)
    for index in range(first, first + episode.rng.randint(1, 3)):
        start = episode.rng.uniform(1, FAULT_WINDOW_S * 0.8)
        sim.schedule(episode.world, start, start_vm, episode, index)


def stall_links(episode):
    """One link in ten stalls; messages and chunks arrive when the stall ends."""
    names = list(episode.world.nodes)
    pairs = [(near, far) for near in ["", *names] for far in names if near != far]
    for pair in episode.rng.sample(pairs, max(1, len(pairs) // 10)):
        end = episode.rng.uniform(5, FAULT_WINDOW_S)
        start = episode.rng.uniform(0, end)
        set_stall = episode.world.stalls.__setitem__
        sim.schedule(episode.world, start, set_stall, pair, end)


def corrupt_chunks(episode):
    """A share of all chunks arrives corrupted."""
    episode.world.corrupt = episode.rng.choice([0.01, 0.1, 0.3])
    sim.schedule(episode.world, FAULT_WINDOW_S, setattr, episode.world, "corrupt", 0.0)


def delay_messages(episode):
    """Messages are delayed at random, reordered and duplicated."""
    episode.world.jitter_s = episode.rng.choice([0.05, 0.5, 2.0])
    episode.world.duplicate = 0.1
    sim.schedule(episode.world, FAULT_WINDOW_S, setattr, episode.world, "jitter_s", 0.0)
    sim.schedule(
        episode.world, FAULT_WINDOW_S, setattr, episode.world, "duplicate", 0.0
    )


def stop_origin(episode):
    """The origin is unavailable for a part of the time."""
    start = episode.rng.uniform(0, FAULT_WINDOW_S / 2)
    episode.world.origin_down = ((start, start + episode.rng.uniform(1, 15)),)


def cut_region(episode):
    """A region cannot reach the others."""
    region = episode.rng.choice(["r0", "r1", "r2"])
    start = episode.rng.uniform(0, FAULT_WINDOW_S / 2)
    end = start + episode.rng.uniform(3, FAULT_WINDOW_S / 2)
    sim.schedule(episode.world, start, episode.world.cut_regions.add, region)
    sim.schedule(
        episode.world,
        start + SILENCE_TIMEOUT_S,
        close_region_connections,
        episode,
        region,
    )
    sim.schedule(episode.world, end, episode.world.cut_regions.discard, region)


def close_region_connections(episode, region):
    """Report the end of connections between a region and the others to both ends."""
    world = episode.world
    nodes = list(world.nodes.values())
    for near, far in itertools.permutations(nodes, 2):
        if (near.member.region == region) != (far.member.region == region):
            sim.deliver(world, near, sim.peer_lost(far))


def pause_processes(episode):
    """Processes are paused and resume in the same state."""
    world = episode.world

    def pause():
        node = random_live_node(episode)
        node.paused_until = world.now + episode.rng.uniform(1, 8)
        close_connections(episode, node.vm, SILENCE_TIMEOUT_S)

    for _ in range(episode.rng.randint(1, 4)):
        sim.schedule(world, episode.rng.uniform(0, FAULT_WINDOW_S * 0.7), pause)


def change_version(episode):
    """The version changes during the transfer, sometimes back again."""
    world = episode.world
    old = next(iter(episode.desired.items()))
    share = episode.rng.choice([0.0, 0.5, 0.95])
    digest, manifest = sim.publish(world, episode.rng.random(), old[1], share)

    def change(desired):
        episode.desired = desired
        assign_all(episode, 2.0)

    start = episode.rng.uniform(1, 15)
    sim.schedule(world, start, change, {digest: manifest})
    if episode.rng.random() < 0.5:
        sim.schedule(world, start + episode.rng.uniform(1, 10), change, dict([old]))


def add_model(episode):
    """A second manifest is assigned in addition to the first."""
    world = episode.world
    digest, manifest = sim.publish(world, episode.rng.random())

    def change():
        episode.desired = {**episode.desired, digest: manifest}
        assign_all(episode, 2.0)

    sim.schedule(world, episode.rng.uniform(0, 20), change)


def limit_memory(episode):
    """A second manifest is assigned, but memory holds only one of them."""
    for node in episode.world.nodes.values():
        node.state.cache.limit_bytes = int(1.3 * episode.world.copy_bytes)
    add_model(episode)


def restart_backends(episode):
    """Backend servers restart without weights, and commands fail."""
    for backend in episode.backends.values():
        backend.failure_rate = 0.3
        sim.schedule(
            episode.world, FAULT_WINDOW_S, setattr, backend, "failure_rate", 0.0
        )

    def restart():
        backend = episode.backends[random_live_node(episode).vm]
        backend.serving, backend.loaded, backend.fence = {}, {}, 0

    for _ in range(3):
        sim.schedule(episode.world, episode.rng.uniform(0, FAULT_WINDOW_S), restart)


FAULTS = (
    fail_vms,
    join_late,
    stall_links,
    corrupt_chunks,
    delay_messages,
    stop_origin,
    cut_region,
    pause_processes,
    change_version,
    add_model,
    limit_memory,
    restart_backends,
)

FAULT_SETS = [(), *((fault,) for fault in FAULTS), *itertools.combinations(FAULTS, 2)]


def run_episode(seed, number):
    """Run one episode and return its `Episode`.

    Raises
    ------
    InvariantError
        From the product, or if a live VM does not recover in time.
    """
    rng = random.Random(f"{seed} {number}")
    cfg = sim.SimulationConfig(
        n=rng.randint(2, 14),
        chunk_count=rng.choice([1, 7, 32, 64]),
        window_s=rng.choice([10.0, 40.0]),
        policy=rng.choice(list(st.Policy)),
    )
    world = sim.World(cfg, random.Random(f"world {seed} {number}"))
    episode = Episode(world, rng)
    digest, manifest = sim.publish(world, rng.random())
    episode.desired = {digest: manifest}
    for index in range(cfg.n):
        node = sim.add_node(world, index)
        node.assigned_revision = 0
        episode.backends[node.vm] = Backend(rng, rng.random() < 0.5)
    world.on_complete = lambda node, key: sim.schedule(
        world, world.now, step_activation, episode, node, activation.Wakeup()
    )
    assign_all(episode, 0.5)
    for fault in FAULT_SETS[number % len(FAULT_SETS)]:
        fault(episode)
    sim.schedule(world, 0.5, poll_backends, episode)
    sim.schedule(world, FAULT_WINDOW_S, assign_all, episode, 1.0)
    sim.run(world, FAULT_WINDOW_S + 1.5)
    end = FAULT_WINDOW_S + max(60.0, RECOVERY_WINDOWS * cfg.window_s)
    sim.run(world, end, lambda: recovered(episode))
    check_recovered(episode)
    return episode


def recovered(episode):
    """Return whether every live VM holds and serves what it was assigned."""
    return not unrecovered_nodes(episode)


def unrecovered_nodes(episode):
    """Return the live VMs that do not hold or serve what they were assigned."""
    found = []
    for node in episode.world.nodes.values():
        desired = set(node.desired) - node.refused
        held = all(chunks.is_complete(node.state.cache, key) for key in desired)
        serving = set(episode.backends[node.vm].serving.values())
        served = serving >= desired if node.refused else serving == desired
        if node.alive and not (held and served):
            found.append(node)
    return found


def check_recovered(episode):
    """Raise InvariantError if a live VM has not recovered."""
    unrecovered = unrecovered_nodes(episode)
    if unrecovered:
        node = unrecovered[0]
        missing = {
            digest[:8]: [
                job.chunks.index(key)
                for key in job.chunks
                if not holds_chunk(node, key)
            ]
            for digest, job in node.state.jobs.items()
        }
        raise errors.InvariantError(
            f"{[item.vm for item in unrecovered]} did not recover by "
            f"{episode.world.now:.1f}; {node.vm} serves "
            f"{episode.backends[node.vm].serving}, misses {missing}"
        )


def holds_chunk(node, digest):
    """Return whether a VM holds a chunk."""
    return chunks.get(node.state.cache, digest) is not None


def main(argv):
    """Run the episodes and print a table and one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--episodes", type=int, default=3 * len(FAULT_SETS))
    parser.add_argument("--only", type=int)
    args = parser.parse_args(argv)
    numbers = range(args.episodes) if args.only is None else [args.only]
    started = time.monotonic()
    failures = []
    steps = 0
    max_origin_copies = collections.defaultdict(float)
    for number in numbers:
        names = "+".join(
            fault.__name__ for fault in FAULT_SETS[number % len(FAULT_SETS)]
        )
        try:
            episode = run_episode(args.seed, number)
        except errors.InvariantError as exc:
            failures.append({"episode": number, "faults": names, "error": str(exc)})
            print(f"episode {number} {names}: {exc}", flush=True)
            continue
        steps += episode.world.steps
        origin_copies = episode.world.origin_bytes / episode.world.copy_bytes
        max_origin_copies[names] = max(max_origin_copies[names], origin_copies)
    for names, origin_copies in sorted(max_origin_copies.items()):
        print(f"{names or 'none':40} most origin copies {origin_copies:.2f}")
    result = {
        "bench": "soak_weights",
        "seed": args.seed,
        "episodes": len(numbers),
        "failures": failures,
        "steps": steps,
        "seconds": round(time.monotonic() - started, 1),
    }
    print(json.dumps(result))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
