"""Benchmark of control: propagation time of changes, resource use and store calls.

Starts stand-ins, entries and agents as processes on loopback addresses. A change is in
force once every process has logged that it applied its revision or a later one. The
propagation time starts before the change is written to the store.
"""

import argparse
import json
import statistics
import sys
import time

import anyio
import attrs

from bench import control_fleet
from carobstand.cli import edits
from carobstand.core import table
from carobstand.platform import store as stores

CHANGES_PER_DAY = 15_000

MAX_PROPAGATION_S = 9.0
"""Worst case allowed by section 9 of docs/design.md."""

MAX_PROPAGATION_P99_S = 2.0

MAX_CORE_SHARE = 0.012

MAX_RSS_MB = 256

MAX_BYTES_PER_S = 5_000

MAX_READS_PER_S, MAX_WRITES_PER_S = 2_000, 400

CUSTOMERS = 10


@attrs.define(eq=False)
class Bench:
    """One fleet and the changes made to it, {revision: time before the write}.

    `change_count` also counts changes that failed.
    """

    fleet: object
    store: object
    changes: dict = attrs.field(factory=dict)
    change_count: int = 0


def _table_rows(number):
    service = table.ServiceRow("order-desk", "plain", max_in_flight=number + 1)
    customers = (
        table.CustomerRow(f"customer-{i}", f"{i:064x}", rate_per_s=10 + i)
        for i in range(CUSTOMERS)
    )
    return (service, *customers)


async def make_change(bench):
    """Write one change to the table; return its revision."""
    bench.change_count += 1
    started = time.time()
    _, base = await edits.read(bench.store)
    author = edits.Author("bench", started, f"change-{bench.change_count}")
    rows = _table_rows(bench.change_count)
    revision = await edits.accept(bench.store, base, rows, author, "bench")
    bench.changes[revision] = started
    return revision


def propagation_times(bench, names=None):
    """Return {revision: seconds until the last process applied it or a later one}.

    The value is None while some process has not. `names` limits the processes.
    """
    result = {}
    logs = [
        control_fleet.applied_revisions(program)
        for name, program in bench.fleet.programs.items()
        if names is None or name in names
    ]
    for revision, started in bench.changes.items():
        times = [
            min(
                (
                    applied_at
                    for applied_revision, applied_at in log.items()
                    if applied_revision >= revision
                ),
                default=None,
            )
            for log in logs
        ]
        result[revision] = None if None in times else max(times) - started
    return result


