"""Admission control: limits per customer, weighted fair queues and load shedding."""

import bisect
import collections
import enum
import itertools

import attrs

from carobstand import errors

MAX_ESTIMATED_WAIT_S = 0.6
"""Estimated queue wait above which waiting requests are shed on each arrival."""

MAX_QUEUE_TIME_S = 0.9
"""Maximum wait in a queue. The first token is due within 1.2 s; the engine needs the
rest of that time."""

DEFAULT_MAX_QUEUE = 256
"""Queue limit of a service for which the table sets none."""

RATE_HALF_LIFE_S = 2.0
"""Half-life of an arrival's weight in a rate."""

SERVICE_TIME_SAMPLES = 50
"""Number of recent service times in the mean service time of a queue."""

MIN_SERVICE_TIME_SAMPLES = 5
"""Service times needed before their mean is used."""

BURST_S = 1.0
"""Burst size of a customer's token bucket, in seconds of its rate."""

TOKENS_PER_COST = 64
"""Completion tokens that cost as much as one call of a plain service."""

DEFAULT_RETRY_AFTER_S = 1.0
"""Retry-After while the mean service time is not known."""

MAX_RETRY_AFTER_S = 30.0
"""Upper bound of the estimated drain time and thus of a queue's Retry-After."""

CUSTOMER_IDLE_S = 60.0
"""Time without requests after which the counters of a customer are dropped."""


class RefusalCause(enum.Enum):
    """Why a request is refused."""

    RATE = "the customer's request rate is reached"
    IN_FLIGHT = "the customer's requests in flight are reached"
    QUEUE_FULL = "the queue is full"
    TOO_LONG = "the queue is longer than can be served in time"
    WAITED = "no backend server had room in time"


@attrs.frozen
class Refusal:
    """A refused ticket and the time after which its caller should retry."""

    ticket: object
    cause: RefusalCause
    retry_after_s: float


@attrs.define(eq=False)
class Rate:
    """Exponentially decaying average of events per second; `updated` is a time."""

    value: float = 0.0
    updated: float = 0.0


def _record_event(rate, now, n=1.0):
    rate.value = rate_now(rate, now) + n / (RATE_HALF_LIFE_S * 1.4427)
    rate.updated = now


def rate_now(rate, now):
    """Return the events per second at `now`."""
    age_s = max(0.0, now - rate.updated)
    return rate.value * 0.5 ** (age_s / RATE_HALF_LIFE_S)


@attrs.define(eq=False)
class Customer:
    """Token bucket, demand and requests in flight of one customer at this entry.

    `share` is this entry's part of the customer's limits, in (0, 1].
    """

    tokens: float | None = None
    refilled: float = 0.0
    in_flight: int = 0
    demand: Rate = attrs.field(factory=Rate)
    share: float = 1.0


@attrs.define(eq=False)
class Ticket:
    """A request in admission.

    `virtual_finish` is its virtual finish time, by which the queue is sorted. A
    `protected` request has a started answer: it is not shed and waits until its
    deadline.
    """

    request_id: str
    customer: str
    service: str
    weight: float
    priority: int
    cost: float
    arrived: float
    deadline: float
    queued_at: float = 0.0
    admitted_at: float = 0.0
    virtual_finish: float = 0.0
    seq: int = 0
    queued: bool = False
    protected: bool = False
    admitted: bool = False
    closed: bool = False
    data: object = None


@attrs.define(eq=False)
class Queue:
    """Weighted fair queue of one service.

    `waiting` is sorted by virtual finish time. `last_finish` has the virtual finish
    time of each customer's last request. `service_s` holds the latest service times in
    seconds.
    """

    waiting: list = attrs.field(factory=list)
    virtual_time: float = 0.0
    last_finish: dict = attrs.field(factory=dict)
    in_flight: int = 0
    service_s: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=SERVICE_TIME_SAMPLES)
    )


@attrs.define(eq=False)
class Admission:
    """All queues and customers of one entry."""

    customers: dict = attrs.field(factory=dict)
    queues: dict = attrs.field(factory=dict)
    counter: object = attrs.field(factory=lambda: itertools.count(1))


def cost_of(max_tokens):
    """Return the cost of a completion of `max_tokens`; a plain call costs 1."""
    return 1.0 + max_tokens / TOKENS_PER_COST


def _customer(state, name):
    customer = state.customers.get(name)
    if customer is None:
        customer = state.customers[name] = Customer()
    return customer


