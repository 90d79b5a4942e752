"""carobstand-local: a demo rollout under traffic, in one process."""

import contextlib
import hashlib
import os
import pathlib
import random
import sys
import tempfile
import time

import anyio
import attrs
import httpx
import rich.box
import rich.console
import rich.progress
import rich.table

from carobstand import errors, local_fleet, local_traffic, logs, runtime, settings
from carobstand.cli import edits, publish
from carobstand.core import manifest as manifests
from carobstand.core import table
from carobstand.platform import http
from carobstand.platform import origin as origins
from carobstand.platform import store as stores
from carobstand.standin import plain

MIB = 1024 * 1024

FIRST_BYTES = 8 * MIB
"""Size of the weights that are served before the rollout."""

SEEDED_FILE_BYTES = 8 * MIB
"""Size of a generated file; engines read several files concurrently."""

MEMORY_LIMIT_BYTES = 8 * 1024 * MIB
"""Limit of the memory for weights of all VMs together on this machine."""

FLEET_BYTES_PER_S = 60e6
"""Bytes per second that one process forwards, verifies and loads in total.

It is below the throughput of a current core, so that the link limits and not the CPU
determine the duration of the rollout.
"""

MIN_WINDOW_S = 4.0
"""Minimum of the window T, in which the origin sends 4 copies and a VM link 2."""

CLIENTS = 5
START_TIMEOUT_S = 30.0
WARM_UP_S = 1.0
"""Duration of the traffic before and after the rollout."""

STOP_TIMEOUT_S = 15.0
EXIT_INTERRUPTED = 130
PROGRESS_INTERVAL_S = 1.0
"""Time between progress lines if the output is not a terminal."""


@attrs.define
class Report:
    """Results of a run; `problems` lists everything that is wrong.

    `min_transfer_s` is the time in which a VM link carries one copy, `origin_bytes` the
    bytes that each VM fetched from the origin, and `intact` whether the weights of each
    VM equal the source.
    """

    bytes_total: int = 0
    window_s: float = 0.0
    min_transfer_s: float = 0.0
    seconds: dict = attrs.field(factory=dict)
    origin_bytes: dict = attrs.field(factory=dict)
    origin_sent: int = 0
    intact: dict = attrs.field(factory=dict)
    counters: object = attrs.field(factory=local_traffic.RequestCounters)
    problems: list = attrs.field(factory=list)


@attrs.frozen
class Source:
    """Weights to roll out: SHA-256 of each file by path, their root and total size."""

    root: pathlib.Path
    files: dict
    size_bytes: int


def read_source(root):
    """Return the `Source` of a file or directory.

    Raises
    ------
    WeightsError
        If there are no files or one cannot be read.
    """
    files, size = {}, 0
    for name, path in publish.list_files(root):
        try:
            with path.open("rb") as file:
                files[name] = hashlib.file_digest(file, "sha256").hexdigest()
                size += file.tell()
        except OSError as exc:
            raise errors.WeightsError(
                f"cannot read: {exc.strerror}", step="local.source", peer=str(path)
            ) from exc
    return Source(pathlib.Path(root), files, size)


def window_s(size_bytes, agents):
    """Return the window T, in seconds, for `size_bytes` of weights on `agents` VMs."""
    return max(MIN_WINDOW_S, 2 * agents * size_bytes / FLEET_BYTES_PER_S)


def table_rows(fleet, versions, rates):
    """Return the table rows of the fleet.

    `versions` maps each version to (manifest digest, traffic weight).
    """
    key = hashlib.sha256(local_traffic.CUSTOMER_KEY.encode()).hexdigest()
    service = local_fleet.SERVICE
    lines = [
        {"kind": "service", "name": service, "type": "engine", "policy": "time"}
        | {"max_in_flight": 32, "max_queue": 1000, "max_out": 0.34},
        {"kind": "service", "name": local_fleet.PLAIN_SERVICE, "type": "plain"}
        | {"max_in_flight": 32, "max_queue": 1000}
        | {"non_idempotent": "POST /orders"},
        {"kind": "customer", "name": "kutch-clinic", "weight": 1, "key_sha256": key},
    ]
    for name, (digest, weight) in versions.items():
        cells = {"manifest": digest, "weight": weight, "copies": "all"}
        lines.append({"kind": "version", "name": name, "service": service, **cells})
    for group in (fleet.agents, fleet.plain_agents):
        for vm, cfg in group.items():
            cells = {"service": cfg.services[0], "weight": 1}
            lines.append({"kind": "backend", "name": vm, **cells})
    for name, rate in rates.items():
        lines.append({"kind": "link", "name": name, "bytes_per_s": int(rate)})
    header = table.row_module.COLUMNS
    text = [",".join(header)]
    text += [",".join(str(line.get(column, "")) for column in header) for line in lines]
    return table.parse_csv("\n".join(text).encode(), "local table")


