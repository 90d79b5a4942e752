"""Control part of an entry: connects the control loops and message handlers."""

import anyio

from carobstand.entry import (
    control_state,
    heartbeats,
    planning,
    report_relay,
    revision_exchange,
    store_watch,
    vm_list_sharing,
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
                vm_list_sharing.run,
                planning.run,
                revision_exchange.run,
                heartbeats.run,
            ):
                tg.start_soon(loop, control)

    table = {**revision_exchange.handlers(control), **heartbeats.handlers(control)}
    return handlers.Part(handlers=table, run=run)
