"""Pull-based swarm: decides which chunks to fetch from where and which to upload.

`step` takes the state, an event and the time, and returns effects to carry out. All
chunks pass through `core.chunks`, so unverified ones are never kept, announced or sent.
"""

from carobstand import errors
from carobstand.core import chunks, rendezvous, token_bucket
from carobstand.core import manifest as manifests
from carobstand.core import swarm_peers as peers
from carobstand.core import swarm_seeding as seeding
from carobstand.core import swarm_state as st
from carobstand.core import swarm_uploads as uploads

MIN_ANNOUNCE_INTERVAL_S = 0.1
"""Minimum time between two announcements of the chunks that this VM holds."""

MAX_ANNOUNCE_BYTES_PER_S = 2500
"""Maximum bytes/s of announcements per manifest; all control traffic together may use
5 KB/s."""

ANNOUNCE_OVERHEAD_BYTES = 110
"""Size of an announcement without its bitmap: envelope, digest and length."""

MAX_IDLE_S = 60.0
"""Time without any transfer, although a chunk could be requested, after which the swarm
is considered broken. It is far above every deadline and backoff."""

MAX_STEP_INTERVAL_S = 0.5
"""Maximum time between two steps."""


def step(swarm, event, now):
    """Process one event.

    Parameters
    ----------
    swarm : swarm_state.Swarm
    event : an event of `swarm_state`
    now : float
        Seconds, monotonic.

    Returns
    -------
    effects : tuple
        Effects of `swarm_state`, in the order in which to carry them out.

    Raises
    ------
    InvariantError
        If an invariant of the design does not hold.
    """
    effects = []
    _HANDLERS[type(event)](swarm, event, now, effects)
    _expire_transfers(swarm, now, effects)
    seeding.run(swarm, now, effects)
    peers.request_chunks(swarm, now, effects)
    uploads.run(swarm, now, effects)
    _announce(swarm, now, effects)
    _check_progress(swarm, now)
    return tuple(effects)


def next_step_at(swarm, now):
    """Return the time at which a `Tick` is due if no other event comes first."""
    times = [now + MAX_STEP_INTERVAL_S]
    times += [transfer.deadline for transfer in swarm.transfers.values()]
    wait = uploads.wait_s(swarm, now)
    if wait is not None:
        times.append(now + wait)
    wait = token_bucket.weights_wait_s(swarm.links.down, now)
    if wait > 0:
        times.append(now + wait)
    for job in swarm.jobs.values():
        due = seeding.next_due(swarm, job)
        if due is not None and not job.complete:
            times.append(due)
        if any(job.held_bitmap != bitmap for bitmap in job.announced.values()):
            times.append(job.announce_at)
    return min(times)


def _manifests_changed(swarm, event, now, effects):
    for digest in [key for key in swarm.jobs if key not in event.manifests]:
        del swarm.jobs[digest]
        chunks.release(swarm.cache, digest)
        for peer in swarm.peers.values():
            peer.held_bitmaps.pop(digest, None)
    _cancel_unneeded(swarm, effects)
    _forget_unlisted(swarm)
    for digest, (manifest, policy) in event.manifests.items():
        job = swarm.jobs.get(digest)
        if job is not None:
            job.policy = policy
            continue
        try:
            chunks.retain(swarm.cache, digest, manifest)
        except errors.MemoryLimitError as exc:
            effects.append(st.MemoryRefused(digest, exc.message))
            continue
        job = _new_job(swarm, digest, manifest, policy, now)
        swarm.jobs[digest] = job
        _check_complete(swarm, job, effects)


def _new_job(swarm, digest, manifest, policy, now):
    sizes = manifests.chunk_sizes(manifest)
    job = st.Job(digest, tuple(sizes), tuple(sizes.values()), policy, now)
    job.index = {key: idx for idx, key in enumerate(job.chunks)}
    job.availability = [0] * len(job.chunks)
    job.total_bytes = sum(job.sizes)
    job.largest_chunk_bytes = max(job.sizes, default=0)
    for key, idx in job.index.items():
        if chunks.get(swarm.cache, key) is not None:
            job.held_bitmap |= 1 << idx
            job.held_bytes += job.sizes[idx]
    return job


