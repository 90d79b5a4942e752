"""Exchange of table and plan revisions with other entries and with agents.

An entry that cannot reach the store, whose watch returns nothing, or that started
during a store outage gets the table and the plans from its peers.
"""

import anyio

from carobstand import errors, logs
from carobstand.core import planner, revisions
from carobstand.entry import control_state, report_relay, vm_list_sharing
from carobstand.wire.gen import ttypes

STATE_INTERVAL_S = 1.0
"""Interval of `PeerState` messages on a connection while nothing changes."""

CHECK_INTERVAL_S = 0.25
"""Interval of checks for changes to send and revisions to request."""

REQUEST_DELAY_S = 0.5
"""Time for which a peer must have a newer revision before it is requested. The store's
watch usually delivers it sooner; 370 entries would otherwise send the table twice."""

REQUEST_RETRY_S = 2.0
"""Time before the same content is requested again, maybe from another peer."""


def handlers(control):
    """Return the handlers of messages that carry revisions."""
    state = control.state

    async def on_peer_state(conn, message):
        peer = state.entries.get(conn.peer.vm)
        if peer is None or peer.conn is not conn:
            return
        if message.seq is None:
            vm_list_sharing.apply_peer_changes(control, conn, message)
            return
        control_state.copy_missing_fields(message, peer.peer_state, ("plan_revisions",))
        peer.peer_state = message
        peer.last_seen_at = anyio.current_time()
        for report in message.members or ():
            report_relay.apply_report(control, conn, report)

    async def on_table_request(conn, message):
        control_state.send_table(control, conn, message.have_revision or 0)

    async def on_table(conn, message):
        apply_table_message(control, conn, message)

    async def on_plan_request(conn, message):
        latest = control.plans.get(message.service_name)
        if latest is not None and latest.revision > (message.have_revision or 0):
            control_state.post(
                conn,
                ttypes.PlanSnapshot(
                    service_name=message.service_name,
                    revision=latest.revision,
                    content=latest.content,
                ),
            )

    async def on_plan(conn, message):
        try:
            plan = planner.from_json(message.content, conn.peer.vm)
        except errors.TableError as exc:
            _log_rejected(conn, exc)
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


def apply_table_message(control, conn, message):
    """Apply a table from a peer; request a snapshot if a delta cannot be applied."""
    if (message.revision or 0) <= control.table.revision:
        return
    try:
        new = control_state.decode_table(control.table.content, message)
    except errors.TableError as exc:
        _log_rejected(conn, exc)
        if isinstance(message, ttypes.TableDelta):
            control_state.post(conn, ttypes.TableRequest(have_revision=0))
        return
    control_state.apply_table(control, new, conn.peer.vm)


def _log_rejected(conn, exc):
    logs.event("peer.content_refused", peer=conn.peer.vm, error=exc.message)


async def run(control):
    """Send own revisions to other entries and request newer ones, until cancelled."""
    while True:
        now = anyio.current_time()
        report_relay.update_relaying(control)
        for peer in list(control.state.entries.values()):
            _send_state(control, peer, now)
        request_newer(control, now)
        await control.state.changed.wait(
            control_state.jitter(control, CHECK_INTERVAL_S)
        )
        await anyio.sleep(control_state.jitter(control, CHECK_INTERVAL_S / 5))


def _send_state(control, peer, now):
    """Send `PeerState` if it changed or the last one is old."""
    state = control.state
    plans = {service: latest.revision for service, latest in control.plans.items()}
    summary = (control.table.revision, plans, state.leaving)
    last = peer.conn.extra.get("sent_state", (None, -STATE_INTERVAL_S, 0))
    members = report_relay.next_reports(control, peer.conn)
    due = now - last[1] >= control_state.jitter(control, STATE_INTERVAL_S)
    if summary == last[0] and not members and not due:
        return
    peer.conn.extra["sent_state"] = (summary, now, last[2] + 1)
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
    """Return the suspects to send, if request processing keeps a list of them."""
    return list(getattr(state.suspects, "outgoing", None) or ())


def request_newer(control, now):
    """Request the tables and plans that a peer has had for `REQUEST_DELAY_S`."""
    newer = dict(_find_newer(control))
    for name in list(control.ahead_since):
        if name not in newer:
            del control.ahead_since[name]
    for name, (conn, request) in newer.items():
        since = control.ahead_since.setdefault(name, now)
        asked_at = control.asked_at.get(name, -REQUEST_RETRY_S)
        if now - since >= REQUEST_DELAY_S and now - asked_at >= REQUEST_RETRY_S:
            control.asked_at[name] = now
            control_state.post(conn, request)


def _find_newer(control):
    """Yield (name, (connection, request)) for each newer revision that a peer has.

    The name is "table" or a service; the connection is that of the peer with the newest
    revision. The table is requested from agents too: after a restart of all entries
    during a store outage only agents hold it.
    """
    state = control.state
    offers = {}
    for peer in list(state.entries.values()):
        if peer.peer_state is None:
            continue
        _offer(offers, "table", peer.peer_state.table_revision or 0, peer.conn)
        for service, revision in (peer.peer_state.plan_revisions or {}).items():
            _offer(offers, service, revision, peer.conn)
    for peer in state.agents.values():
        if peer.heartbeat is not None:
            _offer(offers, "table", peer.heartbeat.table_revision or 0, peer.conn)
    none_held = revisions.LatestRevision("")
    for name, (revision, conn) in offers.items():
        if name == "table":
            current = control.table.revision
            request = ttypes.TableRequest(have_revision=current)
        else:
            current = control.plans.get(name, none_held).revision
            request = ttypes.PlanRequest(service_name=name, have_revision=current)
        if revision > current:
            yield name, (conn, request)


def _offer(offers, name, revision, conn):
    if conn.closed.is_set():
        return
    if name not in offers or revision > offers[name][0]:
        offers[name] = (revision, conn)
