"""Retry budget of one service.

All entries together may retry a share of the requests of a sliding window, plus a
constant number (the slack). Each entry limits itself to the share of its own requests
and an equal part of the slack. A process that starts has little of it for a whole
window: the previous process on its VM, or the entries that divided the slack before,
may just have used it, and a VM can be restarted several times within a window.
"""

import attrs

BUCKET_S = 0.5
"""Resolution of the window; the counts cover one bucket more than the window."""

SAFETY_FACTOR = 0.8
"""Share of the budget that is used: an entry knows neither the retries of other entries
nor those of earlier processes that have ended. The rest covers the small parts of the
entries that are not counted (`entry_roster.UNCOUNTED_PARTS`)."""


STARTING_PARTS = 25
"""Parts into which a process divides the slack in its first window at least: enough to
retry its first requests (see `entry_roster.UNCOUNTED_PARTS`)."""


@attrs.define(eq=False)
class Budget:
    """Number of requests and retries of one service, by time bucket.

    Attributes
    ----------
    started : float
        Time at which this process started.
    requests, retries : dict of int to int
    """

    started: float
    requests: dict = attrs.field(factory=dict)
    retries: dict = attrs.field(factory=dict)


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
    """Count a retry of a request; return False if the budget does not allow it.

    Parameters
    ----------
    budget : Budget
    bounds : core.deployment.Bounds
    entries : int
        Number of parts into which the slack is divided.
    now : float
    share : float
        Share of the budget that may be used; below 1 for retries that are not urgent.
    """
    slack = slack_part(budget, bounds, entries, now)
    retries, requests = usage(budget, bounds, now)
    allowed = slack + bounds.retry_ratio * requests
    if retries + 1 > SAFETY_FACTOR * share * allowed:
        return False
    _add(budget.retries, now, bounds.retry_window_s)
    return True


def record_sent(budget, bounds, reserved_at, now):
    """Count a retry at the time of its send, instead of that of its reservation.

    A request may wait for seconds after its retry was reserved. The servers get it
    together with retries that are reserved later, and in their window it has to count.
    """
    bucket = int(reserved_at / BUCKET_S)
    if budget.retries.get(bucket):
        budget.retries[bucket] -= 1
    _add(budget.retries, now, bounds.retry_window_s)


def slack_part(budget, bounds, entries, now):
    """Return the part of the slack that this entry may use in a window."""
    if now - budget.started < bounds.retry_window_s:
        entries = max(entries, STARTING_PARTS)
    return bounds.retry_slack / max(1, entries)


def usage(budget, bounds, now):
    """Return the retries and the requests that count now.

    Returns
    -------
    retries, requests : int
    """
    window_s = bounds.retry_window_s
    requests = _sum(budget.requests, now - 2 * BUCKET_S, window_s)
    return _sum(budget.retries, now, window_s), requests
