"""Long seeded run of the control loops in virtual time, over faults.

The loops are those of the programs; the store, links, VM list and backend servers are
fakes. Each fault is injected alone and together with each other one.
A scenario starts a fleet, lets operators edit the table, injects its faults one after
the other or at once, heals them, and then checks that nothing was lost or reverted and
that every process holds the last revision.
"""

import argparse
import itertools
import json
import random
import sys
import time

import anyio
import attrs

from carobstand import errors
from carobstand.cli import edits
from carobstand.core import planner, table
from testing import control_builders as build
from testing import fake_store, fleet, virtual_time

IN_FORCE_S = 9.0
"""Invariant 7: longest time until an accepted change is in force everywhere."""

TARGET_P99_S = 2.0
"""Target of section 9, without faults."""

FAULT_S = 25.0
"""Length of the faults: several lease times and retry delays."""

SETTLE_S = 45.0
"""Time after which a healed fleet must serve what the table says."""

VERSIONS = ("v1", "v2", "v3")


@attrs.define(eq=False)
class Run:
    """One scenario."""

    made: object
    rng: random.Random
    accepted: dict = attrs.field(factory=dict)
    refused: set = attrs.field(factory=set)
    highest: dict = attrs.field(factory=dict)
    operating: bool = True
    delays: list = attrs.field(factory=list)
    quiet: bool = True


async def _operate(run, who):
    """Edit random cells until told to stop, and note what was reported."""
    store, _ = fake_store.client(run.made.shared)
    for number in itertools.count():
        await anyio.sleep(run.rng.uniform(0.5, 4))
        if not run.operating:
            return
        author = edits.Author(who, 1.0, f"{who}-{number}")
        try:
            _, base = await edits.read(store)
            if number % 7 == 6 and base.revision > 2:
                old = run.rng.randrange(1, base.revision)
                rows = (await edits.read_revision(store, old)).rows
            else:
                rows = _edit(run, base)
            if set(rows) == set(base.rows):
                continue
            await anyio.sleep(run.rng.uniform(0, 1))
            quiet = run.quiet
            revision = await edits.accept(store, base, rows, author, "soak", run.rng)
            run.accepted[author.change_id] = revision
            if quiet:
                run.made.tg.start_soon(_measure, run, revision)
        except (errors.ConflictError, errors.TableError):
            run.refused.add(author.change_id)
        except errors.StoreUnavailableError as exc:
            if "was not accepted" in exc.message:
                run.refused.add(author.change_id)


def _edit(run, base):
    """Return the rows of `base` with one random edit that a table allows."""
    rng = run.rng
    name = rng.choice(VERSIONS)
    key = ("version", name, "drafter")
    changes = rng.choice(
        (
            {"weight": str(rng.randint(1, 9))},
            {"copies": rng.choice(("all", "2", "3"))},
            {"manifest": build.sha(f"{name}{rng.random()}")},
        )
    )
    if rng.random() < 0.2:
        key, changes = (
            ("service", "drafter", ""),
            {"max_out": rng.choice(("", "0.2", "0.5", "1"))},
        )
    return table.set_cells(base, key, changes)


async def _measure(run, revision):
    """Note how long an accepted revision took to be in force, if no fault began."""
    start = anyio.current_time()
    while not fleet.in_force(run.made, revision):
        if not run.quiet:
            return
        await anyio.sleep(0.02)
        delay = anyio.current_time() - start
        if delay > IN_FORCE_S:
            raise AssertionError(f"revision {revision} not in force after {delay} s")
    run.delays.append(anyio.current_time() - start)


async def _observe(run):
    """Check at short intervals that no process goes back."""
    while True:
        for node in run.made.nodes.values():
            state = node.state
            held = {("table", ""): state.table.revision if state.table else 0}
            if node.vm.role == "entry":
                for service, plan in state.plans.items():
                    held["plan", service] = plan.revision
            else:
                for service, entry in state.assignments.items():
                    held["assignment", service] = entry.plan_revision
            for what, revision in held.items():
                key = (state.start_id, *what)
                if revision < run.highest.get(key, 0):
                    raise AssertionError(f"{key} fell to {revision}")
                run.highest[key] = revision
        await anyio.sleep(0.1)


