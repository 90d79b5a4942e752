"""Limits per customer, weighted fair queues and early refusal."""

import bisect
import collections
import enum
import itertools

import attrs

from carobstand import errors

MAX_WAIT_S = 0.6
"""Estimated wait above which requests are refused on arrival."""

EXPIRE_S = 0.9
"""Longest wait in a queue; a first token within 1.2 s leaves the rest to the engine."""

DEFAULT_QUEUE = 256
"""Queue limit of a service that has none in the table."""

RATE_HALF_LIFE_S = 2.0
"""Time in which the weight of an arrival halves in a rate."""

SERVICE_TIMES = 50
"""Latest requests whose mean time in service is used."""

MIN_SERVICE_TIMES = 5
"""Requests from which the mean time in service is known."""

BURST_S = 1.0
"""Seconds of a customer's rate that may arrive at once."""

TOKENS_PER_COST = 64
"""Tokens of a completion that count as much as one call of a plain service."""

DEFAULT_RETRY_S = 1.0
"""Retry-After while the time in service is not known."""

MAX_RETRY_S = 30.0
"""Longest Retry-After of a full queue."""

IDLE_S = 60.0
"""Time after which the counters of a customer without requests are dropped."""


class Verdict(enum.Enum):
    """Why a request is refused."""

    RATE = "the customer's request rate is reached"
    IN_FLIGHT = "the customer's requests in flight are reached"
    QUEUE_FULL = "the queue is full"
    TOO_LONG = "the queue is longer than can be served in time"
    WAITED = "no backend server had room in time"


@attrs.frozen
class Refusal:
    """A refused ticket and when its caller should try again."""

    ticket: object
    verdict: Verdict
    retry_after_s: float


@attrs.define(eq=False)
class Rate:
    """Events per second, weighted by age."""

    value: float = 0.0
    updated: float = 0.0


def _count(rate, now, n=1.0):
    rate.value = rate_now(rate, now) + n / (RATE_HALF_LIFE_S * 1.4427)
    rate.updated = now


def rate_now(rate, now):
    """Return the events per second at `now`."""
    age_s = max(0.0, now - rate.updated)
    return rate.value * 0.5 ** (age_s / RATE_HALF_LIFE_S)


@attrs.define(eq=False)
class Customer:
    """Use that one customer makes of this entry."""

    tokens: float | None = None
    refilled: float = 0.0
    in_flight: int = 0
    demand: Rate = attrs.field(factory=Rate)
    share: float = 1.0


@attrs.define(eq=False)
class Ticket:
    """A request in admission.

    `order` is its place in the queue: the virtual time at which it would end. A
    `protected` one has a started answer: it is not shed and waits until its deadline.
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
    order: float = 0.0
    seq: int = 0
    queued: bool = False
    protected: bool = False
    admitted: bool = False
    closed: bool = False
    data: object = None


@attrs.define(eq=False)
class Queue:
    """Waiting requests of one service, in the order in which they are served."""

    waiting: list = attrs.field(factory=list)
    virtual: float = 0.0
    finish: dict = attrs.field(factory=dict)
    in_flight: int = 0
    service_s: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=SERVICE_TIMES)
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


def set_shares(state, others, unheard, now):
    """Divide the customers' limits among the entries by their demand.

    Parameters
    ----------
    state : Admission
    others : dict of str to float
        Requests per second of each customer at all other entries.
    unheard : int
        Other entries that have not reported; each counts like this one.
    now : float
    """
    for name, customer in state.customers.items():
        own = rate_now(customer.demand, now)
        total = own * (1 + unheard) + others.get(name, 0.0)
        customer.share = own / total if total > 0 else 1.0 / (1 + unheard)


def demands(state, now):
    """Return (customer, requests per second, in flight) of each active customer."""
    return [
        (name, rate_now(customer.demand, now), customer.in_flight)
        for name, customer in state.customers.items()
        if customer.in_flight or rate_now(customer.demand, now) > 0.01
    ]


def arrive(state, ticket, rate_per_s, max_in_flight, max_queue, now):
    """Check the customer's limits and queue the request.

    Parameters
    ----------
    state : Admission
    ticket : Ticket
    rate_per_s, max_in_flight, max_queue : number or None
        Limits of the table; of the first two this entry has its share.
    now : float

    Returns
    -------
    refusals : list of Refusal
        Requests that are shed; `ticket` may be one of them. Otherwise it is queued.
    """
    customer = _customer(state, ticket.customer)
    _count(customer.demand, now)
    wait_s = _take_token(customer, rate_per_s, now)
    if wait_s > 0:
        ticket.closed = True
        return [Refusal(ticket, Verdict.RATE, wait_s)]
    queue = _queue(state, ticket.service)
    if max_in_flight is not None:
        allowed = max(1, int(max_in_flight * customer.share + 0.5))
        if customer.in_flight >= allowed:
            ticket.closed = True
            return [Refusal(ticket, Verdict.IN_FLIGHT, _retry_s(queue, 1))]
    customer.in_flight += 1
    ticket.queued_at = now
    _enqueue(state, queue, ticket)
    return _shed(state, queue, max_queue)


def _take_token(customer, rate_per_s, now):
    """Return 0 if the customer may send one request now, else the time to wait."""
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
    start = max(queue.virtual, queue.finish.get(ticket.customer, 0.0))
    ticket.order = start + ticket.cost / ticket.weight
    queue.finish[ticket.customer] = ticket.order
    ticket.seq = next(state.counter)
    _insert(queue, ticket)


def _insert(queue, ticket):
    ticket.queued = True
    bisect.insort(queue.waiting, ticket, key=_place)


def _place(ticket):
    return (ticket.order, ticket.seq)


def put_back(state, ticket, ran, now):
    """Queue an admitted request again, first in line.

    Parameters
    ----------
    state : Admission
    ticket : Ticket
    ran : bool
        Whether an attempt may have run; if not, its wait so far still counts.
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
    ticket.order = queue.virtual
    _insert(queue, ticket)


