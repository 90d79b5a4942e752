"""Entries, agents and stand-ins as processes on loopback, for benchmarks and tests.

Each VM has its own address in 127.0.0.0/8, so that processes keep their ports when
restarted and several fleets can run at the same time.
"""

import contextlib
import hashlib
import json
import os
import pathlib
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile

import anyio
import attrs
import httpx
import trustme

from bench import relay
from carobstand.cli import edits
from carobstand.core import manifest as manifests
from carobstand.core import table as tables
from carobstand.platform import origin, store

ROOT = pathlib.Path(__file__).resolve().parent.parent

PROCESS_PORT, STATUS_PORT, HTTP_PORT, WEIGHTS_PORT, RELAY_PORT = range(7000, 7005)

STANDIN_PORT = 8000

READY_TIMEOUT_S = 30.0

DOMAINS = (("kutch", "kutch-bhuj"), ("surat", "surat-varachha"))

CHUNK_BYTES = 256 * 1024


@attrs.define(eq=False)
class Program:
    """One entry or agent; other processes reach it through its relay.

    `kills` holds the times just before the process was killed. `running` says whether
    it should be running, `busy` whether a fault is being injected into it. `backend` is
    the stand-in that is the backend server of an agent. `exits` holds the signal and
    the exit status of each stop.
    """

    name: str
    role: str
    host: str
    argv: list
    relay: relay.Relay
    region: str
    domain: str
    services: tuple = ()
    backend: str = ""
    process: object = None
    running: bool = False
    busy: bool = False
    kills: list = attrs.field(factory=list)
    pauses: int = 0
    exits: list = attrs.field(factory=list)

    @property
    def http_url(self):
        """URL on which an entry accepts requests of customers."""
        return f"http://{self.host}:{HTTP_PORT}"

    @property
    def status_url(self):
        """URL of the status port."""
        return f"http://{self.host}:{STATUS_PORT}"


@attrs.define(eq=False)
class Fleet:
    """A running fleet.

    Attributes
    ----------
    folder : pathlib.Path
        Logs and certificates.
    base : str
        First three octets of the fleet's loopback addresses.
    http, customer_http : httpx.AsyncClient
        For calls of the benchmark itself, and for requests of customers.
    urls : dict of str to str
        Stand-ins by name; for the store, the URL of its relay.
    store_direct_url : str
        URL of the store stand-in without the relay.
    programs : dict of str to Program
    versions : dict of str to str
        Manifest digest of each published version.
    keys : dict of str to str
        Bearer key of each customer.
    """

    folder: pathlib.Path
    base: str
    tg: object
    http: httpx.AsyncClient
    customer_http: httpx.AsyncClient
    seed: int
    domains: tuple = DOMAINS
    entry_flags: tuple = ()
    standins: object = None
    urls: dict = attrs.field(factory=dict)
    store_direct_url: str = ""
    store_relay: object = None
    programs: dict = attrs.field(factory=dict)
    versions: dict = attrs.field(factory=dict)
    keys: dict = attrs.field(factory=dict)

    def host(self, number):
        """Return the loopback address of this fleet whose last octet is `number`."""
        return f"{self.base}.{number}"


def programs_with_role(fleet, role):
    """Return the programs of `role`."""
    return [program for program in fleet.programs.values() if program.role == role]


