"""Fleet of real agent processes for the weights bench, with a stand-in entry."""

import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile

import anyio
import attrs
import httpx

from bench import weights_links as net
from carobstand.core import manifest as manifests
from carobstand.core import rows, table
from carobstand.standin import vms
from carobstand.standin import web as standin_web
from carobstand.wire import connection, listeners
from carobstand.wire.gen import ttypes

SERVICE = "salahkar"
VERSION = "v1"
NO_ORIGIN_URL = "http://127.0.0.1:9"
"""Address without a listener; an agent with an engine requires an origin URL."""

ENGINES_PER_PROCESS = 24
START_TIMEOUT_S = 120.0

AGENT_HOST = "127.0.3.1"
"""Address on which agents listen. Outgoing connections use ports of 127.0.0.1, so they
cannot occupy the port of an agent that has not started yet."""

DOMAINS = (("fd0", "r0"), ("fd1", "r1"), ("fd2", "r2"), ("fd3", "r0"))
"""Pairs of failure domain and region, assigned to the VMs round-robin."""

ONE_DOMAIN = (("fd0", "r0"),)
"""Used by the baselines, which ignore failure domains."""


@attrs.define(eq=False)
class Agent:
    """One agent process and its last report.

    `verified_at` and `served_at` are the times at which it first reported the version
    as verified and as serving.
    """

    location: net.Location
    address: str
    process: object = None
    conn: object = None
    start_id: str = ""
    replica: object = None
    verified_at: float | None = None
    served_at: float | None = None
    cpu_before_s: float = 0.0
    alive: bool = True


@attrs.define(eq=False)
class Fleet:
    """Agents, their stand-ins and the links between them."""

    cfg: object
    directory: pathlib.Path
    links: net.Links
    table: object = None
    manifest: str = ""
    agents: dict = attrs.field(factory=dict)
    relays: dict = attrs.field(factory=dict)
    processes: list = attrs.field(factory=list)
    origin_url: str = ""
    engine_urls: list = attrs.field(factory=list)
    revision: int = 0
    started_at: float = 0.0


def start_process(fleet, module, *args, **options):
    """Start one process of the product or of its stand-ins."""
    command = [sys.executable, "-m", module, *map(str, args)]
    env = {**os.environ, "PYTHONPATH": "src:.", "PYTHONDONTWRITEBYTECODE": "1"}
    process = subprocess.Popen(command, env=env, **options)
    fleet.processes.append(process)
    return process


def start_standins(fleet, kinds, *args):
    """Start stand-ins; return the addresses that they print."""
    process = start_process(
        fleet,
        "carobstand.standin.main",
        *kinds,
        "--listen",
        "127.0.0.1:0",
        "--log-file",
        fleet.directory / f"standin-{len(fleet.processes)}.log",
        *args,
        stdout=subprocess.PIPE,
    )
    return json.loads(process.stdout.readline())