def _cancel_unneeded(swarm, effects):
    """Cancel the transfers that no remaining manifest needs."""
    for transfer in list(swarm.transfers.values()):
        needed = any(transfer.digest in job.index for job in swarm.jobs.values())
        task = transfer.task
        if needed and (task is None or task.job.digest in swarm.jobs):
            continue
        peers.finish(swarm, transfer)
        effects.append(st.CancelTransfer(transfer.id))


def _forget_unlisted(swarm):
    """Drop the state of VMs and chunks that no manifest lists; fleets change daily."""
    jobs = swarm.jobs.values()
    for vm, peer in list(swarm.peers.items()):
        listed = any(vm in job.members for job in jobs)
        if not (listed or peer.held_bitmaps or peer.outstanding):
            del swarm.peers[vm]
    for digest in list(swarm.times_sent):
        if not any(digest in job.index for job in jobs):
            del swarm.times_sent[digest]


def _roster_changed(swarm, event, now, effects):
    del effects
    job = swarm.jobs.get(event.manifest)
    if job is None:
        return
    first = not job.members
    job.members = {member.vm: member for member in event.members}
    job.roster_number += 1
    job.hashes = {vm: rendezvous.hash_of(vm) for vm in job.members}
    job.region_hashes = {
        vm: job.hashes[vm]
        for vm, member in job.members.items()
        if member.region == swarm.region
    }
    for member in event.members:
        if member.vm != swarm.vm:
            peers.get_or_add_peer(swarm, member)
    peers.choose_neighbours(swarm, job)
    if first:
        seeding.set_seed_order(swarm, job, now)
    for vm in [vm for vm in job.announced if vm not in job.members]:
        del job.announced[vm]
    _forget_unlisted(swarm)


def _roster_member(job, member):
    """Return the roster's `Member` for the same process if it has one.

    Its address is preferred: the one in a peer's hello may not be reachable from here.
    """
    listed = job.members.get(member.vm) if job is not None else None
    if listed is not None and listed.start_id in ("", member.start_id):
        return listed
    return member


def _bitmap_received(swarm, event, now, effects):
    del now
    job = swarm.jobs.get(event.manifest)
    member = _roster_member(job, event.member)
    peer = peers.get_or_add_peer(swarm, member)
    peer.queued = event.queued
    peer.failures = 0
    if job is None:
        if event.asks:
            effects.append(st.Announce(member, event.manifest, 0, 0))
        return
    bitmap = event.bitmap & ((1 << len(job.chunks)) - 1)
    peers.set_bitmap(job, peer, bitmap)
    job.reported_peers.add(peer.member.vm)
    if event.asks:
        job.announced[peer.member.vm] = st.REPLY_DUE
    held = {job.chunks[idx] for idx in peers.bits(bitmap)}
    if any(upload.vm == peer.member.vm for upload in swarm.upload_queue):
        uploads.drop_held(swarm, peer.member.vm, held)


def _chunk_received(swarm, event, now, effects):
    transfer = swarm.transfers.get(event.transfer)
    if transfer is not None and transfer.digest != event.digest:
        _transfer_failed(
            swarm, st.TransferFailed(transfer.id, st.Refusal.LOST), now, effects
        )
        return
    if transfer is not None:
        peers.finish(swarm, transfer)
    jobs = [
        job
        for job in swarm.jobs.values()
        if event.digest in job.index
        and not job.held_bitmap >> job.index[event.digest] & 1
    ]
    if not jobs:
        swarm.wasted_bytes += len(event.data)
        return
    try:
        chunks.put(swarm.cache, event.digest, event.data)
    except errors.WeightsError:
        _chunk_corrupted(swarm, transfer, now)
        return
    _record_success(swarm, transfer, now)
    for job in jobs:
        job.held_bitmap |= 1 << job.index[event.digest]
        job.held_bytes += len(event.data)
        _after_chunk(swarm, job, event, transfer, now, effects)


def _chunk_corrupted(swarm, transfer, now):
    swarm.corrupted += 1
    if transfer is None:
        return
    if transfer.vm == st.ORIGIN:
        transfer.task.job.origin_bytes += transfer.size
        seeding.record_download_failure(swarm, transfer, now)
    else:
        peers.record_failure(swarm, transfer.vm, now, 0.3)


