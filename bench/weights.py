"""Bench of the distribution of weights: real agent processes against two baselines.

Each run starts N agents with an engine stand-in each, puts a version in force and
measures until every engine serves it. The product's own limits keep the link rates: in
a window T the origin transmits 4 copies and a VM 2 in each direction. Relays add delay,
loss and the shared rate of the links between regions.

Usage: python -m bench.weights [--sizes 8,24,96] [--policies time,bytes] [--faults]
"""

import argparse
import json
import pathlib
import random
import shutil
import sys

import anyio
import attrs
import httpx

from bench import weights_fleet as fleets

BASELINE_SHARE = 8
"""Baselines use 1/8 of the size and of the window T, so at the same rates: with all
copies from the origin N = 96 takes 48 times T/2. Their ratios to T/2 do not depend on
the size."""

TIMEOUT_FACTOR = 6
"""Multiple of T/2 after which a run of the swarm has failed."""


@attrs.frozen
class Run:
    """Parameters of one run.

    `layout` is ``swarm`` or a baseline: ``origin`` (every VM fetches from the origin)
    or ``chain`` (every VM fetches from the VM before it).
    """

    n: int
    policy: str = "time"
    layout: str = "swarm"
    chunk_count: int = 128
    chunk_bytes: int = 64 * 1024
    window_s: float = 80.0
    region_copies: float = 4.0
    faults: bool = False
    seed: int = 1

    @property
    def domains(self):
        """Pairs of failure domain and region, assigned to the VMs round-robin."""
        return fleets.DOMAINS if self.layout == "swarm" else fleets.ONE_DOMAIN

    @property
    def copy_bytes(self):
        """Size of the weights in bytes."""
        return self.chunk_count * self.chunk_bytes

    @property
    def region_rate(self):
        """Rate of the link of a region in each direction, in bytes/s."""
        return self.region_copies * self.copy_bytes / self.window_s


async def measure(run):
    """Run one rollout and return its figures as a dict."""
    fleet = fleets.new_fleet(run, random.Random(run.seed))
    try:
        async with anyio.create_task_group() as tg:
            await fleets.start(fleet, tg)
            fleets.roll_out(fleet)
            if run.faults:
                await inject_faults(fleet, tg)
            await _wait_until_serving(fleet)
            await anyio.sleep(2.5)
            measured = await figures(fleet)
            tg.cancel_scope.cancel()
    finally:
        fleets.stop(fleet)
    shutil.rmtree(fleet.directory)
    return measured


async def _wait_until_serving(fleet):
    run = fleet.cfg
    factor = TIMEOUT_FACTOR if run.layout == "swarm" else max(TIMEOUT_FACTOR, run.n)
    with anyio.move_on_after(factor * run.window_s / 2 + 10):
        while any(a.alive and a.served_at is None for a in fleet.agents.values()):
            await anyio.sleep(0.05)


