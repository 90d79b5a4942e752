"""Processes of carobstand-local: stand-ins, entries and agents in one event loop."""

import random
import socket

import anyio
import attrs
import httpx

from carobstand import errors, settings
from carobstand.agent import main as agent_main
from carobstand.entry import main as entry_main
from carobstand.platform import http
from carobstand.platform import vms as vm_lists
from carobstand.standin import engine, origin, plain, store, vms, web

SERVICE = "salahkar"
PLAIN_SERVICE = "order-desk"

FAILURE_DOMAINS = (
    ("kutch-bhuj", "kutch"),
    ("surat-varachha", "surat"),
    ("rajkot-gondal", "rajkot"),
)
"""Failure domains and their regions, assigned to processes round-robin."""

ENTRIES = 2

FIRST_PORT, LAST_PORT = 21_000, 32_000
"""Ports of processes; below the default ephemeral port range of Linux."""

VM_LIST_LAG_S = 0.3

TOKEN_S = 0.028
"""Time per token of the engines; the target in section 1 of the design page."""

POLL_INTERVAL_S = 0.4
"""Interval at which the status ports are polled."""

STATUS_TIMEOUT_S = 2.0


@attrs.define(eq=False)
class Fleet:
    """Stand-ins and processes of the local fleet.

    Attributes
    ----------
    sites : dict of str to web.Site
        Stand-ins by name.
    engines : dict of str to engine.EngineState
        State of each engine, by VM.
    store, origin, plain
        States of these stand-ins.
    entries, agents, plain_agents : dict of str to settings object
        Settings of each process, by VM; `agents` are the agents of engines.
    stops : dict of str to anyio.Event
        Set to stop a process; by VM.
    ended : dict of str to anyio.Event
        Set when a process has ended; by VM.
    """

    sites: dict = attrs.field(factory=dict)
    engines: dict = attrs.field(factory=dict)
    store: object = attrs.field(factory=store.StoreState)
    origin: object = attrs.field(factory=origin.OriginState)
    plain: object = attrs.field(factory=lambda: plain.PlainState(PLAIN_SERVICE))
    entries: dict = attrs.field(factory=dict)
    agents: dict = attrs.field(factory=dict)
    plain_agents: dict = attrs.field(factory=dict)
    stops: dict = attrs.field(factory=dict)
    ended: dict = attrs.field(factory=dict)

    def url(self, name):
        """Return the base URL of a stand-in."""
        return self.sites[name].url


