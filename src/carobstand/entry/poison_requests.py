"""Detects poison requests, which crash backend servers, and shares them by UDP."""

import hashlib

import anyio

from carobstand import eventlog
from carobstand.core import crashes, deployment
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes

CONFIRM_INTERVAL_S = 0.2
"""Interval at which lost runs are checked against restarts of their servers."""

SENDS_PER_CRASH = 2
"""Datagrams per crash and entry; more than one, as datagrams may be lost."""

FINGERPRINT_BYTES = 16
"""Truncated digest length; collisions within a deployment are negligible."""


def fingerprint(call):
    """Return a hash that is equal for client retries of the same request."""
    digest = hashlib.sha256()
    for part in (call.req.target, call.customer.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()[:FINGERPRINT_BYTES]


def is_poison(fwd, call):
    """Return whether a request crashed servers and must not run again."""
    if not fwd.crashes_seen.suspected.held:
        return False
    now = anyio.current_time()
    return crashes.is_poison(fwd.crashes_seen, fingerprint(call), now)


def record_lost_run(fwd, call, server):
    """Record that a run ended without a response."""
    started_ms = _server_starts(fwd).get(server.address, 0)
    now = anyio.current_time()
    crashes.record_lost(
        fwd.crashes_seen, fingerprint(call), server.address, started_ms, now
    )


def record_answered(fwd, call):
    """Record that a request got a response."""
    if not fwd.crashes_seen.suspected.held:
        return
    key = fingerprint(call)
    if crashes.clear_answered(fwd.crashes_seen, key):
        eventlog.event(
            "request.cleared", fingerprint=key.hex(), request=call.req.request_id
        )


async def share(fwd):
    """Send crashes seen by this entry to the other entries, until cancelled."""
    pending = []
    async with await anyio.create_udp_socket(local_host=fwd.fleet.deployment.ip) as udp:
        while True:
            await anyio.sleep(CONFIRM_INTERVAL_S)
            if fwd.crashes_seen.lost:
                pending += [(item, SENDS_PER_CRASH) for item in _confirm(fwd)]
            for item, _ in pending:
                await _send(fwd, udp, item)
            pending = [
                (item, remaining - 1) for item, remaining in pending if remaining > 1
            ]


def _confirm(fwd):
    starts = _server_starts(fwd)
    now = anyio.current_time()
    confirmed = crashes.count_confirmed(
        fwd.crashes_seen, lambda address: starts.get(address, 0), now
    )
    for key, failure, after_s in confirmed:
        eventlog.event(
            "request.crashed_server",
            request=key.hex(),
            failure=failure,
            after_s=round(after_s, 3),
            source="own",
        )
    return [(key, failure) for key, failure, _ in confirmed]


def _server_starts(fwd):
    """Return the latest known start of each server in Unix ms, by address."""
    starts = {}
    for item in fwd.fleet.servers.servers.values():
        starts[item.address] = max(starts.get(item.address, 0), item.started_ms)
    for address, load in fwd.loads.by_address.items():
        starts[address] = max(starts.get(address, 0), load.started_ms)
    return starts


async def _send(fwd, udp, item):
    raw = fleet_codec.encode(ttypes.FailedRun(*item))
    for entry in list(fwd.fleet.roster.entries.values()):
        if entry.vm == fwd.fleet.deployment.vm:
            continue
        host, port = deployment.split_address(entry.address)
        try:
            await udp.sendto(raw, host, port)
        except OSError as exc:
            eventlog.debug("crash.untold", peer=entry.address, error=str(exc))


def on_crash_report(fwd, message, peer):
    """Record a crash reported by another entry."""
    if not message.fingerprint or not message.server_start:
        eventlog.event("datagram.malformed", peer=peer, error="empty field")
        return
    now = anyio.current_time()
    if crashes.add(fwd.crashes_seen, message.fingerprint, message.server_start, now):
        eventlog.event(
            "request.crashed_server",
            request=message.fingerprint.hex(),
            failure=message.server_start,
            after_s=None,
            source=peer,
        )
