"""Duties: which VM downloads a chunk from the origin or across a region link.

The VMs of the roster are ranked for each chunk by rendezvous hashing. The first one
downloads the chunk from the origin when its turn in the schedule has come; in each
other region the first one of that region fetches it across the region link. The VM of
rank k looks whether the chunk has come, asks those before it, and takes over when none
of them fetches it or when their answers "still fetching" have used up the deadlines.
"""

import heapq

from carobstand.core import limits, ranks
from carobstand.core import swarm_peers as peers
from carobstand.core import swarm_state as st

GRACE_S = 0.5
"""Longest wait for the first bitmaps of neighbours before anything is drawn."""

LATE_SHARE = 0.05
"""Share of the chunks held by neighbours at the start above which this VM has joined a
rollout that is under way."""

FIRST_LOOK_S = 1.0
"""Time after which ranks 1, 2 and 3, 4 to 7 and so on first look for a chunk: 1, 2, 3
times this. The answers of those before a VM keep it from acting, not this time."""

MIN_TAKEOVER_S = 1.0
"""Shortest deadline after which the next VM in hash order takes over."""

TAKEOVER_FACTOR = 4.0
"""Takeover deadline as a multiple of the measured time of downloads."""

MAX_DEFERRED = 4
"""Deadlines for which a VM may answer "still fetching" before it is passed over; its
origin link may be stalled."""

DEFERRED_DURING_OUTAGE = 12
"""The same while this VM's own downloads fail, as taking over would not help."""

ABSENT_S = 10.0
"""Time for which a VM that does not fetch one chunk of a manifest is not asked for the
others: mostly it has refused the manifest for want of memory."""

FAILURES_OF_THE_DEAD = 3
"""Failed calls in a row after which a VM counts as dead; the pauses between them are
about a second in all."""

LOOKS_PER_S = 2000
"""Looks at duties per second, about 2% of a core; weights of 70 GB have 140,000."""

SHORTEST_PAUSE_S = 0.002
"""Shortest time between two looks at a duty."""

ORIGIN_SLOTS = 2
"""Downloads from the origin at once; a second one hides the delay of the first."""

ORIGIN_DEADLINE_S = 2.0
"""Part of the deadline of a download that does not follow measured rates."""

LONGEST_ORIGIN_BACKOFF_S = 2.0


def takeover_s(swarm, job):
    """Return the takeover deadline in seconds.

    It follows measured times, and is not below what the limits allow for a chunk.
    """
    rates = (swarm.links.down.bytes_per_s, swarm.links.origin.bytes_per_s)
    size = job.largest
    times = [size / rate for rate in rates if rate]
    times += [swarm.seconds or 0.0, swarm.origin_seconds or 0.0]
    return max(MIN_TAKEOVER_S, TAKEOVER_FACTOR * max(times))


def _look_s(swarm, job):
    """Return the time until a VM that is still fetching is asked again."""
    return max(MIN_TAKEOVER_S, takeover_s(swarm, job) / TAKEOVER_FACTOR)


def prepare(swarm, job, now):
    """Set the order of draws of a job, the same at every VM."""
    key = ranks.hash_of(job.digest)
    mixed = {digest: ranks.mix(key, ranks.hash_of(digest)) for digest in job.chunks}
    job.order = tuple(
        sorted(range(len(job.chunks)), key=lambda idx: mixed[job.chunks[idx]])
    )
    rate = swarm.links.origin.bytes_per_s
    mean = sum(job.sizes) / max(1, len(job.sizes))
    job.due_step_s = mean / rate if rate else 0.0
    job.started_at = now


def schedule(swarm, job, now):
    """Turn the chunks whose time has come into duties of this VM."""
    if job.complete or swarm.vm not in job.members or not _may_start(job, now):
        return
    total = len(job.order) * (2 if job.policy is st.Policy.TIME else 1)
    while job.cursor < total:
        due = job.started_at + job.cursor * job.due_step_s
        if due > now:
            return
        idx = job.order[job.cursor % len(job.order)]
        second = job.cursor >= len(job.order)
        job.cursor += 1
        if not job.have >> idx & 1:
            _assign(swarm, job, idx, due, second)


