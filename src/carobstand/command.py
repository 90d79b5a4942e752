"""Command line, settings and signal handling shared by the platform programs."""

import os
import sys

import attrs

from carobstand import errors, eventlog, loops
from carobstand.platform import settings_file

EXIT_SETTINGS = 2
"""Exit status for invalid settings."""

RELOADABLE_SETTINGS = (
    "bounds",
    "heartbeat_s",
    "link_bytes_per_s",
    "memory_bytes",
    "regions",
)
"""Settings that a running process applies; others require a restart."""

SIGNAL_WAIT_S = 3600.0
"""Maximum wait for one notification; the wait is repeated without other effect."""


def main(role, serve, check):
    """Run a program according to its command line.

    Parameters
    ----------
    role : str
    serve : async callable of (Deployment, Event, Signal)
        Runs the process until the event is set; the signal requests a reload of the
        settings.
    check : callable of (Deployment)
        Raises SettingsError if the role lacks a setting.
    """
    if not sys.argv[1:]:
        # The platform passes no arguments; skipping the import saves memory there.
        return _start(role, serve, check, "", False)
    import defopt

    def program(*, settings: str = "", check_only: bool = False, version: bool = False):
        """Run a carobstand program on the users' platform.

        :param settings: settings file; default: the path in CAROBSTAND_CONFIG
        :param check_only: check the settings, print the result and exit
        :param version: print the version and exit
        """
        if version:
            from importlib import metadata

            print(metadata.version("carobstand"))
            return None
        return _start(role, serve, check, settings, check_only)

    return defopt.run(program, argv=sys.argv[1:])


def _start(role, serve, check, path, check_only):
    path = path or os.environ.get(settings_file.PATH_VARIABLE, "")
    try:
        dep = settings_file.load(path)
        check(dep)
    except errors.SettingsError as exc:
        print(f"error: {exc.message}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if check_only:
        print(f"{path}: settings of {role} on {dep.vm} are valid")
        return
    eventlog.configure(vm=dep.vm, role=role)
    loops.run(loops.run_until_terminated, serve, dep)


async def reload_settings_on_hangup(state, hangups):
    """Reload the settings at each SIGHUP, until cancelled.

    Parameters
    ----------
    state : object with a `deployment`
        Its `deployment` is replaced; invalid settings leave it unchanged.
    hangups : signals.Signal
        Notified at each SIGHUP.
    """
    while True:
        if await hangups.wait(SIGNAL_WAIT_S):
            _reload(state, os.environ.get(settings_file.PATH_VARIABLE, ""))


def _reload(state, path):
    try:
        reloaded = settings_file.load(path)
    except errors.SettingsError as exc:
        eventlog.event("settings.refused", error=exc.message)
        return
    current = state.deployment
    names = [field.name for field in attrs.fields(type(current))]
    changed = [
        name for name in names if getattr(reloaded, name) != getattr(current, name)
    ]
    applied = {
        name: getattr(reloaded, name) for name in changed if name in RELOADABLE_SETTINGS
    }
    state.deployment = attrs.evolve(current, **applied)
    eventlog.event(
        "settings.reloaded",
        changed=sorted(applied),
        needs_start=sorted(set(changed) - set(applied)),
    )
