"""Reads the bodies of responses within the memory that the entry has for them.

A response that is not a stream is held until it is complete, so that a request whose
response breaks off can be retried. While the memory for bodies is in use, mostly by
callers that read slowly, further responses are passed through instead: an entry then
holds one read of each, and a slow caller slows its own server down.
"""

import anyio
import attrs

from carobstand import errors, eventlog, http1, http1_server
from carobstand.core import byte_budget

MAX_BYTES = 1_048_576
"""Maximum size of a response that is not a stream; a larger one is an error."""

REFUSAL_TIMEOUT_S = 0.2
"""Timeout for the body of a rejection, whose head says that nothing ran."""


@attrs.define(eq=False)
class Body:
    """Body of one response, as far as it was received.

    Attributes
    ----------
    chunks : list of bytes
    size : int
        Bytes received.
    reserved : int
        Bytes reserved in the budget.
    is_complete : bool
        False if there is no memory to receive the rest before it is delivered.
    """

    chunks: list = attrs.field(factory=list)
    size: int = 0
    reserved: int = 0
    is_complete: bool = False


async def receive(conn, budget):
    """Receive a body until it is complete or the budget is used up.

    `release` returns its bytes to the budget.

    Raises
    ------
    HttpError
        If the response breaks off or is larger than `MAX_BYTES`.
    """
    body = Body()
    try:
        while (data := await _receive_part(conn, body)) is not None:
            body.chunks.append(data)
            if not byte_budget.reserve(budget, len(data)):
                return body
            body.reserved += len(data)
    except BaseException:
        release(body, budget)
        raise
    body.is_complete = True
    return body


async def _receive_part(conn, body):
    """Return the next bytes of a body, or None at its end."""
    data = await http1.receive_data(conn)
    body.size += len(data or b"")
    if body.size > MAX_BYTES:
        raise errors.HttpError(
            f"response exceeds {MAX_BYTES} bytes",
            step="forward.receive",
            peer=conn.peer,
        )
    return data


def release(body, budget):
    """Return the bytes of a body to the budget."""
    byte_budget.release(budget, body.reserved)
    body.reserved = 0


async def pass_through(conn, body, reply, head):
    """Deliver a response of which only the first part was received.

    Parameters
    ----------
    conn : http1.Connection
    body : Body
    reply : http1_server.Reply
    head : core.exchange.AnswerHead

    Raises
    ------
    HttpError
        If the response breaks off. The caller sees that it is truncated.
    """
    eventlog.event("response.passed_through", request=head.request_id, size=head.length)
    await http1_server.start_response(reply, head.status, head.headers, head.length)
    while body.chunks:
        await http1_server.send_data(reply, body.chunks.pop(0))
    while (data := await _receive_part(conn, body)) is not None:
        await http1_server.send_data(reply, data)
    await http1_server.finish_response(reply)


async def discard_refusal(conn):
    """Read and discard the body of a rejection to allow reuse of its connection."""
    try:
        with anyio.fail_after(REFUSAL_TIMEOUT_S):
            body = Body()
            while await _receive_part(conn, body) is not None:
                pass
    except (errors.HttpError, TimeoutError) as exc:
        # The exchange is incomplete, so the caller closes the connection.
        eventlog.event("backend.refusal_broken", peer=conn.peer, error=str(exc))
