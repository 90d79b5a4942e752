"""The planner: a lease in the store, and plans written by compare-and-swap."""

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

MARGIN_S = 1.0
"""The holder stops this long before the lease can lapse at the store."""

LOOK_S = 2.0
"""Time between looks at the lease by the first candidates."""

CANDIDATES = 4
"""Entries that look often. The others look ten times more rarely, so that a free lease
is not taken by hundreds of writes at once."""

SETTLE_S = 3.0
"""Time after the start of an entry, or its return, before it may plan; by then each
agent that is alive has sent a heartbeat."""

PLAN_INTERVAL_S = 0.5
"""Shortest time between rounds of planning."""

CONDITIONS_S = 2.0
"""Time between looks for members that fell silent or came back."""

FULL_ROUND_S = 60.0
"""Time between rounds over all services; changes are planned as they are seen."""

CUT_OFF_SHARE = 0.5
"""Share of silent members above which the entry takes itself for cut off: no single
failure domain holds so many."""

RESIGNED_S = 10.0
"""Time before an entry that was cut off looks at the lease again."""


@attrs.define
class Lease:
    """The planner lease as this entry sees it; `valid_until` is on the loop's clock."""

    lease_id: str = ""
    valid_until: float = 0.0
    started_at: float = 0.0
    claimed: set = attrs.field(factory=set)
    full_round_at: float = 0.0
    conditions: dict = attrs.field(factory=dict)
    conditions_at: float = 0.0


def holds(lease):
    """Return whether the lease cannot have lapsed yet."""
    return bool(lease.lease_id) and anyio.current_time() < lease.valid_until


async def run(control):
    """Take the lease when it is free, and plan while it is held, until cancelled."""
    lease = Lease(started_at=anyio.current_time())
    failures = 0
    while True:
        try:
            if holds(lease):
                await _hold(control, lease)
            else:
                await _look(control, lease)
            failures = 0
        except (errors.StoreError, errors.ConflictError) as exc:
            failures += 1
            logs.event("planner.failed", error=exc.message, step=exc.step)
            await anyio.sleep(store_watch.backoff(control, failures))


def _position(control):
    """Return this entry's place among the candidates."""
    own = control.state.cfg.vm
    live = {vm.vm for vm in control.state.vms if vm.role == "entry" and not vm.leaving}
    return topology.rank("planner", live | {own}).index(own)


async def _look(control, lease):
    """Look at the lease once, and take it if it is free."""
    first = _position(control) < CANDIDATES
    await anyio.sleep(control_state.jitter(control, LOOK_S if first else LOOK_S * 10))
    state = control.state
    settled = anyio.current_time() - lease.started_at >= SETTLE_S
    if state.leaving or not settled or control.vms_read_at is None:
        return
    if control.table.content is None or cut_off(control):
        return
    if await state.store.get(LEASE_KEY) is not None:
        return
    asked_at = anyio.current_time()
    lease_id = await state.store.grant(LEASE_TTL_S)
    try:
        await state.store.put(
            LEASE_KEY, state.start_id.encode(), expect=store.ABSENT, lease=lease_id
        )
    except errors.ConflictError:
        await state.store.revoke(lease_id)
        return
    lease.lease_id = lease_id
    lease.valid_until = asked_at + LEASE_TTL_S - MARGIN_S
    lease.claimed.clear()
    lease.full_round_at = 0.0
    control.outdated_plans.update(control.plans)
    control.outdated_plans.update(
        row.name for row in table.services(control.table.content)
    )
    logs.event("planner.elected", lease=lease_id)


async def _hold(control, lease):
    """Renew the lease and plan until the lease is lost or given up."""
    async with anyio.create_task_group() as tg:
        tg.start_soon(_renew, control, lease)
        failures = 0
        while holds(lease):
            if control.state.leaving or cut_off(control):
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
        asked_at = anyio.current_time()
        try:
            await control.state.store.keep_alive(lease.lease_id)
            lease.valid_until = asked_at + LEASE_TTL_S - MARGIN_S
        except errors.ConflictError:
            lease.valid_until = 0.0
            return
        except errors.StoreError as exc:
            logs.event("planner.renewal_failed", error=exc.message)


