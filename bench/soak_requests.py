"""Long seeded runs of requests in virtual time over faults, alone and in pairs.

The invariants are asserted by the shipped code; what callers see is counted here.
"""

import collections
import itertools
import json
import random
import sys
import time

import anyio
import attrs
import defopt

from bench import request_world as worlds
from testing import fake_store, virtual_time

PLANNED = ("drain", "entry_leave", "version_change")
"""Planned stops; with these alone no request may end other than whole or refused."""

RUN_S = 20.0
"""Virtual seconds of requests per scenario."""

LATE_S = 70.0
"""Virtual time after the last response in which calls may still end."""

LIMIT_S = 90.0
"""Virtual time in which every caller must have its final response."""


@attrs.define
class Counts:
    """What callers saw in one scenario."""

    requests: int = 0
    done: int = 0
    not_run: int = 0
    unknown: int = 0
    lost: int = 0
    doubled: int = 0
    crossed: int = 0
    cut: int = 0
    false_not_run: int = 0
    third_server: int = 0
    without_retry_after: int = 0
    left_open: int = 0
    detail: list = attrs.field(factory=list)


BAD = (
    "lost",
    "doubled",
    "crossed",
    "cut",
    "false_not_run",
    "third_server",
    "without_retry_after",
    "left_open",
)


async def call(entry, method, path, who, headers, body):
    """Send one request to an entry's application; return its parsed response."""
    got = {"status": None, "headers": {}, "body": b"", "whole": False}
    sent = [False]
    gone = anyio.Event()

    async def receive():
        if sent[0]:
            await gone.wait()
            return {"type": "http.disconnect"}
        sent[0] = True
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        if message["type"] == "http.response.start":
            got["status"] = message["status"]
            got["headers"] = {k.decode(): v.decode() for k, v in message["headers"]}
            return
        got["body"] += message["body"]
        got["whole"] = not message.get("more_body", False)

    key = worlds.CUSTOMERS[who]
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [
            (b"authorization", f"Bearer {key}".encode()),
            *((name.encode(), value.encode()) for name, value in headers.items()),
        ],
    }
    await entry.app(scope, receive, send)
    return got


@attrs.define(eq=False)
class Soak:
    """One scenario: its world, its faults and its counts."""

    world: worlds.World
    kinds: tuple
    counts: Counts = attrs.field(factory=Counts)
    orders: dict = attrs.field(factory=dict)
    told_not_run: set = attrs.field(factory=set)
    submissions: object = attrs.field(factory=itertools.count)
    stopped: bool = False


def make_order(soak, number):
    """Return one order: kind of call, customer and body."""
    rng = soak.world.rng
    kind = rng.choice(("stream", "whole", "get", "pay", "pay"))
    if "deadly" in soak.kinds and rng.random() < 0.05:
        kind = "deadly"
    who = rng.choice(sorted(worlds.CUSTOMERS))
    body = {"order": f"o{number}", "who": who, "size": rng.randint(1, 60)}
    path, method = "/services/desk/look", "POST"
    if kind in ("stream", "whole", "deadly"):
        path = "/v1/completions"
        prompt = f"shared {rng.randrange(5)} " * 40 + body["order"]
        body |= {"model": "drafter", "prompt": prompt, "stream": kind != "whole"}
        body["deadly"] = kind == "deadly"
    if kind == "pay":
        path = "/services/desk/pay"
    return {"kind": kind, "who": who, "path": path, "method": method, "body": body}


async def run_order(soak, order):
    """Send an order, and again through other entries while it is not done."""
    rng = soak.world.rng
    copies = rng.randint(1, 3) if order["kind"] in ("pay", "deadly") else 1
    async with anyio.create_task_group() as tg:
        for _ in range(copies):
            tg.start_soon(_copy, soak, order)


async def _copy(soak, order):
    rng = soak.world.rng
    for _ in range(4):
        outcome = await submit(soak, order)
        if outcome == "done":
            if order["kind"] == "pay" and rng.random() < 0.3:
                continue
            return
        await anyio.sleep(rng.uniform(0.05, 2.0))


