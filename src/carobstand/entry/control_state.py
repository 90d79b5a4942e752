"""Control state of an entry: the table, plans, members and store revisions."""

import collections
import hashlib
import random
import time

import anyio
import attrs

from carobstand import errors, logs
from carobstand.core import membership, planner, revisions, table
from carobstand.wire import connection
from carobstand.wire.gen import ttypes

TABLE_KEY = "config/table"

PLAN_PREFIX = "config/plan/"

RECENT_TABLES = 32
"""Number of recent tables kept as bases for deltas."""


@attrs.define(eq=False)
class Control:
    """State of the control loops of one entry.

    Attributes
    ----------
    state : entry.state.EntryState
    table : revisions.LatestRevision
    plans : dict of str to revisions.LatestRevision
        By service.
    store_revisions : dict of str to int
        Store revision of each key under ``config/``, as last seen.
    members : membership.Members
    recent_tables : deque of table.Table
        Most recent tables in force, newest last.
    deltas : dict
        Messages for table requests, cached by base revision; cleared at each change.
    outdated_plans : set of str
        Services whose plan must be recomputed.
    vms_read_at : float or None
        When the VM list was last read, here or by another entry.
    vms_stamp, vms_digest : int, str
        Hybrid logical clock and digest of that VM list.
    vms_inconsistent : bool
        Whether the VM list differs from one that another entry read.
    refused : str
        Why the newest content of the store was rejected; empty if it was accepted.
    rosters_dirty : set of str
        Services whose rosters may have changed.
    ahead_since, asked_at : dict
        When a peer was first seen with a newer revision, and when one was last asked
        for it; by "table" or service.
    member_reports : dict of str to ttypes.MemberReport
        Latest report of each agent, by VM, while `relaying`.
    republish : set of str
        VMs of agents that another entry reported as lost but that are connected here;
        their next heartbeat is published.
    relaying : bool
        Whether member reports are relayed between entries.
    """

    state: object
    table: object = attrs.field(factory=lambda: revisions.LatestRevision("table"))
    plans: dict = attrs.field(factory=dict)
    store_revisions: dict = attrs.field(factory=dict)
    members: object = attrs.field(factory=membership.Members)
    recent_tables: object = attrs.field(
        factory=lambda: collections.deque(maxlen=RECENT_TABLES)
    )
    deltas: dict = attrs.field(factory=dict)
    outdated_plans: set = attrs.field(factory=set)
    vms_read_at: float | None = None
    vms_stamp: int = 0
    vms_digest: str = ""
    vms_inconsistent: bool = False
    refused: str = ""
    rosters_dirty: set = attrs.field(factory=set)
    ahead_since: dict = attrs.field(factory=dict)
    asked_at: dict = attrs.field(factory=dict)
    member_reports: dict = attrs.field(factory=dict)
    republish: set = attrs.field(factory=set)
    relaying: bool = False
    rng: object = attrs.field(factory=random.Random)


def describe(control):
    """Return the control state for the status port; times are since the epoch, in s."""
    now = anyio.current_time()
    offset = time.time() - now
    store = control.state.store
    peers = {
        vm: {
            "table_revision": peer.peer_state.table_revision or 0,
            "plan_revisions": dict(peer.peer_state.plan_revisions or {}),
        }
        for vm, peer in control.state.entries.items()
        if peer.peer_state is not None
    }
    silent = {
        member.vm: now - membership.silent_s(member, now) + offset
        for member in control.members.members.values()
        if not membership.is_reachable(member, now)
    }
    return {
        "peers": peers,
        "silent": silent,
        "table": {
            "revision": control.table.revision,
            "digest": control.table.digest,
            "at": control.table.accepted_at + offset,
        },
        "plans": {
            service: {"revision": holder.revision, "at": holder.accepted_at + offset}
            for service, holder in control.plans.items()
        },
        "stale": control.table.stale,
        "forked": control.table.forked,
        "refused": control.refused,
        "members": len(control.members.members),
        "store_calls": dict(getattr(store, "calls", None) or {}),
    }


def jitter(control, seconds):
    """Return `seconds` with a random deviation of up to 20 percent."""
    return seconds * control.rng.uniform(0.8, 1.2)


def apply_table(control, new, source):
    """Apply a table if its revision is higher than the current one.

    Parameters
    ----------
    control : Control
    new : table.Table
    source : str
        Origin of the table, for the log.

    Returns
    -------
    verdict : revisions.OfferResult
    """
    digest = table.digest(new)
    now = anyio.current_time()
    verdict = revisions.offer(control.table, new.revision, digest, new, now)
    if verdict is revisions.OfferResult.ACCEPTED:
        state = control.state
        control.deltas.clear()
        mark_services(control, table.changed_services(state.table or table.EMPTY, new))
        state.table = new
        control.recent_tables.append(new)
        logs.event(
            "table.applied",
            revision=new.revision,
            change=new.change_id,
            source=source,
            at=time.time(),
        )
        announce(control)
        state.changed.notify()
    elif verdict is not revisions.OfferResult.SAME:
        logs.event("table.refused", revision=new.revision, reason=verdict.value)
    return verdict


