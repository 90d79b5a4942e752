"""Entries that share the limit of one server, in virtual time with faults.

Runs the program's `entry.server_limits` at each entry. Datagrams are delayed and lost;
the store, the server and the callers are simulated.
"""

import random

import anyio
import attrs

from carobstand.core import entry_roster, exchange, routes, weight_sources
from carobstand.entry import fleet as fleets
from carobstand.entry import permit_exchange, server_limits, store_items
from carobstand.platform import kv, records
from carobstand.standin.platform import engine
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes
from testing import platform_builders as build

SERVER_ID = "i-1"
STORE_LAG_S = 0.3
"""Maximum time until entries see a change of the store."""

LEASE_S = 15.0
STOP_S = 3.0
"""Time for which an entry goes on after it announced its planned stop."""

RESTART_S = 1.0
PATIENCE_S = 0.4
"""Time for which a request waits for a permit."""

CHECK_S = 0.02


@attrs.define(eq=False)
class Node:
    """One simulated entry.

    Attributes
    ----------
    vm, address : str
    limits : entry.server_limits.ServerLimits
    callers_per_s : float
        Requests that could go to the server.
    frozen_until : float
    without_store_until : float
    revision : int
        Number of records of servers that were applied.
    polled_at : float
        Time at which the records were last read.
    inbox : list of bytes
        Datagrams received while frozen.
    scope : anyio.CancelScope
    """

    vm: str
    address: str
    limits: server_limits.ServerLimits
    callers_per_s: float
    frozen_until: float = 0.0
    without_store_until: float = 0.0
    revision: int = 0
    polled_at: float = 0.0
    inbox: list = attrs.field(factory=list)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


@attrs.define(eq=False)
class Simulation:
    """The entries, the server and the store.

    Attributes
    ----------
    tasks : anyio.abc.TaskGroup
    draw : random.Random
    server : standin.platform.engine.Engine
        Only its limit, cold time, start and arrivals are used.
    others : list of standin.platform.engine.Engine
        Further servers of the same service.
    listings : list of (str, bytes)
        Key and value of each record of a server that was written, in order.
    service : core.routes.Service
    nodes : dict of str to Node
        By VM.
    records : dict of str to core.weight_sources.Entry
        Entries that are registered in the store.
    loss : float
        Share of datagrams that are lost.
    cuts : set of (str, str)
        Addresses between which nothing arrives, sender first.
    disturbances : list of (str, float, float)
        VM, start and end of each freeze, restart or cut.
    """

    tasks: object
    draw: random.Random
    server: engine.Engine
    others: list = attrs.field(factory=list)
    listings: list = attrs.field(factory=list)
    service: routes.Service = routes.Service(name="desk")
    nodes: dict = attrs.field(factory=dict)
    records: dict = attrs.field(factory=dict)
    loss: float = 0.0
    cuts: set = attrs.field(factory=set)
    disturbances: list = attrs.field(factory=list)


def start_entry(sim, vm, callers_per_s):
    """Start an entry, which registers."""
    address = f"10.0.0.{vm}:7700"
    dep = build.deployment_of(vm, f"10.0.0.{vm}")
    fleet = fleets.Fleet(dep, store=None)
    services = {sim.service.name: sim.service}
    fleet.configuration = routes.Configuration(version=1, routes={}, services=services)
    limits = server_limits.ServerLimits(fleet, draw=sim.draw.random)
    node = Node(vm, address, limits, callers_per_s)
    sim.nodes[vm] = node
    sim.tasks.start_soon(_run_node, sim, node)
    register(sim, vm)
    return node


def list_server(sim, server):
    """Write the record of a server to the store."""
    value = build.encode_record(engine.record(server))
    sim.listings.append((f"{records.SERVER_PREFIX}{server.server_id}", value))


def make_cold(sim, server, cold_s):
    """Make a server cold, and write its record."""
    server.cold_until = anyio.current_time() + cold_s
    list_server(sim, server)


def register(sim, vm):
    """Write the record of an entry to the store."""
    entry = weight_sources.Entry(vm, sim.nodes[vm].address, "a", "north")
    sim.records[vm] = entry


async def _run_node(sim, node):
    with node.scope:
        async with anyio.create_task_group() as tg:
            tg.start_soon(_exchange, sim, node)
            tg.start_soon(_follow_store, sim, node)
            tg.start_soon(_serve_callers, sim, node)


async def _thaw(node):
    while anyio.current_time() < node.frozen_until:
        await anyio.sleep(node.frozen_until - anyio.current_time())


async def _exchange(sim, node):
    limits = node.limits
    while True:
        await _thaw(node)
        inbox, node.inbox = node.inbox, []
        for raw in inbox:
            _process(node, raw)
        limits.is_changed = False
        next_at = permit_exchange.step(limits)
        outbox, limits.outbox = limits.outbox, []
        for address, message in outbox:
            raw = fleet_codec.encode(message)
            sim.tasks.start_soon(_deliver, sim, node.address, address, raw)
        if not limits.is_changed:
            pause_s = next_at - anyio.current_time()
            await limits.woken.wait(max(permit_exchange.MIN_INTERVAL_S, pause_s))


async def _deliver(sim, sender, address, raw):
    if sim.draw.random() < sim.loss or (sender, address) in sim.cuts:
        return
    await anyio.sleep(sim.draw.uniform(0.001, 0.02))
    for node in sim.nodes.values():
        if node.address != address:
            continue
        if anyio.current_time() < node.frozen_until:
            node.inbox.append(raw)
        else:
            _process(node, raw)


