"""Replay of generations at engines that slow down, without a network.

Entries choose servers with the code of `core`, from reports that are 0.1 to 0.3 s old.
The engines follow the published latency model; a share of them is slow at any moment.
"""

import heapq
import itertools
import math
import random

import attrs

from carobstand.core import (
    announcements,
    calibration,
    eligibility,
    engine_load,
    expected_work,
    outstanding,
    placement,
    queue_policy,
    routes,
    sampling,
    server_work,
)
from testing import platform_builders as build

MODEL = routes.LatencyModel(
    slots=12,
    step_s=0.00673,
    per_sequence_s=0.0000219,
    context_s_per_token=0.0,
    prefill_tokens_per_s=30600.0,
    attention_pair_s=0.0,
    prompt_tokens_per_step=2048,
    steps_per_pass=7,
    usual_prompt_tokens=930,
    usual_answer_tokens=110,
    cache_tokens=1640000,
    report_lag_s=0.2,
    load_s=0.3,
)

SERVICE = build.service(latency_model=MODEL)
MAX_ANSWER_TOKENS = 52 * MODEL.steps_per_pass
MAX_PROMPT_TOKENS = 3900
SLOW_FACTOR, SLOW_S, SLOW_SHARE = 2.5, 0.6, 0.15
NETWORK_S = 0.005
"""One-way time between an entry and an engine."""

REPORT_S = (0.1, 0.3)
"""Range of the interval between two reports of an engine to an entry."""

CAPACITY_PER_S = 9.4
"""Requests/s of one engine with all slots in use, with its slow periods."""

TARGET_S = 0.326
"""Time to the first event of a request on time: 0.406 s without 0.08 s of network."""

HOLD_S = 0.02
"""Interval at which a held request is evaluated again."""


@attrs.define(eq=False)
class Req:
    """One generation; times in s, sizes in tokens."""

    route: int
    customer: int
    part: int
    prompt: int
    answer: int
    hint: int
    arrived: float
    size: placement.Size = None
    sent: float = 0.0
    first: float = math.inf
    written: int = 0
    unread: int = 0
    choice: placement.Choice = None
    refused: bool = False


@attrs.define(eq=False)
class Engine:
    """An engine with its queue, its running requests and its present slowness."""

    server: object
    queue: list = attrs.field(factory=list)
    running: list = attrs.field(factory=list)
    slowness: float = 1.0
    is_working: bool = False
    number: int = 0


@attrs.define(eq=False)
class Entry:
    """State of one entry."""

    loads: engine_load.EngineLoads = attrs.field(factory=engine_load.EngineLoads)
    in_progress: dict = attrs.field(factory=dict)
    errors: calibration.Calibration = attrs.field(factory=calibration.Calibration)
    learned: expected_work.Learned = attrs.field(factory=expected_work.Learned)


@attrs.frozen(kw_only=True)
class Policy:
    """What the entries of a replay use.

    Attributes
    ----------
    uses_told : bool
        Whether the slowness told in responses is used.
    learns : bool
        Whether answer lengths are learned and the work left is kept.
    admits : bool
        Whether `queue_policy.decide` holds and rejects requests.
    uses_margin : bool
        Whether a request must be on time with its margin.
    """

    uses_told: bool = True
    learns: bool = True
    admits: bool = False
    uses_margin: bool = False


AFTER = Policy(admits=True)
BEFORE = attrs.evolve(AFTER, uses_told=False, learns=False)


def lognormal(rng, median, sigma):
    return median * math.exp(rng.gauss(0.0, sigma))


def requests(rng, per_s, duration_s):
    """Yield requests of three routes, whose customers and parts differ in length."""
    routes_ = [(600, 70), (900, 110), (1300, 150)]
    customers = [lognormal(rng, 1.0, 0.4) for _ in range(8)]
    parts = [lognormal(rng, 1.0, 0.4) for _ in range(30)]
    now = 0.0
    while now < duration_s:
        now += rng.expovariate(per_s)
        route, customer = rng.randrange(3), rng.randrange(8)
        part = rng.randrange(30)
        prompt, answer = routes_[route]
        # The mean of a lognormal number is exp(sigma**2 / 2) times its median.
        prompt = min(MAX_PROMPT_TOKENS, int(lognormal(rng, prompt * 0.81, 0.6)) + 20)
        usual = answer * 0.84 * customers[customer] * parts[part]
        tokens = max(1, min(MAX_ANSWER_TOKENS, int(lognormal(rng, usual, 0.6))))
        hint = max(1, int(lognormal(rng, tokens, 0.7)))
        yield Req(route, customer, part, prompt, tokens, hint, now)


