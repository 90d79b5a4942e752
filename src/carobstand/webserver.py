"""HTTP servers, run by hypercorn in the event loop of the process."""

import socket
import traceback

import anyio
import hypercorn.asyncio
import hypercorn.config

from carobstand import errors, logs
from carobstand.wire import connection

KEEP_ALIVE_S = 30.0
"""Idle time after which a kept-alive connection is closed."""

GRACEFUL_TIMEOUT_S = 60.0
"""Maximum wait for requests in progress at a planned stop."""

CANCELLED_TIMEOUT_S = 0.2
"""Maximum wait for requests in progress if the server is cancelled."""


def check_address(name, address):
    """Raise SettingsError unless `address` can be bound.

    hypercorn reports a port in use only from within its task; binding it beforehand
    yields the error at startup.

    Parameters
    ----------
    name : str
        Name of the setting, for the error message.
    address : str
        ``host:port``.
    """
    host, port = connection.split_address(address)
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError as exc:
            raise errors.SettingsError(
                f"{name}: cannot bind {address}: {exc.strerror or exc}",
                step="webserver.bind",
            ) from exc


def config(address):
    """Return the hypercorn configuration of a server on `address`."""
    cfg = hypercorn.config.Config()
    cfg.bind = [address]
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.keep_alive_timeout = KEEP_ALIVE_S
    cfg.graceful_timeout = GRACEFUL_TIMEOUT_S
    cfg.include_server_header = False
    return cfg


def log_errors(app):
    """Wrap `app` to log its errors; hypercorn responds with 500 and discards them."""

    async def application(scope, receive, send):
        try:
            await app(scope, receive, send)
        except Exception as exc:
            logs.event(
                "http.failed",
                path=scope.get("path", ""),
                error=repr(exc),
                traceback="".join(traceback.format_exception(exc)),
            )
            raise

    return application


async def serve(app, address, stop):
    """Serve `app` until `stop` is set and requests in progress have ended.

    Parameters
    ----------
    app : ASGI application
    address : str
        ``host:port``.
    stop : anyio.Event
    """
    cfg = config(address)
    shutdown = anyio.Event()

    async def run():
        # Hypercorn closes its sockets only if its shutdown completes, and raises
        # InvalidStateError if it is cancelled while connections are open.
        with anyio.CancelScope(shield=True):
            await hypercorn.asyncio.serve(
                log_errors(app), cfg, shutdown_trigger=shutdown.wait, mode="asgi"
            )

    async with anyio.create_task_group() as tg:
        tg.start_soon(run)
        try:
            await stop.wait()
        except BaseException:
            cfg.graceful_timeout = CANCELLED_TIMEOUT_S
            raise
        finally:
            shutdown.set()


async def wait_until_bound(address, timeout_s=10.0):
    """Return once `address` accepts connections; raise TimeoutError if it does not."""
    host, port = connection.split_address(address)
    with anyio.fail_after(timeout_s):
        while True:
            try:
                async with await anyio.connect_tcp(host, port):
                    return
            except OSError:
                await anyio.sleep(0.01)
