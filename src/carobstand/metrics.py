"""Counters, gauges and histograms of a process, and their Prometheus text format.

Counters end in ``_total``; histograms are exported as summaries with quantiles. The
name of a histogram includes its unit, for example ``first_token_s``.
"""

import importlib
import os
import resource

import attrs

PREFIX = "carobstand_"
"""Prefix of all metric names."""

MAX_SERIES = 1500
"""Maximum number of series per process; 1500 histograms use about 40 MB of 256 MB."""

QUANTILES = (0.5, 0.95, 0.99)
"""Exported quantiles; the maximum is exported as quantile 1."""


@attrs.define(eq=False)
class Registry:
    """Metrics of one process.

    Attributes
    ----------
    histograms, counters, gauges : dict of (name, labels)
        `labels` is a sorted tuple of (label, value).
    dropped : int
        Observations dropped because `MAX_SERIES` was reached.
    """

    histograms: dict = attrs.field(factory=dict)
    counters: dict = attrs.field(factory=dict)
    gauges: dict = attrs.field(factory=dict)
    dropped: int = 0


def record(registry, name, value, **labels):
    """Add `value` to the histogram of `name` and `labels`.

    Parameters
    ----------
    registry : Registry
    name : str
        Name with its unit, for example ``"first_token_s"``.
    value : float
        Clipped to 0..`metric_histograms.LARGEST_VALUE`.
    **labels : str
        For example ``outcome="done"``. Values must come from the table or the code,
        never from a caller, so that the number of series stays bounded.
    """
    histograms = _histograms()
    series = _series(registry, registry.histograms, name, labels, histograms.Histogram)
    if series is not None:
        histograms.add(series, value)


def _histograms():
    """Import `metric_histograms`, whose library the programs on the platform lack."""
    return importlib.import_module("carobstand.metric_histograms")


def count(registry, name, n=1, **labels):
    """Add `n` to the counter of `name` and `labels`."""
    series = _series(registry, registry.counters, name, labels, lambda: [0])
    if series is not None:
        series[0] += n


def gauge(registry, name, value, **labels):
    """Set the gauge of `name` and `labels` to `value`."""
    series = _series(registry, registry.gauges, name, labels, lambda: [0])
    if series is not None:
        series[0] = value


def _series(registry, group, name, labels, new):
    key = (name, tuple(sorted(labels.items())))
    series = group.get(key)
    if series is not None:
        return series
    n_series = len(registry.histograms) + len(registry.counters) + len(registry.gauges)
    if n_series >= MAX_SERIES:
        registry.dropped += 1
        return None
    return group.setdefault(key, new())


def quantile(registry, name, fraction, **labels):
    """Return the quantile `fraction` (0..1) of a histogram, or None without values."""
    series = registry.histograms.get((name, tuple(sorted(labels.items()))))
    if series is None:
        return None
    return _histograms().quantile(series, fraction)


def render(registry):
    """Return all metrics as text, one line per value.

    Returns
    -------
    text : str
    """
    lines = []
    for (name, labels), value in sorted(registry.counters.items()):
        lines.append(_line(f"{name}_total", labels, value[0]))
    for (name, labels), value in sorted(registry.gauges.items()):
        lines.append(_line(name, labels, value[0]))
    for (name, labels), series in sorted(
        registry.histograms.items(), key=lambda item: item[0]
    ):
        lines += _histogram_lines(name, labels, series)
    lines.append(_line("metrics_dropped_total", (), registry.dropped))
    lines.append(_line("process_cpu_seconds_total", (), cpu_seconds()))
    lines.append(_line("process_resident_bytes", (), resident_bytes()))
    return "".join(lines)


def _histogram_lines(name, labels, series):
    histograms = _histograms()
    lines = []
    for fraction in QUANTILES:
        quantile_labels = (*labels, ("quantile", f"{fraction:g}"))
        value = histograms.quantile(series, fraction)
        lines.append(_line(name, quantile_labels, value))
    largest_labels = (*labels, ("quantile", "1"))
    lines.append(_line(name, largest_labels, histograms.largest(series)))
    lines.append(_line(f"{name}_count", labels, histograms.count(series)))
    lines.append(_line(f"{name}_sum", labels, series.total))
    return lines


def _line(name, labels, value):
    escaped = ",".join(f'{label}="{_escape(text)}"' for label, text in labels)
    return f"{PREFIX}{name}{{{escaped}}} {value:.10g}\n"


def _escape(value):
    text = str(value).replace("\\", "\\\\").replace('"', '\\"')
    return text.replace("\n", "\\n")


def cpu_seconds():
    """Return the CPU time used by this process, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def resident_bytes():
    """Return the resident memory of this process, in bytes (proc(5), statm)."""
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
