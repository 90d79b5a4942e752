"""Carries out the effects of `core.swarm` over connections and the origin."""

import anyio

from carobstand import errors, logs
from carobstand.agent import peer_links
from carobstand.core import chunks
from carobstand.core import swarm_state as st
from carobstand.wire import connection
from carobstand.wire.gen import ttypes

MAX_CONNECTION_BACKLOG_BYTES = 2 * 1024 * 1024
"""Bytes queued to a peer above which its chunk requests are rejected: its link is
stalled, and another peer makes better use of the upload slot."""

_STATUS = {
    st.Refusal.BUSY: ttypes.ChunkStatus.BUSY,
    st.Refusal.ABSENT: ttypes.ChunkStatus.ABSENT,
    st.Refusal.PENDING: ttypes.ChunkStatus.ABSENT,
}


def member_of(conn):
    """Return the `Member` at the other end of a connection, from its `Hello`."""
    peer = conn.peer
    return st.Member(
        peer.vm or "",
        peer.address or conn.address,
        peer.failure_domain or "",
        peer.region or "",
        peer.start_id or "",
    )


def carry_out(loop, effect):
    """Start one effect."""
    _ACTIONS[type(effect)](loop, effect)


def _request(loop, effect):
    loop.tg.start_soon(_request_chunk, loop, effect)


async def _request_chunk(loop, effect):
    member = effect.member
    message = ttypes.ChunkRequest(
        request_id=effect.transfer, digest=effect.digest, probe=effect.probe or None
    )
    await _post(loop, member, message)


async def _post(loop, member, message):
    """Send a message to a member; report a failure to the swarm as `PeerLost`."""
    try:
        conn = await peer_links.connect(loop, member)
        connection.post(conn, message)
    except errors.InvariantError:
        raise
    except errors.CarobstandError as exc:
        logs.event("weights.peer_failed", peer=member.vm, error=exc.message)
        loop.process_event(st.PeerLost(member.vm))


def _start_download(loop, effect):
    scope = anyio.CancelScope()
    loop.downloads[effect.transfer] = scope
    loop.tg.start_soon(_download, loop, effect, scope)


async def _download(loop, effect, scope):
    event = None
    with scope:
        try:
            if loop.state.origin is None:
                raise errors.OriginError("no origin is set", step="weights.draw")
            data = await loop.state.origin.chunk(effect.digest)
            event = st.ChunkReceived(effect.transfer, effect.digest, data)
        except errors.OriginError as exc:
            logs.event("weights.origin_failed", error=exc.message, peer=exc.peer)
            event = st.TransferFailed(effect.transfer, st.Refusal.LOST)
    loop.downloads.pop(effect.transfer, None)
    if event is not None:
        loop.process_event(event)


def _cancel_download(loop, effect):
    scope = loop.downloads.pop(effect.transfer, None)
    if scope is not None:
        scope.cancel()


def _announce(loop, effect):
    size = loop.bitmap_bytes(effect.manifest)
    free = loop.state.cfg.upload_slots - effect.queued
    message = ttypes.Holdings(
        manifest=effect.manifest,
        bitmap=effect.bitmap.to_bytes(size, "little"),
        free_slots=free,
        asks=effect.asks or None,
    )
    loop.tg.start_soon(_post, loop, effect.member, message)


def _send(loop, effect):
    data = chunks.get(loop.state.chunks, effect.digest)
    if data is None:
        raise errors.InvariantError(
            f"chunk {effect.digest[:12]} is to be sent but was not verified",
            step="weights.send",
        )
    loop.tg.start_soon(_send_chunk, loop, effect, data)


async def _send_chunk(loop, effect, data):
    reply = ttypes.ChunkReply(
        request_id=effect.request_id,
        digest=effect.digest,
        status=ttypes.ChunkStatus.OK,
        data=data,
    )
    try:
        await connection.send(effect.conn, reply)
        loop.traffic.chunk_bytes_sent += len(data)
    except errors.CarobstandError as exc:
        logs.event("weights.send_failed", peer=effect.conn.peer.vm, error=exc.message)
    loop.process_event(st.UploadEnded(effect.conn, effect.request_id))


def _refuse(loop, effect):
    pending = effect.reason is not st.Refusal.ABSENT
    reply = ttypes.ChunkReply(
        request_id=effect.request_id,
        digest=effect.digest,
        status=_STATUS[effect.reason],
        data=b"",
        retry_after_ms=max(1, int(effect.retry_after_s * 1000)) if pending else 0,
    )
    try:
        connection.post(effect.conn, reply)
    except errors.CarobstandError as exc:
        logs.event("weights.send_failed", peer=effect.conn.peer.vm, error=exc.message)


def _report_completed(loop, effect):
    logs.event("weights.verified", manifest=effect.manifest)
    loop.publish()


def _record_refusal(loop, effect):
    loop.refusals[effect.manifest] = effect.reason
    logs.event("weights.refused", manifest=effect.manifest, reason=effect.reason)


_ACTIONS = {
    st.Request: _request,
    st.Download: _start_download,
    st.CancelTransfer: _cancel_download,
    st.Announce: _announce,
    st.Send: _send,
    st.Refuse: _refuse,
    st.Completed: _report_completed,
    st.MemoryRefused: _record_refusal,
}


def handle_chunk_request(loop, conn, message):
    """Pass a peer's chunk request to the swarm."""
    peer_links.record_use(loop, conn)
    if conn.queued_bytes > MAX_CONNECTION_BACKLOG_BYTES:
        _refuse(
            loop,
            st.Refuse(conn, message.request_id, message.digest, st.Refusal.BUSY, 1.0),
        )
        return
    event = st.ChunkRequested(
        conn.peer.vm,
        conn.peer.region,
        conn,
        message.request_id,
        message.digest or "",
        bool(message.probe),
    )
    loop.process_event(event)


def handle_chunk_reply(loop, conn, message):
    """Pass a peer's reply to the swarm.

    Refusals count only from the VM that the request was sent to.
    """
    transfer = loop.swarm.transfers.get(message.request_id)
    from_requested_peer = transfer is not None and transfer.vm == conn.peer.vm
    if message.status == ttypes.ChunkStatus.OK:
        number = message.request_id if from_requested_peer else 0
        loop.process_event(
            st.ChunkReceived(number, message.digest or "", message.data or b"")
        )
    elif from_requested_peer:
        retry_s = (message.retry_after_ms or 0) / 1000
        reason = st.Refusal.BUSY
        if message.status != ttypes.ChunkStatus.BUSY:
            reason = st.Refusal.PENDING if retry_s else st.Refusal.ABSENT
        loop.process_event(st.TransferFailed(message.request_id, reason, retry_s))


def handle_holdings(loop, conn, message):
    """Pass a peer's bitmap to the swarm."""
    peer_links.record_use(loop, conn)
    slots = loop.state.cfg.upload_slots
    free = message.free_slots if message.free_slots is not None else slots
    event = st.BitmapReceived(
        member_of(conn),
        message.manifest or "",
        int.from_bytes(message.bitmap or b"", "little"),
        max(0, slots - free),
        bool(message.asks),
    )
    loop.process_event(event)
