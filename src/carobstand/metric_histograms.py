"""Histograms of `carobstand.metrics`."""

import attrs
from hdrh import histogram

UNITS_PER_VALUE = 1_000_000
"""Histograms store integers, in millionths: seconds have microsecond resolution."""

LARGEST_VALUE = 3600.0
"""Larger values are clipped to this."""

SIGNIFICANT_DIGITS = 2
"""Precision of 1%: a histogram uses about 27 KB, with 3 digits about 200 KB."""


@attrs.define
class Histogram:
    """Histogram of one series; `total` is the sum of its values."""

    counts: histogram.HdrHistogram = attrs.field(
        factory=lambda: histogram.HdrHistogram(
            1, int(LARGEST_VALUE * UNITS_PER_VALUE), SIGNIFICANT_DIGITS
        )
    )
    total: float = 0.0


def add(series, value):
    """Add a value, clipped to 0..`LARGEST_VALUE`."""
    value = min(max(value, 0.0), LARGEST_VALUE)
    series.counts.record_value(int(value * UNITS_PER_VALUE))
    series.total += value


def quantile(series, fraction):
    """Return the quantile `fraction` (0..1)."""
    return series.counts.get_value_at_percentile(fraction * 100) / UNITS_PER_VALUE


def largest(series):
    """Return the largest value."""
    return series.counts.get_max_value() / UNITS_PER_VALUE


def count(series):
    """Return the number of values."""
    return series.counts.get_total_count()
