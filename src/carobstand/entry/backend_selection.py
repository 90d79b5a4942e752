"""Selection of backend servers, and the queues of requests waiting for them."""

import anyio
import attrs

from carobstand import logs
from carobstand.core import admission, events, retries, routing, suspects
from carobstand.core import table as tables
from carobstand.entry import request_metrics, suspect_sharing
from carobstand.wire.gen import ttypes

QUEUE_CHECK_INTERVAL_S = 0.05
"""Interval at which queues with waiting requests are checked."""

MAX_REBUILD_INTERVAL_S = 0.5
"""Maximum interval between view rebuilds, and interval of limit division."""

MIN_REBUILD_INTERVAL_S = 0.02
"""Minimum interval between view rebuilds, hence maximum age of a changed view."""


@attrs.define(eq=False)
class View:
    """Backend servers of one service.

    `weights` are the traffic shares of its versions, `served` the versions that some
    backend server serves. Views with equal `signature` give the same routing result.
    """

    epoch: int
    signature: int
    candidates: list
    weights: dict
    served: frozenset


@attrs.define(eq=False)
class Pool:
    """Backend servers of all services.

    `known_candidates` holds one candidate per (service, VM), whose counters persist
    across view rebuilds; `share` is this entry's share of the demand at all entries.
    `failed_at` holds the time at which a VM's backend server failed, `lost_agents` the
    start id of agents whose connection ended although they were not leaving, both by
    VM. `epoch` increases when views must be rebuilt, and `has_waiting` is set when a
    request was queued.
    """

    known_candidates: dict = attrs.field(factory=dict)
    heartbeats: dict = attrs.field(factory=dict)
    failed_at: dict = attrs.field(factory=dict)
    lost_agents: dict = attrs.field(factory=dict)
    views: dict = attrs.field(factory=dict)
    health: dict = attrs.field(factory=dict)
    epoch: int = 0
    share: float = 1.0
    turn: int = 0
    vms: tuple = ()
    leaving: frozenset = frozenset()
    has_waiting: anyio.Event = attrs.field(factory=anyio.Event)


def mark_failed(pool, vm):
    """Mark the backend server on `vm` as failed now."""
    pool.failed_at[vm] = anyio.current_time()
    pool.epoch += 1


def health_of(pool, vm):
    """Return the health record of the backend server on `vm`."""
    health = pool.health.get(vm)
    if health is None:
        health = pool.health[vm] = retries.Health()
    return health


def view(state, pool, service):
    """Return the view of the backend servers of `service`; rebuild it when stale."""
    cached = pool.views.get(service.name)
    if cached is None or cached.epoch != pool.epoch:
        cached = pool.views[service.name] = _build(state, pool, service)
    return cached


def _build(state, pool, service):
    now = anyio.current_time()
    for vm in [
        v for v, at in pool.failed_at.items() if now - at > routing.FAILED_RETENTION_S
    ]:
        del pool.failed_at[vm]
    if state.vms is not pool.vms:
        pool.vms = state.vms
        pool.leaving = frozenset(line.vm for line in state.vms if line.leaving)
    candidates = []
    for vm, peer in state.agents.items():
        candidate = _candidate(state, pool, service, vm, peer, now)
        if candidate is not None:
            candidates.append(candidate)
    for vm in pool.failed_at:
        candidate = pool.known_candidates.get((service.name, vm))
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
    states = [
        (c.vm, c.versions, c.retiring, c.weight, c.failed, c.usable) for c in candidates
    ]
    signature = hash((tuple(states), tuple(weights.items())))
    return View(pool.epoch, signature, candidates, weights, served)


def _candidate(state, pool, service, vm, peer, now):
    """Return the updated candidate on `vm`, or None if it is not available."""
    last_heartbeat = peer.heartbeat
    if last_heartbeat is None or not accepts_work(state, pool, vm, peer):
        return None
    if service.name not in (peer.hello.services or ()):
        return None
    row = tables.backend(state.table, vm, service.name)
    weight = 1.0 if row is None else row.weight
    versions, lingering = _versions(state, service, vm, last_heartbeat)
    candidate = pool.known_candidates.get((service.name, vm))
    if candidate is None:
        candidate = routing.Candidate(vm, versions)
        pool.known_candidates[(service.name, vm)] = candidate
    candidate.versions = versions
    candidate.retiring = lingering
    candidate.weight = weight
    candidate.limit = service.max_in_flight or routing.DEFAULT_LIMIT
    candidate.quota = max(1, int(candidate.limit * pool.share + 0.5))
    candidate.same_region = peer.hello.region == state.cfg.region
    if not last_heartbeat.backend_up:
        pool.failed_at.setdefault(vm, now)
    candidate.failed = vm in pool.failed_at
    if pool.heartbeats.get((service.name, vm)) is not last_heartbeat:
        pool.heartbeats[(service.name, vm)] = last_heartbeat
        candidate.others_in_flight = max(
            0, (last_heartbeat.running_attempts or 0) - candidate.own_in_flight
        )
        candidate.reported_at = peer.last_seen_at or now
    return candidate


