"""Processes of the requests bench: entries, agents and engines, connected directly.

`bench.fleet` puts relays between the processes; their overhead would exceed the
latencies that this bench measures.
"""

import contextlib
import hashlib
import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import anyio
import attrs
import httpx

from carobstand.cli import edits
from carobstand.core import manifest as manifests
from carobstand.core import table as tables
from carobstand.platform import origin, store

ROOT = pathlib.Path(__file__).resolve().parent.parent

CUSTOMERS = ("large", *(f"small-{num}" for num in range(1, 9)))

READY_TIMEOUT_S = 40.0
"""Longest wait until every engine serves a version."""


@attrs.define(eq=False)
class Fleet:
    """Running processes and their addresses.

    Attributes
    ----------
    folder : path
        Directory of the log files and of standard error.
    base : str
        First three octets of the loopback addresses of the processes.
    http : httpx.AsyncClient
    processes : dict of str to subprocess.Popen
    urls : dict of str to str
        Base URLs of the stand-ins by name.
    entries, engines : list of str
        Base URLs.
    manifests : dict of str to str
        Manifest digest of each published version.
    keys : dict of str to str
        Bearer key per customer.
    limit : int
        Requests that an engine runs at the same time.
    """

    folder: pathlib.Path
    base: str
    http: httpx.AsyncClient
    processes: dict = attrs.field(factory=dict)
    urls: dict = attrs.field(factory=dict)
    entries: list = attrs.field(factory=list)
    engines: list = attrs.field(factory=list)
    manifests: dict = attrs.field(factory=dict)
    keys: dict = attrs.field(factory=lambda: {c: f"key-{c}" for c in CUSTOMERS})
    limit: int = 16


def spawn(fleet, name, module, argv, **options):
    """Start a module of this project as a process named `name`."""
    environ = {k: v for k, v in os.environ.items() if "CAROBSTAND" not in k}
    environ["PYTHONPATH"] = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
    with open(fleet.folder / f"{name}.err", "ab") as stderr:
        process = subprocess.Popen(
            [sys.executable, "-m", module, *argv],
            env=environ,
            cwd=fleet.folder,
            stderr=stderr,
            **options,
        )
    fleet.processes[name] = process
    return process


