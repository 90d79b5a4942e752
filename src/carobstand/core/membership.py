"""Membership of the agent VMs, from the VM list, heartbeats and goodbyes."""

import attrs

UNREACHABLE_AFTER_S = 7.0
"""A member without a report for this long counts as out of service. Two heartbeats may
be lost: an idle agent sends one at least every 2.75 s."""

REMOVE_AFTER_S = 15.0
"""A member is removed after this time without a report or a listing; one that is listed
but silent for this long loses its copies. Longer than a restart, and than a VM
is missing while the VM list flaps."""

MAX_OLD_STARTS = 8
"""Earlier start ids kept per VM, by which stale reports are recognised."""


@attrs.define
class Member:
    """State of one agent VM.

    Times are in seconds on the caller's clock, None if the event never happened.

    Attributes
    ----------
    vm, start_id, address, failure_domain, region : str
    services : tuple of str
    listed, listed_leaving : bool
        Whether the VM list contains it, and marks it as leaving.
    goodbye : bool
        Whether it announced its planned stop.
    last_seen_at : float or None
        Time of its last direct report to this entry.
    first_seen_at : float
    relayed : bool
        Whether another entry receives its reports and relays them.
    relay_lost_at : float or None
        When the last other entry stopped doing so.
    unlisted_since : float or None
        When it disappeared from the VM list.
    backend_up : bool
    replicas : dict of (service, version) to str
        Name of the phase last reported.
    plan_revisions : dict of str to int
        Revision of the plan that it follows, by service.
    old_starts : tuple of str
        Start ids that were replaced.
    """

    vm: str
    start_id: str = ""
    address: str = ""
    failure_domain: str = ""
    region: str = ""
    services: tuple = ()
    listed: bool = False
    listed_leaving: bool = False
    goodbye: bool = False
    last_seen_at: float | None = None
    first_seen_at: float = 0.0
    relayed: bool = False
    relay_lost_at: float | None = None
    unlisted_since: float | None = None
    backend_up: bool = True
    replicas: dict = attrs.field(factory=dict)
    plan_revisions: dict = attrs.field(factory=dict)
    old_starts: tuple = ()


@attrs.frozen
class VmListRead:
    """The VM list was read; `vms` are the agent VMs in it."""

    vms: tuple


@attrs.frozen
class ReportReceived:
    """A report of an agent arrived, directly or relayed by another entry."""

    vm: str
    start_id: str
    address: str = ""
    failure_domain: str = ""
    region: str = ""
    services: tuple = ()
    leaving: bool = False
    backend_up: bool = True
    replicas: dict = attrs.field(factory=dict)
    plan_revisions: dict = attrs.field(factory=dict)
    relayed: bool = False


@attrs.frozen
class RelayLost:
    """No other entry receives reports of the agent start `start_id` any more."""

    vm: str
    start_id: str


@attrs.frozen
class GoodbyeReceived:
    """The agent start `start_id` announced its planned stop."""

    vm: str
    start_id: str


@attrs.frozen
class Tick:
    """Time passed."""


@attrs.frozen
class StartReplaced:
    """Effect: a new agent start replaced the earlier one on the VM."""

    vm: str
    old_start_id: str
    new_start_id: str


@attrs.frozen
class Removed:
    """Effect: the member was removed."""

    vm: str


@attrs.define
class Members:
    """Members by VM name, and how many reports of earlier starts were ignored."""

    members: dict = attrs.field(factory=dict)
    stale_reports: int = 0


def step(state, event, now):
    """Apply one event.

    Parameters
    ----------
    state : Members
    event : VmListRead, ReportReceived, RelayLost, GoodbyeReceived or Tick
    now : float

    Returns
    -------
    effects : list of StartReplaced or Removed
    """
    if isinstance(event, VmListRead):
        _on_listed(state, event, now)
    elif isinstance(event, ReportReceived):
        return _on_report(state, event, now)
    elif isinstance(event, RelayLost):
        _on_relay_lost(state, event, now)
    elif isinstance(event, GoodbyeReceived):
        _on_goodbye(state, event)
    return _remove_expired(state, now)


