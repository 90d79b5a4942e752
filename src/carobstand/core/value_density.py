"""Value of a generation per unit of engine time, used to order waiting requests.

Load pattern: for several seconds, more requests than the engines can answer on time.
Requests with the highest value per engine time are sent first. The others are not
starved, because the value only moves a request by a bounded time in the order.
"""

import math

import attrs

ANSWER_TOKEN_WEIGHT = 10
"""Number of prompt tokens that one answer token counts as."""

FIXED_VALUE_SHARE = 0.3
"""Share of a generation's value that does not depend on its size."""

MEAN_WEIGHT = 0.02
"""Weight of one request in the exponential moving averages of its route."""

MAX_ADVANCE = 2.0
"""Maximum advance or delay, in factors of two of the value per engine time."""


@attrs.define(eq=False)
class RouteMeans:
    """Mean size and mean value per engine time of the generations of one route."""

    mean_size: float = 0.0
    mean_density: float = 0.0


def _size(prompt_tokens, answer_tokens):
    return prompt_tokens + ANSWER_TOKEN_WEIGHT * answer_tokens


def cost_s(model, prompt_tokens, answer_tokens):
    """Return the share of a full engine's time that a generation uses, in seconds."""
    step_s = model.step_s + model.per_sequence_s * model.slots
    prefill_s = prompt_tokens / max(1.0, model.prefill_tokens_per_s)
    return max(1e-6, answer_tokens * step_s / max(1, model.slots) + prefill_s)


def advance(means, model, prompt_tokens, answer_tokens):
    """Count a generation; return its value per engine time against its route's mean.

    Parameters
    ----------
    means : RouteMeans
    model : core.routes.LatencyModel
    prompt_tokens : int
    answer_tokens : int
        Expected length of the answer.

    Returns
    -------
    advance : float
        Binary logarithm of the ratio, between -`MAX_ADVANCE` and `MAX_ADVANCE`.
    """
    size = _size(prompt_tokens, answer_tokens)
    weight = MEAN_WEIGHT if means.mean_size else 1.0
    means.mean_size += weight * (size - means.mean_size)
    worth = FIXED_VALUE_SHARE * means.mean_size + (1 - FIXED_VALUE_SHARE) * size
    density = worth / cost_s(model, prompt_tokens, answer_tokens)
    means.mean_density += weight * (density - means.mean_density)
    ratio = density / max(1e-9, means.mean_density)
    return max(-MAX_ADVANCE, min(MAX_ADVANCE, math.log2(max(ratio, 1e-9))))
