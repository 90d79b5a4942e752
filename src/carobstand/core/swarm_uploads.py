"""Upload side of the swarm: queue, slots and pace of chunks sent to peers."""

from carobstand.core import chunks, limits
from carobstand.core import swarm_state as st

RECENT_REQUESTS = 256
"""Requests remembered to notice one that arrives twice, which would take a slot."""

REMOTE_EXTRA = 2
"""Queue places that only requests from other regions may use: each of those serves a
whole region."""

PENDING_RETRY_S = 0.2
"""Time after which a peer may ask again for a chunk that is on its way here."""

RETRY_CHUNKS = 2
"""Places of a full queue that become free before a refused peer asks again."""

UNLIMITED_RETRY_S = 0.05
"""Time after which a peer may ask again where no rate limits uploads."""


def asked(swarm, event, now, effects):
    """Queue a peer's request, or refuse it with the reason.

    A request that arrives a second time is ignored.
    """
    key = (event.conn, event.request_id)
    if key in swarm.recent:
        return
    swarm.recent[key] = now
    if len(swarm.recent) > RECENT_REQUESTS:
        del swarm.recent[next(iter(swarm.recent))]
    data = chunks.get(swarm.cache, event.digest)
    if data is None:
        reason = st.Refusal.PENDING if _fetches(swarm, event) else st.Refusal.ABSENT
        _refuse(event, reason, PENDING_RETRY_S, effects)
        return
    remote = event.region != swarm.region
    places = swarm.upload_slots + (REMOTE_EXTRA if remote else 0)
    if event.probe or len(swarm.queue) >= places:
        _refuse(event, st.Refusal.BUSY, retry_after_s(swarm, len(data)), effects)
        return
    swarm.queue.append(
        st.Upload(
            event.vm, event.conn, event.request_id, event.digest, len(data), remote
        )
    )


def _fetches(swarm, event):
    """Return whether this VM is going to have a chunk without the help of the asker."""
    if event.digest in swarm.inflight:
        return True
    wanted = any(event.digest in job.index for job in swarm.jobs.values())
    return wanted and swarm.has_origin


def _refuse(event, reason, retry_after_s, effects):
    effects.append(
        st.Refuse(event.conn, event.request_id, event.digest, reason, retry_after_s)
    )


def retry_after_s(swarm, size):
    """Return the time after which a peer may ask a full queue again."""
    rate = swarm.links.up.bytes_per_s
    return RETRY_CHUNKS * size / rate if rate else UNLIMITED_RETRY_S


def queued(swarm):
    """Return the number of uploads that wait or are being sent."""
    return len(swarm.queue) + len(swarm.sending) + (swarm.paying is not None)


def sent(swarm, event):
    """Free the slot of an upload that was handed to its connection."""
    swarm.sending.pop((event.conn, event.request_id), None)


def drop_held(swarm, vm, have):
    """Forget the queued requests of a peer for chunks that it now has."""
    swarm.queue = [
        upload for upload in swarm.queue if upload.vm != vm or upload.digest not in have
    ]


def drop_connection(swarm, lost):
    """Forget the queued requests that came over a connection that ended."""
    swarm.queue = [
        upload
        for upload in swarm.queue
        if upload.vm != lost.vm or lost.conn not in (None, upload.conn)
    ]


def run(swarm, now, effects):
    """Send queued chunks, each when the links have paid for it."""
    links = swarm.links
    while True:
        if swarm.paying is None:
            _refuse_evicted(swarm, effects)
            swarm.paying = _next(swarm, now)
        upload = swarm.paying
        if upload is None or _wait_s(links, upload, now) > 0:
            return
        swarm.paying = None
        if chunks.get(swarm.cache, upload.digest) is None:
            _refuse(upload, st.Refusal.ABSENT, 0.0, effects)
            continue
        swarm.sending[upload.conn, upload.request_id] = upload
        swarm.times_sent[upload.digest] = swarm.times_sent.get(upload.digest, 0) + 1
        effects.append(st.Send(upload.conn, upload.request_id, upload.digest))


def _next(swarm, now):
    """Return the upload to pay for next, or None.

    Requests from other regions go first, then those for the chunks that this VM has
    sent least often, so that new chunks spread before common ones.
    """
    links = swarm.links
    if len(swarm.sending) >= swarm.upload_slots:
        return None
    ready = [upload for upload in swarm.queue if _wait_s(links, upload, now) == 0]
    if not ready:
        return None
    chosen = min(
        ready,
        key=lambda upload: (not upload.remote, swarm.times_sent.get(upload.digest, 0)),
    )
    swarm.queue.remove(chosen)
    limits.take_weights(links.up, chosen.size, now)
    if chosen.remote:
        limits.take_weights(links.region_up, chosen.size, now)
    return chosen


def _wait_s(links, upload, now):
    wait = limits.weights_wait_s(links.up, now)
    if upload.remote:
        wait = max(wait, limits.weights_wait_s(links.region_up, now))
    return wait


def _refuse_evicted(swarm, effects):
    """Refuse the queued requests for chunks that are no longer held."""
    for upload in [item for item in swarm.queue if item.digest not in swarm.cache.data]:
        swarm.queue.remove(upload)
        _refuse(upload, st.Refusal.ABSENT, 0.0, effects)


def wait_s(swarm, now):
    """Return the time until the next upload can go on, None if none waits."""
    if swarm.paying is not None:
        return _wait_s(swarm.links, swarm.paying, now)
    if swarm.queue and len(swarm.sending) < swarm.upload_slots:
        return min(_wait_s(swarm.links, upload, now) for upload in swarm.queue)
    return None