def _on_listed(state, event, now):
    seen = set()
    for vm in event.vms:
        seen.add(vm.vm)
        member = state.members.get(vm.vm)
        if member is None:
            member = state.members[vm.vm] = Member(vm.vm, first_seen_at=now)
        if member.last_seen_at is None:
            member.address = vm.address
            member.services = tuple(vm.services)
        member.failure_domain = member.failure_domain or vm.failure_domain
        member.region = member.region or vm.region
        member.listed = True
        member.listed_leaving = vm.leaving
        member.unlisted_since = None
    for member in state.members.values():
        if member.vm not in seen and member.listed:
            member.listed = False
            member.unlisted_since = now


def _on_report(state, event, now):
    effects = []
    member = state.members.get(event.vm)
    if member is None:
        member = state.members[event.vm] = Member(event.vm, first_seen_at=now)
    if event.start_id in member.old_starts:
        state.stale_reports += 1
        return effects
    if member.start_id != event.start_id:
        if member.start_id:
            effects.append(StartReplaced(event.vm, member.start_id, event.start_id))
            member.old_starts = (*member.old_starts, member.start_id)[-MAX_OLD_STARTS:]
        member.start_id = event.start_id
        member.goodbye = False
        member.last_seen_at = None
        member.relayed = False
    if event.relayed:
        member.relayed = True
        if _reports_directly(member, now):
            return effects
    else:
        member.last_seen_at = now
    member.goodbye = member.goodbye or event.leaving
    for name in ("address", "failure_domain", "region", "services"):
        value = getattr(event, name)
        if value:
            setattr(member, name, value)
    member.backend_up = event.backend_up
    member.replicas = event.replicas
    member.plan_revisions = event.plan_revisions
    return effects


def _on_relay_lost(state, event, now):
    member = state.members.get(event.vm)
    if member is not None and member.start_id == event.start_id and member.relayed:
        member.relayed = False
        member.relay_lost_at = now


def _on_goodbye(state, event):
    member = state.members.get(event.vm)
    if member is not None and member.start_id == event.start_id:
        member.goodbye = True


def _remove_expired(state, now):
    expired = [
        vm
        for vm, member in state.members.items()
        if not member.listed
        and now - (member.last_seen_at or member.first_seen_at) > REMOVE_AFTER_S
        and (
            member.unlisted_since is None
            or now - member.unlisted_since > REMOVE_AFTER_S
        )
    ]
    for vm in expired:
        del state.members[vm]
    return [Removed(vm) for vm in expired]


def silent_s(member, now):
    """Return the seconds since `member` last reported, or since it was first seen."""
    if member.relayed:
        return 0.0
    times = (member.last_seen_at, member.relay_lost_at)
    return now - max((t for t in times if t is not None), default=member.first_seen_at)


def is_leaving(member):
    """Return whether `member` is leaving and must receive no new work."""
    return member.goodbye or member.listed_leaving


def _reports_directly(member, now):
    return (
        member.last_seen_at is not None
        and now - member.last_seen_at <= UNREACHABLE_AFTER_S
    )


def is_reachable(member, now):
    """Return whether this or another entry receives reports of `member`."""
    return member.relayed or _reports_directly(member, now)


def can_hold_copies(member, now):
    """Return whether copies may stay on `member`.

    It must not be leaving, and silent at most `REMOVE_AFTER_S`.
    """
    return not is_leaving(member) and silent_s(member, now) <= REMOVE_AFTER_S


REACHABLE = (True, True)
"""Condition of a member that reported recently, shared by all of them."""


def liveness(state, now):
    """Return the part of each member's state that changes with time alone, by VM name.

    It is (reachable, silent at most `REMOVE_AFTER_S`). Most members reported recently
    and take a fast path.
    """
    recent = now - UNREACHABLE_AFTER_S
    return {
        vm: REACHABLE
        if member.last_seen_at is not None and member.last_seen_at >= recent
        else (is_reachable(member, now), silent_s(member, now) <= REMOVE_AFTER_S)
        for vm, member in state.members.items()
    }


def by_service(state):
    """Return the members of each service, sorted by VM name."""
    found = {}
    for vm in sorted(state.members):
        member = state.members[vm]
        for service in member.services:
            found.setdefault(service, []).append(member)
    return found


def of_service(state, service):
    """Return the members with a backend server of `service`, sorted by VM name."""
    found = [m for m in state.members.values() if service in m.services]
    return tuple(sorted(found, key=lambda member: member.vm))
