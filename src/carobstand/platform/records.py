"""Records that operators and backend servers write into the platform's store."""

import json
import math
import re
import reprlib

import attrs

from carobstand import errors
from carobstand.core import exchange, registry, routes
from carobstand.platform import fields

CONFIGURATION_KEY = "op/config"
VERSION_PREFIX = "op/version/"
EVACUATION_PREFIX = "op/evacuate/"
OPERATOR_PREFIX = "op/"
SERVER_PREFIX = "servers/"

MAX_PIECES = 65_536
"""Most pieces of a version: a manifest has 32 bytes of digest for each, and a frame
between processes 2 MB."""

_KINDS = {
    "safe": routes.Kind.IDEMPOTENT,
    "unsafe": routes.Kind.NON_IDEMPOTENT,
    "streaming": routes.Kind.STREAM,
}

_TARGET = re.compile("/[!-~]*")
"""Target of a request: visible ASCII characters without blanks."""

_STATES = {"ready": True, "draining": False}


@attrs.frozen
class NamedVersion:
    """Weights version that the engines of a model are to serve."""

    model: str
    version: int


def decode_configuration(raw):
    """Decode the routing configuration; raise RecordError if it is malformed."""
    record = fields.parse(raw, "configuration")
    by_host = {}
    for route in map(_route, record.records("routes")):
        by_host.setdefault(route.host, {})[route.prefix] = route
    services = [_service(item) for item in record.records("services")]
    tenants = record.records("tenants")
    return routes.Configuration(
        version=record.integer("version"),
        routes=by_host,
        services={service.name: service for service in services},
        limits=_limits(record.record("limits")),
        customers=dict(pair for item in tenants for pair in _customers(item)),
        needs_keys="tenants" in record.data,
    )


def services_only(raw):
    """Return a configuration as JSON with its services, without routes and customers.

    Raises
    ------
    RecordError
        If it is malformed.
    """
    record = fields.parse(raw, "configuration")
    kept = {name: record.data.get(name) for name in ("version", "services")}
    return json.dumps(kept).encode()


def _route(record):
    kind = record.text("type")
    if kind not in _KINDS:
        raise record.error("type", "known")
    shares = tuple(
        (item.name("service"), float(item.number("weight", 1)))
        for item in record.records("traffic_split")
    )
    return routes.Route(
        name=record.text("name", ""),
        host=record.text("host").lower(),
        prefix=record.text("prefix"),
        kind=_KINDS[kind],
        shares=shares or ((record.name("service"), 1.0),),
        timeout_s=record.seconds("timeout_ms"),
        target_s=record.seconds("target_latency_ms", 0),
        max_servers=record.integer("max_attempts", 1),
        priority=record.integer("priority", 0),
        is_public=record.flag("public"),
        is_resumable=record.flag("stream_resumption"),
        max_gap_s=record.seconds("target_gap_ms", 0),
        permitted_regions=_permitted_regions(record),
    )


def _permitted_regions(record):
    names = record.items("allowed_regions")
    if not all(isinstance(name, str) and fields.is_printable(name) for name in names):
        raise record.error("allowed_regions", "a list of regions")
    return frozenset(names)


def _service(record):
    engine = record.record("engine")
    name = record.name("name")
    origin = None
    if "origin" in record.data:
        origin = routes.Origin(
            address=record.address("origin"),
            failure_domain=record.name("zone", ""),
            bytes_per_s=record.number("link_mbps", 0) * 1e6 / 8,
            max_connections=record.integer("max_connections", 1),
        )
    return routes.Service(
        name=name,
        health_path=_health_path(record),
        max_connections=record.integer("max_connections", 0),
        latency_model=_latency_model(engine) if "slots" in engine.data else None,
        weights=_weights(engine) if "chunks" in engine.data else None,
        origin=origin,
        cold_time_s=float(record.number("warmup_s", 0)),
        sustained_per_s=float(record.number("warmup_per_s", 0)),
    )


def _health_path(record):
    """Return the target of health checks, which a request line must be able to hold."""
    path = record.text("health_check_path", "")
    if path and not _TARGET.fullmatch(path):
        raise record.error("health_check_path", "a path")
    return path


def _latency_model(record):
    usual = record.record("usual")
    models = record.records("models")
    return routes.LatencyModel(
        slots=record.integer("slots", least=1),
        step_s=record.seconds("step_ms", 0),
        per_sequence_s=record.seconds("per_seq_ms", 0),
        # The platform states this per 1,000 tokens of context.
        context_s_per_token=record.seconds("context_per_k", 0) / 1000,
        prefill_tokens_per_s=record.number("read_per_s", 0),
        # The platform states this per million pairs of tokens.
        attention_pair_s=record.seconds("pairs_per_m", 0) / 1e6,
        prompt_tokens_per_step=record.integer("chunk", 0),
        steps_per_pass=record.integer("stride", 1, least=1),
        usual_prompt_tokens=usual.integer("prompt", 0),
        usual_answer_tokens=usual.integer("answer", 0),
        cache_tokens=record.integer("kv_cache_tokens", 0, most=fields.MAX_INTEGER),
        report_lag_s=record.seconds("report_lag_ms", 0),
        load_s=max((item.number("warm_s", 0) for item in models), default=0.0),
    )