def _entry(run):
    names = [n for n, node in run.made.nodes.items() if node.vm.role == "entry"]
    return run.rng.choice(sorted(names))


def _agent(run):
    names = [n for n, node in run.made.nodes.items() if node.vm.role == "agent"]
    return run.rng.choice(sorted(names))


async def store_down(run):
    """The store gives no answer."""
    run.made.shared.down = True
    await anyio.sleep(FAULT_S)
    run.made.shared.down = False


async def store_slow(run):
    """The store takes up to 1.6 s for an answer."""
    run.made.shared.latency_s = 0.4
    await anyio.sleep(FAULT_S)
    run.made.shared.latency_s = 0.003


async def answers_lost(run):
    """Three store answers in ten are lost after the write took effect."""
    run.made.shared.lost_answers = 0.3
    await anyio.sleep(FAULT_S)
    run.made.shared.lost_answers = 0.0


async def stale_reads(run):
    """Three reads in ten return an earlier value."""
    run.made.shared.stale_reads = 0.3
    await anyio.sleep(FAULT_S)
    run.made.shared.stale_reads = 0.0


async def _switch(run, name, what):
    node = run.made.nodes[name]
    node.link[what] = True
    await anyio.sleep(FAULT_S)
    node.link[what] = False


async def entry_cut_from_store(run):
    """One entry does not reach the store."""
    await _switch(run, _entry(run), "cut")


async def silent_watch(run):
    """The watch of one entry waits without an answer."""
    await _switch(run, _entry(run), "silent")


async def planner_paused(run):
    """The planner is paused for longer than its lease, twice."""
    for _ in range(2):
        node = run.made.nodes[fleet.planner_of(run.made) or _entry(run)]
        # Between its look at the lease and its write a holder is the most dangerous.
        node.link["pause_at_plan"] = True
        for _ in range(50):
            if node.link["paused"]:
                break
            await anyio.sleep(0.1)
        node.link.update(paused=True, pause_at_plan=False)
        await anyio.sleep(FAULT_S / 2)
        node.link["paused"] = False
        await anyio.sleep(1)


async def planner_cut_from_agents(run):
    """The planner reaches the store but no agent and no other entry."""
    name = fleet.planner_of(run.made) or _entry(run)
    run.made.cut = lambda a, b: name in (a.vm, b.vm)
    await anyio.sleep(FAULT_S)
    run.made.cut = lambda a, b: False


async def entries_restart(run):
    """Entries fail and start again, at last all at once."""
    for _ in range(3):
        name = _entry(run)
        fleet.kill(run.made, name)
        await anyio.sleep(run.rng.uniform(1, 4))
        fleet.start(run.made, name)
        await anyio.sleep(run.rng.uniform(1, 4))
    names = [n for n, node in run.made.nodes.items() if node.vm.role == "entry"]
    for name in names:
        fleet.kill(run.made, name)
    for name in names:
        fleet.start(run.made, name)


async def agents_replaced(run):
    """Agents fail and are replaced at the same address."""
    for _ in range(4):
        name = _agent(run)
        fleet.kill(run.made, name)
        await anyio.sleep(run.rng.uniform(0.5, 6))
        fleet.start(run.made, name)
        await anyio.sleep(run.rng.uniform(0.5, 3))


async def agents_leave(run):
    """Agents say goodbye, stop, and start again."""
    for _ in range(3):
        name = _agent(run)
        fleet.goodbye(run.made, name)
        await anyio.sleep(run.rng.uniform(1, 4))
        fleet.kill(run.made, name)
        await anyio.sleep(run.rng.uniform(1, 5))
        fleet.start(run.made, name)


async def regions_cut(run):
    """The regions lose contact with each other; the store is in the first one."""
    made = run.made
    made.cut = lambda a, b: a.region != b.region
    far = [node for node in made.nodes.values() if node.vm.region != "r-0"]
    for node in far:
        node.link["cut"] = True
    await anyio.sleep(FAULT_S)
    made.cut = lambda a, b: False
    for node in far:
        node.link["cut"] = False


