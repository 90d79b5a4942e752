"""Messages between the programs on the platform: thrift compact protocol.

A datagram holds one message. On a connection, a 4-byte big-endian length precedes each
message.
"""

import struct

from thrift import Thrift
from thrift.protocol import TCompactProtocol, TProtocol
from thrift.transport import TTransport

from carobstand import errors
from carobstand.wire import fleet_bounds
from carobstand.wire.gen_fleet import ttypes

LENGTH = struct.Struct(">I")
"""Length prefix of a frame."""

MAX_FRAME_BYTES = 2 * 1024 * 1024
"""Largest frame; holds a piece of weights and its envelope."""

MAX_ELEMENTS = 65_536
"""Longest list accepted."""

_FIELD_OF_TYPE = {
    spec[3][0]: spec[2] for spec in ttypes.Message.thrift_spec if spec is not None
}


def encode(message):
    """Return the bytes of a struct of the union ``Message``.

    Raises
    ------
    WireError
        If a value has another type or does not fit into its field.
    """
    buffer = TTransport.TMemoryBuffer()
    field = _FIELD_OF_TYPE[type(message)]
    union = ttypes.Message(**{field: message})
    try:
        union.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    except (TypeError, ValueError, OverflowError, struct.error) as exc:
        raise errors.WireError(
            f"{type(message).__name__} cannot be encoded: {exc}", step="fleet.encode"
        ) from exc
    return buffer.getvalue()


def encode_frame(message):
    """Return the bytes of a struct of the union ``Message`` with length prefix."""
    body = encode(message)
    return LENGTH.pack(len(body)) + body


def decode(body):
    """Return the message in `body`.

    Raises
    ------
    WireError
        If `body` is not one well-formed message, or a field is out of bounds.
    """
    union = ttypes.Message()
    protocol = TCompactProtocol.TCompactProtocolAccelerated(
        TTransport.TMemoryBuffer(body),
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=MAX_ELEMENTS,
    )
    try:
        union.read(protocol)
    except (
        TProtocol.TProtocolException,
        Thrift.TException,
        EOFError,
        TypeError,
        ValueError,
        OverflowError,
        MemoryError,
        RecursionError,
        struct.error,
        IndexError,
    ) as exc:
        raise errors.WireError(
            f"malformed message: {exc}", step="fleet.decode"
        ) from exc
    for field in _FIELD_OF_TYPE.values():
        message = getattr(union, field)
        if message is not None:
            fleet_bounds.check(message)
            return message
    raise errors.WireError("unknown message type", step="fleet.decode")
