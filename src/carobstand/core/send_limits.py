"""How often one request may be sent to backend servers.

Load pattern: overload together with faults. An engine breaks off a stream, and the
engines that could resume it have full queues and reject it as not run. The caller has a
part of the response and can no longer be refused, so these rejections must not use up
the attempts of the route.
"""

MAX_REJECTED_SENDS = 2
"""Sends in addition to the route's attempts that a request may use once it may have
run. Each costs a retry of the budget; a request that visits all engines of an
overloaded service takes the retries of others."""

READMIT_PAUSE_S = 0.1
"""Time before a request is sent again to a server that rejected it: some passes of an
engine, in which a place in its queue may become free."""


def may_send_again(sends, runs, max_runs):
    """Whether one more send of a request stays within its limits.

    A request that has not run anywhere can be refused, so each of its sends counts.

    Parameters
    ----------
    sends : int
        Sends so far.
    runs : int
        Sends so far that were not reported as not run.
    max_runs : int
        Attempts that the route allows.
    """
    if not runs:
        return sends < max_runs
    return runs < max_runs and sends < max_runs + MAX_REJECTED_SENDS