class Replay:
    """One run; `requests` holds all requests afterwards."""

    def __init__(self, policy, *, seed, load, engines=12, entries=9, duration_s=15.0):
        self.policy, self.now, self.order = policy, 0.0, itertools.count()
        self.rng, self.events = random.Random(seed), []
        self.engines = {}
        for number in range(1, engines + 1):
            server = build.registration(f"i-{number}", slots=MODEL.slots)
            self.engines[server.server_id] = Engine(server)
        self.servers = {key: item.server for key, item in self.engines.items()}
        self.entries = [Entry() for _ in range(entries)]
        self.location = placement.EntryLocation(
            failure_domain="a",
            regions={"a": "north"},
            others=entries - 1,
            by_region={"north": entries - 1},
        )
        per_s = load * CAPACITY_PER_S * engines
        self.requests = list(requests(random.Random(seed + 1), per_s, duration_s))
        for req in self.requests:
            entry = self.rng.choice(self.entries)
            self.at(req.arrived, self.evaluate, entry, req)
        for engine in self.engines.values():
            self.at(self.rng.expovariate(1 / 3.4), self.slow_down, engine)
            self.at(self.rng.uniform(0.0, REPORT_S[1]), self.report, engine)
        self.end = duration_s

    def at(self, time, func, *args):
        heapq.heappush(self.events, (time, next(self.order), func, args))

    def run(self):
        while self.events:
            self.now, _, func, args = heapq.heappop(self.events)
            if self.now > self.end + 5.0:
                break
            func(*args)
        return self

    def slow_down(self, engine):
        engine.slowness = SLOW_FACTOR
        self.at(self.now + SLOW_S, self.speed_up, engine)

    def speed_up(self, engine):
        engine.slowness = 1.0
        usual_s = SLOW_S * (1 - SLOW_SHARE) / SLOW_SHARE
        self.at(self.now + self.rng.expovariate(1 / usual_s), self.slow_down, engine)

    def report(self, engine):
        """Send a report, which all entries receive at the same time."""
        engine.number += 1
        load = build.load_report(
            engine.server,
            number=engine.number,
            running=len(engine.running),
            waiting=len(engine.queue),
            slowness=engine.slowness,
            received_at=self.now + NETWORK_S,
        )
        for entry in self.entries:
            self.at(self.now + NETWORK_S, engine_load.put, entry.loads, load)
        self.at(self.now + self.rng.uniform(*REPORT_S), self.report, engine)

    def rank(self, entry, req, servers):
        conditions = eligibility.Conditions(
            service="drafter",
            loads=entry.loads,
            healths={},
            announced=announcements.Announcements(),
        )
        found = eligibility.sort_out(servers, conditions, self.now)
        return placement.rank(
            found,
            SERVICE,
            entry.in_progress,
            {},
            entry.errors,
            req.size,
            self.location,
            self.rng.random,
            lambda holding: math.inf,
            self.now,
        )

    def best(self, entry, req):
        """Return the best of a sample if good enough, else of all, as entries do."""
        idle_s = idle_first_event_s(req)
        count = sampling.sample_size(len(self.servers), len(self.entries))
        ids = self.rng.sample(sorted(self.servers), count)
        choices = self.rank(entry, req, {key: self.servers[key] for key in ids})
        left_s = req.arrived + TARGET_S - self.now
        if sampling.is_good_enough(choices[0].first_event_s, idle_s, left_s):
            return choices[0]
        return self.rank(entry, req, self.servers)[0]

    def evaluate(self, entry, req):
        req.size = placement.Size(req.prompt, req.hint)
        choice = self.best(entry, req)
        if self.policy.admits:
            verdict = self.verdict(req, choice)
            if verdict is queue_policy.Verdict.REFUSE:
                req.refused = True
                return
            if verdict is queue_policy.Verdict.HOLD:
                self.at(self.now + HOLD_S, self.evaluate, entry, req)
                return
        self.send(entry, req, choice)

    def verdict(self, req, choice):
        terms = queue_policy.Terms(
            arrived=req.arrived,
            target=req.arrived + TARGET_S + queue_policy.NETWORK_TIME_S,
            deadline=req.arrived + 6.0,
        )
        if self.policy.uses_margin:
            first_s = choice.first_event_s + choice.margin_s
            choice = attrs.evolve(choice, first_event_s=first_s)
        return queue_policy.decide(terms, choice, idle_first_event_s(req), self.now)

    def send(self, entry, req, choice):
        server_id = choice.candidate.server.server_id
        req.choice, req.sent, req.unread = choice, self.now, req.prompt
        state = entry.in_progress.setdefault(server_id, outstanding.Outstanding())
        length = self.expected(entry, req)
        outstanding.begin(state, req, req.prompt, self.now, length)
        engine = self.engines[server_id]
        self.at(self.now + NETWORK_S, self.arrive, engine, entry, req)

    def expected(self, entry, req):
        """Return the mean of the expected answer length, 0 if nothing is learned."""
        if not self.policy.learns:
            return 0
        found = expected_work.expect(
            entry.learned, *key_of(req), req.hint, MODEL.usual_answer_tokens
        )
        return expected_work.mean_tokens(found)

    def arrive(self, engine, entry, req):
        engine.queue.append((req, entry))
        if not engine.is_working:
            self.begin_pass(engine)

    def begin_pass(self, engine):
        """Admit requests to free slots, read prompts and write one event each."""
        while engine.queue and len(engine.running) < MODEL.slots:
            engine.running.append(engine.queue.pop(0))
        engine.is_working = bool(engine.running)
        if not engine.running:
            return
        left = MODEL.prompt_tokens_per_step
        for req, _ in engine.running:
            read = min(left, req.unread)
            req.unread -= read
            left -= read
        step_s = MODEL.step_s + MODEL.per_sequence_s * len(engine.running)
        read_s = (MODEL.prompt_tokens_per_step - left) / MODEL.prefill_tokens_per_s
        pass_s = engine.slowness * (MODEL.steps_per_pass * step_s + read_s)
        self.at(self.now + pass_s, self.end_pass, engine)

    def end_pass(self, engine):
        for item in list(engine.running):
            req, entry = item
            if req.unread:
                continue
            is_first = not req.written
            req.written += MODEL.steps_per_pass
            is_last = req.written >= req.answer
            if is_last:
                engine.running.remove(item)
            load = len(engine.running), len(engine.queue), engine.slowness
            arrives = self.now + NETWORK_S
            if is_first:
                self.at(arrives, self.first_event, engine, entry, req, load)
            else:
                self.at(arrives, self.next_event, engine, entry, req)
            if is_last:
                self.at(arrives, self.last_event, engine, entry, req)
        self.begin_pass(engine)

    def first_event(self, engine, entry, req, load):
        req.first = self.now - req.arrived
        server = engine.server
        outstanding.answer_started(entry.in_progress[server.server_id], req)
        choice = req.choice
        calibration.observe(
            entry.errors,
            "drafter",
            server.server_id,
            choice.first_event_s,
            self.now - req.sent,
            self.now,
            choice.corrections_s,
        )
        running, waiting, slowness = load
        engine_load.update_from_answer(entry.loads, server, running, waiting, self.now)
        if self.policy.uses_told:
            engine_load.note_slowness(entry.loads, server.address, slowness, self.now)

    def next_event(self, engine, entry, req):
        work = entry.in_progress[engine.server.server_id].work
        if self.policy.learns:
            server_work.record_written(work, req, MODEL.steps_per_pass)

    def last_event(self, engine, entry, req):
        expected_work.observe(entry.learned, *key_of(req), req.hint, req.answer)
        state = entry.in_progress[engine.server.server_id]
        outstanding.end(state, req, self.now)


def key_of(req):
    """Return route, customer and shared part of a request."""
    return req.route, str(req.customer), req.part


def idle_first_event_s(req):
    return 1.5 * MODEL.steps_per_pass * MODEL.step_s + (
        req.prompt / MODEL.prefill_tokens_per_s
    )


def quantile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0