async def accept(store, rows, summary):
    """Replace the table in the store by `rows`."""
    _, base = await edits.read(store)
    author = edits.Author("carobstand-local", time.time(), os.urandom(8).hex())
    await edits.accept(store, base, rows, author, summary)


@contextlib.asynccontextmanager
async def _clients(fleet):
    store = stores.http_store(fleet.url("store"))
    origin = origins.http_origin(fleet.url("origin"))
    try:
        yield store, origin
    finally:
        await store.close()
        await origin.close()


async def run_demo(cfg, source, console, report):
    """Run the fleet, roll out `source` under traffic and fill in `report`.

    Parameters
    ----------
    cfg : settings.LocalSettings
    source : Source
    console : rich.console.Console
    report : Report
    """
    size = source.size_bytes
    report.bytes_total = size
    # The first version is distributed over the same links.
    largest = max(size, FIRST_BYTES)
    report.window_s = window_s(largest, cfg.agents)
    vm_rate = 2 * largest / report.window_s
    rates = {"origin": 2 * vm_rate, "vm": vm_rate, "region": vm_rate}
    report.min_transfer_s = size / vm_rate
    memory = 2 * (size + FIRST_BYTES) + 64 * MIB
    fleet = local_fleet.build(cfg.agents, memory, cfg.seed)
    fleet.origin.bytes_per_s = rates["origin"]
    console.print(
        f"{cfg.agents} VMs with engines, {len(fleet.entries)} entries; weights of "
        f"{size / MIB:.1f} MiB in {len(source.files)} files; the origin sends "
        f"{rates['origin'] / MIB:.1f} MiB/s, each VM {rates['vm'] / MIB:.1f} MiB/s"
    )
    async with anyio.create_task_group() as tg:
        await local_fleet.start(fleet, tg)
        async with _clients(fleet) as (store, origin):
            await _roll_out(cfg, source, console, report, fleet, store, origin, rates)
        timed_out = await local_fleet.stop(fleet, STOP_TIMEOUT_S)
        report.problems += [f"{vm} did not stop in time" for vm in timed_out]
        tg.cancel_scope.cancel()


async def _roll_out(cfg, source, console, report, fleet, store, origin, rates):
    first_data = random.Random(cfg.seed + 1).randbytes(FIRST_BYTES)
    manifest, chunks = manifests.build([("first.bin", first_data)])
    encoded = manifests.encode(manifest)
    old_digest = manifests.digest_of(encoded)
    for digest, data in chunks.items():
        await origin.publish_chunk(digest, data)
    await origin.publish_manifest(old_digest, encoded)
    new_digest = await publish.publish(origin, source.root)
    await accept(store, table_rows(fleet, {"v1": (old_digest, 1)}, rates), "serve v1")
    await local_fleet.wait_serving(fleet, old_digest, START_TIMEOUT_S, lambda *_: None)
    console.print(f"v1 ({FIRST_BYTES // MIB} MiB) is served; traffic starts")
    stop = anyio.Event()
    entries = [entry.http_listen for entry in fleet.entries.values()]
    digests_by_version = {"v1": old_digest, "v2": new_digest}
    async with anyio.create_task_group() as tg:
        tg.start_soon(
            local_traffic.run,
            report.counters,
            entries,
            local_fleet.SERVICE,
            digests_by_version,
            stop,
            cfg.seed,
            CLIENTS,
        )
        tg.start_soon(
            local_traffic.run_orders,
            report.counters,
            entries,
            local_fleet.PLAIN_SERVICE,
            stop,
        )
        try:
            await anyio.sleep(WARM_UP_S)
            sent_before = fleet.origin.sent_bytes["chunk"]
            rows = table_rows(
                fleet, {"v1": (old_digest, 0), "v2": (new_digest, 1)}, rates
            )
            await accept(store, rows, "move all traffic from v1 to v2")
            console.print("table changed: all traffic moves from v1 to v2")
            with _progress(fleet, source, console) as on_progress:
                report.seconds = await local_fleet.wait_serving(
                    fleet,
                    new_digest,
                    START_TIMEOUT_S + 4 * report.window_s,
                    on_progress,
                )
            await anyio.sleep(WARM_UP_S)
        finally:
            stop.set()
            report.origin_sent = fleet.origin.sent_bytes["chunk"] - sent_before
    await _check_results(source, report, fleet, new_digest)


