"""Uploads of chunks to peers: queue, slots and rate limits."""

from carobstand.core import chunks, token_bucket
from carobstand.core import swarm_state as st

MAX_RECENT_REQUESTS = 256
"""Requests remembered to detect duplicates, which would occupy a slot."""

REMOTE_EXTRA_SLOTS = 2
"""Queue slots reserved for requests from other regions, as each of those supplies a
whole region."""

PENDING_RETRY_S = 0.2
"""Time after which a peer may retry a chunk that this VM is still fetching."""

RETRY_AFTER_CHUNKS = 2
"""Slots of a full queue that are freed before a rejected peer retries."""

UNLIMITED_RETRY_S = 0.05
"""Time after which a rejected peer may retry if uploads have no rate limit."""


def enqueue(swarm, event, now, effects):
    """Queue a peer's request, or reject it with the reason.

    A duplicate of a request is ignored.
    """
    key = (event.conn, event.request_id)
    if key in swarm.recent_requests:
        return
    swarm.recent_requests[key] = now
    if len(swarm.recent_requests) > MAX_RECENT_REQUESTS:
        del swarm.recent_requests[next(iter(swarm.recent_requests))]
    data = chunks.get(swarm.cache, event.digest)
    if data is None:
        reason = st.Refusal.PENDING if _will_fetch(swarm, event) else st.Refusal.ABSENT
        _refuse(event, reason, PENDING_RETRY_S, effects)
        return
    remote = event.region != swarm.region
    max_queued = swarm.upload_slots + (REMOTE_EXTRA_SLOTS if remote else 0)
    if event.probe or len(swarm.upload_queue) >= max_queued:
        _refuse(event, st.Refusal.BUSY, retry_after_s(swarm, len(data)), effects)
        return
    swarm.upload_queue.append(
        st.Upload(
            event.vm, event.conn, event.request_id, event.digest, len(data), remote
        )
    )


def _will_fetch(swarm, event):
    """Return whether this VM will obtain a chunk without the requesting peer."""
    if event.digest in swarm.inflight:
        return True
    is_listed = any(event.digest in job.index for job in swarm.jobs.values())
    return is_listed and swarm.has_origin


def _refuse(event, reason, retry_after_s, effects):
    effects.append(
        st.Refuse(event.conn, event.request_id, event.digest, reason, retry_after_s)
    )


def retry_after_s(swarm, size):
    """Return the time after which a peer may retry if the queue is full."""
    rate = swarm.links.up.bytes_per_s
    return RETRY_AFTER_CHUNKS * size / rate if rate else UNLIMITED_RETRY_S


def queued_count(swarm):
    """Return the number of uploads waiting or in progress."""
    return (
        len(swarm.upload_queue)
        + len(swarm.sending)
        + (swarm.charged_upload is not None)
    )


def finish(swarm, event):
    """Free the slot of an upload that was written to its connection."""
    swarm.sending.pop((event.conn, event.request_id), None)


def drop_held(swarm, vm, held_digests):
    """Drop the queued requests of a peer for chunks that it now holds."""
    swarm.upload_queue = [
        upload
        for upload in swarm.upload_queue
        if upload.vm != vm or upload.digest not in held_digests
    ]


def drop_connection(swarm, lost):
    """Drop the queued requests of a connection that ended."""
    swarm.upload_queue = [
        upload
        for upload in swarm.upload_queue
        if upload.vm != lost.vm or lost.conn not in (None, upload.conn)
    ]


def run(swarm, now, effects):
    """Send queued chunks as the token buckets of the links allow."""
    links = swarm.links
    while True:
        if swarm.charged_upload is None:
            _refuse_evicted(swarm, effects)
            swarm.charged_upload = _choose_next(swarm, now)
        upload = swarm.charged_upload
        if upload is None or _wait_s(links, upload, now) > 0:
            return
        swarm.charged_upload = None
        if chunks.get(swarm.cache, upload.digest) is None:
            _refuse(upload, st.Refusal.ABSENT, 0.0, effects)
            continue
        swarm.sending[upload.conn, upload.request_id] = upload
        swarm.times_sent[upload.digest] = swarm.times_sent.get(upload.digest, 0) + 1
        effects.append(st.Send(upload.conn, upload.request_id, upload.digest))


def _choose_next(swarm, now):
    """Remove the next upload from the queue and take its tokens; None if none is ready.

    Requests from other regions come first, then those for the chunks that this VM has
    sent least often, so that rare chunks spread before common ones.
    """
    links = swarm.links
    if len(swarm.sending) >= swarm.upload_slots:
        return None
    ready = [
        upload for upload in swarm.upload_queue if _wait_s(links, upload, now) == 0
    ]
    if not ready:
        return None
    chosen = min(
        ready,
        key=lambda upload: (not upload.remote, swarm.times_sent.get(upload.digest, 0)),
    )
    swarm.upload_queue.remove(chosen)
    token_bucket.take_weights(links.up, chosen.size, now)
    if chosen.remote:
        token_bucket.take_weights(links.region_up, chosen.size, now)
    return chosen


def _wait_s(links, upload, now):
    wait = token_bucket.weights_wait_s(links.up, now)
    if upload.remote:
        wait = max(wait, token_bucket.weights_wait_s(links.region_up, now))
    return wait


def _refuse_evicted(swarm, effects):
    """Reject the queued requests for chunks that were evicted."""
    for upload in [
        item for item in swarm.upload_queue if item.digest not in swarm.cache.data
    ]:
        swarm.upload_queue.remove(upload)
        _refuse(upload, st.Refusal.ABSENT, 0.0, effects)


def wait_s(swarm, now):
    """Return the time until the next upload can be sent, None if none waits."""
    if swarm.charged_upload is not None:
        return _wait_s(swarm.links, swarm.charged_upload, now)
    if swarm.upload_queue and len(swarm.sending) < swarm.upload_slots:
        return min(_wait_s(swarm.links, upload, now) for upload in swarm.upload_queue)
    return None
