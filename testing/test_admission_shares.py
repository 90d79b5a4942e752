"""Tests of the shares of a service's capacity and of their exchange."""

import types

import anyio
import pytest

from carobstand.core import admission_shares
from carobstand.entry import demand_exchange
from carobstand.wire.gen_fleet import ttypes
from testing import overload_replay, virtual_time
from testing import platform_builders as build


def rows_of(demand):
    return [(*key, cost) for key, cost in demand.items()]


def test_ranks_are_admitted_in_order_and_customers_of_the_marginal_one_fairly():
    demand = {(0, "a"): 2.0, (1, "a"): 6.0, (1, "b"): 1.0, (1, "c"): 3.0, (2, "b"): 1.0}
    shares = admission_shares.divide(rows_of(demand), 8.0)
    parts = {key: admission_shares.admitted_part(shares, *key) for key in demand}
    assert parts[0, "a"] == parts[1, "b"] == 1.0 and parts[2, "b"] == 0.0
    # 6 of 10 are left for rank 1: "b" gets all, the others the same amount.
    assert parts[1, "a"] * 6 == pytest.approx(2.5) == parts[1, "c"] * 3


def test_nothing_is_restricted_while_the_demand_fits():
    shares = admission_shares.divide(rows_of({(0, "a"): 2.0, (1, "b"): 3.0}), 5.0)
    assert admission_shares.admitted_part(shares, 9, "x") == 1.0


@pytest.mark.parametrize("part", [0.2, 0.55, 0.9])
def test_the_admitted_part_of_a_customer_is_exact(part):
    shares, drawing = (
        admission_shares.Shares(1, {"a": part}),
        admission_shares.Drawing(),
    )
    drawn = [
        admission_shares.is_admitted(drawing, shares, 1, "a", lambda: 0.5)
        for _ in range(200)
    ]
    assert abs(sum(drawn) - 200 * part) <= 1


def report(number, met=0, late=0, rejected=0, rows=None, served=0.0, at=0.0):
    return admission_shares.Report(
        number, rows or {(1, "a"): 9.0}, met, late, rejected, served, at
    )


def test_demand_over_the_capacity_is_restricted_only_if_targets_are_missed():
    sharing = admission_shares.Sharing()
    admission_shares.put(sharing, "e1", report(1, met=50))
    assert admission_shares.shares_now(sharing, 5.0, 0.0)[0].marginal_rank is None
    admission_shares.put(sharing, "e1", report(2, met=30, late=20, at=1.0))
    assert admission_shares.shares_now(sharing, 5.0, 1.0)[0].marginal_rank == 1
    admission_shares.put(sharing, "e1", report(3, met=50, at=2.0))
    assert admission_shares.shares_now(sharing, 5.0, 2.0)[0].marginal_rank is None


def test_the_capacity_of_plain_servers_is_learned_from_what_they_answer():
    sharing = admission_shares.Sharing()
    capacities = []
    for number, late in enumerate((20, 20, 0, 0), 1):
        item = report(number, met=30, late=late, rejected=20, served=17.0, at=number)
        admission_shares.put(sharing, "e1", item)
        capacities.append(admission_shares.step(sharing, None, float(number)))
    assert capacities[0] == 17.0
    assert capacities[1] < capacities[0] and capacities[1] < capacities[2]


def test_reports_of_entries_that_ended_are_dropped_and_old_ones_ignored():
    sharing = admission_shares.Sharing()
    assert admission_shares.put(sharing, "e1", report(5))
    assert not admission_shares.put(sharing, "e1", report(4))
    assert admission_shares.put(sharing, "e1", report(5 - 2000))
    admission_shares.step(sharing, 1.0, 60.0)
    assert not sharing.reports


def test_the_reports_of_an_entry_that_restarted_count_at_once():
    """Guards against a burst that is not heard as its entry numbers from 1 again."""
    sharing = admission_shares.Sharing()
    assert admission_shares.put(sharing, "e1", report(50))
    at = admission_shares.REPORT_MIN_S
    assert admission_shares.put(sharing, "e1", report(1, late=7, at=at))
    assert sharing.late == 7