def free_addresses(rng):
    """Yield free loopback addresses, starting at a random port."""
    first = rng.randrange(FIRST_PORT, LAST_PORT)
    for offset in range(LAST_PORT - FIRST_PORT):
        port = FIRST_PORT + (first - FIRST_PORT + offset) % (LAST_PORT - FIRST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        yield f"127.0.0.1:{port}"
    raise errors.SettingsError(
        f"no free port from {FIRST_PORT} to {LAST_PORT}", step="local.ports"
    )


def build(count, memory_bytes, seed):
    """Return a fleet of `count` engines that is not started yet.

    Parameters
    ----------
    count : int
    memory_bytes : int
        Memory of each agent for weights.
    seed : int
    """
    fleet = Fleet()
    sites = {
        "store": store.site(fleet.store),
        "origin": origin.site(fleet.origin),
        "vms": vms.site(vms.VmsState(VM_LIST_LAG_S)),
        PLAIN_SERVICE: plain.site(fleet.plain),
    }
    for number in range(1, count + 1):
        vm = f"vm-{number}"
        fleet.engines[vm] = engine.EngineState(token_s=TOKEN_S, seed=seed + number)
        sites[vm] = engine.site(fleet.engines[vm])
    fleet.sites = {name: web.bind(site) for name, site in sites.items()}
    addresses = free_addresses(random.Random())
    for number in range(1, ENTRIES + 1):
        vm = f"entry-{number}"
        fleet.entries[vm] = _entry_settings(fleet, vm, number, addresses)
    for number, vm in enumerate(fleet.engines, 1):
        fleet.agents[vm] = _agent_settings(fleet, vm, number, addresses, memory_bytes)
    vm = f"vm-{count + 1}"
    fleet.plain_agents[vm] = _plain_agent_settings(fleet, vm, addresses)
    return fleet


def _common_settings(fleet, vm, number, addresses):
    domain, region = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
    return {
        "vm": vm,
        "failure_domain": domain,
        "region": region,
        "listen": next(addresses),
        "status_listen": next(addresses),
        "vms_url": fleet.url("vms"),
        "insecure": True,
    }


def _entry_settings(fleet, vm, number, addresses):
    return settings.EntrySettings(
        **_common_settings(fleet, vm, number, addresses),
        http_listen=next(addresses),
        store_url=fleet.url("store"),
        leave_delay_s=0.2,
    )


def _agent_settings(fleet, vm, number, addresses, memory_bytes):
    return settings.AgentSettings(
        **_common_settings(fleet, vm, number, addresses),
        services=(SERVICE,),
        backend_url=fleet.url(vm),
        origin_url=fleet.url("origin"),
        weights_listen=next(addresses),
        weights_memory_bytes=memory_bytes,
        drain_timeout_s=10.0,
    )


def _plain_agent_settings(fleet, vm, addresses):
    return settings.AgentSettings(
        **_common_settings(fleet, vm, 0, addresses),
        services=(PLAIN_SERVICE,),
        backend_url=fleet.url(PLAIN_SERVICE),
        backend_type="plain",
        drain_timeout_s=10.0,
    )


async def start(fleet, tg):
    """Start the stand-ins, then the entries and agents, as tasks of `tg`."""
    for site in fleet.sites.values():
        await tg.start(web.serve, site)
    async with http.client(fleet.url("vms")) as client:
        for record in _vm_records(fleet):
            path = f"/v1/vms/{record.role}/{record.vm}"
            await client.put(path, json=attrs.asdict(record))
    for vm, cfg in fleet.entries.items():
        _start_process(fleet, tg, entry_main.serve, vm, cfg)
    for vm, cfg in {**fleet.agents, **fleet.plain_agents}.items():
        _start_process(fleet, tg, agent_main.serve, vm, cfg)


def _vm_records(fleet):
    def record(role, cfg, services=()):
        return vm_lists.Vm(
            vm=cfg.vm,
            role=role,
            address=cfg.listen,
            failure_domain=cfg.failure_domain,
            region=cfg.region,
            services=services,
        )

    for cfg in fleet.entries.values():
        yield record("entry", cfg)
    for cfg in {**fleet.agents, **fleet.plain_agents}.values():
        yield record("agent", cfg, cfg.services)


def _start_process(fleet, tg, serve, vm, cfg):
    fleet.stops[vm] = anyio.Event()
    fleet.ended[vm] = anyio.Event()

    async def run():
        await serve(cfg, fleet.stops[vm])
        fleet.ended[vm].set()

    tg.start_soon(run, name=vm)


async def stop(fleet, timeout_s):
    """Stop the agents, then the entries; return the VMs that did not stop in time."""
    for group in ({**fleet.agents, **fleet.plain_agents}, fleet.entries):
        for vm in group:
            fleet.stops[vm].set()
        with anyio.move_on_after(timeout_s):
            for vm in group:
                await fleet.ended[vm].wait()
    return sorted(vm for vm, ended in fleet.ended.items() if not ended.is_set())


async def statuses(fleet, client):
    """Return the status of each engine's agent, by VM; None if it cannot be read."""
    found = dict.fromkeys(fleet.agents)

    async def fetch_status(vm, cfg):
        try:
            resp = await client.get(f"http://{cfg.status_listen}/status")
            found[vm] = resp.json()
        except (httpx.HTTPError, ValueError):
            return

    async with anyio.create_task_group() as tg:
        for vm, cfg in fleet.agents.items():
            tg.start_soon(fetch_status, vm, cfg)
    return found


def replica(status, manifest):
    """Return the status of the replica of `manifest`, or None."""
    for replica_status in (status or {}).get("replicas", ()):
        if replica_status["manifest"] == manifest:
            return replica_status
    return None


async def wait_serving(fleet, manifest, timeout_s, on_progress):
    """Wait until every engine's agent reports that it serves `manifest`.

    Parameters
    ----------
    fleet : Fleet
    manifest : str
    timeout_s : float
    on_progress : callable of (vm, replica status or None, seconds)

    Returns
    -------
    seconds : dict of str to float
        Time until it was served, by VM.

    Raises
    ------
    WeightsError
        If that takes longer than `timeout_s`; the message has the VMs and their state.
    """
    started_at = anyio.current_time()
    served, replicas = {}, {}
    async with http.client("", STATUS_TIMEOUT_S) as client:
        while len(served) < len(fleet.agents):
            elapsed_s = anyio.current_time() - started_at
            if elapsed_s > timeout_s:
                raise errors.WeightsError(
                    f"not served within {timeout_s:.0f} s; "
                    f"{_describe_missing(replicas, served)}",
                    step="local.rollout",
                    peer=",".join(vm for vm in fleet.agents if vm not in served),
                )
            for vm, status in (await statuses(fleet, client)).items():
                replicas[vm] = replica(status, manifest)
                on_progress(vm, replicas[vm], elapsed_s)
                if replicas[vm] and replicas[vm]["phase"] == "serving":
                    served.setdefault(vm, anyio.current_time() - started_at)
            await anyio.sleep(POLL_INTERVAL_S)
    return served


def _describe_missing(replicas, served):
    parts = []
    for vm, replica_status in replicas.items():
        if vm not in served:
            state = (
                f"{replica_status['phase']} {replica_status['detail']}".strip()
                if replica_status
                else "nothing"
            )
            parts.append(f"{vm}: {state}")
    return "; ".join(parts)
