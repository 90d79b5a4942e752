"""Plans of which versions each VM of a service fetches and serves."""

import collections
import json

import attrs

from carobstand import errors
from carobstand.core import membership, rendezvous, table

FORMAT = 1
"""Format number of a plan's JSON; a plan with any other format is refused."""

DEFAULT_MAX_OUT = 0.25
"""Maximum share of replicas out of service at once if the table sets none."""

HELD_PHASES = frozenset({"VERIFIED", "LOADING", "SERVING"})
"""Phases in which a VM holds all verified chunks of a version."""


@attrs.frozen
class Assignment:
    """Versions that a VM fetches and keeps, and those its backend server serves."""

    fetch: tuple = attrs.field(default=(), converter=tuple)
    serve: tuple = attrs.field(default=(), converter=tuple)


@attrs.frozen
class Plan:
    """Assignments of one service.

    Attributes
    ----------
    service : str
    revision : int
        Also the fencing token of the commands that result from the plan.
    table_revision : int
    author : str
        Start id of the entry that wrote the plan.
    assignments : dict of str to Assignment
        By VM.
    """

    service: str
    revision: int = 0
    table_revision: int = 0
    author: str = ""
    assignments: dict = attrs.field(factory=dict)


EMPTY = Assignment()


def assignment(plan, vm):
    """Return the assignment of `vm`, empty if the plan has none."""
    return plan.assignments.get(vm, EMPTY)


def to_json(plan):
    """Return `plan` as canonical JSON bytes, with VMs grouped by equal assignments."""
    groups = collections.defaultdict(list)
    for vm in sorted(plan.assignments):
        entry = plan.assignments[vm]
        groups[(entry.fetch, entry.serve)].append(vm)
    body = {
        "format": FORMAT,
        "service": plan.service,
        "revision": plan.revision,
        "table_revision": plan.table_revision,
        "author": plan.author,
        "groups": [[list(f), list(s), vms] for (f, s), vms in sorted(groups.items())],
    }
    return json.dumps(body, separators=(",", ":")).encode()


def from_json(data, source="plan"):
    """Return the plan in JSON bytes.

    Raises
    ------
    TableError
        If the format differs from `FORMAT` or the content is malformed.
    """
    try:
        body = json.loads(data)
        if body["format"] != FORMAT:
            raise ValueError(f"format {body['format']!r}, expected {FORMAT}")
        if not isinstance(body["revision"], int) or body["revision"] < 1:
            raise ValueError(f"revision {body['revision']!r}")
        assignments = {}
        for fetch, serve, vms in body["groups"]:
            entry = Assignment(map(str, fetch), map(str, serve))
            assignments.update(dict.fromkeys(map(str, vms), entry))
        return Plan(
            str(body["service"]),
            body["revision"],
            int(body["table_revision"]),
            str(body["author"]),
            assignments,
        )
    except (KeyError, TypeError, ValueError, RecursionError) as exc:
        raise errors.TableError(
            f"{source}: malformed plan: {exc}", step="plan.decode", peer=source
        ) from exc


def next_plan(current, service, members, previous, now, author=""):
    """Return the plan of `service` that succeeds `previous`.

    Parameters
    ----------
    current : table.Table
    service : str
    members : iterable of membership.Member
        Members with a backend server of the service.
    previous : Plan or None
    now : float
        On the clock of the members' times.
    author : str

    Returns
    -------
    plan : Plan
        `previous` itself if no assignment changes.
    """
    previous = previous or Plan(service)
    members = sorted(members, key=lambda member: member.vm)
    candidates = [m for m in members if membership.can_hold_copies(m, now)]
    row = table.service(current, service)
    versions = table.versions(current, service) if row is not None else ()
    chosen = _choose_vms(versions, candidates, previous, now)
    targets = _target_assignments(versions, chosen, candidates)
    assignments = _leaving_assignments(members, previous, now)
    assignments.update(_rollout_step(row, targets, candidates, previous, versions, now))
    assignments = {vm: entry for vm, entry in assignments.items() if entry != EMPTY}
    # Agents refuse revisions up to those they hold, also if the store lost its plans.
    highest_held = max((m.plan_revisions.get(service, 0) for m in members), default=0)
    if previous.revision >= highest_held and previous.revision:
        if assignments == previous.assignments:
            return previous
    revision = max(previous.revision, highest_held) + 1
    return Plan(service, revision, current.revision, author, assignments)


