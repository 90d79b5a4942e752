"""Explains where a request would go now, to an operator who asks.

Nothing is sent, no permit is requested and nothing is learned from the question.
"""

import math

import anyio
import attrs

from carobstand.core import eligibility, exchange, queue_policy
from carobstand.entry import (
    demand_exchange,
    fleet,
    forwarding,
    ingress,
    permitted_regions,
    queueing,
)
from carobstand.wire.gen_fleet import ttypes

AVOIDED = "lost requests recently"
"""Reason of servers that are used only if there are no others."""

SEND, HOLD, REJECT = "send", "hold", "reject"

_VERDICTS = {
    queue_policy.Verdict.SEND: SEND,
    queue_policy.Verdict.HOLD: HOLD,
    queue_policy.Verdict.REFUSE: REJECT,
}


def explain(fwd, request):
    """Return the `ExplainReply` to an `ExplainRequest`.

    The request counts as the first attempt of its caller, with the default deadline. Of
    a route with several services, the one with the largest share is explained.
    """
    reply = ttypes.ExplainReply(
        vm=fwd.fleet.deployment.vm,
        verdict=REJECT,
        reason="",
        route="",
        service_name="",
        service_share=0.0,
        customer="",
        admitted_part=1.0,
        ranked=[],
        excluded=[],
    )
    config, req = fwd.fleet.configuration, _decode(request)
    if config is None:
        reply.reason = "no configuration"
        return reply
    route = permitted_regions.find_route(config, req)
    if route is None:
        reply.reason = "no route"
        return reply
    customer = config.customers.get(req.key)
    reply.route = route.name
    reply.customer = customer.name if customer else ""
    reply.reason = _key_problem(fwd, config, route, customer)
    if not reply.reason:
        _assess(fwd, _call(fwd, config, req, route, customer), reply)
    return reply


def _decode(request):
    return exchange.Inbound(
        method=b"POST",
        target=(request.path or "").encode(),
        host=(request.host or "").lower(),
        key=request.key or "",
        prompt_tokens=max(0, request.prompt_tokens or 0),
        max_answer_tokens=max(0, request.max_answer_tokens or 0),
    )


def _key_problem(fwd, config, route, customer):
    """Return why the API key is not accepted, empty if it is."""
    if not config.needs_keys or route.is_public:
        return ""
    if not fleet.are_keys_current(fwd.fleet, anyio.current_time()):
        return "keys not current"
    return "" if customer else "unknown key"


def _call(fwd, config, req, route, customer):
    """Return the `Call` of a request that arrives now."""
    now, name = anyio.current_time(), customer.name if customer else ""
    service = max(route.shares, key=lambda share: share[1])[0]
    group = queueing.length_group(route, name, ())
    size = ingress.expected_size(fwd, req, group, config.services.get(service))
    return forwarding.Call(
        req=req,
        body=b"",
        route=route,
        service=service,
        customer=name,
        customer_record=customer,
        reply=None,
        size=size,
        terms=queue_policy.Terms(
            arrived=now,
            target=now + route.target_s if route.target_s else math.inf,
            deadline=ingress.deadline(fwd, req, route, now),
            priority=ingress.priority_of(route, customer),
            max_delay_s=ingress.shared_delay_s(config, service),
        ),
    )


def _assess(fwd, call, reply):
    """Add the service, its servers and the verdict to a reply."""
    shares = call.route.shares
    reply.service_name = call.service
    total = sum(weight for _, weight in shares)
    own = sum(weight for name, weight in shares if name == call.service)
    reply.service_share = own / total if total else 0.0
    regions = permitted_regions.of_call(fwd.fleet, call)
    reply.permitted_regions = None if regions is None else sorted(regions)
    if queueing.can_be_on_time(fwd, call):
        reply.admitted_part = demand_exchange.admitted_part(fwd, call)
        if reply.admitted_part <= 0.0:
            call.terms = attrs.evolve(call.terms, is_admitted=False)
    choices, excluded, verdict, is_behind = queueing.assess(fwd, call)
    reply.ranked = [_ranked(choice) for choice in choices]
    reply.excluded = _excluded(fwd, call, choices, excluded)
    if is_behind:
        reply.verdict = HOLD
        reply.reason = "requests with precedence wait for the same servers"
        return
    reply.verdict = _VERDICTS[verdict]
    reply.reason = _reason(call, choices, excluded, verdict)


def _reason(call, choices, excluded, verdict):
    if verdict is queue_policy.Verdict.SEND:
        return f"to {choices[0].candidate.server.server_id}"
    if not excluded and not choices:
        return "the service has no servers"
    if not choices:
        is_final = all(map(eligibility.is_final, excluded.values()))
        return f"no server takes it{'' if is_final else ' now'}"
    if not call.terms.is_admitted:
        return "it exceeds the fair share, and no server has spare capacity"
    if verdict is queue_policy.Verdict.HOLD:
        return "a server may have room in time"
    return "no server has room in time"


def _ranked(choice):
    server = choice.candidate.server
    return ttypes.RankedServer(
        server_id=server.server_id,
        failure_domain=server.failure_domain,
        first_event_s=choice.first_event_s,
        margin_s=choice.margin_s,
        occupancy=choice.occupancy,
        slowness=choice.candidate.slowness,
        cost_s=choice.cost_s,
    )


def _excluded(fwd, call, choices, excluded):
    """Return the servers of the service that were not ranked, by id."""
    ranked = {choice.candidate.server.server_id for choice in choices}
    found = []
    for server_id, server in sorted(fwd.fleet.servers.servers.items()):
        if server.service != call.service or server_id in ranked:
            continue
        reason = excluded.get(server_id)
        text = reason.value if reason else AVOIDED
        found.append(ttypes.ExcludedServer(server_id, server.failure_domain, text))
    return found
