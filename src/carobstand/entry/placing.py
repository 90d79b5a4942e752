"""Backend servers as this entry sees them, and the queue in front of them."""

import anyio
import attrs

from carobstand import logs
from carobstand.core import admission, events, retries, routing, suspects
from carobstand.core import table as tables
from carobstand.entry import measure, suspecting
from carobstand.wire.gen import ttypes

QUEUE_S = 0.05
"""Time between looks at queues with waiting requests."""

IDLE_S = 0.5
"""Longest time between rebuilds of views, and between divisions of limits."""

VIEW_S = 0.02
"""Longest age of the view of the backend servers, and shortest between rebuilds."""


@attrs.define(eq=False)
class View:
    """Backend servers of one service.

    `weights` are the traffic shares of its versions, `served` the versions that some
    backend server serves. Views with the same `signature` lead to the same homes.
    """

    epoch: int
    signature: int
    candidates: list
    weights: dict
    served: frozenset


@attrs.define(eq=False)
class Pool:
    """Backend servers of all services.

    `seen` holds one candidate per (service, VM), whose counts outlive a view;
    `share` is this entry's part of the demand at all entries, `failed` the time at
    which a VM's backend server failed, `lost` the agent start whose connection ended
    although it was not leaving.
    """

    seen: dict = attrs.field(factory=dict)
    beats: dict = attrs.field(factory=dict)
    failed: dict = attrs.field(factory=dict)
    lost: dict = attrs.field(factory=dict)
    views: dict = attrs.field(factory=dict)
    health: dict = attrs.field(factory=dict)
    epoch: int = 0
    share: float = 1.0
    turn: int = 0
    vms: tuple = ()
    leaving: frozenset = frozenset()
    waiting: anyio.Event = attrs.field(factory=anyio.Event)


def mark_failed(pool, vm):
    """Note that the backend server on `vm` failed now."""
    pool.failed[vm] = anyio.current_time()
    pool.epoch += 1


def health_of(pool, vm):
    """Return the recent results of the backend server on `vm`."""
    health = pool.health.get(vm)
    if health is None:
        health = pool.health[vm] = retries.Health()
    return health


def view(state, pool, service):
    """Return the view of the backend servers of `service`, rebuilt when stale."""
    found = pool.views.get(service.name)
    if found is None or found.epoch != pool.epoch:
        found = pool.views[service.name] = _build(state, pool, service)
    return found


def _build(state, pool, service):
    now = anyio.current_time()
    for vm in [
        v for v, at in pool.failed.items() if now - at > routing.FAILED_MEMORY_S
    ]:
        del pool.failed[vm]
    if state.vms is not pool.vms:
        pool.vms = state.vms
        pool.leaving = frozenset(line.vm for line in state.vms if line.leaving)
    candidates = []
    for vm, peer in state.agents.items():
        candidate = _candidate(state, pool, service, vm, peer, now)
        if candidate is not None:
            candidates.append(candidate)
    for vm in pool.failed:
        candidate = pool.seen.get((service.name, vm))
        if vm not in state.agents and candidate is not None:
            candidate.failed = True
            candidates.append(candidate)
    healths = {c.vm: health_of(pool, c.vm) for c in candidates}
    ejected = retries.ejected(healths, now)
    for candidate in candidates:
        candidate.usable = candidate.vm not in ejected
    rows = tables.versions(state.table, service.name)
    weights = {row.name: row.weight for row in rows}
    served = frozenset(v for c in candidates for v in c.versions)
    marks = [
        (c.vm, c.versions, c.lingering, c.weight, c.failed, c.usable)
        for c in candidates
    ]
    signature = hash((tuple(marks), tuple(weights.items())))
    return View(pool.epoch, signature, candidates, weights, served)


def _candidate(state, pool, service, vm, peer, now):
    """Return the candidate on `vm` in its present state, or None if it is none."""
    beat = peer.heartbeat
    if beat is None or not able(state, pool, vm, peer):
        return None
    if service.name not in (peer.hello.services or ()):
        return None
    row = tables.backend(state.table, vm, service.name)
    weight = 1.0 if row is None else row.weight
    versions, lingering = _versions(state, service, vm, beat)
    candidate = pool.seen.get((service.name, vm))
    if candidate is None:
        candidate = routing.Candidate(vm, versions)
        pool.seen[(service.name, vm)] = candidate
    candidate.versions = versions
    candidate.lingering = lingering
    candidate.weight = weight
    candidate.limit = service.max_in_flight or routing.DEFAULT_LIMIT
    candidate.quota = max(1, int(candidate.limit * pool.share + 0.5))
    candidate.near = peer.hello.region == state.cfg.region
    if not beat.backend_up:
        pool.failed.setdefault(vm, now)
    candidate.failed = vm in pool.failed
    if pool.beats.get((service.name, vm)) is not beat:
        pool.beats[(service.name, vm)] = beat
        candidate.others = max(0, (beat.running_attempts or 0) - candidate.own)
        candidate.reported_at = peer.heard_at or now
    return candidate


