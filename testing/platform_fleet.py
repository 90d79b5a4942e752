"""A small deployment on loopback: stand-ins, entries and agents in one event loop.

The stand-ins serve the store, the origin and the backend servers. Each part listens
on a loopback address of its own.
"""

import contextlib
import itertools
import os
import socket

import anyio
import attrs

from carobstand import http1, http1_calls, http1_server, settings, signals
from carobstand.agent import platform_main as agent_main
from carobstand.cli import explain
from carobstand.core import deployment
from carobstand.entry import fleet as entry_fleet
from carobstand.entry import platform_main as entry_main
from carobstand.standin.platform import engine, kv, origin
from testing import platform_builders as build

MODEL = "m"
CHANGE_DELAY_S = 0.05 + entry_fleet.batch_delay_s(deployment.Bounds())
"""Time within which an entry applies a change of the store, batching included."""

HOSTS_PER_PROCESS = 60_000
_HOSTS = itertools.count(1 + os.getpid() % 250 * HOSTS_PER_PROCESS)
"""Numbers of loopback addresses. Test runs beside each other that use the same ones
reach each other's servers when their ports meet."""


def free_port():
    """Return a port that is free on all loopback addresses now."""
    with socket.socket() as probe:
        probe.bind(("0.0.0.0", 0))
        return probe.getsockname()[1]


@attrs.define(eq=False)
class Fleet:
    """The parts of a deployment.

    Attributes
    ----------
    tasks : anyio.abc.TaskGroup
        Group in which the parts run.
    store : standin.platform.kv.Store
    origin : standin.platform.origin.Origin
    port : int
        Base of the port numbers of all parts.
    store_address, origin_address : str
    engines : dict of str to standin.platform.engine.Engine
        By server id.
    entries : dict of str to Entry
        By VM.
    scopes : dict of str to anyio.CancelScope
        By name of the part; cancelling one kills the part.
    running : set of str
        VMs of the entries that have not stopped.
    configuration : dict
        The last configuration that was written.
    sent : int
        Number of requests sent; numbers their ids.
    """

    tasks: object
    store: kv.Store
    origin: origin.Origin
    port: int
    store_address: str = ""
    origin_address: str = ""
    engines: dict = attrs.field(factory=dict)
    entries: dict = attrs.field(factory=dict)
    scopes: dict = attrs.field(factory=dict)
    running: set = attrs.field(factory=set)
    configuration: dict = attrs.field(factory=dict)
    sent: int = 0


@attrs.define
class Entry:
    """An entry and the events that its signals set."""

    deployment: deployment.Deployment
    leaving: anyio.Event
    hangups: signals.Signal


@attrs.define
class Answer:
    """A response as received; `complete` is False if it was truncated."""

    status: int
    headers: dict
    body: bytes
    complete: bool


def new_host():
    """Return a loopback address that no other part uses."""
    number = next(_HOSTS)
    first = 1 + number // HOSTS_PER_PROCESS
    return f"127.{first}.{number // 250 % 240 + 1}.{number % 250 + 1}"


async def start_server(fleet, server, address, name):
    """Serve a stand-in until `stop` ends it."""

    async def run():
        with anyio.CancelScope() as scope:
            fleet.scopes[name] = scope
            await http1_server.listen(server, address)

    fleet.tasks.start_soon(run)
    await wait_bound(address)


async def stop(fleet, name):
    """Kill a part of the deployment, without a planned stop."""
    fleet.scopes[name].cancel()
    await anyio.sleep(0.02)


async def wait_bound(address):
    """Return once `address` accepts connections."""
    host, port = deployment.split_address(address)
    with anyio.fail_after(5):
        while True:
            try:
                await (await anyio.connect_tcp(host, port)).aclose()
                return
            except OSError:
                await anyio.sleep(0.005)


async def until(condition, timeout_s=5.0):
    """Wait until ``condition()`` holds."""
    with anyio.fail_after(timeout_s):
        while not condition():
            await anyio.sleep(0.01)


