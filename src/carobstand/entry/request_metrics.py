"""Request metrics; a no-op if the entry has no registry."""

from carobstand import metrics


def record(state, name, value, **labels):
    """Add `value`, in the unit of the suffix of `name`, to a histogram."""
    if state.metrics is not None:
        metrics.record(state.metrics, name, max(0.0, value), **labels)


def count(state, name, n=1, **labels):
    """Add `n` to a counter."""
    if state.metrics is not None:
        metrics.count(state.metrics, name, n, **labels)