def mark_services(control, services):
    """Mark the plans and rosters of `services` for recomputation."""
    control.outdated_plans.update(services)
    control.rosters_dirty.update(services)


def apply_plan(control, plan, content, source):
    """Apply a plan if its revision is higher than the current one.

    Parameters
    ----------
    control : Control
    plan : planner.Plan
    content : bytes
        JSON of the plan, as sent to peers on request.
    source : str

    Returns
    -------
    verdict : revisions.OfferResult
    """
    holder = control.plans.setdefault(
        plan.service, revisions.LatestRevision(f"plan {plan.service}")
    )
    digest = hashlib.sha256(content).hexdigest()
    verdict = revisions.offer(
        holder, plan.revision, digest, content, anyio.current_time()
    )
    if verdict is revisions.OfferResult.ACCEPTED:
        control.state.plans[plan.service] = plan
        mark_services(control, (plan.service,))
        logs.event(
            "plan.applied",
            service=plan.service,
            revision=plan.revision,
            author=plan.author,
            source=source,
        )
        announce(control, plan.service)
        control.state.changed.notify()
    elif verdict is not revisions.OfferResult.SAME:
        logs.event(
            "plan.refused",
            service=plan.service,
            revision=plan.revision,
            reason=verdict.value,
        )
    return verdict


def announce(control, service=None):
    """Notify connected agents of a new revision without waiting for a heartbeat.

    With `service`, notify only agents that have an outdated assignment.
    """
    for peer in control.state.agents.values():
        if peer.heartbeat is None:
            continue
        reply = reply_to(control, peer, seq=0)
        if service is None or reply.assignments:
            post(peer.conn, reply)


def reply_to(control, peer, seq):
    """Return the reply to the latest heartbeat of `peer`."""
    state = control.state
    known = peer.heartbeat.plan_revisions or {}
    assignments = []
    for service in peer.hello.services or ():
        plan = state.plans.get(service)
        if plan is None or plan.revision <= known.get(service, 0):
            continue
        entry = planner.assignment(plan, peer.hello.vm)
        assignments.append(
            ttypes.Assignment(
                service_name=service,
                plan_revision=plan.revision,
                fetch=list(entry.fetch),
                serve=list(entry.serve),
            )
        )
    return ttypes.HeartbeatReply(
        seq=seq,
        table_revision=control.table.revision,
        assignments=assignments,
        attempt_floor=state.attempt_floor,
    )


def post(conn, message):
    """Queue `message`; do nothing if the connection is closed."""
    try:
        connection.post(conn, message)
    except errors.ConnectionClosedError:
        return


def copy_missing_fields(message, previous, names):
    """Copy fields that are missing in `message` from the `previous` message, if any."""
    for name in names:
        if getattr(message, name) is None and previous is not None:
            setattr(message, name, getattr(previous, name))


def send_table(control, conn, held_revision):
    """Send the table to a peer whose revision `held_revision` is older."""
    holder = control.table
    if holder.content is None or held_revision >= holder.revision:
        return
    if held_revision not in {old.revision for old in control.recent_tables}:
        held_revision = 0
    if held_revision not in control.deltas:
        control.deltas[held_revision] = _table_message(control, held_revision)
    post(conn, control.deltas[held_revision])


def _table_message(control, held_revision):
    """Return a delta from an earlier table, or a snapshot if that is not larger."""
    holder = control.table
    content = table.to_json(attrs.evolve(holder.content, history=()))
    base = next(
        (old for old in control.recent_tables if old.revision == held_revision), None
    )
    if base is not None:
        delta = table.delta(base, holder.content)
        if len(delta) < len(content):
            return ttypes.TableDelta(
                base_revision=held_revision,
                revision=holder.revision,
                digest=holder.digest,
                content=delta,
            )
    return ttypes.TableSnapshot(
        revision=holder.revision, digest=holder.digest, content=content
    )


def decode_table(current, message):
    """Decode the table of a `TableSnapshot` or `TableDelta`.

    Parameters
    ----------
    current : table.Table or None
    message : ttypes.TableSnapshot or ttypes.TableDelta

    Raises
    ------
    TableError
        If it is malformed or of another format, or if its digest does not match.
    """
    if isinstance(message, ttypes.TableDelta):
        return table.apply_delta(
            current or table.EMPTY, message.content, message.digest
        )
    return table.from_snapshot(
        message.content, message.revision, message.digest, current
    )