def _may_start(job, now):
    if now - job.started_at < GRACE_S and not set(job.neighbours) <= job.heard:
        return False
    if job.cursor == 0:
        known = sum(1 for count in job.counts if count)
        job.joined_late = known > LATE_SHARE * len(job.counts)
    return True


def _assign(swarm, job, idx, due, second):
    """Add the duties of this VM for a chunk whose time has come."""
    if second:
        if _second_drawer(job, idx) == swarm.vm and not job.joined_late:
            duty = st.Duty(job, idx, st.DutyKind.ORIGIN, due, extra=True)
            _push(job, due, duty)
        return
    for kind in st.DutyKind:
        duty = st.Duty(job, idx, kind, due)
        if kind is st.DutyKind.ORIGIN and job.joined_late:
            duty.deferred_since = float("-inf")
        if _is_first(swarm, job, idx, kind):
            _rank(swarm, job, duty)
            _push(job, due, duty)
        else:
            _push(job, due + FIRST_LOOK_S, duty)


def _is_first(swarm, job, idx, kind):
    """Return whether this VM is the first for a duty; cheaper than the whole order."""
    hashes = job.hashes if kind is st.DutyKind.ORIGIN else job.region_hashes
    key = ranks.hash_of(job.chunks[idx])
    return max(hashes, key=lambda vm: ranks.mix(hashes[vm], key)) == swarm.vm


def _order(job, idx):
    return ranks.ranked(job.hashes, ranks.hash_of(job.chunks[idx]))


def _second_drawer(job, idx):
    """Return the VM that downloads a second copy: the first one of another region."""
    order = _order(job, idx)
    region = job.members[order[0]].region
    others = [vm for vm in order if job.members[vm].region != region]
    return (others or order[1:2] or [""])[0]


def _rank(swarm, job, duty):
    """Set the rank of a duty and the VMs to ask, from the present roster.

    A roster grows while agents connect, so a rank is not for ever.
    """
    duty.roster = job.roster
    if duty.extra or swarm.vm not in job.members:
        duty.rank, duty.before, duty.sources = 0, (), ()
        return
    order = _order(job, duty.idx)
    region_of = {vm: job.members[vm].region for vm in order}
    if duty.kind is st.DutyKind.ENTRY:
        # Also in the region of the first one: other regions may hold the chunk already.
        duty.sources = tuple(vm for vm in order if region_of[vm] != swarm.region)
        order = [vm for vm in order if region_of[vm] == swarm.region]
    duty.rank = order.index(swarm.vm)
    duty.before = tuple(order[: duty.rank])
    if duty.kind is st.DutyKind.ORIGIN and duty.rank == 0 and job.joined_late:
        # Before this VM joined, the next one was the first; it is asked once.
        duty.before = tuple(order[1:2])


def _push(job, time, duty):
    duty.at = time
    job.pushes += 1
    heapq.heappush(job.duties, (time, job.pushes, duty))


def run(swarm, now, effects):
    """Carry out the duties that are due."""
    for job in list(swarm.jobs.values()):
        schedule(swarm, job, now)
        while job.duties and job.duties[0][0] <= now:
            time, _, duty = heapq.heappop(job.duties)
            if duty.at != time or job.have >> duty.idx & 1:
                continue
            if duty.roster != job.roster:
                if _may_wait(swarm, job, duty):
                    _push(job, now + takeover_s(swarm, job), duty)
                    continue
                _rank(swarm, job, duty)
            due = duty.base + FIRST_LOOK_S * duty.rank.bit_length()
            if due > now:
                _push(job, due, duty)
            else:
                again_s = _act(swarm, job, duty, now, effects)
                shortest_s = SHORTEST_PAUSE_S + len(job.duties) / LOOKS_PER_S
                _push(job, now + max(shortest_s, again_s), duty)


