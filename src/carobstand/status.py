"""HTTP status port of a process: health, metrics and state."""

import json
import time

import attrs

from carobstand import metrics
from carobstand.platform import http
from carobstand.wire import connection
from carobstand.wire.gen import ttypes

TEXT = "text/plain; charset=utf-8"
JSON = "application/json"


def app(state, ready):
    """Return the ASGI application of the status port.

    Parameters
    ----------
    state : entry.state.EntryState or agent.state.AgentState
    ready : callable without arguments
        Returns whether the process accepts new work.

    Returns
    -------
    application : ASGI application
        ``/healthz`` is 200 while the process runs; ``/readyz`` is 200 or 503;
        ``/metrics`` is Prometheus text; ``/status`` is JSON.
    """

    def respond(path):
        if path == "/healthz":
            return 200, TEXT, "ok\n"
        if path == "/readyz":
            return (200, TEXT, "ready\n") if ready() else (503, TEXT, "not ready\n")
        if path == "/metrics":
            return 200, TEXT, metrics.render(state.metrics)
        if path == "/status":
            body = describe(state, ready(), time.time())
            return 200, JSON, json.dumps(body, sort_keys=True) + "\n"
        return 404, TEXT, "not found\n"

    async def application(scope, receive, send):
        if scope["type"] == "lifespan":
            return await _lifespan(receive, send)
        if scope["type"] != "http":
            return None
        if scope["method"] not in ("GET", "HEAD"):
            status, content_type, text = 405, TEXT, "only GET and HEAD\n"
        else:
            status, content_type, text = respond(scope["path"])
        await _send(send, status, content_type, text, scope["method"] == "HEAD")

    return application


async def _lifespan(receive, send):
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _send(send, status, content_type, text, head):
    body = text.encode()
    headers = [
        (b"content-type", content_type.encode()),
        (b"content-length", str(len(body)).encode()),
        (b"cache-control", b"no-store"),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b"" if head else body})


def describe(state, ready, now):
    """Return the content of ``/status``.

    Parameters
    ----------
    state : entry.state.EntryState or agent.state.AgentState
    ready : bool
    now : float
        Seconds since the epoch.

    Returns
    -------
    body : dict
        JSON-compatible.
    """
    cfg = state.cfg
    body = {
        "vm": cfg.vm,
        "start_id": state.start_id,
        "failure_domain": cfg.failure_domain,
        "region": cfg.region,
        "ready": ready,
        "leaving": state.leaving,
        "table_revision": state.table.revision if state.table else 0,
        "now": now,
        "traffic": {
            "wire_bytes": connection.TRAFFIC.total(),
            "http_bytes": http.TRAFFIC.total(),
        },
    }
    if hasattr(state, "plans"):
        return {**body, **_describe_entry(state, now)}
    return {**body, **_describe_agent(state)}


def _describe_entry(state, now):
    agents = {
        vm: _describe_member(state, peer, now) for vm, peer in _sorted_agents(state)
    }
    return {
        "role": "entry",
        "store_up": state.store_up,
        "plan_revisions": {name: plan.revision for name, plan in state.plans.items()},
        "attempt_floor": state.attempt_floor,
        "control": state.describe_control(),
        "agents": agents,
        "entries": sorted(state.entries),
        "behind": sorted(vm for vm, agent in agents.items() if agent["behind"]),
    }


def _sorted_agents(state):
    return sorted(state.agents.items())


def _describe_member(state, peer, now):
    """Describe an agent, including the lag of its table in revisions and seconds."""
    heartbeat = peer.heartbeat or ttypes.Heartbeat()
    held = heartbeat.table_revision or 0
    current = state.table.revision if state.table else 0
    newer_records = [
        record
        for record in (state.table.history if state.table else ())
        if record.revision > held
    ]
    behind = max(0, current - held)
    return {
        "start_id": peer.hello.start_id,
        "failure_domain": peer.hello.failure_domain,
        "leaving": bool(peer.leaving or heartbeat.leaving),
        "backend_up": heartbeat.backend_up,
        "running_attempts": heartbeat.running_attempts,
        "table_revision": held,
        "plan_revisions": dict(heartbeat.plan_revisions or {}),
        "behind": behind,
        "behind_s": max(0.0, now - newer_records[0].when)
        if behind and newer_records
        else None,
        "replicas": [
            _describe_replica(replica) for replica in heartbeat.replicas or ()
        ],
        **_describe_connection(peer.conn),
    }


def _describe_agent(state):
    return {
        "role": "agent",
        "services": list(state.cfg.services),
        "plan_revisions": {
            name: assignment.plan_revision
            for name, assignment in state.assignments.items()
        },
        "backend_up": state.backend_up,
        "running_attempts": state.running_attempts,
        "replicas": [
            _describe_replica(replica)
            for _, replica in sorted(state.replicas.items(), key=lambda item: item[0])
        ],
        "entries": {
            vm: _describe_connection(conn) for vm, conn in sorted(state.entries.items())
        },
    }


def _describe_replica(replica):
    phase = replica.phase
    return {
        "service": replica.service_name,
        "version": replica.version,
        "manifest": replica.manifest,
        "phase": ttypes.ReplicaPhase._VALUES_TO_NAMES.get(phase, str(phase)).lower(),
        "bytes_verified": replica.bytes_verified,
        "bytes_total": replica.bytes_total,
        "origin_bytes": replica.origin_bytes,
        "detail": replica.detail or "",
    }


def _describe_connection(conn):
    fields = ("address", "bytes_sent", "bytes_received", "queued_bytes")
    names = {field.name for field in attrs.fields(type(conn))}
    return {name: getattr(conn, name) for name in fields if name in names}
