"""Requests and grants permits for limited backend servers, by UDP between entries."""

import math

import anyio

from carobstand import errors, eventlog
from carobstand.core import (
    announcements,
    deployment,
    entry_roster,
    permit_grants,
    permit_rates,
    permits,
    weight_sources,
)
from carobstand.entry import limit_messages, server_limits
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes

MIN_INTERVAL_S = 0.002
"""Minimum interval between steps, which bounds the work with many requests."""

IDLE_INTERVAL_S = 0.5
"""Interval of checks for entries that started, and for an own planned stop."""

INTRODUCE_INTERVAL_S = 0.3
"""Interval at which an entry that joined tells it to those that have not replied."""

ALONE_INTERVAL_S = 0.1
"""Interval of checks while no other entry grants permits."""

MAX_PORT = 65535

STALE_S = 5.0
"""Age of the last confirmed state of the store from which other entries may have joined
unnoticed. Watches confirm it more often."""


def on_request(limits, message, peer):
    """Process a datagram that asks for permits or passes on a limit."""
    try:
        is_news = server_limits.learn_from_message(limits, message, peer)
        _, port = deployment.split_address(message.address or "")
        if not message.vm or not 0 < port <= MAX_PORT:
            raise ValueError(f"no VM, or address {message.address!r}")
    except (TypeError, ValueError) as exc:
        eventlog.event("datagram.malformed", peer=peer, error=str(exc))
        return
    own_vm = limits.fleet.deployment.vm
    granting = server_limits.granting(limits, message.server_id)
    if is_news and granting[0] == own_vm:
        server_limits.spread(limits, message.server_id)
    if not message.wanted or message.wanted < 0:
        return
    is_deputy = bool(message.is_deputy)
    rank = permit_rates.Rank.DEPUTY if is_deputy else permit_rates.Rank.FIRST
    fields = {"number": message.number or 0, "is_deputy": is_deputy}
    if rank is permit_rates.Rank.FIRST and granting[0] != own_vm:
        reply = limit_messages.permit_reply(
            limits, message.server_id, is_granting=False, **fields
        )
        return _send_to(limits, message.vm, message.address, reply)
    _claim(limits, message, rank)


def _claim(limits, request, rank):
    """Record an entry's request for permits, grant it if possible, and reply."""
    server_id, vm, number = request.server_id, request.vm, request.number or 0
    if not server_limits.is_limited(limits, server_id):
        reply = limit_messages.permit_reply(
            limits, server_id, number=number, is_deputy=bool(rank)
        )
        return _send_to(limits, vm, request.address, reply)
    now = anyio.current_time()
    granter = limits.granters.setdefault((server_id, rank), permit_grants.Granter())
    permit_grants.claim(granter, vm, request.address, number, request.wanted, now)
    granted = _grant(limits, server_id, rank, granter)
    if vm not in granted:
        _send_grant(limits, server_id, rank, vm, request, 0)
    server_limits.wake(limits)


def _permits_per_s(limits, server_id, rank):
    """Return the rate at which this entry grants permits of a server in a rank."""
    announced, now = limits.fleet.announced, anyio.current_time()
    limit = announcements.limit_of(announced, server_id, now) or 0.0
    if rank is permit_rates.Rank.DEPUTY:
        return permit_rates.rate(limit, permit_rates.DEPUTY_SHARE)
    is_cold = announcements.is_cold(announced, server_id, now)
    return permit_rates.rate(limit, _first_share(limits, server_id, is_cold, now))


def _first_share(limits, server_id, is_cold, now):
    """Return the share of a limit that the first entry in the order grants."""
    if not server_limits.is_running(limits):
        return permit_rates.UNLISTED_SHARE
    confirmed_at = limits.fleet.confirmed_at
    if confirmed_at is None or now - confirmed_at > STALE_S:
        return permit_rates.COLD_STALE_SHARE if is_cold else permit_rates.STALE_SHARE
    is_alone = not is_cold and not server_limits.next_in_order(limits, server_id)
    if is_alone or server_limits.is_confirmed(limits, server_id, STALE_S):
        return 1.0
    return permit_rates.JOINED_SHARE