async def submit(soak, order):
    """Send an order once and check its response; return its outcome."""
    world, counts = soak.world, soak.counts
    name = world.rng.choice(sorted(n for n in world.entries))
    entry = world.entries[name]
    submission = f"s{next(soak.submissions)}"
    headers = {"x-submission": submission}
    if order["kind"] == "pay":
        headers["idempotency-key"] = order["body"]["order"]
    counts.requests += 1
    soak.orders[submission] = order
    body = json.dumps(order["body"]).encode()
    got = None
    with anyio.move_on_after(LIMIT_S):
        got = await call(
            entry, order["method"], order["path"], order["who"], headers, body
        )
    if entry is not world.entries.get(name):
        return "entry died"
    if got is None or got["status"] is None:
        counts.lost += 1
        counts.detail.append(("lost", submission, order["kind"]))
        return "lost"
    return check(soak, submission, order, got)


def check(soak, submission, order, got):
    """Compare a response with the only correct one and count it."""
    counts, world = soak.counts, soak.world
    outcome = got["headers"].get("carobstand-outcome", "")
    if got["status"] == 200:
        right = {
            world.answer_of(order["body"], version)
            for version in ([""] if "/services" in order["path"] else world.versions)
        }
        if got["whole"]:
            if got["body"] not in right:
                own = any(answer[:70] == got["body"][:70] for answer in right)
                kind = "cut" if own else "crossed"
                setattr(counts, kind, getattr(counts, kind) + 1)
                counts.detail.append((kind, submission, order["kind"]))
            counts.done += 1
            return "done"
        if not any(answer.startswith(got["body"]) for answer in right):
            counts.crossed += 1
            counts.detail.append(("crossed", submission, order["kind"]))
        outcome = "unknown"
    if outcome == "not-run":
        counts.not_run += 1
        soak.told_not_run.add(submission)
    else:
        counts.unknown += 1
        if set(soak.kinds) <= set(PLANNED) and got["status"] != 409:
            counts.cut += 1
            counts.detail.append(("cut", submission, order["kind"], got["body"][-200:]))
    if got["status"] in (429, 502, 503, 504) and "retry-after" not in got["headers"]:
        counts.without_retry_after += 1
        counts.detail.append(("no retry-after", submission, got["body"]))
    return outcome


async def callers_loop(soak, tg):
    """Send orders at random times until the run ends."""
    rng = soak.world.rng
    for number in itertools.count():
        if anyio.current_time() > RUN_S:
            return
        tg.start_soon(run_order, soak, make_order(soak, number))
        await anyio.sleep(rng.expovariate(8))


# Faults: each is one async function that harms the world for a while and heals it.


async def vm_failure(soak, rng):
    """An agent and its backend server fail and are replaced at the same address."""
    world = soak.world
    name = rng.choice(sorted(world.agents))
    agent = world.agents.pop(name)
    agent.backend.crash()
    await worlds.kill(agent)
    await anyio.sleep(rng.uniform(0.1, 3))
    await worlds.start_agent(world, name)


async def backend_crash(soak, rng):
    """A backend server fails and restarts; its agent stays."""
    agent = soak.world.agents[rng.choice(sorted(soak.world.agents))]
    agent.backend.crash()
    await anyio.sleep(rng.uniform(0.05, 2))
    agent.backend.up = True


async def entry_failure(soak, rng):
    """An entry fails and is replaced."""
    world = soak.world
    name = rng.choice(sorted(world.entries))
    entry = world.entries.pop(name)
    await worlds.kill(entry)
    for other in world.entries.values():
        other.state.entries.pop(name, None)
    await anyio.sleep(rng.uniform(0.1, 2))
    await worlds.start_entry(world, name)