@contextlib.asynccontextmanager
async def open_fleet(
    seed=1,
    entries=2,
    engines=2,
    plains=1,
    use_tls=False,
    versions=("v1",),
    standin_flags=(),
    domains=DOMAINS,
    entry_flags=(),
):
    """Start a fleet with a table; kill all its processes at the end.

    Parameters
    ----------
    seed : int
    entries, engines, plains : int
        Numbers of entries and of backend servers, each with an agent.
    use_tls : bool
        Use TLS between the processes.
    versions : sequence of str
        Published versions of the service salahkar; the first one has all traffic.
    standin_flags : sequence of str
        Additional flags of the stand-ins.
    entry_flags : sequence of str
        Additional flags of the entries.
    domains : sequence of (str, str)
        Regions and failure domains, assigned to the VMs in turn.

    Yields
    ------
    fleet : Fleet
        Once every program is ready, every engine serves the first version and all
        entries have the agents' reports.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="carobstand-"))
    base = f"127.{secrets.randbelow(254) + 1}.{secrets.randbelow(256)}"
    async with (
        anyio.create_task_group() as tg,
        _http_client(5) as http,
        _http_client(60) as customer_http,
    ):
        fleet = Fleet(folder, base, tg, http, customer_http, seed, domains, entry_flags)
        try:
            await _start_standins(fleet, max(engines, plains), standin_flags)
            tls_flags = _write_certificates(fleet) if use_tls else ["--insecure"]
            for i in range(1, entries + 1):
                await _add_entry(fleet, i, tls_flags)
            for i in range(1, engines + 1):
                await _add_agent(fleet, "engine", i, tls_flags)
            for i in range(1, plains + 1):
                await _add_agent(fleet, "plain", i, tls_flags)
            await _publish_versions(fleet, versions)
            for program in fleet.programs.values():
                await start(fleet, program)
            for program in fleet.programs.values():
                await wait_until_ready(fleet, program)
            await wait_until(
                lambda: _all_engines_serve(fleet, versions[0]),
                "first version is served",
            )
            for program in programs_with_role(fleet, "agent"):
                await wait_until_reported(fleet, program)
            yield fleet
        finally:
            for program in fleet.programs.values():
                program.running = False
                _kill_process(program.process)
            _kill_process(fleet.standins)
            tg.cancel_scope.cancel()


def _http_client(timeout_s):
    """Return a client that opens a connection for each request."""
    limits = httpx.Limits(max_keepalive_connections=0, max_connections=None)
    return httpx.AsyncClient(timeout=timeout_s, trust_env=False, limits=limits)


def discard_logs(fleet):
    """Remove the folder of a fleet; to be called only if there were no findings."""
    shutil.rmtree(fleet.folder, ignore_errors=True)


def _kill_process(process):
    if process is not None and process.poll() is None:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
            process.kill()
        process.wait()


def _spawn(fleet, name, module, argv, **options):
    environ = {
        key: value for key, value in os.environ.items() if "CAROBSTAND" not in key
    }
    environ["PYTHONPATH"] = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
    with open(fleet.folder / f"{name}.err", "ab") as stderr:
        return subprocess.Popen(
            [sys.executable, "-m", module, *argv],
            env=environ,
            cwd=fleet.folder,
            stderr=stderr,
            stdin=subprocess.DEVNULL,
            # The kernel sends SIGHUP to a process group that becomes orphaned while one
            # of its processes is stopped, and benchmarks stop processes with SIGSTOP.
            start_new_session=True,
            **options,
        )


async def _start_standins(fleet, count, flags):
    argv = ["all", "--listen", f"{fleet.host(250)}:{STANDIN_PORT}"]
    argv += ["--count", str(max(2, count)), "--seed", str(fleet.seed)]
    argv += ["--log-file", str(fleet.folder / "standins.log"), *flags]
    fleet.standins = _spawn(
        fleet, "standins", "carobstand.standin.main", argv, stdout=subprocess.PIPE
    )
    line = await anyio.to_thread.run_sync(fleet.standins.stdout.readline)
    fleet.urls = {
        name: f"http://{endpoint}" for name, endpoint in json.loads(line).items()
    }
    fleet.store_direct_url = fleet.urls["store"]
    endpoint = f"{fleet.host(249)}:{RELAY_PORT}"
    fleet.store_relay = relay.Relay(
        endpoint, fleet.store_direct_url.removeprefix("http://")
    )
    await fleet.tg.start(relay.serve, fleet.store_relay)
    fleet.urls["store"] = f"http://{endpoint}"


def _write_certificates(fleet):
    ca = trustme.CA()
    cert = ca.issue_cert("carobstand.internal")
    paths = {name: str(fleet.folder / f"{name}.pem") for name in ("cert", "key", "ca")}
    cert.cert_chain_pems[0].write_to_path(paths["cert"])
    cert.private_key_pem.write_to_path(paths["key"])
    ca.cert_pem.write_to_path(paths["ca"])
    return [part for name in paths for part in (f"--tls-{name}", paths[name])]


async def _add_program(fleet, name, role, host, argv, **fields):
    region, domain = fleet.domains[len(fleet.programs) % len(fleet.domains)]
    program_relay = relay.Relay(f"{host}:{RELAY_PORT}", f"{host}:{PROCESS_PORT}")
    await fleet.tg.start(relay.serve, program_relay)
    common = {
        "vm": name,
        "failure-domain": domain,
        "region": region,
        "listen": program_relay.target,
        "address": program_relay.address,
        "status-listen": f"{host}:{STATUS_PORT}",
        "vms-url": fleet.urls["vms"],
        "log-file": str(fleet.folder / f"{name}.log"),
    }
    flags = [part for key, value in common.items() for part in (f"--{key}", value)]
    program = Program(
        name, role, host, [*flags, *argv], program_relay, region, domain, **fields
    )
    fleet.programs[name] = program
    await list_vm(fleet, program)


async def list_vm(fleet, program, leaving=False):
    """Add or update the VM of `program` in the VM list."""
    line = {
        "address": program.relay.address,
        "failure_domain": program.domain,
        "region": program.region,
        "services": list(program.services),
        "leaving": leaving,
    }
    path = f"/v1/vms/{program.role}/{program.name}"
    (await fleet.http.put(fleet.urls["vms"] + path, json=line)).raise_for_status()


async def _add_entry(fleet, i, tls_flags):
    host = fleet.host(i)
    argv = ["--http-listen", f"{host}:{HTTP_PORT}", "--store-url", fleet.urls["store"]]
    argv += ["--request-timeout-s", "20", *tls_flags, *fleet.entry_flags]
    await _add_program(fleet, f"entry-{i}", "entry", host, argv)


async def _add_agent(fleet, kind, i, tls_flags):
    host = fleet.host((50 if kind == "engine" else 150) + i)
    service = "salahkar" if kind == "engine" else "order-desk"
    backend = f"{kind}-{i}"
    argv = ["--services", service, "--backend-type", kind]
    argv += ["--backend-url", fleet.urls[backend], *tls_flags]
    argv += ["--origin-url", fleet.urls["origin"]]
    argv += ["--weights-listen", f"{host}:{WEIGHTS_PORT}", "--drain-timeout-s", "30"]
    argv += ["--weights-memory-bytes", str(64 * 1024 * 1024)]
    name = f"agent-{kind}-{i}"
    await _add_program(
        fleet, name, "agent", host, argv, services=(service,), backend=backend
    )


async def _publish_versions(fleet, versions):
    """Upload the weights of each version and write the first table.

    All versions share three of their eight chunks.
    """
    client = origin.http_origin(fleet.urls["origin"])
    for i, name in enumerate(versions):
        data = b"".join(
            hashlib.sha256(f"{fleet.seed} {i if n % 3 else 0} {n}".encode()).digest()
            * (CHUNK_BYTES // 32)
            for n in range(8)
        )
        manifest, chunks = manifests.build([("weights.bin", data)], CHUNK_BYTES)
        for digest, chunk in chunks.items():
            await client.publish_chunk(digest, chunk)
        content = manifests.encode(manifest)
        fleet.versions[name] = manifests.digest_of(content)
        await client.publish_manifest(fleet.versions[name], content)
    await client.close()
    fleet.keys = {f"customer-{i}": f"key-{i}-{fleet.seed}" for i in range(1, 5)}
    rows = [
        tables.ServiceRow("salahkar", "engine", 16, 64, "time", 0.5),
        tables.ServiceRow(
            "order-desk", "plain", 16, 64, max_out=0.5, non_idempotent=("POST /orders",)
        ),
    ]
    for i, (name, digest) in enumerate(fleet.versions.items()):
        rows.append(tables.VersionRow(name, "salahkar", digest, weight=float(not i)))
    for program in programs_with_role(fleet, "agent"):
        rows.append(tables.BackendRow(program.name, program.services[0], 1.0))
    for name, key in fleet.keys.items():
        digest = hashlib.sha256(key.encode()).hexdigest()
        rows.append(tables.CustomerRow(name, digest, 1.0, 1000.0, 200, 5))
    client = store.http_store(fleet.store_direct_url)
    author = edits.Author("bench", 1.0, "first")
    await edits.accept(client, tables.EMPTY, tuple(rows), author, "first table")
    await client.close()


async def start(fleet, program):
    """Start the process of `program`."""
    module = f"carobstand.{program.role}.main"
    program.process = _spawn(fleet, program.name, module, program.argv)
    program.running = True


async def stop(program, sig, timeout_s=40.0):
    """Send a signal and wait; return the exit status, or None if it did not exit.

    After `timeout_s` the process is killed.
    """
    program.running = False
    if sig == signal.SIGKILL:
        program.kills.append(anyio.current_time())
    program.process.send_signal(sig)
    with anyio.move_on_after(timeout_s):
        while program.process.poll() is None:
            await anyio.sleep(0.02)
        program.exits.append((sig.name, program.process.returncode))
        return program.process.returncode
    program.exits.append((sig.name, None))
    _kill_process(program.process)
    return None


async def pause(program, seconds):
    """Suspend the process with SIGSTOP for `seconds`."""
    program.pauses += 1
    program.process.send_signal(signal.SIGSTOP)
    try:
        await anyio.sleep(seconds)
    finally:
        program.process.send_signal(signal.SIGCONT)


async def is_ready(fleet, program):
    """Return whether the readiness check of `program` passes."""
    try:
        url = f"{program.status_url}/readyz"
        return (await fleet.http.get(url, timeout=0.7)).status_code == 200
    except httpx.HTTPError:
        return False


async def status(fleet, program):
    """Return the status of `program`, or None if the request fails."""
    try:
        answer = await fleet.http.get(f"{program.status_url}/status", timeout=1.5)
        return answer.json() if answer.status_code == 200 else None
    except (httpx.HTTPError, ValueError):
        return None


async def wait_until(condition, description, timeout_s=READY_TIMEOUT_S):
    """Wait until the async callable `condition` returns true.

    Raises
    ------
    TimeoutError
        After `timeout_s`; the message contains `description`.
    """
    with anyio.move_on_after(timeout_s):
        while not await condition():
            await anyio.sleep(0.1)
        return
    raise TimeoutError(f"not within {timeout_s} s: {description}")


async def wait_until_ready(fleet, program, timeout_s=READY_TIMEOUT_S):
    """Wait until `program` is ready."""

    async def ready():
        if program.process.poll() is not None:
            raise RuntimeError(f"{program.name} exited: {program.process.returncode}")
        return await is_ready(fleet, program)

    await wait_until(ready, f"{program.name} is ready", timeout_s)


async def _all_engines_serve(fleet, version):
    return await served_versions(fleet) == {
        program.name: [version]
        for program in programs_with_role(fleet, "agent")
        if program.services == ("salahkar",)
    }


async def wait_until_reported(fleet, program):
    """Wait until all entries have the report of an agent.

    For an engine the report must also contain a replica that is serving.
    """

    async def reported():
        for entry in programs_with_role(fleet, "entry"):
            body = await status(fleet, entry)
            agent = body and body["agents"].get(program.name)
            if not agent:
                return False
            phases = [replica["phase"] for replica in agent["replicas"]]
            if program.services == ("salahkar",) and "serving" not in phases:
                return False
        return True

    await wait_until(reported, f"entries know {program.name}")


async def served_versions(fleet):
    """Return the versions that each engine reports as serving, by the agent's name."""
    found = {}
    for program in programs_with_role(fleet, "agent"):
        if program.services == ("salahkar",):
            answer = await fleet.http.get(fleet.urls[program.backend] + "/admin/state")
            found[program.name] = sorted(answer.json()["serving"])
    return found


async def set_faults(fleet, standin, **switches):
    """Set fault switches of a stand-in; without switches reset them."""
    url = fleet.store_direct_url if standin == "store" else fleet.urls[standin]
    url += "/standin/faults"
    if switches:
        answer = await fleet.http.post(url, json=switches)
    else:
        answer = await fleet.http.delete(url)
    answer.raise_for_status()


async def stats(fleet, standin):
    """Return the counters of a stand-in."""
    url = fleet.store_direct_url if standin == "store" else fleet.urls[standin]
    return (await fleet.http.get(f"{url}/standin/stats")).json()


def stderr_by_program(fleet):
    """Return the standard error output of the processes by name, where not empty."""
    found = {}
    for path in sorted(fleet.folder.glob("*.err")):
        if text := path.read_text(errors="replace").strip():
            found[path.stem] = text
    return found
