"""Forwards streams; detects stalled servers, and moves streams to other servers."""

import anyio

from carobstand import errors, http1, http1_server
from carobstand.core import (
    engine_load,
    event_stream,
    latency_model,
    routes,
    server_work,
    stalls,
)
from carobstand.entry import poison_parts, queueing, retries, server_choice

STALL_GAP_FACTOR = 3
"""Factor on the maximum gap, or target time, of the route: a retryable request whose
server is silent for longer is moved to another server."""

STALL_MIN_S = 1.0
"""Minimum silence that counts as a stall; passes with long prompts are far shorter."""

MOVE_MAX_RUNNING = 6
"""Streams are moved off a server about to load only if it runs at most this many: then
a move lets it become idle sooner. On a fuller server the others take as long anyway."""

MOVE_MIN_REMAINING_S = 0.4
"""Minimum predicted remaining time that justifies a move, which repeats the prefill."""

MOVE_MAX_GAP_S = 0.2
"""Maximum predicted gap in a stream that moves."""

MOVE_BUDGET_SHARE = 0.4
"""Share of the retry budget that moves may use; the rest is reserved for faults."""


async def forward_stream(fwd, call, chosen, conn, head, data):
    """Forward a stream to the caller, by complete events.

    Parameters
    ----------
    fwd : entry.forwarding.Forwarder
    call : entry.forwarding.Call
    chosen : core.placement.Choice
    conn : http1.Connection
    head : platform.http_headers.AnswerHead
    data : bytes or None
        First bytes of the body.

    Returns
    -------
    outcome : entry.retries.Outcome
        DONE or MOVED.
    """
    if not head.is_signed:
        raise errors.HttpError(
            "stream without signature", step="forward.receive", peer=conn.peer
        )
    events = call.events
    event_stream.resume(events)
    delivered = events.events
    while data is not None:
        before = events.events
        complete = event_stream.feed(events, data)
        if not events.in_order or events.is_too_long:
            reason = "events out of order" if complete else "an event is too long"
            raise errors.HttpError(reason, step="forward.receive", peer=conn.peer)
        if events.events > before:
            queueing.record_events(fwd, call, chosen, events.events - before)
            if not call.has_begun:
                call.has_begun = True
                poison_parts.record_answer(fwd, call)
        if complete and not call.reply.started:
            await http1_server.start_response_with(
                call.reply, 200, head.headers, complete
            )
        elif complete:
            await http1_server.send_data(call.reply, complete)
        if complete and _should_move(fwd, call, chosen):
            return retries.Outcome.MOVED
        data = await _receive_more(fwd, call, conn, events.events > before)
    is_empty = events.events == delivered
    if events.pending or (is_empty and not head.is_framed):
        reason = "stream ended " + ("before" if is_empty else "within") + " an event"
        raise errors.HttpError(reason, step="forward.receive", peer=conn.peer)
    if not call.reply.started:
        await http1_server.start_response(call.reply, 200, head.headers)
    queueing.record_answer_length(fwd, call)
    await http1_server.finish_response(call.reply)
    return retries.Outcome.DONE


async def _receive_more(fwd, call, conn, is_progress):
    """Return more of a stream; only complete events count as progress."""
    if is_progress:
        call.progress_at = anyio.current_time()
    return await receive_unless_stalled(fwd, call, conn, http1.receive_data)


async def receive_unless_stalled(fwd, call, conn, receive):
    """Return ``await receive(conn)``; raise if a stalled request should be moved.

    A merely slow server is waited for. A request is moved only after a silence far
    beyond the gaps that the route allows, and only if another server can start it at
    once. Pauses of this process count little.

    Raises
    ------
    HttpError
        If the server stalled and another one can continue.
    """
    if not routes.is_retryable(call.route):
        return await receive(conn)
    stall_s = max(STALL_MIN_S, STALL_GAP_FACTOR * _allowed_wait_s(call))
    silent_s = anyio.current_time() - max(call.progress_at, call.sent_at)
    while True:
        wait_s = stalls.next_wait_s(silent_s, stall_s)
        with anyio.move_on_after(wait_s):
            return await receive(conn)
        silent_s += wait_s
        if not stalls.is_stalled(silent_s, stall_s):
            continue
        if _can_switch_server(fwd, call):
            raise errors.HttpError(
                f"no progress for {stall_s:.1f} s",
                step="forward.receive",
                peer=conn.peer,
            )
        call.progress_at, silent_s = anyio.current_time(), 0.0


def _allowed_wait_s(call):
    """Return the route's limit for the time to the first event or between two."""
    return call.route.max_gap_s if call.reply.started else call.route.target_s


def _can_switch_server(fwd, call):
    """Return whether another server can take a call now and the budget allows it."""
    if not retries.may_retry(call, retries.Outcome.UNKNOWN):
        return False
    return queueing.can_start_within(
        fwd, call, MOVE_MAX_GAP_S
    ) and retries.reserve_retry(fwd, call)


def _should_move(fwd, call, chosen):
    """Return whether to move a stream so that its server can load weights sooner.

    A server that was ordered to load first finishes its running requests and accepts
    no others meanwhile; one long response would leave all its other slots idle.
    """
    server = chosen.candidate.server
    load = engine_load.fresh_load(fwd.loads, server, anyio.current_time())
    if load is None or not load.is_busy or load.running > MOVE_MAX_RUNNING:
        return False
    if not retries.may_retry(call, retries.Outcome.UNKNOWN):
        return False
    service = server_choice.service_of(fwd, call)
    if service is None or service.latency_model is None:
        return False
    received_tokens = call.events.events * service.latency_model.steps_per_pass
    remaining_tokens = server_work.remaining_tokens(
        call.size.answer_tokens, received_tokens
    )
    if (
        latency_model.answer_s(service.latency_model, remaining_tokens, load.running)
        < MOVE_MIN_REMAINING_S
    ):
        return False
    if not queueing.can_start_within(fwd, call, MOVE_MAX_GAP_S):
        return False
    return retries.reserve_retry(fwd, call, MOVE_BUDGET_SHARE)