def test_a_restricted_entry_that_ended_is_forgotten_after_missed_reports():
    """Guards against demand that counts twice once its callers went to others."""
    sharing = admission_shares.Sharing()
    for vm, interval_s in (("e1", admission_shares.REPORT_MIN_S), ("e2", 4.0)):
        item = report(1, met=30, late=20)
        item.interval_s = interval_s
        admission_shares.put(sharing, vm, item)
    admission_shares.step(sharing, 5.0, 1.3)
    assert set(sharing.reports) == {"e2"}


def test_answers_that_are_late_without_load_do_not_let_the_capacity_vanish():
    """Guards against a slow link for which in the end nothing was admitted (3%)."""
    sharing, admitted = admission_shares.Sharing(), 1.0
    for number in range(1, 100):
        now, served = 0.5 * number, 30.0 * admitted
        item = report(
            number,
            late=int(served / 2),
            rejected=int(15 * (1 - admitted)),
            rows={(1, "a"): 30.0},
            served=served,
            at=now,
        )
        admission_shares.put(sharing, "e1", item)
        shares, _ = admission_shares.shares_now(sharing, None, now)
        admitted = admission_shares.admitted_part(shares, 1, "a")
    assert admitted >= admission_shares.MIN_OF_SERVED - 1e-9


def test_customers_without_a_row_of_their_own_are_restricted_like_small_ones():
    """Guards against many small customers that exceed the capacity unrestricted."""
    offered = {(1, f"c{n}"): 0.1 for n in range(100)}
    sharing = admission_shares.Sharing()
    item = report(1, met=30, late=20, rows=admission_shares.largest_rows(offered))
    admission_shares.put(sharing, "e1", item)
    shares, capacity = admission_shares.shares_now(sharing, 5.0, 1.0)
    assert capacity < 5.0
    for customer in ("c0", None):
        part = admission_shares.admitted_part(shares, 1, customer)
        assert part == pytest.approx(capacity / 10.0)
    # A large customer beside them takes nothing from them.
    rows = admission_shares.largest_rows({**offered, (1, "large"): 9.0})
    shares = admission_shares.divide(admission_shares.split_rows(rows), 15.0)
    assert admission_shares.admitted_part(shares, 1, None) == 1.0
    assert admission_shares.admitted_part(shares, 1, "large") < 0.6


def test_shares_are_computed_once_for_many_reports(monkeypatch):
    """Guards against a third of a core for adding up the reports of 370 entries."""
    divisions = []
    divide = admission_shares.divide

    def counted(demand, capacity):
        divisions.append(capacity)
        return divide(demand, capacity)

    monkeypatch.setattr(admission_shares, "divide", counted)
    sharing = admission_shares.Sharing()
    for number in range(1, 401):
        now = 0.01 * number
        item = report(number, met=3, late=2, at=now)
        admission_shares.put(sharing, f"e{number % 100}", item)
        admission_shares.shares_now(sharing, 5.0, now)
    assert 1 <= len(divisions) <= 4.0 / admission_shares.STEP_S + 1


def test_a_report_has_a_bounded_number_of_rows_and_the_whole_demand():
    demand = {(rank, f"c{n}"): 1.0 + n for rank in range(3) for n in range(100)}
    rows = admission_shares.largest_rows(demand)
    assert len(rows) <= admission_shares.MAX_ROWS + 3
    assert sum(rows.values()) == pytest.approx(sum(demand.values()))


def entry(vms=2):
    """Return a `Forwarder` of the entry ``e-0`` that knows other entries."""
    fwd = overload_replay._entry(0, vms, [])
    fwd.demand.draw = lambda: 0.0
    return fwd


def call_of(customer="a", priority=1):
    return types.SimpleNamespace(
        service="drafter",
        customer=customer,
        size=types.SimpleNamespace(prompt_tokens=900, answer_tokens=100),
        terms=build.terms(priority=priority),
    )


def summary_of(fwd, **changes):
    own = fwd.demand.own["drafter"]
    fields = {
        "name": "drafter",
        "number": own.number,
        "refresh_ms": 500,
        "capacity": 1000,
        "marginal_rank": 0,
        "rows": [],
    }
    return ttypes.DemandSummary(**{**fields, **changes})


