"""Bench of requests: goodput, latency, prefix hits, overhead and forwarding rate.

Starts stand-ins, entries and agents as processes. The load is open-loop, with skewed
customers and shared prefixes; each router is measured with the same load on its own
fleet.
"""

import json
import statistics
import sys

import anyio
import attrs
import defopt

from bench import request_fleet as fleets
from bench import request_load as loads

ENGINE_COUNT = 4

BATCH_LIMIT = 16
"""Requests that an engine runs at the same time."""

TOKENS = 20
"""Tokens per response."""

TOKEN_S = 0.022
"""Time per token."""

PREFILL_MISS_S = 0.004
"""Prefill time per uncached block of 64 characters; a prompt has 18 blocks."""

CACHE_BLOCKS = 288
"""Capacity for about 16 prompts per engine; the load has 48 shared prefixes."""

ENGINE_FLAGS = (
    "--token-s",
    str(TOKEN_S),
    "--prefill-miss-s",
    str(PREFILL_MISS_S),
    "--cache-blocks",
    str(CACHE_BLOCKS),
)

ASSUMED_HIT_SHARE = 0.6
"""Prefix hit rate assumed by `capacity_per_s`, the same for all routers."""

LOAD_FACTORS = (0.1, 0.5, 1.0, 2.0)
"""Load as a share of the capacity; the first one is the unloaded reference."""

CUSTOMER_SHARES = {
    name: 0.6 if name == "large" else 0.4 / (len(fleets.CUSTOMERS) - 1)
    for name in fleets.CUSTOMERS
}


def capacity_per_s():
    """Return the requests per second that the engines can run."""
    blocks = (1024 + 128) // 64
    prefill_s = blocks * (1 - ASSUMED_HIT_SHARE) * PREFILL_MISS_S
    return ENGINE_COUNT * BATCH_LIMIT / (TOKENS * TOKEN_S + prefill_s)


def _samples(raw):
    return [loads.Sample(**item) for item in raw]


async def run_phase(fleet, rate_per_s, seconds, seed):
    """Run one load, split over two load processes, and return its samples."""
    plan = loads.Plan(
        urls=fleet.entries,
        keys=fleet.keys,
        shares=CUSTOMER_SHARES,
        rate_per_s=rate_per_s / 2,
        seconds=seconds,
        prefixes=48,
        tokens=TOKENS,
        seed=seed,
    )
    plans = [plan, attrs.evolve(plan, seed=seed + 1000)]
    return _samples(await fleets.run_load(fleet, plans))


async def run_router(router, factors, seconds):
    """Measure one router at each load; return {factor: results}."""
    figures = {}
    async with fleets.open_fleet(
        router, ENGINE_COUNT, limit=BATCH_LIMIT, flags=ENGINE_FLAGS
    ) as fleet:
        await run_phase(fleet, capacity_per_s() / 2, 4, 99)
        for number, factor in enumerate(factors):
            stats_before = await fleets.engine_stats(fleet)
            samples = await run_phase(fleet, factor * capacity_per_s(), seconds, number)
            hit, missed = (
                now - then
                for now, then in zip(
                    await fleets.engine_stats(fleet), stats_before, strict=True
                )
            )
            summary = loads.summarize(samples, seconds)
            summary["hit_share"] = hit / max(1, hit + missed)
            small = [s for s in samples if s.customer != "large"]
            summary["small_whole"] = sum(s.whole for s in small)
            summary["small_sent"] = len(small)
            summary["small_p95_s"] = loads.quantile(
                [s.total_s for s in small if s.whole], 0.95
            )
            summary["small_first_p95_s"] = loads.quantile(
                [s.first_s for s in small if s.whole], 0.95
            )
            figures[factor] = summary
            _print_row(router, factor, summary)
    return figures


def _print_row(router, factor, figures):
    def format_ms(name):
        value = figures[name]
        return "-" if value is None else f"{value * 1000:.1f}"

    print(
        f"{router:16} {factor:4} sent {figures['sent']:5} whole {figures['whole']:5} "
        f"goodput {figures['goodput_per_s']:6.1f}/s "
        f"first p50 {format_ms('first_p50_s')} p95 {format_ms('first_p95_s')} "
        f"gap p95 {format_ms('gap_p95_s')} ms hits {figures['hit_share']:.2f} "
        f"small first p95 {format_ms('small_first_p95_s')} "
        f"total p95 {format_ms('small_p95_s')} "
        f"({figures['small_whole']}/{figures['small_sent']}) "
        f"broken {figures['broken']} other {figures['other']}",
        flush=True,
    )


async def _median_latencies_s(urls, fleet, model, count=150):
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
    samples = [s for s in _samples(await fleets.run_load(fleet, [plan])) if s.whole]
    first = statistics.median(s.first_s for s in samples)
    total = statistics.median(s.total_s for s in samples)
    return first, total


