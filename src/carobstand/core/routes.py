"""Operators' configuration: routes, services, customers and limits for callers."""

import enum

import attrs


class Kind(enum.Enum):
    """Whether the requests of a route may be retried or resumed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "once"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class Route:
    """Rules for the requests to one host whose path starts with `prefix`.

    Attributes
    ----------
    shares : tuple of (str, float)
        Services and their traffic weights.
    timeout_s : float
        Maximum time until the final answer to a request.
    target_s : float
        Time to the first byte within which an answer earns its full credit; 0 for no
        target.
    max_servers : int
        Maximum number of attempts; `core.send_limits` tells which sends count.
    is_public : bool
        Whether requests need no API key.
    is_resumable : bool
        Whether a stream may be resumed on another backend server.
    max_gap_s : float
        Maximum time between two events of a stream that counts as on time.
    permitted_regions : frozenset of str
        Regions whose servers may run the requests; empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple
    timeout_s: float
    target_s: float = 0.0
    max_servers: int = 1
    priority: int = 0
    is_public: bool = False
    is_resumable: bool = False
    max_gap_s: float = 0.0
    permitted_regions: frozenset = frozenset()


@attrs.frozen(kw_only=True)
class LatencyModel:
    """Latency model parameters of a service's engines, published by the platform.

    A decode step takes ``step_s + per_sequence_s * sequences + context_s_per_token *
    context tokens`` and yields one token per running sequence. A pass consists of
    `steps_per_pass` steps and prefills at most `prompt_tokens_per_step` prompt tokens,
    at `prefill_tokens_per_s` plus `attention_pair_s` per pair of tokens of a prompt.
    """

    slots: int
    step_s: float
    per_sequence_s: float
    context_s_per_token: float
    prefill_tokens_per_s: float
    attention_pair_s: float
    prompt_tokens_per_step: int
    steps_per_pass: int
    usual_prompt_tokens: int
    usual_answer_tokens: int
    cache_tokens: int
    report_lag_s: float
    load_s: float


@attrs.frozen(kw_only=True)
class Weights:
    """Shape of the weights of a service's model."""

    models: tuple
    layers: int
    pieces: int
    piece_bytes: int


@attrs.frozen(kw_only=True)
class Origin:
    """Server from which weights are fetched, and its limits."""

    address: str
    failure_domain: str
    bytes_per_s: float
    max_connections: int


@attrs.frozen(kw_only=True)
class Service:
    """One service; `latency_model` and `weights` are None if it runs no model.

    `cold_time_s` is the time for which its servers are cold after they start, and
    `sustained_per_s` the requests per second that a cold one sustains, 0 for no limit.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    latency_model: LatencyModel | None = None
    weights: Weights | None = None
    origin: Origin | None = None
    cold_time_s: float = 0.0
    sustained_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Size limits and timeouts for the connections of callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class Customer:
    """A customer.

    Attributes
    ----------
    name : str
    priority : int or None
        None: the priority of the route applies.
    permitted_regions : frozenset of str
        Regions whose servers may run the requests; empty for all.
    """

    name: str
    priority: int | None = None
    permitted_regions: frozenset = frozenset()


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes
    ----------
    version : int
    routes : dict of str to dict of str to Route
        By host, then by prefix.
    services : dict of str to Service
    limits : CallerLimits
    customers : dict of str to Customer
        By API key.
    needs_keys : bool
        Whether requests to routes that are not public need an API key.
    """

    version: int
    routes: dict
    services: dict
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    customers: dict = attrs.field(factory=dict)
    needs_keys: bool = False


def find_route(config, host, path):
    """Return the route of `host` whose prefix is the longest one of `path`, or None.

    Prefixes end with a slash, so only prefixes that end at a path segment are tried.
    """
    prefixes = config.routes.get(host)
    if not prefixes:
        return None
    path = path.partition("?")[0]
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def first_byte_targets_s(config, service):
    """Return the target times to the first byte of all routes to a service."""
    return [
        route.target_s
        for prefixes in config.routes.values()
        for route in prefixes.values()
        if any(name == service for name, _ in route.shares)
    ]


def permitted_regions(route, customer):
    """Return the regions whose servers may run a request.

    Parameters
    ----------
    route : Route
    customer : Customer or None

    Returns
    -------
    regions : frozenset of str or None
        None for all; empty if the route and the customer have no region in common.
    """
    limited = [item.permitted_regions for item in (route, customer) if item is not None]
    limited = [regions for regions in limited if regions]
    return frozenset.intersection(*limited) if limited else None


def share_regions(first, second):
    """Return whether two requests may run in the same region.

    Parameters
    ----------
    first, second : frozenset of str or None
        Regions allowed to each; None for all.
    """
    if first is None or second is None:
        return first != frozenset() and second != frozenset()
    return not first.isdisjoint(second)


def pick_service(route, draw):
    """Return the name of the service for a request, by traffic weight.

    Parameters
    ----------
    route : Route
    draw : float
        Random number, uniform in [0, 1).
    """
    total = sum(weight for _, weight in route.shares)
    remaining = draw * total
    for name, weight in route.shares:
        remaining -= weight
        if remaining < 0:
            return name
    return route.shares[-1][0]


def is_retryable(route):
    """Whether a request to the route may run more than once."""
    if route.kind is Kind.STREAM:
        return route.is_resumable
    return route.kind is Kind.IDEMPOTENT


def is_newer(current, candidate):
    """Return whether `candidate` replaces the `current` configuration."""
    return current is None or candidate.version > current.version
