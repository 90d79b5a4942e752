"""Pull-based swarm: decides which chunk to get from where, and whom to send chunks.

`step` takes the state, an event and the time, and returns effects to carry out. Chunks
pass through `core.chunks`, so nothing unverified is kept, announced or sent.
"""

from carobstand import errors
from carobstand.core import chunks, limits, ranks
from carobstand.core import manifest as manifests
from carobstand.core import swarm_duties as duties
from carobstand.core import swarm_peers as peers
from carobstand.core import swarm_state as st
from carobstand.core import swarm_uploads as uploads

ANNOUNCE_S = 0.1
"""Shortest time between two announcements of what this VM holds."""

ANNOUNCE_BYTES_PER_S = 2500
"""Bytes/s of announcements above which they become rarer; 5 KB/s is allowed for all
control traffic."""

ANNOUNCE_OVERHEAD_BYTES = 110
"""Size of an announcement without its bitmap: envelope, digest and length."""

STUCK_S = 60.0
"""Time without any transfer, while a holder can be asked, after which the swarm is
considered broken. It is far above every deadline and backoff."""

LONGEST_WAIT_S = 0.5
"""Longest time between two steps."""


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
    _expire(swarm, now, effects)
    duties.run(swarm, now, effects)
    peers.fill(swarm, now, effects)
    uploads.run(swarm, now, effects)
    _announce(swarm, now, effects)
    _check_progress(swarm, now)
    return tuple(effects)


def next_step_at(swarm, now):
    """Return the time at which a `Tick` is due if nothing happens before."""
    times = [now + LONGEST_WAIT_S]
    times += [transfer.deadline for transfer in swarm.transfers.values()]
    wait = uploads.wait_s(swarm, now)
    if wait is not None:
        times.append(now + wait)
    wait = limits.weights_wait_s(swarm.links.down, now)
    if wait > 0:
        times.append(now + wait)
    for job in swarm.jobs.values():
        due = duties.next_due(swarm, job)
        if due is not None and not job.complete:
            times.append(due)
        if any(job.have != bitmap for bitmap in job.announced.values()):
            times.append(job.announce_at)
    return min(times)


def _wanted(swarm, event, now, effects):
    for digest in [key for key in swarm.jobs if key not in event.manifests]:
        del swarm.jobs[digest]
        chunks.release(swarm.cache, digest)
        for known in swarm.peers.values():
            known.have.pop(digest, None)
    _drop_unneeded(swarm, effects)
    _forget_strangers(swarm)
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
        _complete(swarm, job, effects)


def _new_job(swarm, digest, manifest, policy, now):
    sizes = manifests.chunk_sizes(manifest)
    job = st.Job(digest, tuple(sizes), tuple(sizes.values()), policy, now)
    job.index = {key: idx for idx, key in enumerate(job.chunks)}
    job.counts = [0] * len(job.chunks)
    job.total_bytes = sum(job.sizes)
    job.largest = max(job.sizes, default=0)
    for key, idx in job.index.items():
        if chunks.get(swarm.cache, key) is not None:
            job.have |= 1 << idx
            job.held_bytes += job.sizes[idx]
    return job


def _drop_unneeded(swarm, effects):
    """Give up the transfers that no remaining manifest needs."""
    for transfer in list(swarm.transfers.values()):
        needed = any(transfer.digest in job.index for job in swarm.jobs.values())
        duty = transfer.duty
        if needed and (duty is None or duty.job.digest in swarm.jobs):
            continue
        peers.finish(swarm, transfer)
        effects.append(st.Drop(transfer.id))


def _forget_strangers(swarm):
    """Forget VMs and chunks that no manifest concerns; fleets change every day."""
    jobs = swarm.jobs.values()
    for vm, known in list(swarm.peers.items()):
        listed = any(vm in job.members for job in jobs)
        if not (listed or known.have or known.outstanding):
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
    job.roster += 1
    job.hashes = {vm: ranks.hash_of(vm) for vm in job.members}
    job.region_hashes = {
        vm: job.hashes[vm]
        for vm, member in job.members.items()
        if member.region == swarm.region
    }
    for member in event.members:
        if member.vm != swarm.vm:
            peers.peer(swarm, member)
    peers.choose_neighbours(swarm, job)
    if first:
        duties.prepare(swarm, job, now)
    for vm in [vm for vm in job.announced if vm not in job.members]:
        del job.announced[vm]
    _forget_strangers(swarm)


def _listed(job, member):
    """Return the roster's entry of the same process, whose address is the one to use.

    The address in a peer's hello may not be reachable from here as it stands.
    """
    listed = job.members.get(member.vm) if job is not None else None
    if listed is not None and listed.start_id in ("", member.start_id):
        return listed
    return member


