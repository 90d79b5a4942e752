"""Members of the fleet, from the VM list, heartbeats and goodbyes."""

import attrs

SILENT_S = 7.0
"""A member not heard for this long counts as out of service: two heartbeats, which an
idle agent sends at least every 2.75 s, may be lost."""

GONE_S = 15.0
"""A member neither heard nor listed for this long is forgotten, and one that is listed
but silent loses its copies. Longer than a restart and than a flap of the VM list."""

MAX_RETIRED = 8
"""Earlier start ids remembered per VM."""


@attrs.define
class Member:
    """What is known of one agent VM.

    Times are seconds of the caller's clock, None where it never happened. `replicas`
    maps (service, version) to the name of the phase last reported. `relayed` says that
    another entry hears the member; `lost_at` is when none did any more.
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
    heard_at: float | None = None
    known_at: float = 0.0
    relayed: bool = False
    lost_at: float | None = None
    missing_since: float | None = None
    backend_up: bool = True
    replicas: dict = attrs.field(factory=dict)
    plan_revisions: dict = attrs.field(factory=dict)
    retired: tuple = ()


@attrs.frozen
class Listed:
    """The VM list was read; `vms` are its agents."""

    vms: tuple


@attrs.frozen
class Heard:
    """A report of an agent arrived, from itself or through another entry."""

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
class Lost:
    """No other entry hears the agent start `start_id` any more."""

    vm: str
    start_id: str


@attrs.frozen
class SaidGoodbye:
    """The agent start `start_id` announced its planned stop."""

    vm: str
    start_id: str


@attrs.frozen
class Tick:
    """Time passed."""


@attrs.frozen
class Replaced:
    """Effect: another start took over the VM name."""

    vm: str
    old_start_id: str
    new_start_id: str


@attrs.frozen
class Forgotten:
    """Effect: the member is gone."""

    vm: str


@attrs.define
class Members:
    """Members by VM name."""

    members: dict = attrs.field(factory=dict)
    stale_reports: int = 0


def step(state, event, now):
    """Apply one event.

    Parameters
    ----------
    state : Members
    event : Listed, Heard, Lost, SaidGoodbye or Tick
    now : float

    Returns
    -------
    effects : list of Replaced or Forgotten
    """
    if isinstance(event, Listed):
        _listed(state, event, now)
    elif isinstance(event, Heard):
        return _heard(state, event, now)
    elif isinstance(event, Lost):
        _lost(state, event, now)
    elif isinstance(event, SaidGoodbye):
        _goodbye(state, event)
    return _forget(state, now)


def _listed(state, event, now):
    seen = set()
    for vm in event.vms:
        seen.add(vm.vm)
        member = state.members.get(vm.vm)
        if member is None:
            member = state.members[vm.vm] = Member(vm.vm, known_at=now)
        if member.heard_at is None:
            member.address = vm.address
            member.services = tuple(vm.services)
        member.failure_domain = member.failure_domain or vm.failure_domain
        member.region = member.region or vm.region
        member.listed = True
        member.listed_leaving = vm.leaving
        member.missing_since = None
    for member in state.members.values():
        if member.vm not in seen and member.listed:
            member.listed = False
            member.missing_since = now


def _heard(state, event, now):
    effects = []
    member = state.members.get(event.vm)
    if member is None:
        member = state.members[event.vm] = Member(event.vm, known_at=now)
    if event.start_id in member.retired:
        state.stale_reports += 1
        return effects
    if member.start_id != event.start_id:
        if member.start_id:
            effects.append(Replaced(event.vm, member.start_id, event.start_id))
            member.retired = (*member.retired, member.start_id)[-MAX_RETIRED:]
        member.start_id = event.start_id
        member.goodbye = False
        member.heard_at = None
        member.relayed = False
    if event.relayed:
        member.relayed = True
        if _heard_directly(member, now):
            return effects
    else:
        member.heard_at = now
    member.goodbye = member.goodbye or event.leaving
    for name in ("address", "failure_domain", "region", "services"):
        value = getattr(event, name)
        if value:
            setattr(member, name, value)
    member.backend_up = event.backend_up
    member.replicas = event.replicas
    member.plan_revisions = event.plan_revisions
    return effects


def _lost(state, event, now):
    member = state.members.get(event.vm)
    if member is not None and member.start_id == event.start_id and member.relayed:
        member.relayed = False
        member.lost_at = now


def _goodbye(state, event):
    member = state.members.get(event.vm)
    if member is not None and member.start_id == event.start_id:
        member.goodbye = True


def _forget(state, now):
    gone = [
        vm
        for vm, member in state.members.items()
        if not member.listed
        and now - (member.heard_at or member.known_at) > GONE_S
        and (member.missing_since is None or now - member.missing_since > GONE_S)
    ]
    for vm in gone:
        del state.members[vm]
    return [Forgotten(vm) for vm in gone]


def silent_s(member, now):
    """Return how long ago `member` was last heard of, or first known, in seconds."""
    if member.relayed:
        return 0.0
    signs = (member.heard_at, member.lost_at)
    return now - max((s for s in signs if s is not None), default=member.known_at)


def leaving(member):
    """Return whether `member` must get no new work."""
    return member.goodbye or member.listed_leaving


def _heard_directly(member, now):
    return member.heard_at is not None and now - member.heard_at <= SILENT_S


def heard(member, now):
    """Return whether this or another entry hears `member`."""
    return member.relayed or _heard_directly(member, now)


def usable(member, now):
    """Return whether copies may stay on `member`: not leaving, not silent for long."""
    return not leaving(member) and silent_s(member, now) <= GONE_S


ALIVE = (True, True)
"""Condition of a member that was heard recently."""


def conditions(state, now):
    """Return what time alone may change of each member, by VM name.

    It is (heard, not silent for long). Most members were heard recently, and are not
    looked at closely.
    """
    recent = now - SILENT_S
    return {
        vm: ALIVE
        if member.heard_at is not None and member.heard_at >= recent
        else (heard(member, now), silent_s(member, now) <= GONE_S)
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
