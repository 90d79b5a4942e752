"""Long run of real processes under faults: make soak-processes SEED=n.

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

from bench import callers, relay
from bench import fleet as fleets
from bench import soak_checks as checks

ENTRIES, ENGINES, PLAINS = 3, 4, 3

VERSIONS = ("v1", "v2", "v3")

LOOPS_PER_CUSTOMER = 6

SETTLE_S = 60.0
"""Time after the last fault in which requests end and the fleet converges."""


@attrs.define(eq=False)
class Soak:
    """State of a run."""

    fleet: object
    rng: random.Random
    tally: callers.Tally
    stop: anyio.Event
    operators: checks.Operators
    watch: checks.Watch
    faults: collections.Counter = attrs.field(factory=collections.Counter)
    in_progress: int = 0


def free(soak, role, spare):
    """Return a random program of `role`, or None if fewer than `spare` stay whole."""
    programs = fleets.of_role(soak.fleet, role)
    idle = [program for program in programs if not program.busy]
    if role == "agent":
        kind = soak.rng.choice(("salahkar", "order-desk"))
        idle = [program for program in idle if program.services == (kind,)]
    return soak.rng.choice(idle) if len(idle) > spare else None


async def restart(soak, program, how):
    """Stop a process by a signal and start it again."""
    status = await fleets.stop(program, how)
    if how == signal.SIGTERM and status != 0:
        callers.find(soak.tally, "bad_exit", f"{program.name}: {status} after SIGTERM")
    await anyio.sleep(soak.rng.uniform(0.1, 3))
    await fleets.start(soak.fleet, program)
    await fleets.until_ready(soak.fleet, program, 60)


async def kill_program(soak, program):
    """SIGKILL and start again."""
    await restart(soak, program, signal.SIGKILL)


async def terminate_program(soak, program):
    """SIGTERM and start again."""
    await restart(soak, program, signal.SIGTERM)


async def pause_program(soak, program):
    """SIGSTOP, then SIGCONT."""
    await fleets.pause(program, soak.rng.uniform(0.5, 9))
    await anyio.sleep(2)


async def silence_program(soak, program):
    """Silence all connections to the process; new ones work."""
    relay.silence(program.relay)
    await anyio.sleep(4)


async def cut_off_program(soak, program):
    """Cut the process off from connections of others for some time."""
    program.relay.cut = True
    relay.silence(program.relay)
    await anyio.sleep(soak.rng.uniform(1, 8))
    program.relay.cut = False
    await anyio.sleep(4)


async def pause_planner(soak, program):
    """SIGSTOP the entry for longer than its lease."""
    await fleets.pause(program, 8)
    await anyio.sleep(2)


async def switch(soak, standin, seconds, **switches):
    """Set switches of a stand-in for some time."""
    await fleets.faults(soak.fleet, standin, **switches)
    await anyio.sleep(seconds)
    await fleets.faults(soak.fleet, standin)


async def store_fault(soak):
    """Make the store unavailable, slow, silent, or lose its answers."""
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
    await switch(soak, "store", seconds, **switches[kind])


async def origin_fault(soak):
    """Make the origin unavailable, or corrupt or stall its chunks."""
    kind = soak.rng.choice(
        ({"down": True}, {"corrupt_share": 0.5}, {"stall_share": 0.3}, {"never": True})
    )
    soak.faults[f"origin {next(iter(kind))}"] += 1
    await switch(soak, "origin", soak.rng.uniform(2, 8), **kind)


async def crash_engine(soak, program):
    """Crash the backend server of an agent; it is back without weights in 1 s."""
    soak.watch.crashes += 1
    url = soak.fleet.urls[program.backend] + "/standin/crash"
    try:
        await soak.fleet.http.post(url)
    except fleets.httpx.HTTPError:
        pass
    await anyio.sleep(6)


async def list_as_leaving(soak, program):
    """List a VM as leaving; it must get no new work after 2 s."""
    fleet = soak.fleet
    await fleets.list_vm(fleet, program, leaving=True)
    await anyio.sleep(checks.VMS_LAG_S + checks.LEAVING_S)
    before = await checks.work_of(fleet, program)
    await anyio.sleep(2)
    after = await checks.work_of(fleet, program)
    if after > before:
        detail = f"{program.name}: {after - before} calls 2 s after it left"
        callers.find(soak.tally, "work_after_leaving", detail)
    await fleets.list_vm(fleet, program)
    await anyio.sleep(2)


ON_PROGRAMS = (
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
"""Role, fault and relative frequency."""


async def inject(soak):
    """Inject one fault and heal it."""
    if soak.rng.random() < 0.25:
        fault = soak.rng.choice((store_fault, origin_fault))
        return await fault(soak)
    weights = [weight for _, _, weight in ON_PROGRAMS]
    role, fault, _ = soak.rng.choices(ON_PROGRAMS, weights)[0]
    program = free(soak, role, 1)
    if program is None:
        return None
    if fault is crash_engine and program.services != ("salahkar",):
        return None
    if fault is pause_planner:
        program = await checks.planner(soak.fleet) or program
        if program.busy:
            return None
    soak.faults[f"{role} {fault.__name__}"] += 1
    checks.disturb(soak.watch, f"{program.name} {fault.__name__}")
    program.busy = True
    try:
        await fault(soak, program)
    finally:
        program.busy = False


async def fault_loop(soak, seconds):
    """Inject faults, overlapping, for some time, and wait until all are healed."""

    async def one():
        soak.in_progress += 1
        try:
            await inject(soak)
        finally:
            soak.in_progress -= 1

    end = anyio.current_time() + seconds
    async with anyio.create_task_group() as tg:
        while anyio.current_time() < end:
            if soak.in_progress < 3:
                tg.start_soon(one)
            await anyio.sleep(soak.rng.uniform(0.5, 3))


async def run(seed, seconds, regions):
    """Run one soak; return the result."""
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
        tally = callers.Tally()
        soak = Soak(
            fleet,
            rng,
            tally,
            anyio.Event(),
            checks.Operators(random.Random(seed + 1)),
            checks.Watch(),
        )
        async with anyio.create_task_group() as tg:
            tg.start_soon(checks.watch_loop, soak)
            tg.start_soon(checks.poison_loop, soak)
            for i, customer in enumerate(list(fleet.keys) * LOOPS_PER_CUSTOMER):
                tg.start_soon(
                    callers.customer_loop,
                    fleet,
                    tally,
                    random.Random(f"{seed} {i}"),
                    customer,
                    lambda: checks.ready_entries(soak),
                    soak.stop,
                )
            for name in ("asha", "bilal"):
                tg.start_soon(checks.operator_loop, soak, name)
            await fault_loop(soak, seconds)
            soak.stop.set()
            await checks.settle(soak, SETTLE_S)
            tg.cancel_scope.cancel()
        result = await report(soak, seed, seconds)
        if result["ok"]:
            fleets.discard_logs(fleet)
        return result


async def report(soak, seed, seconds):
    """Compare what ran with what was reported; return the result as a dict."""
    tally = soak.tally
    await checks.check_backends(soak)
    await checks.check_operators(soak)
    checks.check_processes(soak)
    checks.check_logs(soak)
    names = (*callers.FAULTS, *checks.FAULTS)
    found = {name: tally.counts.pop(name, 0) for name in names}
    return {
        "bench": "soak-processes",
        "seed": seed,
        "seconds": seconds,
        "ok": not any(found.values()),
        **found,
        "outcomes": dict(sorted(tally.counts.items())),
        "orders": len(tally.orders),
        "median_s": round(statistics.median(tally.seconds or [0]), 3),
        "faults": dict(sorted(soak.faults.items())),
        "changes": dict(soak.operators.counts),
        "findings": tally.findings[:40],
    }


def main(*, seed: int = 1, seconds: float = 60.0, regions: int = 2):
    """Run entries, agents and stand-ins under faults and count what went wrong.

    :param seed: Seed of faults, requests and edits.
    :param seconds: Time in which faults are injected.
    :param regions: Regions over which the VMs are spread, 1 or 2.
    """
    result = anyio.run(run, seed, seconds, regions)
    for name in (*callers.FAULTS, *checks.FAULTS):
        print(f"{name:20}{result[name]:>8}")
    for line in result["findings"]:
        print(line)
    print(json.dumps(result))
    return 0 if result["ok"] else 1


if __name__ == "__main__":
    sys.exit(defopt.run(main, cli_options="all"))
