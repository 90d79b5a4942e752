"""Builders of platform records and of the types decoded from them, for tests."""

import json

from carobstand.core import (
    deployment,
    engine_load,
    placement,
    queue_policy,
    registry,
    routes,
)

LATENCY_MODEL = routes.LatencyModel(
    slots=16,
    step_s=0.00673,
    per_sequence_s=0.0000219,
    context_s_per_token=0.0000000068,
    prefill_tokens_per_s=30600.0,
    attention_pair_s=0.000000000647,
    prompt_tokens_per_step=2048,
    steps_per_pass=6,
    usual_prompt_tokens=964,
    usual_answer_tokens=119,
    cache_tokens=1640000,
    report_lag_s=0.2,
    load_s=0.3,
)


def settings_record(**changes):
    """Return the settings file of an entry, as the platform writes it."""
    record = {
        "node_name": "frontend-a-1",
        "ip_address": "127.0.0.1",
        "zone": "a",
        "region": "north",
        "zones": {"a": "north", "b": "south"},
        "listen_addresses": {
            "frontend": "127.0.0.1:8005",
            "readiness": "127.0.0.1:8002",
        },
        "internal_port_range": [7700, 7715],
        "heartbeat_interval_ms": 1200,
        "limits": {"memory_mb": 300, "link_mbps": 8.0},
        "bounds": {
            "drain_ms": 2000,
            "grace_s": 8,
            "retry_budget_slack": 106,
            "evacuation_ms": 4000,
            "warmup_overshoot": 1.2,
            "warmup_slack": 7,
        },
        "platform": {"address": "127.0.0.1:8007", "min_ttl_ms": 1000},
    }
    return {**record, **changes}


def route_record(**changes):
    """Return a route as operators write it."""
    record = {
        "name": "r-1",
        "host": "one.example",
        "prefix": "/a/",
        "type": "streaming",
        "timeout_ms": 6000,
        "target_latency_ms": 405,
        "priority": 1,
        "service": "drafter",
        "max_attempts": 2,
        "stream_resumption": True,
        "target_gap_ms": 300,
    }
    return {**record, **changes}


ENGINE_RECORD = {
    "slots": 16,
    "kv_cache_tokens": 1640000,
    "stride": 6,
    "models": [{"name": "m", "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}],
    "step_ms": 6.73,
    "per_seq_ms": 0.0219,
    "context_per_k": 0.0068,
    "read_per_s": 30600.0,
    "pairs_per_m": 0.647,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 964, "answer": 119},
    "layers": 16,
    "chunks": 96,
    "chunk_bytes": 24576,
}


def configuration_record(**changes):
    """Return a configuration as operators write it."""
    record = {
        "version": 7,
        "routes": [route_record()],
        "services": [
            {
                "name": "drafter",
                "health_check_path": "/health",
                "max_connections": 274,
                "engine": ENGINE_RECORD,
            },
            {
                "name": "weights",
                "origin": "127.0.0.1:8006",
                "warmup_s": 3,
                "warmup_per_s": 26,
                "zone": "a",
                "link_mbps": 7.3,
                "max_connections": 48,
            },
        ],
        "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
        "tenants": [{"name": "acme", "api_keys": ["k1", "k2"], "priority": 1}],
    }
    return {**record, **changes}


def server_record(**changes):
    """Return the record that a model engine writes to the store."""
    record = {
        "service": "drafter",
        "address": "127.0.0.1:9001",
        "zone": "a",
        "slots": 16,
        "state": "ready",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "layers": {"from": 0, "to": 16, "version": 1},
        "sequence": 4,
        "born": 1000,
    }
    return {**record, **changes}


def encode_record(record):
    """Return a record as JSON, as the store holds it."""
    return json.dumps(record).encode()


def registration(server_id="i-1", **changes):
    """Return the registration of an engine with version 1 of model ``m``."""
    fields = {
        "server_id": server_id,
        "service": "drafter",
        "address": f"10.0.0.{server_id.rpartition('-')[2]}:9000",
        "failure_domain": "a",
        "slots": 16,
        "is_ready": True,
        "holding": registry.Holding(model="m", version=1),
        "runs_model": True,
        "started_ms": 1000,
    }
    return registry.Registration(**{**fields, **changes})


def load_report(server, **changes):
    """Return a current load report of a registered engine."""
    fields = {
        "address": server.address,
        "started_ms": server.started_ms,
        "number": 1,
        "running": 0,
        "waiting": 0,
        "slowness": 1.0,
        "is_busy": False,
        "holding": server.holding,
        "received_at": 0.0,
    }
    return engine_load.EngineLoad(**{**fields, **changes})


def service(**changes):
    """Return a service of model engines."""
    fields = {"name": "drafter", "max_connections": 274, "latency_model": LATENCY_MODEL}
    return routes.Service(**{**fields, **changes})


def route(**changes):
    """Return a route of resumable streams."""
    fields = {
        "name": "r-1",
        "host": "one.example",
        "prefix": "/a/",
        "kind": routes.Kind.STREAM,
        "shares": (("drafter", 1.0),),
        "timeout_s": 6.0,
        "target_s": 0.405,
        "max_servers": 2,
        "is_resumable": True,
    }
    return routes.Route(**{**fields, **changes})


ENTRY_LOCATION = placement.EntryLocation(
    failure_domain="a", regions={"a": "north", "b": "south"}, others=0
)


def terms(**changes):
    """Return the time limits and priority of a request that arrived at time 0."""
    fields = {"arrived": 0.0, "target": 0.405, "deadline": 6.0, "priority": 1}
    return queue_policy.Terms(**{**fields, **changes})


def deployment_of(vm, ip, **changes):
    """Return the `Deployment` of an entry in failure domain ``a``."""
    fields = {
        "vm": vm,
        "ip": ip,
        "failure_domain": "a",
        "region": "north",
        "regions": {"a": "north"},
        "internal_ports": (7700, 7715),
        "store_address": "",
    }
    return deployment.Deployment(**{**fields, **changes})


def bounds(**changes):
    """Return the `Bounds` of a deployment."""
    return deployment.Bounds(**changes)