def _queue(state, service):
    queue = state.queues.get(service)
    if queue is None:
        queue = state.queues[service] = Queue()
    return queue


def set_shares(state, others, unreported, now):
    """Divide the customers' limits among the entries by their demand.

    Parameters
    ----------
    state : Admission
    others : dict of str to float
        Requests per second of each customer at all other entries.
    unreported : int
        Other entries that have not reported; each is assumed to have this entry's
        demand.
    now : float
    """
    for name, customer in state.customers.items():
        own = rate_now(customer.demand, now)
        total = own * (1 + unreported) + others.get(name, 0.0)
        customer.share = own / total if total > 0 else 1.0 / (1 + unreported)


def demands(state, now):
    """Return (customer, requests per second, in flight) of each active customer."""
    return [
        (name, rate_now(customer.demand, now), customer.in_flight)
        for name, customer in state.customers.items()
        if customer.in_flight or rate_now(customer.demand, now) > 0.01
    ]


def submit(state, ticket, rate_per_s, max_in_flight, max_queue, now):
    """Check the customer's limits and queue the request.

    Parameters
    ----------
    state : Admission
    ticket : Ticket
    rate_per_s, max_in_flight, max_queue : number or None
        Limits of the table; this entry applies its share of the first two.
    now : float

    Returns
    -------
    refusals : list of Refusal
        Requests that are shed; `ticket` may be one of them. Otherwise it is queued.
    """
    customer = _customer(state, ticket.customer)
    _record_event(customer.demand, now)
    wait_s = _take_rate_token(customer, rate_per_s, now)
    if wait_s > 0:
        ticket.closed = True
        return [Refusal(ticket, RefusalCause.RATE, wait_s)]
    queue = _queue(state, ticket.service)
    if max_in_flight is not None:
        allowed = max(1, int(max_in_flight * customer.share + 0.5))
        if customer.in_flight >= allowed:
            ticket.closed = True
            return [Refusal(ticket, RefusalCause.IN_FLIGHT, _retry_after_s(queue, 1))]
    customer.in_flight += 1
    ticket.queued_at = now
    _enqueue(state, queue, ticket)
    return _shed(state, queue, max_queue)


def _take_rate_token(customer, rate_per_s, now):
    """Take a token and return 0, or return the time until one is available."""
    if rate_per_s is None:
        return 0.0
    rate = max(rate_per_s * customer.share, 1e-9)
    burst = max(1.0, rate * BURST_S)
    if customer.tokens is None:
        customer.tokens = burst
    else:
        earned = (now - customer.refilled) * rate
        customer.tokens = min(burst, customer.tokens + earned)
    customer.refilled = now
    if customer.tokens < 1:
        return (1 - customer.tokens) / rate
    customer.tokens -= 1
    return 0.0


def _enqueue(state, queue, ticket):
    start = max(queue.virtual_time, queue.last_finish.get(ticket.customer, 0.0))
    ticket.virtual_finish = start + ticket.cost / ticket.weight
    queue.last_finish[ticket.customer] = ticket.virtual_finish
    ticket.seq = next(state.counter)
    _insert(queue, ticket)


def _insert(queue, ticket):
    ticket.queued = True
    bisect.insort(queue.waiting, ticket, key=_queue_position)


def _queue_position(ticket):
    return (ticket.virtual_finish, ticket.seq)


def requeue(state, ticket, ran, now):
    """Return an admitted request to the head of its queue.

    Parameters
    ----------
    state : Admission
    ticket : Ticket
    ran : bool
        Whether an attempt may have run; if not, the time it has waited still counts.
    now : float

    Raises
    ------
    InvariantError
        If the request is not in flight.
    """
    if ticket.closed or not ticket.admitted:
        raise errors.InvariantError("request is not in flight", step="admission.back")
    queue = _queue(state, ticket.service)
    queue.in_flight -= 1
    ticket.admitted = False
    if ran:
        ticket.queued_at = now
    ticket.virtual_finish = queue.virtual_time
    _insert(queue, ticket)


def _drain_s(queue, ahead):
    """Return the estimated time to drain `ahead` requests, None if it is not known.

    The estimate uses the requests in flight and their mean service time. The completion
    rate would be misleading: after a quiet period it equals the arrival rate, and a
    burst would be rejected although there are free slots.
    """
    if len(queue.service_s) < MIN_SERVICE_TIME_SAMPLES or queue.in_flight == 0:
        return None
    mean_s = sum(queue.service_s) / len(queue.service_s)
    return min(MAX_RETRY_AFTER_S, ahead * mean_s / queue.in_flight)