async def silent_link(soak, rng):
    """An open connection becomes silent in one or both directions."""
    if not soak.world.links:
        return
    link = soak.world.links[rng.choice(sorted(soak.world.links))]
    until = anyio.current_time() + rng.choice((0.5, 2.0, 6.0, 30.0))
    for pipe in link if rng.random() < 0.5 else [rng.choice(link)]:
        pipe.silent_until = until
        pipe.event.set()


async def cut_link(soak, rng):
    """A connection ends."""
    if not soak.world.links:
        return
    link = soak.world.links[rng.choice(sorted(soak.world.links))]
    for pipe in link:
        pipe.ended = True
        pipe.event.set()


async def store_down(soak, rng):
    """The store does not answer."""
    soak.world.store.down = True
    await anyio.sleep(rng.uniform(0.5, 6))
    soak.world.store.down = False


async def store_slow(soak, rng):
    """The store answers after seconds, so that claims and sends are far apart."""
    soak.world.store.latency_s = rng.choice((0.3, 1.5))
    await anyio.sleep(rng.uniform(0.5, 4))
    soak.world.store.latency_s = 0.003


async def store_lost(soak, rng):
    """Answers of the store are lost after the call took effect; reads are stale."""
    soak.world.store.lost_answers = 0.3
    soak.world.store.stale_reads = 0.2
    await anyio.sleep(rng.uniform(0.5, 6))
    soak.world.store.lost_answers = soak.world.store.stale_reads = 0.0


async def stalled_backend(soak, rng):
    """A backend server stops in the middle of its answers."""
    agent = soak.world.agents[rng.choice(sorted(soak.world.agents))]
    agent.backend.stall = True
    await anyio.sleep(rng.uniform(0.5, 3))
    agent.backend.stall = False


async def deadly(soak, rng):
    """Requests that crash each backend server are sent; servers restart quickly."""
    for agent in soak.world.agents.values():
        if not agent.backend.up:
            agent.backend.up = True
    await anyio.sleep(0.3)


async def drain(soak, rng):
    """An agent leaves, finishes its work and is replaced."""
    world = soak.world
    name = rng.choice(sorted(world.agents))
    agent = world.agents[name]
    agent.state.leaving = True
    for entry in world.entries.values():
        peer = entry.state.agents.get(name)
        if peer is not None:
            peer.leaving = True
            entry.state.changed.notify()
    with anyio.move_on_after(60):
        while agent.state.running_attempts:
            await anyio.sleep(0.05)
        await anyio.sleep(0.1)
    del world.agents[name]
    await worlds.kill(agent)
    await worlds.start_agent(world, name, agent.backend)
    await anyio.sleep(1.0)


async def entry_leave(soak, rng):
    """An entry gets no more callers, finishes and is replaced."""
    world = soak.world
    name = rng.choice(sorted(world.entries))
    entry = world.entries.pop(name)
    with anyio.move_on_after(60):
        while entry.state.dispatcher.open_requests:
            await anyio.sleep(0.05)
    await worlds.kill(entry)
    await worlds.start_entry(world, name)
    await anyio.sleep(0.5)


async def version_change(soak, rng):
    """Backend servers change to a new version one after the other."""
    world = soak.world
    new = f"v{len(world.versions) + 1}"
    world.versions.add(new)
    world.weights = {**world.weights, new: 1.0}
    world.table = worlds.new_table(world)
    for entry in world.entries.values():
        entry.state.table = world.table
    for agent in list(world.agents.values()):
        agent.backend.version = new
        agent.state.changed.notify()
        worlds.heartbeat(agent)
        await anyio.sleep(rng.uniform(0.2, 1))


FAULTS = {
    "vm_failure": vm_failure,
    "backend_crash": backend_crash,
    "entry_failure": entry_failure,
    "silent_link": silent_link,
    "cut_link": cut_link,
    "store_down": store_down,
    "store_slow": store_slow,
    "store_lost": store_lost,
    "stalled_backend": stalled_backend,
    "deadly": deadly,
    "drain": drain,
    "entry_leave": entry_leave,
    "version_change": version_change,
}


