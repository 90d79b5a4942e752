"""Bench of requests: goodput, latency, prefix hits, overhead and forwarding rate.

Starts stand-ins, entries and agents as processes. The load is open-loop, with skewed
customers and shared prefixes; each router is a fleet of its own with the same load.
"""

import json
import statistics
import sys

import anyio
import attrs
import defopt

from bench import request_fleet as fleets
from bench import request_load as loads

ENGINES = 4

BATCH = 16

TOKENS = 20

TOKEN_S = 0.022

PREFILL_MISS_S = 0.004
"""Time per block of 64 characters that is not cached; a prompt has 18 blocks."""

CACHE_BLOCKS = 288
"""Room for about 16 prompts in each engine, of 48 shared prefixes in all."""

ENGINE_FLAGS = (
    "--token-s",
    str(TOKEN_S),
    "--prefill-miss-s",
    str(PREFILL_MISS_S),
    "--cache-blocks",
    str(CACHE_BLOCKS),
)

HIT_SHARE = 0.6
"""Prefix hits at which the capacity is defined, the same for all routers."""

FACTORS = (0.1, 0.5, 1.0, 2.0)
"""Load as a share of the capacity; the first one counts as unloaded."""

SHARES = {
    name: 0.6 if name == "large" else 0.4 / (len(fleets.CUSTOMERS) - 1)
    for name in fleets.CUSTOMERS
}


def capacity_per_s():
    """Return the requests per second that the engines can run."""
    blocks = (1024 + 128) // 64
    prefill_s = blocks * (1 - HIT_SHARE) * PREFILL_MISS_S
    return ENGINES * BATCH / (TOKENS * TOKEN_S + prefill_s)


def _samples(raw):
    return [loads.Sample(**item) for item in raw]


async def phase(fleet, rate_per_s, seconds, seed):
    """Run one load and return its samples."""
    plan = loads.Plan(
        urls=fleet.entries,
        keys=fleet.keys,
        shares=SHARES,
        rate_per_s=rate_per_s / 2,
        seconds=seconds,
        prefixes=48,
        tokens=TOKENS,
        seed=seed,
    )
    plans = [plan, attrs.evolve(plan, seed=seed + 1000)]
    return _samples(await fleets.load(fleet, plans))


async def run_router(router, factors, seconds):
    """Return the figures of one router at each load, {factor: dict}."""
    figures = {}
    async with fleets.open_fleet(
        router, ENGINES, limit=BATCH, flags=ENGINE_FLAGS
    ) as fleet:
        await phase(fleet, capacity_per_s() / 2, 4, 99)
        for number, factor in enumerate(factors):
            before = await fleets.engine_stats(fleet)
            samples = await phase(fleet, factor * capacity_per_s(), seconds, number)
            hit, missed = (
                now - then
                for now, then in zip(
                    await fleets.engine_stats(fleet), before, strict=True
                )
            )
            found = loads.summary(samples, seconds)
            found["hit_share"] = hit / max(1, hit + missed)
            small = [s for s in samples if s.customer != "large"]
            found["small_whole"] = sum(s.whole for s in small)
            found["small_sent"] = len(small)
            found["small_p95_s"] = loads.quantile(
                [s.total_s for s in small if s.whole], 0.95
            )
            found["small_first_p95_s"] = loads.quantile(
                [s.first_s for s in small if s.whole], 0.95
            )
            figures[factor] = found
            _print_row(router, factor, found)
    return figures


def _print_row(router, factor, found):
    def ms(name):
        value = found[name]
        return "-" if value is None else f"{value * 1000:.1f}"

    print(
        f"{router:16} {factor:4} sent {found['sent']:5} whole {found['whole']:5} "
        f"goodput {found['goodput_per_s']:6.1f}/s first p50 {ms('first_p50_s')} "
        f"p95 {ms('first_p95_s')} gap p95 {ms('gap_p95_s')} ms "
        f"hits {found['hit_share']:.2f} small first p95 {ms('small_first_p95_s')} "
        f"total p95 {ms('small_p95_s')} "
        f"({found['small_whole']}/{found['small_sent']}) broken {found['broken']} "
        f"other {found['other']}",
        flush=True,
    )


