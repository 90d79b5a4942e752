"""Stand-in for a plain service that counts how often it ran each order."""

import collections
import json

import anyio
import attrs

from carobstand.standin import web


@attrs.define(eq=False)
class PlainState:
    """Counters of the orders that were run.

    `work_s` is the time that one run takes, in seconds. `started` counts all runs per
    order id, `finished` those that were not interrupted.
    """

    name: str = "plain"
    work_s: float = 0.0
    started: collections.Counter = attrs.field(factory=collections.Counter)
    finished: collections.Counter = attrs.field(factory=collections.Counter)
    running: int = 0


def site(state=None):
    """Return the service as a `web.Site`.

    The order id of a request is the member ``order_id`` of its JSON body, else its
    query parameter of that name. The query parameter ``status`` sets the status of the
    response and ``bytes`` its minimum size in bytes.
    """
    state = state or PlainState()

    async def handle(req):
        if req.path == "/load" and req.method == "GET":
            report = {"running": state.running, "waiting": 0}
            return web.json_response({**report, "cache_used": 0.0, "age_s": 0.0})
        return await _run_order(state, req)

    def stats():
        return {
            "runs": dict(state.started),
            "finished": dict(state.finished),
            "doubled": repeated_orders(state),
        }

    return web.Site(state.name, handle, stats)


def repeated_orders(state):
    """Return the order ids that ran more than once, sorted."""
    return sorted(order for order, runs in state.started.items() if runs > 1)


async def _run_order(state, req):
    order = _order_id(req)
    status = int(req.query.get("status", 200))
    padding = int(req.query.get("bytes", 0))
    if order:
        state.started[order] += 1
    state.running += 1
    try:
        if state.work_s:
            await anyio.sleep(state.work_s)
    finally:
        state.running -= 1
    if order:
        state.finished[order] += 1
    report = {
        "service": state.name,
        "method": req.method,
        "path": req.path,
        "order_id": order,
        "run": state.started[order] if order else 0,
        "padding": "x" * padding,
    }
    return web.json_response(report, status)


def _order_id(req):
    try:
        body = json.loads(req.body)
    except ValueError:
        body = None
    if isinstance(body, dict) and "order_id" in body:
        return str(body["order_id"])
    return req.query.get("order_id", "")