def _record_success(swarm, transfer, now):
    if transfer is None:
        return
    seconds = now - transfer.started_at
    if transfer.vm == st.ORIGIN:
        swarm.origin_failures = 0
        swarm.origin_transfer_s = peers.average(swarm.origin_transfer_s, seconds)
        transfer.task.job.origin_bytes += transfer.size
        return
    peer = swarm.peers.get(transfer.vm)
    if peer is not None:
        peers.record_success(peer)
        peers.record_transfer_time(swarm, peer, seconds)
    if transfer.remote:
        swarm.region_bytes += transfer.size


def _after_chunk(swarm, job, event, transfer, now, effects):
    idx = job.index[event.digest]
    for other in list(swarm.inflight.get(event.digest, ())):
        superseded = swarm.transfers[other]
        peers.finish(swarm, superseded)
        effects.append(st.CancelTransfer(other))
    if transfer is not None and transfer.vm == st.ORIGIN:
        seeding.announce_download(swarm, job, idx, now, effects)
    _check_complete(swarm, job, effects)


def _check_complete(swarm, job, effects):
    if job.complete or job.held_bitmap != (1 << len(job.chunks)) - 1:
        return
    if not chunks.is_complete(swarm.cache, job.digest):
        raise errors.InvariantError(
            f"manifest {job.digest[:12]} counts as complete with chunks missing",
            step="swarm.complete",
        )
    job.complete = True
    job.seed_tasks.clear()
    effects.append(st.Completed(job.digest))


def _transfer_failed(swarm, event, now, effects):
    del effects
    transfer = swarm.transfers.get(event.transfer)
    if transfer is None:
        return
    peers.finish(swarm, transfer)
    if transfer.probe:
        seeding.record_probe_result(swarm, transfer, event.reason, now)
        if event.reason in (st.Refusal.LOST, st.Refusal.STALLED):
            peers.record_failure(swarm, transfer.vm, now, 0.9)
        return
    if event.reason is not st.Refusal.STALLED:
        _refund_tokens(swarm, transfer, now)
    if transfer.vm == st.ORIGIN:
        seeding.record_download_failure(swarm, transfer, now)
    else:
        _peer_transfer_failed(swarm, transfer, event, now)


def _refund_tokens(swarm, transfer, now):
    token_bucket.refund_weights(swarm.links.down, transfer.size, now)
    if transfer.vm == st.ORIGIN:
        token_bucket.refund_weights(swarm.links.origin, transfer.size, now)
    elif transfer.remote:
        token_bucket.refund_weights(swarm.links.region_down, transfer.size, now)


def _peer_transfer_failed(swarm, transfer, event, now):
    peer = swarm.peers.get(transfer.vm)
    if peer is None:
        return
    if event.reason is st.Refusal.BUSY:
        delay_s = event.retry_after_s * swarm.rng.uniform(0.5, 1.5)
        peer.retry_at = max(peer.retry_at, now + delay_s)
        return
    if event.reason in (st.Refusal.LOST, st.Refusal.STALLED):
        factor = 0.9 if event.reason is st.Refusal.LOST else 0.5
        peers.record_failure(swarm, transfer.vm, now, factor)
        if event.reason is st.Refusal.STALLED:
            peers.record_transfer_time(swarm, peer, now - transfer.started_at)
        return
    for job in swarm.jobs.values():
        if transfer.digest in job.index:
            bit = 1 << job.index[transfer.digest]
            peers.set_bitmap(job, peer, peer.held_bitmaps.get(job.digest, 0) & ~bit)


def _chunk_requested(swarm, event, now, effects):
    uploads.enqueue(swarm, event, now, effects)


def _upload_ended(swarm, event, now, effects):
    del now, effects
    uploads.finish(swarm, event)


def _peer_lost(swarm, event, now, effects):
    uploads.drop_connection(swarm, event)
    peer = swarm.peers.get(event.vm)
    current_start_id = peer.member.start_id if peer is not None else ""
    if event.start_id and current_start_id and event.start_id != current_start_id:
        return
    peers.forget(swarm, event.vm)
    peers.record_failure(swarm, event.vm, now, 0.9)
    for transfer in list(swarm.transfers.values()):
        if transfer.vm == event.vm:
            lost = st.TransferFailed(transfer.id, st.Refusal.LOST)
            _transfer_failed(swarm, lost, now, effects)
            effects.append(st.CancelTransfer(transfer.id))
    for job in swarm.jobs.values():
        if event.vm in job.neighbours:
            job.announced[event.vm] = st.NEVER_SENT