def able(state, pool, vm, peer):
    """Whether new work may be sent to the agent `peer` on `vm`."""
    beat = peer.heartbeat
    return not (
        peer.leaving
        or beat is None
        or beat.leaving
        or vm in pool.leaving
        or peer.conn.closed.is_set()
    )


def _versions(state, service, vm, beat):
    """Return the versions for new requests, and others that are still in service."""
    if service.type == "plain":
        return frozenset(("",)), frozenset()
    serving = frozenset(
        replica.version
        for replica in beat.replicas or ()
        if replica.phase == ttypes.ReplicaPhase.SERVING
        and replica.service_name == service.name
    )
    plan = state.plans.get(service.name)
    assignment = plan.assignments.get(vm) if plan is not None else None
    planned = serving if assignment is None else serving & frozenset(assignment.serve)
    planned = planned or serving
    return planned, serving - planned


@attrs.frozen
class Choice:
    """Backend server and version for one attempt."""

    candidate: routing.Candidate
    version: str
    peer: object


def choose(state, dp, call, used, version, now):
    """Return the `Choice` for a call, or None if none has room now.

    Parameters
    ----------
    state : EntryState
    dp : dispatch.Dispatcher
    call : calls.Call
    used : container of str
    version : str
        Version that a started answer came from, or an empty string.
    now : float
    """
    found = view(state, dp.pool, call.service)
    failed_on = suspects.failed_on(dp.shared.core, call.fingerprint, now)
    recent = suspects.is_recent(dp.shared.core, call.fingerprint, now)
    key = (found.signature, version, failed_on, recent, frozenset(used))
    if call.route is None or call.route[0] != key:
        call.route = (key, *_route(found, call, version, used, failed_on, recent))
    _, wanted, homes = call.route
    if wanted is None:
        return None
    candidate = _pick(state, dp, call, found, used, wanted, homes, now)
    if candidate is None:
        return None
    peer = state.agents.get(candidate.vm)
    if peer is None or not able(state, dp.pool, candidate.vm, peer):
        return None
    return Choice(candidate, wanted, peer)


def _route(found, call, version, used, failed_on, recent):
    """Return the version that a call goes to, or None, and its homes."""
    started = bool(version)
    wanted = version
    if call.service.type != "plain" and not started:
        wanted = routing.choose_version(
            found.weights, found.served, call.version, call.fingerprint
        )
    if wanted is None:
        return None, None
    homes = routing.find_homes(
        found.candidates,
        wanted,
        call.prefix,
        call.fingerprint,
        used,
        failed_on,
        recent,
        started,
    )
    return wanted, homes


def _pick(state, dp, call, found, used, version, homes, now):
    if state.cfg.router == "least-in-flight":
        return routing.least_in_flight(found.candidates, version, used, now)
    if state.cfg.router == "round-robin":
        dp.pool.turn += 1
        turn = dp.pool.turn
        return routing.round_robin(found.candidates, version, used, now, turn)
    if homes.doubtful and not _settled(state, dp, call, homes.by_prefix.vm):
        return None
    return routing.pick(homes, now)


def _settled(state, dp, call, vm):
    """Whether it is known that a doubtful call may run on `vm`.

    What other entries know is asked anew for each server that the call would go to:
    since the last time, another one may have failed.
    """
    if call.settled == vm:
        return True
    if call.settling != vm and dp.tasks is not None:
        call.settling = vm

        async def settle():
            await suspecting.settle(state, dp.shared, call.fingerprint)
            if call.settling == vm:
                call.settled = vm
                pump(state, dp, call.service.name)

        dp.tasks.start_soon(settle)
    return False


def refused(dp, call):
    """Return the event that refuses a suspect, or None."""
    now = anyio.current_time()
    if not suspects.is_refused(dp.shared.core, call.fingerprint, now):
        return None
    left_s = dp.shared.core.held[call.fingerprint].until - now
    return events.NotPlaced(
        422,
        "The request is refused",
        "backend servers failed while they ran this request",
        left_s,
    )


def enqueue(state, dp, run):
    """Put the request of `run` into its queue, the first time or again."""
    call = run.call
    now = anyio.current_time()
    started = run.req.started
    refusal = refused(dp, call)
    if refusal is not None and not started:
        run.post(refusal)
        return
    found = view(state, dp.pool, call.service)
    if not found.candidates and not started:
        run.post(events.NotPlaced(503, "Not run", "no backend server of the service"))
        return
    if run.ticket is not None and not run.ticket.closed:
        run.ticket.protected = started
        ran = run.req.unresolved > 0
        admission.put_back(dp.queues, run.ticket, ran, now)
    else:
        _arrive(state, dp, run, now)
    pump(state, dp, call.service.name)
    if run.ticket.queued:
        dp.pool.waiting.set()


