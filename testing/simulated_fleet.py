"""A fleet of control loops in virtual time, with a fake store and fake links."""

import contextlib
import random
import types

import anyio
import attrs

from carobstand import errors
from carobstand.agent import control as agent_control
from carobstand.agent import peers as agent_peers
from carobstand.agent import state as agent_states
from carobstand.core import topology
from carobstand.entry import control as entry_control
from carobstand.entry import peers as entry_peers
from carobstand.entry import state as entry_states
from carobstand.platform import vms as vm_lists
from carobstand.wire import codec, connection, handlers
from carobstand.wire.gen import ttypes
from testing import fake_store

PHASE = ttypes.ReplicaPhase

SILENCE_DETECTION_S = 3.0
"""Time until a silent connection is detected and replaced (section 7)."""


@attrs.define(eq=False)
class Node:
    """A running process: its VM, state, message handlers and link to the store."""

    vm: object
    state: object
    table: dict
    run: object
    link: dict
    scope: object = attrs.field(factory=anyio.CancelScope)
    fences: dict = attrs.field(factory=dict)


@attrs.define(eq=False)
class Fleet:
    """The VMs, processes and connections of a simulated fleet, and its faults.

    The VM list shows `listed_vms`, or all of `vms` if it is None.
    `is_cut` returns whether two VMs cannot connect.
    Pairs in `silent_pairs` are connected but deliver nothing.
    """

    rng: random.Random
    shared: fake_store.SharedState
    tg: object
    vms: dict = attrs.field(factory=dict)
    listed_vms: object = None
    nodes: dict = attrs.field(factory=dict)
    conns: dict = attrs.field(factory=dict)
    is_cut: object = lambda a, b: False
    silent_pairs: set = attrs.field(factory=set)
    start_count: int = 0
    vm_list_fetches: int = 0


@contextlib.asynccontextmanager
async def running(seed, entries=2, agents=4, regions=2, service="drafter"):
    """Run a fleet of that size; the VMs are ``e-0``… and ``a-00``…"""
    rng = random.Random(seed)
    async with anyio.create_task_group() as tg:
        fleet = Fleet(rng, fake_store.SharedState(rng), tg)
        for number in range(entries):
            add_vm(fleet, f"e-{number}", "entry", number % regions)
        for number in range(agents):
            add_vm(fleet, f"a-{number:02}", "agent", number % regions, (service,))
        for name in fleet.vms:
            start(fleet, name)
        tg.start_soon(_connect_loop, fleet)
        yield fleet
        tg.cancel_scope.cancel()


def add_vm(fleet, name, role, region, services=()):
    fleet.vms[name] = vm_lists.Vm(
        name,
        role,
        f"127.0.0.1:{len(fleet.vms)}",
        f"fd-{region}",
        f"r-{region}",
        services,
    )


def start(fleet, name):
    """Start the process of a VM, with a new start id."""
    vm = fleet.vms[name]
    fleet.start_count += 1
    start_id = f"{name}-start-{fleet.start_count}"
    store, link = fake_store.client(fleet.shared)

    async def fetch():
        fleet.vm_list_fetches += 1
        await anyio.sleep(0.002)
        listed = fleet.vms.values() if fleet.listed_vms is None else fleet.listed_vms
        return tuple(listed)

    cfg = types.SimpleNamespace(vm=name, services=vm.services)
    vm_list = vm_lists.VmList(fetch, None)
    if vm.role == "entry":
        state = entry_states.EntryState(cfg, start_id, store, vm_list)
        parts = [entry_peers.part(state), entry_control.part(state)]
    else:
        state = agent_states.AgentState(cfg, start_id)
        parts = [agent_peers.part(state), agent_control.part(state)]
    node = Node(vm, state, handlers.merge(parts), parts[1].run, link)
    fleet.nodes[name] = node
    fleet.tg.start_soon(_run_node, fleet, node)
    return node


async def _run_node(fleet, node):
    with node.scope:
        async with anyio.create_task_group() as tg:
            tg.start_soon(node.run)
            if node.vm.role == "agent":
                tg.start_soon(_run_backend, fleet, node)


def kill(fleet, name):
    """End the process of a VM without a Goodbye message."""
    node = fleet.nodes.pop(name)
    node.scope.cancel()
    for pair in [pair for pair in fleet.conns if name in pair]:
        disconnect(fleet, pair)


def announce_stop(fleet, name):
    """Announce the planned stop of an agent."""
    node = fleet.nodes[name]
    node.state.leaving = True
    for conn in node.state.entries.values():
        connection.post(conn, ttypes.Goodbye(reason="stopping"))
    node.state.changed.notify()


def expected_connections(fleet):
    """Return the pairs of VMs that are connected when all links work."""
    entries = sorted(n for n, node in fleet.nodes.items() if node.vm.role == "entry")
    wanted = set()
    for name, node in fleet.nodes.items():
        if node.vm.role == "entry":
            others = topology.entries_to_dial(name, entries)
        else:
            others = topology.entries_of_agent(name, entries)
        wanted.update((name, other) for other in others)
    return sorted(wanted)


async def _connect_loop(fleet):
    while True:
        for pair in list(fleet.conns):
            if fleet.is_cut(*(fleet.vms[name] for name in pair)):
                disconnect(fleet, pair)
        for pair in expected_connections(fleet):
            vms = [fleet.vms[name] for name in pair]
            if pair not in fleet.conns and not fleet.is_cut(*vms):
                connect(fleet, pair)
        await anyio.sleep(fleet.rng.uniform(0.3, 0.6))