def _grant(limits, server_id, rank, granter):
    """Grant the permits that are due; return the VMs that got one."""
    permits_per_s = _permits_per_s(limits, server_id, rank)
    granted = permit_grants.grant(granter, permits_per_s, anyio.current_time())
    for vm, claim in granted:
        _send_grant(limits, server_id, rank, vm, claim, 1)
    return {vm for vm, _ in granted}


def _send_grant(limits, server_id, rank, vm, claim, granted):
    """Reply to a request for permits, given its `address` and `number`."""
    granter = limits.granters[server_id, rank]
    permits_per_s = _permits_per_s(limits, server_id, rank)
    waited_s = anyio.current_time() - claim.received_at if granted else 0.0
    reply = limit_messages.permit_reply(
        limits,
        server_id,
        number=claim.number,
        granted=granted,
        interval_ms=int(1000 * permit_grants.interval_s(granter, permits_per_s)),
        refresh_ms=int(1000 * permit_grants.refresh_s(granter)),
        waited_ms=int(1000 * waited_s),
        is_deputy=rank is permit_rates.Rank.DEPUTY,
    )
    _send_to(limits, vm, claim.address, reply)


def _send_to(limits, vm, address, reply):
    """Send a reply to an entry; one to this entry itself is processed at once."""
    if vm == limits.fleet.deployment.vm:
        return _process_reply(limits, reply)
    limits.outbox.append((address, reply))
    server_limits.wake(limits)


def on_reply(limits, message, peer):
    """Process a datagram that grants permits or passes on a limit."""
    try:
        server_limits.learn_from_message(limits, message, peer)
    except (TypeError, ValueError) as exc:
        eventlog.event("datagram.malformed", peer=peer, error=str(exc))
        return
    _process_reply(limits, message)


def _process_reply(limits, reply):
    holder = limits.holders.get(reply.server_id)
    if holder is None or not reply.number:
        return
    rank = permit_rates.Rank.DEPUTY if reply.is_deputy else permit_rates.Rank.FIRST
    if not reply.is_granting or _knows_no_cold_limit(limits, reply):
        permits.refused(holder, rank)
        return server_limits.wake(limits)
    was_unreachable = permits.is_unreachable(holder, rank)
    now = anyio.current_time()
    granted = (reply.granted or 0) > 0 and server_limits.is_limited(
        limits, reply.server_id
    )
    permits.receive(
        holder,
        rank,
        reply.number,
        [_expiry(limits, holder, rank, reply, now)] if granted else [],
        (reply.interval_ms or 0) / 1000 or None,
        max(0, reply.refresh_ms or 0) / 1000,
        now,
    )
    if was_unreachable and not permits.is_unreachable(holder, rank):
        eventlog.event("permits.regained", server=reply.server_id, rank=rank.name)
    if granted:
        limits.permit_arrived(reply.server_id)
    server_limits.wake(limits)


def _knows_no_cold_limit(limits, reply):
    """Whether an entry that should grant permits of a cold server knows no limit.

    It may run an earlier version, or hold a configuration without the service. It will
    not grant any, so the others in the order are asked.
    """
    if reply.limit is not None or reply.cold_ms:
        return False
    announced, now = limits.fleet.announced, anyio.current_time()
    return announcements.is_cold(announced, reply.server_id, now)


def _expiry(limits, holder, rank, reply, now):
    """Return the time at which a permit that arrives now expires."""
    announced, server_id = limits.fleet.announced, reply.server_id
    lifetime_s = announcements.permit_s(announced, server_id, now)
    if not announcements.is_cold(announced, server_id, now):
        return now + lifetime_s
    waited_s = max(0, reply.waited_ms or 0) / 1000
    return permits.cold_expiry(holder, rank, reply.number, waited_s, lifetime_s, now)


