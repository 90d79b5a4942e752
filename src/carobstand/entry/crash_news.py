"""Requests that crash backend servers: what this entry saw, and what others tell it."""

import hashlib

import anyio

from carobstand import eventlog
from carobstand.core import crashes, deployment
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes

CONFIRM_INTERVAL_S = 0.2
"""Interval in which lost runs are compared with the starts of their servers."""

SENDS = 2
"""Times that each crash is told to the other entries, as datagrams may be lost."""

FINGERPRINT_BYTES = 16
"""Enough that no two requests of a deployment share a fingerprint."""


def fingerprint(call):
    """Return what a request has in common with its repetitions by the same caller."""
    digest = hashlib.sha256()
    for part in (call.req.target, call.customer.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()[:FINGERPRINT_BYTES]


def is_deadly(fwd, call):
    """Whether a request must not be run again."""
    if not fwd.crashes_seen.suspected.held:
        return False
    now = anyio.current_time()
    return crashes.is_deadly(fwd.crashes_seen, fingerprint(call), now)


def note_lost(fwd, call, server):
    """Record that a run ended without an answer."""
    started_ms = _starts(fwd).get(server.address, 0)
    now = anyio.current_time()
    crashes.note_lost(
        fwd.crashes_seen, fingerprint(call), server.address, started_ms, now
    )


def note_answered(fwd, call):
    """Record that a request was answered."""
    if fwd.crashes_seen.suspected.held:
        crashes.note_answered(fwd.crashes_seen, fingerprint(call))


async def share(fwd):
    """Tell other entries of crashes that this one saw, until cancelled."""
    recent = []
    async with await anyio.create_udp_socket(local_host=fwd.fleet.deployment.ip) as udp:
        while True:
            await anyio.sleep(CONFIRM_INTERVAL_S)
            if fwd.crashes_seen.lost:
                recent += [(item, SENDS) for item in _confirm(fwd)]
            for item, _ in recent:
                await _send(fwd, udp, item)
            recent = [(item, left - 1) for item, left in recent if left > 1]


def _confirm(fwd):
    starts = _starts(fwd)
    now = anyio.current_time()
    confirmed = crashes.confirm(fwd.crashes_seen, lambda one: starts.get(one, 0), now)
    for key, failure in confirmed:
        eventlog.event("request.crashed_server", request=key.hex(), failure=failure)
    return confirmed


def _starts(fwd):
    """Return the newest known start of each server in Unix ms, by its address."""
    starts = {}
    for item in fwd.fleet.servers.servers.values():
        starts[item.address] = max(starts.get(item.address, 0), item.started_ms)
    for address, load in fwd.loads.by_address.items():
        starts[address] = max(starts.get(address, 0), load.started_ms)
    return starts


async def _send(fwd, udp, item):
    raw = fleet_codec.encode(ttypes.FailedRun(*item))
    for entry in list(fwd.fleet.entries.values()):
        if entry.vm == fwd.fleet.deployment.vm:
            continue
        host, port = deployment.split_address(entry.address)
        try:
            await udp.sendto(raw, host, port)
        except OSError as exc:
            eventlog.debug("crash.untold", peer=entry.address, error=str(exc))


def take(fwd, message, peer):
    """Record a crash that another entry saw."""
    if not message.fingerprint or not message.server_start:
        eventlog.event("datagram.malformed", peer=peer, error="empty field")
        return
    now = anyio.current_time()
    crashes.add(fwd.crashes_seen, message.fingerprint, message.server_start, now)