def _hello(node):
    vm = node.vm
    return ttypes.Hello(
        protocol=1,
        role=ttypes.Role.ENTRY if vm.role == "entry" else ttypes.Role.AGENT,
        vm=vm.vm,
        start_id=node.state.start_id,
        failure_domain=vm.failure_domain,
        region=vm.region,
        address=vm.address,
        services=list(vm.services),
    )


def connect(fleet, pair):
    left, right = (fleet.nodes[name] for name in pair)
    left_conn = connection.Connection(None, _hello(right), right.vm.address)
    right_conn = connection.Connection(None, _hello(left), left.vm.address)
    fleet.conns[pair] = (left_conn, right_conn)
    for node, conn in ((left, left_conn), (right, right_conn)):
        _register(node, conn)
    fleet.tg.start_soon(_deliver_frames, fleet, pair, left_conn, right, right_conn)
    fleet.tg.start_soon(_deliver_frames, fleet, pair, right_conn, left, left_conn)


def _register(node, conn):
    other = conn.peer
    if node.vm.role == "agent":
        node.state.entries[other.vm] = conn
    elif other.role == ttypes.Role.AGENT:
        node.state.agents[other.vm] = entry_states.AgentPeer(conn, other)
    else:
        node.state.entries[other.vm] = entry_states.EntryPeer(conn, other)
    node.state.changed.notify()


def disconnect(fleet, pair):
    ends = fleet.conns.pop(pair)
    for name, conn in zip(pair, ends, strict=True):
        connection.close(conn)
        node = fleet.nodes.get(name)
        if node is None:
            continue
        for group in (getattr(node.state, "agents", {}), node.state.entries):
            peer = group.get(conn.peer.vm)
            if peer is conn or getattr(peer, "conn", None) is conn:
                del group[conn.peer.vm]
        node.state.changed.notify()


async def _deliver_frames(fleet, pair, source, target, target_conn):
    """Deliver the frames that `source` queues to the node `target`, in order."""
    while not source.closed.is_set():
        if not source.queue:
            source.wakeup = anyio.Event()
            await source.wakeup.wait()
            continue
        frames = list(source.queue)
        source.queue.clear()
        source.queued_bytes = 0
        await anyio.sleep(fleet.rng.uniform(0.001, 0.01))
        while target.link["paused"] and not source.closed.is_set():
            await anyio.sleep(0.1)
        if pair in fleet.silent_pairs:
            await anyio.sleep(SILENCE_DETECTION_S)
            if not source.closed.is_set() and pair in fleet.conns:
                disconnect(fleet, pair)
            return
        for frame in frames:
            if target_conn.closed.is_set():
                return
            message, _ = codec.decode(frame[codec.LENGTH.size :])
            await handlers.dispatch(target.table, target_conn, message)


async def _run_backend(fleet, node):
    """Fetch and serve the assigned versions, with random delays."""
    state = node.state
    while True:
        await anyio.sleep(fleet.rng.uniform(0.1, 0.4))
        for service, assignment in list(state.assignments.items()):
            assert assignment.plan_revision >= node.fences.get(service, 0)
            node.fences[service] = assignment.plan_revision
            if _advance_replicas(fleet, state.replicas, service, assignment):
                state.changed.notify()


def _advance_replicas(fleet, replicas, service, assignment):
    phases_before = {key: replica.phase for key, replica in replicas.items()}
    for name in assignment.fetch:
        replica = replicas.get((service, name))
        if replica is None:
            replicas[service, name] = ttypes.Replica(
                service_name=service, version=name, phase=PHASE.FETCHING
            )
        elif replica.phase == PHASE.FETCHING and fleet.rng.random() < 0.3:
            replica.phase = PHASE.VERIFIED
    replicas_to_serve = [replicas.get((service, name)) for name in assignment.serve]
    if all(
        replica and replica.phase != PHASE.FETCHING for replica in replicas_to_serve
    ):
        for (_, name), replica in list(replicas.items()):
            if name in assignment.serve:
                replica.phase = min(PHASE.SERVING, replica.phase + 1)
            elif name in assignment.fetch:
                replica.phase = min(PHASE.VERIFIED, replica.phase)
            else:
                del replicas[service, name]
    return phases_before != {key: replica.phase for key, replica in replicas.items()}


async def wait_until(condition, timeout_s, what):
    """Wait in virtual time; raise AssertionError with `what` after `timeout_s`."""
    deadline = anyio.current_time() + timeout_s
    while not condition():
        if anyio.current_time() > deadline:
            raise AssertionError(f"not within {timeout_s} s: {what}")
        await anyio.sleep(0.05)


def is_revision_applied(fleet, revision):
    """Return whether every running process holds that table revision or a later one."""
    return all(
        node.state.table is not None and node.state.table.revision >= revision
        for node in fleet.nodes.values()
    )


def planner_vm(fleet):
    """Return the VM that holds the planner lease, or None."""
    item = fleet.shared.items.get("lease/planner")
    if item is None:
        return None
    for name, node in fleet.nodes.items():
        if node.state.start_id.encode() == item.value:
            return name
    return None


def first_error(group):
    """Return the first carobstand error or assertion in an exception group."""
    while isinstance(group, BaseExceptionGroup):
        expected = (errors.CarobstandError, AssertionError)
        matching, _ = group.split(expected)
        group = (matching or group).exceptions[0]
    return group