def configure(fleet, **changes):
    """Write the next version of the configuration."""
    version = fleet.configuration.get("version", 0) + 3
    services = [
        {"name": "desk", "health_check_path": "/health", "max_connections": 50},
        {
            "name": "drafter",
            "health_check_path": "/health",
            "max_connections": 50,
            "engine": {
                **build.ENGINE_RECORD,
                "slots": 4,
                "layers": 4,
                "chunks": fleet.origin.pieces,
                "chunk_bytes": fleet.origin.piece_bytes,
                "models": [{"name": MODEL, "warm_s": 0.05}],
            },
        },
        {
            "name": "source",
            "origin": fleet.origin_address,
            "zone": "a",
            "link_mbps": 7.3,
            "max_connections": 48,
        },
    ]
    routes = [
        build.route_record(name="s", prefix="/s/", service="drafter"),
        build.route_record(
            name="o", prefix="/o/", type="unsafe", service="desk", max_attempts=1
        ),
        build.route_record(name="q", prefix="/q/", type="safe", service="desk"),
        build.route_record(
            name="p", prefix="/p/", type="safe", service="desk", public=True
        ),
    ]
    record = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {"max_body_bytes": 1 << 16, "header_timeout_ms": 400},
        "tenants": [{"name": "acme", "api_keys": ["k1"]}],
        **changes,
    }
    fleet.configuration = record
    kv.write_json(fleet.store, "op/config", record)


def name_version(fleet, version):
    """Publish a weight version at the origin and name it in the store."""
    fleet.origin.newest = version
    record = {"model": MODEL, "version": version}
    kv.write_json(fleet.store, f"op/version/{MODEL}", record)


async def add_engine(fleet, server_id, service="drafter", **options):
    """Start and register a backend server; return its `Engine`."""
    backend_server = build_engine(fleet, server_id, service, **options)
    await start_engine(fleet, backend_server)
    return backend_server


def build_engine(fleet, server_id, service="drafter", **options):
    """Return the `Engine` of a backend server that is not started."""
    options.setdefault("model", MODEL if service == "drafter" else "")
    host = new_host()
    address = f"{host}:{fleet.port + 20}"
    backend_server = engine.Engine(server_id, service, address, **options)
    backend_server.expected_digests = lambda version: origin.digests(
        fleet.origin, version
    )
    return backend_server


async def start_engine(fleet, backend_server):
    """Start a backend server and register it."""
    fleet.engines[backend_server.server_id] = backend_server
    await start_server(
        fleet,
        engine.server(backend_server),
        backend_server.address,
        backend_server.server_id,
    )
    engine.register(backend_server, fleet.store)


def restart_crashed(fleet, backend_server, down_s):
    """End the process of a backend server at each crash, and start it `down_s` later.

    It serves its weights again as soon as it is back.
    """
    version, is_down = backend_server.version, anyio.Lock()

    async def restart():
        if is_down.locked():
            return
        async with is_down:
            await restart_once()

    async def restart_once():
        await stop(fleet, backend_server.server_id)
        kv.remove(fleet.store, f"servers/{backend_server.server_id}")
        await anyio.sleep(down_s)
        backend_server.version = version
        await start_engine(fleet, backend_server)

    backend_server.on_crash = lambda: fleet.tasks.start_soon(restart)


def build_deployment(fleet, vm, **changes):
    """Return the `Deployment` of a process, at a loopback address of its own."""
    host = new_host()
    fields = {
        "vm": vm,
        "ip": host,
        "failure_domain": "a",
        "region": "north",
        "regions": {"a": "north", "b": "south"},
        "internal_ports": (fleet.port, fleet.port + 15),
        "store_address": fleet.store_address,
        "link_bytes_per_s": 1e6,
    }
    return deployment.Deployment(**{**fields, **changes})


async def add_entry(fleet, vm="entry-1", ready=True, **changes):
    """Start an entry; return it once it is ready."""
    dep = build_deployment(fleet, vm, **changes)
    dep = attrs.evolve(
        dep,
        ingress_address=f"{dep.ip}:{fleet.port + 16}",
        readiness_address=f"{dep.ip}:{fleet.port + 17}",
    )
    entry = Entry(dep, anyio.Event(), signals.Signal())

    async def run():
        with anyio.CancelScope() as scope:
            fleet.scopes[vm] = scope
            fleet.running.add(vm)
            await entry_main.serve(dep, entry.leaving, entry.hangups)
        fleet.running.discard(vm)

    fleet.tasks.start_soon(run)
    fleet.entries[vm] = entry
    await wait_bound(dep.ingress_address)
    if ready:
        await until_ready(entry)
    return entry


async def until_usable(fleet, server_id, path, entry="entry-1"):
    """Wait until an entry would send requests for a path to a backend server."""
    dep = fleet.entries[entry].deployment
    values = {
        "host": "one.example",
        "path": path,
        "api-key": "k1",
        "entry": f"{dep.ip}:{dep.internal_ports[0]}",
    }
    argv = [part for name, value in values.items() for part in (f"--{name}", value)]
    cfg = settings.load(settings.ExplainSettings, argv, {})
    with anyio.fail_after(5):
        while True:
            reply = await explain.ask(cfg)
            if server_id in [server.server_id for server in reply.ranked or ()]:
                return
            await anyio.sleep(0.02)


