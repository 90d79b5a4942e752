"""The platform's ingress: requests of callers, decoded and checked."""

import math
import random

import anyio

from carobstand import eventlog, http1_server
from carobstand.core import first_attempts, pace, placement, routes, value, waiting
from carobstand.entry import fleet, forwarding
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
    service = routes.pick_service(route, random.random())
    size = _size(req, config.services.get(service))
    call = forwarding.Call(
        req=req,
        body=request.body,
        route=route,
        service=service,
        customer=customer.name if customer else "",
        reply=reply,
        size=size,
        terms=waiting.Terms(
            arrived=request.arrived,
            target=_target(fwd, req, route, request.arrived),
            deadline=_deadline(fwd, req, route, request.arrived),
            priority=_priority(route, customer),
            delay_s=_delay_s(fwd, config, service),
            advance=_advance(fwd, size, route, config.services.get(service)),
        ),
    )
    return await forwarding.serve(fwd, call)


def _deadline(fwd, req, route, arrived):
    """Return the loop's time of the final answer at the latest."""
    wanted_s = DEFAULT_DEADLINE_S if req.deadline_s is None else req.deadline_s
    latest = arrived + min(wanted_s - LATENCY_SLACK_S, route.timeout_s)
    return min(latest, fwd.fleet.stops_at)


def _priority(route, customer):
    if customer is None or customer.priority is None:
        return route.priority
    return customer.priority


def _target(fwd, req, route, arrived):
    """Return the time up to which an answer is on time, without end if there is none.

    It counts from the caller's first attempt.
    """
    if not route.target_s:
        return math.inf
    elapsed_s = 0.0
    if req.deadline_s is not None:
        key = (route.host, route.prefix)
        state = fwd.deadlines.setdefault(key, first_attempts.Deadlines())
        elapsed_s = first_attempts.observe(state, req.deadline_s)
    return arrived - elapsed_s + route.target_s


def _delay_s(fwd, config, name):
    """Return the delay that a request of a service may find at a server."""
    if fwd.delays_of != config.version:
        fwd.delays, fwd.delays_of = {}, config.version
    if name not in fwd.delays:
        service = config.services.get(name)
        if service is None or service.pace is None:
            fwd.delays[name] = math.inf
        else:
            usual = service.pace.usual_prompt_tokens
            idle = pace.predict(service.pace, 0, 0, usual)
            targets = routes.targets_of(config, name)
            fwd.delays[name] = waiting.shared_delay_s(targets, idle.first_event_s)
    return fwd.delays[name]


def _size(req, service):
    """Return the size of a generation; its answer's is the caller's guess or usual."""
    if service is None or service.pace is None:
        return placement.Size()
    usual = service.pace.usual_answer_tokens
    answer = req.answer_hint or min(usual, req.max_answer_tokens or usual)
    return placement.Size(req.prompt_tokens, answer)


def _advance(fwd, size, route, service):
    if service is None or service.pace is None or not size.prompt_tokens:
        return 0.0
    sizes = fwd.sizes.setdefault((route.host, route.prefix), value.Sizes())
    return value.advance(sizes, service.pace, size.prompt_tokens, size.answer_tokens)
