"""Connections of an entry with agents and other entries."""

import anyio

from carobstand import logs, settings
from carobstand.core import topology
from carobstand.entry import state as states
from carobstand.wire import connection, dialing, handlers, tls
from carobstand.wire.gen import ttypes


def hello_of(state):
    """Return the `Hello` message of this entry."""
    return ttypes.Hello(
        protocol=connection.PROTOCOL_VERSION,
        role=ttypes.Role.ENTRY,
        vm=state.cfg.vm,
        start_id=state.start_id,
        failure_domain=state.cfg.failure_domain,
        region=state.cfg.region,
        address=settings.advertised_address(state.cfg),
        services=[],
    )


def part(state):
    """Return the handler of `Goodbye`.

    The loops `listen` and `dial_entries` are started separately.
    """

    async def on_goodbye(conn, message):
        peer = _peer_of(state, conn)
        if peer is None:
            return
        if isinstance(peer, states.AgentPeer):
            peer.leaving = True
            connection.post(conn, ttypes.Goodbye(reason="acknowledged"))
        logs.event("peer.leaving", peer=conn.peer.vm, reason=message.reason)
        state.changed.notify()

    return handlers.Part(handlers={ttypes.Goodbye: on_goodbye})


def _peer_of(state, conn):
    for group in (state.agents, state.entries):
        peer = group.get(conn.peer.vm)
        if peer is not None and peer.conn is conn:
            return peer
    return None


async def listen(state, listener, table):
    """Accept connections of agents and entries until cancelled.

    Parameters
    ----------
    state : EntryState
    listener : anyio listener
    table : dict
        Message type to handler.
    """

    async def on_connection(conn):
        await run_peer(state, conn, table)

    await connection.serve(
        listener, lambda: hello_of(state), on_connection, tls.acceptor(state.cfg)
    )


async def run_peer(state, conn, table):
    """Register the peer of `conn`, handle its messages, and remove it at the end."""
    peer = _register(state, conn)
    logs.event("peer.connected", peer=conn.peer.vm, peer_start=conn.peer.start_id)

    async def on_message(conn, message):
        peer.last_seen_at = anyio.current_time()
        await handlers.dispatch(table, conn, message)

    try:
        await dialing.run_and_log(conn, on_message)
    finally:
        _remove(state, peer)


def _register(state, conn):
    if conn.peer.role == ttypes.Role.AGENT:
        group = state.agents
        peer = states.AgentPeer(conn=conn, hello=conn.peer)
    else:
        group = state.entries
        peer = states.EntryPeer(conn=conn, hello=conn.peer)
    peer.last_seen_at = anyio.current_time()
    former = group.get(conn.peer.vm)
    if former is not None:
        connection.close(former.conn)
        _remove(state, former)
    group[conn.peer.vm] = peer
    if isinstance(peer, states.AgentPeer):
        for callback in state.agent_joined:
            callback(conn.peer.vm, peer)
    state.changed.notify()
    return peer


def _remove(state, peer):
    vm = peer.hello.vm
    group = state.agents if isinstance(peer, states.AgentPeer) else state.entries
    if group.get(vm) is not peer:
        return
    del group[vm]
    logs.event("peer.lost", peer=vm, peer_start=peer.hello.start_id)
    if isinstance(peer, states.AgentPeer):
        for callback in state.agent_lost:
            callback(vm, peer)
    state.changed.notify()


async def dial_entries(state, table):
    """Keep a connection to each entry that `core.topology` selects."""

    async def run(conn):
        await run_peer(state, conn, table)

    await dialing.keep_connected(
        state,
        lambda: hello_of(state),
        lambda names: topology.entries_to_dial(state.cfg.vm, names),
        lambda name: name in state.entries,
        run,
    )
