"""carobstand-entry: routes requests of callers to agents."""

import os
import sys

import anyio

from carobstand import logs, metrics, runtime, settings, status, webserver
from carobstand.entry import caller_api, control, dispatch, peers
from carobstand.entry import state as states
from carobstand.platform import store, vms
from carobstand.wire import connection, handlers, listeners
from carobstand.wire.gen import ttypes

GOODBYE_TIMEOUT_S = 0.5
"""Maximum wait until a goodbye is written to the socket."""


async def serve(cfg, stop):
    """Run an entry until `stop` is set and its requests in progress have ended.

    Parameters
    ----------
    cfg : settings.EntrySettings
    stop : anyio.Event
    """
    state = states.EntryState(
        cfg=cfg,
        start_id=runtime.new_start_id(),
        store=store.http_store(cfg.store_url),
        vm_list=vms.http_vm_list(cfg.vms_url),
        metrics=metrics.Registry(),
    )
    logs.bind(
        process=f"entry/{cfg.vm}",
        start_id=state.start_id,
        vm=cfg.vm,
        failure_domain=cfg.failure_domain,
    )
    parts = [module.part(state) for module in (peers, control, dispatch)]
    table = handlers.merge(parts)
    webserver.check_address("status_listen", cfg.status_listen)
    webserver.check_address("http_listen", cfg.http_listen)
    listener = await listeners.open_listener(cfg.listen)
    http_stop = anyio.Event()
    http_stopped = anyio.Event()

    async def serve_callers():
        await webserver.serve(caller_api.app(state), cfg.http_listen, http_stop)
        http_stopped.set()

    async with anyio.create_task_group() as tg:
        for part in parts:
            if part.run is not None:
                tg.start_soon(part.run)
        tg.start_soon(peers.listen, state, listener, table)
        tg.start_soon(peers.dial_entries, state, table)
        app = status.app(state, lambda: state.table is not None and not state.leaving)
        tg.start_soon(webserver.serve, app, cfg.status_listen, anyio.Event())
        tg.start_soon(serve_callers)
        logs.event("process.started", listen=cfg.listen, http=cfg.http_listen)
        await stop.wait()
        await _shut_down(state, http_stop, http_stopped)
        tg.cancel_scope.cancel()


async def _shut_down(state, http_stop, http_stopped):
    """Fail the readiness check, then finish requests in progress."""
    state.leaving = True
    state.changed.notify()
    await anyio.sleep(state.cfg.leave_delay_s)
    http_stop.set()
    await http_stopped.wait()
    for peer in [*state.agents.values(), *state.entries.values()]:
        if not peer.conn.closed.is_set():
            connection.post(peer.conn, ttypes.Goodbye(reason="stopping"))
            await connection.flush(peer.conn, GOODBYE_TIMEOUT_S)
    logs.event("process.stopped")


def main():
    """Run the program with the settings of the command line and environment."""
    cfg = settings.load(settings.EntrySettings, sys.argv[1:], os.environ)
    logs.open_log(cfg.log_file)
    sys.exit(runtime.run(serve, cfg))


if __name__ == "__main__":
    main()
