"""Ingress of the platform: decodes and validates requests of callers."""

import math
import random

import anyio

from carobstand import eventlog, http1_server
from carobstand.core import (
    expected_work,
    first_attempts,
    latency_model,
    part_ids,
    placement,
    queue_policy,
    routes,
    value_density,
)
from carobstand.entry import (
    configuration_versions,
    fleet,
    forwarding,
    permitted_regions,
    queueing,
    rejections,
)
from carobstand.platform import http_headers

DEFAULT_DEADLINE_S = 30.0
"""Deadline of a request whose caller sets none."""

CALLER_DESCRIPTOR_SHARE = 0.5
"""Share of the descriptors of a process for connections of callers. The smallest VM has
1,535, so 767 callers, of whom there are some hundred. The rest is left for files,
backend servers and other processes."""

RESPONSE_LATENCY_S = 0.03
"""Time reserved for the network latency of the response to the caller."""

CONFIGURATION_RETRY_AFTER_S = 1.0
"""Retry-After while there is no configuration, or it or the keys may be outdated."""


def server(fwd):
    """Return the `http1_server.Server` of the ingress."""

    def limits():
        config = fwd.fleet.configuration
        configured = config.limits if config else routes.CallerLimits()
        return http1_server.Limits(
            max_header_bytes=configured.max_header_bytes,
            max_body_bytes=configured.max_body_bytes,
            header_timeout_s=configured.header_timeout_s,
            idle_timeout_s=configured.idle_timeout_s,
            are_certain=config is not None
            and configuration_versions.may_deny(fwd.fleet, anyio.current_time()),
        )

    async def handle(request, reply):
        await _handle(fwd, request, reply)

    descriptors = fwd.fleet.deployment.max_descriptors
    return http1_server.Server(
        limits,
        handle,
        bodies=fwd.bodies,
        max_connections=int(descriptors * CALLER_DESCRIPTOR_SHARE) or None,
    )


async def _handle(fwd, request, reply):
    try:
        req = http_headers.decode_request(
            request.method, request.target, request.headers
        )
    except ValueError as exc:
        return await rejections.refuse(reply, None, 400, str(exc))
    config = fwd.fleet.configuration
    if config is None:
        return await rejections.refuse(
            reply, req, 503, "no configuration", CONFIGURATION_RETRY_AFTER_S
        )
    route = permitted_regions.find_route(config, req)
    if route is None:
        return await _deny(fwd, request, reply, req, 404, "no route")
    customer = config.customers.get(req.key)
    if config.needs_keys and not route.is_public:
        if not fleet.are_keys_current(fwd.fleet, anyio.current_time()):
            return await rejections.refuse(
                reply, req, 503, "keys not current", CONFIGURATION_RETRY_AFTER_S
            )
        if customer is None:
            return await _deny(fwd, request, reply, req, 401, "unknown key")
    eventlog.debug("request.accepted", request=req.request_id, route=route.name)
    service = routes.pick_service(route, random.random())
    parts = part_ids.shareable(req.prompt_parts)
    customer_name = customer.name if customer else ""
    group = queueing.length_group(route, customer_name, parts)
    size = expected_size(fwd, req, group, config.services.get(service))
    call = forwarding.Call(
        req=req,
        body=request.body,
        route=route,
        service=service,
        customer=customer_name,
        customer_record=customer,
        reply=reply,
        parts=parts,
        whole=part_ids.whole(req.target, customer_name.encode(), request.body),
        size=size,
        terms=queue_policy.Terms(
            arrived=request.received_at,
            target=_target_time(fwd, req, route, request.received_at),
            deadline=deadline(fwd, req, route, request.received_at),
            priority=priority_of(route, customer),
            max_delay_s=_tolerated_delay_s(fwd, config, service),
            advance=_advance(fwd, size, route, config.services.get(service)),
        ),
    )
    return await forwarding.serve(fwd, call)


async def _deny(fwd, request, reply, req, status, reason):
    """Refuse a request that the configuration does not allow.

    The refusal is final only if the configuration is known to be the newest one.
    """
    if not configuration_versions.may_deny(fwd.fleet, request.received_at):
        return await rejections.refuse(
            reply, req, 503, "configuration not current", CONFIGURATION_RETRY_AFTER_S
        )
    configuration_versions.log_denied(fwd.fleet, req, status, anyio.current_time())
    await rejections.refuse(reply, req, status, reason)


def deadline(fwd, req, route, arrived):
    """Return the deadline of the final response, on the loop's clock."""
    requested_s = DEFAULT_DEADLINE_S if req.deadline_s is None else req.deadline_s
    latest = arrived + min(requested_s - RESPONSE_LATENCY_S, route.timeout_s)
    return min(latest, fwd.fleet.stops_at)


def priority_of(route, customer):
    """Return the priority of a customer's requests on a route."""
    if customer is None or customer.priority is None:
        return route.priority
    return customer.priority


def _target_time(fwd, req, route, arrived):
    """Return the target time of the response; infinite if the route has none.

    The target counts from the first attempt of the caller.
    """
    if not route.target_s:
        return math.inf
    elapsed_s = 0.0
    if req.deadline_s is not None:
        key = (route.host, route.prefix)
        state = fwd.deadlines.setdefault(key, first_attempts.Deadlines())
        elapsed_s = first_attempts.observe(state, req.deadline_s)
    return arrived - elapsed_s + route.target_s


def _tolerated_delay_s(fwd, config, name):
    """Return the delay at a server that requests of a service tolerate."""
    if fwd.delays_version != config.version:
        fwd.delays, fwd.delays_version = {}, config.version
    if name not in fwd.delays:
        fwd.delays[name] = shared_delay_s(config, name)
    return fwd.delays[name]


def shared_delay_s(config, name):
    """Return `core.queue_policy.shared_delay_s` of a service."""
    service = config.services.get(name)
    if service is None or service.latency_model is None:
        return math.inf
    usual_tokens = service.latency_model.usual_prompt_tokens
    idle = latency_model.predict(service.latency_model, 0, 0, usual_tokens)
    targets = routes.first_byte_targets_s(config, name)
    return queue_policy.shared_delay_s(targets, idle.first_event_s)


def expected_size(fwd, req, group, service):
    """Return the size of a generation in tokens.

    The size of its answer is the expected one by earlier answers and the caller's
    estimate; without answers that estimate, or the usual size of the service.
    """
    if service is None or service.latency_model is None:
        return placement.Size()
    expected = expected_work.expect(
        fwd.answer_lengths,
        *group,
        req.answer_hint,
        service.latency_model.usual_answer_tokens,
    )
    answer = expected_work.mean_tokens(expected, req.max_answer_tokens)
    return placement.Size(req.prompt_tokens, answer)


def _advance(fwd, size, route, service):
    if service is None or service.latency_model is None or not size.prompt_tokens:
        return 0.0
    sizes = fwd.sizes.setdefault((route.host, route.prefix), value_density.RouteMeans())
    return value_density.advance(
        sizes, service.latency_model, size.prompt_tokens, size.answer_tokens
    )
