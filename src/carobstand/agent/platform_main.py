"""carobstand-agent on the users' platform: keeps its engine at the named version."""

import anyio

from carobstand import command, errors, eventlog, http1_calls, loops
from carobstand.agent import loading, piece_sharing, receiving, reporting, view
from carobstand.platform import kv


async def serve(dep, leaving, hangups):
    """Run one agent until `leaving` is set.

    Parameters
    ----------
    dep : core.deployment.Deployment
    leaving : anyio.Event
    hangups : signals.Signal
        Notified on SIGHUP, to reload the settings.
    """
    state = view.View(
        dep, kv.connect(dep.store_address), http1_calls.Client(dep.backend_address)
    )
    async with anyio.create_task_group() as tg:
        for loop in (
            view.read_configuration,
            view.follow_versions,
            view.follow_entries,
            reporting.run,
            receiving.run,
            loading.run,
            piece_sharing.run,
        ):
            tg.start_soon(loops.supervise, loop, state)
        tg.start_soon(
            loops.supervise, command.reload_settings_on_hangup, state, hangups
        )
        eventlog.event("process.started", backend=dep.backend_address)
        await leaving.wait()
        eventlog.event("process.stopped")
        tg.cancel_scope.cancel()


def main():
    """Run the program with the settings file given by the platform."""
    command.main("agent", serve, _check)


def _check(dep):
    if not dep.backend_address:
        raise errors.SettingsError("app is not set", step="agent.main")


if __name__ == "__main__":
    main()