async def _check_results(source, report, fleet, manifest):
    """Compare the weights on every VM with the source, and check the counters."""
    async with http.client("", local_fleet.STATUS_TIMEOUT_S) as client:
        statuses = await local_fleet.statuses(fleet, client)
    for vm, status in statuses.items():
        replica_status = local_fleet.replica(status, manifest)
        report.origin_bytes[vm] = (
            replica_status["origin_bytes"] if replica_status else None
        )
    for order in plain.repeated_orders(fleet.plain):
        report.problems.append(f"{order} ran {fleet.plain.started[order]} times")
    for vm, cfg in fleet.agents.items():
        report.intact[vm] = await _is_intact(source, cfg.weights_listen, manifest)
        engine = fleet.engines[vm]
        serves = {version: r.manifest for version, r in engine.serving.items()}
        if manifest not in serves.values():
            report.problems.append(f"the engine on {vm} serves {serves}")
        for kind, count in engine.violations.items():
            report.problems.append(f"the engine on {vm} counted {count} {kind}")


async def _is_intact(source, address, manifest):
    """Return whether an agent serves exactly the files of the source."""
    base = f"http://{address}"
    async with http.client(base, STOP_TIMEOUT_S) as client:
        resp = await client.get(f"/manifests/{manifest}")
        if resp.status_code != 200:
            return False
        paths = {file.path for file in manifests.decode(resp.content).files}
        if paths != set(source.files):
            return False
        for path, expected in source.files.items():
            hasher = hashlib.sha256()
            url = httpx.URL(base).copy_with(path=f"/weights/{manifest}/{path}")
            async with client.stream("GET", url) as resp:
                async for data in resp.aiter_bytes():
                    hasher.update(data)
            if resp.status_code != 200 or hasher.hexdigest() != expected:
                return False
    return True


@contextlib.contextmanager
def _progress(fleet, source, console):
    """Yield a callback that shows progress as bars, or as lines without a terminal."""
    if not console.is_terminal:
        yield _line_printer(fleet, source, console)
        return
    columns = (
        rich.progress.TextColumn("{task.description:<8}"),
        rich.progress.BarColumn(),
        rich.progress.DownloadColumn(binary_units=True),
        rich.progress.TextColumn("{task.fields[phase]}"),
    )
    with rich.progress.Progress(*columns, console=console) as progress:
        tasks = {
            vm: progress.add_task(vm, total=source.size_bytes, phase="waiting")
            for vm in fleet.agents
        }

        def update(vm, replica_status, elapsed_s):
            if replica_status:
                progress.update(
                    tasks[vm],
                    completed=replica_status["bytes_verified"],
                    phase=replica_status["phase"],
                )

        yield update


def _line_printer(fleet, source, console):
    held_bytes, phases, printed = {}, {}, [0.0]

    def update(vm, replica_status, elapsed_s):
        held_bytes[vm] = replica_status["bytes_verified"] if replica_status else 0
        phases[vm] = replica_status["phase"] if replica_status else "waiting"
        if vm != list(fleet.agents)[-1] or elapsed_s < printed[0] + PROGRESS_INTERVAL_S:
            return
        printed[0] = elapsed_s
        serving = sum(phase == "serving" for phase in phases.values())
        share = sum(held_bytes.values()) / (len(held_bytes) * source.size_bytes)
        console.print(
            f"{elapsed_s:5.1f} s  {share:4.0%} of all bytes verified, "
            f"{serving} of {len(fleet.agents)} VMs serve v2"
        )

    return update


def is_success(report):
    """Return whether all weights equal the source and all responses were complete."""
    intact = bool(report.intact) and all(report.intact.values())
    return (
        intact and local_traffic.all_complete(report.counters) and not report.problems
    )


def show(report, console):
    """Print the report."""
    if report.bytes_total:
        _show_weights(report, console)
        _show_requests(report.counters, console)
    for problem in report.problems + report.counters.problems:
        console.print(f"problem: {problem}", markup=False)
    console.print("result: " + ("ok" if is_success(report) else "FAILED"))


