"""Messages between entries about limits of servers and permits."""

import math

import anyio

from carobstand.core import exchange, permit_rates
from carobstand.wire.gen_fleet import ttypes

WARM_NEWS_S = 10.0
"""Time for which messages tell that a server is warm after a statement to that effect;
no cold time that others may still assume is expected to last longer."""


def _statement(limits, server_id):
    """Return the fields of a message that say what a server said of its limit."""
    known = limits.fleet.announced.by_server.get(server_id)
    fields = {"server_id": server_id, "started_ms": 0, "named_ms": -1}
    if known is None:
        return fields
    now = anyio.current_time()
    fields.update(_cold_statement(known, now))
    if math.isfinite(known.limit_named_at):
        age_s = now - known.limit_named_at
        fields["limit"] = known.limit
        fields["named_ms"] = max(0, int(age_s * 1000))
    if len(fields) > 3:
        fields["started_ms"] = known.started_ms
    return fields


def _cold_statement(known, now):
    """Return the fields of a message that say whether a server is cold."""
    left_s, age_s = max(0.0, known.cold_until - now), now - known.cold_named_at
    if known.warmup is None or (not left_s and age_s > WARM_NEWS_S):
        return {}
    fields = {
        "cold_ms": min(exchange.MAX_COLD_MS, int(left_s * 1000)),
        "sustained_per_s": known.warmup.sustained_per_s,
    }
    if math.isfinite(age_s):
        fields["cold_named_ms"] = min(exchange.MAX_COLD_MS, max(0, int(age_s * 1000)))
    return fields


def permit_request(limits, server_id, wanted=0, number=0, rank=permit_rates.Rank.FIRST):
    """Return a request for permits; if 0 are wanted, it only passes on the limit."""
    dep = limits.fleet.deployment
    return ttypes.PermitRequest(
        **_statement(limits, server_id),
        vm=dep.vm,
        address=f"{dep.ip}:{dep.internal_ports[0]}",
        wanted=wanted,
        number=number,
        is_deputy=rank is permit_rates.Rank.DEPUTY,
    )


def permit_reply(limits, server_id, **fields):
    """Return a reply that grants permits; without `number` it passes on the limit."""
    defaults = {
        "number": 0,
        "granted": 0,
        "is_granting": True,
        "interval_ms": 0,
        "refresh_ms": 0,
        "is_deputy": False,
    }
    return ttypes.PermitReply(**_statement(limits, server_id), **{**defaults, **fields})
