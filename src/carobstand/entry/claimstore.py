"""Claims in the configuration store, and agents that are asked about them."""

import anyio
import attrs

from carobstand import errors, logs
from carobstand.core import attempts, claims, events
from carobstand.entry import suspecting
from carobstand.wire import connection
from carobstand.wire.gen import ttypes

ASK_TIMEOUT_S = 2.0
"""Longest wait for an agent's reply about an attempt."""

STORE_OUTCOME_S = 600.0
"""Time in which an outcome is written again while the store is down.

Until then the attempt stays open, so that its agent keeps the response.
"""

STORE_RETRY_S = 0.5
STORE_RETRY_MAX_S = 5.0

MAX_UNSTORED = 256
"""Outcomes that wait for the store; the oldest is given up beyond it."""

_PHASES = {
    ttypes.AttemptPhase.NOT_SEEN: attempts.Phase.NOT_SEEN,
    ttypes.AttemptPhase.RUNNING: attempts.Phase.RUNNING,
    ttypes.AttemptPhase.FINISHED: attempts.Phase.FINISHED,
    ttypes.AttemptPhase.REFUSED: attempts.Phase.REFUSED,
}


@attrs.define(eq=False)
class Claims:
    """Questions to agents that wait for a reply, and outcomes to be stored."""

    asked: dict = attrs.field(factory=dict)
    lease: suspecting.Lease = attrs.field(factory=suspecting.Lease)
    unstored: int = 0


async def write(state, claiming, key, claim, expect):
    """Write a claim; return the event that tells how it went."""
    try:
        lease = await suspecting.lease_id(
            state.store, claiming.lease, claims.LIFETIME_S
        )
        item = await state.store.put(key, claims.encode(claim), expect, lease)
        return events.ClaimWritten(item.revision)
    except errors.ConflictError:
        # The lease may have lapsed, for example because the store lost it.
        claiming.lease.id = None
        return events.ClaimNotWritten(conflict=True)
    except errors.StoreError as exc:
        logs.event("claim.unwritten", error=exc.message, step=exc.step)
        return events.ClaimNotWritten(conflict=False)


async def read(state, key, open_attempts):
    """Read a claim; return the event with it."""
    try:
        item = await state.store.get(key)
        if item is None:
            return events.ClaimRead(None)
        claim = claims.decode(item.value)
    except errors.StoreError as exc:
        return events.ClaimNotRead(exc.message)
    own = claim.entry_start_id == state.start_id
    return events.ClaimRead(
        claim, item.revision, own and claim.attempt_id in open_attempts
    )


async def drop(state, key, expect):
    """Delete the claim of a call that did not run; if that fails, a repeat asks."""
    try:
        await state.store.delete(key, expect)
    except (errors.ConflictError, errors.StoreError) as exc:
        logs.event("claim.kept", error=exc.message, step=exc.step)


async def store_outcome(state, claiming, key, claim, expect):
    """Write the outcome of a call, again and again while the store is down."""
    if claiming.unstored >= MAX_UNSTORED:
        logs.event("outcome.unstored", attempt=claim.attempt_id, error="too many")
        return
    claiming.unstored += 1
    pause_s = STORE_RETRY_S
    try:
        with anyio.move_on_after(STORE_OUTCOME_S):
            while True:
                event = await write(state, claiming, key, claim, expect)
                if isinstance(event, events.ClaimWritten):
                    return
                if event.conflict:
                    # Another entry asked the agent and stored the outcome, or this
                    # write took effect although its response was lost.
                    return
                await anyio.sleep(pause_s)
                pause_s = min(STORE_RETRY_MAX_S, pause_s * 2)
        logs.event("outcome.unstored", attempt=claim.attempt_id, error="store is down")
    finally:
        claiming.unstored -= 1


async def ask(state, claiming, claim):
    """Ask the agent that a claim names; return the event with its reply."""
    peer = await _connected(state, claim.vm)
    if peer is None:
        return events.AgentSilent(gone=False)
    if peer.hello.start_id != claim.agent_start_id:
        return events.AgentSilent(gone=True)
    key = (claim.agent_start_id, claim.entry_start_id, claim.attempt_id)
    waiters = claiming.asked.setdefault(key, [])
    waiter = Waiter()
    waiters.append(waiter)
    message = ttypes.Revoke(
        attempt_id=claim.attempt_id, entry_start_id=claim.entry_start_id
    )
    try:
        connection.post(peer.conn, message)
        with anyio.move_on_after(ASK_TIMEOUT_S):
            await waiter.done.wait()
    except errors.ConnectionClosedError:
        return events.AgentSilent(gone=False)
    finally:
        waiters.remove(waiter)
        if not waiters:
            claiming.asked.pop(key, None)
    if waiter.reply is None:
        return events.AgentSilent(gone=False)
    return events.AgentReplied(_PHASES[waiter.reply.phase], _stored(waiter.reply))


async def _connected(state, vm):
    """Return the agent on `vm`, which an entry that has just started may lack."""
    deadline = anyio.current_time() + ASK_TIMEOUT_S
    while vm not in state.agents and anyio.current_time() < deadline:
        await state.changed.wait(0.1)
    return state.agents.get(vm)


@attrs.define(eq=False)
class Waiter:
    """One question to an agent."""

    done: anyio.Event = attrs.field(factory=anyio.Event)
    reply: ttypes.RevokeReply | None = None


def on_reply(claiming, conn, message):
    """Give a reply to those who asked this agent start."""
    key = (conn.peer.start_id, message.entry_start_id, message.attempt_id)
    for waiter in claiming.asked.get(key, ()):
        waiter.reply = message
        waiter.done.set()


def _stored(reply):
    frame = reply.answer
    if frame is None or frame.status is None:
        return None
    headers = tuple((item.name, item.value) for item in frame.headers or ())
    return claims.Stored(frame.status, headers, frame.data or b"")
