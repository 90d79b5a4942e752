"""ASGI server shared by the stand-ins, with fault injection and control endpoints."""

import contextlib
import errno
import json
import socket
import urllib.parse

import anyio
import attrs
import hypercorn.asyncio
import hypercorn.config

from carobstand import errors
from carobstand.standin import faults

CONTROL_PREFIX = "/standin/"
"""Path prefix of the control endpoints; faults do not affect them."""

BACKLOG = 1024
"""Listen backlog; several hundred clients connect at the same time."""

PIECE_BYTES = 64 * 1024
"""Body bytes per ASGI message."""

REBIND_ATTEMPTS = 100
"""Attempts to bind the address again after a crash."""

REBIND_INTERVAL_S = 0.05
"""Time between two of these attempts."""


class DropConnection(Exception):
    """Close the connection of the request without a complete response."""


@attrs.frozen
class Request:
    """A request with its complete body. `client` is the (host, port) of the client."""

    method: str
    path: str
    query: dict
    headers: dict
    body: bytes
    client: tuple

    def json(self):
        """Return the body parsed as a JSON object; raise ValueError otherwise."""
        value = json.loads(self.body)
        if not isinstance(value, dict):
            raise ValueError("the body is not a JSON object")
        return value


@attrs.frozen
class Response:
    """An HTTP response. `body` is bytes or an async iterator of bytes."""

    status: int = 200
    body: object = b""
    headers: tuple = ()


def json_response(value, status=200, headers=()):
    """Return `value` as a JSON `Response`."""
    headers = (("content-type", "application/json"), *headers)
    return Response(status, json.dumps(value).encode(), headers)


def error_response(status, message):
    """Return a JSON `Response` that carries an error message."""
    return json_response({"error": message}, status)


class _Listener(socket.socket):
    """Listening socket that tracks accepted connections so that they can be closed."""

    def accept(self):
        """Accept a connection and store it under the address of its client."""
        conn, address = super().accept()
        self.accepted = {
            peer: conn_at_peer
            for peer, conn_at_peer in getattr(self, "accepted", {}).items()
            if conn_at_peer.fileno() != -1
        }
        self.accepted[address[:2]] = conn
        return conn, address


@attrs.define(eq=False)
class Site:
    """A stand-in that listens at one address.

    Attributes
    ----------
    name : str
    handle : async callable of (Request,) returning Response
    stats : callable returning a dict
        Counters for ``GET /standin/stats``.
    switches : faults.Switches
    on_crash : callable
        Called at a crash; resets the state that a restart loses.
    frozen : set of tuple
        Addresses of clients whose connections are unresponsive.
    address : str
        ``host:port``; set by `bind`.
    """

    name: str
    handle: object
    stats: object = dict
    switches: faults.Switches = attrs.field(factory=faults.Switches)
    on_crash: object = lambda: None
    listener: object = None
    address: str = ""
    crashed: anyio.Event = attrs.field(factory=anyio.Event)
    frozen: set = attrs.field(factory=set)

    @property
    def url(self):
        """Base URL of the stand-in."""
        return f"http://{self.address}"


