"""Reads and writes claims in the store, and queries agents about attempts."""

import anyio
import attrs

from carobstand import errors, logs
from carobstand.core import attempts, claims, events
from carobstand.entry import suspect_sharing
from carobstand.wire import connection
from carobstand.wire.gen import ttypes

AGENT_QUERY_TIMEOUT_S = 2.0
"""Maximum wait for an agent's reply about an attempt."""

STORE_OUTCOME_TIMEOUT_S = 600.0
"""Time during which the write of an outcome is retried while the store is down.

The attempt stays open meanwhile, so that its agent keeps the response.
"""

STORE_RETRY_S = 0.5
STORE_RETRY_MAX_S = 5.0

MAX_UNSTORED_OUTCOMES = 256
"""Maximum number of outcomes waiting for the store; further ones are not stored."""

_PHASES = {
    ttypes.AttemptPhase.NOT_SEEN: attempts.Phase.NOT_SEEN,
    ttypes.AttemptPhase.RUNNING: attempts.Phase.RUNNING,
    ttypes.AttemptPhase.FINISHED: attempts.Phase.FINISHED,
    ttypes.AttemptPhase.REFUSED: attempts.Phase.REFUSED,
}


@attrs.define(eq=False)
class PendingClaims:
    """Agent queries waiting for a reply, the store lease, and unstored outcomes."""

    pending_queries: dict = attrs.field(factory=dict)
    lease: suspect_sharing.Lease = attrs.field(factory=suspect_sharing.Lease)
    unstored_outcomes: int = 0


async def write(state, pending, key, claim, expect):
    """Write a claim; return the resulting event."""
    try:
        lease = await suspect_sharing.lease_id(
            state.store, pending.lease, claims.LIFETIME_S
        )
        item = await state.store.put(key, claims.encode(claim), expect, lease)
        return events.ClaimWritten(item.revision)
    except errors.ConflictError:
        # A conflict may mean that the lease lapsed, for example lost by the store.
        pending.lease.id = None
        return events.ClaimNotWritten(conflict=True)
    except errors.StoreError as exc:
        logs.event("claim.unwritten", error=exc.message, step=exc.step)
        return events.ClaimNotWritten(conflict=False)


async def read(state, key, open_attempts):
    """Read a claim; return the resulting event."""
    try:
        item = await state.store.get(key)
        if item is None:
            return events.ClaimRead(None)
        claim = claims.decode(item.value)
    except errors.StoreError as exc:
        return events.ClaimNotRead(exc.message)
    is_own = claim.entry_start_id == state.start_id
    return events.ClaimRead(
        claim, item.revision, is_own and claim.attempt_id in open_attempts
    )


async def drop(state, key, expect):
    """Delete the claim of a call that did not run.

    If that fails, the agent is queried when the call is repeated.
    """
    try:
        await state.store.delete(key, expect)
    except (errors.ConflictError, errors.StoreError) as exc:
        logs.event("claim.kept", error=exc.message, step=exc.step)


async def store_outcome(state, pending, key, claim, expect):
    """Write the outcome of a call, with retries while the store is down."""
    if pending.unstored_outcomes >= MAX_UNSTORED_OUTCOMES:
        logs.event(
            "outcome.unstored", attempt=claim.attempt_id, error="too many unstored"
        )
        return
    pending.unstored_outcomes += 1
    pause_s = STORE_RETRY_S
    try:
        with anyio.move_on_after(STORE_OUTCOME_TIMEOUT_S):
            while True:
                event = await write(state, pending, key, claim, expect)
                if isinstance(event, events.ClaimWritten):
                    return
                if event.conflict:
                    # Another entry queried the agent and stored the outcome, or an
                    # earlier write took effect although its response was lost.
                    return
                await anyio.sleep(pause_s)
                pause_s = min(STORE_RETRY_MAX_S, pause_s * 2)
        logs.event("outcome.unstored", attempt=claim.attempt_id, error="store is down")
    finally:
        pending.unstored_outcomes -= 1


async def query_agent(state, pending, claim):
    """Query the agent named by a claim; return the resulting event."""
    peer = await _connected_agent(state, claim.vm)
    if peer is None:
        return events.AgentUnreachable(gone=False)
    if peer.hello.start_id != claim.agent_start_id:
        return events.AgentUnreachable(gone=True)
    key = (claim.agent_start_id, claim.entry_start_id, claim.attempt_id)
    queries = pending.pending_queries.setdefault(key, [])
    query = AgentQuery()
    queries.append(query)
    message = ttypes.Revoke(
        attempt_id=claim.attempt_id, entry_start_id=claim.entry_start_id
    )
    try:
        connection.post(peer.conn, message)
        with anyio.move_on_after(AGENT_QUERY_TIMEOUT_S):
            await query.done.wait()
    except errors.ConnectionClosedError:
        return events.AgentUnreachable(gone=False)
    finally:
        queries.remove(query)
        if not queries:
            pending.pending_queries.pop(key, None)
    if query.reply is None:
        return events.AgentUnreachable(gone=False)
    return events.AgentReplied(
        _PHASES[query.reply.phase], _stored_response(query.reply)
    )


async def _connected_agent(state, vm):
    """Return the agent on `vm` or None.

    Waits for its connection, which an entry that has just started may lack.
    """
    deadline = anyio.current_time() + AGENT_QUERY_TIMEOUT_S
    while vm not in state.agents and anyio.current_time() < deadline:
        await state.changed.wait(0.1)
    return state.agents.get(vm)


@attrs.define(eq=False)
class AgentQuery:
    """A query to an agent; `done` is set when `reply` has arrived."""

    done: anyio.Event = attrs.field(factory=anyio.Event)
    reply: ttypes.RevokeReply | None = None


def on_reply(pending, conn, message):
    """Deliver a reply to the queries waiting for this agent start."""
    key = (conn.peer.start_id, message.entry_start_id, message.attempt_id)
    for query in pending.pending_queries.get(key, ()):
        query.reply = message
        query.done.set()


def _stored_response(reply):
    frame = reply.answer
    if frame is None or frame.status is None:
        return None
    headers = tuple((item.name, item.value) for item in frame.headers or ())
    return claims.StoredResponse(frame.status, headers, frame.data or b"")