def _drain_s(queue, ahead):
    """Return the estimated time in which `ahead` requests are taken from the queue.

    It follows from the requests in flight and their mean time in service. The rate of
    completions would not do: after a quiet time it is that of the arrivals, and a burst
    would be refused although there is room.
    """
    if len(queue.service_s) < MIN_SERVICE_TIMES or queue.in_flight == 0:
        return None
    mean_s = sum(queue.service_s) / len(queue.service_s)
    return min(MAX_RETRY_S, ahead * mean_s / queue.in_flight)


def _retry_s(queue, ahead):
    drain_s = _drain_s(queue, ahead)
    return DEFAULT_RETRY_S if drain_s is None else drain_s


def _shed(state, queue, max_queue):
    """Refuse requests while the queue is too long for all to be served in time."""
    refusals = []
    limit = DEFAULT_QUEUE if max_queue is None else max_queue
    while len(queue.waiting) > 1:
        drain_s = _drain_s(queue, len(queue.waiting))
        if len(queue.waiting) > max(1, limit):
            verdict = Verdict.QUEUE_FULL
        elif drain_s is not None and drain_s > MAX_WAIT_S:
            verdict = Verdict.TOO_LONG
        else:
            break
        able = [item for item in queue.waiting if not item.protected]
        if not able:
            break
        victim = max(able, key=lambda t: (-t.priority, t.order, t.seq))
        retry_s = _retry_s(queue, len(queue.waiting))
        _remove(state, queue, victim)
        refusals.append(Refusal(victim, verdict, retry_s))
    return refusals


def _remove(state, queue, ticket):
    """Take a waiting request out of the queue without running it."""
    queue.waiting.remove(ticket)
    ticket.queued = False
    ticket.closed = True
    _customer(state, ticket.customer).in_flight -= 1
    last = queue.finish.get(ticket.customer)
    if last == ticket.order:
        # The customer's next request takes over the place that was not used.
        queue.finish[ticket.customer] = last - ticket.cost / ticket.weight


def next_admitted(state, service, can_run, now, scan=64):
    """Admit the first waiting request that some backend server has room for.

    Parameters
    ----------
    state : Admission
    service : str
    can_run : callable of (ticket,) returning bool
    now : float
    scan : int
        Requests looked at; those behind one that has to wait may overtake it.

    Returns
    -------
    ticket : Ticket or None
    """
    queue = _queue(state, service)
    for ticket in queue.waiting[:scan]:
        if can_run(ticket):
            # The first in line sets the virtual time. One that overtakes it may be far
            # ahead, and later requests would have to queue behind its place.
            first = queue.waiting[0]
            queue.virtual = max(queue.virtual, first.order - first.cost / first.weight)
            queue.waiting.remove(ticket)
            ticket.queued = False
            ticket.admitted = True
            ticket.admitted_at = now
            queue.in_flight += 1
            return ticket
    return None


def expire(state, service, now):
    """Refuse requests that waited too long or whose deadline has passed."""
    queue = _queue(state, service)
    late = [
        ticket
        for ticket in queue.waiting
        if now >= ticket.deadline
        or (now - ticket.queued_at > EXPIRE_S and not ticket.protected)
    ]
    for ticket in late:
        _remove(state, queue, ticket)
    wait_s = _retry_s(queue, max(1, len(queue.waiting)))
    return [Refusal(ticket, Verdict.WAITED, wait_s) for ticket in late]


def leave(state, ticket, now):
    """Record that a request ended or that its caller went away."""
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


def forget_idle(state, now):
    """Drop counters of customers that sent nothing for a while."""
    for name, customer in list(state.customers.items()):
        if customer.in_flight == 0 and now - customer.demand.updated > IDLE_S:
            del state.customers[name]
            for queue in state.queues.values():
                queue.finish.pop(name, None)
