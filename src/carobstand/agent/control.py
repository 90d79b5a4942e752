"""Control loop of an agent: sends heartbeats, receives table and assignments."""

import random

import anyio
import attrs

from carobstand import errors, logs
from carobstand.core import revisions, table
from carobstand.wire import connection, handlers
from carobstand.wire.gen import ttypes

HEARTBEAT_INTERVAL_S = 1.0
"""Mean interval between heartbeats while the load changes."""

IDLE_HEARTBEAT_INTERVAL_S = 2.5
"""Mean interval between unchanged heartbeats; pings show that the agent is alive."""

MIN_HEARTBEAT_GAP_S = 0.05
"""Shortest interval between heartbeats."""

TABLE_RETRY_S = 1.0
"""Time before the same table is requested from another entry."""

UNCHANGED_FIELDS = ("table_digest", "plan_revisions", "replicas")
"""Fields omitted from a heartbeat if unchanged since the previous one on the same
connection. They make up three quarters of its size."""

MAX_FLOORS = 1024
"""Maximum number of stored attempt floors, one per entry start.

Those of disconnected entries are dropped first.
"""


@attrs.define(eq=False)
class Control:
    """State of the control loop of one agent.

    Attributes
    ----------
    state : agent.state.AgentState
    table : core.revisions.LatestRevision
        Table with the highest revision received.
    assignment_revisions : dict of str to core.revisions.LatestRevision
        Assignment with the highest plan revision received, by service.
    seq : int
        Number of the last heartbeat.
    table_requested_at : float
        Time of the last table request.
    requested_revision : int
        Table revision that the last request was for.
    """

    state: object
    table: object = attrs.field(factory=lambda: revisions.LatestRevision("table"))
    assignment_revisions: dict = attrs.field(factory=dict)
    seq: int = 0
    table_requested_at: float = -TABLE_RETRY_S
    requested_revision: int = 0
    sent: dict = attrs.field(factory=dict)
    rng: object = attrs.field(factory=random.Random)


def part(state):
    """Return the handlers and the heartbeat loop of an agent.

    Parameters
    ----------
    state : agent.state.AgentState

    Returns
    -------
    part : wire.handlers.Part
    """
    control = Control(state)

    async def on_reply(conn, message):
        apply_heartbeat_reply(control, conn, message)

    async def on_table(conn, message):
        apply_table(control, conn, message)

    async def on_table_request(conn, message):
        _send_table(control, conn, message.have_revision or 0)

    async def on_roster(conn, message):
        apply_roster(control, message)

    async def run():
        while True:
            _send_heartbeats(control)
            await state.changed.wait(
                HEARTBEAT_INTERVAL_S * control.rng.uniform(0.2, 0.4)
            )
            await anyio.sleep(MIN_HEARTBEAT_GAP_S)

    return handlers.Part(
        handlers={
            ttypes.HeartbeatReply: on_reply,
            ttypes.TableSnapshot: on_table,
            ttypes.TableDelta: on_table,
            ttypes.TableRequest: on_table_request,
            ttypes.Roster: on_roster,
        },
        run=run,
    )


def _send_heartbeats(control):
    """Send a heartbeat to each entry where one is due."""
    state = control.state
    now = anyio.current_time()
    summary, load = _urgent_fields(control), _load_fields(control)
    due = [
        conn
        for conn in state.entries.values()
        if _is_due(conn, summary, load, now, control.rng)
    ]
    if not due:
        return
    control.seq += 1
    full, reduced = heartbeat(control), heartbeat(control)
    for name in UNCHANGED_FIELDS:
        setattr(reduced, name, None)
    # Cached prefixes are sent only once, so such a heartbeat goes to every entry.
    due = state.entries.values() if state.cached_prefixes else due
    state.cached_prefixes.clear()
    detail = tuple(map(repr, full.replicas))
    for conn in list(due):
        last = conn.extra.get("heartbeat")
        same = last is not None and (last[0], last[3]) == (summary, detail)
        conn.extra["heartbeat"] = (summary, load, now, detail)
        _post(conn, reduced if same else full)


def _is_due(conn, summary, load, now, rng):
    last = conn.extra.get("heartbeat")
    if last is None or last[0] != summary:
        return True
    interval_s = HEARTBEAT_INTERVAL_S if load != last[1] else IDLE_HEARTBEAT_INTERVAL_S
    return now - last[2] >= interval_s * rng.uniform(0.8, 1.1)


def _load_fields(control):
    """Return the fields whose change makes a heartbeat due within about 1 s."""
    state = control.state
    load = state.load
    return (
        state.running_attempts,
        bool(state.cached_prefixes),
        load and (load.running, load.waiting, load.cache_used),
        tuple(replica.bytes_verified for replica in state.replicas.values()),
    )


def _urgent_fields(control):
    """Return the fields whose change makes a heartbeat due immediately."""
    state = control.state
    plans = tuple(
        sorted((s, h.revision) for s, h in control.assignment_revisions.items())
    )
    replicas = tuple(
        (key, replica.phase, replica.manifest)
        for key, replica in sorted(state.replicas.items())
    )
    return (
        control.table.revision,
        plans,
        replicas,
        state.leaving,
        state.backend_up,
    )


