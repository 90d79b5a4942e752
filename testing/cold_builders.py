"""Entries that share cold servers in virtual time, and fleets without a network."""

import random

import anyio

from carobstand.core import routes, weight_sources
from carobstand.entry import fleet as fleets
from carobstand.entry import forwarding, store_items
from carobstand.platform import kv
from carobstand.standin.platform import engine
from testing import limit_simulation as simulation
from testing import platform_builders as build
from testing import virtual_time

SETTLE_S = 6.0
"""Time in which all entries of a simulation register and read the store, and a single
one no longer expects that there are others."""


def simulate(
    script, seed, entries, *, per_s=26.0, demand=150.0, shares=None, servers=1
):
    """Run ``script(sim)`` with entries and servers that are not listed at first.

    Parameters
    ----------
    script : callable of (limit_simulation.Simulation)
    seed, entries, servers : int
    per_s : float
        Requests per second that a cold server sustains.
    demand : float
        Requests per second of all callers together.
    shares : list of float
        Share of each entry in the demand; equal if None.
    """

    async def run():
        async with anyio.create_task_group() as tg:
            first, *others = [
                engine.Engine(f"i-{number}", "desk", "10.9.0.1:80", model="")
                for number in range(1, servers + 1)
            ]
            service = routes.Service(
                name="desk", cold_time_s=3.0, sustained_per_s=per_s
            )
            draw = random.Random(seed)
            sim = simulation.Simulation(
                tg, draw, first, others=others, service=service, loss=0.01
            )
            sim.listings.append(("none", b""))
            for number in range(entries):
                share = shares[number] if shares else 1 / entries
                simulation.start_entry(sim, str(number + 1), demand * share)
            await anyio.sleep(SETTLE_S)
            await script(sim)
            tg.cancel_scope.cancel()
        return sim

    return virtual_time.run(run)


def fleet(cold_time_s=3.0, per_s=26.0, is_first_read=False, vm="1"):
    """Return a `Fleet` whose service ``desk`` limits requests to cold servers."""
    state = fleets.Fleet(build.deployment_of(vm, f"10.0.0.{vm}"), store=None)
    service = routes.Service(
        name="desk", cold_time_s=cold_time_s, sustained_per_s=per_s
    )
    state.configuration = routes.Configuration(
        version=1, routes={}, services={"desk": service}
    )
    if not is_first_read:
        state.first_read_at = anyio.current_time()
    return state


def list_server(state, server_id="i-1", born=1000, **changes):
    """Apply the record of a server to a `Fleet`, as read from the store now."""
    record = build.server_record(service="desk", born=born, **changes)
    value = build.encode_record(record)
    state.changes_since = anyio.current_time()
    store_items.apply_item(state, kv.Item(f"servers/{server_id}", value, 1))


def joined(vm, vms, cold_ms=3000):
    """Return the `ServerLimits` of a registered entry that knows `vms` and a server."""
    state = fleet(vm=vm)
    for item in vms:
        entry = weight_sources.Entry(item, f"10.0.0.{item}:7700", "a", "north")
        state.roster.entries[item] = entry
    state.confirmed_at = anyio.current_time()
    list_server(state, warmup_remaining_ms=cold_ms)
    return forwarding.Forwarder(state).limits
