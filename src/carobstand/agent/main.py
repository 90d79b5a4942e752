"""carobstand-agent: the process on the VM of each backend server."""

import os
import sys

import anyio

from carobstand import logs, metrics, runtime, settings, status, webserver
from carobstand.agent import activation, control, executor, peers, weights
from carobstand.agent import state as states
from carobstand.platform import engine, origin, vms
from carobstand.wire import handlers, listeners


async def serve(cfg, stop):
    """Run one agent until `stop` is set and attempts in progress have drained.

    Parameters
    ----------
    cfg : settings.AgentSettings
    stop : anyio.Event
    """
    state = _new_state(cfg)
    logs.bind(
        process=f"agent/{cfg.vm}",
        start_id=state.start_id,
        vm=cfg.vm,
        failure_domain=cfg.failure_domain,
    )
    parts = [
        module.part(state) for module in (peers, control, weights, activation, executor)
    ]
    handler_table = handlers.merge(parts)
    webserver.check_address("status_listen", cfg.status_listen)
    listener = await listeners.open_listener(cfg.listen)
    async with anyio.create_task_group() as tg:
        state.dial_peer = peers.peer_dialer(state, tg, handler_table)
        for part in parts:
            if part.run is not None:
                tg.start_soon(part.run)
        tg.start_soon(peers.listen, state, listener, handler_table)
        tg.start_soon(peers.read_vm_list, state)
        tg.start_soon(peers.dial_entries, state, handler_table)
        app = status.app(state, lambda: bool(state.entries) and not state.leaving)
        tg.start_soon(webserver.serve, app, cfg.status_listen, anyio.Event())
        logs.event("process.started", listen=cfg.listen, services=list(cfg.services))
        await stop.wait()
        drained = await peers.leave(state, cfg.drain_timeout_s)
        logs.event("process.stopped", drained=drained)
        tg.cancel_scope.cancel()


def _new_state(cfg):
    is_engine = cfg.backend_type == "engine"
    return states.AgentState(
        cfg=cfg,
        start_id=runtime.new_start_id(),
        vm_list=vms.http_vm_list(cfg.vms_url),
        origin=origin.http_origin(cfg.origin_url) if cfg.origin_url else None,
        engine=engine.http_engine(cfg.backend_url) if is_engine else None,
        metrics=metrics.Registry(),
    )


def main():
    """Run the program with settings from the command line and environment."""
    cfg = settings.load(settings.AgentSettings, sys.argv[1:], os.environ)
    logs.open_log(cfg.log_file)
    sys.exit(runtime.run(serve, cfg))


if __name__ == "__main__":
    main()
