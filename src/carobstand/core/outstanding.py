"""Requests that this entry has in flight at each backend server.

They are added to the load reports, which do not show the latest requests yet.
"""

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


@attrs.define(eq=False)
class Outstanding:
    """Requests in progress at one server, and those that ended recently.

    Attributes
    ----------
    sent : dict of object to float
        Time at which each request in progress was sent.
    work : core.server_work.Work
        Work left of the requests in progress.
    finished : list of (float, float, int)
        Times at which requests were sent and ended, and their prompt tokens.
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
    prompt_tokens = state.work.items[token].prompt_tokens
    server_work.end(state.work, token)
    while state.finished and state.finished[0][1] < now - FINISHED_RETENTION_S:
        state.finished.pop(0)
    state.finished.append((sent_at, now, prompt_tokens))


def unreported_change(state, received_at):
    """Return requests started minus requests ended since a report was taken.

    The report was received at `received_at`.
    """
    since, change = received_at - REPORT_DELAY_S, 0
    for sent_at in state.sent.values():
        if sent_at > since:
            change += 1
    for sent_at, ended_at, _ in reversed(state.finished):
        if ended_at <= since:
            break
        if sent_at <= since:
            change -= 1
    return change


def freed_tokens(state, sent_before, ended_after):
    """Return the prompt tokens of requests that were sent and ended at such times."""
    freed = 0
    for sent_at, ended_at, prompt_tokens in reversed(state.finished):
        if ended_at <= ended_after:
            break
        if sent_at <= sent_before:
            freed += prompt_tokens
    return freed


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


def pending_prompt_tokens(state, mean_pending, load, others, usual_prompt_tokens):
    """Return an estimate of the prompt tokens that a server has not read yet.

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
