"""Seeding: which VM downloads a chunk from the origin or across a region link.

The VMs of the roster are ranked for each chunk by rendezvous hashing. The first one
downloads the chunk from the origin when the chunk is due; in each other region the
first VM of that region fetches it across the region link. The VM of rank k checks
whether the chunk is available, probes the VMs ranked ahead of it, and takes over if
none of them fetches it or if they answer "still fetching" for too many deadlines.
"""

import heapq

from carobstand.core import rendezvous, token_bucket
from carobstand.core import swarm_peers as peers
from carobstand.core import swarm_state as st

MAX_BITMAP_WAIT_S = 0.5
"""Maximum wait for the first bitmaps of neighbours before downloads start."""

LATE_JOIN_SHARE = 0.05
"""Share of the chunks held by peers at the start above which this VM is taken to have
joined a rollout that is under way."""

FIRST_CHECK_S = 1.0
"""Ranks 1, 2 to 3, 4 to 7 and so on first check for a chunk 1, 2, 3 times this after it
is due. What prevents an early takeover is the answers to probes, not this delay."""

MIN_TAKEOVER_S = 1.0
"""Minimum deadline after which the next VM in hash order takes over."""

TAKEOVER_FACTOR = 4.0
"""Takeover deadline as a multiple of the measured download time."""

MAX_PENDING_DEADLINES = 4
"""Takeover deadlines for which a VM may answer "still fetching" before it is skipped;
its link to the origin may be stalled."""

MAX_PENDING_DEADLINES_IN_OUTAGE = 12
"""The same while this VM's own downloads fail, as a takeover would fail too."""

NOT_FETCHING_S = 10.0
"""Time for which a VM that does not fetch one chunk of a manifest is not probed for the
others: mostly it has rejected the manifest for lack of memory."""

DEAD_AFTER_FAILURES = 3
"""Consecutive failed calls after which a VM counts as dead; the backoff between them
adds up to about a second."""

MAX_CHECKS_PER_S = 2000
"""Checks of seed tasks per second, about 2% of a core; 70 GB have 140,000 tasks."""

MIN_CHECK_INTERVAL_S = 0.002
"""Minimum time between two checks of a task."""

MAX_ORIGIN_DOWNLOADS = 2
"""Concurrent downloads from the origin; a second one hides the latency of the first."""

MIN_ORIGIN_DEADLINE_S = 2.0
"""Constant part of a download's deadline, independent of measured times."""

MAX_ORIGIN_BACKOFF_S = 2.0


def takeover_s(swarm, job):
    """Return the takeover deadline in seconds.

    It follows measured times, with the time of a chunk at the rate limits as minimum.
    """
    rates = (swarm.links.down.bytes_per_s, swarm.links.origin.bytes_per_s)
    size = job.largest_chunk_bytes
    times = [size / rate for rate in rates if rate]
    times += [swarm.transfer_s or 0.0, swarm.origin_transfer_s or 0.0]
    return max(MIN_TAKEOVER_S, TAKEOVER_FACTOR * max(times))


def _recheck_s(swarm, job):
    """Return the time until a VM that is still fetching is probed again."""
    return max(MIN_TAKEOVER_S, takeover_s(swarm, job) / TAKEOVER_FACTOR)


def set_seed_order(swarm, job, now):
    """Set the download order and schedule of a job's chunks; all VMs use one order."""
    key = rendezvous.hash_of(job.digest)
    mixed = {
        digest: rendezvous.mix(key, rendezvous.hash_of(digest)) for digest in job.chunks
    }
    job.seed_order = tuple(
        sorted(range(len(job.chunks)), key=lambda idx: mixed[job.chunks[idx]])
    )
    rate = swarm.links.origin.bytes_per_s
    mean = sum(job.sizes) / max(1, len(job.sizes))
    job.seed_interval_s = mean / rate if rate else 0.0
    job.started_at = now


