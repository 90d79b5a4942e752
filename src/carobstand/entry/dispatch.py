"""Processing of one request: choice of a backend server, attempts, answer."""

import json

import anyio
import attrs

from carobstand import errors, logs
from carobstand.entry import calls, tries
from carobstand.wire import handlers
from carobstand.wire.gen import ttypes

HOLD_BYTES = 256 * 1024
"""Answer bytes held until the answer is whole, unless it is an event stream.

A held answer can be retried without the caller noticing, and its outcome header is
known when it is sent.
"""

RETRY_AFTER_S = 1.0
"""Time after which a refused caller may try again, if nothing better is known."""

MAX_TRIES = 4
"""Most attempts of one request, all on different backend servers."""


@attrs.define(eq=False)
class Dispatcher:
    """State of request processing in one entry."""

    book: tries.Tries = attrs.field(factory=tries.Tries)
    in_flight: dict = attrs.field(factory=dict)


def attach(state):
    """Return the dispatcher of `state`, making it at the first call."""
    if state.dispatcher is None:
        state.dispatcher = Dispatcher()
    return state.dispatcher


def part(state):
    """Return the handlers and the loop that serve attempts of this entry."""
    dp = attach(state)

    async def on_batch(conn, message):
        tries.on_frames(dp.book, conn, message)

    async def on_revoke_reply(conn, message):
        pass

    async def run():
        await tries.watch(state, dp.book)

    return handlers.Part(
        {ttypes.AnswerBatch: on_batch, ttypes.RevokeReply: on_revoke_reply}, run
    )


async def handle(state, call, sink):
    """Answer one request.

    Parameters
    ----------
    state : entry.state.EntryState
    call : calls.Call
    sink : object
        Async methods ``head(status, headers, outcome)``, ``data(bytes)`` and
        ``end()``; each waits while the caller reads slowly.

    Raises
    ------
    calls.RefusedError
        If the request gets a problem document. Nothing was passed to `sink`.
    calls.CutError
        If the answer cannot be completed after its start was delivered.
    calls.CallerGoneError
        If `sink` reports that the caller has gone.
    """
    dp = attach(state)
    if not call.idempotent:
        raise calls.RefusedError(503, "Calls that must not be repeated are off")
    used = set()
    reason = "no backend server"
    delivery = Delivery(sink)
    while len(used) < MAX_TRIES:
        peer, version = _choose(state, dp, call, used)
        if peer is None:
            break
        used.add(peer.hello.vm)
        finished, reason = await _attempt(state, dp, call, peer, version, delivery)
        if finished:
            return
    raise calls.RefusedError(
        503, "No answer", reason, calls.NOT_RUN, retry_after_s=RETRY_AFTER_S
    )


@attrs.define(eq=False)
class Delivery:
    """What the caller has received so far, over all attempts of a request."""

    sink: object
    started: bool = False
    held: bytearray = attrs.field(factory=bytearray)
    offset: int = 0


async def _attempt(state, dp, call, peer, version, delivery):
    """Make one attempt; return whether the request is finished, and why not."""
    t = tries.reserve(state, dp.book)
    vm = peer.hello.vm
    dp.in_flight[vm] = dp.in_flight.get(vm, 0) + 1
    try:
        tries.send(state, t, peer, _message(call, version, delivery.offset))
        logs.event(
            "attempt.sent",
            request=call.request_id,
            attempt=t.attempt_id,
            version=version,
            peer=vm,
        )
        await _receive(t, call, delivery)
        return _judge(t)
    except (errors.ConnectionClosedError, errors.WireError) as exc:
        return False, exc.message
    finally:
        dp.in_flight[vm] -= 1
        tries.cancel(t)
        tries.release(state, dp.book, t)


def _message(call, version, offset):
    body = call.body
    if call.model is not None:
        model = f"{call.service.name}:{version}"
        body = json.dumps({**call.model, "model": model}).encode()
    left_s = call.deadline - anyio.current_time()
    return ttypes.Attempt(
        request_id=call.request_id,
        service_name=call.service.name,
        version=version,
        method=call.method,
        path=call.path,
        headers=[ttypes.Header(name, value) for name, value in call.headers],
        body=body,
        idempotent=call.idempotent,
        deadline_ms=int(left_s * 1000),
        priority=call.customer.priority or 0,
        customer=call.customer.name,
        offset=offset,
        fingerprint=call.fingerprint,
    )


async def _receive(t, call, delivery):
    """Deliver the answer of `t` until it ends or the deadline passes."""
    while True:
        left_s = call.deadline - anyio.current_time()
        if left_s <= 0:
            return
        await tries.wait(t, left_s)
        data = tries.take_data(t)
        if t.answer.status is not None:
            await _deliver(t, delivery, data)
        if tries.ended(t):
            return


async def _deliver(t, delivery, data):
    stream = _is_event_stream(t.answer.headers)
    delivery.held += data
    whole = t.final is not None and t.final.outcome == ttypes.Outcome.DONE
    if not delivery.started:
        if not (whole or stream or len(delivery.held) > HOLD_BYTES):
            tries.delivered(t, t.answer.end)
            return
        outcome = calls.DONE if whole else None
        delivery.started = True
        await delivery.sink.head(t.answer.status, t.answer.headers, outcome)
    if delivery.held:
        data = bytes(delivery.held)
        delivery.held.clear()
        await delivery.sink.data(data)
        delivery.offset += len(data)
        tries.delivered(t, delivery.offset)
    if whole:
        await delivery.sink.end()


def _is_event_stream(headers):
    return any(
        name.lower() == "content-type" and value.startswith("text/event-stream")
        for name, value in headers
    )


def _judge(t):
    """Return whether the request is finished; otherwise why not."""
    final = t.final
    if final is not None and final.outcome == ttypes.Outcome.DONE:
        return True, ""
    if final is not None and final.outcome == ttypes.Outcome.NOT_RUN:
        return False, final.reason
    reason = (final.reason if final else t.lost_detail) or "deadline passed"
    raise calls.RefusedError(502, "Outcome unknown", reason, calls.UNKNOWN)


def _choose(state, dp, call, used):
    """Return an agent and a version that it serves, or (None, '')."""
    best, best_version, best_load = None, "", None
    for vm, peer in state.agents.items():
        if vm in used or peer.conn.closed.is_set() or peer.leaving:
            continue
        version = _served(peer, call)
        load = dp.in_flight.get(vm, 0)
        if version is not None and (best is None or load < best_load):
            best, best_version, best_load = peer, version, load
    return best, best_version


def _served(peer, call):
    beat = peer.heartbeat
    if beat is None or beat.leaving or not beat.backend_up:
        return None
    if call.service.type == "plain":
        return "" if call.service.name in (peer.hello.services or ()) else None
    for replica in beat.replicas or ():
        if replica.phase != ttypes.ReplicaPhase.SERVING:
            continue
        if replica.service_name != call.service.name:
            continue
        if call.version in ("", replica.version):
            return replica.version
    return None
