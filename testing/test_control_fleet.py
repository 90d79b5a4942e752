"""Guards against table changes that are lost, late or reverted during faults."""

import random

import anyio
import attrs
import pytest

from carobstand import errors
from carobstand.cli import edits
from carobstand.core import planner, table
from carobstand.wire.gen import ttypes
from testing import control_builders as build
from testing import fake_store, simulated_fleet, virtual_time

MAX_CHANGE_DELAY_S = 9.0
"""Longest time until an accepted change is applied everywhere (invariant 7)."""


def simulate(scenario, seed=1, **sizes):
    async def body():
        async with simulated_fleet.running(seed, **sizes) as fleet:
            await scenario(fleet)

    virtual_time.run(body)


async def accept(fleet, rows, who="op", base=None):
    """Accept rows as an operator; return the revision."""
    store, _ = fake_store.client(fleet.shared)
    if base is None:
        _, base = await edits.read(store)
    author = edits.Author(who, 1.0, f"{who}-{fleet.rng.random()}")
    return await edits.accept(store, base, rows, author, "test", fleet.rng)


def rows_of(*names, **options):
    return build.rows(*(build.version(name, **options) for name in names))


async def accept_and_wait(fleet, rows):
    revision = await accept(fleet, rows)
    await simulated_fleet.wait_until(
        lambda: simulated_fleet.is_revision_applied(fleet, revision),
        MAX_CHANGE_DELAY_S,
        f"revision {revision} in force",
    )
    return revision


def served_by_at_least(fleet, name, count):
    def check():
        found = sum(
            node.state.replicas.get(("drafter", name)) is not None
            and node.state.replicas["drafter", name].phase
            == simulated_fleet.PHASE.SERVING
            for node in fleet.nodes.values()
            if node.vm.role == "agent"
        )
        return found >= count

    return check


async def serve_first_version(fleet, rows=None):
    await accept_and_wait(fleet, rows or rows_of("v1"))
    await simulated_fleet.wait_until(
        served_by_at_least(fleet, "v1", 4), 30, "v1 served by all"
    )


def test_a_change_reaches_every_process_and_a_new_version_is_served():
    async def scenario(fleet):
        await serve_first_version(fleet)
        await accept_and_wait(fleet, rows_of("v2"))
        await simulated_fleet.wait_until(
            served_by_at_least(fleet, "v2", 4), 30, "v2 served by all"
        )
        for node in fleet.nodes.values():
            if node.vm.role == "agent":
                assert len(node.state.rosters) == 1

    simulate(scenario)


def test_store_calls_of_a_change_do_not_grow_with_the_number_of_agents():
    def calls(agents):
        counted = {}

        async def scenario(fleet):
            await accept_and_wait(fleet, rows_of("v1", copies=1))
            await anyio.sleep(20)
            before = dict(fleet.shared.calls)
            for weight in range(2, 12):
                await accept_and_wait(fleet, rows_of("v1", copies=1, weight=weight))
                await anyio.sleep(2)
            counted.update(
                {
                    kind: n - before.get(kind, 0)
                    for kind, n in fleet.shared.calls.items()
                }
            )

        simulate(scenario, agents=agents)
        return counted

    few, many = calls(2), calls(40)
    assert few["put"] == many["put"]
    # Random timers also cause reads, so their number varies slightly.
    for kind in ("get", "watch"):
        assert many[kind] <= few[kind] * 1.2


def test_an_entry_cut_off_from_the_store_gets_changes_from_its_peers():
    async def scenario(fleet):
        await serve_first_version(fleet)
        fleet.nodes["e-0"].link["cut"] = True
        await anyio.sleep(1)
        await accept_and_wait(fleet, rows_of("v2"))

    simulate(scenario)


def test_a_silent_watch_delays_a_change_by_less_than_nine_seconds():
    async def scenario(fleet):
        await serve_first_version(fleet)
        fleet.nodes["e-0"].link["silent"] = True
        await anyio.sleep(5)
        await accept_and_wait(fleet, rows_of("v2"))

    simulate(scenario)
    simulate(scenario, entries=1)


def test_processes_started_during_a_store_outage_get_the_table_from_peers():
    async def scenario(fleet):
        await serve_first_version(fleet)
        fleet.shared.down = True
        for name in ("e-0", "a-00", "e-1"):
            simulated_fleet.kill(fleet, name)
            await anyio.sleep(0.5)
            simulated_fleet.start(fleet, name)
            await simulated_fleet.wait_until(
                lambda: simulated_fleet.is_revision_applied(fleet, 1),
                MAX_CHANGE_DELAY_S,
                name,
            )
        for name in ("e-0", "e-1"):
            simulated_fleet.kill(fleet, name)
        for name in ("e-0", "e-1"):
            simulated_fleet.start(fleet, name)
        await simulated_fleet.wait_until(
            lambda: simulated_fleet.is_revision_applied(fleet, 1),
            MAX_CHANGE_DELAY_S,
            "from agents",
        )
        fleet.shared.down = False
        await anyio.sleep(5)
        await accept_and_wait(fleet, rows_of("v2"))

    simulate(scenario)


