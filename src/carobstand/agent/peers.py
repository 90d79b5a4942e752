"""Connections of an agent to entries, and to and from other agents."""

import random

import anyio

from carobstand import errors, logs, settings
from carobstand.core import topology
from carobstand.wire import connection, dialing, handlers, tls
from carobstand.wire.gen import ttypes

VM_LIST_INTERVAL_S = 20.0
"""Mean interval between VM list reads while connected.

At 11,000 agents this makes 550 reads/s.
"""

VM_LIST_RETRY_S = 1.0
"""First interval between VM list reads while no entry is connected."""

VM_LINE_BYTES = 160
"""Size of one line of the VM list."""

VM_LIST_BYTES_PER_S = 1_000
"""Bandwidth for VM list reads of an agent that is connected to all its entries.

This is a fifth of the 5 KB/s for control traffic. At 11,000 VMs the list is read every
half hour.
"""


def hello_of(state):
    """Return the `Hello` message of this agent."""
    return ttypes.Hello(
        protocol=connection.PROTOCOL_VERSION,
        role=ttypes.Role.AGENT,
        vm=state.cfg.vm,
        start_id=state.start_id,
        failure_domain=state.cfg.failure_domain,
        region=state.cfg.region,
        address=settings.advertised_address(state.cfg),
        services=list(state.cfg.services),
    )


def part(state):
    """Return the `Goodbye` handler, which sets ``extra["goodbye"]``."""

    async def on_goodbye(conn, message):
        conn.extra["goodbye"] = True
        logs.event("peer.leaving", peer=conn.peer.vm, reason=message.reason)
        state.changed.notify()

    return handlers.Part(handlers={ttypes.Goodbye: on_goodbye})


async def listen(state, listener, handler_table):
    """Accept connections of other agents until cancelled.

    Parameters
    ----------
    state : AgentState
    listener : anyio listener
    handler_table : dict
        Message type to handler.
    """

    async def on_connection(conn):
        await _run(conn, handler_table)

    await connection.serve(
        listener, lambda: hello_of(state), on_connection, tls.acceptor(state.cfg)
    )


async def _run(conn, handler_table):
    await dialing.run_and_log(conn, dialing.dispatcher(handler_table))


def peer_dialer(state, tg, handler_table):
    """Return an async callable that returns an open connection to another agent.

    Parameters
    ----------
    state : AgentState
    tg : anyio.abc.TaskGroup
        Runs the connections.
    handler_table : dict

    Returns
    -------
    dial_peer : async callable of an address
        Raises ConnectionClosedError or HandshakeError.
    """
    open_conns = {}
    locks = {}

    async def run(address, conn):
        try:
            await _run(conn, handler_table)
        finally:
            if open_conns.get(address) is conn:
                del open_conns[address]

    async def dial_peer(address):
        async with locks.setdefault(address, anyio.Lock()):
            conn = open_conns.get(address)
            if conn is not None and not conn.closed.is_set():
                return conn
            context = tls.client_context(state.cfg)
            conn = await connection.dial(address, hello_of(state), context)
            open_conns[address] = conn
            tg.start_soon(run, address, conn)
            return conn

    return dial_peer


async def read_vm_list(state):
    """Read the VM list periodically, more often while entries are unreachable."""
    disconnected_reads = 0
    while True:
        try:
            state.vms = await state.vm_list.fetch()
            state.changed.notify()
        except errors.CarobstandError as exc:
            logs.event("vms.failed", error=exc.message, step=exc.step, peer=exc.peer)
        disconnected_reads = 0 if state.entries else disconnected_reads + 1
        interval_s = vm_list_interval_s(state, disconnected_reads)
        await anyio.sleep(interval_s * random.uniform(0.7, 1.3))


def vm_list_interval_s(state, disconnected_reads):
    """Return the mean time until the next VM list read.

    Parameters
    ----------
    state : AgentState
    disconnected_reads : int
        Consecutive reads without a connection to any entry. The interval doubles with
        each, because a restart of the entries disconnects all agents at once.
    """
    if disconnected_reads:
        return min(
            VM_LIST_INTERVAL_S, VM_LIST_RETRY_S * 2 ** min(disconnected_reads - 1, 10)
        )
    live = [vm.vm for vm in state.vms if vm.role == "entry" and not vm.leaving]
    if set(topology.entries_of_agent(state.cfg.vm, live)) <= state.entries.keys():
        budget_interval_s = len(state.vms) * VM_LINE_BYTES / VM_LIST_BYTES_PER_S
        return max(VM_LIST_INTERVAL_S, budget_interval_s)
    return VM_LIST_INTERVAL_S


async def dial_entries(state, handler_table):
    """Maintain a connection to each entry that `core.topology` selects."""

    async def run(conn):
        await _run_entry(state, conn, handler_table)

    await dialing.keep_connected(
        state,
        lambda: hello_of(state),
        lambda names: topology.entries_of_agent(state.cfg.vm, names),
        lambda name: name in state.entries,
        run,
    )


async def _run_entry(state, conn, handler_table):
    name = conn.peer.vm
    state.entries[name] = conn
    state.changed.notify()
    logs.event("peer.connected", peer=name, peer_start=conn.peer.start_id)
    try:
        if state.leaving:
            connection.post(conn, ttypes.Goodbye(reason="stopping"))
        await _run(conn, handler_table)
    finally:
        if state.entries.get(name) is conn:
            del state.entries[name]
        logs.event("peer.lost", peer=name, peer_start=conn.peer.start_id)
        state.changed.notify()


async def leave(state, timeout_s):
    """Announce the stop; wait until no attempts arrive or run any more.

    Parameters
    ----------
    state : AgentState
    timeout_s : float
        Maximum wait for attempts in progress.

    Returns
    -------
    drained : bool
        Whether all attempts ended within the timeout.
    """
    state.leaving = True
    for conn in list(state.entries.values()):
        connection.post(conn, ttypes.Goodbye(reason="stopping"))
    state.changed.notify()
    deadline = anyio.current_time() + timeout_s
    while anyio.current_time() < deadline:
        acknowledged = all(conn.extra.get("goodbye") for conn in state.entries.values())
        if acknowledged and state.running_attempts == 0:
            return True
        await state.changed.wait(0.1)
    return state.running_attempts == 0
