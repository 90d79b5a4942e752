"""Long seeded run of the weights core over faults, alone and in pairs.

Each episode rolls weights out over a simulated network, injects one or two kinds of
faults, lets them end and then requires that every live VM holds and serves what it was
told to. The invariants are asserted by the product code itself.

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

from bench import swarm_world as sim
from carobstand import errors
from carobstand.core import activation, chunks
from carobstand.core import swarm_state as st

FAULT_S = 30.0
"""Simulated time during which faults begin and end."""

SILENT_S = 2.4
"""Time after which a silent connection is ended: three pings."""

RECOVERY_WINDOWS = 4
"""Windows T after the last fault within which every live VM must serve."""


@attrs.define(eq=False)
class Backend:
    """Simulated backend server; it may ignore fencing tokens and fail commands."""

    rng: random.Random
    stubborn: bool
    failing: float = 0.0
    serving: dict = attrs.field(factory=dict)
    loaded: dict = attrs.field(factory=dict)
    fence: int = 0


@attrs.define(eq=False)
class Episode:
    """One world under faults, with a backend server beside each VM."""

    world: sim.World
    rng: random.Random
    backends: dict = attrs.field(factory=dict)
    activations: dict = attrs.field(factory=dict)
    made: dict = attrs.field(factory=dict)
    wanted: dict = attrs.field(factory=dict)
    revision: int = 1
    healed_at: float = FAULT_S
    counts: collections.Counter = attrs.field(factory=collections.Counter)


def run_backend(backend, effect, cache):
    """Carry out one command; raise InvariantError if it breaks an invariant."""
    if isinstance(effect, activation.QueryState):
        fence = 0 if backend.stubborn else backend.fence
        return activation.Reported(backend.serving, backend.loaded, fence)
    if effect.fence < backend.fence:
        if not backend.stubborn:
            return activation.Failed(fenced=True)
        raise errors.InvariantError("a command with an old fencing token was sent")
    if backend.rng.random() < backend.failing / 2:
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
    lost = backend.rng.random() < backend.failing / 2
    return activation.Failed() if lost else activation.Succeeded()


def drive(episode, node, event):
    """Pass an event to the activation core of a VM and carry out its commands."""
    key = (node.vm, node.generation)
    state = episode.activations.setdefault(key, activation.Activation())
    backend = episode.backends[node.vm]
    cache = node.state.cache
    now = episode.world.now

    def is_verified(digest):
        return chunks.is_complete(cache, digest)

    effects = activation.step(state, event, is_verified, now)
    while effects:
        done = run_backend(backend, effects[0], cache)
        effects = activation.step(state, done, is_verified, now)


def target(episode, node):
    """Return the activation target of what a VM was told to hold."""
    names = {f"v-{digest[:8]}": digest for digest in node.wanted}
    return activation.Target(node.told, names, frozenset(names))


def assign_all(episode, spread_s):
    """Tell every live VM the present plan and members, each after a random delay."""
    world = episode.world
    members = [node.member for node in world.nodes.values() if node.alive]
    episode.revision += 1
    for node in world.nodes.values():
        delay = episode.rng.uniform(0, spread_s)
        args = (episode, node, dict(episode.wanted), members, episode.revision)
        sim.at(world, world.now + delay, assign_one, *args)


def assign_one(episode, node, wanted, members, revision):
    """Deliver one assignment unless the VM has a newer one."""
    world = episode.world
    if world.nodes.get(node.vm) is not node or not node.alive or revision < node.told:
        return
    node.told = revision
    sim.assign(world, node, wanted, members)
    drive(episode, node, activation.TargetChanged(target(episode, node)))


def watch_backends(episode):
    """Let the activation cores look at their backend servers now and then."""
    world = episode.world
    for node in list(world.nodes.values()):
        if node.alive and world.now >= node.paused_until:
            event = (
                activation.ReportOutdated()
                if world.now % 3 < 1
                else activation.Wakeup()
            )
            drive(episode, node, event)
    sim.at(world, world.now + 0.5, watch_backends, episode)


def any_live(episode):
    """Return a random live VM."""
    return episode.rng.choice([n for n in episode.world.nodes.values() if n.alive])


def lose_peer(episode, vm, delay):
    """Let both ends of every connection of `vm` notice its end.

    A VM that is paused notices it when it goes on.
    """
    world = episode.world
    time = world.now + delay
    lost = world.nodes[vm]
    for node in list(world.nodes.values()):
        if node is not lost:
            sim.at(world, time, sim.feed, world, node, sim.peer_lost(lost))
            sim.at(world, time, sim.feed, world, lost, sim.peer_lost(node))


# Faults: each plans its events between now and FAULT_S.


def fail_vms(episode):
    """VMs fail; most are replaced by a new process, after which rosters change."""
    world = episode.world

    def fail():
        live = [node for node in world.nodes.values() if node.alive]
        if len(live) <= 2:
            return
        node = episode.rng.choice(live)
        node.alive = False
        lose_peer(episode, node.vm, episode.rng.choice([0.05, SILENT_S]))
        if episode.rng.random() < 0.7:
            after = world.now + episode.rng.uniform(0.5, 5)
            sim.at(world, after, join, episode, int(node.vm[2:]))

    for _ in range(episode.rng.randint(1, 4)):
        sim.at(world, episode.rng.uniform(0, FAULT_S * 0.8), fail)


def join(episode, index):
    """Add a VM, or a new process of a VM that was there before."""
    world = episode.world
    old = world.nodes.get(f"vm{index}")
    node = sim.add_node(world, index, old.generation + 1 if old else 0)
    node.told = 0
    if old is None or episode.rng.random() < 0.5:
        backend = Backend(episode.rng, episode.rng.random() < 0.5)
        episode.backends[node.vm] = backend
    assign_all(episode, 2.0)


def join_late(episode):
    """VMs join a rollout that is under way."""
    first = len(episode.world.nodes)
    for index in range(first, first + episode.rng.randint(1, 3)):
        start = episode.rng.uniform(1, FAULT_S * 0.8)
        sim.at(episode.world, start, join, episode, index)


def stall_links(episode):
    """One link in ten stalls: messages and chunks arrive only when it ends."""
    names = list(episode.world.nodes)
    pairs = [(near, far) for near in ["", *names] for far in names if near != far]
    for pair in episode.rng.sample(pairs, max(1, len(pairs) // 10)):
        end = episode.rng.uniform(5, FAULT_S)
        start = episode.rng.uniform(0, end)
        set_stall = episode.world.stalls.__setitem__
        sim.at(episode.world, start, set_stall, pair, end)


def corrupt_chunks(episode):
    """A share of all chunks arrives corrupted."""
    episode.world.corrupt = episode.rng.choice([0.01, 0.1, 0.3])
    sim.at(episode.world, FAULT_S, setattr, episode.world, "corrupt", 0.0)


def delay_messages(episode):
    """Messages are delayed at random, overtake each other and are duplicated."""
    episode.world.jitter_s = episode.rng.choice([0.05, 0.5, 2.0])
    episode.world.duplicate = 0.1
    sim.at(episode.world, FAULT_S, setattr, episode.world, "jitter_s", 0.0)
    sim.at(episode.world, FAULT_S, setattr, episode.world, "duplicate", 0.0)


def stop_origin(episode):
    """The origin is unavailable for a part of the time."""
    start = episode.rng.uniform(0, FAULT_S / 2)
    episode.world.origin_down = ((start, start + episode.rng.uniform(1, 15)),)


def cut_region(episode):
    """A region loses contact with the others."""
    region = episode.rng.choice(["r0", "r1", "r2"])
    start = episode.rng.uniform(0, FAULT_S / 2)
    end = start + episode.rng.uniform(3, FAULT_S / 2)
    sim.at(episode.world, start, episode.world.cut_regions.add, region)
    sim.at(episode.world, start + SILENT_S, lose_region, episode, region)
    sim.at(episode.world, end, episode.world.cut_regions.discard, region)


def lose_region(episode, region):
    """End the connections between a region and the others; both ends notice."""
    world = episode.world
    nodes = list(world.nodes.values())
    for near, far in itertools.permutations(nodes, 2):
        if (near.member.region == region) != (far.member.region == region):
            sim.feed(world, near, sim.peer_lost(far))


def pause_processes(episode):
    """Processes are paused and go on where they were."""
    world = episode.world

    def pause():
        node = any_live(episode)
        node.paused_until = world.now + episode.rng.uniform(1, 8)
        lose_peer(episode, node.vm, SILENT_S)

    for _ in range(episode.rng.randint(1, 4)):
        sim.at(world, episode.rng.uniform(0, FAULT_S * 0.7), pause)


def change_version(episode):
    """The version changes in mid-transfer, sometimes back again."""
    world = episode.world
    old = next(iter(episode.wanted.items()))
    share = episode.rng.choice([0.0, 0.5, 0.95])
    digest, made = sim.publish(world, episode.rng.random(), old[1], share)

    def change(wanted):
        episode.wanted = wanted
        assign_all(episode, 2.0)

    start = episode.rng.uniform(1, 15)
    sim.at(world, start, change, {digest: made})
    if episode.rng.random() < 0.5:
        sim.at(world, start + episode.rng.uniform(1, 10), change, dict([old]))


def add_model(episode):
    """A second manifest is wanted beside the first."""
    world = episode.world
    digest, made = sim.publish(world, episode.rng.random())

    def change():
        episode.wanted = {**episode.wanted, digest: made}
        assign_all(episode, 2.0)

    sim.at(world, episode.rng.uniform(0, 20), change)


def limit_memory(episode):
    """There is no room for two manifests, and one is asked for beside the other."""
    for node in episode.world.nodes.values():
        node.state.cache.limit_bytes = int(1.3 * episode.world.copy_bytes)
    add_model(episode)


def restart_backends(episode):
    """Backend servers restart without weights, and commands fail."""
    for backend in episode.backends.values():
        backend.failing = 0.3
        sim.at(episode.world, FAULT_S, setattr, backend, "failing", 0.0)

    def restart():
        backend = episode.backends[any_live(episode).vm]
        backend.serving, backend.loaded, backend.fence = {}, {}, 0

    for _ in range(3):
        sim.at(episode.world, episode.rng.uniform(0, FAULT_S), restart)


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

PLANS = [(), *((fault,) for fault in FAULTS), *itertools.combinations(FAULTS, 2)]


def run_episode(seed, number):
    """Run one episode and return its `Episode`.

    Raises
    ------
    InvariantError
        From the product, or if a live VM does not recover in time.
    """
    rng = random.Random(f"{seed} {number}")
    shape = sim.Shape(
        n=rng.randint(2, 14),
        chunk_count=rng.choice([1, 7, 32, 64]),
        window_s=rng.choice([10.0, 40.0]),
        policy=rng.choice(list(st.Policy)),
    )
    world = sim.World(shape, random.Random(f"world {seed} {number}"))
    episode = Episode(world, rng)
    digest, made = sim.publish(world, rng.random())
    episode.wanted = {digest: made}
    for index in range(shape.n):
        node = sim.add_node(world, index)
        node.told = 0
        episode.backends[node.vm] = Backend(rng, rng.random() < 0.5)
    world.on_complete = lambda node, key: sim.at(
        world, world.now, drive, episode, node, activation.Wakeup()
    )
    assign_all(episode, 0.5)
    for fault in PLANS[number % len(PLANS)]:
        fault(episode)
    sim.at(world, 0.5, watch_backends, episode)
    sim.at(world, FAULT_S, assign_all, episode, 1.0)
    sim.run(world, FAULT_S + 1.5)
    end = FAULT_S + max(60.0, RECOVERY_WINDOWS * shape.window_s)
    sim.run(world, end, lambda: recovered(episode))
    check_recovered(episode)
    return episode


def recovered(episode):
    """Return whether every live VM holds and serves what it was told to."""
    return not lagging(episode)


def lagging(episode):
    """Return the live VMs that lack or do not serve what they were told to hold."""
    found = []
    for node in episode.world.nodes.values():
        wanted = set(node.wanted) - node.refused
        held = all(chunks.is_complete(node.state.cache, key) for key in wanted)
        serving = set(episode.backends[node.vm].serving.values())
        served = serving >= wanted if node.refused else serving == wanted
        if node.alive and not (held and served):
            found.append(node)
    return found


def check_recovered(episode):
    """Raise InvariantError if a live VM has not recovered."""
    behind = lagging(episode)
    if behind:
        node = behind[0]
        missing = {
            digest[:8]: [
                job.chunks.index(key) for key in job.chunks if not held(node, key)
            ]
            for digest, job in node.state.jobs.items()
        }
        raise errors.InvariantError(
            f"{[item.vm for item in behind]} did not recover by "
            f"{episode.world.now:.1f}; {node.vm} serves "
            f"{episode.backends[node.vm].serving}, misses {missing}"
        )


def held(node, digest):
    """Return whether a VM holds a chunk."""
    return chunks.get(node.state.cache, digest) is not None


def main(argv):
    """Run the episodes and print a table and one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--episodes", type=int, default=3 * len(PLANS))
    parser.add_argument("--only", type=int)
    args = parser.parse_args(argv)
    numbers = range(args.episodes) if args.only is None else [args.only]
    started = time.monotonic()
    failures = []
    steps = 0
    copies = collections.defaultdict(float)
    for number in numbers:
        names = "+".join(fault.__name__ for fault in PLANS[number % len(PLANS)])
        try:
            episode = run_episode(args.seed, number)
        except errors.InvariantError as exc:
            failures.append({"episode": number, "faults": names, "error": str(exc)})
            print(f"episode {number} {names}: {exc}", flush=True)
            continue
        steps += episode.world.steps
        drawn = episode.world.origin_bytes / episode.world.copy_bytes
        copies[names] = max(copies[names], drawn)
    for names, drawn in sorted(copies.items()):
        print(f"{names or 'none':40} most origin copies {drawn:.2f}")
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
