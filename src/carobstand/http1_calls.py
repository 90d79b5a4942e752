"""Single calls to an HTTP server over a pool of idle connections."""

import anyio
import attrs

from carobstand import errors, http1
from carobstand.core import message_bounds


@attrs.frozen
class Response:
    """A complete response.

    Attributes
    ----------
    status : int
    headers : tuple of (bytes, bytes)
        Names in lower case.
    body : bytes
    head_received_at : float
        Time of the event loop at which the head was received.
    """

    status: int
    headers: tuple
    body: bytes
    head_received_at: float = 0.0


@attrs.define(eq=False)
class Client:
    """Client for one address, with a pool of idle connections.

    Attributes
    ----------
    address : str
        ``host:port``.
    idle : list of http1.Connection
    peer_work : core.message_bounds.PeerWork
        Shared by its connections: what the server caused in earlier calls counts.
    """

    address: str
    idle: list = attrs.field(factory=list)
    peer_work: message_bounds.PeerWork = attrs.field(factory=message_bounds.PeerWork)


async def call(
    client,
    method,
    target,
    *,
    body=b"",
    headers=(),
    timeout_s,
    max_bytes,
    read_timeout_s=None,
):
    """Make one call and return its complete `Response`.

    Parameters
    ----------
    client : Client
    method, target : str
    body : bytes
    headers : iterable of (bytes, bytes)
    timeout_s : float
        For the whole call.
    read_timeout_s : float or None
        Maximum time between received bytes of the response, None for `timeout_s`.
    max_bytes : int
        Maximum size of the response body.

    Raises
    ------
    HttpError
        If no complete response is received; `sent` is whether the server may have
        processed the request.
    """
    sent, began_at = False, anyio.current_time()
    try:
        with anyio.fail_after(timeout_s):
            conn = await _take_connection(client, read_timeout_s or timeout_s)
            sent = True
            receive_with = (
                _read_timeout_wrapper(read_timeout_s)
                if read_timeout_s
                else _receive_untimed
            )
            request = (method, target, headers, body)
            return await _exchange(client, conn, request, max_bytes, receive_with)
    except TimeoutError as exc:
        await _close_idle_since_before(client, began_at)
        raise errors.HttpError(
            f"no complete response within {read_timeout_s or timeout_s} s",
            step="http.call",
            peer=client.address,
            sent=sent,
        ) from exc


async def _take_connection(client, timeout_s):
    while client.idle:
        conn = client.idle.pop()
        if http1.is_usable(conn):
            return conn
        await http1.close(conn)
    conn = await http1.connect(client.address, timeout_s)
    conn.peer_work = client.peer_work
    return conn


def _read_timeout_wrapper(read_timeout_s):
    """Return a function that awaits ``receive(conn)`` for at most `read_timeout_s`."""

    async def receive_in_time(receive, conn):
        with anyio.fail_after(read_timeout_s):
            return await receive(conn)

    return receive_in_time


async def _receive_untimed(receive, conn):
    return await receive(conn)


async def _exchange(client, conn, request, max_bytes, receive_with):
    method, target, headers, body = request
    reusable = False
    framing = [(b"Host", client.address.encode())]
    if body or method in ("POST", "PUT"):
        framing.append((b"Content-Length", b"%d" % len(body)))
    try:
        all_headers = [*framing, *headers]
        await http1.send(conn, method.encode(), target.encode(), all_headers, body)
        head = await receive_with(http1.receive_head, conn)
        head_received_at = anyio.current_time()
        parts, size = [], 0
        while (data := await receive_with(http1.receive_data, conn)) is not None:
            parts.append(data)
            size += len(data)
            if size > max_bytes:
                raise errors.TooLargeError(
                    f"response body exceeds {max_bytes} bytes",
                    step="http.receive",
                    peer=conn.peer,
                )
        reusable = http1.prepare_for_reuse(conn)
    finally:
        if reusable:
            conn.idle_since = anyio.current_time()
            client.idle.append(conn)
        else:
            await http1.close(conn)
    return Response(
        head.status_code, tuple(head.headers), b"".join(parts), head_received_at
    )


async def _close_idle_since_before(client, began_at):
    """Close the connections without a response since a call began that timed out.

    What makes one connection silent mostly makes all silent that were open then, and
    each of them would cost the next calls a timeout.
    """
    silent = [conn for conn in client.idle if conn.idle_since <= began_at]
    client.idle = [conn for conn in client.idle if conn.idle_since > began_at]
    for conn in silent:
        await http1.close(conn)


async def close_idle(client):
    """Close all idle connections."""
    while client.idle:
        await http1.close(client.idle.pop())
