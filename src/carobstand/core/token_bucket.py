"""Token buckets for the bytes of a link; live traffic has priority over weights."""

import enum

import attrs

from carobstand import errors


class Traffic(enum.Enum):
    """Class of traffic on a link."""

    LIVE = "live"
    WEIGHTS = "weights"


@attrs.define
class TokenBucket:
    """Token bucket of one direction of a link.

    Live traffic is never delayed here: it takes tokens at once, even if the bucket
    becomes negative, and thereby delays weights. Weights take tokens only while the
    bucket is not negative, so that in any interval of t seconds at most
    ``burst_bytes + bytes_per_s * t`` bytes of weights start, plus one chunk.

    Attributes
    ----------
    bytes_per_s : float or None
        Refill rate; None is unlimited.
    burst_bytes : float
        Capacity of the bucket: most tokens that accumulate while idle.
    taken : dict of Traffic to int
        Bytes taken so far.
    """

    bytes_per_s: float | None
    burst_bytes: float = 0.0
    tokens: float = 0.0
    refilled_at: float | None = None
    taken: dict = attrs.field(factory=lambda: dict.fromkeys(Traffic, 0))


MAX_DEBT_S = 1.0
"""Maximum time for which live traffic delays weights after it ends."""

ROUNDING_BYTES = 1e-3
"""Tolerance for a bucket that is slightly negative due to rounding of times."""


def refill(bucket, now):
    """Add the tokens for the time since the last call; an earlier `now` adds none."""
    if bucket.bytes_per_s is None:
        return
    if bucket.refilled_at is None:
        bucket.refilled_at = now
        bucket.tokens = bucket.burst_bytes
        return
    elapsed = max(0.0, now - bucket.refilled_at)
    bucket.refilled_at = max(now, bucket.refilled_at)
    bucket.tokens = min(
        bucket.burst_bytes, bucket.tokens + elapsed * bucket.bytes_per_s
    )


def set_rate(bucket, bytes_per_s, now):
    """Change the refill rate from `now` on."""
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
    """Return the seconds until weights may take tokens, 0 if they may take them now."""
    refill(bucket, now)
    if bucket.bytes_per_s is None or bucket.tokens >= -ROUNDING_BYTES:
        return 0.0
    return -bucket.tokens / bucket.bytes_per_s


def take_weights(bucket, size, now):
    """Take `size` bytes for weights; only after `weights_wait_s` returned 0.

    Raises
    ------
    InvariantError
        If the bucket is negative: the limit would be exceeded.
    """
    if weights_wait_s(bucket, now) > 0:
        raise errors.InvariantError(
            f"weights exceed the limit of {bucket.bytes_per_s} bytes/s",
            step="limits.take_weights",
        )
    bucket.taken[Traffic.WEIGHTS] += size
    if bucket.bytes_per_s is not None:
        bucket.tokens -= size


def refund_weights(bucket, size, now):
    """Refund the tokens of weights that were not transferred."""
    refill(bucket, now)
    bucket.taken[Traffic.WEIGHTS] -= size
    if bucket.bytes_per_s is not None:
        bucket.tokens = min(bucket.burst_bytes, bucket.tokens + size)