def heartbeat(control):
    """Return a heartbeat with the current state."""
    state = control.state
    return ttypes.Heartbeat(
        seq=control.seq,
        table_revision=control.table.revision,
        table_digest=control.table.digest,
        plan_revisions={s: h.revision for s, h in control.assignment_revisions.items()},
        replicas=[replica for _, replica in sorted(state.replicas.items())],
        load=state.load or ttypes.Load(running=0, waiting=0, age_ms=0, cache_used=0.0),
        leaving=state.leaving,
        running_attempts=state.running_attempts,
        backend_up=state.backend_up,
        cached_prefixes=list(state.cached_prefixes),
    )


def apply_heartbeat_reply(control, conn, message):
    """Apply assignments and attempt floor; request the table if a newer one exists."""
    state = control.state
    changed = False
    for assignment in message.assignments or ():
        changed |= apply_assignment(control, assignment)
    start_id = conn.peer.start_id
    floor = message.attempt_floor or 0
    if floor > state.attempt_floors.get(start_id, 0):
        state.attempt_floors[start_id] = floor
    _limit_floors(state)
    _request_table(control, conn, message.table_revision or 0)
    if changed:
        state.changed.notify()


def _request_table(control, conn, revision):
    """Request a newer table from the first entry that announces it.

    Other entries are asked only after `TABLE_RETRY_S`.
    """
    now = anyio.current_time()
    if revision <= control.table.revision:
        return
    if (
        revision > control.requested_revision
        or now - control.table_requested_at >= TABLE_RETRY_S
    ):
        control.table_requested_at = now
        control.requested_revision = revision
        held_revision = control.table.revision
        _post(conn, ttypes.TableRequest(have_revision=held_revision))


def apply_assignment(control, assignment):
    """Apply an assignment if its plan revision is newer than the current one.

    Returns
    -------
    applied : bool
    """
    service = assignment.service_name
    if service not in control.state.cfg.services:
        return False
    latest = control.assignment_revisions.setdefault(
        service, revisions.LatestRevision(f"assignment {service}")
    )
    content = (tuple(assignment.fetch or ()), tuple(assignment.serve or ()))
    revision = assignment.plan_revision or 0
    result = revisions.offer(
        latest, revision, content, assignment, anyio.current_time()
    )
    if result is not revisions.OfferResult.ACCEPTED:
        if result is not revisions.OfferResult.SAME:
            logs.event(
                "assignment.refused",
                service=service,
                revision=revision,
                reason=result.value,
            )
        return False
    control.state.assignments[service] = assignment
    logs.event(
        "assignment.applied",
        service=service,
        revision=revision,
        fetch=list(assignment.fetch or ()),
        serve=list(assignment.serve or ()),
    )
    return True


def _limit_floors(state):
    if len(state.attempt_floors) <= MAX_FLOORS:
        return
    connected = {conn.peer.start_id for conn in state.entries.values()}
    for start_id in list(state.attempt_floors):
        if start_id not in connected:
            del state.attempt_floors[start_id]
            return


def apply_table(control, conn, message):
    """Apply a received table; request a full snapshot if a delta does not apply."""
    latest = control.table
    if (message.revision or 0) <= latest.revision:
        return
    try:
        new = _decode_table(latest.content, message)
    except errors.TableError as exc:
        logs.event("table.refused", peer=conn.peer.vm, reason=exc.message)
        if isinstance(message, ttypes.TableDelta):
            _post(conn, ttypes.TableRequest(have_revision=0))
        return
    result = revisions.offer(
        latest, new.revision, table.digest(new), new, anyio.current_time()
    )
    if result is revisions.OfferResult.ACCEPTED:
        control.state.table = new
        _drop_rosters(control.state)
        logs.event("table.applied", revision=new.revision, source=conn.peer.vm)
        control.state.changed.notify()


def _decode_table(held, message):
    if isinstance(message, ttypes.TableDelta):
        return table.apply_delta(held or table.EMPTY, message.content, message.digest)
    return table.from_snapshot(message.content, message.revision, message.digest, held)


def apply_roster(control, message):
    """Store a roster unless the current one has a newer plan revision."""
    rosters = control.state.rosters
    if not message.manifest or message.members is None:
        return
    known = rosters.get(message.manifest)
    if known is not None and (known.plan_revision or 0) > (message.plan_revision or 0):
        return
    if known != message:
        rosters[message.manifest] = message
        control.state.changed.notify()


def _drop_rosters(state):
    """Drop rosters of manifests that the table no longer names."""
    named = {row.manifest for row in state.table.rows if row.kind == "version"}
    for manifest in list(state.rosters):
        if manifest not in named:
            del state.rosters[manifest]


def _send_table(control, conn, held_revision):
    """Send a full snapshot: entries ask agents only after losing their own table."""
    latest = control.table
    if latest.content is None or held_revision >= latest.revision:
        return
    _post(
        conn,
        ttypes.TableSnapshot(
            revision=latest.revision,
            digest=latest.digest,
            content=table.to_json(attrs.evolve(latest.content, history=())),
        ),
    )


def _post(conn, message):
    try:
        connection.post(conn, message)
    except errors.ConnectionClosedError:
        return
