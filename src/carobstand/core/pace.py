"""Predicts how soon an engine begins a request, from the pace that is published.

An engine works in passes. A pass reads the prompts of requests that begin, then runs
some steps of one token per writer; a request's first event leaves at the end of its
first pass. While all places are taken a request waits until enough of those before it
have finished.
"""

import attrs

FIRST_EVENT_PASSES = 1.5
"""Passes from the start of a request to its first event: half of one that is under way,
and its own."""

MIN_ANSWER_TOKENS = 1
"""An answer has at least one token."""


@attrs.frozen
class Prediction:
    """Times of one request at one engine, in seconds from now.

    Attributes
    ----------
    wait_s : float
        Until the engine has a place for it.
    first_event_s : float
        Until its first event leaves the engine.
    """

    wait_s: float
    first_event_s: float


def pass_s(pace, writers, slowness=1.0):
    """Return the time of one pass with `writers` requests, reading included.

    Reading is that of the requests which take the places of finished ones.
    """
    context = writers * (pace.usual_prompt_tokens + pace.usual_answer_tokens / 2)
    step_s = (
        pace.step_s + pace.per_writer_s * writers + pace.context_s_per_token * context
    )
    begun = writers / passes_per_answer(pace)
    read_s = begun * read_time_s(pace, pace.usual_prompt_tokens)
    return slowness * (pace.steps_per_pass * step_s + read_s)


def passes_per_answer(pace):
    """Return the passes in which an answer of usual length is written."""
    tokens = max(MIN_ANSWER_TOKENS, pace.usual_answer_tokens)
    return max(1.0, tokens / pace.steps_per_pass)


def read_time_s(pace, prompt_tokens):
    """Return the time in which a prompt is read."""
    if not pace.read_tokens_per_s:
        return 0.0
    pairs_s = pace.pair_s * prompt_tokens * prompt_tokens / 2
    return prompt_tokens / pace.read_tokens_per_s + pairs_s


def place_interval_s(pace, slowness=1.0):
    """Return the mean time between two places that become free at a full engine."""
    return passes_per_answer(pace) * pass_s(pace, pace.slots, slowness) / pace.slots


def predict(pace, occupancy, prompt_tokens, slowness=1.0):
    """Return the `Prediction` for one more request.

    Parameters
    ----------
    pace : core.routes.Pace
    occupancy : float
        Requests that the engine runs or holds.
    prompt_tokens : int
    slowness : float
        Over 1 for an engine that works more slowly than published.
    """
    ahead = max(0.0, occupancy + 1 - pace.slots)
    wait_s = ahead * place_interval_s(pace, slowness)
    writers = min(pace.slots, occupancy + 1)
    own_s = FIRST_EVENT_PASSES * pass_s(pace, writers, slowness)
    read_s = slowness * read_time_s(pace, prompt_tokens)
    return Prediction(wait_s, wait_s + own_s + read_s)
