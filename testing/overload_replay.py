"""Replay of a load that exceeds the engines' capacity, in virtual time.

Runs the program's queue, placement and policy at several entries. Engines, their
reports, datagrams between the entries and callers are simulated. A caller that is
rejected comes back after `Retry-After` with the time that is left.
"""

import collections
import functools
import heapq
import itertools
import random
import sys
import time
from unittest import mock

import anyio
import attrs

from carobstand import eventlog, http1_server
from carobstand.core import (
    engine_load,
    entry_roster,
    exchange,
    latency_model,
    placement,
    queue_policy,
    registry,
    routes,
    value_density,
    weight_sources,
)
from carobstand.entry import fleet as fleets
from carobstand.entry import forwarding, ingress, queueing, rejections
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes
from testing import platform_builders as build
from testing import virtual_time

MODEL = attrs.evolve(
    build.LATENCY_MODEL,
    slots=12,
    steps_per_pass=7,
    usual_prompt_tokens=950,
    usual_answer_tokens=105,
)
SHORTEST_S = latency_model.predict(MODEL, 0, 0, 950).first_event_s
TARGET_S = 0.406
DEADLINE_S = 6.0
REPORT_INTERVAL_S = 0.2
REPORT_DELAY_S = 0.1
"""Maximum delay of a report and of the datagrams between entries."""

LINK_S = 0.01
CALLER_LINK_S = 0.02
LONG_HOLD_S = 0.05
"""Wait from which a rejection counts as one of a request that was held."""

MARGIN_QUANTILE = 0.8
MARGIN_SAMPLES = 60


@attrs.define(eq=False)
class Job:
    """One request at an engine."""

    prompt: int
    answer: int
    priority: int
    began: anyio.Event = attrs.field(factory=anyio.Event)
    ended: anyio.Event = attrs.field(factory=anyio.Event)
    unread: int = 0
    written: int = 0


@attrs.define(eq=False)
class Engine:
    """An engine that works in passes, as `core.latency_model` describes."""

    server: object
    slowness: float = 1.0
    is_down: bool = False
    queue: list = attrs.field(factory=list)
    running: list = attrs.field(factory=list)
    arrived: anyio.Event = attrs.field(factory=anyio.Event)
    number: object = attrs.field(factory=itertools.count)


async def run_engine(engine):
    while True:
        if not (engine.queue or engine.running):
            engine.arrived = anyio.Event()
            await engine.arrived.wait()
        while engine.queue and len(engine.running) < MODEL.slots:
            _, _, job = heapq.heappop(engine.queue)
            job.unread = job.prompt
            engine.running.append(job)
        left, read, prefilled = MODEL.prompt_tokens_per_step, 0.0, []
        for job in engine.running:
            part = min(left, job.unread)
            if part:
                read += latency_model.prefill_s(MODEL, part)
                left -= part
                job.unread -= part
            if not job.unread:
                prefilled.append(job)
        decode_s = latency_model.decode_pass_s(MODEL, len(prefilled))
        await anyio.sleep(engine.slowness * (read + decode_s))
        for job in prefilled:
            job.began.set()
            job.written += MODEL.steps_per_pass
            if job.written >= job.answer:
                job.ended.set()
        engine.running = [job for job in engine.running if not job.ended.is_set()]


def submit(engine, job):
    heapq.heappush(engine.queue, (job.priority, next(engine.number), job))
    engine.arrived.set()


@attrs.frozen
class Source:
    """A stream of requests: `rate` returns requests/s at a time."""

    customer: str
    priority: int
    rate: object
    entries: tuple | None = None


@attrs.define(eq=False)
class Request:
    """One caller's request and how it ended."""

    source: Source
    entry: int
    at: float
    prompt: int
    answer: int
    usual_deadline_s: float
    outcome: str = "rejected"
    attempts: int = 0
    took_s: float = 0.0
    held_rejections: int = 0


@attrs.define(eq=False)
class Replay:
    """State of one replay."""

    tasks: object
    seed: int
    draw: random.Random
    engines: dict
    entries: list
    requests: list = attrs.field(factory=list)
    errors: dict = attrs.field(factory=dict)
    datagrams: int = 0
    bytes_sent: int = 0
    unreachable: set = attrs.field(factory=set)


def _service():
    return build.service(latency_model=MODEL)


