"""The platform's ingress: requests of callers, decoded and checked."""

import random

import anyio

from carobstand import eventlog, http1_server
from carobstand.core import routes
from carobstand.entry import fleet, forwarding, queueing
from carobstand.platform import exchanges

DEFAULT_DEADLINE_S = 30.0
"""Time of a request whose caller sets no deadline."""

LATENCY_SLACK_S = 0.03
"""Time left for the way back of an answer at a caller's deadline."""

RETRY_LATER_S = 1.0
"""Retry-After while the configuration is not known or not current."""


def server(fwd):
    """Return the `http1_server.Server` of the ingress."""

    def limits():
        config = fwd.fleet.configuration
        usual = config.limits if config else routes.CallerLimits()
        return http1_server.Limits(
            max_header_bytes=usual.max_header_bytes,
            max_body_bytes=usual.max_body_bytes,
            header_timeout_s=usual.header_timeout_s,
            idle_timeout_s=usual.idle_timeout_s,
        )

    async def handle(request, reply):
        await _handle(fwd, request, reply)

    return http1_server.Server(limits, handle)


async def _handle(fwd, request, reply):
    try:
        req = exchanges.inbound(request.method, request.target, request.headers)
    except ValueError as exc:
        return await forwarding.refuse(reply, None, 400, str(exc))
    config = fwd.fleet.configuration
    if config is None:
        return await forwarding.refuse(
            reply, req, 503, "no configuration", RETRY_LATER_S
        )
    host = req.host.partition(":")[0]
    route = routes.find_route(config, host, req.target.decode("latin-1"))
    if route is None:
        return await forwarding.refuse(reply, req, 404, "no route")
    customer = config.customers.get(req.key)
    if config.needs_keys and not route.is_public:
        if not fleet.are_keys_current(fwd.fleet, anyio.current_time()):
            return await forwarding.refuse(
                reply, req, 503, "keys not current", RETRY_LATER_S
            )
        if customer is None:
            return await forwarding.refuse(reply, req, 401, "unknown key")
    eventlog.debug("request.accepted", request=req.request_id, route=route.name)
    call = forwarding.Call(
        req=req,
        body=request.body,
        route=route,
        service=routes.pick_service(route, random.random()),
        customer=customer.name if customer else "",
        reply=reply,
        terms=queueing.terms_of(
            route, customer, request.arrived, _deadline(req, route, request.arrived)
        ),
    )
    return await forwarding.serve(fwd, call)


def _deadline(req, route, arrived):
    """Return the loop's time of the final answer at the latest."""
    wanted_s = DEFAULT_DEADLINE_S if req.deadline_s is None else req.deadline_s
    return arrived + min(wanted_s - LATENCY_SLACK_S, route.timeout_s)