def free_ports(count):
    """Return ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((AGENT_HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


async def publish(fleet, seed):
    """Upload seeded weights to the origin; create the table with their version."""
    cfg = fleet.cfg
    data = random.Random(seed).randbytes(cfg.copy_bytes)
    manifest, chunks = manifests.build([("weights.bin", data)], cfg.chunk_bytes)
    encoded = manifests.encode(manifest)
    fleet.manifest = manifests.digest_of(encoded)
    async with httpx.AsyncClient(base_url=fleet.origin_url, timeout=30) as client:
        for digest, chunk in chunks.items():
            await client.put(f"/v1/chunks/{digest}", content=chunk)
        await client.put(f"/v1/manifests/{fleet.manifest}", content=encoded)
    fleet.table = table.Table(
        1,
        "bench",
        (
            rows.ServiceRow(SERVICE, "engine", policy=cfg.policy),
            rows.VersionRow(VERSION, SERVICE, fleet.manifest, weight=1.0),
            rows.LinkRow("vm", int(2 * cfg.copy_bytes / cfg.window_s)),
            rows.LinkRow("origin", int(4 * cfg.copy_bytes / cfg.window_s)),
            rows.LinkRow("region", int(cfg.region_rate)),
        ),
    )


async def start(fleet, tg):
    """Start the stand-ins and agents; return when every agent has reported."""
    cfg = fleet.cfg
    origin = start_standins(
        fleet,
        ["origin"],
        "--origin-bytes-per-s",
        4 * cfg.copy_bytes / cfg.window_s,
    )
    fleet.origin_url = "http://" + next(iter(origin.values()))
    for first in range(0, cfg.n, ENGINES_PER_PROCESS):
        count = min(ENGINES_PER_PROCESS, cfg.n - first)
        engines = start_standins(fleet, ["engine"], "--count", count)
        fleet.engine_urls += [f"http://{address}" for address in engines.values()]
    await publish(fleet, cfg.seed)
    vms_url = await _start_entry(fleet, tg)
    ports = free_ports(2 * cfg.n)
    for index, port in enumerate(ports[: cfg.n]):
        domain, region = cfg.domains[index % len(cfg.domains)]
        vm = f"vm{index}"
        address = f"{AGENT_HOST}:{port}"
        fleet.agents[vm] = Agent(net.Location(vm, domain, region), address)
        engine_url = fleet.engine_urls[index]
        _start_agent(fleet, vm, vms_url, engine_url, ports[cfg.n + index])
    await _start_relays(fleet)
    with anyio.fail_after(START_TIMEOUT_S):
        while any(agent.replica is None for agent in fleet.agents.values()):
            _check_running(fleet)
            await anyio.sleep(0.05)
    await anyio.sleep(1.0)


def _start_agent(fleet, vm, vms_url, engine_url, status_port):
    agent = fleet.agents[vm]
    agent.process = start_process(
        fleet,
        "carobstand.agent.main",
        "--vm",
        vm,
        "--failure-domain",
        agent.location.failure_domain,
        "--region",
        agent.location.region,
        "--listen",
        agent.address,
        "--status-listen",
        f"{AGENT_HOST}:{status_port}",
        "--vms-url",
        vms_url,
        "--services",
        SERVICE,
        "--backend-url",
        engine_url,
        *_origin_arguments(fleet, vm),
        "--weights-memory-bytes",
        max(1 << 20, 3 * fleet.cfg.copy_bytes),
        "--insecure",
        "--log-file",
        fleet.directory / f"{vm}.log",
    )


def _check_running(fleet):
    for process in fleet.processes:
        if process.poll() is not None:
            raise RuntimeError(f"a process ended at its start: {process.args}")


def _origin_arguments(fleet, vm):
    """Return the origin flags; in a chain only the first VM can reach the origin."""
    if fleet.cfg.layout == "chain" and vm != "vm0":
        return ("--origin-url", NO_ORIGIN_URL)
    return ("--origin-url", fleet.origin_url)


async def _start_relays(fleet):
    """Start a relay to each VM for each other failure domain."""
    locations = {
        agent.location.failure_domain: agent.location for agent in fleet.agents.values()
    }
    for vm, agent in fleet.agents.items():
        target = connection.split_address(agent.address)
        for domain, location in locations.items():
            if domain != agent.location.failure_domain:
                fleet.relays[domain, vm] = await net.relay(
                    fleet.links, location, agent.location, target
                )


async def _start_entry(fleet, tg):
    """Start the stand-in entry and the VM list that names it; return its URL."""
    listener = await listeners.open_listener("127.0.0.1:0")
    host, port = listener.extra(anyio.abc.SocketAttribute.local_address)[:2]
    hello = ttypes.Hello(
        protocol=connection.PROTOCOL_VERSION,
        role=ttypes.Role.ENTRY,
        vm="entry0",
        start_id="entry0",
        failure_domain="fd0",
        region="r0",
        address=f"{host}:{port}",
        services=[],
    )

    async def on_message(conn, message):
        _on_message(fleet, conn, message)

    async def on_connection(conn):
        await connection.run(conn, on_message)

    tg.start_soon(connection.serve, listener, lambda: hello, on_connection)
    site = vms.site()
    standin_web.bind(site)
    await tg.start(standin_web.serve, site)
    async with httpx.AsyncClient(base_url=site.url) as client:
        registration = {
            "address": hello.address,
            "failure_domain": "fd0",
            "region": "r0",
            "services": [],
        }
        await client.put("/v1/vms/entry/entry0", json=registration)
    return site.url


def _on_message(fleet, conn, message):
    agent = fleet.agents.get(conn.peer.vm)
    if isinstance(message, ttypes.TableRequest):
        snapshot = ttypes.TableSnapshot(
            revision=fleet.table.revision,
            digest=table.digest(fleet.table),
            content=table.to_json(fleet.table),
        )
        connection.post(conn, snapshot)
    elif isinstance(message, ttypes.Goodbye):
        connection.post(conn, ttypes.Goodbye(reason="stopping"))
    elif isinstance(message, ttypes.Heartbeat) and agent is not None:
        agent.conn = conn
        agent.start_id = conn.peer.start_id
        _record(fleet, agent, message)
        _reply(fleet, agent, message.seq, message)


def _record(fleet, agent, heartbeat):
    now = anyio.current_time()
    if heartbeat.table_revision >= fleet.table.revision:
        agent.replica = agent.replica or ttypes.Replica()
    phases = ttypes.ReplicaPhase
    for replica in heartbeat.replicas or ():
        if replica.manifest != fleet.manifest:
            continue
        agent.replica = replica
        verified_phases = (phases.VERIFIED, phases.LOADING, phases.SERVING)
        if replica.phase in verified_phases and agent.verified_at is None:
            agent.verified_at = now
        if replica.phase == phases.SERVING and agent.served_at is None:
            agent.served_at = now


def _reply(fleet, agent, seq, heartbeat=None):
    """Reply to a heartbeat, or announce the plan if `heartbeat` is None."""
    reported_revision = (
        (heartbeat.plan_revisions or {}).get(SERVICE, 0) if heartbeat else 0
    )
    assignments = []
    if fleet.revision > reported_revision:
        versions = [VERSION]
        assignments = [ttypes.Assignment(SERVICE, fleet.revision, versions, versions)]
        connection.post(agent.conn, _roster(fleet, agent))
    reply = ttypes.HeartbeatReply(
        seq=seq,
        table_revision=fleet.table.revision,
        table_digest=table.digest(fleet.table),
        assignments=assignments,
        attempt_floor=0,
    )
    connection.post(agent.conn, reply)


def _roster(fleet, agent):
    """Return the roster for an agent: VMs of other domains have relay addresses."""
    own = agent.location
    members = []
    for vm, other in fleet.agents.items():
        if not other.alive or not _is_visible(fleet, own.vm, vm):
            continue
        address = other.address
        if other.location.failure_domain != own.failure_domain:
            address = fleet.relays[own.failure_domain, vm]
        members.append(
            ttypes.Member(
                vm,
                address,
                other.location.failure_domain,
                other.location.region,
                other.start_id,
            )
        )
    return ttypes.Roster(fleet.manifest, fleet.revision, members)


def _is_visible(fleet, own, other):
    """Return whether the roster of a VM contains another one in this layout."""
    layout = fleet.cfg.layout
    if layout == "swarm" or own == other:
        return True
    return layout == "chain" and int(other[2:]) == int(own[2:]) - 1


def roll_out(fleet):
    """Put the version in force at every agent now."""
    fleet.revision = 1
    fleet.started_at = anyio.current_time()
    for agent in fleet.agents.values():
        agent.cpu_before_s = cpu_s(agent.process.pid)
        _reply(fleet, agent, 0)


def cpu_s(pid):
    """Return the CPU time of a process started by this bench, in seconds."""
    try:
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1]
    except OSError:
        return 0.0
    ticks = sum(map(int, fields.split()[11:13]))
    return ticks / os.sysconf("SC_CLK_TCK")


def stop(fleet):
    """Stop all processes of the fleet."""
    for process in fleet.processes:
        if process.poll() is None:
            process.send_signal(signal.SIGKILL)
    for process in fleet.processes:
        process.wait()


def new_fleet(cfg, rng):
    """Return an empty fleet with the links of `cfg`."""
    regions = {
        (region, way): net.Direction(cfg.region_rate)
        for _, region in cfg.domains
        for way in ("in", "out")
    }
    directory = pathlib.Path(tempfile.mkdtemp(prefix="bench-weights-"))
    return Fleet(cfg, directory, net.Links(regions, rng))
