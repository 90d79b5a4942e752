"""Soak test of real processes under faults: make soak-processes SEED=n.

Usage: python -m bench.soak_processes [--seed N] [--seconds S]
"""

import collections
import json
import random
import signal
import statistics
import sys

import anyio
import attrs
import defopt

from bench import fleet as fleets
from bench import relay, soak_clients
from bench import soak_checks as checks

ENTRIES, ENGINES, PLAINS = 3, 4, 3

VERSIONS = ("v1", "v2", "v3")

LOOPS_PER_CUSTOMER = 6

SETTLE_S = 60.0
"""Time after the last fault within which requests end and the fleet converges."""


@attrs.define(eq=False)
class Soak:
    """State of a run; `active_faults` counts the faults that are being injected."""

    fleet: object
    rng: random.Random
    results: soak_clients.CustomerResults
    stop: anyio.Event
    operators: checks.Operators
    observed: checks.Observations
    faults: collections.Counter = attrs.field(factory=collections.Counter)
    active_faults: int = 0


def pick_program(soak, role, min_unaffected):
    """Return a random program of `role` that no fault affects.

    Returns None if fewer than `min_unaffected` others would remain.
    """
    programs = fleets.programs_with_role(soak.fleet, role)
    idle = [program for program in programs if not program.busy]
    if role == "agent":
        kind = soak.rng.choice(("salahkar", "order-desk"))
        idle = [program for program in idle if program.services == (kind,)]
    return soak.rng.choice(idle) if len(idle) > min_unaffected else None


async def restart(soak, program, sig):
    """Stop a process by a signal and start it again after a random pause."""
    status = await fleets.stop(program, sig)
    if sig == signal.SIGTERM and status != 0:
        soak_clients.record_finding(
            soak.results, "bad_exit", f"{program.name}: {status} after SIGTERM"
        )
    await anyio.sleep(soak.rng.uniform(0.1, 3))
    await fleets.start(soak.fleet, program)
    await fleets.wait_until_ready(soak.fleet, program, 60)


async def kill_program(soak, program):
    """Stop a process with SIGKILL and start it again."""
    await restart(soak, program, signal.SIGKILL)


async def terminate_program(soak, program):
    """Stop a process with SIGTERM and start it again."""
    await restart(soak, program, signal.SIGTERM)


async def pause_program(soak, program):
    """Suspend a process with SIGSTOP for up to 9 s."""
    await fleets.pause(program, soak.rng.uniform(0.5, 9))
    await anyio.sleep(2)


async def silence_program(soak, program):
    """Stop forwarding on all open connections to the process; new ones work."""
    relay.silence(program.relay)
    await anyio.sleep(4)


async def cut_off_program(soak, program):
    """Silence the connections to the process and hold new ones for some time."""
    program.relay.hold_new_connections = True
    relay.silence(program.relay)
    await anyio.sleep(soak.rng.uniform(1, 8))
    program.relay.hold_new_connections = False
    await anyio.sleep(4)


async def pause_planner(soak, program):
    """Suspend the entry that is planner for longer than its lease."""
    await fleets.pause(program, 8)
    await anyio.sleep(2)


async def set_faults_for(soak, standin, seconds, **switches):
    """Set fault switches of a stand-in for some time, then reset them."""
    await fleets.set_faults(soak.fleet, standin, **switches)
    await anyio.sleep(seconds)
    await fleets.set_faults(soak.fleet, standin)


async def store_fault(soak):
    """Make the store unavailable, slow or silent, or lose or corrupt its responses."""
    rng, seconds = soak.rng, soak.rng.uniform(1, 8)
    kind = rng.choice(("down", "slow", "lose", "never", "silent", "garbage"))
    soak.faults[f"store {kind}"] += 1
    if kind == "silent":
        relay.silence(soak.fleet.store_relay)
        return await anyio.sleep(3)
    switches = {
        "down": {"down": True},
        "slow": {"slow_s": rng.uniform(0.2, 3)},
        "lose": {"lose_share": 0.5},
        "never": {"never": True},
        "garbage": {"garbage": True},
    }
    await set_faults_for(soak, "store", seconds, **switches[kind])


async def origin_fault(soak):
    """Make the origin unavailable or silent, or corrupt or stall its chunks."""
    kind = soak.rng.choice(
        ({"down": True}, {"corrupt_share": 0.5}, {"stall_share": 0.3}, {"never": True})
    )
    soak.faults[f"origin {next(iter(kind))}"] += 1
    await set_faults_for(soak, "origin", soak.rng.uniform(2, 8), **kind)


async def crash_engine(soak, program):
    """Crash the backend server of an agent; it is up again without weights in 1 s."""
    soak.observed.crashes += 1
    url = soak.fleet.urls[program.backend] + "/standin/crash"
    try:
        await soak.fleet.http.post(url)
    except fleets.httpx.HTTPError:
        pass
    await anyio.sleep(6)


async def list_as_leaving(soak, program):
    """List a VM as leaving; it must get no new work after `checks.LEAVING_GRACE_S`."""
    fleet = soak.fleet
    await fleets.list_vm(fleet, program, leaving=True)
    await anyio.sleep(checks.VM_LIST_LAG_S + checks.LEAVING_GRACE_S)
    before = await checks.backend_call_count(fleet, program)
    await anyio.sleep(2)
    after = await checks.backend_call_count(fleet, program)
    if after > before:
        detail = f"{program.name}: {after - before} calls 2 s after it left"
        soak_clients.record_finding(soak.results, "work_after_leaving", detail)
    await fleets.list_vm(fleet, program)
    await anyio.sleep(2)