def test_a_resumed_planner_cannot_overwrite_plans_of_its_successor():
    async def scenario(fleet):
        await serve_first_version(fleet)
        await simulated_fleet.wait_until(
            lambda: simulated_fleet.planner_vm(fleet), 20, "planner"
        )
        old = simulated_fleet.planner_vm(fleet)
        fleet.nodes[old].link["paused"] = True
        await accept(fleet, rows_of("v2"))
        await simulated_fleet.wait_until(
            lambda: simulated_fleet.planner_vm(fleet) not in (None, old), 60, "takeover"
        )
        await anyio.sleep(5)
        fleet.nodes[old].link["paused"] = False
        await anyio.sleep(10)
        plans = [
            planner.from_json(item.value)
            for item in fleet.shared.log
            if item.key == "config/plan/drafter"
        ]
        numbers = [plan.revision for plan in plans]
        assert numbers == list(range(1, len(plans) + 1))
        authors = [plan.author for plan in plans]
        changes = sum(a != b for a, b in zip(authors, authors[1:], strict=False))
        assert changes == 1
        await simulated_fleet.wait_until(served_by_at_least(fleet, "v2", 4), 30, "v2")

    simulate(scenario, entries=3)


def test_a_resumed_planner_cannot_write_a_plan_for_a_reverted_change():
    """The successor finds the plan correct and has no other reason to write it."""

    async def scenario(fleet):
        await serve_first_version(fleet)
        await simulated_fleet.wait_until(
            lambda: simulated_fleet.planner_vm(fleet), 20, "planner"
        )
        old = fleet.nodes[simulated_fleet.planner_vm(fleet)]
        old.link["pause_at_plan"] = True
        await accept(fleet, rows_of("v1", copies=2))
        await simulated_fleet.wait_until(
            lambda: old.link["paused"], 20, "a plan to write"
        )
        await accept(fleet, rows_of("v1"))
        await simulated_fleet.wait_until(
            lambda: simulated_fleet.planner_vm(fleet) not in (None, old.vm.vm),
            60,
            "takeover",
        )
        await anyio.sleep(5)
        before = len(fleet.shared.log)
        old.link["paused"] = False
        await anyio.sleep(3)
        plans = [i for i in fleet.shared.log[before:] if "config/plan/" in i.key]
        authors = {planner.from_json(item.value).author for item in plans}
        assert old.state.start_id not in authors
        assert simulated_fleet.is_revision_applied(fleet, 3)

    simulate(scenario, entries=3)


def test_a_table_of_a_newer_format_is_refused_completely():
    async def scenario(fleet):
        await serve_first_version(fleet)
        newer = fleet.shared.items["config/table"].value.replace(
            b'"format":1', b'"format":2'
        )
        fake_store.write(fleet.shared, "config/table", newer)
        await anyio.sleep(5)
        for node in fleet.nodes.values():
            assert node.state.table.revision == 1
        with pytest.raises(errors.TableError, match="format 2"):
            await accept(fleet, rows_of("v2"))
        refused = fleet.nodes["e-0"].state.describe_control()["refused"]
        assert "format 2" in refused

    simulate(scenario)


def test_a_forked_table_is_not_adopted_and_no_process_stops():
    async def scenario(fleet):
        await serve_first_version(fleet)
        fork = table.Table(1, "other", rows_of("v3"))
        fake_store.write(fleet.shared, "config/table", table.to_json(fork))
        await anyio.sleep(5)
        for node in fleet.nodes.values():
            assert node.state.table.change_id != "other"
        assert fleet.nodes["e-0"].state.describe_control()["forked"] >= 1

    simulate(scenario)