def schedule(swarm, job, now):
    """Create the seed tasks of this VM for the chunks that are due."""
    if job.complete or swarm.vm not in job.members or not _may_start(job, now):
        return
    total = len(job.seed_order) * (2 if job.policy is st.Policy.TIME else 1)
    while job.cursor < total:
        due = job.started_at + job.cursor * job.seed_interval_s
        if due > now:
            return
        idx = job.seed_order[job.cursor % len(job.seed_order)]
        second_pass = job.cursor >= len(job.seed_order)
        job.cursor += 1
        if not job.held_bitmap >> idx & 1:
            _add_tasks(swarm, job, idx, due, second_pass)


def _may_start(job, now):
    if (
        now - job.started_at < MAX_BITMAP_WAIT_S
        and not set(job.neighbours) <= job.reported_peers
    ):
        return False
    if job.cursor == 0:
        available = sum(1 for count in job.availability if count)
        job.joined_late = available > LATE_JOIN_SHARE * len(job.availability)
    return True


def _add_tasks(swarm, job, idx, due, second_pass):
    """Add the seed tasks of this VM for a chunk that is due."""
    if second_pass:
        if _second_seeder(job, idx) == swarm.vm and not job.joined_late:
            task = st.SeedTask(job, idx, st.SeedKind.ORIGIN, due, second_copy=True)
            _push(job, due, task)
        return
    for kind in st.SeedKind:
        task = st.SeedTask(job, idx, kind, due)
        if kind is st.SeedKind.ORIGIN and job.joined_late:
            task.pending_since = float("-inf")
        if _is_first(swarm, job, idx, kind):
            _rank(swarm, job, task)
            _push(job, due, task)
        else:
            _push(job, due + FIRST_CHECK_S, task)


def _is_first(swarm, job, idx, kind):
    """Return whether this VM ranks first for a chunk; cheaper than the full order."""
    hashes = job.hashes if kind is st.SeedKind.ORIGIN else job.region_hashes
    key = rendezvous.hash_of(job.chunks[idx])
    return max(hashes, key=lambda vm: rendezvous.mix(hashes[vm], key)) == swarm.vm


def _order(job, idx):
    return rendezvous.ranked(job.hashes, rendezvous.hash_of(job.chunks[idx]))


def _second_seeder(job, idx):
    """Return the VM that downloads a second copy, the first one of another region."""
    order = _order(job, idx)
    region = job.members[order[0]].region
    others = [vm for vm in order if job.members[vm].region != region]
    return (others or order[1:2] or [""])[0]


def _rank(swarm, job, task):
    """Set the rank of a task and the VMs to probe, from the current roster.

    The roster grows while agents connect, so ranks are recomputed when it changes.
    """
    task.roster_number = job.roster_number
    if task.second_copy or swarm.vm not in job.members:
        task.rank, task.ranked_ahead, task.remote_sources = 0, (), ()
        return
    order = _order(job, task.idx)
    region_of = {vm: job.members[vm].region for vm in order}
    if task.kind is st.SeedKind.CROSS_REGION:
        # Also in the first VM's region, as other regions may hold the chunk already.
        task.remote_sources = tuple(vm for vm in order if region_of[vm] != swarm.region)
        order = [vm for vm in order if region_of[vm] == swarm.region]
    task.rank = order.index(swarm.vm)
    task.ranked_ahead = tuple(order[: task.rank])
    if task.kind is st.SeedKind.ORIGIN and task.rank == 0 and job.joined_late:
        # The next VM ranked first before this one joined, so it is probed once.
        task.ranked_ahead = tuple(order[1:2])


def _push(job, time, task):
    task.next_check_at = time
    job.pushes += 1
    heapq.heappush(job.seed_tasks, (time, job.pushes, task))


def run(swarm, now, effects):
    """Carry out the seed tasks that are due."""
    for job in list(swarm.jobs.values()):
        schedule(swarm, job, now)
        while job.seed_tasks and job.seed_tasks[0][0] <= now:
            time, _, task = heapq.heappop(job.seed_tasks)
            if task.next_check_at != time or job.held_bitmap >> task.idx & 1:
                continue
            if task.roster_number != job.roster_number:
                if _is_arriving(swarm, job, task):
                    _push(job, now + takeover_s(swarm, job), task)
                    continue
                _rank(swarm, job, task)
            due = task.due_at + FIRST_CHECK_S * task.rank.bit_length()
            if due > now:
                _push(job, due, task)
            else:
                again_s = _run_task(swarm, job, task, now, effects)
                shortest_s = (
                    MIN_CHECK_INTERVAL_S + len(job.seed_tasks) / MAX_CHECKS_PER_S
                )
                _push(job, now + max(shortest_s, again_s), task)