async def _median_first_s(urls, fleet, model, count=150):
    plan = loads.Plan(
        urls=urls,
        keys=fleet.keys,
        shares={"small-1": 1.0},
        rate_per_s=25,
        seconds=count / 25,
        prefixes=1,
        prefix_chars=64,
        tail_chars=1,
        tokens=10,
        model=model,
        seed=5,
    )
    samples = [s for s in _samples(await fleets.load(fleet, [plan])) if s.whole]
    first = statistics.median(s.first_s for s in samples)
    total = statistics.median(s.total_s for s in samples)
    return first, total


async def overhead():
    """Return the latency that entry and agent add, in seconds."""
    flags = ("--token-s", "0.005", "--prefill-miss-s", "0")
    async with fleets.open_fleet(engines=1, entries=1, flags=flags) as fleet:
        direct = await _median_first_s(fleet.engines, fleet, "salahkar:v1")
        through = await _median_first_s(fleet.entries, fleet, "salahkar")
    per_token_s = (through[1] - through[0] - direct[1] + direct[0]) / 9
    return {
        "added_first_ms": 1000 * (through[0] - direct[0]),
        "added_total_ms": 1000 * (through[1] - direct[1]),
        "added_per_token_ms": 1000 * per_token_s,
    }


async def forwarding(seconds):
    """Return tokens per second of a saturated entry, and of the libraries alone.

    An entry is fed by agents without a backend server, the proxy of the libraries by
    plain streams. The load is raised until the process uses a whole core.
    """
    found = {}
    async with fleets.open_fleet(engines=0, entries=1, limit=2000) as fleet:
        host = f"{fleet.base}.90"
        source = ["bench.plain_proxy", [f"{host}:7003"]]
        fleets.spawn(fleet, "source", *source)
        proxy = fleets.spawn(
            fleet, "proxy", "bench.plain_proxy", [f"{host}:7002", f"http://{host}:7003"]
        )
        for num in range(2):
            argv = [f"fake-{num}", f"{fleet.base}.1:7000"]
            fleets.spawn(fleet, f"fake-{num}", "bench.fake_agent", argv)
        await anyio.sleep(3)
        cases = [
            ("libraries", proxy, [f"http://{host}:7002"], (10, 20, 40)),
            ("entry", fleet.processes["entry-1"], fleet.entries, (20, 40, 80, 120)),
        ]
        for name, process, urls, rates in cases:
            steps = []
            for rate_per_s in rates:
                steps.append(await _forward(fleet, process, urls, rate_per_s, seconds))
                print(f"forwarding by {name}: {steps[-1]}", flush=True)
                if steps[-1]["cores"] > 0.95:
                    break
            found[name] = max(steps, key=lambda step: step["tokens_per_core_s"])
            found[f"{name}_steps"] = steps
    return found


async def _forward(fleet, process, urls, rate_per_s, seconds):
    plan = loads.Plan(
        urls=urls,
        keys=fleet.keys,
        shares=dict.fromkeys(fleets.CUSTOMERS, 1.0),
        rate_per_s=rate_per_s / 3,
        seconds=seconds,
        prefixes=64,
        prefix_chars=64,
        tail_chars=64,
        seed=3,
    )
    plans = [attrs.evolve(plan, seed=seed) for seed in (3, 4, 5)]
    before, began = fleets.cpu_s(process), anyio.current_time()
    samples = _samples(await fleets.load(fleet, plans))
    used_s = fleets.cpu_s(process) - before
    result = loads.summary(samples, seconds)
    return {
        "offered_tokens_per_s": rate_per_s * 200,
        "tokens_per_core_s": result["tokens"] / max(used_s, 1e-9),
        "cores": used_s / (anyio.current_time() - began),
        "whole": result["whole"],
        "sent": result["sent"],
        "gap_p95_ms": 1000 * (result["gap_p95_s"] or 0),
    }


