"""Swarm loop: fetches, verifies and serves the weights that the plan assigns."""

import random

import anyio
import attrs

from carobstand import errors, logs
from carobstand.core import chunks
from carobstand.core import manifest as manifests
from carobstand.wire import connection, handlers
from carobstand.wire.gen import ttypes

REPLY_TIMEOUT_S = 10.0
"""Longest wait for a peer's reply."""

WORKERS = 4
"""Chunks in transfer at once."""

RETRY_S = 0.2
"""Pause after a round in which something failed."""


@attrs.define(eq=False)
class Loop:
    """Requests in progress of one agent's swarm loop."""

    state: object
    replies: dict = attrs.field(factory=dict)
    next_id: int = 0
    origin_bytes: dict = attrs.field(factory=dict)


def part(state):
    """Return the loop that fetches weights and serves chunks to peers."""
    if state.chunks is None:
        state.chunks = chunks.ChunkCache(state.cfg.weights_memory_bytes)
    loop = Loop(state)

    async def on_manifest_request(conn, message):
        found = state.manifests.get(message.manifest)
        content = manifests.encode(found) if found is not None else b""
        reply = ttypes.ManifestReply(manifest=message.manifest, content=content)
        await connection.send(conn, reply)

    async def on_chunk_request(conn, message):
        data = chunks.get(state.chunks, message.digest)
        status = ttypes.ChunkStatus.OK if data else ttypes.ChunkStatus.ABSENT
        reply = ttypes.ChunkReply(
            request_id=message.request_id,
            digest=message.digest,
            status=status,
            data=data or b"",
            retry_after_ms=200,
        )
        await connection.send(conn, reply)

    async def on_manifest_reply(conn, message):
        _resolve(loop, ("manifest", message.manifest), message)

    async def on_chunk_reply(conn, message):
        _resolve(loop, ("chunk", message.request_id), message)

    async def on_holdings(conn, message):
        del conn, message

    async def run():
        while True:
            done = await _fetch_all(loop)
            await state.changed.wait(RETRY_S if not done else 1.0)

    return handlers.Part(
        handlers={
            ttypes.ManifestRequest: on_manifest_request,
            ttypes.ManifestReply: on_manifest_reply,
            ttypes.ChunkRequest: on_chunk_request,
            ttypes.ChunkReply: on_chunk_reply,
            ttypes.Holdings: on_holdings,
        },
        run=run,
    )


def wanted_versions(state):
    """Return the version rows to hold: those assigned, and the bases of adapters."""
    if state.table is None:
        return ()
    rows = {}
    for row in state.table.rows:
        if type(row).__name__ == "VersionRow":
            rows[row.service, row.name] = row
    found = {}
    for service, assignment in state.assignments.items():
        for name in (*(assignment.fetch or ()), *(assignment.serve or ())):
            for key in ((service, name), (service, _base(rows, service, name))):
                if key in rows:
                    found[key] = rows[key]
    return tuple(found.values())


def _base(rows, service, name):
    row = rows.get((service, name))
    return row.base if row is not None else ""


def _resolve(loop, key, message):
    waiter = loop.replies.pop(key, None)
    if waiter is not None:
        waiter["reply"] = message
        waiter["event"].set()


async def _call(loop, member, key, request):
    """Send a request to a peer and return its reply."""
    waiter = {"event": anyio.Event(), "reply": None}
    loop.replies[key] = waiter
    try:
        conn = await loop.state.dial_peer(member.address)
        await connection.send(conn, request)
        with anyio.move_on_after(REPLY_TIMEOUT_S):
            await waiter["event"].wait()
    finally:
        loop.replies.pop(key, None)
    if waiter["reply"] is None:
        raise errors.ConnectionClosedError(
            "no reply", step="weights.call", peer=member.address
        )
    return waiter["reply"]


async def _fetch_all(loop):
    """Fetch what is missing of every wanted version; return whether all is held."""
    state = loop.state
    rows = wanted_versions(state)
    keep = {row.manifest for row in rows}
    for digest in [key for key in state.chunks.retained if key not in keep]:
        chunks.release(state.chunks, digest)
    for key in [key for key, held in state.replicas.items() if _is_stale(held, keep)]:
        del state.replicas[key]
    done = True
    for row in rows:
        try:
            await _fetch_version(loop, row)
        except errors.CarobstandError as exc:
            done = False
            refused = isinstance(exc, errors.MemoryLimitError)
            phases = ttypes.ReplicaPhase
            phase = phases.REFUSED if refused else phases.FETCHING
            _publish(loop, row, phase, exc.message)
            logs.event(
                "weights.failed",
                version=row.name,
                manifest=row.manifest,
                error=exc.message,
                step=exc.step,
                peer=exc.peer,
            )
    return done


