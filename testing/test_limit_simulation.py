"""Tests of entries that share a server's limit, with seeded faults in virtual time."""

import os
import random
import subprocess
import sys

import anyio
import pytest

from carobstand.core import permit_rates
from carobstand.standin.platform import engine
from testing import limit_checks, virtual_time
from testing import limit_simulation as simulation

CONTACT_S = 3.0
CALLERS_PER_S = 60.0
"""Requests per second of all callers together."""


def simulate(script, seed, entries=5, callers=None, loss=0.01):
    """Run ``script(sim)``; return the `Simulation` after it."""

    async def run():
        server = engine.Engine(simulation.SERVER_ID, "desk", limit=2.0)
        async with anyio.create_task_group() as tg:
            sim = simulation.Simulation(tg, random.Random(seed), server, loss=loss)
            for number in range(entries):
                has_callers = callers is None or number < callers
                share = CALLERS_PER_S / (callers or entries) if has_callers else 0
                simulation.start_entry(sim, str(number + 1), share)
            await script(sim)
            tg.cancel_scope.cancel()
        return sim

    return virtual_time.run(run)


def check(sim, minimum=0.0):
    """Check the limit, and that at least `minimum` requests per second arrived."""
    arrivals = sim.server.arrivals
    excused = [(vm, start, end + CONTACT_S) for vm, start, end in sim.disturbances]
    assert limit_checks.violations(sim.server, CONTACT_S, excused) == []
    duration_s = arrivals[-1].at - arrivals[0].at
    assert len(arrivals) >= minimum * duration_s


def print_arrivals():
    sim = simulate(random_faults, 1)
    print([(item.at, item.sender) for item in sim.server.arrivals])


def test_a_simulation_repeats_whatever_the_hash_seed_of_the_process():
    code = "from testing import test_limit_simulation as t; t.print_arrivals()"
    outputs = [
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": "src:."},
            stdout=subprocess.PIPE,
            check=True,
            timeout=60,
        ).stdout
        for hash_seed in ("1", "2")
    ]
    assert outputs[0] == outputs[1] and len(outputs[0]) > 1000


@pytest.mark.parametrize("limit", [0.0, 0.5, 2.2, 20.0, 40.0])
@pytest.mark.parametrize("entries", [1, 5, 40])
def test_entries_use_a_limit_in_full_and_keep_it(entries, limit):
    async def script(sim):
        sim.server.limit = limit
        await anyio.sleep(15)

    check(simulate(script, 1, entries), 0.75 * limit)


@pytest.mark.parametrize("limit", [1.0, 10.0])
@pytest.mark.parametrize("entries", [2, 17])
def test_one_entry_with_callers_uses_the_whole_limit(entries, limit):
    async def script(sim):
        sim.server.limit = limit
        await anyio.sleep(15)

    check(simulate(script, 2, entries, callers=1), 0.75 * limit)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("entries", [3, 12])
def test_a_limit_is_kept_under_faults(entries, seed):
    check(simulate(random_faults, seed, entries))


@pytest.mark.parametrize("entries", [2, 5, 12])
def test_a_limit_is_kept_while_no_entry_is_registered(entries):
    """Each entry took itself for the only one and granted the permits in full."""

    async def script(sim):
        sim.server.limit = 40.0
        await anyio.sleep(4.0)
        sim.records.clear()
        await anyio.sleep(20.0)
        for vm in sim.nodes:
            simulation.register(sim, vm)
        await anyio.sleep(8.0)

    check(simulate(script, 1, entries), 4.0)


def test_a_limit_is_kept_while_the_store_turns_the_entry_away_that_grants():
    """An entry that was added and precedes it granted the full rate beside it."""

    async def script(sim):
        sim.server.limit = 40.0
        await anyio.sleep(4.0)
        vms = [*sim.nodes, *map(str, range(100, 200))]
        [new, *_] = permit_rates.granting_entries(simulation.SERVER_ID, vms)
        old = permit_rates.granting_entries(simulation.SERVER_ID, sim.nodes)
        for vm in old:
            sim.nodes[vm].callers_per_s = CALLERS_PER_S
        sim.tasks.start_soon(simulation.lose_store, sim, old, 9.0)
        await anyio.sleep(0.5)
        simulation.start_entry(sim, new, CALLERS_PER_S)
        await anyio.sleep(10.0)

    check(simulate(script, 1, 6), 20.0)


async def random_faults(sim, duration_s=40.0):
    """Disturb entries at random times; several disturbances may overlap."""
    draw = random.Random(sim.draw.random())
    sim.server.limit = draw.choice([0.0, 0.3, 1.0, 2.2, 5.0, 20.0])
    new_vms = iter(range(100, 200))
    end = anyio.current_time() + duration_s
    while anyio.current_time() < end:
        await anyio.sleep(draw.uniform(0.1, 6.0))
        vms = sorted(sim.nodes, key=lambda vm: draw.random())
        if not vms:
            simulation.start_entry(sim, str(next(new_vms)), 30.0)
            continue
        some = vms[: draw.randint(1, max(1, len(vms) // 2))]
        fault = draw.choice(FAULTS)
        sim.tasks.start_soon(fault, sim, draw, some, str(next(new_vms)))


async def join(sim, draw, vms, new_vm):
    simulation.start_entry(sim, new_vm, draw.choice([0.0, 10.0, 30.0]))


async def leave(sim, draw, vms, new_vm):
    if len(sim.nodes) > 1:
        await simulation.stop_entry(sim, vms[0])


async def lose_entry(sim, draw, vms, new_vm):
    if len(sim.nodes) > 1:
        await simulation.lose(sim, vms[0])


async def restart(sim, draw, vms, new_vm):
    await simulation.restart(sim, vms[0])


async def freeze(sim, draw, vms, new_vm):
    await simulation.freeze(sim, vms[0], draw.uniform(0.5, 8.0))


async def cut(sim, draw, vms, new_vm):
    await simulation.cut(sim, vms, draw.uniform(0.5, 12.0), draw.random() < 0.3)


async def lose_store(sim, draw, vms, new_vm):
    duration_s = draw.uniform(0.5, 12.0)
    if draw.random() < 0.5:
        await simulation.lose_store(sim, vms, duration_s)
    else:
        everyone, lapses = list(sim.nodes), draw.random() < 0.5
        await simulation.lose_store(sim, everyone, duration_s, lapses)


async def change_limit(sim, draw, vms, new_vm):
    sim.server.limit = draw.choice([None, 0.0, 0.5, 1.0, 3.0, 10.0])


FAULTS = [
    join,
    leave,
    lose_entry,
    restart,
    freeze,
    cut,
    lose_store,
    change_limit,
]
