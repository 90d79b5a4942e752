"""Requests that this entry has at each backend server, beside what reports tell."""

import attrs

SEEN_SLACK_S = 0.015
"""A send this short before a report was heard may not be in it: the ways of the report
and of the request take a few milliseconds each."""

FINISHED_KEPT_S = 3.0
"""Finished requests are remembered this long; reports are fresher."""


OWN_SHARE = 0.5
"""Part of what other entries have unread at a server that is taken to be like what this
one has there; the rest is taken to be spread evenly. Entries that hold requests choose
alike when a server becomes free."""


@attrs.define(eq=False)
class Outstanding:
    """Requests in progress at one server, and those that ended a moment ago.

    Attributes
    ----------
    sent : dict of object to float
        Time at which each request in progress was sent.
    unread : dict of object to int
        Prompt tokens of those that have not begun to answer.
    finished : list of (float, float)
        Times at which requests were sent and ended.
    """

    sent: dict = attrs.field(factory=dict)
    unread: dict = attrs.field(factory=dict)
    finished: list = attrs.field(factory=list)


def begin(state, token, prompt_tokens, now):
    """Record that a request was sent."""
    state.sent[token] = now
    state.unread[token] = prompt_tokens


def answering(state, token):
    """Record that a request has begun to answer."""
    state.unread.pop(token, None)


def end(state, token, now):
    """Record that a request ended."""
    sent_at = state.sent.pop(token)
    state.unread.pop(token, None)
    while state.finished and state.finished[0][1] < now - FINISHED_KEPT_S:
        state.finished.pop(0)
    state.finished.append((sent_at, now))


def unseen(state, heard_at):
    """Return sends less ends that a report heard at `heard_at` cannot tell."""
    since = heard_at - SEEN_SLACK_S
    sent = sum(at > since for at in state.sent.values())
    ended = sum(at > since >= sent_at for sent_at, at in state.finished)
    return sent - ended


def occupancy(state, load, others):
    """Return the requests at a server, those of other entries estimated.

    Parameters
    ----------
    state : Outstanding
    load : core.engine_load.EngineLoad or None
        Fresh report, if there is one.
    others : int
        Other entries that send to the server.
    """
    own = len(state.sent)
    if load is None:
        return float(own * (1 + others))
    return float(max(own, load.running + load.waiting + unseen(state, load.heard_at)))


def unread_tokens(state, mean_unread, load, others, usual_prompt_tokens):
    """Return the prompt tokens that a server has still to read, estimated.

    Parameters
    ----------
    state : Outstanding
    mean_unread : float
        Unread tokens of this entry per server.
    load : core.engine_load.EngineLoad or None
        Fresh report, if there is one.
    others : int
        Other entries that send to the server.
    usual_prompt_tokens : int
    """
    own = sum(state.unread.values())
    theirs = others * (OWN_SHARE * own + (1 - OWN_SHARE) * mean_unread)
    reported = load.waiting * usual_prompt_tokens if load else 0
    return max(own + theirs, reported)
