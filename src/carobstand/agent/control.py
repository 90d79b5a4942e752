"""Control at an agent: heartbeats, and the table and assignments from entries."""

import random

import anyio
import attrs

from carobstand import errors, logs
from carobstand.core import revisions, table
from carobstand.wire import connection, handlers
from carobstand.wire.gen import ttypes

HEARTBEAT_S = 1.0
"""Mean time between heartbeats while the load changes."""

IDLE_HEARTBEAT_S = 2.5
"""Mean time between heartbeats that carry no news; pings tell that the agent lives."""

MIN_GAP_S = 0.05
"""Shortest time between heartbeats."""

ASK_AGAIN_S = 1.0
"""Time before another entry is asked for the same table."""

UNCHANGED_FIELDS = ("table_digest", "plan_revisions", "replicas")
"""Fields of a heartbeat that are left out while they are as in the one before on the
same connection; they are three quarters of it."""

MAX_FLOORS = 1024
"""Entry starts whose attempt floor is kept; those not connected go first."""


@attrs.define(eq=False)
class Control:
    """State of the control loop of one agent."""

    state: object
    table: object = attrs.field(factory=lambda: revisions.LatestRevision("table"))
    holders: dict = attrs.field(factory=dict)
    seq: int = 0
    asked_at: float = -ASK_AGAIN_S
    asked_revision: int = 0
    sent: dict = attrs.field(factory=dict)
    rng: object = attrs.field(factory=random.Random)


def part(state):
    """Return the control part of an agent.

    Parameters
    ----------
    state : agent.state.AgentState

    Returns
    -------
    part : wire.handlers.Part
    """
    control = Control(state)

    async def on_reply(conn, message):
        take_reply(control, conn, message)

    async def on_table(conn, message):
        take_table(control, conn, message)

    async def on_table_request(conn, message):
        _send_table(control, conn, message.have_revision or 0)

    async def on_roster(conn, message):
        take_roster(control, message)

    async def run():
        while True:
            _beat(control)
            await state.changed.wait(HEARTBEAT_S * control.rng.uniform(0.2, 0.4))
            await anyio.sleep(MIN_GAP_S)

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


def _beat(control):
    """Send a heartbeat to each entry where one is due."""
    state = control.state
    now = anyio.current_time()
    summary, load = _summary(control), _load(control)
    due = [
        conn
        for conn in state.entries.values()
        if _is_due(conn, summary, load, now, control.rng)
    ]
    if not due:
        return
    control.seq += 1
    whole, short = heartbeat(control), heartbeat(control)
    for name in UNCHANGED_FIELDS:
        setattr(short, name, None)
    # Prefixes are news for every entry, so a heartbeat with some goes to all.
    due = state.entries.values() if state.cached_prefixes else due
    state.cached_prefixes.clear()
    detail = tuple(map(repr, whole.replicas))
    for conn in list(due):
        last = conn.extra.get("beat")
        same = last is not None and (last[0], last[3]) == (summary, detail)
        conn.extra["beat"] = (summary, load, now, detail)
        _post(conn, short if same else whole)


def _is_due(conn, summary, load, now, rng):
    last = conn.extra.get("beat")
    if last is None or last[0] != summary:
        return True
    interval_s = HEARTBEAT_S if load != last[1] else IDLE_HEARTBEAT_S
    return now - last[2] >= interval_s * rng.uniform(0.8, 1.1)


def _load(control):
    """Return what makes a heartbeat due after about a second when it changes."""
    state = control.state
    load = state.load
    return (
        state.running_attempts,
        bool(state.cached_prefixes),
        load and (load.running, load.waiting, load.cache_used),
        tuple(replica.bytes_verified for replica in state.replicas.values()),
    )


def _summary(control):
    """Return what makes a heartbeat due at once when it changes."""
    state = control.state
    plans = tuple(sorted((s, h.revision) for s, h in control.holders.items()))
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
    """Return the heartbeat of this moment."""
    state = control.state
    return ttypes.Heartbeat(
        seq=control.seq,
        table_revision=control.table.revision,
        table_digest=control.table.digest,
        plan_revisions={s: h.revision for s, h in control.holders.items()},
        replicas=[replica for _, replica in sorted(state.replicas.items())],
        load=state.load or ttypes.Load(running=0, waiting=0, age_ms=0, cache_used=0.0),
        leaving=state.leaving,
        running_attempts=state.running_attempts,
        backend_up=state.backend_up,
        cached_prefixes=list(state.cached_prefixes),
    )