async def vm_list_flaps(run):
    """The VM list leaves out random VMs for a few seconds each."""
    for _ in range(12):
        vms = list(run.made.vms.values())
        run.made.shown = [vm for vm in vms if run.rng.random() < 0.7]
        await anyio.sleep(FAULT_S / 12)
    run.made.shown = None


async def vm_list_lags(run):
    """The VM list does not change while VMs come and go."""
    run.made.shown = list(run.made.vms.values())[:-1]
    await anyio.sleep(FAULT_S)
    run.made.shown = None


async def connections_silent(run):
    """Open connections stop carrying frames; new ones work."""
    for _ in range(5):
        chosen = [pair for pair in run.made.conns if run.rng.random() < 0.4]
        run.made.silent.update(chosen)
        await anyio.sleep(FAULT_S / 5)
        run.made.silent.difference_update(chosen)


FAULTS = (
    store_down,
    store_slow,
    answers_lost,
    stale_reads,
    entry_cut_from_store,
    silent_watch,
    planner_paused,
    planner_cut_from_agents,
    entries_restart,
    agents_replaced,
    agents_leave,
    regions_cut,
    vm_list_flaps,
    vm_list_lags,
    connections_silent,
)


async def _guard(run, fault):
    """Run a fault; a VM that another fault has just stopped ends it early."""
    try:
        await fault(run)
    except KeyError as exc:
        if exc.args and exc.args[0] not in run.made.vms:
            raise


def _heal(run):
    made = run.made
    made.shared.down = False
    made.shared.latency_s = 0.003
    made.shared.lost_answers = made.shared.stale_reads = 0.0
    made.shown = None
    made.silent.clear()
    made.cut = lambda a, b: False
    for name in made.vms:
        if name not in made.nodes:
            fleet.start(made, name)
    for node in made.nodes.values():
        node.link.update(dict.fromkeys(node.link, False))


async def scenario(seed, faults, entries, agents, result):
    """Run one scenario; raise an error if an invariant does not hold."""
    rng = random.Random(f"{seed}{[fault.__name__ for fault in faults]}")
    sizes = {"entries": entries, "agents": agents}
    async with fleet.running(rng.random(), **sizes) as made:
        run = Run(made, rng)
        store, _ = fake_store.client(made.shared)
        rows = build.rows(*(build.version(name, copies=3) for name in VERSIONS))
        author = edits.Author("first", 1.0, "first")
        await edits.accept(store, table.EMPTY, rows, author, "first", rng)
        made.tg.start_soon(_observe, run)
        async with anyio.create_task_group() as tg:
            for who in ("ann", "bo"):
                tg.start_soon(_operate, run, who)
            await anyio.sleep(20)
            run.quiet = False
            async with anyio.create_task_group() as faulty:
                for fault in faults:
                    faulty.start_soon(_guard, run, fault)
                    await anyio.sleep(rng.uniform(0, FAULT_S / 2))
            _heal(run)
            await anyio.sleep(20)
            run.quiet = True
            await anyio.sleep(20)
            run.operating = False
        await anyio.sleep(SETTLE_S)
        _check(run)
        result["scenarios"] += 1
        result["accepted"] += len(run.accepted)
        result["refused"] += len(run.refused)
        result["plans"] += sum(
            item.key.startswith("config/plan/") for item in made.shared.log
        )
        result["delays"] += run.delays


