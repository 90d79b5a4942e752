"""Start and stop of a program: event loop, signals and startup errors."""

import asyncio
import secrets
import signal
import sys

import anyio

from carobstand import errors, logs

EXIT_SETTINGS = 2
"""Exit status for invalid settings."""


def new_start_id():
    """Return a random id for one start of a process."""
    return secrets.token_hex(8)


def run(serve, cfg):
    """Run ``serve(cfg, stop)`` in an event loop; `stop` is set by SIGTERM or SIGINT.

    Parameters
    ----------
    serve : async callable of (cfg, stop)
    cfg : settings object

    Returns
    -------
    status : int
        Exit status: 0, or `EXIT_SETTINGS` for an error at startup.
    """

    async def body():
        asyncio.get_running_loop().set_exception_handler(_on_loop_error)
        stop = anyio.Event()
        async with anyio.create_task_group() as tg:
            tg.start_soon(_watch_signals, stop)
            await serve(cfg, stop)
            tg.cancel_scope.cancel()

    try:
        anyio.run(body)
    except BaseExceptionGroup as group:
        return _report(_first_settings_error(group), group)
    except errors.SettingsError as exc:
        return _report(exc, exc)
    return 0


def _on_loop_error(loop, context):
    """Report errors of callbacks, except cancelled server connections.

    Python 3.11 reports every connection whose task is cancelled at shutdown as an
    error.
    """
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


def _first_settings_error(group):
    matching, _ = group.split(errors.SettingsError)
    while isinstance(matching, BaseExceptionGroup):
        matching = matching.exceptions[0]
    return matching


def _report(settings_error, exc):
    if settings_error is None:
        raise exc
    print(f"error: {settings_error.message}", file=sys.stderr)
    return EXIT_SETTINGS


async def _watch_signals(stop):
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for signum in received:
            logs.event("process.stopping", signal=signum.name)
            stop.set()
