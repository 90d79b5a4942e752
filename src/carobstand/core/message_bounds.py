"""Overhead limits of one HTTP message: bytes on the wire relative to its body.

Load pattern: a peer that sends endless protocol overhead, such as interim responses,
chunks of one byte or chunk extensions. A message is aborted when its bytes on the wire
exceed a linear function of its body size, and its parts are processed in turns with the
work of other connections.
"""

import attrs

MAX_OVERHEAD_BYTES = 131_072
"""Bytes of heads and framing that are allowed for any message."""

OVERHEAD_PER_BODY_BYTE = 4
"""Additional bytes on the wire that are allowed per byte of the body."""

MAX_INTERIM_RESPONSES = 16
"""Maximum number of interim (1xx) responses before the final one."""

MAX_PARTS = 4096
BODY_BYTES_PER_PART = 16
"""A message may have `MAX_PARTS` parts plus one per `BODY_BYTES_PER_PART` bytes of its
body. Each part costs about the same processing time, however small it is."""

PARTS_PER_TURN = 32
"""Parts processed from buffered bytes before control returns to the event loop."""


@attrs.define
class MessageCounters:
    """Byte and part counters of the message being received.

    Attributes
    ----------
    received, carried : int
        Bytes from the wire, and bytes of the body among them.
    parts : int
        Parts of the message so far.
    parts_in_turn : int
        Parts since control last returned to the event loop, across messages.
    """

    received: int = 0
    carried: int = 0
    parts: int = 0
    parts_in_turn: int = 0


def reset(counters):
    """Reset the counters for a new message."""
    counters.received = counters.carried = counters.parts = 0


def is_excessive(counters):
    """Whether a message exceeds the bytes or parts allowed for its body."""
    if counters.parts > MAX_PARTS + counters.carried / BODY_BYTES_PER_PART:
        return True
    allowed = MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * counters.carried
    return counters.received > allowed


def count_part(counters, size=0):
    """Count a part with `size` bytes of the body.

    Returns
    -------
    pause : bool
        Whether the caller should return control to the event loop.
    """
    counters.carried += size
    counters.parts += 1
    counters.parts_in_turn += 1
    if counters.parts_in_turn < PARTS_PER_TURN:
        return False
    counters.parts_in_turn = 0
    return True
