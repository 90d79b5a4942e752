"""Configuration in force: routes, services, customers and limits of callers."""

import enum

import attrs


class Kind(enum.Enum):
    """What may be repeated: the requests of a route, all of one kind."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class Route:
    """Requests of one host whose path begins with `prefix`.

    Attributes
    ----------
    shares : tuple of (str, float)
        Services and their weights.
    timeout_s : float
        Longest time that a request is kept waiting for its final answer.
    target_s : float
        Time to the first byte within which an answer earns its full credit.
    max_servers : int
        Most backend servers to which one request is sent.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a stream may go on at another backend server.
    max_gap_s : float
        Longest pause between events of a stream that is still on time.
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


@attrs.frozen(kw_only=True)
class Pace:
    """How fast the engines of a service work, as the platform publishes it.

    A step of a pass takes ``step_s + per_writer_s * writers + context_s_per_token *
    context tokens`` and yields one token per writer; a pass has `steps_per_pass` steps
    and reads at most `prompt_tokens_per_step` prompt tokens at `read_tokens_per_s`.
    """

    slots: int
    step_s: float
    per_writer_s: float
    context_s_per_token: float
    read_tokens_per_s: float
    pair_s: float
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
    """Where weights come from."""

    address: str
    failure_domain: str
    bytes_per_s: float
    max_connections: int


@attrs.frozen(kw_only=True)
class Service:
    """One service. `pace` and `weights` are None where it runs no model."""

    name: str
    health_path: str = ""
    max_connections: int = 0
    pace: Pace | None = None
    weights: Weights | None = None
    origin: Origin | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class Customer:
    """A customer; `priority` None leaves that of the route."""

    name: str
    priority: int | None = None


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
        By key.
    needs_keys : bool
        Whether requests on routes that are not public carry a key.
    """

    version: int
    routes: dict
    services: dict
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    customers: dict = attrs.field(factory=dict)
    needs_keys: bool = False


def find_route(config, host, path):
    """Return the route of `host` with the longest prefix of `path`, or None.

    Prefixes end with a slash, so only those of whole path segments are looked up.
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


def targets_of(config, service):
    """Return the times to the first byte wanted by routes that lead to a service."""
    return [
        route.target_s
        for prefixes in config.routes.values()
        for route in prefixes.values()
        if any(name == service for name, _ in route.shares)
    ]


def pick_service(route, draw):
    """Return the name of the service that gets a request.

    Parameters
    ----------
    route : Route
    draw : float
        Uniform in [0, 1).
    """
    total = sum(weight for _, weight in route.shares)
    left = draw * total
    for name, weight in route.shares:
        left -= weight
        if left < 0:
            return name
    return route.shares[-1][0]


def may_repeat(route):
    """Whether a request of the route may run more than once."""
    if route.kind is Kind.STREAM:
        return route.is_resumable
    return route.kind is Kind.IDEMPOTENT


def newer(current, candidate):
    """Return whether `candidate` replaces the configuration in force."""
    return current is None or candidate.version > current.version
