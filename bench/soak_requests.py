"""Long seeded runs of requests in virtual time, with faults alone and in pairs.

The shipped code asserts its invariants; this module checks the responses that callers
get and what the backend servers ran.
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

from bench import request_simulation as sim
from testing import fake_store, virtual_time

PLANNED_STOPS = ("drain", "entry_leave", "version_change")
"""Planned stops; with only these each request must be completed or refused."""

TRAFFIC_S = 20.0
"""Virtual time during which callers send requests, per scenario."""

LATE_CALLS_S = 70.0
"""Virtual time after the last response in which calls may still end."""

RESPONSE_TIMEOUT_S = 90.0
"""Virtual time within which every caller must have its final response."""


@attrs.define
class Counts:
    """Results of the requests of one scenario.

    Attributes
    ----------
    done : int
        Complete responses with status 200.
    not_run, unknown : int
        Other responses: reported as not run, or with an unknown outcome.
    lost : int
        Requests without a response in time.
    doubled : int
        Orders with an idempotency key that ran more than once.
    crossed : int
        Responses with data that does not belong to the request.
    cut : int
        Responses that were complete in form but shortened, or, with planned stops
        only, responses of unknown outcome other than 409.
    false_not_run : int
        Executions of requests that were reported as not run.
    third_server : int
        Poison requests that reached more than two backend servers.
    without_retry_after : int
        Responses 429, 502, 503 and 504 without the header ``Retry-After``.
    left_open : int
        Requests that entries still hold at the end.
    detail : list of tuple
        Description of each violation.
    """

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


VIOLATIONS = (
    "lost",
    "doubled",
    "crossed",
    "cut",
    "false_not_run",
    "third_server",
    "without_retry_after",
    "left_open",
)


async def call(entry, method, path, customer, headers, body):
    """Send one request to the HTTP application of an entry; return its response."""
    response = {"status": None, "headers": {}, "body": b"", "complete": False}
    sent = [False]
    disconnected = anyio.Event()

    async def receive():
        if sent[0]:
            await disconnected.wait()
            return {"type": "http.disconnect"}
        sent[0] = True
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        if message["type"] == "http.response.start":
            response["status"] = message["status"]
            response["headers"] = {
                k.decode(): v.decode() for k, v in message["headers"]
            }
            return
        response["body"] += message["body"]
        response["complete"] = not message.get("more_body", False)

    key = sim.CUSTOMERS[customer]
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
    return response


@attrs.define(eq=False)
class Soak:
    """One scenario: its world, kinds of faults and counts.

    `orders` holds the order of each submission; `reported_not_run` the submissions that
    callers may take as not run.
    """

    world: sim.World
    kinds: tuple
    counts: Counts = attrs.field(factory=Counts)
    orders: dict = attrs.field(factory=dict)
    reported_not_run: set = attrs.field(factory=set)
    submission_ids: object = attrs.field(factory=itertools.count)
    stopped: bool = False


def make_order(soak, number):
    """Return one order: kind of call, customer and body."""
    rng = soak.world.rng
    kind = rng.choice(("stream", "non_stream", "get", "pay", "pay"))
    if "deadly" in soak.kinds and rng.random() < 0.05:
        kind = "deadly"
    customer = rng.choice(sorted(sim.CUSTOMERS))
    body = {"order": f"o{number}", "who": customer, "size": rng.randint(1, 60)}
    path, method = "/services/desk/look", "POST"
    if kind in ("stream", "non_stream", "deadly"):
        path = "/v1/completions"
        prompt = f"shared {rng.randrange(5)} " * 40 + body["order"]
        body |= {"model": "drafter", "prompt": prompt, "stream": kind != "non_stream"}
        body["deadly"] = kind == "deadly"
    if kind == "pay":
        path = "/services/desk/pay"
    return {"kind": kind, "who": customer, "path": path, "method": method, "body": body}


async def run_order(soak, order):
    """Send an order, with client retries through any entry until it is done.

    Orders to pay and poison requests are sent by up to three callers at the same time.
    """
    rng = soak.world.rng
    copies = rng.randint(1, 3) if order["kind"] in ("pay", "deadly") else 1
    async with anyio.create_task_group() as tg:
        for _ in range(copies):
            tg.start_soon(_submit_until_done, soak, order)


async def _submit_until_done(soak, order):
    rng = soak.world.rng
    for _ in range(4):
        outcome = await submit(soak, order)
        if outcome == "done":
            if order["kind"] == "pay" and rng.random() < 0.3:
                continue
            return
        await anyio.sleep(rng.uniform(0.05, 2.0))


async def submit(soak, order):
    """Send an order once and check the response; return its outcome."""
    world, counts = soak.world, soak.counts
    name = world.rng.choice(sorted(n for n in world.entries))
    entry = world.entries[name]
    submission = f"s{next(soak.submission_ids)}"
    headers = {"x-submission": submission}
    if order["kind"] == "pay":
        headers["idempotency-key"] = order["body"]["order"]
    counts.requests += 1
    soak.orders[submission] = order
    body = json.dumps(order["body"]).encode()
    response = None
    with anyio.move_on_after(RESPONSE_TIMEOUT_S):
        response = await call(
            entry, order["method"], order["path"], order["who"], headers, body
        )
    if entry is not world.entries.get(name):
        return "entry failed"
    if response is None or response["status"] is None:
        counts.lost += 1
        counts.detail.append(("lost", submission, order["kind"]))
        return "lost"
    return check_response(soak, submission, order, response)


def check_response(soak, submission, order, response):
    """Compare a response with the correct ones, count it and return its outcome."""
    counts, world = soak.counts, soak.world
    outcome = response["headers"].get("carobstand-outcome", "")
    if response["status"] == 200:
        expected_bodies = {
            world.expected_body(order["body"], version)
            for version in ([""] if "/services" in order["path"] else world.versions)
        }
        if response["complete"]:
            if response["body"] not in expected_bodies:
                same_request = any(
                    answer[:70] == response["body"][:70] for answer in expected_bodies
                )
                kind = "cut" if same_request else "crossed"
                setattr(counts, kind, getattr(counts, kind) + 1)
                counts.detail.append((kind, submission, order["kind"]))
            counts.done += 1
            return "done"
        if not any(answer.startswith(response["body"]) for answer in expected_bodies):
            counts.crossed += 1
            counts.detail.append(("crossed", submission, order["kind"]))
        outcome = "unknown"
    if outcome == "not-run":
        counts.not_run += 1
        soak.reported_not_run.add(submission)
    else:
        counts.unknown += 1
        if set(soak.kinds) <= set(PLANNED_STOPS) and response["status"] != 409:
            counts.cut += 1
            counts.detail.append(
                ("cut", submission, order["kind"], response["body"][-200:])
            )
    if (
        response["status"] in (429, 502, 503, 504)
        and "retry-after" not in response["headers"]
    ):
        counts.without_retry_after += 1
        counts.detail.append(("no retry-after", submission, response["body"]))
    return outcome


async def send_orders(soak, tg):
    """Send orders at random times until `TRAFFIC_S`."""
    rng = soak.world.rng
    for number in itertools.count():
        if anyio.current_time() > TRAFFIC_S:
            return
        tg.start_soon(run_order, soak, make_order(soak, number))
        await anyio.sleep(rng.expovariate(8))


# Faults: each function injects one fault for a while and ends it.


async def vm_failure(soak, rng):
    """An agent and its backend server fail and are replaced at the same address."""
    world = soak.world
    name = rng.choice(sorted(world.agents))
    agent = world.agents.pop(name)
    agent.backend.crash()
    await sim.kill(agent)
    await anyio.sleep(rng.uniform(0.1, 3))
    await sim.start_agent(world, name)


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
    await sim.kill(entry)
    for other in world.entries.values():
        other.state.entries.pop(name, None)
    await anyio.sleep(rng.uniform(0.1, 2))
    await sim.start_entry(world, name)


async def silent_link(soak, rng):
    """An open connection stops delivering data in one or both directions."""
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
    """The store is slow: seconds may pass between a claim and its attempt."""
    soak.world.store.latency_s = rng.choice((0.3, 1.5))
    await anyio.sleep(rng.uniform(0.5, 4))
    soak.world.store.latency_s = 0.003


async def store_lost(soak, rng):
    """Responses of the store are lost after the call took effect; reads are stale."""
    soak.world.store.lost_answer_probability = 0.3
    soak.world.store.stale_read_probability = 0.2
    await anyio.sleep(rng.uniform(0.5, 6))
    soak.world.store.lost_answer_probability = (
        soak.world.store.stale_read_probability
    ) = 0.0


async def stalled_backend(soak, rng):
    """A backend server stops in the middle of its responses."""
    agent = soak.world.agents[rng.choice(sorted(soak.world.agents))]
    agent.backend.stall = True
    await anyio.sleep(rng.uniform(0.5, 3))
    agent.backend.stall = False


async def deadly(soak, rng):
    """Restart crashed servers quickly; `make_order` adds poison requests."""
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
    await sim.kill(agent)
    await sim.start_agent(world, name, agent.backend)
    await anyio.sleep(1.0)


async def entry_leave(soak, rng):
    """An entry gets no new requests, finishes its open ones and is replaced."""
    world = soak.world
    name = rng.choice(sorted(world.entries))
    entry = world.entries.pop(name)
    with anyio.move_on_after(60):
        while entry.state.dispatcher.open_requests:
            await anyio.sleep(0.05)
    await sim.kill(entry)
    await sim.start_entry(world, name)
    await anyio.sleep(0.5)


async def version_change(soak, rng):
    """Backend servers change to a new version one after the other."""
    world = soak.world
    new_version = f"v{len(world.versions) + 1}"
    world.versions.add(new_version)
    world.weights = {**world.weights, new_version: 1.0}
    world.table = sim.new_table(world)
    for entry in world.entries.values():
        entry.state.table = world.table
    for agent in list(world.agents.values()):
        agent.backend.version = new_version
        agent.state.changed.notify()
        sim.build_heartbeat(agent)
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


async def inject_faults(soak, kind):
    """Inject one kind of fault repeatedly until the callers stop."""
    rng = soak.world.rng
    while anyio.current_time() < TRAFFIC_S:
        await anyio.sleep(rng.uniform(0.3, 3))
        await FAULTS[kind](soak, rng)


def check_runs(soak):
    """Compare the outcomes reported to callers with what the backend servers ran."""
    counts, world = soak.counts, soak.world
    by_order = {}
    for order in soak.orders.values():
        by_order[order["body"]["order"]] = order
    for number, runs in world.runs.items():
        if by_order[number]["kind"] == "pay" and len(runs) > 1:
            counts.doubled += 1
            counts.detail.append(("doubled", number, runs))
        for submission, _ in runs:
            if submission in soak.reported_not_run:
                counts.false_not_run += 1
                counts.detail.append(("false not run", submission, number, runs))
    crashed_servers = collections.defaultdict(set)
    for name, runs in world.runs.items():
        if by_order[name]["kind"] == "deadly":
            crashed_servers[name] = {server for _, server in runs}
    for name, servers in crashed_servers.items():
        if len(servers) > 2:
            counts.third_server += 1
            counts.detail.append(("third server", name, sorted(servers)))


async def scenario(seed, kinds):
    """Run one scenario and return its counts."""
    rng = random.Random(f"{seed}/{'+'.join(kinds)}")
    async with anyio.create_task_group() as tg:
        world = sim.World(rng, tg)
        world.store = fake_store.SharedState(rng)
        world.table = sim.new_table(world)
        soak = Soak(world, kinds)
        for num in range(3):
            await sim.start_entry(world, f"entry-{num}")
        for num in range(5):
            await sim.start_agent(world, f"vm-{num}")
        for num, agent in itertools.product(range(3), range(5)):
            tg.start_soon(sim.keep_connected, world, f"vm-{agent}", f"entry-{num}")
        tg.start_soon(sim.run_gossip, world)
        await anyio.sleep(2.0)
        async with anyio.create_task_group() as traffic:
            for kind in kinds:
                traffic.start_soon(inject_faults, soak, kind)
            await send_orders(soak, traffic)
        await anyio.sleep(LATE_CALLS_S)
        check_runs(soak)
        for entry in world.entries.values():
            open_requests = entry.state.dispatcher.open_requests
            soak.counts.left_open += open_requests
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
    started_at = time.monotonic()
    for kinds in chosen:
        counts = virtual_time.run(scenario, seed, kinds)
        values = {name: getattr(counts, name) for name in attrs.fields_dict(Counts)}
        values.pop("detail")
        total.update(values)
        violations = {name: values[name] for name in VIOLATIONS if values[name]}
        label = "+".join(kinds) or "none"
        print(
            f"{label:32} {values['requests']:5} requests {violations or 'ok'}",
            flush=True,
        )
        if violations:
            failures.append(label)
            for item in counts.detail[:5]:
                print("   ", item)
    summary = {
        "bench": "soak_requests",
        "seed": seed,
        "scenarios": len(chosen),
        "failed": failures,
        "seconds": round(time.monotonic() - started_at, 1),
        **total,
    }
    print(json.dumps(summary))
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    defopt.run(main)