def _heard(swarm, event, now, effects):
    del now
    job = swarm.jobs.get(event.manifest)
    member = _listed(job, event.member)
    known = peers.peer(swarm, member)
    known.queued = event.queued
    known.failures = 0
    if job is None:
        if event.asks:
            effects.append(st.Announce(member, event.manifest, 0, 0))
        return
    bitmap = event.bitmap & ((1 << len(job.chunks)) - 1)
    peers.learn(job, known, bitmap)
    job.heard.add(known.member.vm)
    if event.asks:
        job.announced[known.member.vm] = st.ANSWER
    held = {job.chunks[idx] for idx in peers.bits(bitmap)}
    if any(upload.vm == known.member.vm for upload in swarm.queue):
        uploads.drop_held(swarm, known.member.vm, held)


def _arrived(swarm, event, now, effects):
    transfer = swarm.transfers.get(event.transfer)
    if transfer is not None and transfer.digest != event.digest:
        _refused(swarm, st.Refused(transfer.id, st.Refusal.LOST), now, effects)
        return
    if transfer is not None:
        peers.finish(swarm, transfer)
    jobs = [
        job
        for job in swarm.jobs.values()
        if event.digest in job.index and not job.have >> job.index[event.digest] & 1
    ]
    if not jobs:
        swarm.wasted_bytes += len(event.data)
        return
    try:
        chunks.put(swarm.cache, event.digest, event.data)
    except errors.WeightsError:
        _corrupted(swarm, transfer, now)
        return
    _measure(swarm, transfer, now)
    for job in jobs:
        job.have |= 1 << job.index[event.digest]
        job.held_bytes += len(event.data)
        _after_chunk(swarm, job, event, transfer, now, effects)


def _corrupted(swarm, transfer, now):
    swarm.corrupted += 1
    if transfer is None:
        return
    if transfer.vm == st.ORIGIN:
        transfer.duty.job.origin_bytes += transfer.size
        duties.draw_failed(swarm, transfer, now)
    else:
        peers.failed(swarm, transfer.vm, now, 0.3)


def _measure(swarm, transfer, now):
    if transfer is None:
        return
    seconds = now - transfer.started_at
    if transfer.vm == st.ORIGIN:
        swarm.origin_failures = 0
        swarm.origin_seconds = peers.average(swarm.origin_seconds, seconds)
        transfer.duty.job.origin_bytes += transfer.size
        return
    known = swarm.peers.get(transfer.vm)
    if known is not None:
        peers.succeeded(known)
        peers.measured(swarm, known, seconds)
    if transfer.remote:
        swarm.region_bytes += transfer.size


def _after_chunk(swarm, job, event, transfer, now, effects):
    idx = job.index[event.digest]
    for other in list(swarm.inflight.get(event.digest, ())):
        given_up = swarm.transfers[other]
        peers.finish(swarm, given_up)
        effects.append(st.Drop(other))
    if transfer is not None and transfer.vm == st.ORIGIN:
        duties.drawn(swarm, job, idx, now, effects)
    _complete(swarm, job, effects)


def _complete(swarm, job, effects):
    if job.complete or job.have != (1 << len(job.chunks)) - 1:
        return
    if not chunks.is_complete(swarm.cache, job.digest):
        raise errors.InvariantError(
            f"manifest {job.digest[:12]} counts as complete with chunks missing",
            step="swarm.complete",
        )
    job.complete = True
    job.duties.clear()
    effects.append(st.Completed(job.digest))


def _refused(swarm, event, now, effects):
    del effects
    transfer = swarm.transfers.get(event.transfer)
    if transfer is None:
        return
    peers.finish(swarm, transfer)
    if transfer.probe:
        duties.probed(swarm, transfer, event.reason, now)
        if event.reason in (st.Refusal.LOST, st.Refusal.STALLED):
            peers.failed(swarm, transfer.vm, now, 0.9)
        return
    if event.reason is not st.Refusal.STALLED:
        _give_back(swarm, transfer, now)
    if transfer.vm == st.ORIGIN:
        duties.draw_failed(swarm, transfer, now)
    else:
        _peer_refused(swarm, transfer, event, now)


def _give_back(swarm, transfer, now):
    limits.give_back(swarm.links.down, transfer.size, now)
    if transfer.vm == st.ORIGIN:
        limits.give_back(swarm.links.origin, transfer.size, now)
    elif transfer.remote:
        limits.give_back(swarm.links.region_down, transfer.size, now)


def _peer_refused(swarm, transfer, event, now):
    known = swarm.peers.get(transfer.vm)
    if known is None:
        return
    if event.reason is st.Refusal.BUSY:
        pause = event.retry_after_s * swarm.rng.uniform(0.5, 1.5)
        known.retry_at = max(known.retry_at, now + pause)
        return
    if event.reason in (st.Refusal.LOST, st.Refusal.STALLED):
        factor = 0.9 if event.reason is st.Refusal.LOST else 0.5
        peers.failed(swarm, transfer.vm, now, factor)
        if event.reason is st.Refusal.STALLED:
            peers.measured(swarm, known, now - transfer.started_at)
        return
    for job in swarm.jobs.values():
        if transfer.digest in job.index:
            bit = 1 << job.index[transfer.digest]
            peers.learn(job, known, known.have.get(job.digest, 0) & ~bit)