async def faults_loop(soak, kind):
    """Apply one kind of fault again and again until the run ends."""
    rng = soak.world.rng
    while anyio.current_time() < RUN_S:
        await anyio.sleep(rng.uniform(0.3, 3))
        await FAULTS[kind](soak, rng)


def audit(soak):
    """Compare what callers were told with what the backend servers ran."""
    counts, world = soak.counts, soak.world
    by_order = {}
    for order in soak.orders.values():
        by_order[order["body"]["order"]] = order
    for number, runs in world.runs.items():
        if by_order[number]["kind"] == "pay" and len(runs) > 1:
            counts.doubled += 1
            counts.detail.append(("doubled", number, runs))
        for submission, _ in runs:
            if submission in soak.told_not_run:
                counts.false_not_run += 1
                counts.detail.append(("false not run", submission, number, runs))
    crashed = collections.defaultdict(set)
    for name, runs in world.runs.items():
        if by_order[name]["kind"] == "deadly":
            crashed[name] = {server for _, server in runs}
    for name, servers in crashed.items():
        if len(servers) > 2:
            counts.third_server += 1
            counts.detail.append(("third server", name, sorted(servers)))


async def scenario(seed, kinds):
    """Run one scenario and return its counts."""
    rng = random.Random(f"{seed}/{'+'.join(kinds)}")
    async with anyio.create_task_group() as tg:
        world = worlds.World(rng, tg)
        world.store = fake_store.Shared(rng)
        world.table = worlds.new_table(world)
        soak = Soak(world, kinds)
        for num in range(3):
            await worlds.start_entry(world, f"entry-{num}")
        for num in range(5):
            await worlds.start_agent(world, f"vm-{num}")
        for num, agent in itertools.product(range(3), range(5)):
            tg.start_soon(worlds.dial, world, f"vm-{agent}", f"entry-{num}")
        tg.start_soon(worlds.gossip, world)
        await anyio.sleep(2.0)
        async with anyio.create_task_group() as traffic:
            for kind in kinds:
                traffic.start_soon(faults_loop, soak, kind)
            await callers_loop(soak, traffic)
        await anyio.sleep(LATE_S)
        audit(soak)
        for entry in world.entries.values():
            left = entry.state.dispatcher.open_requests
            soak.counts.left_open += left
        tg.cancel_scope.cancel()
    return soak.counts


def scenarios(names):
    """Return the sets of faults to run: none, each alone, each pair."""
    singles = [(name,) for name in names]
    return [(), *singles, *itertools.combinations(names, 2)]


def main(*, seed: str = "1", only: str = "all", part: str = "1/1"):
    """Run all scenarios of a seed; exit status 1 if a count that must be 0 is not.

    Parameters
    ----------
    seed : str
        Decides every delay and fault.
    only : str
        Faults joined by ``+``: only they are run, together; ``none`` for no fault.
    part : str
        ``i/n`` runs the i-th of n parts of the scenarios.
    """
    number, parts = map(int, part.split("/"))
    chosen = scenarios(list(FAULTS))[number - 1 :: parts]
    if only != "all":
        chosen = [tuple(name for name in only.split("+") if name != "none")]
    total, failures = collections.Counter(), []
    begun = time.monotonic()
    for kinds in chosen:
        counts = virtual_time.run(scenario, seed, kinds)
        values = {name: getattr(counts, name) for name in attrs.fields_dict(Counts)}
        values.pop("detail")
        total.update(values)
        bad = {name: values[name] for name in BAD if values[name]}
        label = "+".join(kinds) or "none"
        print(f"{label:32} {values['requests']:5} requests {bad or 'ok'}", flush=True)
        if bad:
            failures.append(label)
            for item in counts.detail[:5]:
                print("   ", item)
    summary = {
        "bench": "soak_requests",
        "seed": seed,
        "scenarios": len(chosen),
        "failed": failures,
        "seconds": round(time.monotonic() - begun, 1),
        **total,
    }
    print(json.dumps(summary))
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    defopt.run(main)
