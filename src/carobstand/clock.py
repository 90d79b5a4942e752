"""Hybrid logical clock, for ordering events of different processes by cause."""

import time

import attrs

MAX_AHEAD_MS = 3_600_000
"""Stamps further ahead of the own wall clock are ignored. One frame with a stamp near
the end of its 64 bits would otherwise make all later frames of every process fail."""

COUNTER_BITS = 16
"""Low bits of a stamp that count events within one millisecond."""


@attrs.define
class HybridClock:
    """Clock whose stamps never fall and exceed every stamp received.

    A stamp is ``milliseconds since the epoch << 16 | counter``.
    """

    wall_ms: object = lambda: int(time.time() * 1000)
    last: int = 0

    def tick(self):
        """Return the stamp of a local or send event."""
        self.last = max(self.last + 1, self.wall_ms() << COUNTER_BITS)
        return self.last

    def merge(self, stamp):
        """Return the stamp of the receipt of a message sent at `stamp`."""
        if stamp <= (self.wall_ms() + MAX_AHEAD_MS) << COUNTER_BITS:
            self.last = max(self.last, stamp)
        return self.tick()


def stamp_seconds(stamp):
    """Return the wall-clock part of `stamp`, in seconds since the epoch."""
    return (stamp >> COUNTER_BITS) / 1000
