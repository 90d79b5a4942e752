"""Event loop whose clock advances to the next timer instead of waiting."""

import asyncio
import selectors

import anyio


class _Selector(selectors.DefaultSelector):
    """Selector that advances the loop's clock by the timeout instead of waiting."""

    loop = None

    def select(self, timeout=None):
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.loop.now += timeout
        return ready


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self):
        selector = _Selector()
        selector.loop = self
        self.now = 0.0
        super().__init__(selector)

    def time(self):
        return self.now


def run(func, *args):
    """Run the async function `func` in virtual time; return its result."""
    return anyio.run(func, *args, backend_options={"loop_factory": _Loop})