async def until_ready(entry):
    """Wait until an entry reports that it is ready."""
    with anyio.fail_after(5):
        while await readiness(entry) != 200:
            await anyio.sleep(0.01)


async def readiness(entry):
    """Return the status of an entry's response to a readiness check."""
    caller = http1_calls.Client(entry.deployment.readiness_address)
    resp = await http1_calls.call(
        caller, "GET", "/v1/readiness", timeout_s=2.0, max_bytes=1000
    )
    await http1_calls.close_idle(caller)
    return resp.status


async def add_agent(fleet, backend_server, vm="side-1", **changes):
    """Start an agent for a backend server."""
    dep = build_deployment(fleet, vm, **changes)
    dep = attrs.evolve(
        dep, backend_address=backend_server.address, service=backend_server.service
    )
    leaving = anyio.Event()

    async def run():
        with anyio.CancelScope() as scope:
            fleet.scopes[vm] = scope
            await agent_main.serve(dep, leaving, signals.Signal())

    fleet.tasks.start_soon(run)


@contextlib.asynccontextmanager
async def deployed(entries=1):
    """Run a store, an origin and some entries; yield the `Fleet`."""
    async with anyio.create_task_group() as tg:
        port = free_port() % 20000 + 20000
        fleet = Fleet(tg, kv.Store(), origin.Origin(), port)
        fleet.store_address = f"{new_host()}:{port + 18}"
        fleet.origin_address = f"{new_host()}:{port + 19}"
        await start_server(fleet, kv.server(fleet.store), fleet.store_address, "store")
        await start_server(
            fleet, origin.server(fleet.origin), fleet.origin_address, "origin"
        )
        configure(fleet)
        for number in range(entries):
            await add_entry(fleet, f"entry-{number + 1}", ready=False)
        yield fleet
        tg.cancel_scope.cancel()


async def send_request(
    fleet, path, *, entry="entry-1", body=b"", headers=(), **options
):
    """Send one request over a new connection; return the `Answer`."""
    address = fleet.entries[entry].deployment.ingress_address
    conn = await http1.connect(address, 1.0)
    try:
        return await send_request_on(
            conn, fleet, path, body=body, headers=headers, **options
        )
    finally:
        await http1.close(conn)


async def send_request_on(
    conn,
    fleet,
    path,
    *,
    body=b"",
    headers=(),
    method="POST",
    deadline_s=3.0,
    key="k1",
    request_id=None,
):
    """Send one request over an open connection; return the `Answer`."""
    fleet.sent += 1
    request_id = request_id or f"r{fleet.sent}"
    all_headers = [
        ("Host", "one.example"),
        ("Request-Id", request_id),
        ("Deadline-Ms", str(int(deadline_s * 1000))),
        *([("Api-Key", key)] if key else []),
        *headers,
    ]
    if body or method == "POST":
        all_headers.append(("Content-Length", str(len(body))))
    with anyio.fail_after(deadline_s + 3):
        await http1.send(conn, method, path, all_headers, body)
        head = await http1.receive_head(conn)
        parts, complete = [], True
        try:
            while (data := await http1.receive_data(conn)) is not None:
                parts.append(data)
        except Exception:
            complete = False
    found = {name.decode(): value.decode() for name, value in head.headers}
    return Answer(head.status_code, found, b"".join(parts), complete)


def events_of(answer):
    """Return the ids and data of the events of a stream."""
    found = []
    for event in answer.body.split(b"\n\n")[:-1]:
        lines = dict(line.split(b": ", 1) for line in event.split(b"\n"))
        found.append((int(lines[b"id"]), lines[b"data"]))
    return found


def run(test, timeout_s=20.0):
    """Run ``test()`` in an event loop; fail after `timeout_s`."""

    async def limited():
        with anyio.fail_after(timeout_s):
            await test()

    anyio.run(limited)


async def raw_exchange(address, data, wait_s=1.0):
    """Send bytes; return all bytes received until the connection ends or `wait_s`."""
    host, port = deployment.split_address(address)
    got = b""
    async with await anyio.connect_tcp(host, port) as stream:
        await stream.send(data)
        with anyio.move_on_after(wait_s):
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    got += await stream.receive()
    return got


def statuses(raw):
    """Return the status codes of the responses in `raw`."""
    return [
        int(line.split(b" ")[1])
        for line in raw.split(b"\r\n")
        if line.startswith(b"HTTP/1.1 ")
    ]