def _is_arriving(swarm, job, task):
    """Return whether a chunk is available or in transfer, so that no rank is needed."""
    if task.second_copy:
        return False
    offered = job.availability[task.idx] and _is_offered(
        swarm, job, task.idx, swarm.region
    )
    return offered or job.chunks[task.idx] in swarm.inflight


def _run_task(swarm, job, task, now, effects):
    """Carry out the next step of a task; return the time until its next check."""
    takeover = takeover_s(swarm, job)
    if job.chunks[task.idx] in swarm.inflight:
        return takeover / 2
    if task.kind is st.SeedKind.CROSS_REGION:
        return _fetch_cross_region(swarm, job, task, now, effects)
    offered = not task.second_copy and _is_offered(swarm, job, task.idx)
    if offered or not swarm.has_origin:
        return takeover
    candidate, wait_s = _next_to_probe(swarm, task, task.ranked_ahead, now)
    if candidate is not None:
        return wait_s or _probe(swarm, job, task, candidate, now, effects)
    return _download(swarm, job, task, now, effects)


def _is_offered(swarm, job, idx, region=None):
    """Return whether a reachable peer, in one region or in any, holds the chunk."""
    return any(
        peer.held_bitmaps.get(job.digest, 0) >> idx & 1
        and peer.failures < 3
        and region in (None, peer.member.region)
        for peer in swarm.peers.values()
    )


def _next_to_probe(swarm, task, vms, now):
    """Return the next VM to probe, or None, and the time until it may be probed.

    A closed connection alone does not mean that the VM is dead; it is ruled out only
    after `DEAD_AFTER_FAILURES` consecutive failures.
    """
    for vm in vms:
        if vm in task.ruled_out:
            continue
        if now < task.job.not_fetching_until.get(vm, now):
            task.ruled_out.add(vm)
            continue
        peer = swarm.peers.get(vm)
        if peer is None or peer.failures == 0 or peer.retry_at <= now:
            return vm, 0.0
        if peer.failures < DEAD_AFTER_FAILURES:
            return vm, peer.retry_at - now
        task.ruled_out.add(vm)
    return None, 0.0


def _fetch_cross_region(swarm, job, task, now, effects):
    """Fetch a chunk from another region, from its seeder or another peer."""
    takeover = takeover_s(swarm, job)
    if task.rank and _is_offered(swarm, job, task.idx, swarm.region):
        return takeover
    candidate, wait_s = _next_to_probe(swarm, task, task.ranked_ahead, now)
    if candidate is None:
        job.cross_region_bitmap |= 1 << task.idx
        if now < task.due_at + FIRST_CHECK_S:
            return task.due_at + FIRST_CHECK_S - now
        if _is_offered(swarm, job, task.idx):
            return takeover
        candidate, wait_s = _next_to_probe(swarm, task, task.remote_sources, now)
    if candidate is None:
        task.ruled_out.difference_update(task.remote_sources)
        return takeover
    return wait_s or _probe(swarm, job, task, candidate, now, effects)


def _probe(swarm, job, task, vm, now, effects):
    """Probe a VM for a chunk; return the time until the next check of the task."""
    member = job.members.get(vm)
    if member is None:
        task.ruled_out.add(vm)
        return 0.0
    if token_bucket.weights_wait_s(swarm.probe_bucket, now) > 0:
        return _recheck_s(swarm, job) * swarm.rng.uniform(0.5, 1.5)
    token_bucket.take_weights(swarm.probe_bucket, 1, now)
    peer = peers.get_or_add_peer(swarm, member)
    deadline = now + peers.MIN_DEADLINE_S + takeover_s(swarm, job)
    digest = job.chunks[task.idx]
    transfer = peers.new_transfer(swarm, digest, 0, vm, now, deadline)
    transfer.probe = True
    transfer.task = task
    effects.append(st.Request(transfer.id, peer.member, digest, probe=True))
    return takeover_s(swarm, job)