def _asked(swarm, event, now, effects):
    uploads.asked(swarm, event, now, effects)


def _sent(swarm, event, now, effects):
    del now, effects
    uploads.sent(swarm, event)


def _peer_lost(swarm, event, now, effects):
    uploads.drop_connection(swarm, event)
    known = swarm.peers.get(event.vm)
    present = known.member.start_id if known is not None else ""
    if event.start_id and present and event.start_id != present:
        return
    peers.forget(swarm, event.vm)
    peers.failed(swarm, event.vm, now, 0.9)
    for transfer in list(swarm.transfers.values()):
        if transfer.vm == event.vm:
            lost = st.Refused(transfer.id, st.Refusal.LOST)
            _refused(swarm, lost, now, effects)
            effects.append(st.Drop(transfer.id))
    for job in swarm.jobs.values():
        if event.vm in job.neighbours:
            job.announced[event.vm] = st.ASK


def _rates_changed(swarm, event, now, effects):
    del effects
    links = swarm.links
    for bucket in (links.up, links.down):
        limits.set_rate(bucket, event.vm, now)
    limits.set_rate(links.origin, event.origin, now)
    for bucket in (links.region_up, links.region_down):
        limits.set_rate(bucket, event.region, now)


def _live_traffic(swarm, event, now, effects):
    del effects
    limits.take_live(swarm.links.up, event.up, now)
    limits.take_live(swarm.links.down, event.down, now)


def _tick(swarm, event, now, effects):
    del swarm, event, now, effects


def _expire(swarm, now, effects):
    """Give up the transfers whose deadline has passed; they are requested elsewhere."""
    late = [item for item in swarm.transfers.values() if item.deadline <= now]
    for transfer in late:
        stalled = st.Refused(transfer.id, st.Refusal.STALLED)
        _refused(swarm, stalled, now, effects)
        effects.append(st.Drop(transfer.id))


def _announce(swarm, now, effects):
    """Send the bitmap to the VMs that still lack something and do not know it."""
    for job in swarm.jobs.values():
        if now < job.announce_at:
            continue
        full = (1 << len(job.chunks)) - 1
        count = 0
        for vm, bitmap in job.announced.items():
            member = job.members.get(vm)
            if member is None or bitmap == job.have:
                continue
            known = swarm.peers.get(vm)
            if known is not None and now < known.retry_at and known.failures:
                continue
            job.announced[vm] = job.have
            if bitmap >= 0 and known and known.have.get(job.digest, 0) == full:
                continue
            count += 1
            queued = uploads.queued(swarm)
            asks = bitmap == st.ASK
            effects.append(st.Announce(member, job.digest, job.have, queued, asks))
        size = count * (ANNOUNCE_OVERHEAD_BYTES + len(job.chunks) / 8)
        if count:
            job.announce_at = now + max(ANNOUNCE_S, size / ANNOUNCE_BYTES_PER_S)


def _check_progress(swarm, now):
    """Raise InvariantError if nothing is in transfer though a holder can be asked.

    Pauses of the process do not count: each step adds at most `LONGEST_WAIT_S`. Nor
    does time in which live traffic or other weights fill the link.
    """
    last, swarm.idle_since = swarm.idle_since, now
    busy = limits.weights_wait_s(swarm.links.down, now) > 0
    if swarm.transfers or busy or last is None or not _can_request(swarm, now):
        swarm.idle_s = 0.0
        return
    swarm.idle_s += min(max(0.0, now - last), LONGEST_WAIT_S)
    if swarm.idle_s > STUCK_S:
        raise errors.InvariantError(
            f"no transfer for {STUCK_S} s although a peer holds missing chunks",
            step="swarm.progress",
        )


def _can_request(swarm, now):
    region_busy = limits.weights_wait_s(swarm.links.region_down, now) > 0
    return any(
        peers.usable(known, now)
        and peers.allowed(swarm, job, known)
        and not (region_busy and known.member.region != swarm.region)
        for job in swarm.jobs.values()
        if not job.complete
        for known in swarm.peers.values()
    )


_HANDLERS = {
    st.Wanted: _wanted,
    st.RosterChanged: _roster_changed,
    st.Heard: _heard,
    st.Arrived: _arrived,
    st.Refused: _refused,
    st.Asked: _asked,
    st.Sent: _sent,
    st.PeerLost: _peer_lost,
    st.RatesChanged: _rates_changed,
    st.LiveTraffic: _live_traffic,
    st.Tick: _tick,
}
