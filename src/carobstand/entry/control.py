"""Control part of an entry: connects the control loops and message handlers."""

import anyio

from carobstand.entry import (
    control_state,
    planning,
    report_relay,
    reports,
    sharing,
    store_watch,
    vm_readings,
)
from carobstand.wire import handlers


def part(state):
    """Return the control part of an entry.

    Parameters
    ----------
    state : entry.state.EntryState

    Returns
    -------
    part : wire.handlers.Part
    """
    control = control_state.Control(state)
    state.describe_control = lambda: control_state.describe(control)

    state.agent_lost.append(lambda vm, peer: report_relay.publish_loss(control, peer))

    async def run():
        async with anyio.create_task_group() as tg:
            for loop in (
                store_watch.watch,
                vm_readings.run,
                planning.run,
                sharing.run,
                reports.run,
            ):
                tg.start_soon(loop, control)

    table = {**sharing.handlers(control), **reports.handlers(control)}
    return handlers.Part(handlers=table, run=run)