def _may_wait(swarm, job, duty):
    """Return whether a chunk comes without this duty, so that no rank is needed."""
    if duty.extra:
        return False
    offered = job.counts[duty.idx] and _is_offered(swarm, job, duty.idx, swarm.region)
    return offered or job.chunks[duty.idx] in swarm.inflight


def _act(swarm, job, duty, now, effects):
    """Do what a duty needs next; return the time until it is looked at again."""
    takeover = takeover_s(swarm, job)
    if job.chunks[duty.idx] in swarm.inflight:
        return takeover / 2
    if duty.kind is st.DutyKind.ENTRY:
        return _enter(swarm, job, duty, now, effects)
    offered = not duty.extra and _is_offered(swarm, job, duty.idx)
    if offered or not swarm.has_origin:
        return takeover
    unasked, wait_s = _next_unasked(swarm, duty, duty.before, now)
    if unasked is not None:
        return wait_s or _probe(swarm, job, duty, unasked, now, effects)
    return _draw(swarm, job, duty, now, effects)


def _is_offered(swarm, job, idx, region=None):
    """Return whether some peer that answers, of a region or any, holds the chunk."""
    return any(
        known.have.get(job.digest, 0) >> idx & 1
        and known.failures < 3
        and region in (None, known.member.region)
        for known in swarm.peers.values()
    )


def _next_unasked(swarm, duty, vms, now):
    """Return the next VM to ask and the time until it may be asked.

    A connection that ended is no failure of the VM; it counts as asked, without the
    chunk, only after `FAILURES_OF_THE_DEAD` in a row.
    """
    for vm in vms:
        if vm in duty.asked:
            continue
        if now < duty.job.absent.get(vm, now):
            duty.asked.add(vm)
            continue
        known = swarm.peers.get(vm)
        if known is None or known.failures == 0 or known.retry_at <= now:
            return vm, 0.0
        if known.failures < FAILURES_OF_THE_DEAD:
            return vm, known.retry_at - now
        duty.asked.add(vm)
    return None, 0.0


def _enter(swarm, job, duty, now, effects):
    """Fetch a chunk across the region link, from its drawer or another holder."""
    takeover = takeover_s(swarm, job)
    if duty.rank and _is_offered(swarm, job, duty.idx, swarm.region):
        return takeover
    unasked, wait_s = _next_unasked(swarm, duty, duty.before, now)
    if unasked is None:
        job.entry |= 1 << duty.idx
        if now < duty.base + FIRST_LOOK_S:
            return duty.base + FIRST_LOOK_S - now
        if _is_offered(swarm, job, duty.idx):
            return takeover
        unasked, wait_s = _next_unasked(swarm, duty, duty.sources, now)
    if unasked is None:
        duty.asked.difference_update(duty.sources)
        return takeover
    return wait_s or _probe(swarm, job, duty, unasked, now, effects)


def _probe(swarm, job, duty, vm, now, effects):
    """Ask a VM for a chunk; return the time until the duty is looked at again."""
    member = job.members.get(vm)
    if member is None:
        duty.asked.add(vm)
        return 0.0
    if limits.weights_wait_s(swarm.probes, now) > 0:
        return _look_s(swarm, job) * swarm.rng.uniform(0.5, 1.5)
    limits.take_weights(swarm.probes, 1, now)
    known = peers.peer(swarm, member)
    deadline = now + peers.MIN_DEADLINE_S + takeover_s(swarm, job)
    digest = job.chunks[duty.idx]
    transfer = peers.new_transfer(swarm, digest, 0, vm, now, deadline)
    transfer.probe = True
    transfer.duty = duty
    effects.append(st.Request(transfer.id, known.member, digest, probe=True))
    return takeover_s(swarm, job)