@pytest.mark.parametrize("seed", range(5))
def test_concurrent_edits_with_lost_responses_are_either_kept_or_refused(seed):
    """Each accepted edit is in the chain of revisions, each refused one is not."""

    async def scenario(fleet):
        initial_rows = rows_of("v1", "v2", "v3")
        await accept_and_wait(fleet, initial_rows)
        fleet.shared.lost_answer_probability = 0.3
        fleet.shared.stale_read_probability = 0.2
        kept, refused = [], []

        async def edit_repeatedly(who, rng):
            store, _ = fake_store.client(fleet.shared)
            for number in range(12):
                author = edits.Author(who, 1.0, f"{who}-{number}")
                try:
                    _, base = await edits.read(store)
                    key = ("version", rng.choice(("v1", "v2", "v3")), "drafter")
                    weight = {"weight": str(rng.randint(1, 99))}
                    rows = table.set_cells(base, key, weight)
                    if rows == base.rows:
                        continue
                    await anyio.sleep(rng.uniform(0, 0.5))
                    await edits.accept(store, base, rows, author, "edit", rng)
                    kept.append(author.change_id)
                except errors.ConflictError:
                    refused.append(author.change_id)
                except errors.StoreUnavailableError as exc:
                    if "was not accepted" in exc.message:
                        refused.append(author.change_id)

        async with anyio.create_task_group() as tg:
            for who in ("ann", "bo", "cy"):
                tg.start_soon(edit_repeatedly, who, random.Random(f"{who}{seed}"))
        chain = [
            table.from_json(item.value)
            for item in fleet.shared.log
            if item.key == "config/table"
        ]
        assert [snapshot.revision for snapshot in chain] == list(
            range(1, len(chain) + 1)
        )
        changes = [snapshot.change_id for snapshot in chain]
        assert len(set(changes)) == len(changes)
        assert set(kept) <= set(changes)
        assert not set(refused) & set(changes)
        assert kept and refused

    simulate(scenario, seed=seed)


def test_calls_after_a_store_outage_stay_within_the_rates_of_the_store():
    async def scenario(fleet):
        await accept_and_wait(fleet, rows_of("v1"))
        fleet.shared.down = True
        await anyio.sleep(60)
        fleet.shared.calls_per_second.clear()
        fleet.shared.down = False
        await anyio.sleep(20)
        peak = {"reads": 0, "writes": 0}
        for (group, _), count in fleet.shared.calls_per_second.items():
            peak[group] = max(peak[group], count)
        # Shares of 2,000 reads/s and 400 writes/s for 16 of 370 entries, doubled.
        assert peak["reads"] <= 2 * 2000 * 16 / 370
        assert peak["writes"] <= 2 * 400 * 16 / 370

    simulate(scenario, entries=16, agents=4)


def test_a_planner_plans_for_agents_connected_only_to_other_entries():
    """With twelve entries each agent is connected to six of them."""

    async def scenario(fleet):
        await accept_and_wait(fleet, rows_of("v1"))
        await simulated_fleet.wait_until(
            served_by_at_least(fleet, "v1", 10), 60, "v1 served by all"
        )
        await accept_and_wait(fleet, rows_of("v2"))
        await simulated_fleet.wait_until(
            served_by_at_least(fleet, "v2", 10), 60, "v2 served by all"
        )
        simulated_fleet.kill(fleet, "a-03")
        remaining = [vm for vm in fleet.vms.values() if vm.vm != "a-03"]
        fleet.listed_vms = remaining
        await simulated_fleet.wait_until(
            lambda: "a-03" not in fleet.nodes["e-5"].state.plans["drafter"].assignments,
            60,
            "plan without the VM that failed",
        )

    simulate(scenario, entries=12, agents=10)


def test_entries_share_vm_list_fetches_and_apply_changes_within_two_seconds():
    async def scenario(fleet):
        await accept_and_wait(fleet, rows_of("v1"))
        await anyio.sleep(5)
        before, start = fleet.vm_list_fetches, anyio.current_time()
        for _ in range(5):
            name = fleet.rng.choice(sorted(fleet.vms))
            fleet.vms[name] = attrs.evolve(fleet.vms[name], leaving=True)
            await anyio.sleep(2)
            for node in fleet.nodes.values():
                if node.vm.role == "entry":
                    seen = {vm.vm: vm.leaving for vm in node.state.vms}
                    assert seen[name]
        rate = (fleet.vm_list_fetches - before) / (anyio.current_time() - start)
        assert rate <= 2, "each entry polling alone would make 12 or more"

    simulate(scenario, entries=12, agents=4)


@pytest.mark.parametrize("name", ["e-0", "a-00"])
def test_a_message_with_missing_fields_stops_no_process(name):
    """A handler may raise only errors that end just its connection."""

    async def scenario(fleet):
        await serve_first_version(fleet)
        node = fleet.nodes[name]
        peer = next(iter(node.state.entries.values()))
        conn = getattr(peer, "conn", peer)
        partial = ttypes.PeerState(vms_stamp=1 << 62, vms=[ttypes.VmReport(vm="x")])
        relayed = ttypes.PeerState(seq=1, members=[ttypes.MemberReport(stamp=1)])
        incomplete = [ttypes.TableSnapshot(revision=9), ttypes.TableDelta(revision=9)]
        incomplete.append(ttypes.TableSnapshot(revision=9, content=b'[{"format":1}]'))
        empty = [kind() for kind in node.table]
        for message in (*empty, *incomplete, partial, relayed):
            if type(message) not in node.table:
                continue
            try:
                await node.table[type(message)](conn, message)
            except errors.CarobstandError:
                pass
        await accept_and_wait(fleet, rows_of("v2"))

    simulate(scenario)
