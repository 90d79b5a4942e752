"""Handles heartbeats of agents, and sends rosters to them."""

import anyio

from carobstand import logs
from carobstand.core import membership, planner, table
from carobstand.entry import control_state, report_relay
from carobstand.wire.gen import ttypes

ROSTER_INTERVAL_S = 0.5
"""Interval between checks for rosters to send."""

MAX_REPLY_INTERVAL_S = 10.0
"""Maximum time between two replies to an agent while nothing changes."""

UNCHANGED_FIELDS = ("table_digest", "plan_revisions", "replicas")
"""Fields that a heartbeat omits while they equal those of the previous one."""

_PHASES = ttypes.ReplicaPhase._VALUES_TO_NAMES


def handlers(control):
    """Return the handler of `Heartbeat`."""

    async def on_heartbeat(conn, message):
        peer = control.state.agents.get(conn.peer.vm)
        if peer is None or peer.conn is not conn:
            return
        control_state.copy_missing_fields(message, peer.heartbeat, UNCHANGED_FIELDS)
        changed = peer.heartbeat is None or _differs(peer.heartbeat, message)
        peer.heartbeat = message
        peer.last_seen_at = anyio.current_time()
        # After a goodbye the agent is leaving until its connection ends.
        peer.leaving = peer.leaving or bool(message.leaving)
        record_heartbeat(control, peer, changed)
        _reply(control, peer)
        if changed:
            control.state.changed.notify()

    return {ttypes.Heartbeat: on_heartbeat}


def _reply(control, peer):
    """Reply if the reply differs from the last one or the last one is old."""
    reply = control_state.reply_to(control, peer, peer.heartbeat.seq or 0)
    now = anyio.current_time()
    content = (reply.table_revision, reply.attempt_floor)
    last_content, last_at = peer.conn.extra.get("reply", (None, 0.0))
    behind = (peer.heartbeat.table_revision or 0) < (reply.table_revision or 0)
    if (
        reply.assignments
        or behind
        or content != last_content
        or now - last_at >= MAX_REPLY_INTERVAL_S
    ):
        peer.conn.extra["reply"] = (content, now)
        control_state.post(peer.conn, reply)


def _differs(old, new):
    """Whether two heartbeats differ in a field that planning or routing uses."""
    return (
        replica_phases(old) != replica_phases(new)
        or old.backend_up != new.backend_up
        or old.leaving != new.leaving
    )


def replica_phases(heartbeat):
    """Return the phase name of each (service, version) in a heartbeat or report."""
    return {
        (replica.service_name, replica.version): _PHASES.get(replica.phase, "")
        for replica in heartbeat.replicas or ()
    }


def record_heartbeat(control, peer, changed):
    """Apply the latest heartbeat of `peer` to the members, and publish changes."""
    heartbeat = peer.heartbeat
    known = peer.hello.vm in control.members.members
    effects = update_member(
        control,
        peer.hello,
        replica_phases(heartbeat),
        leaving=peer.leaving,
        backend_up=heartbeat.backend_up is not False,
        plan_revisions=dict(heartbeat.plan_revisions or {}),
    )
    if changed or effects or not known:
        control_state.mark_services(control, peer.hello.services or ())
        report_relay.publish(control, peer)
    elif peer.hello.vm in control.republish:
        report_relay.publish(control, peer)


def update_member(control, hello, phases, **options):
    """Apply a report of an agent; return the effects on the members."""
    event = membership.ReportReceived(
        hello.vm,
        hello.start_id,
        hello.address,
        hello.failure_domain,
        hello.region,
        tuple(hello.services or ()),
        replicas=phases,
        **options,
    )
    effects = membership.step(control.members, event, anyio.current_time())
    for effect in effects:
        logs.event(
            "member.replaced",
            peer=effect.vm,
            old_start=effect.old_start_id,
            new_start=effect.new_start_id,
        )
    return effects


async def run(control):
    """Send changed rosters to agents until cancelled."""
    while True:
        await anyio.sleep(control_state.jitter(control, ROSTER_INTERVAL_S))
        # Members are removed from rosters once they have been silent for too long.
        now = anyio.current_time()
        effects = membership.step(control.members, membership.Tick(), now)
        for effect in effects:
            control.member_reports.pop(effect.vm, None)
        if effects:
            control.rosters_dirty.update(control.state.plans)
        if control.rosters_dirty:
            rosters = all_rosters(control, control.rosters_dirty)
            control.rosters_dirty = set()
            for peer in list(control.state.agents.values()):
                if peer.heartbeat is not None:
                    _send_rosters(peer, rosters)


def all_rosters(control, services):
    """Return the rosters of the manifests of each service, by service.

    Members are the VMs to which the plan assigns the manifest and that can hold copies.
    """
    now = anyio.current_time()
    current = control.table.content or table.EMPTY
    rosters = {}
    by_service = membership.by_service(control.members)
    for service in services & control.state.plans.keys():
        plan = control.state.plans[service]
        manifests = {row.name: row for row in table.versions(current, service)}
        members = {name: [] for name in manifests}
        for member in by_service.get(service, ()):
            if not member.address or not membership.can_hold_copies(member, now):
                continue
            for name in planner.assignment(plan, member.vm).fetch:
                if name in members:
                    members[name].append(member)
        rosters[service] = [
            _roster(manifests[name].manifest, plan.revision, found)
            for name, found in members.items()
            if found
        ]
    return rosters


def _roster(manifest, revision, members):
    return ttypes.Roster(
        manifest=manifest,
        plan_revision=revision,
        members=[
            ttypes.Member(
                vm=member.vm,
                address=member.address,
                failure_domain=member.failure_domain,
                region=member.region,
                start_id=member.start_id,
            )
            for member in members
        ],
    )


def _send_rosters(peer, rosters):
    """Send changed rosters of the versions that are assigned to `peer`."""
    sent = peer.conn.extra.setdefault("rosters", {})
    own = peer.hello.vm
    for service in peer.hello.services or ():
        for roster in rosters.get(service, ()):
            if all(member.vm != own for member in roster.members):
                continue
            if sent.get(roster.manifest) != roster:
                sent[roster.manifest] = roster
                control_state.post(peer.conn, roster)