async def measure_overhead():
    """Return the latency that entry and agent add to an engine, in milliseconds."""
    flags = ("--token-s", "0.005", "--prefill-miss-s", "0")
    async with fleets.open_fleet(engines=1, entries=1, flags=flags) as fleet:
        direct = await _median_latencies_s(fleet.engines, fleet, "salahkar:v1")
        via_entry = await _median_latencies_s(fleet.entries, fleet, "salahkar")
    per_token_s = (via_entry[1] - via_entry[0] - direct[1] + direct[0]) / 9
    return {
        "added_first_ms": 1000 * (via_entry[0] - direct[0]),
        "added_total_ms": 1000 * (via_entry[1] - direct[1]),
        "added_per_token_ms": 1000 * per_token_s,
    }


async def measure_forwarding(seconds):
    """Return the tokens per core second of a saturated entry and of a plain proxy.

    The plain proxy uses only the HTTP libraries and is the baseline. The entry is fed
    by fake agents without a backend server, the proxy by plain HTTP streams. The load
    is raised until the process uses more than 95% of a core.
    """
    results = {}
    async with fleets.open_fleet(engines=0, entries=1, limit=2000) as fleet:
        host = f"{fleet.base}.90"
        source_args = ["bench.plain_proxy", [f"{host}:7003"]]
        fleets.spawn(fleet, "source", *source_args)
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
                steps.append(
                    await _forward_at_rate(fleet, process, urls, rate_per_s, seconds)
                )
                print(f"forwarding by {name}: {steps[-1]}", flush=True)
                if steps[-1]["cores"] > 0.95:
                    break
            results[name] = max(steps, key=lambda step: step["tokens_per_core_s"])
            results[f"{name}_steps"] = steps
    return results


async def _forward_at_rate(fleet, process, urls, rate_per_s, seconds):
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
    cpu_before_s, started_at = fleets.cpu_s(process), anyio.current_time()
    samples = _samples(await fleets.run_load(fleet, plans))
    cpu_used_s = fleets.cpu_s(process) - cpu_before_s
    result = loads.summarize(samples, seconds)
    return {
        "offered_tokens_per_s": rate_per_s * 200,
        "tokens_per_core_s": result["tokens"] / max(cpu_used_s, 1e-9),
        "cores": cpu_used_s / (anyio.current_time() - started_at),
        "whole": result["whole"],
        "sent": result["sent"],
        "gap_p95_ms": 1000 * (result["gap_p95_s"] or 0),
    }


async def measure_during_rollout(seconds):
    """Measure half load without changes and while a new version is rolled out."""
    async with fleets.open_fleet(
        "carobstand", ENGINE_COUNT, limit=BATCH_LIMIT, flags=ENGINE_FLAGS
    ) as fleet:
        baseline = loads.summarize(
            await run_phase(fleet, capacity_per_s() / 2, seconds, 20), seconds
        )
        await fleets.publish(fleet, "v2", mib=32)

        async def start_rollout():
            await anyio.sleep(seconds / 4)
            await fleets.set_weights(fleet, {"v2": 1.0})

        async with anyio.create_task_group() as tg:
            tg.start_soon(start_rollout)
            samples = await run_phase(fleet, capacity_per_s() / 2, seconds, 20)
        during_rollout = loads.summarize(samples, seconds)
        await fleets.wait_until_serving(fleet, "v2")
    return {"quiet": baseline, "changing": during_rollout}


def check_targets(result):
    """Return which targets are met, {target: bool}."""
    carobstand = result["routers"]["carobstand"]
    others = [
        figures for name, figures in result["routers"].items() if name != "carobstand"
    ]
    checks = {
        "goodput_at_2x": carobstand[2.0]["goodput_per_s"]
        >= 0.95 * carobstand[1.0]["goodput_per_s"],
        "small_p95": carobstand[2.0]["small_p95_s"]
        <= 1.2 * carobstand[0.1]["small_p95_s"],
        "first_token": carobstand[1.0]["first_p95_s"] <= 1.2,
        "token_gap": carobstand[1.0]["gap_p95_s"] <= 0.028,
    }
    if others:
        checks["hits_better"] = all(
            carobstand[1.0]["hit_share"] > other[1.0]["hit_share"] for other in others
        )
        checks["first_token_better"] = all(
            carobstand[1.0]["first_p95_s"] < other[1.0]["first_p95_s"]
            for other in others
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
        result["overhead"] = await measure_overhead()
        print(f"overhead: {result['overhead']}", flush=True)
    if "forwarding" in parts:
        result["forwarding"] = await measure_forwarding(min(seconds, 8))
    if "weights" in parts:
        result["weights"] = await measure_during_rollout(seconds)
        print(f"while weights arrive: {result['weights']}", flush=True)
    if "carobstand" in result["routers"] and set(LOAD_FACTORS) <= set(factors):
        result["met"] = check_targets(result)
    return result


def main(
    *,
    routers: str = "carobstand,least-in-flight,round-robin",
    parts: str = "routers,overhead,forwarding,weights",
    factors: str = ",".join(map(str, LOAD_FACTORS)),
    seconds: float = 10.0,
):
    """Run the bench; the last line is its result as JSON.

    Parameters
    ----------
    routers : str
        Routers to compare, separated by commas.
    parts : str
        Any of routers, measure_overhead, measure_forwarding and weights.
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
