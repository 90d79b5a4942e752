"""Notification of tasks that wait for a change of shared state."""

import anyio
import attrs


@attrs.define
class Signal:
    """Wakes all waiting tasks at each notification."""

    _event: anyio.Event = attrs.field(factory=anyio.Event)

    def notify(self):
        """Wake all tasks that are waiting."""
        event, self._event = self._event, anyio.Event()
        event.set()

    async def wait(self, timeout_s):
        """Wait for the next notification, at most `timeout_s` seconds.

        Returns
        -------
        notified : bool
        """
        event = self._event
        with anyio.move_on_after(timeout_s):
            await event.wait()
        return event.is_set()


async def wait_any(group, timeout_s):
    """Wait for the next notification of one of several signals, at most `timeout_s`."""
    # Taken before the tasks run, as a notification may come in between.
    events = [signal._event for signal in group]

    async def wait(event):
        await event.wait()
        tg.cancel_scope.cancel()

    with anyio.move_on_after(timeout_s):
        async with anyio.create_task_group() as tg:
            for event in events:
                tg.start_soon(wait, event)