PROGRAM_FAULTS = (
    ("agent", kill_program, 3),
    ("agent", terminate_program, 3),
    ("agent", pause_program, 3),
    ("agent", silence_program, 2),
    ("agent", crash_engine, 2),
    ("agent", list_as_leaving, 2),
    ("entry", kill_program, 2),
    ("entry", terminate_program, 2),
    ("entry", pause_program, 2),
    ("entry", silence_program, 3),
    ("entry", cut_off_program, 2),
    ("entry", pause_planner, 1),
)
"""Role, fault and relative frequency of each fault of an entry or agent."""


async def inject_fault(soak):
    """Inject one random fault and clear it."""
    if soak.rng.random() < 0.25:
        fault = soak.rng.choice((store_fault, origin_fault))
        return await fault(soak)
    weights = [weight for _, _, weight in PROGRAM_FAULTS]
    role, fault, _ = soak.rng.choices(PROGRAM_FAULTS, weights)[0]
    program = pick_program(soak, role, 1)
    if program is None:
        return None
    if fault is crash_engine and program.services != ("salahkar",):
        return None
    if fault is pause_planner:
        program = await checks.find_planner(soak.fleet) or program
        if program.busy:
            return None
    soak.faults[f"{role} {fault.__name__}"] += 1
    checks.record_fault(soak.observed, f"{program.name} {fault.__name__}")
    program.busy = True
    try:
        await fault(soak, program)
    finally:
        program.busy = False


async def fault_loop(soak, seconds):
    """Inject overlapping faults for `seconds`, then wait until all are cleared."""

    async def inject_one():
        soak.active_faults += 1
        try:
            await inject_fault(soak)
        finally:
            soak.active_faults -= 1

    end = anyio.current_time() + seconds
    async with anyio.create_task_group() as tg:
        while anyio.current_time() < end:
            if soak.active_faults < 3:
                tg.start_soon(inject_one)
            await anyio.sleep(soak.rng.uniform(0.5, 3))


async def run(seed, seconds, regions):
    """Run one soak test; return the result."""
    rng = random.Random(seed)
    async with fleets.open_fleet(
        seed,
        ENTRIES,
        ENGINES,
        PLAINS,
        True,
        VERSIONS,
        ("--work-s", "0.15"),
        fleets.DOMAINS[:regions],
    ) as fleet:
        print(f"logs in {fleet.folder}", file=sys.stderr)
        results = soak_clients.CustomerResults()
        soak = Soak(
            fleet,
            rng,
            results,
            anyio.Event(),
            checks.Operators(random.Random(seed + 1)),
            checks.Observations(),
        )
        async with anyio.create_task_group() as tg:
            tg.start_soon(checks.poll_loop, soak)
            tg.start_soon(checks.poison_loop, soak)
            for i, customer in enumerate(list(fleet.keys) * LOOPS_PER_CUSTOMER):
                tg.start_soon(
                    soak_clients.customer_loop,
                    fleet,
                    results,
                    random.Random(f"{seed} {i}"),
                    customer,
                    lambda: checks.ready_entries(soak),
                    soak.stop,
                )
            for name in ("asha", "bilal"):
                tg.start_soon(checks.operator_loop, soak, name)
            await fault_loop(soak, seconds)
            soak.stop.set()
            await checks.wait_until_settled(soak, SETTLE_S)
            tg.cancel_scope.cancel()
        result = await report(soak, seed, seconds)
        if result["ok"]:
            fleets.discard_logs(fleet)
        return result


async def report(soak, seed, seconds):
    """Run the final checks and return the result of the soak test as a dict."""
    results = soak.results
    await checks.check_backends(soak)
    await checks.check_operators(soak)
    checks.check_processes(soak)
    checks.check_logs(soak)
    names = (*soak_clients.FINDING_KINDS, *checks.FINDING_KINDS)
    finding_counts = {name: results.counts.pop(name, 0) for name in names}
    return {
        "bench": "soak-processes",
        "seed": seed,
        "seconds": seconds,
        "ok": not any(finding_counts.values()),
        **finding_counts,
        "outcomes": dict(sorted(results.counts.items())),
        "orders": len(results.orders),
        "median_s": round(statistics.median(results.durations_s or [0]), 3),
        "faults": dict(sorted(soak.faults.items())),
        "changes": dict(soak.operators.counts),
        "findings": results.findings[:40],
    }


def main(*, seed: int = 1, seconds: float = 60.0, regions: int = 2):
    """Run entries, agents and stand-ins under faults and count the findings.

    :param seed: Seed of faults, requests and edits.
    :param seconds: Time in which faults are injected.
    :param regions: Regions over which the VMs are spread, 1 or 2.
    """
    result = anyio.run(run, seed, seconds, regions)
    for name in (*soak_clients.FINDING_KINDS, *checks.FINDING_KINDS):
        print(f"{name:20}{result[name]:>8}")
    for line in result["findings"]:
        print(line)
    print(json.dumps(result))
    return 0 if result["ok"] else 1


if __name__ == "__main__":
    sys.exit(defopt.run(main, cli_options="all"))
