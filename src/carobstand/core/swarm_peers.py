"""Choice of neighbours, of the next chunk to request and of the peer to send it."""

from carobstand.core import rendezvous, token_bucket
from carobstand.core import swarm_state as st

NEAR_NEIGHBOURS = 6
"""Number of neighbours in the same failure domain."""

FAR_NEIGHBOURS = 4
"""Number of neighbours in other failure domains of the region, to connect them."""

MAX_CHUNKS_IN_FLIGHT = 10
"""Chunks in transfer to this VM at once. The receiving link paces requests, so this
only bounds the queues of the senders; with 4, rollouts took 9% longer."""

MAX_REQUESTS_PER_PEER = 2
"""Requests in progress at one peer; a second one hides the latency of the link."""

RARITY_SAMPLE_CHUNKS = 256
"""Chunks compared for rarity per request, to bound the cost for large manifests."""

MIN_DEADLINE_S = 0.3
"""Constant part of a transfer's deadline, independent of measured times."""

DEADLINE_FACTOR = 3.0
"""Deadline of a transfer as a multiple of its expected time."""

REMOTE_DEADLINE_FACTOR = 6.0
"""The same across a region link, where bandwidth for a repeated transfer is scarce and
the queue may be long."""

HEDGE_FACTOR = 1.5
"""Multiple of the expected time after which a chunk is requested from a second peer, if
there is nothing else to request."""

UNMEASURED_CHUNKS = 3
"""Expected time of a transfer before the first measurement, as the number of chunks
that the sender's link carries in it: other requests are served first."""

UNMEASURED_S = 2.0
"""Expected time of a transfer if neither a measurement nor a rate limit is known."""

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
SMOOTHING = 0.2
"""Weight of the newest measurement in moving averages."""


def get_or_add_peer(swarm, member):
    """Return the `Peer` of a member; add it, or reset it if its process is new."""
    peer = swarm.peers.get(member.vm)
    if peer is None:
        peer = swarm.peers[member.vm] = st.Peer(member)
    elif peer.member != member:
        if peer.member.start_id != member.start_id:
            forget(swarm, member.vm)
            peer = swarm.peers[member.vm] = st.Peer(member)
        peer.member = member
    return peer


def forget(swarm, vm):
    """Discard the bitmaps of a peer whose connection or process ended."""
    peer = swarm.peers.get(vm)
    if peer is None:
        return
    for job in swarm.jobs.values():
        set_bitmap(job, peer, 0)
        job.announced.pop(vm, None)
        job.reported_peers.discard(vm)


def set_bitmap(job, peer, bitmap):
    """Set the bitmap of a peer and update the availability of each chunk."""
    old = peer.held_bitmaps.get(job.digest, 0)
    for idx in bits(bitmap & ~old):
        job.availability[idx] += 1
    for idx in bits(old & ~bitmap):
        job.availability[idx] -= 1
    if bitmap:
        peer.held_bitmaps[job.digest] = bitmap
    else:
        peer.held_bitmaps.pop(job.digest, None)


def bits(bitmap):
    """Yield the positions of the set bits."""
    while bitmap:
        lowest_bit = bitmap & -bitmap
        yield lowest_bit.bit_length() - 1
        bitmap ^= lowest_bit


def choose_neighbours(swarm, job):
    """Set the neighbours of this VM for a job, same failure domain first.

    VMs are ranked by a symmetric hash of each pair, so that the choice is mostly mutual
    among VMs with the same roster. VMs that failed repeatedly are skipped.
    """
    own = rendezvous.hash_of(swarm.vm)
    others = [
        member
        for vm, member in job.members.items()
        if vm != swarm.vm and member.region == swarm.region and not _failing(swarm, vm)
    ]
    others.sort(key=lambda member: rendezvous.mix(own, job.hashes[member.vm]))
    near = [m.vm for m in others if m.failure_domain == swarm.failure_domain]
    far = [m.vm for m in others if m.failure_domain != swarm.failure_domain]
    chosen = near[:NEAR_NEIGHBOURS] + far[:FAR_NEIGHBOURS]
    surplus = near[NEAR_NEIGHBOURS:] + far[FAR_NEIGHBOURS:]
    unfilled = NEAR_NEIGHBOURS + FAR_NEIGHBOURS - len(chosen)
    job.neighbours = tuple(chosen + surplus[:unfilled])
    for vm in job.neighbours:
        job.announced.setdefault(vm, st.NEVER_SENT)