async def wait_until_applied(bench, revision, timeout_s=30):
    """Wait until every process has applied `revision`; return whether all did."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if propagation_times(bench).get(revision) is not None:
            return True
        await anyio.sleep(0.2)
    return False


def summary(delays):
    """Return median, 99th percentile and maximum of `delays` in seconds."""
    ordered = sorted(delays)
    return {
        "count": len(ordered),
        "p50_s": round(statistics.median(ordered), 4),
        "p99_s": round(ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))], 4),
        "max_s": round(ordered[-1], 4),
    }


async def steady(bench, seconds):
    """Make changes at the design rate and measure the resource use of each process."""
    before = await control_fleet.usage(bench.fleet)
    calls_before = (await control_fleet.store_stats(bench.fleet))["calls"]
    start = time.monotonic()
    revisions = []
    while time.monotonic() - start < seconds:
        revisions.append(await make_change(bench))
        await anyio.sleep(86_400 / CHANGES_PER_DAY)
    elapsed_s = time.monotonic() - start
    after = await control_fleet.usage(bench.fleet)
    calls_after = (await control_fleet.store_stats(bench.fleet))["calls"]
    await wait_until_applied(bench, revisions[-1])
    delays = propagation_times(bench)
    return {
        "in_force": summary([delays[revision] for revision in revisions]),
        "use": usage_by_role(bench, before, after, elapsed_s),
        "store_calls_per_s": {
            kind: round((calls_after[kind] - calls_before.get(kind, 0)) / elapsed_s, 2)
            for kind in calls_after
        },
    }


def usage_by_role(bench, before, after, elapsed_s):
    """Return the mean and maximum resource use per role."""
    result = {}
    for role in ("entry", "agent"):
        names = [n for n, p in bench.fleet.programs.items() if p.role == role]
        cpu = [(after[n].cpu_s - before[n].cpu_s) / elapsed_s for n in names]
        wire = [(after[n].wire_bytes - before[n].wire_bytes) / elapsed_s for n in names]
        http = [(after[n].http_bytes - before[n].http_bytes) / elapsed_s for n in names]
        result[role] = {
            "count": len(names),
            "core_share_mean": round(statistics.mean(cpu), 5),
            "core_share_max": round(max(cpu), 5),
            "rss_mb_max": round(max(after[n].rss_mb for n in names), 1),
            "wire_bytes_per_s_mean": round(statistics.mean(wire)),
            "wire_bytes_per_s_max": round(max(wire)),
            "http_bytes_per_s_mean": round(statistics.mean(http)),
        }
    return result


async def bursts(bench, count):
    """Make bursts of ten changes without a pause; summarise propagation times."""
    revisions = []
    for _ in range(count):
        for _ in range(10):
            revisions.append(await make_change(bench))
        await anyio.sleep(1.5)
    await wait_until_applied(bench, revisions[-1])
    delays = propagation_times(bench)
    return summary([delays[revision] for revision in revisions])


async def outage(bench, seconds):
    """Measure resource use without the store, and propagation after its recovery."""
    revision_before = max(bench.changes)
    await control_fleet.set_store_fault(bench.fleet, down=True)
    before = await control_fleet.usage(bench.fleet)
    start = time.monotonic()
    await anyio.sleep(seconds)
    after = await control_fleet.usage(bench.fleet)
    elapsed_s = time.monotonic() - start
    unchanged = 0
    for program in bench.fleet.programs.values():
        body = await control_fleet.status(bench.fleet, program)
        unchanged += bool(body) and body["table_revision"] == revision_before
    await control_fleet.set_store_fault(bench.fleet, down=False)
    revision = await make_change(bench)
    reached = await wait_until_applied(bench, revision)
    return {
        "kept": unchanged,
        "use": usage_by_role(bench, before, after, elapsed_s),
        "in_force_after_return_s": propagation_times(bench)[revision]
        if reached
        else None,
        "busiest_second": (await control_fleet.store_stats(bench.fleet))[
            "busiest_second"
        ],
    }


async def restart(bench):
    """Restart a third of the processes at once and make a change meanwhile."""
    programs = list(bench.fleet.programs.values())[::3]
    revision_before = max(bench.changes)
    for program in programs:
        control_fleet.kill(program)
    started = time.time()
    for program in programs:
        control_fleet.start(program)
    revision = await make_change(bench)
    reached = await wait_until_applied(bench, revision, 60)
    names = {program.name for program in programs}
    others = set(bench.fleet.programs) - names
    applied = [
        min(control_fleet.applied_revisions(p).values(), default=None) for p in programs
    ]
    return {
        "restarted": len(programs),
        "revision_before": revision_before,
        "table_after_restart_s": round(max(applied) - started, 2) if reached else None,
        "others_in_force_s": propagation_times(bench, others)[revision],
        "busiest_second": (await control_fleet.store_stats(bench.fleet))[
            "busiest_second"
        ],
    }


async def run(processes, seconds, outage_s):
    """Run all phases with one number of processes."""
    entries = min(8, max(2, processes // 12))
    result = {"processes": processes, "entries": entries}
    async with control_fleet.open_fleet(entries, processes - entries) as fleet:
        store = stores.http_store(fleet.urls["store"])
        bench = Bench(fleet, store)
        first = await make_change(bench)
        if not await wait_until_applied(bench, first, 60):
            raise RuntimeError("the first table did not reach every process")
        await anyio.sleep(3)
        result["steady"] = await steady(bench, seconds)
        result["bursts"] = await bursts(bench, 6)
        if outage_s > 0:
            result["outage"] = await outage(bench, outage_s)
            result["restart"] = await restart(bench)
        result["reverts"] = count_reverts(bench)
        result["lost"] = await lost_changes(bench)
        await store.close()
    return result


async def lost_changes(bench):
    """Return the accepted revisions that the table history does not hold as written."""
    missing = []
    for revision in bench.changes:
        stored = await edits.read_revision(bench.store, revision)
        if stored.change_id != f"change-{revision}":
            missing.append(revision)
    return missing


def count_reverts(bench):
    """Return how often a process applied a lower revision than before."""
    count = 0
    for program in bench.fleet.programs.values():
        revisions = list(control_fleet.applied_revisions(program))
        count += sum(b < a for a, b in zip(revisions, revisions[1:], strict=False))
    return count


def missed_targets(result):
    """Return the targets of section 9 of docs/design.md that a run missed."""
    missed = []

    def check(met, target):
        if not met:
            missed.append(f"{result['processes']} processes: {target}")

    for phase in (result["steady"]["in_force"], result["bursts"]):
        check(
            phase["p99_s"] <= MAX_PROPAGATION_P99_S, f"in force p99 {phase['p99_s']} s"
        )
        check(phase["max_s"] < MAX_PROPAGATION_S, f"in force worst {phase['max_s']} s")
    for role, use in result["steady"]["use"].items():
        share, memory = use["core_share_max"], use["rss_mb_max"]
        check(share < MAX_CORE_SHARE, f"{role}: {share:.2%} of a core")
        check(memory < MAX_RSS_MB, f"{role}: {memory} MB")
        rate = use["wire_bytes_per_s_max"] + use["http_bytes_per_s_mean"]
        check(rate < MAX_BYTES_PER_S, f"{role}: {rate} bytes/s")
    check(result["reverts"] == 0, f"{result['reverts']} reverts")
    check(not result["lost"], f"accepted and lost: {result['lost']}")
    if "outage" in result:
        _check_outage_and_restart(result, check)
    return missed


def _check_outage_and_restart(result, check):
    check(
        result["outage"]["kept"] == result["processes"],
        "table lost in the outage",
    )
    for phase in ("outage", "restart"):
        busiest = result[phase]["busiest_second"]
        check(
            busiest.get("reads", 0) <= MAX_READS_PER_S,
            "store reads in the busiest second",
        )
        check(
            busiest.get("writes", 0) <= MAX_WRITES_PER_S,
            "store writes in the busiest second",
        )
    after = result["outage"]["in_force_after_return_s"]
    check(
        after is not None and after < MAX_PROPAGATION_S,
        f"in force after the outage: {after} s",
    )
    check(
        result["restart"]["table_after_restart_s"] is not None, "restart not completed"
    )


def slopes(results):
    """Return the growth per additional agent from the smallest to the largest run."""
    if len(results) < 2:
        return {}
    ordered = sorted(results, key=lambda result: result["processes"])
    first, last = ordered[0], ordered[-1]
    growth = {}
    for role in ("entry", "agent"):
        small, large = first["steady"]["use"][role], last["steady"]["use"][role]
        agents = last["steady"]["use"]["agent"]["count"]
        added_agents = agents - first["steady"]["use"]["agent"]["count"]
        for name in ("core_share_mean", "rss_mb_max", "wire_bytes_per_s_mean"):
            growth[f"{role}.{name}"] = round(
                (large[name] - small[name]) / added_agents, 6
            )
    return growth


def main():
    """Run the benchmark; the last line is JSON, exit status 1 if a target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", default="10,50,200")
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument(
        "--outage", type=float, default=60, help="0 leaves out outage and restart"
    )
    args = parser.parse_args()
    results = []
    for processes in map(int, args.processes.split(",")):
        result = anyio.run(run, processes, args.seconds, args.outage)
        results.append(result)
        _print(result)
    missed = [line for result in results for line in missed_targets(result)]
    for line in missed:
        print(f"missed: {line}")
    print(json.dumps({"runs": results, "slopes": slopes(results), "missed": missed}))
    sys.exit(1 if missed else 0)


def _print(result):
    steady_use = result["steady"]["use"]
    print(f"{result['processes']} processes, {result['entries']} of them entries")
    for name in ("steady", "bursts"):
        phase = result[name].get("in_force", result[name])
        print(f"  {name:8} in force {phase}")
    for role, use in steady_use.items():
        print(f"  {role:8} {use}")
    print(f"  store    {result['steady']['store_calls_per_s']} calls/s")
    for name in ("outage", "restart"):
        print(f"  {name:8} {result.get(name)}", flush=True)


if __name__ == "__main__":
    main()