def on_leaving(limits, message):
    """Process a datagram that announces the planned stop of an entry."""
    if message.vm:
        stopped_at = anyio.current_time() + limits.fleet.deployment.bounds.stop_s
        limits.fleet.roster.leaving[message.vm] = stopped_at
        eventlog.event("entry.leaving", entry=message.vm)


def on_joined(limits, message, peer):
    """Process a datagram of an entry that joined, or that knows that this one did."""
    try:
        _, port = deployment.split_address(message.address or "")
        if not message.vm or not 0 < port <= MAX_PORT:
            raise ValueError(f"no VM, or address {message.address!r}")
    except ValueError as exc:
        eventlog.event("datagram.malformed", peer=peer, error=str(exc))
        return
    if message.is_reply:
        limits.aware.add(message.vm)
        return server_limits.wake(limits)
    entry = weight_sources.Entry(
        message.vm, message.address, message.failure_domain or "", message.region or ""
    )
    entry_roster.introduce(limits.fleet.roster, entry, anyio.current_time())
    limits.outbox.append((message.address, _joined(limits, is_reply=True)))
    server_limits.wake(limits)


def _joined(limits, is_reply=False):
    me = weight_sources.entry_from_deployment(limits.fleet.deployment)
    return ttypes.EntryJoined(
        vm=me.vm,
        address=me.address,
        failure_domain=me.failure_domain,
        region=me.region,
        is_reply=is_reply,
    )


def _introduce(limits, now):
    """Tell others that this entry has joined, until they know or it was long ago."""
    if limits.fleet.deployment.vm not in limits.fleet.roster.entries:
        limits.listed_at, limits.introduce_at = None, -math.inf
        limits.aware.clear()
        return
    if limits.listed_at is None:
        limits.listed_at = now
    if now < limits.introduce_at or now > limits.listed_at + STALE_S:
        return
    limits.introduce_at = now + INTRODUCE_INTERVAL_S
    others = server_limits.others(limits)
    for vm in sorted(_to_introduce_to(limits, others) - limits.aware):
        limits.outbox.append((others[vm].address, _joined(limits)))


def _to_introduce_to(limits, others):
    """Return the VMs of the entries that need to know soon that this one has joined.

    They are those that granted the permits that it grants now. A server that was warm
    may be cold any time: where that limits requests, all of the others are told.
    """
    config = limits.fleet.configuration
    if config and any(item.sustained_per_s for item in config.services.values()):
        return set(others)
    found = set()
    for server_id in limits.fleet.announced.by_server:
        is_limited = server_limits.is_limited(limits, server_id)
        if is_limited and server_limits.is_first(limits, server_id):
            found.update(server_limits.next_in_order(limits, server_id))
    return found & set(others)


async def run(limits):
    """Request and grant permits until cancelled."""
    async with await anyio.create_udp_socket(
        local_host=limits.fleet.deployment.ip
    ) as udp:
        while True:
            limits.is_changed = False
            next_at = step(limits)
            outbox, limits.outbox = limits.outbox, []
            for address, message in outbox:
                await _send(udp, address, message)
            if not limits.is_changed:
                pause_s = next_at - anyio.current_time()
                await limits.woken.wait(max(MIN_INTERVAL_S, pause_s))


def step(limits):
    """Do what is due; return the time of the next step."""
    now = anyio.current_time()
    _announce_stop(limits)
    _introduce(limits, now)
    _greet_new_entries(limits)
    due = [item for item in limits.repeats if item[0] <= now]
    limits.repeats = [item for item in limits.repeats if item[0] > now]
    limits.outbox += [(address, message) for _, address, message in due]
    next_at = min([now + IDLE_INTERVAL_S, *(item[0] for item in limits.repeats)])
    for server_id, holder in list(limits.holders.items()):
        if not server_limits.is_limited(limits, server_id):
            del limits.holders[server_id]
            limits.permit_arrived(server_id)
            continue
        cold_until = limits.fleet.announced.by_server[server_id].cold_until
        if cold_until > now:
            next_at = min(next_at, cold_until)
        next_at = min(next_at, _ask(limits, server_id, holder, now))
    for (server_id, rank), granter in list(limits.granters.items()):
        if not _is_to_grant(limits, server_id, rank):
            del limits.granters[server_id, rank]
            continue
        _grant(limits, server_id, rank, granter)
        permits_per_s = _permits_per_s(limits, server_id, rank)
        next_at = min(next_at, permit_grants.next_grant_at(granter, permits_per_s))
    return next_at


