"""Fetching of manifests from peers or the origin."""

import anyio

from carobstand import errors, logs
from carobstand.agent import peer_links
from carobstand.core import manifest as manifests
from carobstand.core import rendezvous
from carobstand.wire import connection
from carobstand.wire.gen import ttypes

PART_BYTES = 1024 * 1024
"""Largest part of a manifest in one reply."""

MAX_MANIFEST_BYTES = 64 * 1024 * 1024
"""Largest manifest accepted from a peer: about a million chunks."""

FANOUT = 4
"""Children per VM in the tree along which a manifest spreads, ordered by rank."""

REPLY_TIMEOUT_S = 3.0
"""Longest wait for one part of a manifest."""

RETRY_S = 0.1
"""Base pause before a manifest is requested again; it grows up to tenfold."""

ORIGIN_DELAY_PER_RANK_S = 1.0
"""Delay per rank before a VM downloads from the origin itself."""

MAX_ORIGIN_DELAY_S = 10.0
"""Longest such delay, whatever the rank."""

ROSTER_TIMEOUT_S = 10.0
"""Time without a roster after which a VM fetches as the only member."""


def reply_to(found, message):
    """Return the reply with the requested part of a manifest; empty if not held."""
    content = manifests.encode(found) if found is not None else b""
    offset = min(max(0, message.offset or 0), len(content))
    return ttypes.ManifestReply(
        manifest=message.manifest,
        content=content[offset : offset + PART_BYTES],
        offset=offset,
        total=len(content),
    )


def rank_order(roster, digest):
    """Return the members of a roster in the order in which they fetch a manifest."""
    members = {member.vm: member for member in roster.members or ()}
    hashes = {vm: rendezvous.hash_of(vm) for vm in members}
    return [members[vm] for vm in rendezvous.ranked(hashes, rendezvous.hash_of(digest))]


async def fetch(loop, digest):
    """Fetch a manifest, retrying until it succeeds.

    The first member in rank downloads it from the origin. The others ask their parent
    in a tree, after failures also random members, and the origin after a delay that
    grows with their rank.

    Returns
    -------
    manifest : core.manifest.Manifest
    """
    state = loop.state
    started_at = anyio.current_time()
    failures = 0
    while True:
        roster = state.rosters.get(digest)
        elapsed_s = anyio.current_time() - started_at
        order = rank_order(roster, digest) if roster is not None else []
        names = [member.vm for member in order]
        rank = names.index(state.cfg.vm) if state.cfg.vm in names else len(names)
        origin_delay_s = min(rank * ORIGIN_DELAY_PER_RANK_S, MAX_ORIGIN_DELAY_S)
        if roster is None:
            origin_delay_s = ROSTER_TIMEOUT_S
        try:
            found = await _from_peer(loop, digest, order, rank, failures)
            if (
                found is None
                and elapsed_s >= origin_delay_s
                and state.origin is not None
            ):
                found = decode(digest, await state.origin.manifest(digest))
            if found is not None:
                return found
        except errors.CarobstandError as exc:
            logs.event(
                "weights.manifest_failed",
                manifest=digest,
                error=exc.message,
                step=exc.step,
                peer=exc.peer,
            )
        failures += 1
        pause = RETRY_S * min(10, 1 + failures / 4)
        await anyio.sleep(pause * loop.rng.uniform(0.7, 1.3))


def decode(digest, data):
    """Verify the digest of an encoded manifest and return the manifest."""
    if manifests.digest_of(data) != digest:
        raise errors.WeightsError(
            f"manifest {digest[:12]} failed verification", step="weights.manifest"
        )
    return manifests.decode(data)


async def _from_peer(loop, digest, order, rank, failures):
    """Fetch from the parent, or from others after failures; None if not held there."""
    others = [member for member in order if member.vm != loop.state.cfg.vm]
    if not others or (rank == 0 and failures == 0):
        return None
    member = order[(rank - 1) // FANOUT] if 0 < rank < len(order) else others[0]
    if failures % 4 == 3 or member.vm == loop.state.cfg.vm:
        member = loop.rng.choice(others)
    parts = []
    total = None
    while total is None or sum(map(len, parts)) < total:
        reply = await _request_part(loop, member, digest, sum(map(len, parts)))
        total = reply.total if reply.total is not None else len(reply.content or b"")
        if not reply.content:
            return None
        if total > MAX_MANIFEST_BYTES:
            raise errors.WeightsError(
                f"manifest of {total} bytes exceeds {MAX_MANIFEST_BYTES}",
                step="weights.manifest",
                peer=member.address,
            )
        parts.append(reply.content)
    return decode(digest, b"".join(parts))


async def _request_part(loop, member, digest, offset):
    """Request one part of a manifest from a peer and return the reply."""
    conn = await peer_links.connect(loop, member)
    key = (conn, digest, offset)
    pending_reply = loop.manifest_replies[key] = [anyio.Event(), None]
    request = ttypes.ManifestRequest(manifest=digest, offset=offset)
    try:
        connection.post(conn, request)
        with anyio.move_on_after(REPLY_TIMEOUT_S):
            await pending_reply[0].wait()
    finally:
        loop.manifest_replies.pop(key, None)
    if pending_reply[1] is None:
        raise errors.ConnectionClosedError(
            "no manifest reply", step="weights.manifest", peer=member.address
        )
    return pending_reply[1]


def deliver_reply(loop, conn, message):
    """Pass a reply to the request that waits for it, if any."""
    pending_reply = loop.manifest_replies.get(
        (conn, message.manifest, message.offset or 0)
    )
    if pending_reply is not None:
        pending_reply[1] = message
        pending_reply[0].set()
