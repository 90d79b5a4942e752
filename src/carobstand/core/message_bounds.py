"""Overhead limits of one HTTP message: bytes on the wire relative to its body.

Load pattern: a peer that sends endless protocol overhead, such as interim responses,
chunks of one byte or chunk extensions. A message is aborted when its bytes on the wire
exceed a linear function of its body size, and its parts are processed in turns with the
work of other connections. As each of many messages may use its whole allowance, there
is one for all messages of a peer, too.
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

FREE_PARTS = 256
"""Small parts of a message that do not count against its peer."""

MAX_PEER_PARTS = 8192
PEER_PARTS_PER_S = 1024
"""Small parts of all messages of a peer that are processed at once, and per second in
the long run. A part takes some 20 us, so a peer causes 0.2 s of work at once, and then
2% of a core."""

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
    charged : float
        Small parts that were charged to the peer.
    """

    received: int = 0
    carried: int = 0
    parts: int = 0
    parts_in_turn: int = 0
    charged: float = 0.0


@attrs.define(eq=False)
class PeerWork:
    """Small parts of the messages of one peer, less those that time has paid for.

    Attributes
    ----------
    parts : float
        At the time `at`.
    at : float
    """

    parts: float = 0.0
    at: float = 0.0


def charge(counters, work, now):
    """Charge the small parts of a message to its peer.

    Returns
    -------
    is_excessive : bool
        Whether the message is to be aborted, as its peer has sent too many.
    """
    small = counters.parts - counters.carried / BODY_BYTES_PER_PART - FREE_PARTS
    if small <= 0:
        return False
    work.parts = max(0.0, work.parts - PEER_PARTS_PER_S * (now - work.at))
    work.at = now
    added = max(0.0, small - counters.charged)
    work.parts = min(2.0 * MAX_PEER_PARTS, work.parts + added)
    counters.charged = max(counters.charged, small)
    return work.parts > MAX_PEER_PARTS


def reset(counters):
    """Reset the counters for a new message."""
    counters.received = counters.carried = counters.parts = 0
    counters.charged = 0.0


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
