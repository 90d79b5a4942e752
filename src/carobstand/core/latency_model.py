"""Latency model of an engine: predicts when it starts to answer a request.

An engine works in passes. A pass prefills a bounded number of tokens of the waiting
prompts, then runs several decode steps that yield one token per running sequence each.
The first event of a request is sent at the end of the pass that prefills the last token
of its prompt. While all slots are in use, a request waits until enough of the requests
before it have finished.

Load pattern: many requests at once, for example after an engine has loaded weights. All
slots are free then, but the number of prompt tokens per pass limits the start rate.
"""

import attrs

RESIDUAL_PASSES = 0.5
"""Mean remaining part of the current pass when a request arrives."""

MIN_ANSWER_TOKENS = 1
"""An answer has at least one token."""


@attrs.frozen
class Prediction:
    """Predicted times of one request at one engine, in seconds from now.

    Attributes
    ----------
    wait_s : float
        Until the engine starts to prefill its prompt.
    first_event_s : float
        Until the engine sends its first event.
    """

    wait_s: float
    first_event_s: float


def decode_pass_s(model, sequences):
    """Return the decode time of a pass, which yields one event per sequence."""
    context = sequences * (model.usual_prompt_tokens + model.usual_answer_tokens / 2)
    step_s = (
        model.step_s
        + model.per_sequence_s * sequences
        + model.context_s_per_token * context
    )
    return model.steps_per_pass * step_s


def passes_per_answer(model):
    """Return the number of passes that decode an answer of usual length."""
    tokens = max(MIN_ANSWER_TOKENS, model.usual_answer_tokens)
    return max(1.0, tokens / model.steps_per_pass)


def prefill_s(model, prompt_tokens):
    """Return the prefill time of a prompt."""
    if not model.prefill_tokens_per_s:
        return 0.0
    pairs_s = model.attention_pair_s * prompt_tokens * prompt_tokens / 2
    return prompt_tokens / model.prefill_tokens_per_s + pairs_s


def slot_interval_s(model):
    """Return the mean time between two slots becoming free at a full engine."""
    started = model.slots / passes_per_answer(model)
    full_pass_s = decode_pass_s(model, model.slots) + started * prefill_s(
        model, model.usual_prompt_tokens
    )
    return passes_per_answer(model) * full_pass_s / model.slots


def answer_s(model, answer_tokens, occupancy):
    """Return the time from the first event of an answer to its last one."""
    started = min(model.slots, occupancy + 1) / passes_per_answer(model)
    pass_s = decode_pass_s(
        model, min(model.slots, occupancy + 1)
    ) + started * prefill_s(model, model.usual_prompt_tokens)
    return max(0.0, answer_tokens / model.steps_per_pass - 1) * pass_s


@attrs.frozen
class Times:
    """Times that are the same at all engines for one request.

    Attributes
    ----------
    model : core.routes.LatencyModel
    interval_s : float
        Mean time between two slots becoming free at a full engine.
    usual_read_s, own_read_s : float
        Prefill time of a usual prompt, and of the prompt of the request.
    prompt_tokens : int
        Size of that prompt.
    """

    model: object
    interval_s: float
    usual_read_s: float
    own_read_s: float
    prompt_tokens: int


def times(model, prompt_tokens):
    """Return the `Times` of a request with a prompt of `prompt_tokens`."""
    return Times(
        model,
        slot_interval_s(model),
        prefill_s(model, model.usual_prompt_tokens),
        prefill_s(model, prompt_tokens),
        prompt_tokens,
    )


def predict(model, occupancy, pending_tokens, prompt_tokens, slowness=1.0):
    """Return the `Prediction` for one additional request.

    Parameters
    ----------
    model : core.routes.LatencyModel
    occupancy : float
        Number of requests that run or wait at the engine.
    pending_tokens : float
        Prompt tokens of earlier requests that are not prefilled yet.
    prompt_tokens : int
    slowness : float
        Above 1 for an engine that is slower than the published parameters.
    """
    request = times(model, prompt_tokens)
    return predict_with(request, occupancy, pending_tokens, slowness)


def predict_with(request, occupancy, pending_tokens, slowness, ratio=1.0):
    """Return the `Prediction` for a request whose `Times` are known.

    Parameters
    ----------
    request : Times
    occupancy, pending_tokens, slowness : float
        As for `predict`.
    ratio : float
        Answer tokens left per request at the engine, relative to the usual number.
    """
    model = request.model
    ahead = max(0.0, occupancy + 1 - model.slots)
    slot_wait_s = ahead * ratio * request.interval_s
    pass_s = decode_pass_s(model, min(model.slots, occupancy + 1))
    chunk = max(1, model.prompt_tokens_per_step)
    passes_before = (pending_tokens + request.prompt_tokens / 2) // chunk
    usual_tokens = max(1, model.usual_prompt_tokens)
    read_s = request.usual_read_s * pending_tokens / usual_tokens
    wait_s = slowness * max(slot_wait_s, passes_before * pass_s + read_s)
    own_s = (1 + RESIDUAL_PASSES) * pass_s + request.own_read_s
    return Prediction(wait_s, wait_s + slowness * own_s)
