"""Event loop whose clock includes the time during which the VM is suspended."""

import asyncio
import signal
import time

import anyio

from carobstand import eventlog, signals

RESTART_DELAY_S = 0.5
"""Delay before a failed loop is restarted."""

PAUSE_CHECK_S = 0.2
"""Interval of the timer that detects pauses of the event loop."""

MIN_PAUSE_S = 0.25
"""Shortest pause that is logged. Callers allow half a second between their leaving and
the end of the work for them."""


class BoottimeLoop(asyncio.SelectorEventLoop):
    """Event loop on ``CLOCK_BOOTTIME``, so that deadlines expire during a suspend.

    The monotonic clock stops while a VM is suspended, and the age of cached state would
    be underestimated. The wall clock can jump and is not used.
    """

    def time(self):
        """Return seconds since the VM booted, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run(func, *args):
    """Run ``func(*args)`` in a `BoottimeLoop`; return its result."""
    return anyio.run(func, *args, backend_options={"loop_factory": BoottimeLoop})


async def supervise(loop, *args):
    """Run ``loop(*args)`` until it returns, and restart it after each logged error.

    An error in one loop must not end the process and all its requests.
    """
    while True:
        try:
            await loop(*args)
            return
        except Exception as exc:
            eventlog.failure("loop.failed", exc, loop=loop.__qualname__)
        await anyio.sleep(RESTART_DELAY_S)


async def report_pauses():
    """Log pauses of the event loop until cancelled.

    A pause that used the processor is work of this process, any other one is time in
    which the process did not run.
    """
    while True:
        due_at, used_s = anyio.current_time() + PAUSE_CHECK_S, time.process_time()
        await anyio.sleep(PAUSE_CHECK_S)
        paused_s = anyio.current_time() - due_at
        if paused_s >= MIN_PAUSE_S:
            eventlog.event(
                "loop.paused",
                paused_s=round(paused_s, 3),
                processor_s=round(time.process_time() - used_s, 3),
            )


async def run_until_terminated(serve, dep):
    """Run ``serve(dep, leaving, hangups)`` until it returns.

    `leaving` is set by SIGTERM, `hangups` is notified at SIGHUP.
    """
    leaving, hangups = anyio.Event(), signals.Signal()
    async with anyio.create_task_group() as tg:
        tg.start_soon(_watch_signals, leaving, hangups)
        tg.start_soon(report_pauses)
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
