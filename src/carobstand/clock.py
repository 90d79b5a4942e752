"""Hybrid logical clock that orders events of different processes causally."""

import time

import attrs

MAX_AHEAD_MS = 3_600_000
"""Received stamps further ahead of the local wall clock are ignored. Otherwise one
frame with a stamp close to the 64-bit limit would spread to every process, and all
later frames would fail."""

COUNTER_BITS = 16
"""Low bits of a stamp that count events within one millisecond."""


@attrs.define
class HybridClock:
    """Clock with increasing stamps, each greater than every accepted stamp.

    A stamp is ``milliseconds since the epoch << 16 | counter``.
    """

    wall_ms: object = lambda: int(time.time() * 1000)
    last: int = 0

    def tick(self):
        """Return the stamp of a local or send event."""
        self.last = max(self.last + 1, self.wall_ms() << COUNTER_BITS)
        return self.last

    def merge(self, stamp):
        """Return the receive stamp of a message sent at `stamp`."""
        if stamp <= (self.wall_ms() + MAX_AHEAD_MS) << COUNTER_BITS:
            self.last = max(self.last, stamp)
        return self.tick()


def stamp_seconds(stamp):
    """Return the wall-clock part of `stamp`, in seconds since the epoch."""
    return (stamp >> COUNTER_BITS) / 1000
