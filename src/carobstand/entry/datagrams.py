"""Receives UDP datagrams: engine loads, and evidence and permits of other entries."""

import anyio

from carobstand import errors, eventlog
from carobstand.core import engine_load, registry
from carobstand.entry import (
    cold_servers,
    demand_exchange,
    part_evidence,
    permit_exchange,
    queueing,
    versions,
)
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes


async def listen(fwd):
    """Receive datagrams until cancelled."""
    dep = fwd.fleet.deployment
    async with await anyio.create_udp_socket(
        local_host=dep.ip, local_port=dep.internal_ports[0]
    ) as udp:
        async for raw, peer in udp:
            try:
                message = fleet_codec.decode(raw)
            except errors.WireError as exc:
                eventlog.event("datagram.malformed", peer=peer[0], error=exc.message)
                continue
            try:
                _process(fwd, message, peer[0])
            except Exception as exc:
                # The socket would be closed, and datagrams lost until it is back.
                eventlog.failure("datagram.failed", exc, peer=peer[0])


def _process(fwd, message, peer):
    if isinstance(message, ttypes.EngineLoad):
        _on_engine_load(fwd, message, peer)
    elif isinstance(message, ttypes.PermitRequest):
        permit_exchange.on_request(fwd.limits, message, peer)
    elif isinstance(message, ttypes.PermitReply):
        permit_exchange.on_reply(fwd.limits, message, peer)
    elif isinstance(message, ttypes.PartReport):
        part_evidence.on_report(fwd, message, peer)
    elif isinstance(message, ttypes.PartQuery):
        part_evidence.on_query(fwd, message, peer)
    elif isinstance(message, ttypes.EntryJoined):
        permit_exchange.on_joined(fwd.limits, message, peer)
    elif isinstance(message, ttypes.DemandReport):
        demand_exchange.on_report(fwd, message, peer)
    elif isinstance(message, ttypes.DemandSummary):
        demand_exchange.on_summary(fwd, message, peer)
    elif isinstance(message, ttypes.EntryLeaving):
        permit_exchange.on_leaving(fwd.limits, message)


def _on_engine_load(fwd, message, peer):
    try:
        load = _decode_load(message, peer)
    except (TypeError, ValueError) as exc:
        eventlog.event("datagram.malformed", peer=peer, error=str(exc))
        return
    before = fwd.loads.by_address.get(load.address)
    if not engine_load.put(fwd.loads, load):
        return
    if message.named_ago_ms:
        for server in _servers_at(fwd, load.address):
            versions.note_named(fwd.fleet, server, message.named_ago_ms)
    if before is None or load.started_ms > before.started_ms:
        for server in _servers_at(fwd, load.address):
            cold_servers.note_start(fwd.fleet, server.server_id, load.started_ms)
            known_ms = max(server.started_ms, before.started_ms if before else 0)
            if 0 < known_ms < load.started_ms:
                cold_servers.assume_cold(
                    fwd.fleet, server.server_id, load.started_ms, "report"
                )
    if not fwd.queue.waiters:
        return
    if before is None or _has_more_capacity(before, load):
        for server in _servers_at(fwd, load.address):
            queueing.note_freed_capacity(fwd, server.service, server.server_id)
        fwd.capacity_freed.notify()


def _servers_at(fwd, address):
    servers = fwd.fleet.servers.servers.values()
    return [server for server in servers if server.address == address]


def _has_more_capacity(before, load):
    """Whether a new load report may allow waiting requests to be sent."""
    fewer = load.running + load.waiting < before.running + before.waiting
    is_faster = load.slowness < before.slowness
    return (
        fewer
        or is_faster
        or (load.holding, load.is_busy) != (before.holding, before.is_busy)
    )


def _decode_load(message, peer):
    now = anyio.current_time()
    holding = None
    if message.version is not None:
        holding = registry.Holding(
            model=message.model or "",
            version=message.version,
            start=message.first_layer or 0,
            end=message.end_layer,
        )
    loads_at, held_tokens = None, message.held_tokens
    if message.load_in_ms is not None and message.load_in_ms >= 0:
        loads_at = now + message.load_in_ms / 1000
    return engine_load.EngineLoad(
        address=message.address or "",
        started_ms=message.started_ms or 0,
        number=int(message.number),
        running=int(message.running),
        waiting=int(message.waiting),
        slowness=engine_load.usable_slowness(message.slowness),
        is_busy=bool(message.busy),
        holding=holding,
        received_at=now,
        next_load_at=loads_at,
        agent_host=peer,
        receiving_version=message.receiving_version,
        receiving_pieces=int(message.receiving_pieces or 0),
        copies=tuple(message.copies or ()),
        held_tokens=None if held_tokens is None else max(0, int(held_tokens)),
    )
