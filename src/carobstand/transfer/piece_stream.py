"""Transfer of weights between processes: a manifest, then blocks of its pieces.

A source that does not have the data yet sends empty replies until it does.
"""

import collections

import anyio
import anyio.abc
import attrs

from carobstand import errors, http1
from carobstand.core import deployment, weight_copy
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes

NEWEST = 0
"""Version in a request for the newest version."""

MAX_REQUEST_BYTES = 16384
"""Largest request accepted; a request holds a model name and a few numbers."""

KEEPALIVE_INTERVAL_S = 0.4
"""Interval of the empty replies of a source that still waits for the data itself."""

CONNECT_TIMEOUT_S = 0.5
"""Timeout of connecting to another process."""


@attrs.frozen
class Window:
    """Number of blocks requested at a time, and their size in bytes.

    Their product is the data that may queue at a narrow link, where it delays requests;
    it must cover the delay between both ends to keep the link busy.
    """

    blocks: int
    block_bytes: int


@attrs.frozen
class Timeouts:
    """Timeouts of a transfer from another process, in s.

    Parameters
    ----------
    silence_s : float
        Longest time without any message.
    stuck_s : float
        Longest time in which the source only sends empty replies.
    """

    silence_s: float
    stuck_s: float


@attrs.define(eq=False)
class Frames:
    """Framed messages on a stream; `buffer` holds the bytes of incomplete frames."""

    stream: object
    peer: str
    buffer: bytearray = attrs.field(factory=bytearray)


async def connect(address):
    """Open a connection to ``host:port``; raise UnresponsiveError."""
    host, port = deployment.split_address(address)
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as exc:
        raise errors.UnresponsiveError(
            f"no connection: {exc or 'timeout'}", step="pieces.connect", peer=address
        ) from exc
    http1.set_tcp_timeouts(stream)
    return Frames(stream, address)


async def send(frames, message):
    """Send one message; raise ConnectionClosedError."""
    try:
        await frames.stream.send(fleet_codec.encode_frame(message))
    except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as exc:
        raise errors.ConnectionClosedError(
            "connection ended", step="pieces.send", peer=frames.peer
        ) from exc


async def receive(frames, timeout_s, limit=fleet_codec.MAX_FRAME_BYTES):
    """Return the next message.

    Raises
    ------
    UnresponsiveError
        If none arrives in time.
    ConnectionClosedError
        If the connection ends.
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
        raise errors.UnresponsiveError(
            f"no message within {timeout_s} s", step="pieces.receive", peer=frames.peer
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


async def receive_manifest(address, model, version, timeouts):
    """Return an empty `WeightCopy` from the process at `address`.

    Parameters
    ----------
    address : str
        ``host:port``.
    model : str
    version : int
        `NEWEST` for the newest one.
    timeouts : Timeouts

    Raises
    ------
    ConnectionClosedError, WireError
    StalledError
        If the source is still waiting for the manifest itself.
    """
    copy, _ = await receive_offer(address, model, version, timeouts)
    return copy


async def receive_offer(address, model, version, timeouts):
    """Return an empty `WeightCopy`, and the numbers of the pieces at the source.

    Parameters and exceptions are those of `receive_manifest`.
    """
    frames = await connect(address)
    try:
        await send(frames, ttypes.ManifestRequest(model, version, True))
        return await _receive_manifest(frames, model, timeouts)
    finally:
        await anyio.aclose_forcefully(frames.stream)


async def receive_pieces(
    address, copy, on_piece, window, timeouts, demand=None, is_spare=False
):
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
    timeouts : Timeouts
    demand : entry.weight_cache.CachedVersion or None
        Tells what other processes request here, None if this one itself needs all
        pieces. The source sends first what is needed.
    is_spare : bool
        Whether the version is received only because the link would be idle.

    Raises
    ------
    ConnectionClosedError, WireError
    StalledError
        If the source responds but is still waiting for the data itself.
    WeightsError
        If a piece does not match its digest or the manifests differ; the manifest of
        either side may be corrupt.
    """

    def choose(held):
        wanted = demand.wanted if demand else weight_copy.NO_REQUESTS
        for number in weight_copy.in_demand_order(copy, wanted, held):
            is_ahead = bool(demand) and number not in wanted
            yield number, is_ahead, is_spare or bool(demand)

    await receive_chosen(address, copy, choose, on_piece, window, timeouts)


