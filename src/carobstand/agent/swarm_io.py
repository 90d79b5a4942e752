"""Effects of `core.swarm` carried out over connections and the origin."""

import anyio

from carobstand import errors, logs
from carobstand.agent import peer_links
from carobstand.core import chunks
from carobstand.core import swarm_state as st
from carobstand.wire import connection
from carobstand.wire.gen import ttypes

MAX_CONNECTION_BACKLOG_BYTES = 2 * 1024 * 1024
"""Bytes queued to a peer above which it gets no chunks: its link is stalled, and the
slot is better used for another."""

_STATUS = {
    st.Refusal.BUSY: ttypes.ChunkStatus.BUSY,
    st.Refusal.ABSENT: ttypes.ChunkStatus.ABSENT,
    st.Refusal.PENDING: ttypes.ChunkStatus.ABSENT,
}


def member_of(conn):
    """Return the `Member` at the other end of a connection, as its hello says."""
    peer = conn.peer
    return st.Member(
        peer.vm or "",
        peer.address or conn.address,
        peer.failure_domain or "",
        peer.region or "",
        peer.start_id or "",
    )


def carry_out(loop, effect):
    """Start to carry out one effect."""
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
    """Send a message to a member; a failure is an event of the swarm."""
    try:
        conn = await peer_links.connect(loop, member)
        connection.post(conn, message)
    except errors.InvariantError:
        raise
    except errors.CarobstandError as exc:
        logs.event("weights.peer_failed", peer=member.vm, error=exc.message)
        loop.feed(st.PeerLost(member.vm))


def _draw(loop, effect):
    scope = anyio.CancelScope()
    loop.draws[effect.transfer] = scope
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
    loop.draws.pop(effect.transfer, None)
    if event is not None:
        loop.feed(event)


def _drop(loop, effect):
    scope = loop.draws.pop(effect.transfer, None)
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
    loop.feed(st.UploadEnded(effect.conn, effect.request_id))


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


def _completed(loop, effect):
    logs.event("weights.verified", manifest=effect.manifest)
    loop.publish()


def _memory_refused(loop, effect):
    loop.refusals[effect.manifest] = effect.reason
    logs.event("weights.refused", manifest=effect.manifest, reason=effect.reason)


_ACTIONS = {
    st.Request: _request,
    st.Download: _draw,
    st.CancelTransfer: _drop,
    st.Announce: _announce,
    st.Send: _send,
    st.Refuse: _refuse,
    st.Completed: _completed,
    st.MemoryRefused: _memory_refused,
}


def asked(loop, conn, message):
    """Pass a peer's chunk request to the swarm."""
    peer_links.note(loop, conn)
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
    loop.feed(event)


def replied(loop, conn, message):
    """Pass a peer's answer to the swarm; only the VM that was asked may refuse."""
    transfer = loop.swarm.transfers.get(message.request_id)
    asked_there = transfer is not None and transfer.vm == conn.peer.vm
    if message.status == ttypes.ChunkStatus.OK:
        number = message.request_id if asked_there else 0
        loop.feed(st.ChunkReceived(number, message.digest or "", message.data or b""))
    elif asked_there:
        retry_s = (message.retry_after_ms or 0) / 1000
        reason = st.Refusal.BUSY
        if message.status != ttypes.ChunkStatus.BUSY:
            reason = st.Refusal.PENDING if retry_s else st.Refusal.ABSENT
        loop.feed(st.TransferFailed(message.request_id, reason, retry_s))


def heard(loop, conn, message):
    """Pass a peer's bitmap to the swarm."""
    peer_links.note(loop, conn)
    slots = loop.state.cfg.upload_slots
    free = message.free_slots if message.free_slots is not None else slots
    event = st.BitmapReceived(
        member_of(conn),
        message.manifest or "",
        int.from_bytes(message.bitmap or b"", "little"),
        max(0, slots - free),
        bool(message.asks),
    )
    loop.feed(event)