def _is_stale(replica, keep):
    served = (ttypes.ReplicaPhase.SERVING, ttypes.ReplicaPhase.LOADING)
    return replica.manifest not in keep and replica.phase not in served


async def _fetch_version(loop, row):
    state = loop.state
    digest = row.manifest
    if digest not in state.manifests:
        state.manifests[digest] = await _fetch_manifest(loop, digest)
        logs.event("weights.manifest", version=row.name, manifest=digest)
    found = state.manifests[digest]
    chunks.retain(state.chunks, digest, found)
    missing = chunks.missing(state.chunks, manifests.chunk_digests(found))
    random.Random(state.start_id).shuffle(missing)
    failed = []

    async def worker():
        while missing and any(r.manifest == digest for r in wanted_versions(state)):
            key = missing.pop()
            try:
                await _fetch_chunk(loop, digest, key)
            except errors.CarobstandError as exc:
                failed.append(exc)
                return
            _publish(loop, row, ttypes.ReplicaPhase.FETCHING, "")

    async with anyio.create_task_group() as tg:
        for _ in range(WORKERS):
            tg.start_soon(worker)
    if failed:
        raise failed[0]
    if chunks.is_complete(state.chunks, digest):
        _publish(loop, row, ttypes.ReplicaPhase.VERIFIED, "")


def _members(loop, digest):
    """Return the other members that want or hold a manifest, in random order."""
    roster = loop.state.rosters.get(digest)
    members = [
        member
        for member in (roster.members if roster is not None else ())
        if member.vm != loop.state.cfg.vm
    ]
    random.shuffle(members)
    return members


async def _fetch_manifest(loop, digest):
    request = ttypes.ManifestRequest(manifest=digest)
    for member in _members(loop, digest):
        try:
            reply = await _call(loop, member, ("manifest", digest), request)
            if manifests.digest_of(reply.content or b"") == digest:
                return manifests.decode(reply.content)
        except errors.CarobstandError as exc:
            logs.event("weights.peer_failed", error=exc.message, peer=member.address)
    data = await loop.state.origin.manifest(digest)
    if manifests.digest_of(data) != digest:
        raise errors.WeightsError(
            f"manifest {digest[:12]} failed verification", step="weights.manifest"
        )
    return manifests.decode(data)


async def _fetch_chunk(loop, digest, key):
    cache = loop.state.chunks
    for member in _members(loop, digest):
        loop.next_id += 1
        request = ttypes.ChunkRequest(request_id=loop.next_id, digest=key)
        try:
            reply = await _call(loop, member, ("chunk", loop.next_id), request)
            if reply.status == ttypes.ChunkStatus.OK:
                chunks.put(cache, key, reply.data or b"")
                return
        except errors.CarobstandError as exc:
            logs.event("weights.peer_failed", error=exc.message, peer=member.address)
    data = await loop.state.origin.chunk(key)
    loop.origin_bytes[digest] = loop.origin_bytes.get(digest, 0) + len(data)
    chunks.put(cache, key, data)


def _publish(loop, row, phase, detail):
    """Write the phases FETCHING, VERIFIED and REFUSED to `state.replicas`."""
    state = loop.state
    key = (row.service, row.name)
    old = state.replicas.get(key)
    found = state.manifests.get(row.manifest)
    beyond = (ttypes.ReplicaPhase.LOADING, ttypes.ReplicaPhase.SERVING)
    if old is not None and old.manifest == row.manifest and old.phase in beyond:
        phase, detail = old.phase, old.detail
    replica = ttypes.Replica(
        service_name=row.service,
        version=row.name,
        manifest=row.manifest,
        phase=phase,
        bytes_verified=chunks.bytes_held(state.chunks, row.manifest),
        bytes_total=manifests.total_bytes(found) if found is not None else 0,
        detail=detail,
        origin_bytes=loop.origin_bytes.get(row.manifest, 0),
    )
    state.replicas[key] = replica
    if old != replica:
        state.changed.notify()