def _process(node, raw):
    message = fleet_codec.decode(raw)
    if isinstance(message, ttypes.PermitRequest):
        permit_exchange.on_request(node.limits, message, "peer")
    elif isinstance(message, ttypes.PermitReply):
        permit_exchange.on_reply(node.limits, message, "peer")
    elif isinstance(message, ttypes.EntryJoined):
        permit_exchange.on_joined(node.limits, message, "peer")
    else:
        permit_exchange.on_leaving(node.limits, message)


async def _follow_store(sim, node):
    fleet = node.limits.fleet
    while True:
        await anyio.sleep(sim.draw.uniform(0.05, STORE_LAG_S))
        await _thaw(node)
        if anyio.current_time() < node.without_store_until:
            fleet.store_failed_at = anyio.current_time()
            continue
        now = anyio.current_time()
        may_have_lapsed = now - fleet.store_failed_at < store_items.LAPSE_WINDOW_S
        entry_roster.replace_all(fleet.roster, dict(sim.records), now, may_have_lapsed)
        fleet.confirmed_at = anyio.current_time()
        _apply_listings(sim, node)


def _apply_listings(sim, node):
    fleet, now = node.limits.fleet, anyio.current_time()
    fleet.changes_since, node.polled_at = node.polled_at, now
    for key, value in sim.listings[node.revision :]:
        node.revision += 1
        store_items.apply_item(fleet, kv.Item(key, value, node.revision))
    fleet.first_read_at = fleet.first_read_at or now


async def _serve_callers(sim, node):
    while True:
        await anyio.sleep(sim.draw.expovariate(max(0.01, node.callers_per_s)))
        await _thaw(node)
        if node.limits.fleet.confirmed_at is not None:
            sim.tasks.start_soon(_serve_caller, sim, node)


async def _serve_caller(sim, node):
    patience_ends = anyio.current_time() + PATIENCE_S
    while (server := _free_server(sim, node)) is None:
        if anyio.current_time() >= patience_ends or node.scope.cancel_called:
            return
        await anyio.sleep(CHECK_S)
        await _thaw(node)
    server_limits.take(node.limits, server.server_id)
    await _run_request(sim, node, server, anyio.current_time())


def _free_server(sim, node):
    """Return a server to which a request may be sent now, or None."""
    listed = node.limits.fleet.servers.servers
    free = [
        server
        for server in [sim.server, *sim.others]
        if (not sim.listings or server.server_id in listed)
        and server_limits.withholds(node.limits, server.server_id) is None
    ]
    return sim.draw.choice(free) if len(free) > 1 else next(iter(free), None)


async def _run_request(sim, node, server, sent_at):
    await anyio.sleep(sim.draw.uniform(0.001, 0.005))
    engine.record_arrival(server, node.vm)
    head = exchange.AnswerHead(
        status=200,
        is_signed=True,
        limit=server.limit,
        cold_s=engine.cold_ms(server) / 1000 if server.tells_cold else None,
    )
    await anyio.sleep(sim.draw.uniform(0.01, 0.2))
    await _thaw(node)
    if sim.nodes.get(node.vm) is node:
        server_limits.record_answer(
            node.limits, server.server_id, server.started_ms, head, sent_at
        )


async def stop_entry(sim, vm):
    """Stop an entry as planned."""
    node = sim.nodes[vm]
    node.limits.fleet.stops_at = anyio.current_time() + STOP_S
    sim.records.pop(vm, None)
    await anyio.sleep(STOP_S)
    if sim.nodes.get(vm) is node:
        kill(sim, vm)


def kill(sim, vm):
    """End an entry at once; its record stays in the store."""
    node = sim.nodes.pop(vm, None)
    if node is not None:
        node.scope.cancel()


async def restart(sim, vm):
    """Kill an entry and start it anew."""
    callers_per_s = sim.nodes[vm].callers_per_s
    start = anyio.current_time()
    kill(sim, vm)
    await anyio.sleep(RESTART_S)
    if vm not in sim.nodes:
        start_entry(sim, vm, callers_per_s)
    sim.disturbances.append((vm, start, anyio.current_time()))


async def lose(sim, vm):
    """End an entry for good; its record ends with its lease."""
    kill(sim, vm)
    await anyio.sleep(LEASE_S)
    if vm not in sim.nodes:
        sim.records.pop(vm, None)


async def freeze(sim, vm, duration_s):
    """Suspend an entry."""
    node = sim.nodes[vm]
    now = anyio.current_time()
    node.frozen_until = now + duration_s
    sim.disturbances.append((vm, now, now + duration_s))
    await anyio.sleep(duration_s)
    node.limits.woken.notify()


async def cut(sim, vms, duration_s, one_way=False):
    """Cut some entries off from the others."""
    inside = {sim.nodes[vm].address for vm in vms}
    outside = {node.address for node in sim.nodes.values()} - inside
    pairs = {(a, b) for a in inside for b in outside}
    if not one_way:
        pairs |= {(b, a) for a, b in pairs}
    sim.cuts |= pairs
    now = anyio.current_time()
    sim.disturbances += [(vm, now, now + duration_s) for vm in vms]
    await anyio.sleep(duration_s)
    sim.cuts -= pairs


async def lose_store(sim, vms, duration_s, lapses=False):
    """Cut some entries off from the store; `lapses` removes their records meanwhile."""
    until = anyio.current_time() + duration_s
    for vm in vms:
        sim.nodes[vm].without_store_until = until
    if lapses:
        for vm in vms:
            sim.records.pop(vm, None)
        await anyio.sleep(duration_s)
        for vm in vms:
            sim.tasks.start_soon(_register_late, sim, vm)
    await anyio.sleep(max(0.0, until - anyio.current_time()))


async def _register_late(sim, vm):
    await anyio.sleep(sim.draw.uniform(0.0, 5.0))
    if vm in sim.nodes:
        register(sim, vm)