def _entry(number, count, servers):
    config = routes.Configuration(
        version=1, routes={}, services={"drafter": _service()}
    )
    dep = build.deployment_of(f"e-{number}", f"10.1.0.{number + 1}")
    known = registry.Registry(servers={item.server_id: item for item in servers})
    fleet = fleets.Fleet(dep, None, configuration=config, servers=known)
    for other in range(count):
        item = weight_sources.Entry(
            f"e-{other}", f"10.1.0.{other + 1}:7700", "a", "north"
        )
        entry_roster.put(fleet.roster, item.vm, item)
    return forwarding.Forwarder(fleet)


async def _run_exchange(replay, fwd):
    """Exchange demand with the other entries, if the program does so."""
    exchange_module = getattr(queueing, "demand_exchange", None)
    if exchange_module is None:
        return
    fwd.demand.capacity_of = functools.partial(queueing.known_capacity, fwd)
    replay.tasks.start_soon(exchange_module.run, fwd)
    while True:
        outbox, fwd.limits.outbox = fwd.limits.outbox, []
        for address, message in outbox:
            raw = fleet_codec.encode(message)
            replay.datagrams += 1
            replay.bytes_sent += len(raw)
            replay.tasks.start_soon(_deliver_datagram, replay, address, raw)
        await anyio.sleep(0.02)


async def _deliver_datagram(replay, address, raw):
    await anyio.sleep(replay.draw.uniform(0.002, REPORT_DELAY_S))
    if address in replay.unreachable:
        return
    message = fleet_codec.decode(raw)
    for fwd in replay.entries:
        if address.startswith(f"{fwd.fleet.deployment.ip}:"):
            if isinstance(message, ttypes.DemandReport):
                queueing.demand_exchange.on_report(fwd, message, "peer")
            else:
                queueing.demand_exchange.on_summary(fwd, message, "peer")


async def _report(replay, engine):
    number = itertools.count(1)
    await anyio.sleep(replay.draw.uniform(0, REPORT_INTERVAL_S))
    while True:
        fields = {
            "number": next(number),
            "running": len(engine.running),
            "waiting": len(engine.queue),
            "is_busy": engine.is_down,
        }
        for fwd in replay.entries:
            replay.tasks.start_soon(_deliver, replay, fwd, engine, fields)
        await anyio.sleep(REPORT_INTERVAL_S)


async def _deliver(replay, fwd, engine, fields):
    await anyio.sleep(replay.draw.uniform(0.005, REPORT_DELAY_S))
    now = anyio.current_time()
    load = build.load_report(engine.server, received_at=now, **fields)
    if engine_load.put(fwd.loads, load) and fwd.queue.waiters:
        queueing.note_freed_capacity(fwd, "drafter", engine.server.server_id)
        fwd.capacity_freed.notify()


def _call(fwd, request, now, left_s):
    req = exchange.Inbound(
        method=b"POST",
        target=b"/a/",
        host="h",
        deadline_s=left_s,
        prompt_tokens=request.prompt,
        answer_hint=request.answer,
    )
    route = build.route(target_s=TARGET_S)
    size = placement.Size(request.prompt, request.answer)
    sizes = fwd.sizes.setdefault("r", value_density.RouteMeans())
    return forwarding.Call(
        req=req,
        body=b"",
        route=route,
        service="drafter",
        customer=request.source.customer,
        reply=http1_server.Reply(None),
        size=size,
        terms=queue_policy.Terms(
            arrived=now,
            target=ingress._target_time(fwd, req, route, now),
            deadline=now + left_s,
            priority=request.source.priority,
            max_delay_s=ingress._tolerated_delay_s(
                fwd, fwd.fleet.configuration, "drafter"
            ),
            advance=value_density.advance(
                sizes, MODEL, size.prompt_tokens, size.answer_tokens
            ),
        ),
    )


async def _run_caller(replay, request):
    deadline = request.at + request.usual_deadline_s
    fwd = replay.entries[request.entry]
    while True:
        await anyio.sleep(CALLER_LINK_S)
        now = anyio.current_time()
        call = _call(fwd, request, now, deadline - now)
        request.attempts += 1
        with anyio.move_on_after(max(0, deadline - now)):
            choice = await queueing.place(fwd, call)
            if choice is not None:
                await _run_attempt(replay, fwd, call, choice, request)
                return
            held_s = anyio.current_time() - now
            request.held_rejections += held_s > LONG_HOLD_S
            retry_s = rejections._retry_after_s(fwd, call)
            await anyio.sleep(CALLER_LINK_S + retry_s)
            continue
        return


