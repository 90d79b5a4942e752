"""Reports of agents, passed from entry to entry.

With many entries an agent is connected to a few of them only, but the planner must know
all agents. Each change of an agent, and nothing else, is flooded over the connections
between entries; the newest stamp wins.
"""

import anyio

from carobstand import errors, logs
from carobstand.core import membership, topology
from carobstand.entry import held, reports
from carobstand.wire.gen import ttypes

MAX_REPORTS = 300
"""Reports in one message, about 60 KB."""

PENDING = "relays"
"""Name under which a connection keeps the agents whose report it has yet to send."""


def check(control):
    """Start or stop relaying, as the number of entries demands."""
    entries = {vm.vm for vm in control.state.vms if vm.role == "entry"}
    relaying = len(entries) > topology.FULL_MESH_ENTRIES
    if relaying and not control.relaying:
        control.relaying = True
        for peer in control.state.agents.values():
            if peer.heartbeat is not None:
                publish(control, peer)
    elif not relaying and control.relaying:
        control.relaying = False
        control.relays.clear()


def publish(control, peer):
    """Pass on the last heartbeat of an agent that is connected to this entry."""
    control.reassert.discard(peer.hello.vm)
    if control.relaying:
        _spread(control, _report(peer, heard=True), None)


def lost(control, peer):
    """Pass on that the connection of an agent ended."""
    if control.relaying and peer.heartbeat is not None:
        _spread(control, _report(peer, heard=False), None)


def _report(peer, heard):
    beat = peer.heartbeat
    return ttypes.MemberReport(
        hello=peer.hello,
        stamp=logs.STATE.clock.tick(),
        heard=heard,
        leaving=bool(peer.leaving),
        backend_up=beat.backend_up is not False,
        replicas=[
            ttypes.Replica(
                service_name=replica.service_name,
                version=replica.version,
                phase=replica.phase,
            )
            for replica in beat.replicas or ()
        ],
        plan_revisions=beat.plan_revisions,
    )


def take(control, conn, report):
    """Apply a report from another entry, and pass it on if it is news."""
    hello = report.hello
    if hello is None or not hello.vm or not hello.start_id or report.stamp is None:
        raise errors.WireError(
            "report without agent or stamp", step="relays.take", peer=conn.peer.vm
        )
    known = control.relays.get(hello.vm)
    if known is not None and known.stamp >= report.stamp:
        return
    direct = control.state.agents.get(hello.vm)
    connected = direct is not None and direct.heartbeat is not None
    same = connected and direct.hello.start_id == hello.start_id
    if report.heard:
        reports.take_report(
            control,
            hello,
            reports.phases_of(report),
            leaving=bool(report.leaving),
            backend_up=report.backend_up is not False,
            plan_revisions=dict(report.plan_revisions or {}),
            relayed=True,
        )
    elif same:
        # The agent lost one of its connections. The next heartbeat says so.
        control.reassert.add(hello.vm)
    else:
        event = membership.Lost(hello.vm, hello.start_id)
        membership.step(control.members, event, anyio.current_time())
    held.mark_services(control, hello.services or ())
    _spread(control, report, conn)


def _spread(control, report, source):
    vm = report.hello.vm
    control.relays[vm] = report
    for peer in control.state.entries.values():
        if peer.conn is not source:
            _pending(control, peer.conn).add(vm)


def _pending(control, conn):
    """Return the agents to report on `conn`; all of them on a new connection."""
    if PENDING not in conn.extra:
        conn.extra[PENDING] = set(control.relays)
    return conn.extra[PENDING]


def pending(control, conn):
    """Return the reports to send on `conn` now, at most `MAX_REPORTS`."""
    if not control.relaying:
        return []
    waiting = _pending(control, conn)
    chosen = [waiting.pop() for _ in range(min(len(waiting), MAX_REPORTS))]
    return [control.relays[vm] for vm in chosen if vm in control.relays]
