"""Fetching of manifests from peers or the origin."""

import anyio

from carobstand import errors, logs
from carobstand.agent import peer_links
from carobstand.core import manifest as manifests
from carobstand.core import rendezvous
from carobstand.wire import connection
from carobstand.wire.gen import ttypes

PART_BYTES = 1024 * 1024
"""Part of a manifest sent in one frame."""

MAX_MANIFEST_BYTES = 64 * 1024 * 1024
"""Largest manifest accepted from a peer: about a million chunks."""

FANOUT = 4
"""VMs that ask one VM for a manifest first, in order of their rank."""

REPLY_TIMEOUT_S = 3.0
"""Longest wait for one part."""

RETRY_S = 0.1
"""Pause before a manifest is asked for again."""

ORIGIN_AFTER_S = 1.0
"""Time per rank after which a VM asks the origin itself."""

LONGEST_ORIGIN_WAIT_S = 10.0

NO_ROSTER_S = 10.0
"""Time without a roster after which a VM fetches as if it were alone."""


def reply_to(found, message):
    """Return the part of a manifest that a request asks for."""
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
    by_vm = {member.vm: member for member in roster.members or ()}
    hashes = {vm: rendezvous.hash_of(vm) for vm in by_vm}
    return [by_vm[vm] for vm in rendezvous.ranked(hashes, rendezvous.hash_of(digest))]


async def fetch(loop, digest):
    """Fetch a manifest until it is there; the first in rank asks the origin.

    The others ask the VM above them in a tree, later any member, and after a time that
    grows with their rank the origin.

    Returns
    -------
    manifest : core.manifest.Manifest
    """
    state = loop.state
    started = anyio.current_time()
    failures = 0
    while True:
        roster = state.rosters.get(digest)
        waited = anyio.current_time() - started
        order = rank_order(roster, digest) if roster is not None else []
        names = [member.vm for member in order]
        rank = names.index(state.cfg.vm) if state.cfg.vm in names else len(names)
        after = min(rank * ORIGIN_AFTER_S, LONGEST_ORIGIN_WAIT_S)
        if roster is None:
            after = NO_ROSTER_S
        try:
            found = await _from_peer(loop, digest, order, rank, failures)
            if found is None and waited >= after and state.origin is not None:
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
    """Return a manifest after its digest was checked."""
    if manifests.digest_of(data) != digest:
        raise errors.WeightsError(
            f"manifest {digest[:12]} failed verification", step="weights.manifest"
        )
    return manifests.decode(data)


async def _from_peer(loop, digest, order, rank, failures):
    """Ask the VM above this one, or after failures another one; None if not held."""
    others = [member for member in order if member.vm != loop.state.cfg.vm]
    if not others or (rank == 0 and failures == 0):
        return None
    member = order[(rank - 1) // FANOUT] if 0 < rank < len(order) else others[0]
    if failures % 4 == 3 or member.vm == loop.state.cfg.vm:
        member = loop.rng.choice(others)
    parts = []
    total = None
    while total is None or sum(map(len, parts)) < total:
        reply = await _ask(loop, member, digest, sum(map(len, parts)))
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


async def _ask(loop, member, digest, offset):
    """Request one part of a manifest from a peer and return the reply."""
    conn = await peer_links.connect(loop, member)
    key = (conn, digest, offset)
    waiting = loop.manifest_replies[key] = [anyio.Event(), None]
    request = ttypes.ManifestRequest(manifest=digest, offset=offset)
    try:
        connection.post(conn, request)
        with anyio.move_on_after(REPLY_TIMEOUT_S):
            await waiting[0].wait()
    finally:
        loop.manifest_replies.pop(key, None)
    if waiting[1] is None:
        raise errors.ConnectionClosedError(
            "no manifest reply", step="weights.manifest", peer=member.address
        )
    return waiting[1]


def replied(loop, conn, message):
    """Hand a reply to the request that waits for it."""
    waiting = loop.manifest_replies.get((conn, message.manifest, message.offset or 0))
    if waiting is not None:
        waiting[1] = message
        waiting[0].set()