async def _run_attempt(replay, fwd, call, choice, request):
    server_id = choice.candidate.server.server_id
    engine = replay.engines[server_id]
    try:
        call.sent_at = anyio.current_time()
        await anyio.sleep(replay.draw.uniform(0.5, 1.5) * LINK_S)
        priority = getattr(queue_policy, "engine_priority", lambda *_: 0)
        rank = priority(call.terms, SHORTEST_S, call.sent_at)
        job = Job(request.prompt, request.answer, rank)
        submit(engine, job)
        await job.began.wait()
        running, waiting = len(engine.running), len(engine.queue)
        await anyio.sleep(replay.draw.uniform(0.5, 1.5) * LINK_S)
        now = anyio.current_time()
        engine_load.update_from_answer(fwd.loads, engine.server, running, waiting, now)
        queueing.record_response_started(fwd, call, choice)
        error_s = now - call.sent_at - choice.first_event_s
        replay.errors[fwd].append(error_s)
        request.took_s = now + CALLER_LINK_S - request.at
        is_late = request.took_s > TARGET_S
        request.outcome = "on time" if not is_late else "late"
        if is_late and request.attempts > 1:
            request.outcome = "retried"
        await job.ended.wait()
        await anyio.sleep(LINK_S)
    finally:
        queueing.end(fwd, call, choice)


async def _callers(replay, source, seconds):
    # The callers are the same whatever the entries do.
    draw = random.Random(f"{replay.seed} {source.customer} {source.priority}")
    while True:
        now = anyio.current_time()
        rate = source.rate(now)
        await anyio.sleep(draw.expovariate(rate) if rate else 0.1)
        now = anyio.current_time()
        if now > seconds:
            return
        if not rate:
            continue
        entries = source.entries or range(len(replay.entries))
        request = Request(
            source,
            draw.choice(entries),
            now,
            max(20, int(draw.lognormvariate(6.65, 0.55))),
            max(7, int(draw.lognormvariate(4.35, 0.75))),
            DEADLINE_S * draw.uniform(0.9, 1.1),
        )
        replay.requests.append(request)
        replay.tasks.start_soon(_run_caller, replay, request)


def _ranked_with_margin(errors_of):
    """Stand-in of `core.calibration`: a margin from the entry's own recent errors."""
    rank = placement.rank

    def ranked(found, service, in_progress, *args):
        errors, margin_s = errors_of[id(in_progress)], 0.0
        if len(errors) >= 10:
            margin_s = max(0.0, sorted(errors)[int(MARGIN_QUANTILE * len(errors))])
        choices = rank(found, service, in_progress, *args)
        return [attrs.evolve(item, margin_s=margin_s) for item in choices]

    return ranked


async def _replay(sources, engines, entries, seconds, seed, disturb):
    draw = random.Random(seed)
    random.seed(seed)
    servers = [build.registration(f"i-{n}", slots=12) for n in range(1, engines + 1)]
    async with anyio.create_task_group() as tg:
        replay = Replay(
            tg,
            seed,
            draw,
            {item.server_id: Engine(item) for item in servers},
            [_entry(n, entries, servers) for n in range(entries)],
        )
        replay.errors = {
            fwd: collections.deque(maxlen=MARGIN_SAMPLES) for fwd in replay.entries
        }
        errors_of = {id(fwd.in_progress): item for fwd, item in replay.errors.items()}
        ranked = _ranked_with_margin(errors_of)
        with (
            mock.patch.object(placement, "rank", ranked),
            mock.patch.object(eventlog, "event", lambda *_, **__: None),
        ):
            for engine in replay.engines.values():
                tg.start_soon(run_engine, engine)
                tg.start_soon(_report, replay, engine)
            for fwd in replay.entries:
                tg.start_soon(queueing.process_waiters, fwd)
                tg.start_soon(_run_exchange, replay, fwd)
            for source in sources:
                tg.start_soon(_callers, replay, source, seconds)
            if disturb is not None:
                tg.start_soon(disturb, replay)
            await anyio.sleep(seconds + DEADLINE_S)
            tg.cancel_scope.cancel()
    return replay.requests


def run(sources, engines=10, entries=8, seconds=13, seed=1, disturb=None):
    """Return the `Request` objects of a replay."""
    return virtual_time.run(_replay, sources, engines, entries, seconds, seed, disturb)


CAPACITY_PER_S = 9.0
"""Requests that an engine answers on time each second, if all are spread evenly."""


