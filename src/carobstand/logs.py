"""Structured logs: one JSON line an event, written through eliot."""

import contextvars
import sys

import attrs
import eliot

from carobstand import clock, errors, settings


@attrs.define
class LogState:
    """Whether events are written, and the clock that stamps them."""

    clock: "clock.HybridClock" = attrs.field(factory=clock.HybridClock)
    configured: bool = False


STATE = LogState()
_FIELDS = contextvars.ContextVar("carobstand_log_fields")


def configure(stream):
    """Write events to `stream` as JSON lines.

    Parameters
    ----------
    stream : text file
    """
    eliot.to_file(stream)
    STATE.configured = True


def open_log(path):
    """Append events to the file `path`; an empty path means standard error.

    Exits with one line if the file cannot be opened.
    """
    try:
        configure(open(path, "a", buffering=1) if path else sys.stderr)
    except OSError as exc:
        reason = f"--log-file: {path!r} cannot be opened: {exc.strerror}"
        settings.fail(errors.SettingsError(reason, step="logs.open"))


def bind(**fields):
    """Add `fields` to each event logged by this task and the tasks it starts.

    Several programs can run in one process, each in a task with fields of its own.

    Parameters
    ----------
    **fields
        For example process, start_id, vm, failure_domain.
    """
    _FIELDS.set({**_FIELDS.get({}), **fields})


def event(name, **fields):
    """Log one event.

    Parameters
    ----------
    name : str
        Dotted name of the event, for example ``"attempt.sent"``.
    **fields
        Fields of the event; they override bound ones. Keys and tokens must not be
        passed.
    """
    if not STATE.configured:
        return
    stamp = STATE.clock.tick()
    eliot.log_message(message_type=name, hlc=stamp, **{**_FIELDS.get({}), **fields})