async def _resign(control, lease):
    reason = "leaving" if control.state.leaving else "cut off"
    logs.event("planner.resigned", reason=reason)
    lease.valid_until = 0.0
    lease.started_at = anyio.current_time() + RESIGNED_S - SETTLE_S
    try:
        await control.state.store.revoke(lease.lease_id)
    except errors.StoreError as exc:
        # The lease lapses by itself.
        logs.event("planner.revoke_failed", error=exc.message)


def cut_off(control):
    """Return whether most agents are silent, so that this entry must not plan."""
    if control.relaying and not control.state.entries:
        return True
    now = anyio.current_time()
    known = [
        member
        for member in control.members.members.values()
        if not membership.is_leaving(member)
    ]
    silent = sum(not membership.is_reachable(member, now) for member in known)
    return silent > CUT_OFF_SHARE * len(known)


async def plan_round(control, lease):
    """Compute the plans of the services that may have changed, and write them."""
    now = anyio.current_time()
    current = control.table.content
    if now >= lease.full_round_at:
        lease.full_round_at = now + FULL_ROUND_S
        control.outdated_plans.update(control.plans)
        control.outdated_plans.update(row.name for row in table.services(current))
    if now >= lease.conditions_at:
        lease.conditions_at = now + CONDITIONS_S
        _note_conditions(control, lease, now)
    if not control.outdated_plans:
        return
    members = membership.by_service(control.members)
    for service in sorted(control.outdated_plans):
        if not holds(lease):
            return
        control.outdated_plans.discard(service)
        try:
            await _plan_service(control, lease, service, members.get(service, ()))
        except (errors.StoreError, errors.ConflictError):
            control.outdated_plans.add(service)
            raise


def _note_conditions(control, lease, now):
    """Plan the services of members that fell silent, were given up or came back."""
    conditions = membership.liveness(control.members, now)
    for vm, condition in conditions.items():
        if lease.conditions.get(vm) != condition:
            control.outdated_plans.update(control.members.members[vm].services)
    lease.conditions = conditions


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
    if plan is previous and service not in lease.claimed:
        # A new holder writes each plan once. From then on every write of a paused
        # former holder fails its compare-and-swap, also where nothing else changed.
        plan = attrs.evolve(
            previous,
            revision=previous.revision + 1,
            table_revision=control.table.revision,
            author=state.start_id,
        )
    if plan is previous:
        return
    if await write_plan(control, plan):
        lease.claimed.add(service)
    else:
        control.outdated_plans.add(service)


async def write_plan(control, plan):
    """Write `plan` by compare-and-swap on the previous one.

    Returns
    -------
    written : bool
        False if another entry wrote a plan first; that one is then in force here.

    Raises
    ------
    InvariantError
        If this entry would write two plans of one revision.
    """
    key = control_state.PLAN_PREFIX + plan.service
    content = planner.to_json(plan)
    _check_unique(control, plan, content)
    expect = control.store_revisions.get(key, store.ABSENT)
    try:
        item = await control.state.store.put(key, content, expect=expect)
    except (errors.ConflictError, errors.StoreUnavailableError) as exc:
        # After a lost answer the write may have taken effect: the author tells.
        item = await control.state.store.get(key)
        if item is None:
            control.store_revisions.pop(key, None)
            raise exc
        store_watch.take_item(control, item)
        return item.value == content
    store_watch.take_item(control, item)
    return True


def _check_unique(control, plan, content):
    holder = control.plans.get(plan.service)
    if holder is None or plan.revision > holder.revision:
        return
    if hashlib.sha256(content).hexdigest() != holder.digest:
        raise errors.InvariantError(
            f"second plan of {plan.service} revision {plan.revision}",
            step="planner.write",
        )