async def receive_chosen(address, copy, choose, on_piece, window, timeouts):
    """Receive pieces of a copy from the process at `address`.

    Parameters
    ----------
    choose : callable of (frozenset of int)
        Returns an iterator over the numbers of the pieces to receive, given those that
        the source holds; each with whether no agent waits for it, and whether it is
        no evidence that agents receive the version.
    address, copy, on_piece, window, timeouts
        Those of `receive_pieces`, which raises the same exceptions.
    """
    frames = await connect(address)
    try:
        await send(frames, ttypes.ManifestRequest(copy.model, copy.version, False))
        offered, held = await _receive_manifest(frames, copy.model, timeouts)
        if offered.digests != copy.digests:
            raise errors.WeightsError(
                "the manifest of the source differs",
                step="pieces.receive",
                peer=frames.peer,
            )
        numbers = choose(held)
        await _receive_blocks(frames, copy, numbers, on_piece, window, timeouts)
    finally:
        await anyio.aclose_forcefully(frames.stream)


async def _receive_blocks(frames, copy, numbers, on_piece, window, timeouts):
    wanted = _blocks(copy, numbers, window.block_bytes)
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
        parts.append(await _receive_block(frames, block, timeouts))
        if block.offset + block.size < copy.piece_bytes:
            continue
        if not weight_copy.add(copy, block.number, b"".join(parts)):
            raise errors.WeightsError(
                f"piece {block.number} is corrupt",
                step="pieces.receive",
                peer=frames.peer,
            )
        parts.clear()
        on_piece(block.number)


async def _receive_block(frames, block, timeouts):
    """Return the bytes of a block, for which the source itself may have to wait."""
    reply = await _receive_content(frames, timeouts, ttypes.BlockReply, "data")
    if (reply.number, reply.offset) != (block.number, block.offset):
        raise errors.WireError(
            f"reply for block {reply.number}:{reply.offset} instead of "
            f"{block.number}:{block.offset}",
            step="pieces.receive",
            peer=frames.peer,
        )
    return reply.data


def _blocks(copy, numbers, block_bytes):
    """Yield the block requests for pieces, one piece after the other."""
    for number, is_ahead, is_spare in numbers:
        for offset in range(0, copy.piece_bytes, block_bytes):
            size = min(block_bytes, copy.piece_bytes - offset)
            yield ttypes.BlockRequest(
                number, offset, size, is_ahead or None, is_spare or None
            )


async def _receive_manifest(frames, model, timeouts):
    reply = await _receive_content(frames, timeouts, ttypes.ManifestReply, "digests")
    if reply.model != model:
        raise errors.WireError(
            f"manifest of {reply.model!r} instead of {model!r}",
            step="pieces.receive",
            peer=frames.peer,
        )
    try:
        digests = weight_copy.split_digests(reply.digests)
    except ValueError as exc:
        raise errors.WireError(
            str(exc), step="pieces.receive", peer=frames.peer
        ) from exc
    copy = weight_copy.WeightCopy(
        reply.model, reply.version, digests, max(1, reply.piece_bytes)
    )
    return copy, decode_numbers(reply.held or b"", len(digests))


def encode_numbers(numbers):
    """Return a bitmap of piece numbers: bit n % 8 of byte n / 8."""
    bitmap = bytearray(max(numbers, default=-1) // 8 + 1)
    for number in numbers:
        bitmap[number // 8] |= 1 << number % 8
    return bytes(bitmap)


def decode_numbers(bitmap, pieces):
    """Return the piece numbers below `pieces` whose bit is set."""
    bits = range(min(pieces, 8 * len(bitmap)))
    return frozenset(n for n in bits if bitmap[n // 8] >> n % 8 & 1)


async def _receive_content(frames, timeouts, kind, content):
    """Return the first reply whose field `content` is not empty.

    Empty replies mean that the source itself is still waiting for the data.
    """
    started_at = anyio.current_time()
    while True:
        reply = await receive(frames, timeouts.silence_s)
        if not isinstance(reply, kind):
            raise errors.WireError(
                f"expected {kind.__name__}, got {type(reply).__name__}",
                step="pieces.receive",
                peer=frames.peer,
            )
        if getattr(reply, content):
            return reply
        if anyio.current_time() - started_at > timeouts.stuck_s:
            raise errors.StalledError(
                f"only empty replies for {timeouts.stuck_s} s",
                step="pieces.receive",
                peer=frames.peer,
            )
