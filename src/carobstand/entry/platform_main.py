"""carobstand-entry on the users' platform: the process between callers and engines."""

import anyio

from carobstand import command, errors, eventlog, http1_server, loops
from carobstand.core import deployment
from carobstand.entry import (
    backend_pool,
    datagrams,
    fleet,
    forwarding,
    ingress,
    poison_requests,
    queueing,
    readiness,
    registration,
    weight_cache,
)
from carobstand.platform import kv

NOTICE_S = 2.5
"""Time after SIGTERM in which the platform still sends new connections here: it asks
once a second and wants two answers."""

STOP_MARGIN_S = 0.7
"""A stopping process ends this long before it would be killed."""

TIDY_INTERVAL_S = 2.0
"""Interval in which idle connections are looked through."""


async def serve(dep, leaving, hangups):
    """Run one entry until `leaving` and the end of its requests in progress.

    Parameters
    ----------
    dep : core.deployment.Deployment
    leaving : anyio.Event
    hangups : signals.Signal
        Notified when the settings are to be read again.
    """
    state = fleet.Fleet(dep, kv.connect(dep.store_address))
    fwd = forwarding.Forwarder(state)
    front = ingress.server(fwd)
    ready = readiness.server(state, leaving.is_set)
    cache = weight_cache.WeightCache(state)
    async with anyio.create_task_group() as tg:
        tg.start_soon(loops.supervise, fleet.observe, state)
        tg.start_soon(loops.supervise, registration.run, state)
        tg.start_soon(loops.supervise, weight_cache.run, cache)
        tg.start_soon(http1_server.listen, ready, dep.readiness_address)
        tg.start_soon(http1_server.listen, front, dep.ingress_address)
        tg.start_soon(loops.supervise, datagrams.listen, fwd)
        tg.start_soon(loops.supervise, poison_requests.share, fwd)
        tg.start_soon(loops.supervise, queueing.process_waiters, fwd)
        tg.start_soon(loops.supervise, _tidy, fwd)
        tg.start_soon(loops.supervise, command.follow_settings, state, hangups)
        eventlog.event("process.started", address=dep.ingress_address)
        await leaving.wait()
        tg.start_soon(registration.withdraw, state)
        await _leave(dep, fwd, front)
        eventlog.event("process.stopped")
        tg.cancel_scope.cancel()


async def _leave(dep, fwd, front):
    """Finish requests in progress; new ones still come until the platform notices."""
    forwarding.limit_deadlines(
        fwd, anyio.current_time() + dep.bounds.stop_s - STOP_MARGIN_S
    )
    with anyio.move_on_after(dep.bounds.stop_s - STOP_MARGIN_S):
        await anyio.sleep(NOTICE_S)
        http1_server.close_idle(front)
        while front.connections:
            await anyio.sleep(0.05)


async def _tidy(fwd):
    while True:
        await anyio.sleep(TIDY_INTERVAL_S)
        await backend_pool.close_idle(fwd.pool)


def main():
    """Run the program with the settings file that the platform names."""
    command.main("entry", serve, _check)


def _check(dep):
    for name in ("ingress_address", "readiness_address"):
        if not getattr(dep, name):
            raise errors.SettingsError(f"{name} is not set", step="entry.main")
        deployment.split_address(getattr(dep, name))


if __name__ == "__main__":
    main()
