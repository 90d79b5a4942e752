"""Metrics of requests; the only place that knows whether there is a registry."""

from carobstand import metrics


def record(state, name, value, **labels):
    """Add `value`, in the unit that `name` ends with, to a histogram."""
    if state.metrics is not None:
        metrics.record(state.metrics, name, max(0.0, value), **labels)


def count(state, name, n=1, **labels):
    """Add `n` to a counter."""
    if state.metrics is not None:
        metrics.count(state.metrics, name, n, **labels)
