"""HTTP client of a platform engine: its report, orders and staged weights."""

import json
import math
import urllib.parse

import attrs

from carobstand import errors, http1_calls
from carobstand.core import engine_report
from carobstand.platform import fields, http_headers, records

CALL_TIMEOUT_S = 2.0
"""Timeout of a call to the engine on the same VM."""

HEALTH_STATUSES = (200, 421, 429, 503)
"""Statuses of health checks that an engine answers or rejects."""

MAX_RESPONSE_BYTES = 1_048_576
"""Largest response accepted; a piece of weights has some ten kilobytes."""


MAX_CACHED_TOKENS = 2**53
"""Largest figure of an engine's memory that counts; a larger one is an error, and would
not fit into the i64 of reports to entries."""


@attrs.frozen
class Staged:
    """Result of an order: accepted, already in effect, or conflicting.

    An order conflicts if it does not fit the engine's state.
    """

    accepted: bool
    status: int


async def fetch_report(caller):
    """Return the `EngineReport` of an engine; raise BackendError."""
    resp = await _call(caller, "report", "GET", "/v1/report")
    try:
        return decode_report(fields.parse(resp.body, "report"))
    except errors.RecordError as exc:
        raise errors.BackendError(
            exc.message, step="engine.report", peer=caller.address
        ) from exc


async def check_health(caller, path):
    """Return what an engine says of itself; raise BackendError if it says nothing.

    Returns
    -------
    head : core.exchange.AnswerHead
        Its status is 200 if the engine is healthy and not leaving.
    """
    resp = await _call(caller, "health", "GET", path, allowed=HEALTH_STATUSES)
    return http_headers.decode_health(resp.status, resp.headers)


def decode_report(record):
    """Return the `EngineReport` of a record; raise RecordError."""
    return engine_report.EngineReport(
        holding=records.decode_holding(record),
        is_busy=record.flag("busy"),
        orders=record.integer("sequence", 0, most=fields.MAX_INTEGER),
        running=record.integer("running", 0),
        waiting=record.integer("waiting", 0),
        started_ms=record.integer("born", 0, most=fields.MAX_INTEGER),
        slowness=record.number("pace", 1.0),
        held_tokens=_cached_tokens(record, "kv_cache_used"),
        memory_tokens=_cached_tokens(record, "kv_cache_total"),
    )


def _cached_tokens(record, name):
    """Return a figure of an engine's memory in tokens, or None if it is not known.

    The engine counts tokens x layers. A malformed figure is not an error: the engine
    serves requests without it.
    """
    try:
        layers = record.record("layers")
        count = layers.integer("to", 0) - layers.integer("from", 0)
        value = record.number(name, -1, least=-1, most=MAX_CACHED_TOKENS)
    except errors.RecordError:
        return None
    if count <= 0 or value < 0:
        return None
    return math.ceil(value / count)


async def load_staged(caller, model, version, expected_orders):
    """Order the engine to load the staged weights once its running requests end.

    Returns
    -------
    status : int
        202 if the load has begun, 200 if it is already in effect, 409 if the order
        conflicts with the engine's state.
    """
    body = {
        "operation": "start",
        "model": model,
        "version": version,
        "strategy": "wait",
        "expected": expected_orders,
    }
    raw = json.dumps(body).encode()
    resp = await _call(
        caller, "order", "POST", "/v1/order", raw, allowed=(200, 202, 409)
    )
    return resp.status


async def stage_piece(caller, model, number, data):
    """Upload one piece to the staging area of the engine."""
    target = f"/v1/stage-put/{_quote(model)}?number={number}"
    await _call(caller, "stage", "PUT", target, data, allowed=(200, 201, 202, 204))


async def fetch_staged_piece(caller, model, number):
    """Return the bytes of a staged piece, or None if it is not staged."""
    target = f"/v1/stage-get/{_quote(model)}?number={number}"
    resp = await _call(caller, "staged", "GET", target, allowed=(200, 404))
    return resp.body if resp.status == 200 else None


async def list_staged_pieces(caller, model):
    """Return the numbers of the staged pieces."""
    resp = await _call(
        caller, "held", "GET", f"/v1/stage-get/{_quote(model)}", allowed=(200, 404)
    )
    if resp.status == 404:
        return frozenset()
    try:
        held = fields.parse(resp.body, "held").items("held")
    except errors.RecordError as exc:
        raise errors.BackendError(
            exc.message, step="engine.held", peer=caller.address
        ) from exc
    return frozenset(number for number in held if type(number) is int)


def _quote(model):
    return urllib.parse.quote(model, safe="")


async def _call(caller, step, method, target, body=b"", allowed=(200,)):
    try:
        resp = await http1_calls.call(
            caller,
            method,
            target,
            body=body,
            timeout_s=CALL_TIMEOUT_S,
            max_bytes=MAX_RESPONSE_BYTES,
        )
    except errors.HttpError as exc:
        raise errors.BackendError(
            exc.message, step=f"engine.{step}", peer=caller.address
        ) from exc
    if resp.status not in allowed:
        raise errors.BackendError(
            f"status {resp.status}: {resp.body[:80]!r}",
            step=f"engine.{step}",
            peer=caller.address,
        )
    return resp
