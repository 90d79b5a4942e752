"""Planner: elected by a lease in the store; writes plans by compare-and-swap."""

import hashlib

import anyio
import attrs

from carobstand import errors, logs
from carobstand.core import membership, planner, table, topology
from carobstand.entry import control_state, store_watch
from carobstand.platform import store

LEASE_KEY = "lease/planner"

LEASE_TTL_S = 6.0

RENEW_S = 1.5
"""Time between renewals of the lease: three may fail before it lapses."""

LEASE_MARGIN_S = 1.0
"""The planner stops this long before its lease can lapse at the store."""

CHECK_INTERVAL_S = 2.0
"""Interval of lease checks by the first candidates."""

PREFERRED_CANDIDATES = 4
"""Number of entries that check the lease often. The others check it ten times more
rarely, so that a free lease does not cause hundreds of writes at once."""

SETTLE_S = 3.0
"""Minimum time from the start of an entry, or its recovery from a partition, until it
may plan; by then each live agent has sent a heartbeat."""

PLAN_INTERVAL_S = 0.5
"""Interval of planning rounds."""

LIVENESS_INTERVAL_S = 2.0
"""Interval of checks for members whose liveness changed."""

FULL_ROUND_S = 60.0
"""Interval of rounds over all services; others plan only the outdated services."""

PARTITIONED_SHARE = 0.5
"""Share of silent members above which the entry assumes that it is partitioned from
the agents: no single failure domain contains so many."""

RESIGN_BACKOFF_S = 10.0
"""Time after resigning until an entry may take the lease again."""


@attrs.define
class Lease:
    """Planner lease as seen by this entry, with the planner's state.

    Attributes
    ----------
    lease_id : str
        Empty while this entry does not hold the lease.
    valid_until : float
        Time at which the planner must stop. All times are on the loop's clock.
    started_at : float
        Time from which `SETTLE_S` counts.
    fenced : set of str
        Services whose plan was written under this lease.
    full_round_due_at, liveness_due_at : float
        When the next full round and liveness check are due.
    liveness : dict
        Liveness of each member at the last check, by VM.
    """

    lease_id: str = ""
    valid_until: float = 0.0
    started_at: float = 0.0
    fenced: set = attrs.field(factory=set)
    full_round_due_at: float = 0.0
    liveness: dict = attrs.field(factory=dict)
    liveness_due_at: float = 0.0


def is_held(lease):
    """Whether this entry holds the lease and it cannot have lapsed yet."""
    return bool(lease.lease_id) and anyio.current_time() < lease.valid_until


async def run(control):
    """Acquire the lease when it is free, and plan while holding it, until cancelled."""
    lease = Lease(started_at=anyio.current_time())
    failures = 0
    while True:
        try:
            if is_held(lease):
                await _run_as_planner(control, lease)
            else:
                await _try_acquire(control, lease)
            failures = 0
        except (errors.StoreError, errors.ConflictError) as exc:
            failures += 1
            logs.event("planner.failed", error=exc.message, step=exc.step)
            await anyio.sleep(store_watch.backoff(control, failures))


def _candidate_rank(control):
    """Return the rank of this entry among the candidates, from 0."""
    own = control.state.cfg.vm
    live = {vm.vm for vm in control.state.vms if vm.role == "entry" and not vm.leaving}
    return topology.rank("planner", live | {own}).index(own)


async def _try_acquire(control, lease):
    """Wait for a check interval, then acquire the lease if it is free."""
    is_preferred = _candidate_rank(control) < PREFERRED_CANDIDATES
    await anyio.sleep(
        control_state.jitter(
            control, CHECK_INTERVAL_S if is_preferred else CHECK_INTERVAL_S * 10
        )
    )
    state = control.state
    settled = anyio.current_time() - lease.started_at >= SETTLE_S
    if state.leaving or not settled or control.vms_read_at is None:
        return
    if control.table.content is None or is_partitioned(control):
        return
    if await state.store.get(LEASE_KEY) is not None:
        return
    requested_at = anyio.current_time()
    lease_id = await state.store.grant(LEASE_TTL_S)
    try:
        await state.store.put(
            LEASE_KEY, state.start_id.encode(), expect=store.ABSENT, lease=lease_id
        )
    except errors.ConflictError:
        await state.store.revoke(lease_id)
        return
    lease.lease_id = lease_id
    lease.valid_until = requested_at + LEASE_TTL_S - LEASE_MARGIN_S
    lease.fenced.clear()
    lease.full_round_due_at = 0.0
    control.outdated_plans.update(control.plans)
    control.outdated_plans.update(
        row.name for row in table.services(control.table.content)
    )
    logs.event("planner.elected", lease=lease_id)