def run_with_entry(test, vms=2):
    """Run ``test(fwd)`` after a first report of demand, in virtual time."""

    async def scenario():
        fwd = entry(vms)
        demand_exchange.admit(fwd, call_of())
        demand_exchange.step(fwd)
        await test(fwd)

    virtual_time.run(scenario)


def test_an_entry_without_a_fresh_summary_admits_by_its_own_view():
    async def test(fwd):
        assert demand_exchange.admit(fwd, call_of())
        demand_exchange.on_summary(fwd, summary_of(fwd), "peer")
        assert not demand_exchange.admit(fwd, call_of())
        await anyio.sleep(2.0)
        assert demand_exchange.admit(fwd, call_of())

    run_with_entry(test)


def test_a_summary_of_an_earlier_report_is_ignored():
    """Guards against a suspended entry that goes on with what it knew before."""

    async def test(fwd):
        demand_exchange.on_summary(fwd, summary_of(fwd, number=0), "peer")
        assert demand_exchange.admit(fwd, call_of())

    run_with_entry(test)


def test_a_summary_that_was_read_late_is_not_followed_for_long():
    """Guards against a suspended entry that rejects after an overload has ended."""

    async def test(fwd):
        message = summary_of(fwd)
        await anyio.sleep(60.0)
        demand_exchange.on_summary(fwd, message, "peer")
        assert demand_exchange.admit(fwd, call_of())

    run_with_entry(test)


def test_many_entries_report_at_a_bounded_rate():
    """Guards against 92 reports/s of 370 entries at the entry that shares."""

    async def test(fwd):
        interval_ms = int(1000 * admission_shares.REPORT_PER_ENTRY_S * 370)
        message = summary_of(fwd, refresh_ms=interval_ms, marginal_rank=None)
        demand_exchange.on_summary(fwd, message, "peer")
        before = fwd.demand.own["drafter"].number
        for _ in range(110):
            demand_exchange.admit(fwd, call_of())
            demand_exchange.step(fwd)
            await anyio.sleep(0.1)
        assert fwd.demand.own["drafter"].number == before

    run_with_entry(test)


def test_customers_that_were_added_up_are_admitted_as_told_for_them():
    async def test(fwd):
        for number in range(40):
            demand_exchange.admit(fwd, call_of(f"c{number}"))
        await anyio.sleep(2.1)
        demand_exchange.step(fwd)
        rows = [ttypes.DemandRow(1, None, 0)]
        message = summary_of(fwd, marginal_rank=1, rows=rows)
        demand_exchange.on_summary(fwd, message, "peer")
        admitted = [
            demand_exchange.admit(fwd, call_of(f"c{number}")) for number in range(40)
        ]
        # One row is that of the first report's customer.
        assert sum(admitted) == admission_shares.MAX_ROWS - 1

    run_with_entry(test)


def test_reports_go_to_the_next_entry_if_the_first_does_not_answer():
    async def test(fwd):
        for _ in range(60):
            demand_exchange.admit(fwd, call_of())
            fwd.demand.own["drafter"].late += 1
            demand_exchange.step(fwd)
            await anyio.sleep(0.1)
        order = admission_shares.sharing_entries("drafter", ["e-0", "e-1", "e-2"])
        addresses = [f"10.1.0.{int(vm[2:]) + 1}:7700" for vm in order if vm != "e-0"]
        asked = {address for address, _ in fwd.limits.outbox}
        # An entry that comes first in the order asks no other one.
        assert asked == set(addresses[: order.index("e-0")])

    run_with_entry(test, vms=3)


@pytest.mark.parametrize(
    "changes",
    [
        {"vm": None},
        {"address": "nowhere"},
        {"rows": None},
        {"rows": [ttypes.DemandRow(0, "a", -1)]},
        {"met": -5},
        {"late": None},
    ],
)
def test_a_malformed_report_is_ignored(changes):
    async def test(fwd):
        fields = {
            "name": "other",
            "vm": "e-1",
            "address": "10.1.0.2:7700",
            "number": 1,
            "rows": [],
            "met": 1,
            "late": 0,
            "rejected": 0,
            "served": 0,
        }
        demand_exchange.on_report(
            fwd, ttypes.DemandReport(**{**fields, **changes}), "peer"
        )
        assert not any(message.name == "other" for _, message in fwd.limits.outbox)

    run_with_entry(test)
