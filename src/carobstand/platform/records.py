"""Records that operators and backend servers write into the platform's store."""

import re

import attrs

from carobstand import errors
from carobstand.core import registry, routes
from carobstand.platform import fields

CONFIGURATION_KEY = "op/config"
VERSION_PREFIX = "op/version/"
OPERATOR_PREFIX = "op/"
SERVER_PREFIX = "servers/"

_KINDS = {
    "safe": routes.Kind.IDEMPOTENT,
    "unsafe": routes.Kind.NON_IDEMPOTENT,
    "streaming": routes.Kind.STREAM,
}

_STATES = {"ready": True, "draining": False}

_ADDRESS = re.compile(r"[0-9a-fA-F.:\[\]]+:[0-9]{1,5}")


@attrs.frozen
class NamedVersion:
    """Weights that the engines are to be brought to."""

    model: str
    version: int


def configuration(raw):
    """Decode the newest configuration; raise RecordError if it cannot be read."""
    record = fields.parse(raw, "configuration")
    by_host = {}
    for route in map(_route, record.records("routes")):
        by_host.setdefault(route.host, {})[route.prefix] = route
    services = [_service(item) for item in record.records("services")]
    tenants = record.records("tenants")
    return routes.Configuration(
        version=record.whole("version"),
        routes=by_host,
        services={service.name: service for service in services},
        limits=_limits(record.record("limits")),
        customers=dict(pair for item in tenants for pair in _customers(item)),
        needs_keys="tenants" in record.data,
    )


def _route(record):
    kind = record.text("type")
    if kind not in _KINDS:
        raise errors.RecordError(f"type: {kind!r} is not known", step=record.step)
    shares = tuple(
        (item.text("service"), float(item.number("weight", 1)))
        for item in record.records("traffic_split")
    )
    return routes.Route(
        name=record.text("name", ""),
        host=record.text("host").lower(),
        prefix=record.text("prefix"),
        kind=_KINDS[kind],
        shares=shares or ((record.text("service"), 1.0),),
        timeout_s=record.seconds("timeout_ms"),
        target_s=record.seconds("target_latency_ms", 0),
        max_servers=record.whole("max_attempts", 1),
        priority=record.whole("priority", 0),
        is_public=record.flag("public"),
        is_resumable=record.flag("stream_resumption"),
        max_gap_s=record.seconds("target_gap_ms", 0),
    )


def _service(record):
    engine = record.record("engine")
    name = record.text("name")
    origin = None
    if "origin" in record.data:
        origin = routes.Origin(
            address=record.text("origin"),
            failure_domain=record.text("zone", ""),
            bytes_per_s=record.number("link_mbps", 0) * 1e6 / 8,
            max_connections=record.whole("max_connections", 1),
        )
    return routes.Service(
        name=name,
        health_path=record.text("health_check_path", ""),
        max_connections=record.whole("max_connections", 0),
        latency_model=_latency_model(engine) if "slots" in engine.data else None,
        weights=_weights(engine) if "chunks" in engine.data else None,
        origin=origin,
    )


def _latency_model(record):
    usual = record.record("usual")
    models = record.records("models")
    return routes.LatencyModel(
        slots=record.whole("slots"),
        step_s=record.seconds("step_ms", 0),
        per_sequence_s=record.seconds("per_seq_ms", 0),
        # The platform counts this per 1,000 tokens of context.
        context_s_per_token=record.seconds("context_per_k", 0) / 1000,
        prefill_tokens_per_s=record.number("read_per_s", 0),
        # The platform counts this per million pairs of tokens.
        attention_pair_s=record.seconds("pairs_per_m", 0) / 1e6,
        prompt_tokens_per_step=record.whole("chunk", 0),
        steps_per_pass=record.whole("stride", 1),
        usual_prompt_tokens=usual.whole("prompt", 0),
        usual_answer_tokens=usual.whole("answer", 0),
        cache_tokens=record.whole("kv_cache_tokens", 0),
        report_lag_s=record.seconds("report_lag_ms", 0),
        load_s=max((item.number("warm_s", 0) for item in models), default=0.0),
    )


def _weights(record):
    models = tuple(item.text("name") for item in record.records("models"))
    return routes.Weights(
        models=models,
        layers=record.whole("layers", 1),
        pieces=record.whole("chunks"),
        piece_bytes=record.whole("chunk_bytes"),
    )


def _limits(record):
    usual = routes.CallerLimits()
    return routes.CallerLimits(
        max_header_bytes=record.whole("max_header_bytes", usual.max_header_bytes),
        max_body_bytes=record.whole("max_body_bytes", usual.max_body_bytes),
        header_timeout_s=record.seconds(
            "header_timeout_ms", usual.header_timeout_s * 1000
        ),
        idle_timeout_s=record.seconds("idle_timeout_ms", usual.idle_timeout_s * 1000),
    )


def _customers(record):
    priority = record.whole("priority") if "priority" in record.data else None
    customer = routes.Customer(name=record.text("name"), priority=priority)
    for key in record.items("api_keys"):
        if not isinstance(key, str):
            raise errors.RecordError("api_keys: not texts", step=record.step)
        yield key, customer


def server(key, raw):
    """Decode the entry of a backend server.

    Parameters
    ----------
    key : str
        Key of the item, which names the server.
    raw : bytes

    Returns
    -------
    registration : core.registry.Registration

    Raises
    ------
    RecordError
        If the entry names no server to use, for example that of another writer.
    """
    record = fields.parse(raw, key)
    state = record.text("state")
    if state not in _STATES:
        raise errors.RecordError(f"state: {state!r} is not known", step=key)
    address = record.text("address")
    if not _ADDRESS.fullmatch(address):
        raise errors.RecordError(f"address: {address!r} is not HOST:PORT", step=key)
    return registry.Registration(
        server_id=key.removeprefix(SERVER_PREFIX),
        service=record.text("service"),
        address=address,
        failure_domain=record.text("zone", ""),
        slots=record.whole("slots", 0),
        is_ready=_STATES[state],
        holding=holding(record),
        runs_model="models" in record.data,
        started_ms=record.whole("born", 0),
    )


def holding(record):
    """Return the `Holding` of what an engine says of itself, or None."""
    models = record.records("models")
    if not models:
        return None
    layers = record.record("layers")
    if "layers" in record.data and not layers.data:
        return None
    version = models[0].whole("version")
    if not layers.data:
        return registry.Holding(model=models[0].text("name"), version=version)
    return registry.Holding(
        model=models[0].text("name"),
        version=layers.whole("version", version),
        start=layers.whole("from", 0),
        end=layers.whole("to", 0),
    )


def named_version(raw):
    """Decode the declaration of new weights; raise RecordError."""
    record = fields.parse(raw, "version")
    return NamedVersion(record.text("model"), record.whole("version"))
