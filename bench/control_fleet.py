"""Entries, agents and stand-ins as processes on loopback, and their resource use."""

import contextlib
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import anyio
import attrs
import httpx

from carobstand.platform import vms

ROOT = pathlib.Path(__file__).resolve().parent.parent

LISTEN_PORT, STATUS_PORT, HTTP_PORT = 7000, 7001, 7002

TICKS_PER_S = os.sysconf("SC_CLK_TCK")

READY_TIMEOUT_S = 60.0


@attrs.define(eq=False)
class Program:
    """One process and its command line."""

    name: str
    role: str
    host: str
    argv: list
    log: pathlib.Path
    process: object = None


@attrs.define(eq=False)
class Fleet:
    """Processes of one run.

    `base` is the first three octets of their loopback addresses; `urls` holds the
    stand-ins by name.
    """

    folder: pathlib.Path
    base: str
    http: httpx.AsyncClient
    urls: dict = attrs.field(factory=dict)
    programs: dict = attrs.field(factory=dict)
    standins: object = None


@attrs.frozen
class Usage:
    """Resource use of one process so far: CPU seconds, memory and message bytes."""

    cpu_s: float
    rss_mb: float
    wire_bytes: int
    http_bytes: int


def spawn(argv, log, **options):
    """Run a Python module as a process; `argv` starts with its name."""
    environ = {k: v for k, v in os.environ.items() if not k.startswith("CAROBSTAND_")}
    environ["PYTHONPATH"] = str(ROOT / "src")
    with log.open("ab") as stderr:
        return subprocess.Popen(
            [sys.executable, "-m", *argv],
            env=environ,
            cwd=ROOT,
            stderr=stderr,
            start_new_session=True,
            **options,
        )


@contextlib.asynccontextmanager
async def open_fleet(entries, agents):
    """Start a fleet; at the end kill its processes and remove its files."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="control-bench-"))
    host_number = os.getpid() % 60_000 + 256
    base = f"127.{host_number >> 8}.{host_number & 255}"
    async with httpx.AsyncClient(timeout=5, trust_env=False) as http:
        fleet = Fleet(folder, base, http)
        try:
            await _start_standins(fleet)
            for index in range(entries + agents):
                role = "entry" if index < entries else "agent"
                await _add_program(fleet, role, index)
            await wait_ready(fleet, fleet.programs.values())
            yield fleet
        finally:
            for program in [*fleet.programs.values()]:
                _kill(program.process)
            _kill(fleet.standins)
            shutil.rmtree(folder, ignore_errors=True)


def _kill(process):
    if process is not None and process.poll() is None:
        process.kill()
        process.wait()


async def _start_standins(fleet):
    log = fleet.folder / "standins.log"
    argv = ["carobstand.standin.main", "store", "vms", "plain"]
    argv += ["--listen", f"{fleet.base}.254:8000", "--log-file", str(log)]
    fleet.standins = spawn(argv, log, stdout=subprocess.PIPE)
    line = await anyio.to_thread.run_sync(fleet.standins.stdout.readline)
    fleet.urls = {
        name: f"http://{endpoint}" for name, endpoint in json.loads(line).items()
    }


async def _add_program(fleet, role, index):
    name = f"{role}-{index:03}"
    host = f"{fleet.base}.{index + 1}"
    log = fleet.folder / f"{name}.log"
    domain, region = f"domain-{index % 3}", f"region-{index % 2}"
    argv = [f"carobstand.{role}.main", "--vm", name]
    argv += ["--failure-domain", domain, "--region", region, "--insecure"]
    argv += [
        "--listen",
        f"{host}:{LISTEN_PORT}",
        "--status-listen",
        f"{host}:{STATUS_PORT}",
    ]
    argv += ["--vms-url", fleet.urls["vms"], "--log-file", str(log)]
    if role == "entry":
        argv += [
            "--http-listen",
            f"{host}:{HTTP_PORT}",
            "--store-url",
            fleet.urls["store"],
        ]
    else:
        argv += ["--services", "order-desk", "--backend-url", fleet.urls["plain"]]
        argv += ["--backend-type", "plain"]
    services = () if role == "entry" else ("order-desk",)
    vm = vms.Vm(name, role, f"{host}:{LISTEN_PORT}", domain, region, services)
    fleet.programs[name] = Program(name, role, host, argv, log)
    url = f"{fleet.urls['vms']}/v1/vms/{role}/{name}"
    (await fleet.http.put(url, json=attrs.asdict(vm))).raise_for_status()
    start(fleet.programs[name])


def start(program):
    """Start the process of `program`."""
    program.process = spawn(program.argv, program.log)


def kill(program):
    """Kill the process of `program` with SIGKILL, as a failure of its VM would."""
    program.process.send_signal(signal.SIGKILL)
    program.process.wait()


async def wait_ready(fleet, programs):
    """Wait until the status port of each program responds."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    for program in programs:
        while await status(fleet, program) is None:
            if program.process.poll() is not None or time.monotonic() > deadline:
                tail = program.log.read_text()[-2000:]
                raise RuntimeError(f"{program.name} did not start: {tail}")
            await anyio.sleep(0.1)


async def status(fleet, program):
    """Return the JSON of ``/status`` of a program, or None if it fails."""
    try:
        return (
            await fleet.http.get(f"http://{program.host}:{STATUS_PORT}/status")
        ).json()
    except (httpx.HTTPError, ValueError):
        return None


async def usage(fleet):
    """Return the `Usage` of each program by name."""
    usage_by_name = {}
    for program in fleet.programs.values():
        body = await status(fleet, program)
        if body is None:
            continue
        fields = pathlib.Path(f"/proc/{program.process.pid}/stat").read_text()
        user, system = map(int, fields.rpartition(")")[2].split()[11:13])
        memory = pathlib.Path(f"/proc/{program.process.pid}/statm").read_text()
        pages = int(memory.split()[1])
        usage_by_name[program.name] = Usage(
            (user + system) / TICKS_PER_S,
            pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
            body["traffic"]["wire_bytes"],
            body["traffic"]["http_bytes"],
        )
    return usage_by_name


async def store_stats(fleet):
    """Return the counters of the stand-in for the store."""
    return (await fleet.http.get(f"{fleet.urls['store']}/standin/stats")).json()


async def set_store_fault(fleet, **switches):
    """Set fault switches of the stand-in for the store."""
    url = f"{fleet.urls['store']}/standin/faults"
    (await fleet.http.post(url, json=switches)).raise_for_status()


def applied_revisions(program):
    """Return {revision: time since the epoch} of the tables that a process applied.

    Only the events since the last start of the process count.
    """
    revisions = {}
    with program.log.open() as lines:
        for line in lines:
            if '"process.started"' in line:
                revisions.clear()
            if '"table.applied"' in line:
                event = json.loads(line)
                revisions[event["revision"]] = event["timestamp"]
    return revisions