async def _run_as_planner(control, lease):
    """Renew the lease and plan until the lease is lost or resigned."""
    async with anyio.create_task_group() as tg:
        tg.start_soon(_renew, control, lease)
        failures = 0
        while is_held(lease):
            if control.state.leaving or is_partitioned(control):
                await _resign(control, lease)
                break
            try:
                await plan_round(control, lease)
                failures = 0
                delay_s = control_state.jitter(control, PLAN_INTERVAL_S)
            except (errors.StoreError, errors.ConflictError) as exc:
                failures += 1
                logs.event("planner.failed", error=exc.message, step=exc.step)
                delay_s = store_watch.backoff(control, failures)
            await anyio.sleep(delay_s)
        tg.cancel_scope.cancel()
    lease.lease_id = ""
    logs.event("planner.ended")


async def _renew(control, lease):
    while True:
        await anyio.sleep(control_state.jitter(control, RENEW_S))
        requested_at = anyio.current_time()
        try:
            await control.state.store.keep_alive(lease.lease_id)
            lease.valid_until = requested_at + LEASE_TTL_S - LEASE_MARGIN_S
        except errors.ConflictError:
            lease.valid_until = 0.0
            return
        except errors.StoreError as exc:
            logs.event("planner.renewal_failed", error=exc.message)


async def _resign(control, lease):
    reason = "leaving" if control.state.leaving else "cut off"
    logs.event("planner.resigned", reason=reason)
    lease.valid_until = 0.0
    lease.started_at = anyio.current_time() + RESIGN_BACKOFF_S - SETTLE_S
    try:
        await control.state.store.revoke(lease.lease_id)
    except errors.StoreError as exc:
        # The lease then expires by its TTL.
        logs.event("planner.revoke_failed", error=exc.message)


def is_partitioned(control):
    """Whether this entry seems partitioned and must not plan.

    True if most known members are silent, or if reports are relayed but no other entry
    is connected.
    """
    if control.relaying and not control.state.entries:
        return True
    now = anyio.current_time()
    known = [
        member
        for member in control.members.members.values()
        if not membership.is_leaving(member)
    ]
    silent = sum(not membership.is_reachable(member, now) for member in known)
    return silent > PARTITIONED_SHARE * len(known)


async def plan_round(control, lease):
    """Compute and write the plans of outdated services."""
    now = anyio.current_time()
    current = control.table.content
    if now >= lease.full_round_due_at:
        lease.full_round_due_at = now + FULL_ROUND_S
        control.outdated_plans.update(control.plans)
        control.outdated_plans.update(row.name for row in table.services(current))
    if now >= lease.liveness_due_at:
        lease.liveness_due_at = now + LIVENESS_INTERVAL_S
        _mark_liveness_changes(control, lease, now)
    if not control.outdated_plans:
        return
    members = membership.by_service(control.members)
    for service in sorted(control.outdated_plans):
        if not is_held(lease):
            return
        control.outdated_plans.discard(service)
        try:
            await _plan_service(control, lease, service, members.get(service, ()))
        except (errors.StoreError, errors.ConflictError):
            control.outdated_plans.add(service)
            raise


def _mark_liveness_changes(control, lease, now):
    """Mark the plans of services outdated whose members' liveness changed."""
    liveness = membership.liveness(control.members, now)
    for vm, condition in liveness.items():
        if lease.liveness.get(vm) != condition:
            control.outdated_plans.update(control.members.members[vm].services)
    lease.liveness = liveness


async def _plan_service(control, lease, service, members):
    state = control.state
    previous = state.plans.get(service)
    plan = planner.next_plan(
        control.table.content,
        service,
        members,
        previous,
        anyio.current_time(),
        state.start_id,
    )
    if plan is previous and service not in lease.fenced:
        # Fencing: a new planner writes each plan once, also an unchanged one, so that
        # all later writes of a paused former planner fail their compare-and-swap.
        plan = attrs.evolve(
            previous,
            revision=previous.revision + 1,
            table_revision=control.table.revision,
            author=state.start_id,
        )
    if plan is previous:
        return
    if await write_plan(control, plan):
        lease.fenced.add(service)
    else:
        control.outdated_plans.add(service)


async def write_plan(control, plan):
    """Write `plan` by compare-and-swap on the previous one.

    Returns
    -------
    written : bool
        False if another entry wrote first; its plan is then applied here.

    Raises
    ------
    InvariantError
        If a different plan of the same or a newer revision is already known.
    """
    key = control_state.PLAN_PREFIX + plan.service
    content = planner.to_json(plan)
    _check_unique(control, plan, content)
    expect = control.store_revisions.get(key, store.ABSENT)
    try:
        item = await control.state.store.put(key, content, expect=expect)
    except (errors.ConflictError, errors.StoreUnavailableError) as exc:
        # A write whose response was lost may have taken effect; the stored content,
        # which names its author, shows whether it did.
        item = await control.state.store.get(key)
        if item is None:
            control.store_revisions.pop(key, None)
            raise exc
        store_watch.apply_item(control, item)
        return item.value == content
    store_watch.apply_item(control, item)
    return True


def _check_unique(control, plan, content):
    current = control.plans.get(plan.service)
    if current is None or plan.revision > current.revision:
        return
    if hashlib.sha256(content).hexdigest() != current.digest:
        raise errors.InvariantError(
            f"second plan of {plan.service} revision {plan.revision}",
            step="planner.write",
        )
