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


async def receive_manifest(address, model, version, timeout_s):
    """Return an empty `WeightCopy` from the process at `address`.

    Parameters
    ----------
    address : str
        ``host:port``.
    model : str
    version : int
        `NEWEST` for whatever is newest.
    timeout_s : float

    Raises
    ------
    ConnectionClosedError, WireError
    """
    frames = await connect(address)
    try:
        await send(frames, ttypes.ManifestRequest(model, version, True))
        return await _receive_manifest(frames, model, timeout_s)
    finally:
        await anyio.aclose_forcefully(frames.stream)


async def receive_pieces(address, copy, on_piece, stall_s, window):
    """Receive the missing pieces of a copy from the process at `address`.

    Parameters
    ----------
    address : str
        ``host:port``.
    copy : core.weight_copy.WeightCopy
        Pieces are added to it.
    on_piece : callable of (number)
        Called after each piece that was added.
    stall_s : float
        Longest wait for the next block.
    window : Window

    Raises
    ------
    ConnectionClosedError, WireError
    WeightsError
        If a piece does not match; the manifest of either side may be spoilt.
    """
    frames = await connect(address)
    try:
        await send(frames, ttypes.ManifestRequest(copy.model, copy.version, False))
        theirs = await _receive_manifest(frames, copy.model, stall_s)
        if theirs.digests != copy.digests:
            raise errors.WeightsError(
                "another manifest", step="pieces.receive", peer=frames.peer
            )
        await _receive_blocks(frames, copy, on_piece, stall_s, window)
    finally:
        await anyio.aclose_forcefully(frames.stream)


async def _receive_blocks(frames, copy, on_piece, stall_s, window):
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
        reply = await receive(frames, stall_s)
        if not isinstance(reply, ttypes.BlockReply) or (
            (reply.number, reply.offset) != (block.number, block.offset)
        ):
            raise errors.WireError("no block", step="pieces.receive", peer=frames.peer)
        parts.append(reply.data)
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


def _blocks(copy, block_bytes):
    """Yield the requests for all missing pieces, piece by piece."""
    for number in weight_copy.missing(copy):
        for offset in range(0, copy.piece_bytes, block_bytes):
            size = min(block_bytes, copy.piece_bytes - offset)
            yield ttypes.BlockRequest(number, offset, size)


async def _receive_manifest(frames, model, timeout_s):
    reply = await receive(frames, timeout_s)
    if not isinstance(reply, ttypes.ManifestReply) or reply.model != model:
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