async def while_weights_arrive(seconds):
    """Return the figures of half load while a new version is rolled out."""
    async with fleets.open_fleet(
        "carobstand", ENGINES, limit=BATCH, flags=ENGINE_FLAGS
    ) as fleet:
        quiet = loads.summary(
            await phase(fleet, capacity_per_s() / 2, seconds, 20), seconds
        )
        await fleets.publish(fleet, "v2", mib=32)

        async def change():
            await anyio.sleep(seconds / 4)
            await fleets.set_weights(fleet, {"v2": 1.0})

        async with anyio.create_task_group() as tg:
            tg.start_soon(change)
            samples = await phase(fleet, capacity_per_s() / 2, seconds, 20)
        changed = loads.summary(samples, seconds)
        await fleets.until_serving(fleet, "v2")
    return {"quiet": quiet, "changing": changed}


def verdicts(result):
    """Return {target: whether it is met}."""
    own = result["routers"]["carobstand"]
    others = [
        found for name, found in result["routers"].items() if name != "carobstand"
    ]
    checks = {
        "goodput_at_2x": own[2.0]["goodput_per_s"] >= 0.95 * own[1.0]["goodput_per_s"],
        "small_p95": own[2.0]["small_p95_s"] <= 1.2 * own[0.1]["small_p95_s"],
        "first_token": own[1.0]["first_p95_s"] <= 1.2,
        "token_gap": own[1.0]["gap_p95_s"] <= 0.028,
    }
    if others:
        checks["hits_better"] = all(
            own[1.0]["hit_share"] > other[1.0]["hit_share"] for other in others
        )
        checks["first_token_better"] = all(
            own[1.0]["first_p95_s"] < other[1.0]["first_p95_s"] for other in others
        )
    if "overhead" in result:
        checks["added_latency"] = result["overhead"]["added_first_ms"] < 5
    if "forwarding" in result:
        rate = result["forwarding"]["entry"]["tokens_per_core_s"]
        checks["forwarding"] = rate >= 20_000
    return checks


async def run(routers, parts, factors, seconds):
    """Run the chosen parts and return the result."""
    result = {"bench": "requests", "capacity_per_s": capacity_per_s(), "routers": {}}
    if "routers" in parts:
        for router in routers:
            result["routers"][router] = await run_router(router, factors, seconds)
    if "overhead" in parts:
        result["overhead"] = await overhead()
        print(f"overhead: {result['overhead']}", flush=True)
    if "forwarding" in parts:
        result["forwarding"] = await forwarding(min(seconds, 8))
    if "weights" in parts:
        result["weights"] = await while_weights_arrive(seconds)
        print(f"while weights arrive: {result['weights']}", flush=True)
    if "carobstand" in result["routers"] and set(FACTORS) <= set(factors):
        result["met"] = verdicts(result)
    return result


def main(
    *,
    routers: str = "carobstand,least-in-flight,round-robin",
    parts: str = "routers,overhead,forwarding,weights",
    factors: str = ",".join(map(str, FACTORS)),
    seconds: float = 10.0,
):
    """Run the bench; the last line is its result as JSON.

    Parameters
    ----------
    routers : str
        Routers to compare, separated by commas.
    parts : str
        Any of routers, overhead, forwarding and weights.
    factors : str
        Loads as shares of the capacity, separated by commas.
    seconds : float
        Length of each load.
    """
    shares = [float(part) for part in factors.split(",")]
    result = anyio.run(run, routers.split(","), parts.split(","), shares, seconds)
    print(json.dumps(result))
    sys.exit(0)


if __name__ == "__main__":
    defopt.run(main)
