"""Expected length of the answer to a generation, learned from earlier answers.

Load pattern: requests that look alike have answers of very different lengths, and the
callers' hints are right at the median but often off by a factor of two.

Lengths are close to lognormal, so means and variances of their logarithms are kept: of
a route, of each customer of it, and of each shared part of its prompts. A small sample
counts little against the mean of its route. The hint is a second estimate with an
error of its own; both are weighted by their precision.
"""

import collections
import math

import attrs

MEMORY = 100.0
"""Answers over which means are averaged; lengths change with the traffic of a route."""

PRIOR_ANSWERS = 6.0
"""Answers of a customer or part that count as much as the mean above it."""

MIN_ANSWERS = 10
"""Answers of a route before anything is derived from them."""

MIN_VARIANCE = 0.01
"""Smallest variance of a logarithm; equal lengths would give an infinite weight."""

MAX_GROUPS = 1024
"""Most customers and parts that are kept; the ones used longest ago are removed. One
takes about 300 bytes, so all of them 0.3 MB of an entry's memory."""


@attrs.define(eq=False)
class Moments:
    """Mean and variance of logarithms, with the weight of what was counted."""

    count: float = 0.0
    mean: float = 0.0
    variance: float = 0.0


@attrs.define(eq=False)
class RouteLengths:
    """Answer lengths of one route.

    Attributes
    ----------
    lengths : Moments
        Of the answers.
    residuals : Moments
        Of the answers against their expected length without the hint.
    hint_errors : Moments
        Of the answers against the hint.
    """

    lengths: Moments = attrs.field(factory=Moments)
    residuals: Moments = attrs.field(factory=Moments)
    hint_errors: Moments = attrs.field(factory=Moments)


@attrs.define(eq=False)
class Learned:
    """What an entry knows of answer lengths.

    Attributes
    ----------
    routes : dict of object to RouteLengths
        By host and prefix; as many as are configured.
    groups : OrderedDict of tuple to Moments
        Deviation of customers and parts of prompts from their route, the one that was
        used longest ago first.
    """

    routes: dict = attrs.field(factory=dict)
    groups: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)


@attrs.frozen
class Expected:
    """Expected length of an answer: its median, and the spread of its logarithm."""

    tokens: float
    spread: float = 0.0


def quantile(expected, deviations):
    """Return the length that is `deviations` standard deviations above the median."""
    return expected.tokens * math.exp(deviations * expected.spread)


def mean_tokens(expected, max_tokens=0):
    """Return the mean length, which exceeds the median of a skewed distribution.

    Parameters
    ----------
    expected : Expected
    max_tokens : int
        Maximum that the caller allows, 0 for none.
    """
    mean = expected.tokens * math.exp(expected.spread * expected.spread / 2)
    return min(mean, max_tokens) if max_tokens else mean


def _count(moments, value):
    moments.count = min(MEMORY, moments.count + 1)
    weight = 1 / moments.count
    delta = value - moments.mean
    moments.mean += weight * delta
    moments.variance = (1 - weight) * (moments.variance + weight * delta * delta)


def _group_keys(route, customer, part):
    keys = [("customer", route, customer)] if customer else []
    return [*keys, ("part", route, part)] if part else keys


def _group_mean(state, lengths, keys):
    """Return the mean logarithm of the lengths of a route's customer and part."""
    mean = lengths.lengths.mean
    for key in keys:
        group = state.groups.get(key)
        if group is not None:
            mean += group.mean * group.count / (group.count + PRIOR_ANSWERS)
    return mean


def expect(state, route, customer, part, hint, usual_tokens):
    """Return the `Expected` length of an answer.

    Parameters
    ----------
    state : Learned
    route : object
        Key of the route.
    customer : str
        Empty for none.
    part : object
        Most specific part of the prompt that other requests may share; None for none.
    hint : int
        The caller's estimate in tokens, 0 for none.
    usual_tokens : int
        Usual length at the service, for a route without answers.
    """
    lengths = state.routes.get(route)
    if lengths is None or lengths.lengths.count < MIN_ANSWERS:
        tokens, spread = float(hint or usual_tokens), 0.0
    else:
        mean, variance = _weighted(state, lengths, (route, customer, part), hint)
        tokens, spread = math.exp(mean), math.sqrt(variance)
    return Expected(tokens, spread)


def _weighted(state, lengths, group, hint):
    """Return mean and variance of the logarithm, from the group and the hint."""
    mean = _group_mean(state, lengths, _group_keys(*group))
    variance = max(MIN_VARIANCE, lengths.residuals.variance)
    if lengths.residuals.count < MIN_ANSWERS:
        variance = max(variance, lengths.lengths.variance)
    if not hint or lengths.hint_errors.count < MIN_ANSWERS:
        return mean, variance
    hint_variance = max(MIN_VARIANCE, lengths.hint_errors.variance)
    hinted = math.log(hint) + lengths.hint_errors.mean
    share = variance / (variance + hint_variance)
    return mean + share * (hinted - mean), share * hint_variance


def observe(state, route, customer, part, hint, tokens):
    """Record the length of a complete answer."""
    value = math.log(max(1, tokens))
    lengths = state.routes.setdefault(route, RouteLengths())
    keys = _group_keys(route, customer, part)
    if lengths.lengths.count >= MIN_ANSWERS:
        # The first means are too uncertain to tell how much lengths vary.
        _count(lengths.residuals, value - _group_mean(state, lengths, keys))
    if hint:
        _count(lengths.hint_errors, value - math.log(hint))
    _count(lengths.lengths, value)
    deviation = value - lengths.lengths.mean
    for key in keys:
        # Each group learns what the ones before it do not explain.
        group = state.groups.setdefault(key, Moments())
        state.groups.move_to_end(key)
        _count(group, deviation)
        deviation -= group.mean * group.count / (group.count + PRIOR_ANSWERS)
    while len(state.groups) > MAX_GROUPS:
        state.groups.popitem(last=False)
