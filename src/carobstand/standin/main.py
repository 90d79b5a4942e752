"""carobstand-standin: stand-ins for external systems, in one process."""

import json
import os
import sys

import anyio

from carobstand import errors, logs, runtime, settings
from carobstand.standin import engine, origin, plain, store, vms, web
from carobstand.wire import connection

ALL_KINDS = ("store", "origin", "vms", "engine", "plain")
"""Kinds of stand-ins, in the order in which ports are assigned."""


def sites(cfg):
    """Return the stand-ins that the settings select, by name.

    Parameters
    ----------
    cfg : settings.StandinSettings

    Returns
    -------
    sites : dict of str to web.Site
        Names are the kinds, with ``-1``, ``-2`` and so on if `count` is above 1.
    """
    kinds = ALL_KINDS if "all" in cfg.kinds else dict.fromkeys(cfg.kinds)
    found = {}
    for kind in kinds:
        count = cfg.count if kind in ("engine", "plain") else 1
        for number in range(1, count + 1):
            name = kind if count == 1 else f"{kind}-{number}"
            found[name] = _site(cfg, kind, name, number)
    return found


def _site(cfg, kind, name, number):
    if kind == "store":
        site = store.site()
    elif kind == "origin":
        site = origin.site(origin.OriginState(cfg.origin_bytes_per_s))
    elif kind == "vms":
        site = vms.site(vms.VmsState(cfg.vms_lag_s))
    elif kind == "engine":
        site = engine.site(engine_state(cfg, number))
    else:
        site = plain.site(plain.PlainState(name, cfg.work_s))
    site.switches.seed = cfg.seed + number
    site.switches.rng.seed(site.switches.seed)
    return site


def engine_state(cfg, number):
    """Return the state of engine `number`, configured from the settings."""
    return engine.EngineState(
        batch_limit=cfg.batch_limit,
        token_s=cfg.token_s,
        prefill_miss_s=cfg.prefill_miss_s,
        cache_blocks=cfg.cache_blocks,
        load_lag_s=cfg.report_lag_s,
        cache_lag_s=cfg.report_lag_s,
        check_fence=not cfg.ignore_fence,
        seed=cfg.seed + number,
    )


def bind_all(named, listen):
    """Bind the stand-ins to consecutive ports, or to free ports if the port is 0.

    Raises
    ------
    SettingsError
        If a port is in use or above 65535.
    """
    host, first = connection.split_address(listen)
    for index, site in enumerate(named.values()):
        port = first + index if first else 0
        try:
            web.bind(site, f"{host}:{port}")
        except errors.SettingsError as exc:
            raise errors.SettingsError(
                f"--listen: {exc.message}", step=exc.step, peer=exc.peer
            ) from exc


async def serve(cfg, stop):
    """Run the stand-ins until `stop` is set; print their addresses as one JSON line.

    Parameters
    ----------
    cfg : settings.StandinSettings
    stop : anyio.Event
    """
    logs.bind(process="standin", start_id=runtime.new_start_id())
    named = sites(cfg)
    bind_all(named, cfg.listen)
    async with anyio.create_task_group() as tg:
        for site in named.values():
            await tg.start(web.serve, site)
        addresses = {name: site.address for name, site in named.items()}
        print(json.dumps(addresses), flush=True)
        logs.event("standin.started", addresses=addresses)
        await stop.wait()
        tg.cancel_scope.cancel()


def main():
    """Run the program with the settings of the command line and environment."""
    cfg = settings.load(settings.StandinSettings, sys.argv[1:], os.environ)
    logs.open_log(cfg.log_file)
    sys.exit(runtime.run(serve, cfg))


if __name__ == "__main__":
    main()