def _check(run):
    """Check the chain of tables and plans, and what each process holds at the end."""
    log = run.made.shared.log
    chain = [table.from_json(i.value) for i in log if i.key == "config/table"]
    _require([t.revision for t in chain] == list(range(1, len(chain) + 1)), "tables")
    changes = {one.change_id: one.revision for one in chain}
    _require(len(changes) == len(chain), "a change was accepted twice")
    lost = [c for c, revision in run.accepted.items() if changes.get(c) != revision]
    _require(not lost, f"accepted, then lost: {lost}")
    false = run.refused & changes.keys()
    _require(not false, f"refused, but accepted: {false}")
    plans = [planner.from_json(i.value) for i in log if "config/plan/" in i.key]
    _require([p.revision for p in plans] == list(range(1, len(plans) + 1)), "plans")
    first = next(n for n, p in enumerate(plans) if p.assignments)
    _require(all(p.assignments for p in plans[first:]), "a plan without assignments")
    _check_authors(log)
    last, plan = chain[-1], plans[-1]
    for name, node in run.made.nodes.items():
        held = node.state.table
        _require(held is not None, f"{name} has no table")
        _require(table.digest(held) == table.digest(last), f"{name}: other table")
        _require(held.revision == last.revision, f"{name} holds {held.revision}")
    _check_plan(run, last, plan)


def _check_authors(log):
    """Check that no former planner writes once its successor has written a plan."""
    holder, written = None, False
    for item in log:
        if item.key == "lease/planner" and item.value is not None:
            holder, written = item.value.decode(), False
        elif item.key.startswith("config/plan/"):
            author = planner.from_json(item.value).author
            _require(author == holder or not written, "a former planner wrote a plan")
            written = written or author == holder


def _check_plan(run, last, plan):
    """Check that the last plan is in force and does what the table says."""
    agents = {n: node for n, node in run.made.nodes.items() if node.vm.role == "agent"}
    for name, node in agents.items():
        entry = node.state.assignments.get("drafter")
        held = entry.plan_revision if entry else 0
        _require(held == plan.revision, f"{name}: plan {held} of {plan.revision}")
    for version in table.versions(last, "drafter"):
        wanted = len(agents) if version.copies is None else version.copies
        found = [n for n in agents if version.name in planner.assignment(plan, n).serve]
        _require(
            len(found) == min(wanted, len(agents)),
            f"{version.name}: {len(found)} copies, wanted {wanted}",
        )
        domains = {agents[n].vm.failure_domain for n in found}
        _require(len(domains) > 1, f"{version.name}: one failure domain")


def _require(holds, what):
    if not holds:
        raise AssertionError(what)


def main():
    """Run all scenarios of one seed; the last line is JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--agents", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=600, help="stop after this")
    parser.add_argument("--part", default="0/1", help="run every n-th scenario")
    parser.add_argument("--only", default="", help="names of faults, with commas")
    args = parser.parse_args()
    chosen = [(), *((f,) for f in FAULTS), *itertools.combinations(FAULTS, 2)]
    if args.only:
        names = set(args.only.split(","))
        chosen = [c for c in chosen if {f.__name__ for f in c} == names]
    part, parts = map(int, args.part.split("/"))
    chosen = chosen[part::parts]
    result = {"seed": args.seed, "scenarios": 0, "accepted": 0, "refused": 0}
    result.update(plans=0, delays=[])
    failed = []
    start = time.monotonic()
    for faults in chosen:
        if time.monotonic() - start > args.seconds:
            break
        names = " + ".join(fault.__name__ for fault in faults) or "no fault"
        try:
            virtual_time.run(
                scenario, args.seed, faults, args.entries, args.agents, result
            )
        except BaseExceptionGroup as group:
            exc = fleet.first_error(group)
            if not isinstance(exc, AssertionError | errors.CarobstandError):
                raise
            failed.append(names)
            print(f"FAILED {names}: {type(exc).__name__}: {exc}", flush=True)
        else:
            print(f"ok {names}", flush=True)
    delays = sorted(result.pop("delays"))
    p99 = delays[int(len(delays) * 0.99)] if delays else None
    result.update(
        planned=len(chosen),
        failed=failed,
        in_force_p50_s=delays[len(delays) // 2] if delays else None,
        in_force_p99_s=p99,
        in_force_max_s=delays[-1] if delays else None,
        wall_s=round(time.monotonic() - start, 1),
    )
    if p99 is not None and p99 > TARGET_P99_S:
        failed.append("in_force_p99_s")
    print(json.dumps(result))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