def _retry_after_s(queue, ahead):
    drain_s = _drain_s(queue, ahead)
    return DEFAULT_RETRY_AFTER_S if drain_s is None else drain_s


def _shed(state, queue, max_queue):
    """Shed requests while the queue is too long for all to be served in time."""
    refusals = []
    limit = DEFAULT_MAX_QUEUE if max_queue is None else max_queue
    while len(queue.waiting) > 1:
        drain_s = _drain_s(queue, len(queue.waiting))
        if len(queue.waiting) > max(1, limit):
            cause = RefusalCause.QUEUE_FULL
        elif drain_s is not None and drain_s > MAX_ESTIMATED_WAIT_S:
            cause = RefusalCause.TOO_LONG
        else:
            break
        candidates = [item for item in queue.waiting if not item.protected]
        if not candidates:
            break
        victim = max(candidates, key=lambda t: (-t.priority, t.virtual_finish, t.seq))
        retry_s = _retry_after_s(queue, len(queue.waiting))
        _remove(state, queue, victim)
        refusals.append(Refusal(victim, cause, retry_s))
    return refusals


def _remove(state, queue, ticket):
    """Remove a waiting request from the queue without running it."""
    queue.waiting.remove(ticket)
    ticket.queued = False
    ticket.closed = True
    _customer(state, ticket.customer).in_flight -= 1
    last = queue.last_finish.get(ticket.customer)
    if last == ticket.virtual_finish:
        # Give the unused virtual time back to the customer's next request.
        queue.last_finish[ticket.customer] = last - ticket.cost / ticket.weight


def admit_next(state, service, can_run, now, scan=64):
    """Admit the first waiting request for which a backend server has a free slot.

    Parameters
    ----------
    state : Admission
    service : str
    can_run : callable of (ticket,) returning bool
    now : float
    scan : int
        Requests checked from the head of the queue; a request may overtake those
        before it that cannot run yet.

    Returns
    -------
    ticket : Ticket or None
    """
    queue = _queue(state, service)
    for ticket in queue.waiting[:scan]:
        if can_run(ticket):
            # The head of the queue sets the virtual time. A request that overtakes it
            # may have a much later finish time, behind which all new requests would
            # have to queue.
            first = queue.waiting[0]
            queue.virtual_time = max(
                queue.virtual_time, first.virtual_finish - first.cost / first.weight
            )
            queue.waiting.remove(ticket)
            ticket.queued = False
            ticket.admitted = True
            ticket.admitted_at = now
            queue.in_flight += 1
            return ticket
    return None


def expire(state, service, now):
    """Reject requests that waited too long or whose deadline has passed."""
    queue = _queue(state, service)
    expired = [
        ticket
        for ticket in queue.waiting
        if now >= ticket.deadline
        or (now - ticket.queued_at > MAX_QUEUE_TIME_S and not ticket.protected)
    ]
    for ticket in expired:
        _remove(state, queue, ticket)
    wait_s = _retry_after_s(queue, max(1, len(queue.waiting)))
    return [Refusal(ticket, RefusalCause.WAITED, wait_s) for ticket in expired]


def release(state, ticket, now):
    """Release the slot or queue position of a request that ended or was cancelled."""
    if ticket.closed:
        return
    queue = _queue(state, ticket.service)
    if ticket.queued:
        _remove(state, queue, ticket)
        return
    ticket.closed = True
    customer = _customer(state, ticket.customer)
    customer.in_flight -= 1
    if ticket.admitted:
        queue.in_flight -= 1
        queue.service_s.append(now - ticket.admitted_at)
    if customer.in_flight < 0 or queue.in_flight < 0:
        raise errors.InvariantError(
            f"more requests of {ticket.customer} ended than were admitted",
            step="admission.leave",
        )


def drop_idle_customers(state, now):
    """Drop counters of customers without requests for `CUSTOMER_IDLE_S`."""
    for name, customer in list(state.customers.items()):
        if customer.in_flight == 0 and now - customer.demand.updated > CUSTOMER_IDLE_S:
            del state.customers[name]
            for queue in state.queues.values():
                queue.last_finish.pop(name, None)
