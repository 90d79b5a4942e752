import json
import os
import subprocess
import sys

import anyio
import attrs
import pytest

from carobstand import command, signals
from carobstand.platform import settings_file
from testing import platform_builders as build


def write(tmp_path, **changes):
    """Write a settings file; return its path."""
    path = tmp_path / "boot.json"
    path.write_text(json.dumps(build.settings_record(**changes)))
    return str(path)


def run(role, *args, settings=""):
    """Run a program until it exits; return the `CompletedProcess`."""
    return subprocess.run(
        [sys.executable, "-m", f"carobstand.{role}.platform_main", *args],
        env={**os.environ, settings_file.PATH_VARIABLE: settings},
        capture_output=True,
        text=True,
        timeout=30,
    )


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_check_only_validates_the_settings_without_starting(role, tmp_path):
    done = run(role, "--check-only", settings=write(tmp_path, app="10.0.0.1:80"))
    assert (done.returncode, done.stderr) == (0, "")
    assert role in done.stdout


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_invalid_settings_end_a_program_with_a_one_line_message(role, tmp_path):
    for path in ("", str(tmp_path / "none.json"), write(tmp_path, platform={})):
        done = run(role, settings=path)
        assert done.returncode == command.EXIT_SETTINGS
        assert len(done.stderr.splitlines()) == 1


def test_unknown_arguments_are_rejected_and_help_lists_the_known_ones():
    assert run("entry", "--nonsense").returncode != 0
    shown = run("entry", "--help")
    assert shown.returncode == 0
    assert "--settings" in shown.stdout
    assert "CAROBSTAND_CONFIG" in shown.stdout


@attrs.define
class State:
    deployment: object


def test_settings_are_reloaded_after_a_hangup_signal(tmp_path, monkeypatch):
    path = write(tmp_path)
    monkeypatch.setenv(settings_file.PATH_VARIABLE, path)
    state, hangups = State(settings_file.load(path)), signals.Signal()
    before = state.deployment

    async def hang_up():
        await anyio.sleep(0.01)
        hangups.notify()
        await anyio.sleep(0.05)

    async def test():
        async with anyio.create_task_group() as tg:
            tg.start_soon(command.reload_settings_on_hangup, state, hangups)
            bounds = {**build.settings_record()["bounds"], "drain_ms": 1234}
            write(tmp_path, bounds=bounds, node_name="another")
            await hang_up()
            assert state.deployment.bounds.drain_s == 1.234
            assert state.deployment.vm == before.vm
            write(tmp_path, platform={})
            kept = state.deployment
            await hang_up()
            assert state.deployment is kept
            tg.cancel_scope.cancel()

    anyio.run(test)