def _is_to_grant(limits, server_id, rank):
    """Whether this entry goes on granting permits to those that wait for them."""
    if not server_limits.is_limited(limits, server_id):
        return False
    is_deputy = rank is permit_rates.Rank.DEPUTY
    return is_deputy or server_limits.is_first(limits, server_id)


def _ask(limits, server_id, holder, now):
    """Request permits of a server if some are wanted; return when to do so again."""
    announced = limits.fleet.announced
    limit = announcements.limit_of(announced, server_id, now)
    wanted = permits.wanted(holder, limit, now)
    if not wanted:
        return holder.expiries[0] if holder.expiries else math.inf
    vms = server_limits.granting(limits, server_id)
    permits.follow_order(holder, vms)
    for rank in permit_rates.Rank:
        was_unreachable = permits.is_unreachable(holder, rank)
        number = permits.due(holder, rank, now)
        if number is None:
            continue
        if rank >= len(vms):
            permits.refused(holder, rank)
        else:
            _ask_entry(limits, server_id, rank, vms[rank], number, wanted)
        if permits.is_unreachable(holder, rank) and not was_unreachable:
            entry = vms[rank] if rank < len(vms) else None
            eventlog.event(
                "permits.lost", server=server_id, entry=entry, rank=rank.name
            )
    before = len(holder.expiries)
    entries = 1 + len(server_limits.others(limits))
    lifetime_s = announcements.permit_s(announced, server_id, now)
    permits.accrue_alone(holder, limit, lifetime_s, entries, now, limits.draw)
    if len(holder.expiries) > before:
        limits.permit_arrived(server_id)
    if holder.credited_at is not None:
        return min(now + ALONE_INTERVAL_S, permits.next_due_at(holder))
    return permits.next_due_at(holder)


def _ask_entry(limits, server_id, rank, vm, number, wanted):
    request = limit_messages.permit_request(limits, server_id, wanted, number, rank)
    if vm == limits.fleet.deployment.vm:
        return _claim(limits, request, rank)
    entry = server_limits.others(limits)[vm]
    limits.outbox.append((entry.address, request))


def _announce_stop(limits):
    """Tell the other entries of a planned stop, so that others grant permits."""
    if limits.has_announced_stop or not math.isfinite(limits.fleet.stops_at):
        return
    limits.has_announced_stop = True
    message = ttypes.EntryLeaving(vm=limits.fleet.deployment.vm)
    server_limits.send_twice(limits, server_limits.others(limits).values(), message)
    limits.fleet.roster.leaving[limits.fleet.deployment.vm] = math.inf


def _greet_new_entries(limits):
    """Send limits to entries that have just started, from those that grant permits."""
    others = server_limits.others(limits)
    new = [vm for vm in others if vm not in limits.greeted]
    limits.greeted = set(others)
    announced = limits.fleet.announced.by_server
    if not new or not announced:
        return
    own_vm, now = limits.fleet.deployment.vm, anyio.current_time()
    for server_id, item in announced.items():
        is_limited = item.limit is not None or item.cold_until > now
        if is_limited and own_vm in server_limits.granting(limits, server_id):
            message = limit_messages.permit_reply(limits, server_id)
            limits.outbox += [(others[vm].address, message) for vm in new]


async def _send(udp, address, message):
    try:
        await udp.sendto(
            fleet_codec.encode(message), *deployment.split_address(address)
        )
    except OSError as exc:
        eventlog.debug("permits.unsent", peer=address, error=str(exc))
    except errors.WireError as exc:
        # The other messages of the outbox are sent.
        eventlog.failure("datagram.failed", exc, peer=address)
