"""Command line, settings and signals that the programs on the platform share."""

import os
import sys

import attrs

from carobstand import errors, eventlog, loops
from carobstand.platform import boot

EXIT_SETTINGS = 2
"""Exit status for wrong settings."""

RELOADED = ("bounds", "heartbeat_s", "link_bytes_per_s", "memory_bytes", "regions")
"""Settings that a running process takes over; others need a new start."""

LOOK_INTERVAL_S = 3600.0
"""Longest wait for a signal; only its end matters, not its length."""


def main(role, serve, check):
    """Run a program as its arguments say.

    Parameters
    ----------
    role : str
    serve : async callable of (Deployment, Event, Signal)
        Runs the process until the event; the signal asks to read settings again.
    check : callable of (Deployment)
        Raises SettingsError if the role lacks a setting.
    """
    if not sys.argv[1:]:
        # The platform gives no arguments, and pays for the memory of each import.
        return _start(role, serve, check, "", False)
    import defopt

    def program(*, settings: str = "", check_only: bool = False, version: bool = False):
        """Run a program of carobstand on the users' platform.

        :param settings: settings file; default: what CAROBSTAND_CONFIG names
        :param check_only: check the settings, say what they are, and end
        :param version: print the version and end
        """
        if version:
            from importlib import metadata

            print(metadata.version("carobstand"))
            return None
        return _start(role, serve, check, settings, check_only)

    return defopt.run(program, argv=sys.argv[1:])


def _start(role, serve, check, path, check_only):
    path = path or os.environ.get(boot.PATH_VARIABLE, "")
    try:
        dep = boot.load(path)
        check(dep)
    except errors.SettingsError as exc:
        print(f"error: {exc.message}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if check_only:
        print(f"{path}: settings of {role} on {dep.vm} are right")
        return
    eventlog.configure(vm=dep.vm, role=role)
    loops.run(loops.until_terminated, serve, dep)


async def follow_settings(state, hangups):
    """Read the settings again at each SIGHUP, until cancelled.

    Parameters
    ----------
    state : object with a `deployment`
        Its `deployment` is replaced; wrong settings leave it as it is.
    hangups : signals.Signal
    """
    while True:
        if await hangups.wait(LOOK_INTERVAL_S):
            _reload(state, os.environ.get(boot.PATH_VARIABLE, ""))


def _reload(state, path):
    try:
        found = boot.load(path)
    except errors.SettingsError as exc:
        eventlog.event("settings.refused", error=exc.message)
        return
    before = state.deployment
    names = [field.name for field in attrs.fields(type(before))]
    changed = [name for name in names if getattr(found, name) != getattr(before, name)]
    taken = {name: getattr(found, name) for name in changed if name in RELOADED}
    state.deployment = attrs.evolve(before, **taken)
    eventlog.event(
        "settings.reloaded",
        changed=sorted(taken),
        needs_start=sorted(set(changed) - set(taken)),
    )
