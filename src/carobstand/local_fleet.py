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
"""Failure domains and their regions; processes are spread over them in turn."""

ENTRIES = 2

FIRST_PORT, LAST_PORT = 21_000, 32_000
"""Ports of processes; below the range from which Linux takes outgoing ports."""

VM_LIST_LAG_S = 0.3

TOKEN_S = 0.028
"""Time per token of the engines; the target of section 1 of the design page."""

POLL_INTERVAL_S = 0.4
"""Time between reads of the status ports."""

STATUS_TIMEOUT_S = 2.0


@attrs.define(eq=False)
class Fleet:
    """Everything that runs.

    Attributes
    ----------
    sites : dict of str to web.Site
        Stand-ins by name.
    engines : dict of str to engine.EngineState
        By VM.
    store, origin, plain
        States of these stand-ins.
    entries, agents : dict of str to settings object
        By VM; `agents` are those of engines.
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
    """Yield unused loopback addresses, starting at a random port."""
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
    """Return a fleet of `count` engines that is not running yet.

    Parameters
    ----------
    count : int
    memory_bytes : int
        Memory of each agent for weights.
    seed : int
    """
    fleet = Fleet()
    states = {
        "store": store.site(fleet.store),
        "origin": origin.site(fleet.origin),
        "vms": vms.site(vms.VmsState(VM_LIST_LAG_S)),
        PLAIN_SERVICE: plain.site(fleet.plain),
    }
    for number in range(1, count + 1):
        vm = f"vm-{number}"
        fleet.engines[vm] = engine.EngineState(token_s=TOKEN_S, seed=seed + number)
        states[vm] = engine.site(fleet.engines[vm])
    fleet.sites = {name: web.bind(site) for name, site in states.items()}
    addresses = free_addresses(random.Random())
    for number in range(1, ENTRIES + 1):
        vm = f"entry-{number}"
        fleet.entries[vm] = _entry(fleet, vm, number, addresses)
    for number, vm in enumerate(fleet.engines, 1):
        fleet.agents[vm] = _agent(fleet, vm, number, addresses, memory_bytes)
    vm = f"vm-{count + 1}"
    fleet.plain_agents[vm] = _plain_agent(fleet, vm, addresses)
    return fleet


def _common(fleet, vm, number, addresses):
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


def _entry(fleet, vm, number, addresses):
    return settings.EntrySettings(
        **_common(fleet, vm, number, addresses),
        http_listen=next(addresses),
        store_url=fleet.url("store"),
        leave_delay_s=0.2,
    )


def _agent(fleet, vm, number, addresses, memory_bytes):
    return settings.AgentSettings(
        **_common(fleet, vm, number, addresses),
        services=(SERVICE,),
        backend_url=fleet.url(vm),
        origin_url=fleet.url("origin"),
        weights_listen=next(addresses),
        weights_memory_bytes=memory_bytes,
        drain_timeout_s=10.0,
    )


def _plain_agent(fleet, vm, addresses):
    return settings.AgentSettings(
        **_common(fleet, vm, 0, addresses),
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
        for line in _vm_lines(fleet):
            path = f"/v1/vms/{line.role}/{line.vm}"
            await client.put(path, json=attrs.asdict(line))
    for vm, cfg in fleet.entries.items():
        _start_process(fleet, tg, entry_main.serve, vm, cfg)
    for vm, cfg in {**fleet.agents, **fleet.plain_agents}.items():
        _start_process(fleet, tg, agent_main.serve, vm, cfg)


def _vm_lines(fleet):
    def line(role, cfg, services=()):
        return vm_lists.Vm(
            vm=cfg.vm,
            role=role,
            address=cfg.listen,
            failure_domain=cfg.failure_domain,
            region=cfg.region,
            services=services,
        )

    for cfg in fleet.entries.values():
        yield line("entry", cfg)
    for cfg in {**fleet.agents, **fleet.plain_agents}.values():
        yield line("agent", cfg, cfg.services)


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
    """Return the status of each engine's agent, by VM; None where it gives none."""
    found = dict.fromkeys(fleet.agents)

    async def ask(vm, cfg):
        try:
            resp = await client.get(f"http://{cfg.status_listen}/status")
            found[vm] = resp.json()
        except (httpx.HTTPError, ValueError):
            return

    async with anyio.create_task_group() as tg:
        for vm, cfg in fleet.agents.items():
            tg.start_soon(ask, vm, cfg)
    return found


def replica(status, manifest):
    """Return the status of the replica of `manifest`, or None."""
    for held in (status or {}).get("replicas", ()):
        if held["manifest"] == manifest:
            return held
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
        If that takes longer than `timeout_s`; names the VMs and their state.
    """
    began = anyio.current_time()
    served, seen = {}, {}
    async with http.client("", STATUS_TIMEOUT_S) as client:
        while len(served) < len(fleet.agents):
            elapsed_s = anyio.current_time() - began
            if elapsed_s > timeout_s:
                raise errors.WeightsError(
                    f"not served within {timeout_s:.0f} s; {_missing(seen, served)}",
                    step="local.rollout",
                    peer=",".join(vm for vm in fleet.agents if vm not in served),
                )
            for vm, status in (await statuses(fleet, client)).items():
                seen[vm] = replica(status, manifest)
                on_progress(vm, seen[vm], elapsed_s)
                if seen[vm] and seen[vm]["phase"] == "serving":
                    served.setdefault(vm, anyio.current_time() - began)
            await anyio.sleep(POLL_INTERVAL_S)
    return served


def _missing(seen, served):
    parts = []
    for vm, held in seen.items():
        if vm not in served:
            state = f"{held['phase']} {held['detail']}".strip() if held else "nothing"
            parts.append(f"{vm}: {state}")
    return "; ".join(parts)
