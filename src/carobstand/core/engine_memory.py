"""Whether an engine has memory for another request.

Load pattern: long prompts and many slots, so that the memory of an engine is full
before its slots are. An engine whose requests exceed its memory crashes and loses all
of them.

Each entry decides alone. It counts what the engine reported, the growth of the requests
in progress, what it sent since the report, and what the others may have sent meanwhile.
"""

import math

from carobstand.core import engine_load, outstanding

MEMORY_SHARE = 0.9
"""Share of an engine's memory that requests may use by this estimate. The rest is for
answers that are longer than expected, and for entries that choose the engine at the
same moment or by older reports: trials with three entries exceeded the share by up to
8% of the memory."""


def needed_tokens(size, max_answer_tokens):
    """Return the tokens for which a request needs memory at most.

    Parameters
    ----------
    size : core.placement.Size
    max_answer_tokens : int
        Maximum that the caller allows; 0 for none, then the expected length counts.
    """
    return size.prompt_tokens + (max_answer_tokens or math.ceil(size.answer_tokens))


def limit_tokens(model):
    """Return the tokens that requests may use of an engine's memory.

    Parameters
    ----------
    model : core.routes.LatencyModel or None

    Returns
    -------
    tokens : float
        Infinite if the memory of the service's engines is not limited.
    """
    if model is None or not model.cache_tokens:
        return math.inf
    return MEMORY_SHARE * model.cache_tokens


def fits(model, state, load, others, needed, now):
    """Whether an engine has memory for a request.

    Parameters
    ----------
    model : core.routes.LatencyModel or None
    state : core.outstanding.Outstanding
        This entry's requests at the engine.
    load : core.engine_load.EngineLoad or None
        Latest report, or None if there is no fresh one.
    others : float
        Number of other entries that send requests to the engine.
    needed : int
        From `needed_tokens`.
    now : float
    """
    limit = limit_tokens(model)
    if math.isinf(limit):
        return True
    return expected_tokens(model, state, load, others, now) + needed <= limit


def expected_tokens(model, state, load, others, now):
    """Return the tokens that requests sent so far, by any entry, will need at most.

    The parameters are those of `fits`.
    """
    usual = model.usual_prompt_tokens + model.usual_answer_tokens
    # Others that decide at the same moment see the same report.
    unseen = outstanding.CORRELATED_SHARE * others * usual
    if load is None or not _tells_memory(load, now):
        unknown = outstanding.occupancy(state, load, others) - len(state.sent)
        return _own_tokens(state, state.sent) + unknown * usual + unseen
    # A report may show a state that is older by the lag that the platform names.
    since = load.reported_at - model.report_lag_s - outstanding.REPORT_DELAY_S
    recent = {
        token
        for token, sent_at in state.sent.items()
        if sent_at > since or _may_be_on_its_way(state, token)
    }
    earlier = state.sent.keys() - recent
    other_runs = max(0, load.running - len(earlier))
    growth = sum(_remaining_tokens(state, token) for token in earlier)
    # Lengths vary so much that a running request of another entry is expected to have
    # as many tokens left as a new one.
    growth += other_runs * model.usual_answer_tokens
    waiting = load.waiting * usual
    # What ended before the report was received may be missing in it already.
    freed = outstanding.freed_tokens(state, since, load.reported_at)
    change = _own_tokens(state, recent) - freed
    if change > 0:
        # While no entry adds more than an equal part of what the report shows as free,
        # all of them together add no more than that.
        change *= 1 + others
    return load.held_tokens + growth + waiting + change + unseen


def _tells_memory(load, now):
    """Whether a report tells the memory in use, and recently.

    Responses update the number of requests of a report, but not its memory.
    """
    age_s = now - load.reported_at
    return load.held_tokens is not None and age_s <= engine_load.MAX_REPORT_AGE_S


def _may_be_on_its_way(state, token):
    """Whether a request may not have reached the engine when it made its report.

    A report that was received after a request was sent may lack it: the request may
    need a new connection, and both may wait for a busy processor.
    """
    return state.work.items[token].to_read > 0


def _own_tokens(state, tokens):
    """Return the prompt and expected answer tokens of some of the own requests."""
    items = [state.work.items[token] for token in tokens]
    return sum(item.prompt_tokens + max(item.expected, item.written) for item in items)


def _remaining_tokens(state, token):
    item = state.work.items[token]
    return max(0.0, item.expected - item.written)