def take_reply(control, conn, message):
    """Apply a heartbeat reply: assignments, attempt floor, news of the table."""
    state = control.state
    changed = False
    for entry in message.assignments or ():
        changed |= take_assignment(control, entry)
    start_id = conn.peer.start_id
    floor = message.attempt_floor or 0
    if floor > state.attempt_floors.get(start_id, 0):
        state.attempt_floors[start_id] = floor
    _drop_floors(state)
    _ask_table(control, conn, message.table_revision or 0)
    if changed:
        state.changed.notify()


def _ask_table(control, conn, revision):
    """Ask the first entry that announces a newer table; others only after a while."""
    now = anyio.current_time()
    if revision <= control.table.revision:
        return
    if revision > control.asked_revision or now - control.asked_at >= ASK_AGAIN_S:
        control.asked_at = now
        control.asked_revision = revision
        have = control.table.revision
        _post(conn, ttypes.TableRequest(have_revision=have))


def take_assignment(control, entry):
    """Take an assignment if its plan is newer than the one held.

    Returns
    -------
    taken : bool
    """
    service = entry.service_name
    if service not in control.state.cfg.services:
        return False
    holder = control.holders.setdefault(
        service, revisions.LatestRevision(f"assignment {service}")
    )
    content = (tuple(entry.fetch or ()), tuple(entry.serve or ()))
    revision = entry.plan_revision or 0
    verdict = revisions.offer(holder, revision, content, entry, anyio.current_time())
    if verdict is not revisions.OfferResult.ACCEPTED:
        if verdict is not revisions.OfferResult.SAME:
            logs.event(
                "assignment.refused",
                service=service,
                revision=revision,
                reason=verdict.value,
            )
        return False
    control.state.assignments[service] = entry
    logs.event(
        "assignment.applied",
        service=service,
        revision=revision,
        fetch=list(entry.fetch or ()),
        serve=list(entry.serve or ()),
    )
    return True


def _drop_floors(state):
    if len(state.attempt_floors) <= MAX_FLOORS:
        return
    connected = {conn.peer.start_id for conn in state.entries.values()}
    for start_id in list(state.attempt_floors):
        if start_id not in connected:
            del state.attempt_floors[start_id]
            return


def take_table(control, conn, message):
    """Apply a table from an entry; ask for the whole where a delta does not fit."""
    holder = control.table
    if (message.revision or 0) <= holder.revision:
        return
    try:
        new = _read(holder.content, message)
    except errors.TableError as exc:
        logs.event("table.refused", peer=conn.peer.vm, reason=exc.message)
        if isinstance(message, ttypes.TableDelta):
            _post(conn, ttypes.TableRequest(have_revision=0))
        return
    verdict = revisions.offer(
        holder, new.revision, table.digest(new), new, anyio.current_time()
    )
    if verdict is revisions.OfferResult.ACCEPTED:
        control.state.table = new
        _drop_rosters(control.state)
        logs.event("table.applied", revision=new.revision, source=conn.peer.vm)
        control.state.changed.notify()


def _read(held, message):
    if isinstance(message, ttypes.TableDelta):
        return table.apply_delta(held or table.EMPTY, message.content, message.digest)
    return table.from_snapshot(message.content, message.revision, message.digest, held)


def take_roster(control, message):
    """Keep a roster unless one of a newer plan is held."""
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


def _send_table(control, conn, have):
    """Send the whole table: entries ask agents only when they have lost theirs."""
    holder = control.table
    if holder.content is None or have >= holder.revision:
        return
    _post(
        conn,
        ttypes.TableSnapshot(
            revision=holder.revision,
            digest=holder.digest,
            content=table.to_json(attrs.evolve(holder.content, history=())),
        ),
    )


def _post(conn, message):
    try:
        connection.post(conn, message)
    except errors.ConnectionClosedError:
        return
