"""Ends of old weights under random delays, cuts and pauses, in virtual time."""

import random

import anyio
import pytest

from carobstand.core import registry
from carobstand.entry import versions
from testing import platform_builders as build
from testing import version_store

SEEDS = range(50)
REPORT_S = 0.5
"""Interval of the reports of an agent."""

UNTIL_S = 45.0
OLD = registry.Holding(model=version_store.MODEL, version=1)


def draw_cuts(rng, count, longest_s):
    """Return sorted cuts that do not overlap."""
    starts = sorted(rng.uniform(1.0, 26.0) for _ in range(count))
    lengths = (rng.uniform(0.1, longest_s) for _ in starts)
    return [(at, at + length_s) for at, length_s in zip(starts, lengths, strict=True)]


def draw_store(rng):
    """Return a `Store` of which one of several things goes wrong."""
    named_at = [rng.uniform(6.0, 16.0)]
    named_at.append(named_at[0] + rng.uniform(0.1, 6.0))
    store = version_store.Store(named_at, repeats=rng.random() < 0.7)
    if rng.random() < 0.5:
        store.cuts = draw_cuts(rng, rng.randint(1, 2), rng.choice([1.0, 3.0, 12.0]))
    for at in rng.sample([*named_at, *(rng.uniform(0.0, 25.0) for _ in range(3))], 3):
        start = at - rng.uniform(0.0, 0.5)
        store.late.append((start, at + 0.1, rng.choice([0.2, 0.6, 1.4, 3.0])))
    return store


def draw_agents(rng, store):
    """Return a task that reports arrivals at agents of two regions besides the entry's.

    Those of one region may all be late. Some reports are read late.
    """
    late_s = {"b": rng.choice([0.0, 0.0, 1.4, 3.0]), "c": rng.uniform(0.0, 0.06)}
    reports = []
    for index, named_at in enumerate(store.named_at):
        for number in range(rng.choice([0, 2, 3, 6])):
            domain = "bc"[number % 2]
            arrived_at = named_at + late_s[domain] + rng.uniform(0.005, 0.04)
            for repeat in range(8):
                told_at = arrived_at + repeat * REPORT_S + rng.uniform(0.0, 0.1)
                reports.append((told_at, arrived_at, number, domain, index + 2))

    async def report(fleet):
        for told_at, arrived_at, number, domain, version in sorted(reports):
            await anyio.sleep_until(told_at + rng.choice([0.002, 0.02, 0.3]))
            server = build.registration(f"i-{number}", failure_domain=domain)
            ago_ms = {version: int((told_at - arrived_at) * 1000)}
            versions.note_named(fleet, server, ago_ms)

    return report


def check_seed(monkeypatch, seed):
    rng = random.Random(seed)
    store = draw_store(rng)
    pauses = [(rng.uniform(1.0, 25.0), rng.uniform(0.2, 2.5)) for _ in range(2)]
    if rng.random() < 0.3:
        pauses = [(store.named_at[0] + rng.uniform(-1.0, 0.1), 1.1)]
    found = []

    def check(fleet):
        now, bounds = anyio.current_time(), fleet.deployment.bounds
        disturbed_until = [end for start, end in store.cuts if start <= now]
        last = max((min(end, now) for end in disturbed_until), default=-100.0)
        allowed = max(store.named_at[0] + bounds.version_s, last + bounds.contact_s)
        end = versions.begin_by(fleet, OLD)
        found.append(end)
        if now > allowed:
            assert end <= now, f"seed {seed}: at {now:.2f} until {end:.2f}"

    tasks = [draw_agents(rng, store)]
    version_store.observe(monkeypatch, store, UNTIL_S, check, pauses, tasks)
    return found


@pytest.mark.parametrize("seed", SEEDS)
def test_old_weights_never_serve_after_their_end(monkeypatch, seed):
    """Guards against dates by late responses, late agents, outages and pauses."""
    check_seed(monkeypatch, seed)