def accepts_work(state, pool, vm, peer):
    """Return whether new attempts may be sent to the agent `peer` on `vm`."""
    last_heartbeat = peer.heartbeat
    return not (
        peer.leaving
        or last_heartbeat is None
        or last_heartbeat.leaving
        or vm in pool.leaving
        or peer.conn.closed.is_set()
    )


def _versions(state, service, vm, last_heartbeat):
    """Return the versions for new requests, and others that are still served."""
    if service.type == "plain":
        return frozenset(("",)), frozenset()
    serving = frozenset(
        replica.version
        for replica in last_heartbeat.replicas or ()
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
    """Return the `Choice` for a call, or None if no backend server has a free slot.

    Parameters
    ----------
    state : EntryState
    dp : dispatch.Dispatcher
    call : calls.Call
    used : container of str
        VMs of earlier attempts.
    version : str
        Version that generated a started response, or an empty string.
    now : float
    """
    current_view = view(state, dp.pool, call.service)
    failed_on = suspects.failed_on(dp.suspect_tracker.core, call.fingerprint, now)
    recent = suspects.is_recent(dp.suspect_tracker.core, call.fingerprint, now)
    key = (current_view.signature, version, failed_on, recent, frozenset(used))
    if call.route is None or call.route[0] != key:
        call.route = (
            key,
            *_route(current_view, call, version, used, failed_on, recent),
        )
    _, target_version, homes = call.route
    if target_version is None:
        return None
    candidate = _pick(state, dp, call, current_view, used, target_version, homes, now)
    if candidate is None:
        return None
    peer = state.agents.get(candidate.vm)
    if peer is None or not accepts_work(state, dp.pool, candidate.vm, peer):
        return None
    return Choice(candidate, target_version, peer)


def _route(current_view, call, version, used, failed_on, recent):
    """Return the version for a call, or None, and its preferred backend servers."""
    started = bool(version)
    target_version = version
    if call.service.type != "plain" and not started:
        target_version = routing.choose_version(
            current_view.weights, current_view.served, call.version, call.fingerprint
        )
    if target_version is None:
        return None, None
    homes = routing.find_homes(
        current_view.candidates,
        target_version,
        call.prefix,
        call.fingerprint,
        used,
        failed_on,
        recent,
        started,
    )
    return target_version, homes


def _pick(state, dp, call, current_view, used, version, homes, now):
    if state.cfg.router == "least-in-flight":
        return routing.least_in_flight(current_view.candidates, version, used, now)
    if state.cfg.router == "round-robin":
        dp.pool.turn += 1
        turn = dp.pool.turn
        return routing.round_robin(current_view.candidates, version, used, now, turn)
    if homes.needs_suspect_check and not _is_checked(
        state, dp, call, homes.by_prefix.vm
    ):
        return None
    return routing.pick(homes, now)


def _is_checked(state, dp, call, vm):
    """Return whether suspects were checked for a call that is to run on `vm`.

    Otherwise start the check. It is repeated for each server that the call would go
    to, as another server may have failed since the last one.
    """
    if call.checked_vm == vm:
        return True
    if call.checking_vm != vm and dp.tasks is not None:
        call.checking_vm = vm

        async def check_suspect():
            await suspect_sharing.refresh_suspect(
                state, dp.suspect_tracker, call.fingerprint
            )
            if call.checking_vm == vm:
                call.checked_vm = vm
                admit_waiting(state, dp, call.service.name)

        dp.tasks.start_soon(check_suspect)
    return False


def suspect_rejection(dp, call):
    """Return the event that rejects a suspect request, or None."""
    now = anyio.current_time()
    if not suspects.is_refused(dp.suspect_tracker.core, call.fingerprint, now):
        return None
    left_s = dp.suspect_tracker.core.held[call.fingerprint].expires_at - now
    return events.NotPlaced(
        422,
        "The request is refused",
        "backend servers failed while they ran this request",
        left_s,
    )


def enqueue(state, dp, run):
    """Queue the request of `run`, or queue it again for another attempt."""
    call = run.call
    now = anyio.current_time()
    started = run.req.started
    rejection = suspect_rejection(dp, call)
    if rejection is not None and not started:
        run.post(rejection)
        return
    current_view = view(state, dp.pool, call.service)
    if not current_view.candidates and not started:
        run.post(events.NotPlaced(503, "Not run", "no backend server of the service"))
        return
    if run.ticket is not None and not run.ticket.closed:
        run.ticket.protected = started
        ran = run.req.unresolved > 0
        admission.requeue(dp.queues, run.ticket, ran, now)
    else:
        _submit_ticket(state, dp, run, now)
    admit_waiting(state, dp, call.service.name)
    if run.ticket.queued:
        dp.pool.has_waiting.set()


def _submit_ticket(state, dp, run, now):
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
    is_retry = run.req.attempts_sent > 0
    rejections = admission.submit(
        dp.queues,
        run.ticket,
        None if is_retry else call.customer.rate_per_s,
        None if is_retry else call.customer.max_in_flight,
        call.service.max_queue,
        now,
    )
    _post_rejections(state, rejections)


_STATUS = {
    admission.RefusalCause.RATE: (429, "Request rate reached"),
    admission.RefusalCause.IN_FLIGHT: (429, "Requests in flight reached"),
    admission.RefusalCause.QUEUE_FULL: (503, "Queue full"),
    admission.RefusalCause.TOO_LONG: (503, "Queue too long"),
    admission.RefusalCause.WAITED: (503, "No backend server in time"),
}


def _post_rejections(state, rejections):
    for item in rejections:
        status, title = _STATUS[item.cause]
        run = item.ticket.data
        request_metrics.count(
            state,
            "requests_refused",
            reason=item.cause.name.lower(),
            customer=run.call.customer.name,
        )
        run.post(events.NotPlaced(status, title, item.cause.value, item.retry_after_s))


def admit_waiting(state, dp, service):
    """Admit waiting requests of `service` while backend servers have free slots."""
    now = anyio.current_time()
    chosen = None

    def can_run(ticket):
        nonlocal chosen
        run = ticket.data
        chosen = choose(state, dp, run.call, run.used, run.version, now)
        if chosen is None:
            return False
        # A started response waits: a failure may turn out to be a lost connection.
        return not run.req.started or suspect_rejection(dp, run.call) is None

    while True:
        ticket = admission.admit_next(dp.queues, service, can_run, now)
        if ticket is None:
            return
        run = ticket.data
        rejection = suspect_rejection(dp, run.call)
        if rejection is not None:
            admission.release(dp.queues, ticket, now)
            run.post(rejection)
            continue
        request_metrics.record(
            state, "queue_s", now - ticket.queued_at, service=service
        )
        run.queued_s += now - ticket.queued_at
        run.reserve(chosen)


async def run(state, dp):
    """Rebuild views and divide limits when the state changed, until cancelled."""
    shares_at = 0.0
    while True:
        await state.changed.wait(MAX_REBUILD_INTERVAL_S)
        now = anyio.current_time()
        dp.pool.epoch += 1
        for service in list(dp.queues.queues):
            admit_waiting(state, dp, service)
        if now - shares_at > MAX_REBUILD_INTERVAL_S:
            shares_at = now
            _divide_limits(state, dp, now)
        await anyio.sleep(MIN_REBUILD_INTERVAL_S)


async def serve_queues(state, dp):
    """Expire and admit waiting requests periodically, until cancelled."""
    while True:
        if not any(queue.waiting for queue in dp.queues.queues.values()):
            dp.pool.has_waiting = anyio.Event()
            await dp.pool.has_waiting.wait()
        await anyio.sleep(QUEUE_CHECK_INTERVAL_S)
        now = anyio.current_time()
        for service in list(dp.queues.queues):
            _post_rejections(state, admission.expire(dp.queues, service, now))
            admit_waiting(state, dp, service)


def _divide_limits(state, dp, now):
    others, unreported = {}, 0
    for peer in state.entries.values():
        if peer.peer_state is None:
            unreported += 1
            continue
        for demand in peer.peer_state.demands or ():
            total = others.get(demand.customer, 0.0)
            others[demand.customer] = total + (demand.requests_per_s or 0.0)
    admission.set_shares(dp.queues, others, unreported, now)
    own = sum(rate for _, rate, _ in admission.demands(dp.queues, now))
    total = own * (1 + unreported) + sum(others.values())
    dp.pool.share = own / total if total > 0 else 1.0 / (1 + len(state.entries))
    admission.drop_idle_customers(dp.queues, now)
    state.demands = [
        ttypes.Demand(customer=name, requests_per_s=rate, in_flight=in_flight)
        for name, rate, in_flight in admission.demands(dp.queues, now)
    ]


def on_agent_lost(state, dp, vm, peer):
    """Mark the backend server of an agent whose connection ended as failed."""
    if peer.leaving or vm in dp.pool.failed_at:
        return
    logs.event("backend.unreachable", peer=vm)
    dp.pool.lost_agents[vm] = peer.hello.start_id
    mark_failed(dp.pool, vm)


def on_agent_joined(state, dp, vm, peer):
    """Clear the failure of a reconnected agent, unless it was restarted."""
    if dp.pool.lost_agents.pop(vm, None) == peer.hello.start_id:
        dp.pool.failed_at.pop(vm, None)
    dp.pool.epoch += 1
