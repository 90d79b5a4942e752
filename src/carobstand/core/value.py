"""What a generation is worth for the time that it takes an engine.

Load pattern: more requests than engines can answer on time, for seconds. Those that
give callers most for an engine's time go first; the others keep their chance, as the
order is one of time with an advance.
"""

import math

import attrs

ANSWER_TOKEN_SIZE = 10
"""Prompt tokens that one token of an answer counts like."""

FIXED_PART = 0.3
"""Part of a generation's worth that does not depend on its size."""

MEAN_WEIGHT = 0.02
"""Weight of one request in the mean size of its route."""

MAX_ADVANCE = 2.0
"""Largest advance or delay, in factors of two of worth per time."""


@attrs.define(eq=False)
class Sizes:
    """Mean size and worth per time of the generations of one route."""

    mean_size: float = 0.0
    mean_density: float = 0.0


def _size(prompt_tokens, answer_tokens):
    return prompt_tokens + ANSWER_TOKEN_SIZE * answer_tokens


def cost_s(pace, prompt_tokens, answer_tokens):
    """Return the time of a full engine that a generation takes."""
    step_s = pace.step_s + pace.per_writer_s * pace.slots
    read_s = prompt_tokens / max(1.0, pace.read_tokens_per_s)
    return max(1e-6, answer_tokens * step_s / max(1, pace.slots) + read_s)


def advance(sizes, pace, prompt_tokens, answer_tokens):
    """Count a generation; return its worth per time against the mean of its route.

    Parameters
    ----------
    sizes : Sizes
    pace : core.routes.Pace
    prompt_tokens : int
    answer_tokens : int
        As far as it is known, the length of the answer.

    Returns
    -------
    advance : float
        Logarithm to the base 2, at most `MAX_ADVANCE` either way.
    """
    size = _size(prompt_tokens, answer_tokens)
    weight = MEAN_WEIGHT if sizes.mean_size else 1.0
    sizes.mean_size += weight * (size - sizes.mean_size)
    worth = FIXED_PART * sizes.mean_size + (1 - FIXED_PART) * size
    density = worth / cost_s(pace, prompt_tokens, answer_tokens)
    sizes.mean_density += weight * (density - sizes.mean_density)
    ratio = density / max(1e-9, sizes.mean_density)
    return max(-MAX_ADVANCE, min(MAX_ADVANCE, math.log2(max(ratio, 1e-9))))
