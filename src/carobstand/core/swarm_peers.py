"""Choice of neighbours, of the chunk to request next and of the peer to ask."""

from carobstand.core import limits, ranks
from carobstand.core import swarm_state as st

NEAR_NEIGHBOURS = 6
"""Neighbours in the own failure domain."""

FAR_NEIGHBOURS = 4
"""Neighbours in other failure domains of the region; they connect the domains."""

WINDOW = 10
"""Chunks on their way to this VM at once. Requests are paced by the receiving link, so
this only bounds how long the queues of the senders may get; 4 cost 9% of the time."""

REQUESTS_PER_PEER = 2
"""Requests in progress at one peer; a second one hides the delay of the link."""

SAMPLE_BITS = 256
"""Chunks compared for rarity at one choice, to bound its cost for large manifests."""

MIN_DEADLINE_S = 0.3
"""Part of a transfer's deadline that does not follow measured rates."""

DEADLINE_FACTOR = 3.0
"""Deadline of a transfer as a multiple of the measured time of transfers."""

REMOTE_DEADLINE_FACTOR = 6.0
"""The same across a region link, where a repeated chunk costs a scarce link and the
queue of the link may be long."""

HEDGE_FACTOR = 1.5
"""Multiple of the expected time after which a chunk is requested a second time, if
there is nothing else to request."""

UNMEASURED_CHUNKS = 3
"""Assumed time of a transfer before the first measurement, in chunks that the sender's
link carries in that time: others are served first."""

UNMEASURED_S = 2.0
"""Assumed time of a transfer where neither a measurement nor a limit is known."""

FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 5.0
SMOOTHING = 0.2
"""Weight of the newest measurement in moving averages."""


def peer(swarm, member):
    """Return the `Peer` of a member, new or with its latest start."""
    known = swarm.peers.get(member.vm)
    if known is None:
        known = swarm.peers[member.vm] = st.Peer(member)
    elif known.member != member:
        if known.member.start_id != member.start_id:
            forget(swarm, member.vm)
            known = swarm.peers[member.vm] = st.Peer(member)
        known.member = member
    return known


def forget(swarm, vm):
    """Drop what a peer holds, after its connection or its process ended."""
    known = swarm.peers.get(vm)
    if known is None:
        return
    for job in swarm.jobs.values():
        learn(job, known, 0)
        job.announced.pop(vm, None)
        job.heard.discard(vm)


def learn(job, known, bitmap):
    """Record the bitmap of a peer and count the holders of each chunk."""
    old = known.have.get(job.digest, 0)
    for idx in bits(bitmap & ~old):
        job.counts[idx] += 1
    for idx in bits(old & ~bitmap):
        job.counts[idx] -= 1
    if bitmap:
        known.have[job.digest] = bitmap
    else:
        known.have.pop(job.digest, None)


def bits(bitmap):
    """Yield the positions of the set bits."""
    while bitmap:
        low = bitmap & -bitmap
        yield low.bit_length() - 1
        bitmap ^= low


def choose_neighbours(swarm, job):
    """Set the neighbours of this VM for a job, nearest failure domain first.

    Pairs of VMs are ranked by a hash, so that VMs with the same roster choose each
    other mostly mutually. VMs that failed repeatedly are passed over.
    """
    own = ranks.hash_of(swarm.vm)
    others = [
        member
        for vm, member in job.members.items()
        if vm != swarm.vm and member.region == swarm.region and not _failing(swarm, vm)
    ]
    others.sort(key=lambda member: ranks.mix(own, job.hashes[member.vm]))
    near = [m.vm for m in others if m.failure_domain == swarm.failure_domain]
    far = [m.vm for m in others if m.failure_domain != swarm.failure_domain]
    chosen = near[:NEAR_NEIGHBOURS] + far[:FAR_NEIGHBOURS]
    spare = near[NEAR_NEIGHBOURS:] + far[FAR_NEIGHBOURS:]
    room = NEAR_NEIGHBOURS + FAR_NEIGHBOURS - len(chosen)
    job.neighbours = tuple(chosen + spare[:room])
    for vm in job.neighbours:
        job.announced.setdefault(vm, st.ASK)


def _failing(swarm, vm):
    known = swarm.peers.get(vm)
    return known is not None and known.failures >= 3


def failed(swarm, vm, now, factor):
    """Lower the score of a peer and leave it alone for a while."""
    known = swarm.peers.get(vm)
    if known is None:
        return
    known.score *= factor
    delay = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(known.failures, 8))
    known.failures += 1
    known.retry_at = max(known.retry_at, now + delay * swarm.rng.uniform(0.7, 1.3))
    if known.failures == 3:
        for job in swarm.jobs.values():
            choose_neighbours(swarm, job)


def succeeded(known):
    """Record a verified chunk from a peer."""
    known.failures = 0
    known.score = min(1.0, known.score + 0.05)


def measured(swarm, known, seconds):
    """Record the time of a transfer, or of the wait until it was given up."""
    known.seconds = average(known.seconds, seconds)
    if known.member.region != swarm.region:
        swarm.remote_seconds = average(swarm.remote_seconds, seconds)
    else:
        swarm.seconds = average(swarm.seconds, seconds)


def average(old, value):
    """Return the moving average after one more measurement."""
    return value if old is None else old + SMOOTHING * (value - old)


