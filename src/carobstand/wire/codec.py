"""Encoding of messages between processes: thrift compact protocol."""

import struct

from thrift import Thrift, TSerialization
from thrift.protocol import TCompactProtocol, TProtocol

from carobstand import errors
from carobstand.wire.gen import ttypes

MAX_FRAME_BYTES = 2 * 1024 * 1024
"""Largest frame sent or accepted; a chunk of 1 MiB and its envelope fit."""

LENGTH = struct.Struct(">I")
"""Length prefix of a frame."""

_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory()
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
    body = TSerialization.serialize(envelope, protocol_factory=_FACTORY)
    if len(body) > MAX_FRAME_BYTES:
        raise errors.WireError(
            f"frame of {len(body)} bytes exceeds {MAX_FRAME_BYTES}", step="wire.encode"
        )
    return LENGTH.pack(len(body)) + body


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
        TSerialization.deserialize(envelope, body, protocol_factory=_FACTORY)
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
    if envelope.message is None or envelope.hlc is None:
        raise errors.WireError("frame without message", step="wire.decode")
    for field in _FIELD_OF_TYPE.values():
        message = getattr(envelope.message, field)
        if message is not None:
            return message, envelope.hlc
    raise errors.WireError("unknown message type", step="wire.decode")