def _weights(record):
    models = tuple(item.name("name") for item in record.records("models"))
    if not models:
        raise record.error("models", "a list with a model")
    return routes.Weights(
        models=models,
        layers=record.integer("layers", 1, least=1),
        pieces=record.integer("chunks", least=1, most=MAX_PIECES),
        piece_bytes=record.integer("chunk_bytes", least=1),
    )


def _limits(record):
    defaults = routes.CallerLimits()
    return routes.CallerLimits(
        max_header_bytes=record.integer(
            "max_header_bytes", defaults.max_header_bytes, most=fields.MAX_INTEGER
        ),
        max_body_bytes=record.integer(
            "max_body_bytes", defaults.max_body_bytes, most=fields.MAX_INTEGER
        ),
        header_timeout_s=record.seconds(
            "header_timeout_ms", defaults.header_timeout_s * 1000
        ),
        idle_timeout_s=record.seconds(
            "idle_timeout_ms", defaults.idle_timeout_s * 1000
        ),
    )


def _customers(record):
    priority = record.integer("priority") if "priority" in record.data else None
    customer = routes.Customer(
        name=record.name("name"),
        priority=priority,
        permitted_regions=_permitted_regions(record),
    )
    for key in record.items("api_keys"):
        if not isinstance(key, str):
            raise record.error("api_keys", "a list of strings")
        yield key, customer


def decode_registration(key, raw):
    """Decode the registration of a backend server.

    Parameters
    ----------
    key : str
        Key of the item; it contains the id of the server.
    raw : bytes

    Returns
    -------
    registration : core.registry.Registration

    Raises
    ------
    RecordError
        If the value is not a usable registration, for example because another program
        wrote it.
    """
    record = fields.parse(raw, "server")
    state = record.text("state")
    if state not in _STATES:
        raise record.error("state", "known")
    server_id = key.removeprefix(SERVER_PREFIX)
    if not fields.is_name(server_id):
        raise errors.RecordError("the key names no server", step="server")
    cold_s, malformed_cold = _cold(record.data.get("warmup_remaining_ms"))
    return registry.Registration(
        server_id=server_id,
        service=record.name("service"),
        address=record.address("address"),
        failure_domain=record.name("zone", ""),
        slots=record.integer("slots", 0),
        is_ready=_STATES[state],
        holding=decode_holding(record),
        runs_model="models" in record.data,
        started_ms=record.integer("born", 0, most=fields.MAX_INTEGER),
        heartbeats=record.integer("sequence", 0, most=fields.MAX_INTEGER),
        cold_s=cold_s,
        malformed_cold=malformed_cold,
    )


def _cold(value_ms):
    """Return the remaining cold time in s, or None, and the value if malformed."""
    if value_ms is None:
        return None, ""
    is_number = isinstance(value_ms, (int, float)) and not isinstance(value_ms, bool)
    if is_number and 0 <= value_ms < math.inf:
        return min(value_ms, exchange.MAX_COLD_MS) / 1000, ""
    return None, f"{reprlib.repr(value_ms):.80}"


def decode_holding(record):
    """Return the `Holding` that an engine reports, or None if it reports none."""
    models = record.records("models")
    if not models:
        return None
    layers = record.record("layers")
    if "layers" in record.data and not layers.data:
        return None
    version = models[0].integer("version")
    if not layers.data:
        return registry.Holding(model=models[0].name("name"), version=version)
    return registry.Holding(
        model=models[0].name("name"),
        version=layers.integer("version", version),
        start=layers.integer("from", 0),
        end=layers.integer("to", 0),
    )


def is_evacuation_key(key):
    """Whether a key is meant to be an evacuation mark, even if it is malformed."""
    return f"{key}/".startswith(EVACUATION_PREFIX)


def decode_evacuation_key(key):
    """Return the failure domain that an evacuation mark names.

    The value of the key says nothing. RecordError is raised if the key names none.
    """
    failure_domain = key.removeprefix(EVACUATION_PREFIX)
    if failure_domain == key or not failure_domain or "/" in failure_domain:
        raise errors.RecordError("the key names no failure domain", step="evacuation")
    return failure_domain


def decode_named_version(raw):
    """Decode the announcement of a weights version; raise RecordError if malformed."""
    record = fields.parse(raw, "version")
    return NamedVersion(record.name("model"), record.integer("version"))