def expected_s(swarm, size, known=None):
    """Return the expected time of a transfer in seconds."""
    rate = swarm.links.up.bytes_per_s
    floor = size / rate if rate else 0.0
    remote = known is not None and known.member.region != swarm.region
    overall = swarm.remote_seconds if remote else swarm.seconds
    measured = max((known and known.seconds) or 0.0, overall or 0.0)
    if measured:
        return max(measured, floor)
    return floor * UNMEASURED_CHUNKS if rate else UNMEASURED_S


def usable(known, now):
    """Return whether a peer may be asked for a chunk now."""
    return now >= known.retry_at and known.outstanding < REQUESTS_PER_PEER


def allowed(swarm, job, known):
    """Return the bitmap of chunks that this VM may fetch from a peer."""
    have = known.have.get(job.digest, 0) & ~job.have
    return have if known.member.region == swarm.region else have & job.entry


def fill(swarm, now, effects):
    """Request chunks while the limits allow it."""
    while swarm.jobs and len(swarm.inflight) < WINDOW:
        if limits.weights_wait_s(swarm.links.down, now) > 0:
            return
        jobs = _open(swarm)
        if not any(_request_next(swarm, job, now, effects) for job in jobs):
            if not any(_request_again(swarm, job, now, effects) for job in jobs):
                return


def _open(swarm):
    jobs = [job for job in swarm.jobs.values() if not job.complete]
    if len(jobs) > 1:
        swarm.rng.shuffle(jobs)
    return jobs


def _request_next(swarm, job, now, effects):
    """Request the rarest chunk that a peer offers; return whether there was one."""
    busy = 0
    for digest in swarm.inflight:
        if digest in job.index:
            busy |= 1 << job.index[digest]
    offers = []
    offered = 0
    region_free = limits.weights_wait_s(swarm.links.region_down, now) == 0
    for known in swarm.peers.values():
        if not usable(known, now) or job.digest not in known.have:
            continue
        if known.member.region != swarm.region and not region_free:
            continue
        offer = allowed(swarm, job, known) & ~busy
        if offer:
            offers.append((known, offer))
            offered |= offer
    if not offered:
        return False
    idx = _rarest(swarm, job, offered)
    holders = [known for known, offer in offers if offer >> idx & 1]
    request(swarm, job, idx, _cheapest(swarm, holders), now, effects)
    return True


def _request_again(swarm, job, now, effects):
    """Request a chunk that is overdue from a second holder, nearest first.

    It happens only while nothing else can be requested, so mostly for the last chunks.
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
        holders = [
            known
            for known in swarm.peers.values()
            if known is not source
            and usable(known, now)
            and known.member.region == swarm.region
            and allowed(swarm, job, known) & bit
        ]
        if holders:
            nearest = _cheapest(swarm, holders)
            request(swarm, job, job.index[digest], nearest, now, effects)
            return True
    return False


def _rarest(swarm, job, offered):
    """Return a chunk with the fewest known holders, at random among equals."""
    length = len(job.chunks)
    if length > SAMPLE_BITS:
        offset = swarm.rng.randrange(length)
        window = (offered >> offset) & ((1 << SAMPLE_BITS) - 1)
        if window:
            offered = window << offset
        else:
            low = offered & -offered
            offered &= low * ((1 << SAMPLE_BITS) - 1)
    random = swarm.rng.random
    return min(bits(offered), key=lambda idx: (job.counts[idx], random()))


def _cheapest(swarm, holders):
    """Return the holder with the shortest expected wait, near ones preferred."""
    random = swarm.rng.random

    def cost(known):
        wait = 1.0 + known.queued + known.outstanding + distance(swarm, known.member)
        return wait / max(known.score, 0.01) + 0.1 * random()

    return min(holders, key=cost)


def distance(swarm, member):
    """Return 0 in the own failure domain, 0.5 in the region and 2 elsewhere."""
    if member.failure_domain == swarm.failure_domain:
        return 0.0
    return 0.5 if member.region == swarm.region else 2.0


def request(swarm, job, idx, known, now, effects):
    """Request a chunk from a peer, at the expense of the receiving link."""
    size = job.sizes[idx]
    remote = known.member.region != swarm.region
    limits.take_weights(swarm.links.down, size, now)
    if remote:
        limits.take_weights(swarm.links.region_down, size, now)
    factor = REMOTE_DEADLINE_FACTOR if remote else DEADLINE_FACTOR
    seconds = factor * expected_s(swarm, size, known) + MIN_DEADLINE_S
    transfer = new_transfer(
        swarm, job.chunks[idx], size, known.member.vm, now, now + seconds
    )
    transfer.remote = remote
    known.outstanding += 1
    swarm.inflight.setdefault(transfer.digest, set()).add(transfer.id)
    effects.append(st.Request(transfer.id, known.member, transfer.digest))


def new_transfer(swarm, digest, size, vm, now, deadline):
    """Register a transfer and return it."""
    swarm.next_id += 1
    transfer = st.Transfer(swarm.next_id, digest, size, vm, now, deadline)
    swarm.transfers[transfer.id] = transfer
    return transfer


def finish(swarm, transfer):
    """Remove a transfer that has ended or was given up."""
    swarm.transfers.pop(transfer.id, None)
    if transfer.probe:
        return
    ids = swarm.inflight.get(transfer.digest, set())
    ids.discard(transfer.id)
    if not ids:
        swarm.inflight.pop(transfer.digest, None)
    known = swarm.peers.get(transfer.vm)
    if known is not None:
        known.outstanding = max(0, known.outstanding - 1)