async def figures(fleet):
    """Return the measured quantities of a rollout as a dict; times are in T/2."""
    run = fleet.cfg
    half_window_s = run.window_s / 2
    live = [agent for agent in fleet.agents.values() if agent.alive]
    served = sorted(
        agent.served_at - fleet.started_at for agent in live if agent.served_at
    )
    verified = [a.verified_at - fleet.started_at for a in live if a.verified_at]
    elapsed = served[-1] if served else 1.0
    async with httpx.AsyncClient(base_url=fleet.origin_url) as client:
        stats = (await client.get("/standin/stats")).json()
    traffic = [read_traffic(fleet, agent.location.vm) for agent in live]
    control_bytes = [item["bytes_sent"] - item["chunk_bytes_sent"] for item in traffic]
    cpu = [fleets.cpu_s(a.process.pid) - a.cpu_before_s for a in live]
    return {
        "n": run.n,
        "policy": run.policy,
        "layout": run.layout,
        "faults": run.faults,
        "live": len(live),
        "serving": len(served),
        "time_to_n": _ratio(served[-1], half_window_s)
        if len(served) == len(live)
        else None,
        "time_verified": _ratio(max(verified, default=0), half_window_s),
        "median": _ratio(served[len(served) // 2], half_window_s) if served else None,
        "origin_copies": _ratio(stats["sent_bytes"].get("chunk", 0), run.copy_bytes),
        "region_copies": {
            region: _ratio(link.sent_bytes, run.copy_bytes)
            for (region, way), link in sorted(fleet.links.regions.items())
            if way == "in" and run.layout == "swarm"
        },
        "wasted_copies": _ratio(
            sum(item["wasted_bytes"] for item in traffic), run.copy_bytes
        ),
        "corrupted_chunks": sum(item["corrupted_chunks"] for item in traffic),
        "control_bytes_s": round(sum(control_bytes) / len(live) / elapsed),
        "connections": round(sum(i["connections"] for i in traffic) / len(live), 1),
        "cpu_per_agent": round(sum(cpu) / len(live) / elapsed, 4),
        "curve": [_ratio(item, half_window_s) for item in served],
    }


def _ratio(value, unit):
    return round(value / unit, 3)


def read_traffic(fleet, vm):
    """Return the last traffic event in the log of an agent."""
    fields = ("bytes_sent", "chunk_bytes_sent", "wasted_bytes", "corrupted_chunks")
    last_event = dict.fromkeys((*fields, "connections"), 0)
    log = fleet.directory / f"{vm}.log"
    for line in log.read_text().splitlines() if log.exists() else ():
        if '"weights.traffic"' in line:
            last_event = json.loads(line)
    return last_event


async def inject_faults(fleet, tg):
    """Inject the faults under which the design's target must be met.

    5% of the VMs fail, 1% of the chunks are corrupted, one link in ten stalls and the
    origin is unavailable for a fifth of the window T. There is no store.
    """
    run = fleet.cfg
    rng = random.Random(f"faults {run.seed}")
    names = list(fleet.agents)
    # Relays corrupt pieces of 16 KiB; a chunk is 4 of them.
    fleet.links.corrupt = 0.01 / (run.chunk_bytes / (16 * 1024))
    pairs = list(fleet.relays)
    for pair in rng.sample(pairs, len(pairs) // 10):
        start = fleet.started_at + rng.uniform(0, run.window_s / 2)
        tg.start_soon(_stall, fleet, pair, start, run.window_s / 4)
    tg.start_soon(_stop_origin, fleet, rng.uniform(0.0, 0.2) * run.window_s)
    for vm in rng.sample(names, max(1, round(0.05 * run.n))):
        tg.start_soon(_kill, fleet, vm, rng.uniform(0.1, 0.4) * run.window_s)
    async with httpx.AsyncClient(base_url=fleet.origin_url) as client:
        await _set_faults(client, corrupt_share=0.01)


async def _stall(fleet, pair, start, length_s):
    await anyio.sleep(max(0.0, start - anyio.current_time()))
    fleet.links.stalled[pair] = anyio.current_time() + length_s


async def _stop_origin(fleet, after_s):
    await anyio.sleep(after_s)
    async with httpx.AsyncClient(base_url=fleet.origin_url) as client:
        await _set_faults(client, down=True)
        await anyio.sleep(fleet.cfg.window_s / 5)
        await _set_faults(client, down=False)


async def _set_faults(client, **switches):
    response = await client.post("/standin/faults", json=switches)
    response.raise_for_status()


async def _kill(fleet, vm, after_s):
    await anyio.sleep(after_s)
    agent = fleet.agents[vm]
    agent.alive = False
    agent.process.kill()


def slopes(results):
    """Return the growth of `time_to_n` from N = 8 and N = 24 to N = 96, per policy."""
    growths = {}
    for policy in ("time", "bytes"):
        times = {
            item["n"]: item["time_to_n"]
            for item in results
            if item["layout"] == "swarm" and item["policy"] == policy
            if item["time_to_n"] and not item["faults"]
        }
        for low, high in ((8, 96), (24, 96)):
            if low in times and high in times:
                growth = times[high] / times[low] - 1
                growths[f"{policy} {low} to {high}"] = round(growth, 3)
    return growths


def print_table(results):
    """Print one line per run."""
    names = (
        "layout",
        "policy",
        "faults",
        "n",
        "serving",
        "time_to_n",
        "time_verified",
        "origin_copies",
        "wasted_copies",
        "control_bytes_s",
        "connections",
        "cpu_per_agent",
    )
    print(" ".join(f"{name:>15}" for name in names), "region_copies")
    for item in results:
        cells = " ".join(f"{item[name]!s:>15}" for name in names)
        print(cells, item["region_copies"], flush=True)


def plot(results, path):
    """Draw the share of replicas that serve over time as an SVG file."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for item in results:
        times = [0.0, *item["curve"]]
        shares = [count / item["live"] for count in range(len(times))]
        style = "-" if item["layout"] == "swarm" else ":"
        faults = ", faults" if item["faults"] else ""
        name = item["layout"] if item["layout"] != "swarm" else item["policy"]
        axes.step(
            times, shares, style, where="post", label=f"{name}, N = {item['n']}{faults}"
        )
    axes.set_xscale("log")
    axes.set_xlabel("time as a multiple of T/2")
    axes.set_ylabel("share of replicas that serve")
    axes.grid(alpha=0.3)
    axes.legend(fontsize=7)
    figure.savefig(path, bbox_inches="tight")


def requested_runs(args):
    """Return the runs that the arguments ask for."""
    sizes = [int(text) for text in args.sizes.split(",")]
    runs = []
    for n in sizes:
        for policy in args.policies.split(","):
            shape = {"n": n, "policy": policy, "seed": args.seed}
            shape["window_s"] = args.window
            if not args.only_faults:
                runs.append(Run(**shape))
            if args.faults or args.only_faults:
                runs.append(Run(**shape, faults=True))
        for layout in ("origin", "chain") if args.baselines else ():
            runs.append(
                Run(
                    n=n,
                    layout=layout,
                    chunk_count=128 // BASELINE_SHARE,
                    window_s=args.window / BASELINE_SHARE,
                    seed=args.seed,
                )
            )
    return runs


def main(argv):
    """Run the bench and print a table and one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", default="8,24,96")
    parser.add_argument("--policies", default="time,bytes")
    parser.add_argument("--window", type=float, default=80.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", action="store_true")
    parser.add_argument("--only-faults", action="store_true")
    parser.add_argument("--no-baselines", dest="baselines", action="store_false")
    parser.add_argument("--plot", default="build/bench-weights.svg")
    args = parser.parse_args(argv)
    results = []
    for run in requested_runs(args):
        results.append(anyio.run(measure, run))
        print_table(results[-1:])
    pathlib.Path(args.plot).parent.mkdir(parents=True, exist_ok=True)
    plot(results, args.plot)
    print_table(results)
    summary = {"bench": "weights", "window_s": args.window, "slopes": slopes(results)}
    summary["runs"] = [
        {key: value for key, value in item.items() if key != "curve"}
        for item in results
    ]
    print(json.dumps(summary))
    return 0 if all(item["time_to_n"] for item in results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