def _failing(swarm, vm):
    peer = swarm.peers.get(vm)
    return peer is not None and peer.failures >= 3


def record_failure(swarm, vm, now, factor):
    """Lower the score of a peer and back off, with jitter."""
    peer = swarm.peers.get(vm)
    if peer is None:
        return
    peer.score *= factor
    delay = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(peer.failures, 8))
    peer.failures += 1
    peer.retry_at = max(peer.retry_at, now + delay * swarm.rng.uniform(0.7, 1.3))
    if peer.failures == 3:
        for job in swarm.jobs.values():
            choose_neighbours(swarm, job)


def record_success(peer):
    """Reset the failures of a peer that sent a valid chunk and raise its score."""
    peer.failures = 0
    peer.score = min(1.0, peer.score + 0.05)


def record_transfer_time(swarm, peer, seconds):
    """Record the duration of a transfer, or the time until it was cancelled."""
    peer.transfer_s = average(peer.transfer_s, seconds)
    if peer.member.region != swarm.region:
        swarm.remote_transfer_s = average(swarm.remote_transfer_s, seconds)
    else:
        swarm.transfer_s = average(swarm.transfer_s, seconds)


def average(old, value):
    """Return the exponential moving average after a further measurement."""
    return value if old is None else old + SMOOTHING * (value - old)


def expected_s(swarm, size, peer=None):
    """Return the expected duration of a transfer in seconds."""
    rate = swarm.links.up.bytes_per_s
    min_s = size / rate if rate else 0.0
    remote = peer is not None and peer.member.region != swarm.region
    overall = swarm.remote_transfer_s if remote else swarm.transfer_s
    measured = max((peer and peer.transfer_s) or 0.0, overall or 0.0)
    if measured:
        return max(measured, min_s)
    return min_s * UNMEASURED_CHUNKS if rate else UNMEASURED_S


def usable(peer, now):
    """Return whether a chunk may be requested from a peer now."""
    return now >= peer.retry_at and peer.outstanding < MAX_REQUESTS_PER_PEER


def fetchable(swarm, job, peer):
    """Return the bitmap of chunks that this VM may fetch from a peer."""
    bitmap = peer.held_bitmaps.get(job.digest, 0) & ~job.held_bitmap
    return (
        bitmap
        if peer.member.region == swarm.region
        else bitmap & job.cross_region_bitmap
    )


def request_chunks(swarm, now, effects):
    """Request chunks as far as the token buckets and `MAX_CHUNKS_IN_FLIGHT` allow."""
    while swarm.jobs and len(swarm.inflight) < MAX_CHUNKS_IN_FLIGHT:
        if token_bucket.weights_wait_s(swarm.links.down, now) > 0:
            return
        jobs = _incomplete_jobs(swarm)
        if not any(_request_next(swarm, job, now, effects) for job in jobs):
            if not any(_request_hedge(swarm, job, now, effects) for job in jobs):
                return


def _incomplete_jobs(swarm):
    jobs = [job for job in swarm.jobs.values() if not job.complete]
    if len(jobs) > 1:
        swarm.rng.shuffle(jobs)
    return jobs


def _request_next(swarm, job, now, effects):
    """Request the rarest chunk that peers offer; return whether there was one."""
    in_flight = 0
    for digest in swarm.inflight:
        if digest in job.index:
            in_flight |= 1 << job.index[digest]
    offers = []
    offered = 0
    region_free = token_bucket.weights_wait_s(swarm.links.region_down, now) == 0
    for peer in swarm.peers.values():
        if not usable(peer, now) or job.digest not in peer.held_bitmaps:
            continue
        if peer.member.region != swarm.region and not region_free:
            continue
        offered_bitmap = fetchable(swarm, job, peer) & ~in_flight
        if offered_bitmap:
            offers.append((peer, offered_bitmap))
            offered |= offered_bitmap
    if not offered:
        return False
    idx = _rarest(swarm, job, offered)
    candidates = [peer for peer, offered_bitmap in offers if offered_bitmap >> idx & 1]
    request(swarm, job, idx, _best_peer(swarm, candidates), now, effects)
    return True


