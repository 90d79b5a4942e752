"""Bench of the entry's queue: time of one pass over requests that find no server."""

import sys
import time

import anyio

from carobstand.core import placement
from carobstand.entry import queueing
from testing import test_queueing

PASSES = 50
SIZES = ((10, 20), (100, 20), (1000, 20), (10, 200), (100, 200), (1000, 200))
"""Waiting requests and engines."""


def call_of_size(now, prompt_tokens):
    """Return a call with a prompt of a given size."""
    call = test_queueing.call_at(now)
    call.size = placement.Size(prompt_tokens, 119)
    return call


async def pass_s(waiting, engines):
    """Return the mean time of a pass."""
    fwd = test_queueing.forwarder(engines=engines, running=30)
    spent = 0.0
    for _ in range(PASSES):
        now = anyio.current_time()
        fwd.queue.waiters = [
            queueing.Waiter(call_of_size(now, 200 + 37 * n % 2400))
            for n in range(waiting)
        ]
        fwd.shortlists.clear()
        started = time.process_time()
        queueing._process_waiters_once(fwd)
        spent += time.process_time() - started
    return spent / PASSES


def main():
    """Print the time of a pass for each number of requests and engines."""
    for waiting, engines in SIZES:
        mean_s = anyio.run(pass_s, waiting, engines)
        print(f"{waiting:5} waiting {engines:4} engines {1000 * mean_s:8.2f} ms")


if __name__ == "__main__":
    sys.exit(main())