def _show_weights(report, console):
    lines = rich.table.Table(box=rich.box.SIMPLE, title="Weights per VM")
    for title in ("VM", "serves v2 after", "from origin", "from peers", "digest"):
        lines.add_column(title, justify="left" if title == "VM" else "right")
    for vm, intact in report.intact.items():
        fetched = report.origin_bytes.get(vm)
        seconds = report.seconds.get(vm)
        lines.add_row(
            vm,
            "-" if seconds is None else f"{seconds:.1f} s",
            "-" if fetched is None else f"{fetched / MIB:.1f} MiB",
            "-"
            if fetched is None
            else f"{(report.bytes_total - fetched) / MIB:.1f} MiB",
            "equals source" if intact else "DIFFERS",
        )
    console.print(lines)
    copies = report.origin_sent / report.bytes_total
    slowest = max(report.seconds.values(), default=0.0)
    console.print(
        f"origin: {report.origin_sent / MIB:.1f} MiB sent, {copies:.2f} copies; "
        f"all VMs after {slowest:.1f} s (no VM link carries a copy in less than "
        f"{report.min_transfer_s:.1f} s)"
    )


def _show_requests(counters, console):
    parts = [f"{n} by {v}" for v, n in sorted(counters.by_version.items())]
    parts.append(f"{counters.orders} orders that ran once")
    console.print(
        f"requests: {counters.sent} sent, "
        f"{counters.complete} complete ({', '.join(parts)}), "
        f"{counters.not_run} not run, {counters.unknown} unknown, "
        f"{counters.wrong} wrong, {counters.cut} cut; "
        f"{counters.refused} rejected attempts retried"
    )


def _write_seeded_weights(cfg, directory):
    """Write random weights to a folder in `directory`; return the folder."""
    rng = random.Random(cfg.seed)
    root = pathlib.Path(directory) / "weights"
    root.mkdir()
    remaining, number = cfg.weights_bytes, 0
    while remaining:
        number += 1
        size = min(remaining, SEEDED_FILE_BYTES)
        root.joinpath(f"model-{number:03}.bin").write_bytes(rng.randbytes(size))
        remaining -= size
    return root


def _check_size(cfg, root):
    """Refuse weights that are empty or too large, before reading them."""
    size_bytes = sum(path.stat().st_size for _, path in publish.list_files(root))
    allowed = MEMORY_LIMIT_BYTES // (cfg.agents + 1) - FIRST_BYTES
    if not 0 < size_bytes <= allowed:
        raise errors.SettingsError(
            f"--weights: {root} has {size_bytes} bytes; expected 1 to {allowed} bytes "
            f"for {cfg.agents} agents",
            step="local.source",
            peer=str(root),
        )


async def serve(cfg, stop, console, report):
    """Run the demo until it ends or `stop` is set."""
    with tempfile.TemporaryDirectory(prefix="carobstand-") as directory:
        if cfg.weights:
            _check_size(cfg, cfg.weights)
        source = read_source(cfg.weights or _write_seeded_weights(cfg, directory))

        async def cancel_on_stop(scope):
            await stop.wait()
            scope.cancel()

        async with anyio.create_task_group() as tg:
            tg.start_soon(cancel_on_stop, tg.cancel_scope)
            await run_demo(cfg, source, console, report)
            tg.cancel_scope.cancel()


def run(cfg, console):
    """Run the demo and print its report.

    Parameters
    ----------
    cfg : settings.LocalSettings
    console : rich.console.Console

    Returns
    -------
    status : int
        0 on success, 1 on a problem, 2 for a wrong setting, `EXIT_INTERRUPTED` if a
        signal stopped the demo.
    """
    report = Report()
    interrupted = []

    async def body(cfg, stop):
        await serve(cfg, stop, console, report)
        if stop.is_set():
            interrupted.append(True)

    try:
        status = runtime.run(body, cfg)
    except (errors.CarobstandError, BaseExceptionGroup) as exc:
        found = _carobstand_errors(exc)
        if not found:
            raise
        report.problems += map(str, found)
        status = 1
    if status == settings.EXIT_STATUS:
        return status
    if interrupted:
        return EXIT_INTERRUPTED
    show(report, console)
    return 0 if is_success(report) else 1


def main():
    """Run the program with the settings of the command line and environment."""
    cfg = settings.load(settings.LocalSettings, sys.argv[1:], os.environ)
    if cfg.log_file:
        logs.open_log(cfg.log_file)
    sys.exit(run(cfg, rich.console.Console(highlight=False)))


def _carobstand_errors(exc):
    """Return the carobstand errors in `exc`; empty if it contains any other error."""
    if isinstance(exc, errors.CarobstandError):
        return [exc]
    if not isinstance(exc, BaseExceptionGroup):
        return []
    found = [_carobstand_errors(each) for each in exc.exceptions]
    return [each for part in found for each in part] if all(found) else []


if __name__ == "__main__":
    main()