def bind(site, address="127.0.0.1:0"):
    """Listen on `address`; port 0 takes a free port.

    Raises
    ------
    SettingsError
        If the address is malformed or in use.
    """
    host, _, port = address.rpartition(":")
    listener = _Listener(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except (OSError, OverflowError, ValueError) as exc:
        listener.close()
        in_use = getattr(exc, "errno", None) == errno.EADDRINUSE
        reason = "address is in use" if in_use else str(exc)
        raise errors.SettingsError(
            f"cannot listen on {address}: {reason}; give a free host:port",
            step=f"{site.name}.listen",
            peer=address,
        ) from exc
    listener.setblocking(False)
    site.listener = listener
    site.address = "{}:{}".format(*listener.getsockname()[:2])
    return site


def close_connections(site, client=None):
    """Close the open connection of `client`, or all connections if None."""
    accepted = getattr(site.listener, "accepted", {})
    for peer, conn in list(accepted.items()):
        if client in (None, peer) and conn.fileno() != -1:
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError as exc:
                # The client may have closed it since.
                if exc.errno != errno.ENOTCONN:
                    raise


def freeze(site):
    """Make all open connections unresponsive permanently; new ones work."""
    accepted = getattr(site.listener, "accepted", {})
    site.frozen = {peer for peer, conn in accepted.items() if conn.fileno() != -1}


async def _block_if_frozen(site, client):
    """Block forever if the connection of `client` is frozen."""
    if client in site.frozen:
        await anyio.sleep_forever()


def crash(site):
    """Close all connections and refuse new ones for ``switches.crash_s`` seconds."""
    site.on_crash()
    site.crashed.set()


async def serve(site, *, task_status=anyio.TASK_STATUS_IGNORED):
    """Serve `site` until cancelled, then close its connections immediately.

    Binds it to a free port if it is not bound yet.
    """
    if site.listener is None:
        bind(site)
    started = False
    while True:
        site.crashed = anyio.Event()
        stop = anyio.Event()
        async with anyio.create_task_group() as tg:
            tg.start_soon(_run_server, site, stop)
            if not started:
                task_status.started(site)
                started = True
            try:
                await site.crashed.wait()
            finally:
                stop.set()
                close_connections(site)
        await anyio.sleep(site.switches.crash_s)
        await _rebind(site)


async def _rebind(site):
    """Listen on the same address again.

    Retries because a socket of another process may still use the address.
    """
    for attempt in range(REBIND_ATTEMPTS):
        try:
            bind(site, site.address)
            return
        except errors.SettingsError:
            if attempt == REBIND_ATTEMPTS - 1:
                raise
        await anyio.sleep(REBIND_INTERVAL_S)


async def _run_server(site, stop):
    class Config(hypercorn.config.Config):
        def create_sockets(self):
            return hypercorn.config.Sockets([], [site.listener], [])

    config = Config()
    config.errorlog = None
    config.graceful_timeout = 0.2
    config.keep_alive_timeout = 60
    # Hypercorn closes its listener and connections only if its own shutdown completes,
    # so cancellation is passed on as a shutdown trigger.
    with anyio.CancelScope(shield=True):
        await hypercorn.asyncio.serve(_asgi(site), config, shutdown_trigger=stop.wait)


def _asgi(site):
    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "http":
            req = await _read_request(scope, receive)
            if req is not None:
                await _respond_unless_disconnected(site, req, receive, send)

    return app


async def _lifespan(receive, send):
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _read_request(scope, receive):
    """Return the request, or None if the client disconnected."""
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message.get("body", b"")
        if not message.get("more_body", False):
            break
    query = urllib.parse.parse_qsl(scope["query_string"].decode("latin-1"))
    headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    client = tuple(scope["client"] or ())
    return Request(
        scope["method"], scope["path"], dict(query), headers, bytes(body), client
    )


async def _respond_unless_disconnected(site, req, receive, send):
    async def cancel_on_disconnect(scope):
        while (await receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async with anyio.create_task_group() as tg:
        tg.start_soon(cancel_on_disconnect, tg.cancel_scope)
        try:
            await _block_if_frozen(site, req.client)
            resp = await _respond(site, req)

            async def send_unless_frozen(message):
                await _block_if_frozen(site, req.client)
                await send(message)

            await _send_response(resp, send_unless_frozen)
        except DropConnection:
            close_connections(site, req.client)
            # `cancel_on_disconnect` ends this task. Returning earlier would make
            # hypercorn send an error response.
            await anyio.sleep_forever()
        tg.cancel_scope.cancel()


async def _respond(site, req):
    if req.path.startswith(CONTROL_PREFIX):
        return _handle_control(site, req)
    switches = site.switches
    if not faults.applies(switches, req.path):
        return await _handle(site, req)
    if switches.down:
        raise DropConnection
    await faults.delay_or_block(switches)
    if switches.status:
        return error_response(switches.status, "status set by a fault switch")
    resp = await _handle(site, req)
    if faults.drops_response(switches, req.method):
        raise DropConnection
    if switches.garbage:
        return Response(200, faults.garbage(switches))
    return resp


async def _handle(site, req):
    try:
        return await site.handle(req)
    except (KeyError, TypeError, ValueError) as exc:
        return error_response(400, f"{type(exc).__name__}: {exc}")


def _handle_control(site, req):
    name = req.path.removeprefix(CONTROL_PREFIX)
    if name == "stats" and req.method == "GET":
        return json_response(site.stats())
    if name == "freeze" and req.method == "POST":
        freeze(site)
        site.frozen.discard(req.client)
        return json_response({"connections": len(site.frozen)})
    if name == "crash" and req.method == "POST":
        crash(site)
        raise DropConnection
    if name != "faults":
        return error_response(404, f"no such control: {name}")
    try:
        if req.method == "POST":
            faults.update(site.switches, req.json())
        elif req.method == "DELETE":
            faults.reset(site.switches)
    except (errors.SettingsError, ValueError) as exc:
        return error_response(400, str(exc))
    return json_response(faults.as_dict(site.switches))


async def _send_response(resp, send):
    headers = [(name.encode(), str(value).encode()) for name, value in resp.headers]
    if isinstance(resp.body, bytes):
        headers.append((b"content-length", str(len(resp.body)).encode()))
    await send(
        {"type": "http.response.start", "status": resp.status, "headers": headers}
    )
    if isinstance(resp.body, bytes):
        for start in range(0, len(resp.body), PIECE_BYTES):
            piece = resp.body[start : start + PIECE_BYTES]
            await send({"type": "http.response.body", "body": piece, "more_body": True})
    else:
        async with contextlib.aclosing(resp.body) as pieces:
            async for piece in pieces:
                await send(
                    {"type": "http.response.body", "body": piece, "more_body": True}
                )
    await send({"type": "http.response.body", "body": b""})
