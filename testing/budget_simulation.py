"""Entries that share the retry budget of one service, in virtual time with faults.

Runs the program's `entry.retries` and the roster at each entry. Each entry retries as
often as its budget allows. The store and the callers are simulated.
"""

import anyio
import attrs

from carobstand import entry_records
from carobstand.core import retry_budget, weight_sources
from carobstand.entry import fleet as fleets
from carobstand.entry import forwarding, retries, store_items
from carobstand.platform import kv
from testing import platform_builders as build

SERVICE = "drafter"
STEP_S = 0.1
REGISTER_S = 0.3
"""Time from the start of an entry until all that can see its record have read it."""

OLD_S = -100.0
"""Start time of entries that have run for a while."""


@attrs.define
class Call:
    """The parts of a call that reserve a retry."""

    service: str = SERVICE
    has_reserved_retry: bool = False
    reserved_at: float = 0.0


@attrs.define(eq=False)
class Simulation:
    """The entries, what each sees of the others, and what they sent.

    Attributes
    ----------
    forwarders : dict of str to entry.forwarding.Forwarder
        State of the running process of each VM.
    hidden : callable of (str, str, float) to bool
        Whether the store has no record of the second entry for the first one to see.
    cut_off : callable of (str, float) to bool
        Whether an entry cannot reach the store, and knows the records from before.
    requested, retried : list of float
        Times of requests and of retries of all entries.
    listed_at : dict of str to float
        Time from which the record of each VM can be read.
    requests_per_s : float
        At each entry.
    failed_at : float
        Time at which calls of the store fail at all entries.
    """

    forwarders: dict = attrs.field(factory=dict)
    hidden: object = lambda vm, other, now: False
    cut_off: object = lambda vm, now: False
    requested: list = attrs.field(factory=list)
    retried: list = attrs.field(factory=list)
    listed_at: dict = attrs.field(factory=dict)
    requests_per_s: float = 10.0
    failed_at: float = -1e9


def bounds():
    """Return the bounds of a deployment of 15 entries."""
    return build.bounds(retry_ratio=0.2, retry_slack=134.0, retry_window_s=10.0)


def start_process(sim, vm, started):
    """Start the process of a VM in place of an earlier one."""
    dep = attrs.evolve(build.deployment_of(vm, f"10.0.0.{vm}"), bounds=bounds())
    fleet = fleets.Fleet(dep, store=None)
    fwd = forwarding.Forwarder(fleet)
    fwd.budgets[SERVICE] = retry_budget.Budget(started)
    sim.forwarders[vm] = fwd
    sim.listed_at.setdefault(vm, started + REGISTER_S)


def update_rosters(sim, now):
    """Have each entry read the records that it can see now."""
    for vm, fwd in sim.forwarders.items():
        if sim.cut_off(vm, now):
            continue
        fwd.fleet.confirmed_at = now
        if now >= sim.failed_at:
            fwd.fleet.store_failed_at = sim.failed_at
        for other, listed_at in sim.listed_at.items():
            is_seen = now >= listed_at and not sim.hidden(vm, other, now)
            if is_seen != (other in fwd.fleet.roster.entries):
                _apply(fwd.fleet, other, is_seen)


def _apply(fleet, vm, is_listed):
    entry = weight_sources.Entry(vm, f"10.0.0.{vm}:7700", "a", "north")
    value = entry_records.encode(entry) if is_listed else None
    store_items.apply_item(fleet, kv.Item(entry_records.key(vm), value, 1))


async def run(sim, started, duration_s, restarts=()):
    """Run entries; all processes are killed and start anew at given times.

    Parameters
    ----------
    sim : Simulation
    started : dict of str to float
        Time at which the first process of each VM started.
    duration_s : float
    restarts : iterable of float
    """
    for vm, at in started.items():
        start_process(sim, vm, at)
    pending = sorted(restarts)
    while (now := anyio.current_time()) < duration_s:
        if pending and now >= pending[0]:
            del pending[0]
            for vm in list(sim.forwarders):
                start_process(sim, vm, now)
        update_rosters(sim, now)
        for fwd in sim.forwarders.values():
            _serve(sim, fwd, now)
        await anyio.sleep(STEP_S)


def _serve(sim, fwd, now):
    budget = fwd.budgets[SERVICE]
    rate = sim.requests_per_s
    for _ in range(int((now + STEP_S) * rate) - int(now * rate)):
        retry_budget.count_request(budget, fwd.fleet.deployment.bounds, now)
        sim.requested.append(now)
    while retries.reserve_retry(fwd, Call()):
        sim.retried.append(now)


def worst_excess(sim):
    """Return by how many the retries of a window exceed what is allowed, at most."""
    rule, worst = bounds(), -float("inf")
    window_s = rule.retry_window_s
    for start in sorted(set(sim.retried)):
        retried = _count(sim.retried, start, window_s)
        # The users count requests in the window, and in windows shortly before it.
        requested = max(
            _count(sim.requested, start - back_s, window_s)
            for back_s in (0.0, window_s / 2, window_s)
        )
        allowed = rule.retry_ratio * requested + rule.retry_slack
        worst = max(worst, retried - allowed)
    return worst


def _count(times, start, window_s):
    return sum(start <= at < start + window_s for at in times)
