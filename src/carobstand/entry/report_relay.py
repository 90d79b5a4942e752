"""Relays reports of agents from entry to entry.

With many entries, an agent is connected to only a few of them, but the planner must
know all agents. Changes of agents, and nothing else, are flooded over the connections
between entries; the report with the newest stamp wins.
"""

import anyio

from carobstand import errors, logs
from carobstand.core import membership, topology
from carobstand.entry import control_state, heartbeats
from carobstand.wire.gen import ttypes

MAX_REPORTS = 300
"""Maximum number of reports per message; about 60 KB."""

PENDING = "relays"
"""Key in `conn.extra` of the VMs whose reports are still to be sent."""


def update_relaying(control):
    """Start or stop relaying, depending on the number of entries."""
    entries = {vm.vm for vm in control.state.vms if vm.role == "entry"}
    relaying = len(entries) > topology.FULL_MESH_ENTRIES
    if relaying and not control.relaying:
        control.relaying = True
        for peer in control.state.agents.values():
            if peer.heartbeat is not None:
                publish(control, peer)
    elif not relaying and control.relaying:
        control.relaying = False
        control.member_reports.clear()


def publish(control, peer):
    """Report the latest heartbeat of an agent connected to this entry."""
    control.republish.discard(peer.hello.vm)
    if control.relaying:
        _flood(control, _report(peer, is_connected=True), None)


def publish_loss(control, peer):
    """Report that the connection of an agent ended."""
    if control.relaying and peer.heartbeat is not None:
        _flood(control, _report(peer, is_connected=False), None)


def _report(peer, is_connected):
    last_heartbeat = peer.heartbeat
    return ttypes.MemberReport(
        hello=peer.hello,
        stamp=logs.STATE.clock.tick(),
        heard=is_connected,
        leaving=bool(peer.leaving),
        backend_up=last_heartbeat.backend_up is not False,
        replicas=[
            ttypes.Replica(
                service_name=replica.service_name,
                version=replica.version,
                phase=replica.phase,
            )
            for replica in last_heartbeat.replicas or ()
        ],
        plan_revisions=last_heartbeat.plan_revisions,
    )


def apply_report(control, conn, report):
    """Apply a report from another entry and forward it, unless it is outdated."""
    hello = report.hello
    if hello is None or not hello.vm or not hello.start_id or report.stamp is None:
        raise errors.WireError(
            "report without agent or stamp", step="relays.take", peer=conn.peer.vm
        )
    known = control.member_reports.get(hello.vm)
    if known is not None and known.stamp >= report.stamp:
        return
    direct = control.state.agents.get(hello.vm)
    connected = direct is not None and direct.heartbeat is not None
    same = connected and direct.hello.start_id == hello.start_id
    if report.heard:
        heartbeats.update_member(
            control,
            hello,
            heartbeats.replica_phases(report),
            leaving=bool(report.leaving),
            backend_up=report.backend_up is not False,
            plan_revisions=dict(report.plan_revisions or {}),
            relayed=True,
        )
    elif same:
        # Only its connection to another entry ended; its next heartbeat here is
        # published to correct the report.
        control.republish.add(hello.vm)
    else:
        event = membership.RelayLost(hello.vm, hello.start_id)
        membership.step(control.members, event, anyio.current_time())
    control_state.mark_services(control, hello.services or ())
    _flood(control, report, conn)


def _flood(control, report, source):
    vm = report.hello.vm
    control.member_reports[vm] = report
    for peer in control.state.entries.values():
        if peer.conn is not source:
            _pending_vms(control, peer.conn).add(vm)


def _pending_vms(control, conn):
    """Return the VMs to report on `conn`; initially all that are known."""
    if PENDING not in conn.extra:
        conn.extra[PENDING] = set(control.member_reports)
    return conn.extra[PENDING]


def next_reports(control, conn):
    """Return the reports to send on `conn` now, at most `MAX_REPORTS`."""
    if not control.relaying:
        return []
    vms = _pending_vms(control, conn)
    chosen = [vms.pop() for _ in range(min(len(vms), MAX_REPORTS))]
    return [control.member_reports[vm] for vm in chosen if vm in control.member_reports]