def record_probe_result(swarm, transfer, reason, now):
    """Process the response to a probe."""
    task = transfer.task
    job = task.job
    if reason is st.Refusal.BUSY:
        peer = swarm.peers.get(transfer.vm)
        if peer is not None and job.digest in swarm.jobs:
            held = peer.held_bitmaps.get(job.digest, 0) | 1 << task.idx
            peers.set_bitmap(job, peer, held)
        return
    if reason is st.Refusal.PENDING:
        if task.pending_since is None:
            task.pending_since = now
        outage = swarm.origin_failures > 0
        deadlines = MAX_PENDING_DEADLINES_IN_OUTAGE if outage else MAX_PENDING_DEADLINES
        if now - task.pending_since < deadlines * takeover_s(swarm, job):
            _push(job, now + _recheck_s(swarm, job), task)
            return
    if reason is st.Refusal.ABSENT:
        job.not_fetching_until[transfer.vm] = now + NOT_FETCHING_S
    task.ruled_out.add(transfer.vm)
    if task.pending_since != float("-inf"):
        task.pending_since = None
    _push(job, now, task)


def _download(swarm, job, task, now, effects):
    """Start a download from the origin, or return the time until limits allow it."""
    if now < swarm.origin_retry_at:
        return swarm.origin_retry_at - now
    in_progress = sum(1 for item in swarm.transfers.values() if item.vm == st.ORIGIN)
    if in_progress >= MAX_ORIGIN_DOWNLOADS or (in_progress and swarm.origin_failures):
        return peers.MIN_DEADLINE_S / 4
    links = swarm.links
    wait = max(
        token_bucket.weights_wait_s(links.down, now),
        token_bucket.weights_wait_s(links.origin, now),
    )
    if wait > 0:
        return wait
    size = job.sizes[task.idx]
    token_bucket.take_weights(links.down, size, now)
    token_bucket.take_weights(links.origin, size, now)
    measured = swarm.origin_transfer_s or peers.expected_s(swarm, size)
    timeout_factor = TAKEOVER_FACTOR * 2 ** min(swarm.origin_failures, 4)
    deadline = now + MIN_ORIGIN_DEADLINE_S + timeout_factor * measured
    digest = job.chunks[task.idx]
    transfer = peers.new_transfer(swarm, digest, size, st.ORIGIN, now, deadline)
    transfer.task = task
    swarm.inflight.setdefault(digest, set()).add(transfer.id)
    effects.append(st.Download(transfer.id, digest))
    return takeover_s(swarm, job)


def record_download_failure(swarm, transfer, now):
    """Back off from the origin, with jitter, and schedule a retry."""
    # An overloaded origin looks like a stalled one: longer deadlines keep downloads
    # from being cancelled and repeated endlessly.
    elapsed_s = now - transfer.started_at
    swarm.origin_transfer_s = max(swarm.origin_transfer_s or 0.0, elapsed_s)
    delay = peers.INITIAL_BACKOFF_S * 2 ** min(swarm.origin_failures, 6)
    delay = min(MAX_ORIGIN_BACKOFF_S, delay) * swarm.rng.uniform(0.5, 1.5)
    swarm.origin_failures += 1
    swarm.origin_retry_at = now + delay
    task = transfer.task
    if task.job.digest in swarm.jobs:
        _push(task.job, swarm.origin_retry_at, task)


def next_due(swarm, job):
    """Return the time at which the next task of a job is due, or None."""
    times = [job.seed_tasks[0][0]] if job.seed_tasks else []
    passes = 2 if job.policy is st.Policy.TIME else 1
    if job.cursor < len(job.seed_order) * passes:
        times.append(job.started_at + job.cursor * job.seed_interval_s)
    return min(times, default=None)


def announce_download(swarm, job, idx, now, effects):
    """Announce a downloaded chunk to the VM of each other region that fetches it."""
    order = rendezvous.ranked(job.hashes, rendezvous.hash_of(job.chunks[idx]))
    announced_regions = {swarm.region}
    for vm in order:
        member = job.members[vm]
        if member.region not in announced_regions:
            announced_regions.add(member.region)
            effects.append(st.Announce(member, job.digest, job.held_bitmap, 0))
