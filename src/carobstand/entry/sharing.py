"""Exchange of revisions with other entries and with agents.

An entry that is cut off from the store, or whose watch is silent, learns the table and
the plans here; so does one that started while the store is down.
"""

import anyio

from carobstand import errors, logs
from carobstand.core import planner, revisions
from carobstand.entry import control_state, report_relay, vm_readings
from carobstand.wire.gen import ttypes

STATE_INTERVAL_S = 1.0
"""Time between two `PeerState` on a connection while nothing changes."""

LOOK_S = 0.25
"""Time between looks for changes to tell and revisions to ask for."""

ASK_AFTER_S = 0.5
"""How long a peer must be ahead before it is asked: the store's watch usually delivers
the same revision sooner, and 370 entries would otherwise send the table twice."""

ASK_AGAIN_S = 2.0
"""Time before another peer is asked for the same thing."""


def handlers(control):
    """Return the handlers of messages that carry revisions."""
    state = control.state

    async def on_peer_state(conn, message):
        peer = state.entries.get(conn.peer.vm)
        if peer is None or peer.conn is not conn:
            return
        if message.seq is None:
            vm_readings.take(control, conn, message)
            return
        control_state.copy_missing_fields(message, peer.peer_state, ("plan_revisions",))
        peer.peer_state = message
        peer.heard_at = anyio.current_time()
        for report in message.members or ():
            report_relay.apply_report(control, conn, report)

    async def on_table_request(conn, message):
        control_state.send_table(control, conn, message.have_revision or 0)

    async def on_table(conn, message):
        take_table_message(control, conn, message)

    async def on_plan_request(conn, message):
        holder = control.plans.get(message.service_name)
        if holder is not None and holder.revision > (message.have_revision or 0):
            control_state.post(
                conn,
                ttypes.PlanSnapshot(
                    service_name=message.service_name,
                    revision=holder.revision,
                    content=holder.content,
                ),
            )

    async def on_plan(conn, message):
        try:
            plan = planner.from_json(message.content, conn.peer.vm)
        except errors.TableError as exc:
            _refused(conn, exc)
            return
        if plan.service == message.service_name:
            control_state.apply_plan(control, plan, message.content, conn.peer.vm)

    return {
        ttypes.PeerState: on_peer_state,
        ttypes.TableRequest: on_table_request,
        ttypes.TableSnapshot: on_table,
        ttypes.TableDelta: on_table,
        ttypes.PlanRequest: on_plan_request,
        ttypes.PlanSnapshot: on_plan,
    }


def take_table_message(control, conn, message):
    """Apply a table from a peer; ask for the whole where a delta does not fit."""
    if (message.revision or 0) <= control.table.revision:
        return
    try:
        new = control_state.decode_table(control.table.content, message)
    except errors.TableError as exc:
        _refused(conn, exc)
        if isinstance(message, ttypes.TableDelta):
            control_state.post(conn, ttypes.TableRequest(have_revision=0))
        return
    control_state.apply_table(control, new, conn.peer.vm)


def _refused(conn, exc):
    logs.event("peer.content_refused", peer=conn.peer.vm, error=exc.message)


async def run(control):
    """Tell other entries what is held and ask those that are ahead, until cancelled."""
    while True:
        now = anyio.current_time()
        report_relay.update_relaying(control)
        for peer in list(control.state.entries.values()):
            _tell(control, peer, now)
        ask(control, now)
        await control.state.changed.wait(control_state.jitter(control, LOOK_S))
        await anyio.sleep(control_state.jitter(control, LOOK_S / 5))


def _tell(control, peer, now):
    state = control.state
    plans = {service: holder.revision for service, holder in control.plans.items()}
    summary = (control.table.revision, plans, state.leaving)
    last = peer.conn.extra.get("told", (None, -STATE_INTERVAL_S, 0))
    members = report_relay.next_reports(control, peer.conn)
    due = now - last[1] >= control_state.jitter(control, STATE_INTERVAL_S)
    if summary == last[0] and not members and not due:
        return
    peer.conn.extra["told"] = (summary, now, last[2] + 1)
    control_state.post(
        peer.conn,
        ttypes.PeerState(
            seq=last[2] + 1,
            table_revision=control.table.revision,
            plan_revisions=plans if last[0] is None or last[0][1] != plans else None,
            demands=list(state.demands),
            suspects=_suspects(state),
            leaving=state.leaving,
            members=members or None,
        ),
    )


def _suspects(state):
    """Return the suspects to tell, where the requests part keeps a list of them."""
    return list(getattr(state.suspects, "outgoing", None) or ())


def ask(control, now):
    """Ask for the table and the plans that some peer has had for a while."""
    ahead = dict(_ahead(control))
    for what in list(control.ahead_since):
        if what not in ahead:
            del control.ahead_since[what]
    for what, (conn, request) in ahead.items():
        since = control.ahead_since.setdefault(what, now)
        asked_at = control.asked_at.get(what, -ASK_AGAIN_S)
        if now - since >= ASK_AFTER_S and now - asked_at >= ASK_AGAIN_S:
            control.asked_at[what] = now
            control_state.post(conn, request)


def _ahead(control):
    """Yield (what, (connection, request)) of the peer furthest ahead for each value.

    Agents are asked for the table too: after a restart of all entries during a store
    outage they alone hold it.
    """
    state = control.state
    offers = {}
    for peer in list(state.entries.values()):
        if peer.peer_state is None:
            continue
        _better(offers, "table", peer.peer_state.table_revision or 0, peer.conn)
        for service, revision in (peer.peer_state.plan_revisions or {}).items():
            _better(offers, service, revision, peer.conn)
    for peer in state.agents.values():
        if peer.heartbeat is not None:
            _better(offers, "table", peer.heartbeat.table_revision or 0, peer.conn)
    nothing = revisions.LatestRevision("")
    for what, (revision, conn) in offers.items():
        if what == "table":
            have = control.table.revision
            request = ttypes.TableRequest(have_revision=have)
        else:
            have = control.plans.get(what, nothing).revision
            request = ttypes.PlanRequest(service_name=what, have_revision=have)
        if revision > have:
            yield what, (conn, request)


def _better(offers, what, revision, conn):
    if conn.closed.is_set():
        return
    if what not in offers or revision > offers[what][0]:
        offers[what] = (revision, conn)