def _request_hedge(swarm, job, now, effects):
    """Request an overdue chunk from a second peer; return whether there was one.

    This happens only if nothing else can be requested, so mostly for the last chunks.
    """
    for digest, ids in swarm.inflight.items():
        if digest not in job.index or len(ids) > 1:
            continue
        transfer = swarm.transfers[next(iter(ids))]
        source = swarm.peers.get(transfer.vm)
        overdue = HEDGE_FACTOR * expected_s(swarm, transfer.size, source)
        if transfer.vm == st.ORIGIN or now - transfer.started_at < overdue:
            continue
        bit = 1 << job.index[digest]
        candidates = [
            peer
            for peer in swarm.peers.values()
            if peer is not source
            and usable(peer, now)
            and peer.member.region == swarm.region
            and fetchable(swarm, job, peer) & bit
        ]
        if candidates:
            nearest = _best_peer(swarm, candidates)
            request(swarm, job, job.index[digest], nearest, now, effects)
            return True
    return False


def _rarest(swarm, job, offered):
    """Return the chunk that the fewest peers hold, at random among equals."""
    length = len(job.chunks)
    if length > RARITY_SAMPLE_CHUNKS:
        offset = swarm.rng.randrange(length)
        window = (offered >> offset) & ((1 << RARITY_SAMPLE_CHUNKS) - 1)
        if window:
            offered = window << offset
        else:
            lowest_bit = offered & -offered
            offered &= lowest_bit * ((1 << RARITY_SAMPLE_CHUNKS) - 1)
    random = swarm.rng.random
    return min(bits(offered), key=lambda idx: (job.availability[idx], random()))


def _best_peer(swarm, candidates):
    """Return the peer with the shortest expected wait, near ones preferred."""
    random = swarm.rng.random

    def cost(peer):
        wait = 1.0 + peer.queued + peer.outstanding + distance(swarm, peer.member)
        return wait / max(peer.score, 0.01) + 0.1 * random()

    return min(candidates, key=cost)


def distance(swarm, member):
    """Return 0 in the same failure domain, 0.5 in the same region, 2 elsewhere."""
    if member.failure_domain == swarm.failure_domain:
        return 0.0
    return 0.5 if member.region == swarm.region else 2.0


def request(swarm, job, idx, peer, now, effects):
    """Request a chunk from a peer and take its bytes from the receiving link."""
    size = job.sizes[idx]
    remote = peer.member.region != swarm.region
    token_bucket.take_weights(swarm.links.down, size, now)
    if remote:
        token_bucket.take_weights(swarm.links.region_down, size, now)
    factor = REMOTE_DEADLINE_FACTOR if remote else DEADLINE_FACTOR
    seconds = factor * expected_s(swarm, size, peer) + MIN_DEADLINE_S
    transfer = new_transfer(
        swarm, job.chunks[idx], size, peer.member.vm, now, now + seconds
    )
    transfer.remote = remote
    peer.outstanding += 1
    swarm.inflight.setdefault(transfer.digest, set()).add(transfer.id)
    effects.append(st.Request(transfer.id, peer.member, transfer.digest))


def new_transfer(swarm, digest, size, vm, now, deadline):
    """Register a transfer and return it."""
    swarm.next_id += 1
    transfer = st.Transfer(swarm.next_id, digest, size, vm, now, deadline)
    swarm.transfers[transfer.id] = transfer
    return transfer


def finish(swarm, transfer):
    """Remove a transfer that ended or was cancelled."""
    swarm.transfers.pop(transfer.id, None)
    if transfer.probe:
        return
    ids = swarm.inflight.get(transfer.digest, set())
    ids.discard(transfer.id)
    if not ids:
        swarm.inflight.pop(transfer.digest, None)
    peer = swarm.peers.get(transfer.vm)
    if peer is not None:
        peer.outstanding = max(0, peer.outstanding - 1)
