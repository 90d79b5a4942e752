"""Encoding of messages between processes: thrift compact protocol."""

import struct

from thrift import Thrift
from thrift.protocol import TCompactProtocol, TProtocol
from thrift.transport import TTransport

from carobstand import errors
from carobstand.wire.gen import ttypes

MAX_FRAME_BYTES = 2 * 1024 * 1024
"""Largest frame sent or accepted; holds a chunk of 1 MiB and its envelope."""

LENGTH = struct.Struct(">I")
"""Length prefix of a frame."""

MAX_ELEMENTS = 65_536
"""Largest list or map accepted. Empty structs take one byte in a frame and more than
150 in memory; the largest list sent is a roster of 11,000 members."""

C_ENCODER_MAX_BYTES = 16 * 1024
"""Size of chunk data above which thrift's Python encoder is used: the C encoder appends
byte by byte and takes 2 ms for 1 MiB, the Python one copies the data at once."""


class _WriteBuffer(TTransport.TTransportBase):
    """Transport that collects the output of an encoder."""

    def __init__(self):
        self.parts = []

    def write(self, data):
        """Append `data` to the parts."""
        self.parts.append(data)


# All frames share one encoder and one decoder: creating them takes longer than encoding
# a small frame.
_WRITE_BUFFER = _WriteBuffer()
_ENCODER = TCompactProtocol.TCompactProtocolAccelerated(_WRITE_BUFFER, fallback=False)
_DECODER = TCompactProtocol.TCompactProtocolAccelerated(
    TTransport.TMemoryBuffer(),
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_ELEMENTS,
    fallback=False,
)
_FIELD_OF_TYPE = {
    spec[3][0]: spec[2] for spec in ttypes.Message.thrift_spec if spec is not None
}


def encode(message, stamp):
    """Return `message` as one frame with its length prefix.

    Parameters
    ----------
    message : a struct of the union ``Message``
    stamp : int
        Hybrid logical clock of the sender.

    Returns
    -------
    frame : bytes

    Raises
    ------
    WireError
        If the frame is larger than `MAX_FRAME_BYTES`.
    """
    field = _FIELD_OF_TYPE[type(message)]
    envelope = ttypes.Envelope(hlc=stamp, message=ttypes.Message(**{field: message}))
    large = field == "chunk_reply" and len(message.data or b"") > C_ENCODER_MAX_BYTES
    _WRITE_BUFFER.parts = parts = [b""]
    envelope.write(
        TCompactProtocol.TCompactProtocol(_WRITE_BUFFER) if large else _ENCODER
    )
    length = sum(map(len, parts))
    if length > MAX_FRAME_BYTES:
        raise errors.WireError(
            f"frame of {length} bytes exceeds {MAX_FRAME_BYTES}", step="wire.encode"
        )
    parts[0] = LENGTH.pack(length)
    return b"".join(parts)


def decode(body):
    """Return the message and clock stamp of a frame without its length prefix.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    message : struct
    stamp : int

    Raises
    ------
    WireError
        If `body` is not one well-formed envelope.
    """
    envelope = ttypes.Envelope()
    try:
        _DECODER.trans = TTransport.TMemoryBuffer(body)
        envelope.read(_DECODER)
    except (
        TProtocol.TProtocolException,
        Thrift.TException,
        EOFError,
        TypeError,
        ValueError,
        OverflowError,
        MemoryError,
        RecursionError,
    ) as exc:
        raise errors.WireError(f"malformed frame: {exc}", step="wire.decode") from exc
    if _DECODER.trans.cstringio_buf.tell() != len(body):
        raise errors.WireError("bytes after the message", step="wire.decode")
    if envelope.message is None or envelope.hlc is None:
        raise errors.WireError("frame without message", step="wire.decode")
    for field in _FIELD_OF_TYPE.values():
        message = getattr(envelope.message, field)
        if message is not None:
            return message, envelope.hlc
    raise errors.WireError("unknown message type", step="wire.decode")