def capacity_halved(seed=1, engines=10, entries=8):
    """Half of the engines load nothing and take nothing for 8 s."""

    async def disturb(replay):
        stopped = list(replay.engines.values())[: engines // 2]
        await anyio.sleep(4.0)
        for engine in stopped:
            engine.is_down = True
        await anyio.sleep(8.0)
        for engine in stopped:
            engine.is_down = False

    per_s = 0.85 * CAPACITY_PER_S * engines
    sources = [
        Source(customer, priority, lambda _, s=share: per_s * s)
        for customer, priority, share in MIX
    ]
    return run(sources, engines, entries, seed=seed, disturb=disturb)


MIX = (
    ("a", 0, 0.15),
    ("b", 0, 0.1),
    ("a", 1, 0.2),
    ("b", 1, 0.2),
    ("c", 1, 0.15),
    ("a", 2, 0.1),
    ("c", 2, 0.1),
)
"""Customer, priority and share of the traffic."""


def priority_bursting(seed=1, engines=10, entries=8):
    """Priority 1 rises to 2.5 times its rate for 8 s."""
    per_s = 0.8 * CAPACITY_PER_S * engines

    def rate(priority, share):
        def at(now):
            factor = 2.5 if priority == 1 and 4.0 <= now < 12.0 else 1.0
            return factor * share * per_s

        return at

    sources = [Source(name, rank, rate(rank, share)) for name, rank, share in MIX]
    return run(sources, engines, entries, seed=seed)


def customer_dominating(seed=1, engines=10, entries=8, disturb=None):
    """One of five customers sends two thirds of 1.7 times the capacity."""
    per_s = 1.7 * CAPACITY_PER_S * engines
    shares = {"large": 2 / 3, "b": 0.15, "c": 0.1, "d": 0.05, "e": 1 / 30}
    sources = [
        Source(name, 1, lambda _, s=share: per_s * s) for name, share in shares.items()
    ]
    return run(sources, engines, entries, seed=seed, disturb=disturb)


async def slow_down(replay):
    """Slow 15% of the engines 2.5 times for 0.6 s at a time."""
    while True:
        for engine in replay.engines.values():
            engine.slowness = 2.5 if replay.draw.random() < 0.15 else 1.0
        await anyio.sleep(0.6)


def uneven(seed=1, engines=10, entries=8, load=0.75):
    """Engines slow down for 0.6 s at a time, below their capacity."""
    per_s = load * CAPACITY_PER_S * engines
    sources = [
        Source(customer, priority, lambda _, s=share: per_s * s)
        for customer, priority, share in MIX
    ]
    return run(sources, engines, entries, seed=seed, disturb=slow_down)


REPLAYS = {
    "uneven": uneven,
    "capacity": capacity_halved,
    "priority": priority_bursting,
    "customer": customer_dominating,
}


def size_class(request, requests):
    """Return ``top 10%``, ``next 20%`` or ``rest`` by size."""
    sizes = sorted(item.prompt + 10 * item.answer for item in requests)
    size = request.prompt + 10 * request.answer
    if size >= sizes[int(0.9 * len(sizes))]:
        return "top 10%"
    return "next 20%" if size >= sizes[int(0.7 * len(sizes))] else "rest"


def table(requests, key):
    """Return counts of outcomes by ``key(request)``."""
    found = {}
    for request in requests:
        found.setdefault(key(request), collections.Counter())[request.outcome] += 1
    return dict(sorted(found.items()))


def show(requests, since=0.0, until=1e9):
    """Print requests on time, late and rejected by priority, customer and size."""
    chosen = [item for item in requests if since <= item.at < until]
    keys = {
        "all": lambda _: "all",
        "priority": lambda item: item.source.priority,
        "customer": lambda item: item.source.customer,
        "size": lambda item: size_class(item, chosen),
    }
    for name, key in keys.items():
        for group, counts in table(chosen, key).items():
            total = sum(counts.values())
            share = counts["on time"] / total
            print(
                f"  {name:9} {group!s:9} {total:5}  on time {counts['on time']:5}"
                f" ({share:.2f})  late {counts['late']:4}  after a client retry"
                f" {counts['retried']:4}  rejected {counts['rejected']:4}"
            )


def main():
    """Print the three replays."""
    for name in sys.argv[1:] or REPLAYS:
        started = time.process_time()
        requests = REPLAYS[name]()
        print(name, f"({time.process_time() - started:.0f} s)")
        show(requests, 4.0, 12.0)
        after = [item for item in requests if item.at >= 12.0]
        print("  after", dict(collections.Counter(item.outcome for item in after)))


if __name__ == "__main__":
    main()