@contextlib.asynccontextmanager
async def open_fleet(router="carobstand", engines=4, entries=2, limit=16, flags=()):
    """Start a fleet that serves version v1 of service salahkar; stop it at the end.

    Parameters
    ----------
    router : str
        Routing policy of the entries (setting ``router``).
    engines, entries : int
    limit : int
        Requests that an engine runs at the same time; set in engines and table.
    flags : sequence of str
        Further flags of the engines.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="bench-requests-"))
    number = os.getpid() % 60_000 + 4000
    base = f"127.{number >> 8}.{number & 255}"
    async with httpx.AsyncClient(timeout=5, trust_env=False) as http:
        fleet = Fleet(folder, base, http, limit=limit)
        try:
            await _start(fleet, router, engines, entries, flags)
            yield fleet
        except BaseException:
            _show_errors(fleet)
            raise
        finally:
            for process in fleet.processes.values():
                if process.poll() is None:
                    process.kill()
                process.wait()
            shutil.rmtree(folder, ignore_errors=True)


def _show_errors(fleet):
    for path in sorted(fleet.folder.glob("*.err")):
        if text := path.read_text(errors="replace").strip():
            print(f"{path.stem}: {text[-2000:]}", file=sys.stderr)


async def _start(fleet, router, engines, entries, flags):
    for number, kind in enumerate(("store", "origin", "vms")):
        await _start_standin(fleet, kind, f"{fleet.base}.{250 - number}:8000", ())
    for num in range(1, engines + 1):
        address = f"{fleet.base}.{100 + num}:8000"
        argv = ("--batch-limit", str(fleet.limit), "--seed", str(num), *flags)
        await _start_standin(fleet, "engine", address, argv, f"engine-{num}")
        fleet.engines.append(f"http://{address}")
    for num in range(1, entries + 1):
        host = f"{fleet.base}.{num}"
        argv = ["--http-listen", f"{host}:7002", "--router", router]
        argv += ["--store-url", fleet.urls["store"], "--request-timeout-s", "30"]
        await _start_program(fleet, "entry", f"entry-{num}", host, argv, ())
        fleet.entries.append(f"http://{host}:7002")
    for num in range(1, engines + 1):
        host = f"{fleet.base}.{50 + num}"
        argv = ["--services", "salahkar", "--backend-type", "engine"]
        argv += ["--backend-url", fleet.urls[f"engine-{num}"]]
        argv += ["--origin-url", fleet.urls["origin"]]
        argv += ["--weights-listen", f"{host}:7003"]
        await _start_program(fleet, "agent", f"agent-{num}", host, argv, ("salahkar",))
    if engines:
        await publish(fleet, "v1")
    else:
        fleet.manifests["v1"] = "a" * 64
    await set_weights(fleet, {"v1": 1.0})
    await wait_until_serving(fleet, "v1")
    # Entries and agents notice the change some time after the engines.
    await anyio.sleep(2.5)


async def _start_standin(fleet, kind, address, argv, name=None):
    name = name or kind
    log = str(fleet.folder / f"{name}.log")
    argv = [kind, "--listen", address, "--log-file", log, *argv]
    process = spawn(
        fleet, name, "carobstand.standin.main", argv, stdout=subprocess.PIPE
    )
    await anyio.to_thread.run_sync(process.stdout.readline)
    fleet.urls[name] = f"http://{address}"


async def _start_program(fleet, role, name, host, argv, services):
    listen = f"{host}:7000"
    common = ["--vm", name, "--failure-domain", "kutch-bhuj", "--region", "kutch"]
    common += ["--listen", listen, "--status-listen", f"{host}:7001", "--insecure"]
    common += ["--vms-url", fleet.urls["vms"]]
    common += ["--log-file", str(fleet.folder / f"{name}.log")]
    spawn(fleet, name, f"carobstand.{role}.main", [*common, *argv])
    registration = {
        "address": listen,
        "failure_domain": "kutch-bhuj",
        "region": "kutch",
        "services": list(services),
        "leaving": False,
    }
    url = f"{fleet.urls['vms']}/v1/vms/{role}/{name}"
    (await fleet.http.put(url, json=registration)).raise_for_status()


async def publish(fleet, version, mib=2):
    """Upload `mib` MiB of weights, derived from `version`, to the origin."""
    client = origin.http_origin(fleet.urls["origin"])
    seed = hashlib.sha256(version.encode()).digest()
    data = b"".join(
        hashlib.sha256(seed + num.to_bytes(4, "big")).digest() * 32
        for num in range(mib * 1024)
    )
    manifest, chunks = manifests.build([("weights.bin", data)], 256 * 1024)
    for digest, chunk in chunks.items():
        await client.publish_chunk(digest, chunk)
    content = manifests.encode(manifest)
    fleet.manifests[version] = manifests.digest_of(content)
    await client.publish_manifest(fleet.manifests[version], content)
    await client.close()


async def set_weights(fleet, weights):
    """Write a table with the traffic `weights` of the published versions."""
    rows = [
        tables.ServiceRow("salahkar", "engine", fleet.limit, 64, "time", 0.5),
    ]
    for name, digest in fleet.manifests.items():
        weight = weights.get(name, 0.0)
        rows.append(tables.VersionRow(name, "salahkar", digest, weight=weight))
    for name in fleet.processes:
        if name.startswith("agent-"):
            rows.append(tables.BackendRow(name, "salahkar", 1.0))
    for name, key in fleet.keys.items():
        digest = hashlib.sha256(key.encode()).hexdigest()
        rows.append(tables.CustomerRow(name, digest, 1.0, None, None, 5))
    client = store.http_store(fleet.urls["store"])
    _, base = await edits.read(client)
    author = edits.Author("bench", 1.0, f"change-{base.revision}")
    await edits.accept(client, base, tuple(rows), author, "bench")
    await client.close()


async def wait_until_serving(fleet, version):
    """Wait until every engine reports that it serves `version`."""
    with anyio.fail_after(READY_TIMEOUT_S):
        for url in fleet.engines:
            while True:
                resp = await fleet.http.get(f"{url}/admin/state")
                if version in resp.json()["serving"]:
                    break
                await anyio.sleep(0.1)


async def engine_stats(fleet):
    """Return (prefix blocks hit, missed) of all engines."""
    hit = missed = 0
    for url in fleet.engines:
        stats = (await fleet.http.get(f"{url}/standin/stats")).json()
        hit += stats["hit_blocks"]
        missed += stats["missed_blocks"]
    return hit, missed


def cpu_s(process):
    """Return the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2]
    ticks = sum(int(value) for value in fields.split()[11:13])
    return ticks / os.sysconf("SC_CLK_TCK")


async def run_load(fleet, plans):
    """Run run_load processes for `plans` at the same time; return all their samples."""
    results = []

    async def run_one(plan, number):
        process = spawn(
            fleet,
            f"load-{number}",
            "bench.request_load",
            [],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        data = json.dumps(attrs.asdict(plan)).encode()
        out, _ = await anyio.to_thread.run_sync(process.communicate, data)
        results.extend(json.loads(out))

    async with anyio.create_task_group() as tg:
        for number, plan in enumerate(plans):
            tg.start_soon(run_one, plan, number)
    return results
