"""Budget for sending requests to a second backend server, per service.

All entries together may send a share of the requests of a sliding window again, plus
some slack. Each entry keeps to its own requests' share and to an equal part of the
slack.
"""

import attrs

BUCKET_S = 0.5
"""Resolution of the window; a whole bucket more is counted than the window has."""

SAFETY = 0.8
"""Part of the budget that is used: entries see neither each other's sends nor those
that a process made before its end."""


START_PART = 0.25
"""Part of its slack that a process has at its start. Its predecessor on the VM may have
spent all of it a moment ago; `SAFETY` covers the sum of both."""


@attrs.define(eq=False)
class Budget:
    """Requests and repeats of one service, by bucket of time.

    Attributes
    ----------
    started : float
        When this process began to count.
    requests, repeats : dict of int to int
    """

    started: float
    requests: dict = attrs.field(factory=dict)
    repeats: dict = attrs.field(factory=dict)


def _add(counts, now, window_s):
    bucket = int(now / BUCKET_S)
    counts[bucket] = counts.get(bucket, 0) + 1
    oldest = bucket - int(window_s / BUCKET_S) - 1
    while next(iter(counts)) < oldest:
        del counts[next(iter(counts))]


def _sum(counts, now, window_s):
    oldest = int(now / BUCKET_S) - int(window_s / BUCKET_S) - 1
    return sum(count for bucket, count in counts.items() if bucket >= oldest)


def count_request(budget, bounds, now):
    """Count a request of a caller.

    Parameters
    ----------
    budget : Budget
    bounds : core.deployment.Bounds
    now : float
    """
    _add(budget.requests, now, bounds.retry_window_s)


def withdraw(budget, bounds, entries, now, share=1.0):
    """Count one more send of a request; return False if the budget does not allow it.

    Parameters
    ----------
    budget : Budget
    bounds : core.deployment.Bounds
    entries : int
        Entries that share the slack, this one included.
    now : float
    share : float
        Part of the budget up to which repeats that are not urgent are allowed.
    """
    window_s = bounds.retry_window_s
    # A process that was started again does not know what it sent before.
    grown = min(1.0, START_PART + (now - budget.started) / window_s)
    slack = bounds.retry_slack / max(1, entries) * grown
    requests = _sum(budget.requests, now - 2 * BUCKET_S, window_s)
    allowed = slack + bounds.retry_ratio * requests
    if _sum(budget.repeats, now, window_s) + 1 > SAFETY * share * allowed:
        return False
    _add(budget.repeats, now, window_s)
    return True