def _arrive(state, dp, run, now):
    call = run.call
    run.ticket = admission.Ticket(
        call.request_id,
        call.customer.name,
        call.service.name,
        call.customer.weight,
        call.customer.priority or 0,
        call.cost,
        call.arrived,
        call.deadline,
        protected=run.req.started,
        data=run,
    )
    again = run.req.attempts_sent > 0
    refusals = admission.arrive(
        dp.queues,
        run.ticket,
        None if again else call.customer.rate_per_s,
        None if again else call.customer.max_in_flight,
        call.service.max_queue,
        now,
    )
    _refuse(state, refusals)


_STATUS = {
    admission.Verdict.RATE: (429, "Request rate reached"),
    admission.Verdict.IN_FLIGHT: (429, "Requests in flight reached"),
    admission.Verdict.QUEUE_FULL: (503, "Queue full"),
    admission.Verdict.TOO_LONG: (503, "Queue too long"),
    admission.Verdict.WAITED: (503, "No backend server in time"),
}


def _refuse(state, refusals):
    for item in refusals:
        status, title = _STATUS[item.verdict]
        run = item.ticket.data
        measure.count(
            state,
            "requests_refused",
            reason=item.verdict.name.lower(),
            customer=run.call.customer.name,
        )
        run.post(
            events.NotPlaced(status, title, item.verdict.value, item.retry_after_s)
        )


def pump(state, dp, service):
    """Admit waiting requests of `service` while backend servers have room."""
    now = anyio.current_time()
    chosen = None

    def can_run(ticket):
        nonlocal chosen
        run = ticket.data
        chosen = choose(state, dp, run.call, run.used, run.version, now)
        if chosen is None:
            return False
        # A started answer waits: a failure may turn out to be a lost connection.
        return not run.req.started or refused(dp, run.call) is None

    while True:
        ticket = admission.next_admitted(dp.queues, service, can_run, now)
        if ticket is None:
            return
        run = ticket.data
        refusal = refused(dp, run.call)
        if refusal is not None:
            admission.leave(dp.queues, ticket, now)
            run.post(refusal)
            continue
        measure.record(state, "queue_s", now - ticket.queued_at, service=service)
        run.queued_s += now - ticket.queued_at
        run.reserve(chosen)


async def run(state, dp):
    """Rebuild views and divide limits when something changed, until cancelled."""
    shares_at = 0.0
    while True:
        await state.changed.wait(IDLE_S)
        now = anyio.current_time()
        dp.pool.epoch += 1
        for service in list(dp.queues.queues):
            pump(state, dp, service)
        if now - shares_at > IDLE_S:
            shares_at = now
            _divide(state, dp, now)
        await anyio.sleep(VIEW_S)


async def serve_queues(state, dp):
    """Look at queues that have waiting requests, until cancelled."""
    while True:
        if not any(queue.waiting for queue in dp.queues.queues.values()):
            dp.pool.waiting = anyio.Event()
            await dp.pool.waiting.wait()
        await anyio.sleep(QUEUE_S)
        now = anyio.current_time()
        for service in list(dp.queues.queues):
            _refuse(state, admission.expire(dp.queues, service, now))
            pump(state, dp, service)


def _divide(state, dp, now):
    others, unheard = {}, 0
    for peer in state.entries.values():
        if peer.peer_state is None:
            unheard += 1
            continue
        for demand in peer.peer_state.demands or ():
            total = others.get(demand.customer, 0.0)
            others[demand.customer] = total + (demand.requests_per_s or 0.0)
    admission.set_shares(dp.queues, others, unheard, now)
    own = sum(rate for _, rate, _ in admission.demands(dp.queues, now))
    total = own * (1 + unheard) + sum(others.values())
    dp.pool.share = own / total if total > 0 else 1.0 / (1 + len(state.entries))
    admission.forget_idle(dp.queues, now)
    state.demands = [
        ttypes.Demand(customer=name, requests_per_s=rate, in_flight=in_flight)
        for name, rate, in_flight in admission.demands(dp.queues, now)
    ]


def on_agent_lost(state, dp, vm, peer):
    """Note the end of an agent's connection."""
    if peer.leaving or vm in dp.pool.failed:
        return
    logs.event("backend.unreachable", peer=vm)
    dp.pool.lost[vm] = peer.hello.start_id
    mark_failed(dp.pool, vm)


def on_agent_joined(state, dp, vm, peer):
    """Note a new connection of an agent."""
    if dp.pool.lost.pop(vm, None) == peer.hello.start_id:
        dp.pool.failed.pop(vm, None)
    dp.pool.epoch += 1
