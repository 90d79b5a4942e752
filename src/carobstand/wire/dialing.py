"""Maintenance of connections to a changing set of entries."""

import random

import anyio

from carobstand import errors, logs
from carobstand.wire import connection, handlers, tls

REDIAL_INTERVAL_S = 0.5
"""Interval of checks for entries to dial, and first backoff after a failure."""

MAX_REDIAL_BACKOFF_S = 5.0
"""Longest backoff before an unreachable entry is dialled again."""


async def run_and_log(conn, on_message):
    """Run a connection and log why it ended.

    Parameters
    ----------
    conn : connection.Connection
    on_message : async callable of (conn, message)

    Raises
    ------
    InvariantError
        As raised by a handler; the process must stop.
    """
    try:
        await connection.run(conn, on_message)
    except errors.InvariantError:
        raise
    except errors.CarobstandError as exc:
        logs.event("connection.failed", error=exc.message, peer=conn.peer.vm)


def dispatcher(table):
    """Return an async callable of (conn, message) that dispatches to `table`."""

    async def on_message(conn, message):
        await handlers.dispatch(table, conn, message)

    return on_message


async def keep_connected(state, hello, choose, is_connected, run):
    """Dial the entries that `choose` returns whenever they are not connected.

    An unreachable entry is dialled again after a backoff that doubles up to
    `MAX_REDIAL_BACKOFF_S`. All waits have jitter, so that processes that lost the same
    entry do not dial it at the same moment.

    Parameters
    ----------
    state : AgentState or EntryState
        With `vms` and `cfg`.
    hello : callable returning ttypes.Hello
    choose : callable of (iterable of VM names) returning list of VM names
    is_connected : callable of (VM name,) returning bool
    run : async callable of (conn,)
        Uses the connection until it ends.
    """
    dialing = set()
    backoffs = {}

    async def dial(vm):
        try:
            context = tls.client_context(state.cfg)
            conn = await connection.dial(vm.address, hello(), context)
            if conn.peer.vm != vm.vm or is_connected(vm.vm):
                # The address was taken over by another VM, or the entry dialled first.
                await anyio.aclose_forcefully(conn.stream)
                await anyio.sleep(MAX_REDIAL_BACKOFF_S * random.uniform(0.7, 1.3))
                return
            backoffs.pop(vm.vm, None)
            await run(conn)
        except errors.InvariantError:
            raise
        except errors.CarobstandError as exc:
            logs.event("connection.failed", error=exc.message, peer=vm.vm)
            pause_s = min(
                MAX_REDIAL_BACKOFF_S, 2 * backoffs.get(vm.vm, REDIAL_INTERVAL_S / 2)
            )
            backoffs[vm.vm] = pause_s
            await anyio.sleep(pause_s * random.uniform(0.7, 1.3))
        finally:
            dialing.discard(vm.vm)

    async with anyio.create_task_group() as tg:
        while True:
            live = {
                vm.vm: vm for vm in state.vms if vm.role == "entry" and not vm.leaving
            }
            for name in choose(live):
                if name not in dialing and not is_connected(name):
                    dialing.add(name)
                    tg.start_soon(dial, live[name])
            await anyio.sleep(REDIAL_INTERVAL_S * random.uniform(0.7, 1.3))
