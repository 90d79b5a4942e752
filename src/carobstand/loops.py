"""Event loop whose clock also counts the time in which the VM is suspended."""

import asyncio
import time

import anyio


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
