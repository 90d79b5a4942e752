"""Event loop whose clock also counts the time in which the VM is suspended."""

import asyncio
import signal
import time

import anyio

from carobstand import eventlog, signals

RESTART_S = 0.5
"""Pause before a loop that failed is started again."""


class BoottimeLoop(asyncio.SelectorEventLoop):
    """Loop on ``CLOCK_BOOTTIME``: after a suspend, deadlines that passed are due.

    The monotonic clock stands still while a VM is suspended; ages of what a process
    knows would then be too small. The time of day may jump and is never used.
    """

    def time(self):
        """Return seconds since the VM's start, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run(func, *args):
    """Run ``func(*args)`` in such a loop; return its result."""
    return anyio.run(func, *args, backend_options={"loop_factory": BoottimeLoop})


async def supervise(loop, *args):
    """Run ``loop(*args)`` again and again; log an error that ends it.

    A fault in one loop must not end the process and with it the requests of all others.
    """
    while True:
        try:
            await loop(*args)
            return
        except Exception as exc:
            eventlog.failure("loop.failed", exc, loop=loop.__qualname__)
        await anyio.sleep(RESTART_S)


async def until_terminated(serve, dep):
    """Run ``serve(dep, leaving, hangups)`` until it ends.

    `leaving` is set by SIGTERM, `hangups` is notified at SIGHUP.
    """
    leaving, hangups = anyio.Event(), signals.Signal()
    async with anyio.create_task_group() as tg:
        tg.start_soon(_watch_signals, leaving, hangups)
        await serve(dep, leaving, hangups)
        tg.cancel_scope.cancel()


async def _watch_signals(leaving, hangups):
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as received:
        async for signum in received:
            eventlog.event("process.signal", signal=signum.name)
            if signum == signal.SIGTERM:
                leaving.set()
            else:
                hangups.notify()