def _leaving_assignments(members, previous, now):
    """Return the assignments of leaving members.

    They keep those of the previous plan while they finish their work.
    """
    return {
        member.vm: assignment(previous, member.vm)
        for member in members
        if membership.is_leaving(member)
        and membership.silent_s(member, now) <= membership.REMOVE_AFTER_S
    }


def _choose_vms(versions, candidates, previous, now):
    """Return the VMs of each version, as a dict of version name to set of VM names.

    Base versions are placed first, so that an adapter with limited copies prefers VMs
    that hold its base anyway.
    """
    chosen = {}
    versions_per_vm = collections.Counter()
    for version in sorted(versions, key=lambda row: (bool(row.base), row.name)):
        if version.copies is None:
            picked = {member.vm for member in candidates}
        else:
            picked = _place_copies(
                version, candidates, previous, chosen, versions_per_vm, now
            )
        chosen[version.name] = picked
        versions_per_vm.update(picked)
    return chosen


def _place_copies(version, candidates, previous, chosen, versions_per_vm, now):
    """Return the VMs of a version with limited copies.

    VMs that have the version keep it. Further VMs are chosen one by one from the
    failure domain with the fewest copies.
    """
    base_vms = chosen.get(version.base, set())

    def preference(member):
        """Return the sort key of a member; the smallest one is preferred."""
        entry = assignment(previous, member.vm)
        return (
            not membership.is_reachable(member, now),
            version.name not in entry.fetch,
            member.replicas.get((version.service, version.name)) != "SERVING",
            member.replicas.get((version.service, version.name)) == "REFUSED",
            bool(base_vms) and member.vm not in base_vms,
            versions_per_vm[member.vm],
            rendezvous.score(f"{version.service}:{version.name}", member.vm),
        )

    def keeps(member):
        assigned = version.name in assignment(previous, member.vm).fetch
        return assigned and not _refused(member, version.service, [version.name])

    keeping = [member for member in candidates if keeps(member)]
    others = [member for member in candidates if not keeps(member)]
    picked = _spread_over_domains(
        keeping, version.copies, collections.Counter(), preference
    )
    count = collections.Counter(member.failure_domain for member in picked)
    more = version.copies - len(picked)
    picked += _spread_over_domains(others, more, count, preference)
    return {member.vm for member in _rebalance(picked, candidates, preference, now)}


def _spread_over_domains(members, wanted, count, preference):
    """Return up to `wanted` members, spread evenly over failure domains.

    `count` is the number of copies that each domain already has. Members that are not
    reachable come after all others.
    """
    queues = collections.defaultdict(list)
    for member in sorted(members, key=preference, reverse=True):
        queues[member.failure_domain].append(member)
    picked = []
    while queues and len(picked) < wanted:
        domain = min(
            queues,
            key=lambda name: (preference(queues[name][-1])[0], count[name], name),
        )
        picked.append(queues[domain].pop())
        count[domain] += 1
        if not queues[domain]:
            del queues[domain]
    return picked


def _rebalance(picked, candidates, preference, now):
    """Move a copy from the domain with the most to that with the fewest, if two apart.

    While failure domains are unreachable, copies accumulate in the others. Without this
    step they would stay there afterwards.
    """
    count = collections.Counter(member.failure_domain for member in picked)
    names = {member.vm for member in picked}
    available = [
        member
        for member in candidates
        if member.vm not in names
        and membership.is_reachable(member, now)
        and not preference(member)[3]
    ]
    if not available:
        return picked
    new = min(available, key=lambda m: (count[m.failure_domain], preference(m)))
    fullest = max(count, key=lambda name: (count[name], name), default=None)
    if fullest is None or count[fullest] < count[new.failure_domain] + 2:
        return picked
    in_fullest = [member for member in picked if member.failure_domain == fullest]
    old = max(in_fullest, key=preference)
    return [member for member in picked if member is not old] + [new]


