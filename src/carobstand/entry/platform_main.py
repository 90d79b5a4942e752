"""carobstand-entry on the users' platform: routes requests of callers to engines."""

import functools
import time

import anyio

from carobstand import command, errors, eventlog, http1_server, loops
from carobstand.core import deployment
from carobstand.entry import (
    backend_pool,
    datagrams,
    demand_exchange,
    explaining,
    fleet,
    forwarding,
    health_checks,
    ingress,
    permit_exchange,
    planned_stop,
    poison_parts,
    queueing,
    readiness,
    registration,
    weight_cache,
)
from carobstand.platform import kv

DEREGISTRATION_DELAY_S = 2.5
"""Time after SIGTERM in which the platform may still send new connections here: it
polls readiness once a second and needs two failed checks."""

STOP_MARGIN_S = 0.7
"""A stopping process exits this long before the platform would kill it."""

IDLE_CHECK_INTERVAL_S = 2.0
"""Interval of closing idle backend connections."""


async def serve(dep, leaving, hangups, startup_s=0.0):
    """Run an entry until `leaving` is set and its requests in progress have ended.

    Parameters
    ----------
    dep : core.deployment.Deployment
    leaving : anyio.Event
    hangups : signals.Signal
        Notified when the settings must be reloaded.
    startup_s : float
        Processor time used until now by a process that runs only this entry.
    """
    state = fleet.Fleet(dep, kv.connect(dep.store_address), startup_s=startup_s)
    fwd = forwarding.Forwarder(state)
    fwd.limits.permit_arrived = functools.partial(queueing.note_permit, fwd)
    fwd.demand.capacity_of = functools.partial(queueing.known_capacity, fwd)
    ingress_server = ingress.server(fwd)
    readiness_server = readiness.server(state, leaving.is_set)
    cache = weight_cache.WeightCache(state, fwd.loads)
    cache.explain = functools.partial(explaining.explain, fwd)
    async with anyio.create_task_group() as tg:
        tg.start_soon(loops.supervise, fleet.observe, state)
        tg.start_soon(loops.supervise, registration.run, state)
        tg.start_soon(loops.supervise, weight_cache.run, cache)
        tg.start_soon(http1_server.listen, readiness_server, dep.readiness_address)
        tg.start_soon(http1_server.listen, ingress_server, dep.ingress_address)
        tg.start_soon(loops.supervise, datagrams.listen, fwd)
        tg.start_soon(loops.supervise, poison_parts.run, fwd)
        tg.start_soon(loops.supervise, queueing.process_waiters, fwd)
        tg.start_soon(loops.supervise, health_checks.run, fwd)
        tg.start_soon(loops.supervise, permit_exchange.run, fwd.limits)
        tg.start_soon(loops.supervise, demand_exchange.run, fwd)
        tg.start_soon(loops.supervise, _close_idle_connections, fwd)
        tg.start_soon(
            loops.supervise, command.reload_settings_on_hangup, state, hangups
        )
        eventlog.event("process.started", address=dep.ingress_address)
        await leaving.wait()
        registration.withdraw(state)
        await _drain(fwd, ingress_server)
        eventlog.event("process.stopped")
        tg.cancel_scope.cancel()


async def _drain(fwd, ingress_server):
    """Finish requests in progress; new ones arrive until the platform stops routing."""
    # A reload of the settings may have changed the grace period since the start.
    stop_s = fwd.fleet.deployment.bounds.stop_s - STOP_MARGIN_S
    forwarding.limit_deadlines(fwd, anyio.current_time() + stop_s)
    with anyio.move_on_after(stop_s):
        # A short grace period ends before; its connections are closed in time, too.
        await anyio.sleep(
            min(DEREGISTRATION_DELAY_S, stop_s - forwarding.FINAL_RESPONSE_S)
        )
        http1_server.begin_shutdown(ingress_server)
        planned_stop.begin_closing(fwd)
        while ingress_server.is_accepting or ingress_server.connections:
            await anyio.sleep(0.05)


async def _close_idle_connections(fwd):
    while True:
        await anyio.sleep(IDLE_CHECK_INTERVAL_S)
        await backend_pool.close_idle(fwd.pool)


def main():
    """Run the program with the settings file given by the platform."""
    startup_s = time.process_time()
    command.main("entry", functools.partial(serve, startup_s=startup_s), _check)


def _check(dep):
    for name in ("ingress_address", "readiness_address"):
        if not getattr(dep, name):
            raise errors.SettingsError(f"{name} is not set", step="entry.main")
        deployment.split_address(getattr(dep, name))


if __name__ == "__main__":
    main()
