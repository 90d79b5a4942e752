"""Token buckets for the bytes of a link: live traffic before weights."""

import enum

import attrs

from carobstand import errors


class Traffic(enum.Enum):
    """Class of traffic on a link."""

    LIVE = "live"
    WEIGHTS = "weights"


@attrs.define
class Bucket:
    """Token bucket of one direction of a link.

    Live traffic is never delayed here: it takes tokens at once, also below zero, and
    so delays weights. Weights take tokens only while the bucket is not below zero, so
    that in any interval of t seconds at most ``burst_bytes + bytes_per_s * t`` bytes of
    weights start, plus one chunk.

    Attributes
    ----------
    bytes_per_s : float or None
        Rate; None is unlimited.
    burst_bytes : float
        Most tokens kept while idle.
    """

    bytes_per_s: float | None
    burst_bytes: float = 0.0
    tokens: float = 0.0
    filled_at: float | None = None
    taken: dict = attrs.field(factory=lambda: dict.fromkeys(Traffic, 0))


MAX_DEBT_S = 1.0
"""Live traffic delays weights by at most this time after it ends."""

ROUNDING_BYTES = 1e-3
"""Tokens by which rounding of times may leave a bucket below zero."""


def refill(bucket, now):
    """Add the tokens of the time since the last call; time never runs backwards."""
    if bucket.bytes_per_s is None:
        return
    if bucket.filled_at is None:
        bucket.filled_at = now
        bucket.tokens = bucket.burst_bytes
        return
    elapsed = max(0.0, now - bucket.filled_at)
    bucket.filled_at = max(now, bucket.filled_at)
    bucket.tokens = min(
        bucket.burst_bytes, bucket.tokens + elapsed * bucket.bytes_per_s
    )


def set_rate(bucket, bytes_per_s, now):
    """Change the rate from `now` on."""
    refill(bucket, now)
    bucket.bytes_per_s = bytes_per_s


def take_live(bucket, size, now):
    """Record `size` bytes of live traffic."""
    refill(bucket, now)
    bucket.taken[Traffic.LIVE] += size
    if bucket.bytes_per_s is not None:
        floor = min(bucket.tokens, -bucket.bytes_per_s * MAX_DEBT_S)
        bucket.tokens = max(bucket.tokens - size, floor)


def weights_wait_s(bucket, now):
    """Return the seconds until weights may take tokens, 0 if they may now."""
    refill(bucket, now)
    if bucket.bytes_per_s is None or bucket.tokens >= -ROUNDING_BYTES:
        return 0.0
    return -bucket.tokens / bucket.bytes_per_s


def take_weights(bucket, size, now):
    """Take `size` bytes for weights; only after `weights_wait_s` returned 0.

    Raises
    ------
    InvariantError
        If the bucket has no tokens: the limit would be exceeded.
    """
    if weights_wait_s(bucket, now) > 0:
        raise errors.InvariantError(
            f"weights exceed the limit of {bucket.bytes_per_s} bytes/s",
            step="limits.take_weights",
        )
    bucket.taken[Traffic.WEIGHTS] += size
    if bucket.bytes_per_s is not None:
        bucket.tokens -= size


def give_back(bucket, size, now):
    """Return the tokens of weights that were not transferred after all."""
    refill(bucket, now)
    bucket.taken[Traffic.WEIGHTS] -= size
    if bucket.bytes_per_s is not None:
        bucket.tokens = min(bucket.burst_bytes, bucket.tokens + size)
