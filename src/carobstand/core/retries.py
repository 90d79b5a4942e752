"""Retry budget, hedging, circuit breakers and outlier ejection."""

import attrs

BUDGET_SHARE = 0.1
"""Retries and hedges allowed per request."""

BUDGET_MAX = 50.0
"""Maximum number of tokens, so that a long idle period does not allow a retry storm."""

BUDGET_START = 5.0
"""Retries that an entry may make before it has received requests."""

BREAKER_FAILURES = 5
"""Consecutive failures that open the circuit breaker of a backend server."""

BREAKER_MIN_S = 1.0
BREAKER_MAX_S = 30.0

OUTLIER_SHARE = 0.5
"""Minimum share of failed attempts for a backend server to count as an outlier."""

OUTLIER_ATTEMPTS = 10.0
"""Minimum number of attempts, weighted by age, for a meaningful failure share."""

HALF_LIFE_S = 10.0
"""Time in which the weight of an attempt halves."""

MAX_EJECTED_SHARE = 0.5
"""Maximum share of a service's backend servers that is ejected at a time."""

HEDGE_QUANTILE = 0.95
HEDGE_SAMPLES = 200
HEDGE_MIN_SAMPLES = 20
HEDGE_MIN_S = 0.02


@attrs.define
class Budget:
    """Token bucket of the retries and hedges of one entry."""

    tokens: float = BUDGET_START


def deposit(budget):
    """Add the share of one request to the budget."""
    budget.tokens = min(BUDGET_MAX, budget.tokens + BUDGET_SHARE)


def withdraw(budget):
    """Take one retry from the budget; return False if the budget is empty."""
    if budget.tokens < 1:
        return False
    budget.tokens -= 1
    return True


@attrs.define
class Health:
    """Recent results of one backend server, weighted by age."""

    success_weight: float = 0.0
    failure_weight: float = 0.0
    updated_at: float = 0.0
    consecutive_failures: int = 0
    open_until: float = 0.0
    times_opened: int = 0
    probing: bool = False


def _decay(health, now):
    factor = 0.5 ** (max(0.0, now - health.updated_at) / HALF_LIFE_S)
    health.success_weight *= factor
    health.failure_weight *= factor
    health.updated_at = now


def succeeded(health, now):
    """Record an attempt that was answered."""
    _decay(health, now)
    health.success_weight += 1
    health.consecutive_failures = health.times_opened = 0
    health.open_until = 0.0
    health.probing = False


def failed(health, now):
    """Record a failed attempt; consecutive failures open the circuit breaker."""
    _decay(health, now)
    health.failure_weight += 1
    health.consecutive_failures += 1
    if health.consecutive_failures >= BREAKER_FAILURES or health.probing:
        open_s = min(BREAKER_MAX_S, BREAKER_MIN_S * 2**health.times_opened)
        health.open_until = now + open_s
        health.times_opened += 1
    health.probing = False


def started(health, now):
    """Record the start of an attempt, which may be the probe of a half-open breaker."""
    if health.open_until and health.open_until <= now:
        health.probing = True


def ejection_score(health, now):
    """Return the ejection score of a backend server; 0 means that it stays in use."""
    if health.open_until > now or health.probing:
        return 2.0 + health.consecutive_failures
    _decay(health, now)
    total = health.success_weight + health.failure_weight
    if total < OUTLIER_ATTEMPTS or health.failure_weight < OUTLIER_SHARE * total:
        return 0.0
    return health.failure_weight / total


def ejected(healths, now):
    """Return the backend servers that currently get no requests.

    Parameters
    ----------
    healths : dict
        `Health` of each backend server of one service, by name.
    now : float

    Returns
    -------
    names : set
        The worst ones, at most `MAX_EJECTED_SHARE` of all.
    """
    scores = {name: ejection_score(health, now) for name, health in healths.items()}
    worst = sorted(
        (name for name in scores if scores[name] > 0), key=lambda n: (-scores[n], n)
    )
    return set(worst[: int(len(healths) * MAX_EJECTED_SHARE)])


@attrs.define
class FirstByteTimes:
    """Ring buffer of the latest times to the first byte of an answer, in seconds."""

    samples: list = attrs.field(factory=list)
    next_index: int = 0
    delay_s: float | None = None


def observe(first, seconds):
    """Record the time to the first byte of one answer."""
    if len(first.samples) < HEDGE_SAMPLES:
        first.samples.append(seconds)
    else:
        first.samples[first.next_index] = seconds
    first.next_index = (first.next_index + 1) % HEDGE_SAMPLES
    if (
        len(first.samples) >= HEDGE_MIN_SAMPLES
        and first.next_index % HEDGE_MIN_SAMPLES == 0
    ):
        ordered = sorted(first.samples)
        delay_s = ordered[int(HEDGE_QUANTILE * (len(ordered) - 1))]
        first.delay_s = max(HEDGE_MIN_S, delay_s)


def hedge_delay(first):
    """Return the delay before a hedge in seconds, or None with too few samples."""
    return first.delay_s
