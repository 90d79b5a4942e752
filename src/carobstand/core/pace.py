"""Predicts how soon an engine begins a request, from the pace that is published.

An engine works in passes. A pass reads some tokens of the prompts that wait, then runs
some steps of one token per writer; the first event of a request leaves at the end of
the pass that reads the end of its prompt. While all places are taken a request waits
until enough of those before it have finished.

Load pattern: many requests at once, as when an engine has just loaded weights. Its
places are free then, but it reads only so many tokens a pass.
"""

import attrs

ALIGNMENT_PASSES = 0.5
"""Mean rest of the pass that is under way when a request arrives."""

MIN_ANSWER_TOKENS = 1
"""An answer has at least one token."""


@attrs.frozen
class Prediction:
    """Times of one request at one engine, in seconds from now.

    Attributes
    ----------
    wait_s : float
        Until the engine begins to read it.
    first_event_s : float
        Until its first event leaves the engine.
    """

    wait_s: float
    first_event_s: float


def steps_s(pace, writers):
    """Return the time in which a pass writes one event for each of `writers`."""
    context = writers * (pace.usual_prompt_tokens + pace.usual_answer_tokens / 2)
    step_s = (
        pace.step_s + pace.per_writer_s * writers + pace.context_s_per_token * context
    )
    return pace.steps_per_pass * step_s


def passes_per_answer(pace):
    """Return the passes in which an answer of usual length is written."""
    tokens = max(MIN_ANSWER_TOKENS, pace.usual_answer_tokens)
    return max(1.0, tokens / pace.steps_per_pass)


def read_s(pace, prompt_tokens):
    """Return the time in which a prompt is read."""
    if not pace.read_tokens_per_s:
        return 0.0
    pairs_s = pace.pair_s * prompt_tokens * prompt_tokens / 2
    return prompt_tokens / pace.read_tokens_per_s + pairs_s


def place_interval_s(pace):
    """Return the mean time between two places that become free at a full engine."""
    begun = pace.slots / passes_per_answer(pace)
    full_pass_s = steps_s(pace, pace.slots) + begun * read_s(
        pace, pace.usual_prompt_tokens
    )
    return passes_per_answer(pace) * full_pass_s / pace.slots


def answer_s(pace, answer_tokens, occupancy):
    """Return the time from the first event of an answer to its last one."""
    begun = min(pace.slots, occupancy + 1) / passes_per_answer(pace)
    pass_s = steps_s(pace, min(pace.slots, occupancy + 1)) + begun * read_s(
        pace, pace.usual_prompt_tokens
    )
    return max(0.0, answer_tokens / pace.steps_per_pass - 1) * pass_s


def predict(pace, occupancy, unread_tokens, prompt_tokens, slowness=1.0):
    """Return the `Prediction` for one more request.

    Parameters
    ----------
    pace : core.routes.Pace
    occupancy : float
        Requests that the engine runs or holds.
    unread_tokens : float
        Tokens of the prompts before it that are still to be read.
    prompt_tokens : int
    slowness : float
        Over 1 for an engine that works more slowly than published.
    """
    ahead = max(0.0, occupancy + 1 - pace.slots)
    place_s = ahead * place_interval_s(pace)
    writing_s = steps_s(pace, min(pace.slots, occupancy + 1))
    chunk = max(1, pace.prompt_tokens_per_step)
    passes_before = (unread_tokens + prompt_tokens / 2) // chunk
    reading_s = passes_before * writing_s + read_s(pace, pace.usual_prompt_tokens) * (
        unread_tokens / max(1, pace.usual_prompt_tokens)
    )
    wait_s = slowness * max(place_s, reading_s)
    own_s = (1 + ALIGNMENT_PASSES) * writing_s + read_s(pace, prompt_tokens)
    return Prediction(wait_s, wait_s + slowness * own_s)
