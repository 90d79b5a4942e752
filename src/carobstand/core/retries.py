"""Retry budget, hedging, circuit breakers and outlier ejection."""

import attrs

BUDGET_SHARE = 0.1
"""Retries and hedges per request."""

BUDGET_MAX = 50.0
"""Most retries that can be saved up, so that a long quiet time allows no storm."""

BUDGET_START = 5.0
"""Retries that an entry may make before it has seen requests."""

BREAKER_FAILURES = 5
"""Failures in a row after which a backend server gets no requests for a while."""

BREAKER_MIN_S = 1.0
BREAKER_MAX_S = 30.0

OUTLIER_SHARE = 0.5
"""Share of failed attempts from which a backend server counts as an outlier."""

OUTLIER_ATTEMPTS = 10.0
"""Attempts, weighted by age, from which the share of failures is meaningful."""

HALF_LIFE_S = 10.0
"""Time in which the weight of an attempt halves."""

EJECTED_SHARE = 0.5
"""Largest share of the backend servers of a service that is ejected."""

HEDGE_QUANTILE = 0.95
HEDGE_SAMPLES = 200
HEDGE_MIN_SAMPLES = 20
HEDGE_MIN_S = 0.02


@attrs.define
class Budget:
    """Retries that may be made now."""

    tokens: float = BUDGET_START


def deposit(budget):
    """Count one request of a caller."""
    budget.tokens = min(BUDGET_MAX, budget.tokens + BUDGET_SHARE)


def withdraw(budget):
    """Take one retry from the budget; return whether it had one."""
    if budget.tokens < 1:
        return False
    budget.tokens -= 1
    return True


@attrs.define
class Health:
    """Recent results of one backend server, weighted by age."""

    good: float = 0.0
    bad: float = 0.0
    updated: float = 0.0
    in_a_row: int = 0
    open_until: float = 0.0
    opened: int = 0
    probing: bool = False


def _age(health, now):
    factor = 0.5 ** (max(0.0, now - health.updated) / HALF_LIFE_S)
    health.good *= factor
    health.bad *= factor
    health.updated = now


def succeeded(health, now):
    """Record an attempt that was answered."""
    _age(health, now)
    health.good += 1
    health.in_a_row = health.opened = 0
    health.open_until = 0.0
    health.probing = False


def failed(health, now):
    """Record a failed attempt; several in a row open the circuit breaker."""
    _age(health, now)
    health.bad += 1
    health.in_a_row += 1
    if health.in_a_row >= BREAKER_FAILURES or health.probing:
        pause_s = min(BREAKER_MAX_S, BREAKER_MIN_S * 2**health.opened)
        health.open_until = now + pause_s
        health.opened += 1
    health.probing = False


def started(health, now):
    """Record the start of an attempt, which may be the probe of an open breaker."""
    if health.open_until and health.open_until <= now:
        health.probing = True


def badness(health, now):
    """Return how strongly a backend server should be ejected; 0 means not at all."""
    if health.open_until > now or health.probing:
        return 2.0 + health.in_a_row
    _age(health, now)
    total = health.good + health.bad
    if total < OUTLIER_ATTEMPTS or health.bad < OUTLIER_SHARE * total:
        return 0.0
    return health.bad / total


def ejected(healths, now):
    """Return the backend servers that get no requests now.

    Parameters
    ----------
    healths : dict
        Name of a backend server to its `Health`, for all of one service.
    now : float

    Returns
    -------
    names : set
        At most `EJECTED_SHARE` of them, the worst ones.
    """
    bad = {name: badness(health, now) for name, health in healths.items()}
    worst = sorted((name for name in bad if bad[name] > 0), key=lambda n: (-bad[n], n))
    return set(worst[: int(len(healths) * EJECTED_SHARE)])


@attrs.define
class FirstBytes:
    """Latest times to the first byte of an answer, in seconds."""

    samples: list = attrs.field(factory=list)
    at: int = 0
    delay_s: float | None = None


def observe(first, seconds):
    """Record the time to the first byte of one answer."""
    if len(first.samples) < HEDGE_SAMPLES:
        first.samples.append(seconds)
    else:
        first.samples[first.at] = seconds
    first.at = (first.at + 1) % HEDGE_SAMPLES
    if len(first.samples) >= HEDGE_MIN_SAMPLES and first.at % HEDGE_MIN_SAMPLES == 0:
        ranked = sorted(first.samples)
        delay_s = ranked[int(HEDGE_QUANTILE * (len(ranked) - 1))]
        first.delay_s = max(HEDGE_MIN_S, delay_s)


def hedge_delay(first):
    """Return the wait before a hedge, in seconds, or None while it is not known."""
    return first.delay_s
