"""Guards against plans that thrash, fill one domain or stop too many replicas."""

import attrs
import pytest

from carobstand import errors
from carobstand.core import membership, planner, revisions
from testing import control_builders as build

NOW = 2.0


def run_plan(table, members, previous=None, now=NOW):
    return planner.next_plan(table, "drafter", members, previous, now, "author")


def serving(plan, name):
    return {vm for vm, entry in plan.assignments.items() if name in entry.serve}


def domains_of(members, vms):
    return [m.failure_domain for m in members if m.vm in vms]


def test_copies_are_limited_and_spread_over_failure_domains():
    members = [build.member(n) for n in range(12)]
    plan = run_plan(build.make_table(build.version("v1", copies=3)), members)
    assert sorted(domains_of(members, serving(plan, "v1"))) == ["fd-0", "fd-1", "fd-2"]


def test_a_plan_that_changes_nothing_is_not_written_again():
    members = [build.member(n) for n in range(6)]
    table = build.make_table(build.version("v1", copies=3))
    plan = run_plan(table, members)
    assert run_plan(attrs.evolve(table, revision=2), members, plan) is plan


def test_a_vm_that_flaps_in_the_list_moves_no_copies():
    state = membership.Members()
    table = build.make_table(build.version("v1", copies=2))
    plan = None
    listed = tuple(
        attrs.evolve(build.member(n), address="127.0.0.1:1") for n in range(6)
    )
    vms = [_vm(member) for member in listed]
    for second in range(60):
        listed_now = tuple(vm for i, vm in enumerate(vms) if (second // 3 + i) % 5)
        membership.step(state, membership.VmListRead(listed_now), float(second))
        for member in listed:
            if second % 4 != 3:
                membership.step(state, _report(member), float(second))
        new = run_plan(
            table, membership.of_service(state, "drafter"), plan, float(second)
        )
        if second > 3:
            assert new is plan
        plan = new


def _vm(member):
    class Vm:
        vm = member.vm
        address = "127.0.0.1:1"
        failure_domain = member.failure_domain
        region = "r"
        services = member.services
        leaving = False

    return Vm


def _report(member, **options):
    fields = {
        "vm": member.vm,
        "start_id": member.start_id,
        "failure_domain": member.failure_domain,
        "services": member.services,
        **options,
    }
    return membership.ReportReceived(**fields)


def test_a_vm_that_left_or_stopped_reporting_is_replaced_and_others_keep_their_copies():
    members = [build.member(n, serving=["v1"]) for n in range(6)]
    table = build.make_table(build.version("v1", copies=3))
    plan = run_plan(table, members)
    old_vms = sorted(serving(plan, "v1"))
    for change in ({"goodbye": True}, {"last_seen_at": -20.0}):
        changed = [
            attrs.evolve(m, **change) if m.vm == old_vms[0] else m for m in members
        ]
        new = run_plan(table, changed, plan)
        assert set(old_vms[1:]) < serving(new, "v1")
        others = serving(new, "v1") - {old_vms[0]}
        assert len(others) == 3 and len(set(domains_of(members, others))) == 3


def test_no_more_than_max_out_replicas_change_version_at_once():
    table = build.make_table(build.version("v1"), max_out=0.25)
    members = [build.member(n, serving=["v1"]) for n in range(8)]
    plan = run_plan(table, members)
    table = build.make_table(build.version("v2"), revision=2, max_out=0.25)
    plan = run_plan(table, members, plan)
    assert serving(plan, "v2") == set()
    assert all(entry.fetch == ("v1", "v2") for entry in plan.assignments.values())
    for member in members:
        member.replicas["drafter", "v2"] = "VERIFIED"
    rounds = 0
    while len(serving(plan, "v2")) < 8:
        plan = run_plan(table, members, plan)
        moving = [
            m
            for m in members
            if m.vm in serving(plan, "v2") and m.replicas["drafter", "v2"] != "SERVING"
        ]
        assert 1 <= len(moving) <= 2
        assert run_plan(table, members, plan) is plan
        for member in moving:
            member.replicas["drafter", "v2"] = "SERVING"
        rounds += 1
    assert rounds == 4
    assert all(entry.fetch == ("v2",) for entry in plan.assignments.values())


def test_replicas_that_are_down_count_towards_max_out():
    table = build.make_table(build.version("v1"), max_out=0.25)
    members = [build.member(n, serving=["v1"], held=["v2"]) for n in range(8)]
    plan = run_plan(table, members)
    members[0].backend_up = False
    members[1].last_seen_at = NOW - membership.UNREACHABLE_AFTER_S - 1
    table = build.make_table(build.version("v2"), revision=2, max_out=0.25)
    new = run_plan(table, members, plan)
    assert serving(new, "v2") <= {members[0].vm, members[1].vm}


def test_old_copies_serve_until_new_ones_do():
    members = [build.member(n) for n in range(6)]
    plan = run_plan(build.make_table(build.version("v1", copies=2)), members)
    old = serving(plan, "v1")
    for member in members:
        if member.vm in old:
            member.replicas["drafter", "v1"] = "SERVING"
    table = build.make_table(build.version("v2", copies=2), revision=2, max_out=1)
    table = attrs.evolve(table)
    others = [m for m in members if m.vm not in old]
    for member in members:
        if member.vm in old:
            member.replicas["drafter", "v2"] = "REFUSED"
    plan = run_plan(table, members, plan)
    assert serving(plan, "v1") == old
    assert serving(plan, "v2") <= {m.vm for m in others}
    for member in others:
        member.replicas["drafter", "v2"] = "SERVING"
    assert serving(run_plan(table, members, plan), "v1") == set()


def test_an_adapter_includes_its_base_and_a_version_of_weight_zero_is_only_fetched():
    members = [build.member(n) for n in range(4)]
    table = build.make_table(
        build.version("big", copies=2),
        build.version("fine", copies=2, base="big"),
        build.version("next", weight=0, copies=1),
    )
    plan = run_plan(table, members)
    assert serving(plan, "fine") == serving(plan, "big")
    assert serving(plan, "next") == set()
    fetched = [e for e in plan.assignments.values() if "next" in e.fetch]
    assert len(fetched) == 1


def test_a_plan_that_the_store_lost_continues_above_the_revisions_that_agents_hold():
    """Agents ignore revisions that are not higher, so a plan must not restart at 1."""
    members = [build.member(n, plan_revisions={"drafter": 50 + n}) for n in range(3)]
    table = build.make_table(build.version("v1"))
    plan = run_plan(table, members)
    assert plan.revision == 53
    assert run_plan(table, members, plan) is plan
    assert run_plan(table, members, planner.Plan("drafter", 7)).revision == 53


def test_a_plan_survives_json_and_a_malformed_one_is_refused():
    plan = run_plan(
        build.make_table(build.version("v1")), [build.member(n) for n in range(4)]
    )
    data = planner.to_json(plan)
    assert planner.from_json(data) == plan
    with pytest.raises(errors.TableError):
        planner.from_json(data.replace(b'"format":1', b'"format":2'))


def test_a_replaced_vm_is_a_new_member_and_late_reports_of_the_old_one_are_refused():
    state = membership.Members()
    old = build.member(1)
    new = attrs.evolve(old, start_id="new")
    membership.step(state, _report(old), 1.0)
    membership.step(state, membership.GoodbyeReceived(old.vm, old.start_id), 1.5)
    assert membership.is_leaving(state.members[old.vm])
    effects = membership.step(state, _report(new), 2.0)
    assert effects == [membership.StartReplaced(old.vm, old.start_id, "new")]
    membership.step(state, _report(old), 2.5)
    membership.step(state, membership.GoodbyeReceived(old.vm, old.start_id), 2.6)
    assert state.members[old.vm].start_id == "new"
    assert not membership.is_leaving(state.members[old.vm])
    assert state.stale_reports == 1


def test_a_member_is_removed_only_when_neither_listed_nor_reporting():
    state = membership.Members()
    member = build.member(1)
    membership.step(state, membership.VmListRead((_vm(member),)), 0.0)
    membership.step(state, membership.VmListRead(()), 100.0)
    membership.step(state, membership.Tick(), 110.0)
    assert member.vm in state.members
    effects = membership.step(state, membership.Tick(), 120.0)
    assert effects == [membership.Removed(member.vm)]


def test_a_revision_never_decreases_and_has_one_content():
    latest = revisions.LatestRevision("table")
    assert revisions.offer(latest, 3, "a", "x", 0.0) is revisions.OfferResult.ACCEPTED
    assert revisions.offer(latest, 2, "b", "y", 0.0) is revisions.OfferResult.STALE
    assert revisions.offer(latest, 3, "b", "y", 0.0) is revisions.OfferResult.FORKED
    assert latest.content == "x"
    for revision in (2, 3):
        with pytest.raises(errors.InvariantError):
            revisions.adopt(latest, revision, "b", "y", 0.0)
