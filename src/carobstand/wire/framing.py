"""Frames in a byte stream: a 4-byte big-endian length, then the body."""

import attrs

from carobstand import errors
from carobstand.wire import codec

MAX_HELLO_BYTES = 64 * 1024
"""Largest first frame; bounds the memory used for a peer that is not yet identified."""

TLS_RECORD = b"\x16\x03"
"""Start of a TLS handshake record."""


@attrs.define
class Buffer:
    """Bytes read from a stream and not yet removed as frames."""

    data: bytearray = attrs.field(factory=bytearray)


def add(buffer, data):
    """Append bytes read from the stream."""
    buffer.data += data


def take(buffer, peer, limit=codec.MAX_FRAME_BYTES):
    """Remove and return the body of the first frame, or None if it is incomplete.

    Parameters
    ----------
    buffer : Buffer
    peer : str
        Address of the sender, for errors.
    limit : int
        Largest body, in bytes.

    Returns
    -------
    body : bytes or None

    Raises
    ------
    WireError
        If the frame is larger than `limit`.
    """
    data = buffer.data
    size = codec.LENGTH.size
    if len(data) < size:
        return None
    (length,) = codec.LENGTH.unpack_from(data)
    if length > limit:
        problem = f"frame of {length} bytes exceeds {limit}"
        if data.startswith(TLS_RECORD):
            problem = "peer uses TLS, this process runs with --insecure"
        raise errors.WireError(problem, step="wire.read", peer=peer)
    end = size + length
    if len(data) < end:
        return None
    body = bytes(memoryview(data)[size:end])
    del data[:end]
    return body


def join(queue, limit):
    """Remove frames from the left of `queue` and return them as one byte string.

    Parameters
    ----------
    queue : collections.deque of bytes
    limit : int
        Largest size of the result, in bytes, unless the first frame alone is larger.

    Returns
    -------
    data : bytes
    """
    frames = []
    size = 0
    while queue and (not frames or size + len(queue[0]) <= limit):
        frames.append(queue.popleft())
        size += len(frames[-1])
    return frames[0] if len(frames) == 1 else b"".join(frames)