def probed(swarm, transfer, reason, now):
    """Record the answer to a probe."""
    duty = transfer.duty
    job = duty.job
    if reason is st.Refusal.BUSY:
        known = swarm.peers.get(transfer.vm)
        if known is not None and job.digest in swarm.jobs:
            held = known.have.get(job.digest, 0) | 1 << duty.idx
            peers.learn(job, known, held)
        return
    if reason is st.Refusal.PENDING:
        if duty.deferred_since is None:
            duty.deferred_since = now
        outage = swarm.origin_failures > 0
        deadlines = DEFERRED_DURING_OUTAGE if outage else MAX_DEFERRED
        if now - duty.deferred_since < deadlines * takeover_s(swarm, job):
            _push(job, now + _look_s(swarm, job), duty)
            return
    if reason is st.Refusal.ABSENT:
        job.absent[transfer.vm] = now + ABSENT_S
    duty.asked.add(transfer.vm)
    if duty.deferred_since != float("-inf"):
        duty.deferred_since = None
    _push(job, now, duty)


def _draw(swarm, job, duty, now, effects):
    """Download a chunk from the origin when its limits allow it."""
    if now < swarm.origin_retry_at:
        return swarm.origin_retry_at - now
    drawing = sum(1 for item in swarm.transfers.values() if item.vm == st.ORIGIN)
    if drawing >= ORIGIN_SLOTS or (drawing and swarm.origin_failures):
        return peers.MIN_DEADLINE_S / 4
    links = swarm.links
    wait = max(
        limits.weights_wait_s(links.down, now), limits.weights_wait_s(links.origin, now)
    )
    if wait > 0:
        return wait
    size = job.sizes[duty.idx]
    limits.take_weights(links.down, size, now)
    limits.take_weights(links.origin, size, now)
    measured = swarm.origin_seconds or peers.expected_s(swarm, size)
    patience = TAKEOVER_FACTOR * 2 ** min(swarm.origin_failures, 4)
    deadline = now + ORIGIN_DEADLINE_S + patience * measured
    digest = job.chunks[duty.idx]
    transfer = peers.new_transfer(swarm, digest, size, st.ORIGIN, now, deadline)
    transfer.duty = duty
    swarm.inflight.setdefault(digest, set()).add(transfer.id)
    effects.append(st.Draw(transfer.id, digest))
    return takeover_s(swarm, job)


def draw_failed(swarm, transfer, now):
    """Back off from the origin, with jitter, and plan the next try."""
    # An overloaded origin looks like a stalled one; waiting longer keeps downloads
    # from being given up and repeated for ever.
    waited = now - transfer.started_at
    swarm.origin_seconds = max(swarm.origin_seconds or 0.0, waited)
    delay = peers.FIRST_BACKOFF_S * 2 ** min(swarm.origin_failures, 6)
    delay = min(LONGEST_ORIGIN_BACKOFF_S, delay) * swarm.rng.uniform(0.5, 1.5)
    swarm.origin_failures += 1
    swarm.origin_retry_at = now + delay
    duty = transfer.duty
    if duty.job.digest in swarm.jobs:
        _push(duty.job, swarm.origin_retry_at, duty)


def next_due(swarm, job):
    """Return the time at which a duty of a job is due, or None."""
    times = [job.duties[0][0]] if job.duties else []
    passes = 2 if job.policy is st.Policy.TIME else 1
    if job.cursor < len(job.order) * passes:
        times.append(job.started_at + job.cursor * job.due_step_s)
    return min(times, default=None)


def drawn(swarm, job, idx, now, effects):
    """Tell the VM that brings a chunk into each other region that it can be fetched."""
    order = ranks.ranked(job.hashes, ranks.hash_of(job.chunks[idx]))
    told = {swarm.region}
    for vm in order:
        member = job.members[vm]
        if member.region not in told:
            told.add(member.region)
            effects.append(st.Announce(member, job.digest, job.have, 0))
