"""Validation of the hello, the first message of each side on a connection."""

from carobstand import errors
from carobstand.wire.gen import ttypes

PROTOCOL_VERSION = 1
"""Version of the messages; a peer with another version is refused."""


def refusal(message, address):
    """Return the HandshakeError for a peer that is refused or refuses this process."""
    return errors.HandshakeError(message, step="wire.handshake", peer=address)


def check(message, address):
    """Raise HandshakeError unless `message` is a complete hello of this version."""
    if isinstance(message, ttypes.Goodbye):
        raise refusal(f"refused by the peer: {message.reason}", address)
    if not isinstance(message, ttypes.Hello):
        kind = type(message).__name__
        raise refusal(f"expected Hello, got {kind}", address)
    if message.protocol != PROTOCOL_VERSION:
        raise refusal(
            f"protocol {message.protocol}, this process speaks {PROTOCOL_VERSION}",
            address,
        )
    if message.role not in ttypes.Role._VALUES_TO_NAMES:
        raise refusal(f"unknown role {message.role}", address)
    for name in ("vm", "start_id", "failure_domain", "region", "address"):
        if not getattr(message, name):
            raise refusal(f"hello without {name}", address)