def _target_assignments(versions, chosen, candidates):
    """Return the assignment of each candidate when the version change is complete.

    A version of weight 0 is fetched, ready for a later change of its weight, but not
    served.
    """
    fetch = {member.vm: set() for member in candidates}
    serve = {member.vm: set() for member in candidates}
    for version in versions:
        for vm in chosen[version.name]:
            fetch[vm].add(version.name)
            if version.base:
                fetch[vm].add(version.base)
            if version.weight > 0:
                serve[vm].add(version.name)
    return {vm: Assignment(sorted(fetch[vm]), sorted(serve[vm])) for vm in fetch}


def _rollout_step(row, targets, candidates, previous, versions, now):
    """Return the assignments of the next step of a rolling version change.

    A VM switches once it holds the versions that it will serve, as long as at most a
    share `max_out` of the replicas is out of service. A VM that serves nothing switches
    at once.
    """
    max_out = DEFAULT_MAX_OUT if row is None or row.max_out is None else row.max_out
    service = previous.service
    involved = [
        member
        for member in candidates
        if targets[member.vm].serve or assignment(previous, member.vm).serve
    ]
    budget = max(1, int(max_out * len(involved) + 1e-9))
    out = {m.vm for m in involved if _is_out_of_service(m, previous, service, now)}
    bases = {version.name: version.base for version in versions}
    may_stop_serving = _enough_settled(targets, out, previous, max_out)
    result = {}

    def order(member):
        key = f"{service}:{previous.revision}"
        return (member.vm not in out, rendezvous.score(key, member.vm))

    for member in sorted(candidates, key=order):
        target = targets[member.vm]
        before = assignment(previous, member.vm)
        if target.serve == before.serve:
            result[member.vm] = target
            continue
        if not target.serve:
            result[member.vm] = target if may_stop_serving else before
            continue
        at_once = (
            max_out >= 1 or not before.serve or not _may_serve(member, service, now)
        )
        ready = _holds_all(member, service, target.serve)
        if at_once or (ready and (member.vm in out or len(out) < budget)):
            result[member.vm] = target
            if before.serve:
                out.add(member.vm)
            continue
        needed = {bases.get(name) for name in before.serve} - {None, ""}
        fetch = sorted({*target.fetch, *before.serve, *needed})
        result[member.vm] = Assignment(fetch, before.serve)
    return result


def _enough_settled(targets, out, previous, max_out):
    """Return whether enough replicas serve their target for others to stop serving.

    At least one must serve it, whatever `max_out` allows, unless no version is to be
    served.
    """
    serving = [vm for vm, target in targets.items() if target.serve]
    settled = [
        vm
        for vm in serving
        if vm not in out and assignment(previous, vm).serve == targets[vm].serve
    ]
    return len(settled) >= min(len(serving), max(1, (1 - max_out) * len(serving)))


def _is_out_of_service(member, previous, service, now):
    """Return whether the replica on `member` is out of service, or may soon be."""
    if not membership.is_reachable(member, now) or not member.backend_up:
        return True
    serve = assignment(previous, member.vm).serve
    if not serve or _refused(member, service, serve):
        return not _may_serve(member, service, now)
    return any(member.replicas.get((service, name)) != "SERVING" for name in serve)


def _may_serve(member, service, now):
    """Return whether `member` serves any version; True if it is not reachable."""
    if not membership.is_reachable(member, now):
        return True
    if not member.backend_up:
        return False
    return any(
        phase == "SERVING" and held == service
        for (held, _), phase in member.replicas.items()
    )


def _holds_all(member, service, names):
    return all(member.replicas.get((service, name)) in HELD_PHASES for name in names)


def _refused(member, service, names):
    return any(member.replicas.get((service, name)) == "REFUSED" for name in names)
