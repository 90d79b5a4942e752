"""Bounds of one HTTP message: bytes on the wire against bytes that it carries.

Load pattern: a peer that sends bytes without end that are no message, such as interim
responses, chunks of one byte or extensions of chunks. Each message is given up after a
number of bytes that is linear in what it carries, and its parts are taken in turns with
the work of other connections.
"""

import attrs

MAX_OVERHEAD_BYTES = 131_072
"""Bytes of heads and framing that any message may have."""

OVERHEAD_RATIO = 4
"""Bytes on the wire for each byte carried, beside those."""

MAX_INTERIM = 16
"""Interim responses before the final one."""

MAX_PARTS = 4096
PART_BYTES = 16
"""Parts that a message may have, beside one for each so many bytes carried: each part
costs about the same work, however small it is."""

TURN_PARTS = 32
"""Parts of messages that are taken from bytes at hand without a pause."""


@attrs.define
class Traffic:
    """Bytes of the message that is received.

    Attributes
    ----------
    received, carried : int
        Bytes from the wire, and those of the body among them.
    parts : int
        Parts of the message.
    since_pause : int
        Parts taken since the last pause.
    """

    received: int = 0
    carried: int = 0
    parts: int = 0
    since_pause: int = 0


def begin(traffic):
    """Begin to count another message."""
    traffic.received = traffic.carried = traffic.parts = 0


def is_excessive(traffic):
    """Whether a message has far more bytes or parts than it carries."""
    if traffic.parts > MAX_PARTS + traffic.carried / PART_BYTES:
        return True
    allowed = MAX_OVERHEAD_BYTES + OVERHEAD_RATIO * traffic.carried
    return traffic.received > allowed


def take_part(traffic, size=0):
    """Count a part with `size` bytes of a body; return whether a pause is due."""
    traffic.carried += size
    traffic.parts += 1
    traffic.since_pause += 1
    if traffic.since_pause < TURN_PARTS:
        return False
    traffic.since_pause = 0
    return True
