"""Tests of notifications of waiting tasks."""

import anyio

from carobstand import signals


def test_a_notification_right_after_the_wait_began_is_not_missed():
    """An entry that was told to stop went on being registered for up to 5 s."""

    async def scenario():
        first, second = signals.Signal(), signals.Signal()

        async def notify():
            second.notify()

        with anyio.fail_after(1.0):
            async with anyio.create_task_group() as tg:
                tg.start_soon(signals.wait_any, [first, second], 5.0)
                tg.start_soon(notify)

    anyio.run(scenario)


def test_a_wait_for_any_of_several_signals_ends_after_its_time():
    async def scenario():
        began = anyio.current_time()
        await signals.wait_any([signals.Signal(), signals.Signal()], 0.05)
        assert anyio.current_time() - began >= 0.05

    anyio.run(scenario)