def _rates_changed(swarm, event, now, effects):
    del effects
    links = swarm.links
    for bucket in (links.up, links.down):
        token_bucket.set_rate(bucket, event.vm, now)
    token_bucket.set_rate(links.origin, event.origin, now)
    for bucket in (links.region_up, links.region_down):
        token_bucket.set_rate(bucket, event.region, now)


def _live_traffic(swarm, event, now, effects):
    del effects
    token_bucket.take_live(swarm.links.up, event.up, now)
    token_bucket.take_live(swarm.links.down, event.down, now)


def _tick(swarm, event, now, effects):
    del swarm, event, now, effects


def _expire_transfers(swarm, now, effects):
    """Cancel transfers whose deadline passed; their chunks are requested elsewhere."""
    overdue = [item for item in swarm.transfers.values() if item.deadline <= now]
    for transfer in overdue:
        stalled = st.TransferFailed(transfer.id, st.Refusal.STALLED)
        _transfer_failed(swarm, stalled, now, effects)
        effects.append(st.CancelTransfer(transfer.id))


def _announce(swarm, now, effects):
    """Send the bitmap to incomplete VMs that have not received the current one."""
    for job in swarm.jobs.values():
        if now < job.announce_at:
            continue
        full = (1 << len(job.chunks)) - 1
        count = 0
        for vm, bitmap in job.announced.items():
            member = job.members.get(vm)
            if member is None or bitmap == job.held_bitmap:
                continue
            peer = swarm.peers.get(vm)
            if peer is not None and now < peer.retry_at and peer.failures:
                continue
            job.announced[vm] = job.held_bitmap
            if bitmap >= 0 and peer and peer.held_bitmaps.get(job.digest, 0) == full:
                continue
            count += 1
            queued = uploads.queued_count(swarm)
            asks = bitmap == st.NEVER_SENT
            effects.append(
                st.Announce(member, job.digest, job.held_bitmap, queued, asks)
            )
        size = count * (ANNOUNCE_OVERHEAD_BYTES + len(job.chunks) / 8)
        if count:
            job.announce_at = now + max(
                MIN_ANNOUNCE_INTERVAL_S, size / MAX_ANNOUNCE_BYTES_PER_S
            )


def _check_progress(swarm, now):
    """Raise InvariantError if there is no transfer although a chunk can be requested.

    Pauses of the process do not count: each step adds at most `MAX_STEP_INTERVAL_S`.
    Nor does time in which live traffic or other weights fill the link.
    """
    last, swarm.idle_since = swarm.idle_since, now
    busy = token_bucket.weights_wait_s(swarm.links.down, now) > 0
    if swarm.transfers or busy or last is None or not _can_request(swarm, now):
        swarm.idle_s = 0.0
        return
    swarm.idle_s += min(max(0.0, now - last), MAX_STEP_INTERVAL_S)
    if swarm.idle_s > MAX_IDLE_S:
        raise errors.InvariantError(
            f"no transfer for {MAX_IDLE_S} s although a peer holds missing chunks",
            step="swarm.progress",
        )


def _can_request(swarm, now):
    region_busy = token_bucket.weights_wait_s(swarm.links.region_down, now) > 0
    return any(
        peers.usable(peer, now)
        and peers.fetchable(swarm, job, peer)
        and not (region_busy and peer.member.region != swarm.region)
        for job in swarm.jobs.values()
        if not job.complete
        for peer in swarm.peers.values()
    )


_HANDLERS = {
    st.ManifestsChanged: _manifests_changed,
    st.RosterChanged: _roster_changed,
    st.BitmapReceived: _bitmap_received,
    st.ChunkReceived: _chunk_received,
    st.TransferFailed: _transfer_failed,
    st.ChunkRequested: _chunk_requested,
    st.UploadEnded: _upload_ended,
    st.PeerLost: _peer_lost,
    st.RatesChanged: _rates_changed,
    st.LiveTraffic: _live_traffic,
    st.Tick: _tick,
}
