"""Transfer of weights between processes: one request, then pieces as they come."""

import collections

import anyio
import anyio.abc
import attrs

from carobstand import errors, http1
from carobstand.core import deployment, weight_copy
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes

NEWEST = 0
"""Version in a request that asks for whatever is newest."""

MAX_REQUEST_BYTES = 16384
"""Largest request: names and a bitmap."""

ALIVE_S = 0.4
"""Interval in which a source that waits itself says that it is there."""

CONNECT_TIMEOUT_S = 0.5
"""Longest wait for a connection to another process."""


@attrs.frozen
class Window:
    """Blocks that are asked for at a time, and their size in bytes.

    Their product is what may wait at a narrow link, where it delays requests; it has to
    cover the delay between both ends for the link to be kept busy.
    """

    blocks: int
    block_bytes: int


@attrs.frozen
class Patience:
    """How long another process is waited for, in s.

    Parameters
    ----------
    silence_s : float
        Longest time without any message.
    stuck_s : float
        Longest time in which it says that it waits itself.
    """

    silence_s: float
    stuck_s: float


@attrs.define(eq=False)
class Frames:
    """Messages of a stream; `buffer` holds bytes of frames that are not complete."""

    stream: object
    peer: str
    buffer: bytearray = attrs.field(factory=bytearray)


async def connect(address):
    """Open a connection to ``host:port``; raise ConnectionClosedError."""
    host, port = deployment.split_address(address)
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as exc:
        raise errors.ConnectionClosedError(
            f"no connection: {exc or 'timeout'}", step="pieces.connect", peer=address
        ) from exc
    http1.protect(stream)
    return Frames(stream, address)


async def send(frames, message):
    """Send one message; raise ConnectionClosedError."""
    try:
        await frames.stream.send(fleet_codec.frame(message))
    except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
        raise errors.ConnectionClosedError(
            "connection ended", step="pieces.send", peer=frames.peer
        ) from exc


async def receive(frames, timeout_s, limit=fleet_codec.MAX_FRAME_BYTES):
    """Return the next message.

    Raises
    ------
    ConnectionClosedError
        If none comes in time or the connection ends.
    WireError
        If it is malformed.
    """
    size = fleet_codec.LENGTH.size
    try:
        with anyio.fail_after(timeout_s):
            await _fill(frames, size)
            (length,) = fleet_codec.LENGTH.unpack_from(frames.buffer)
            if length > limit:
                raise errors.WireError(
                    f"frame of {length} bytes", step="pieces.receive", peer=frames.peer
                )
            await _fill(frames, size + length)
    except TimeoutError as exc:
        raise errors.ConnectionClosedError(
            f"nothing within {timeout_s} s", step="pieces.receive", peer=frames.peer
        ) from exc
    body = bytes(frames.buffer[size : size + length])
    del frames.buffer[: size + length]
    return fleet_codec.decode(body)


async def _fill(frames, size):
    while len(frames.buffer) < size:
        try:
            frames.buffer += await frames.stream.receive(http1.READ_BYTES)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            OSError,
        ) as exc:
            raise errors.ConnectionClosedError(
                "connection ended", step="pieces.receive", peer=frames.peer
            ) from exc


async def receive_manifest(address, model, version, patience):
    """Return an empty `WeightCopy` from the process at `address`.

    Parameters
    ----------
    address : str
        ``host:port``.
    model : str
    version : int
        `NEWEST` for whatever is newest.
    patience : Patience

    Raises
    ------
    ConnectionClosedError, WireError
    StuckError
        If the other side waits for it itself.
    """
    frames = await connect(address)
    try:
        await send(frames, ttypes.ManifestRequest(model, version, True))
        return await _receive_manifest(frames, model, patience)
    finally:
        await anyio.aclose_forcefully(frames.stream)


async def receive_pieces(address, copy, on_piece, window, patience):
    """Receive the missing pieces of a copy from the process at `address`.

    Parameters
    ----------
    address : str
        ``host:port``.
    copy : core.weight_copy.WeightCopy
        Pieces are added to it.
    on_piece : callable of (number)
        Called after each piece that was added.
    window : Window
    patience : Patience

    Raises
    ------
    ConnectionClosedError, WireError
    StuckError
        If the other side is there but makes no progress.
    WeightsError
        If a piece does not match; the manifest of either side may be spoilt.
    """
    frames = await connect(address)
    try:
        await send(frames, ttypes.ManifestRequest(copy.model, copy.version, False))
        theirs = await _receive_manifest(frames, copy.model, patience)
        if theirs.digests != copy.digests:
            raise errors.WeightsError(
                "another manifest", step="pieces.receive", peer=frames.peer
            )
        await _receive_blocks(frames, copy, on_piece, window, patience)
    finally:
        await anyio.aclose_forcefully(frames.stream)


async def _receive_blocks(frames, copy, on_piece, window, patience):
    wanted = iter(_blocks(copy, window.block_bytes))
    expected = collections.deque()
    parts = []
    while True:
        while len(expected) < window.blocks:
            block = next(wanted, None)
            if block is None:
                break
            expected.append(block)
            await send(frames, block)
        if not expected:
            return
        block = expected.popleft()
        parts.append(await _receive_block(frames, block, patience))
        if block.offset + block.size < copy.piece_bytes:
            continue
        if not weight_copy.add(copy, block.number, b"".join(parts)):
            raise errors.WeightsError(
                f"piece {block.number} is spoilt",
                step="pieces.receive",
                peer=frames.peer,
            )
        parts.clear()
        on_piece(block.number)


async def _receive_block(frames, block, patience):
    """Return the bytes of a block, which may be long in coming."""
    reply = await _receive_at_last(frames, patience, ttypes.BlockReply, "data")
    if (reply.number, reply.offset) != (block.number, block.offset):
        raise errors.WireError("no block", step="pieces.receive", peer=frames.peer)
    return reply.data


def no_manifest_yet(cached):
    """Return the message that says that a manifest is still waited for."""
    return ttypes.ManifestReply(cached.model, cached.version, b"", 0)


def _blocks(copy, block_bytes):
    """Yield the requests for all missing pieces, piece by piece."""
    for number in weight_copy.missing(copy):
        for offset in range(0, copy.piece_bytes, block_bytes):
            size = min(block_bytes, copy.piece_bytes - offset)
            yield ttypes.BlockRequest(number, offset, size)


async def _receive_manifest(frames, model, patience):
    reply = await _receive_at_last(frames, patience, ttypes.ManifestReply, "digests")
    if reply.model != model:
        raise errors.WireError("no manifest", step="pieces.receive", peer=frames.peer)
    try:
        digests = weight_copy.split_digests(reply.digests)
    except ValueError as exc:
        raise errors.WireError(
            str(exc), step="pieces.receive", peer=frames.peer
        ) from exc
    return weight_copy.WeightCopy(
        reply.model, reply.version, digests, max(1, reply.piece_bytes)
    )


async def _receive_at_last(frames, patience, kind, content):
    """Return the first reply of a kind that has `content`.

    One without says that the other side is still waiting itself.
    """
    began = anyio.current_time()
    while True:
        reply = await receive(frames, patience.silence_s)
        if not isinstance(reply, kind):
            raise errors.WireError(
                f"no {kind.__name__}", step="pieces.receive", peer=frames.peer
            )
        if getattr(reply, content):
            return reply
        if anyio.current_time() - began > patience.stuck_s:
            raise errors.StuckError(
                f"nothing for {patience.stuck_s} s",
                step="pieces.receive",
                peer=frames.peer,
            )
