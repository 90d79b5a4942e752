"""Requests that this entry has in flight at each backend server.

They are added to the load reports, which do not show the latest requests yet.
"""

import math

import attrs

from carobstand.core import server_work

REPORT_DELAY_S = 0.015
"""A request sent this shortly before a report was received may not be counted in it:
the request and the report each take a few milliseconds on the network."""

FINISHED_RETENTION_S = 3.0
"""Time for which finished requests are kept; reports in use are more recent."""

CORRELATED_SHARE = 0.5
"""Share of the other entries' pending prompt tokens that is assumed to be distributed
like this entry's own; the rest is assumed to be spread evenly over the servers. Entries
with queued requests tend to choose the same server when one becomes free."""


SEND_RATE_TIME_S = 1.0
"""Time over which the rate of an entry's sends is averaged. An entry sends about 12
requests/s, and the traffic of a service changes within seconds."""

CROWDING = 3.0
"""Requests of other entries to the server that this entry chooses, relative to those to
an average server. Entries see the same reports and choose the same servers: in a
recorded run with 26 entries and 36 engines at 8.3 requests/s each, a chosen engine got
23 to 28 requests/s of other entries after its report."""

MAX_UNREPORTED_S = 0.4
"""Report age up to which unreported requests are counted. An older report is one that
did not change, or of an engine that entries do not favour any more: the recorded errors
are smaller again above this age."""


@attrs.define(eq=False)
class SendRate:
    """Rate at which this entry sends requests of one service.

    Attributes
    ----------
    per_s : float
        Moving average at the time `updated`.
    updated : float
    servers : int
        Number of servers of the service that serve requests.
    counted_at : float
        Time at which they were last counted.
    """

    per_s: float = 0.0
    updated: float = 0.0
    servers: int = 0
    counted_at: float = -math.inf


def count_send(rate, now):
    """Count a request that is sent now."""
    rate.per_s = sends_per_s(rate, now) + 1 / SEND_RATE_TIME_S
    rate.updated = now


def sends_per_s(rate, now):
    """Return the moving average, which decays without requests."""
    return rate.per_s * math.exp(-max(0.0, now - rate.updated) / SEND_RATE_TIME_S)


@attrs.define(eq=False)
class Outstanding:
    """Requests in progress at one server, and those that ended recently.

    Attributes
    ----------
    sent : dict of object to float
        Time at which each request in progress was sent.
    work : core.server_work.Work
        Work left of the requests in progress.
    finished : list of (float, float)
        Times at which requests were sent and ended.
    """

    sent: dict = attrs.field(factory=dict)
    work: server_work.Work = attrs.field(factory=server_work.Work)
    finished: list = attrs.field(factory=list)


def begin(state, token, prompt_tokens, now, answer_tokens=0):
    """Record that a request was sent, with the expected length of its answer."""
    state.sent[token] = now
    server_work.begin(state.work, token, prompt_tokens, answer_tokens)


def answer_started(state, token):
    """Record that the answer to a request has started."""
    server_work.record_read(state.work, token)


def end(state, token, now):
    """Record that a request ended."""
    sent_at = state.sent.pop(token)
    server_work.end(state.work, token)
    while state.finished and state.finished[0][1] < now - FINISHED_RETENTION_S:
        state.finished.pop(0)
    state.finished.append((sent_at, now))


def unreported_change(state, received_at):
    """Return requests started minus requests ended since a report was taken.

    The report was received at `received_at`.
    """
    since, change = received_at - REPORT_DELAY_S, 0
    for sent_at in state.sent.values():
        if sent_at > since:
            change += 1
    for sent_at, ended_at in reversed(state.finished):
        if ended_at <= since:
            break
        if sent_at <= since:
            change -= 1
    return change


def occupancy(state, load, others):
    """Return the number of requests at a server, estimated for other entries.

    Parameters
    ----------
    state : Outstanding
    load : core.engine_load.EngineLoad or None
        Latest report, or None if there is no fresh one.
    others : int
        Number of other entries that send requests to the server.
    """
    own = len(state.sent)
    if load is None:
        return float(own * (1 + others))
    return float(
        max(
            own,
            load.running + load.waiting + unreported_change(state, load.received_at),
        )
    )


def unreported_s(load, now):
    """Return the time for which other entries' sends are not in a report."""
    return min(MAX_UNREPORTED_S, max(0.0, now - load.received_at) + REPORT_DELAY_S)


def pending_prompt_tokens(state, mean_pending, load, others, usual_prompt_tokens):
    """Return an estimate of the prompt tokens that a server has not read yet.

    It is used where the rate of other entries' sends is not known.

    Parameters
    ----------
    state : Outstanding
    mean_pending : float
        Mean pending prompt tokens of this entry per server.
    load : core.engine_load.EngineLoad or None
        Latest report, or None if there is no fresh one.
    others : int
        Number of other entries that send requests to the server.
    usual_prompt_tokens : int
    """
    own = state.work.to_read
    theirs = others * (CORRELATED_SHARE * own + (1 - CORRELATED_SHARE) * mean_pending)
    reported = load.waiting * usual_prompt_tokens if load else 0
    return max(own + theirs, reported)
