"""Traffic and checks for limits that backend servers name to all entries together."""

import itertools
import math

import anyio
import attrs

from carobstand import errors
from testing import platform_fleet

WINDOW_S = 4.0
"""Length of the sliding window in which requests are counted."""

SLACK_FACTOR = 1.5
SLACK_REQUESTS = 5
"""Excess over the limit that the rule allows in a window."""

NOTICE_S = 0.5
"""Time after its first response with a limit from which an entry's requests count."""


@attrs.define(eq=False)
class Traffic:
    """Requests to some entries, and the statuses that they got.

    Attributes
    ----------
    entries : list of str
        VMs of the entries, in turn; may change while requests are sent.
    path : str
    gap_s : float
        Time between two requests.
    statuses : list of int
        0 for a request without a complete response.
    retry_after_s : list of float
        ``Retry-After`` of the rejected requests.
    failures : list of str
        Time, entry and cause of each request without status 200.
    """

    entries: list
    path: str = "/q/x"
    gap_s: float = 0.02
    statuses: list = attrs.field(factory=list)
    retry_after_s: list = attrs.field(factory=list)
    failures: list = attrs.field(factory=list)


async def send(fleet, traffic, duration_s):
    """Send requests for `duration_s`, and wait for their responses."""
    turn = itertools.count()
    async with anyio.create_task_group() as tg:
        start = anyio.current_time()
        while anyio.current_time() < start + duration_s:
            if traffic.entries:
                entry = traffic.entries[next(turn) % len(traffic.entries)]
                tg.start_soon(_send_one, fleet, traffic, entry)
            await anyio.sleep(traffic.gap_s)


async def _send_one(fleet, traffic, entry):
    headers = [("X-Sender", entry), ("X-Events", "3")]
    sent_at = anyio.current_time()
    try:
        answer = await platform_fleet.send_request(
            fleet, traffic.path, entry=entry, headers=headers
        )
    except (errors.HttpError, TimeoutError) as exc:
        traffic.statuses.append(0)
        _record_failure(traffic, entry, sent_at, repr(exc))
        return
    traffic.statuses.append(answer.status if answer.complete else 0)
    if answer.status == 503:
        traffic.retry_after_s.append(float(answer.headers.get("retry-after", 0)))
    if answer.status != 200 or not answer.complete:
        _record_failure(traffic, entry, sent_at, f"{answer.status} {answer.body}")


def _record_failure(traffic, entry, sent_at, cause):
    took_s = anyio.current_time() - sent_at
    traffic.failures.append(f"{sent_at:.3f} {entry} after {took_s:.3f} s: {cause}")


def violations(engine, contact_s, excused=()):
    """Return the windows in which a server got more requests than it allowed.

    Parameters
    ----------
    engine : standin.platform.engine.Engine
    contact_s : float
        Time after the server first named a limit from which the rule holds.
    excused : tuple of (str, float, float)
        Senders whose requests do not count between two times.

    Returns
    -------
    found : list of (float, int, float)
        Time since the limit was first named, requests, and allowed requests.
    """
    if not engine.informed:
        return []
    first = min(engine.informed.values())
    counted = [
        item
        for item in engine.arrivals
        if item.at >= engine.informed.get(item.sender, math.inf) + NOTICE_S
        and not any(
            sender == item.sender and start <= item.at <= end
            for sender, start, end in excused
        )
    ]
    found = []
    for last in counted:
        if last.at < first + contact_s:
            continue
        window = [item for item in counted if last.at - WINDOW_S < item.at <= last.at]
        allowed = SLACK_FACTOR * _limit_integral(engine, last.at) + SLACK_REQUESTS
        if len(window) > allowed:
            found.append((last.at - first, len(window), allowed))
    return found


def _limit_integral(engine, until):
    """Return the requests that the named limits allow in the window before `until`.

    A lower limit counts from `NOTICE_S` after it was first named, the first one from
    the start; no limit is infinite.
    """
    total = 0.0
    changes = [
        (item.at + (NOTICE_S if _is_lower(before, item) else 0.0), item.limit)
        for before, item in itertools.pairwise([None, *engine.arrivals])
        if before is None or before.limit != item.limit
    ]
    changes[0] = (-math.inf, changes[0][1])
    ends = [at for at, _ in changes[1:]] + [math.inf]
    for (start, limit), end in zip(changes, ends, strict=True):
        overlap = min(end, until) - max(start, until - WINDOW_S)
        if overlap > 0:
            total += overlap * (math.inf if limit is None else limit)
    return total


def _is_lower(before, item):
    known = math.inf if before is None or before.limit is None else before.limit
    return item.limit is not None and item.limit < known


def most_in_a_second(engine, start, end):
    """Return the most requests that reached a server in any second of a period."""
    times = [item.at for item in engine.arrivals if start <= item.at < end]
    return max(
        (sum(at - 1.0 < item <= at for item in times) for at in times), default=0
    )


def requests_between(engine, start, end):
    """Return how many requests reached a server between two times."""
    return sum(start <= item.at < end for item in engine.arrivals)
