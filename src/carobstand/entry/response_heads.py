"""Records what the heads of responses tell of backend servers."""

import anyio

from carobstand import eventlog
from carobstand.core import announcements, engine_load, registry
from carobstand.entry import server_limits


def record(fwd, call, chosen, head):
    """Record the load that the head of a response tells, and log the response.

    Parameters
    ----------
    fwd : entry.forwarding.Forwarder
    call : entry.forwarding.Call
    chosen : core.placement.Choice
    head : core.exchange.AnswerHead
    """
    _record_load(fwd, chosen.candidate.server, head)
    _log_start(call, chosen, head)


def _record_load(fwd, server, head):
    """Record the load that a server tells; ignore a response from another one there."""
    if head.load is None or head.server_id not in ("", server.server_id):
        return
    now, load = anyio.current_time(), head.load
    engine_load.update_from_answer(fwd.loads, server, load.running, load.waiting, now)
    if load.slowness is not None:
        engine_load.note_slowness(fwd.loads, server.address, load.slowness, now)


def record_announcements(fwd, call, server, head):
    """Record what a server announces; ignore a response from another server there.

    To be called when a head is received: the rest of the response may never arrive.
    """
    if head.server_id and head.server_id != server.server_id:
        return
    now, announced = anyio.current_time(), fwd.fleet.announced
    server_id, started_ms = server.server_id, newest_start(fwd, server)
    if head.is_leaving and announcements.record_leaving(
        announced, server_id, started_ms, now
    ):
        eventlog.event("server.said_leaving", server=server_id, start=started_ms)
    if head.backoff_s is not None:
        announcements.record_pause(
            announced, server_id, started_ms, head.backoff_s, now
        )
        eventlog.event("server.wants_quiet", server=server_id, pause_s=head.backoff_s)
    if not head.is_leaving and head.status != 421 and (head.is_signed or head.not_run):
        registry.record_staying(fwd.fleet.servers, server_id, call.sent_at)
    if head.status != 421 or head.server_id:
        server_limits.record_answer(
            fwd.limits, server_id, started_ms, head, call.sent_at
        )


def newest_start(fwd, server):
    """Return the latest known start of a server, in Unix ms."""
    load = fwd.loads.by_address.get(server.address)
    return max(server.started_ms, load.started_ms if load else 0)


def _log_start(call, chosen, head):
    now = anyio.current_time()
    eventlog.event(
        "attempt.began",
        request=call.req.request_id,
        server=chosen.candidate.server.server_id,
        status=head.status,
        occupancy=round(chosen.occupancy, 1),
        predicted_s=round(chosen.first_event_s, 3),
        margin_s=round(chosen.margin_s, 3),
        slowness=round(chosen.candidate.slowness, 2),
        told_slowness=head.load and head.load.slowness,
        took_s=round(now - call.sent_at, 3),
        held_s=round(call.sent_at - call.terms.arrived, 3),
        report_age_s=chosen.candidate.load
        and round(call.sent_at - chosen.candidate.load.received_at, 3),
        prompt=call.size.prompt_tokens,
        answer=round(call.size.answer_tokens),
        hint=call.req.answer_hint,
    )
