"""Structured logging through eliot, one JSON line per event."""

import contextvars
import sys

import attrs
import eliot

from carobstand import clock, errors, settings


@attrs.define
class LogState:
    """State of the log: whether events are written, and the clock for timestamps."""

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

    Exits with an error message of one line if the file cannot be opened.
    """
    try:
        configure(open(path, "a", buffering=1) if path else sys.stderr)
    except OSError as exc:
        reason = f"--log-file: {path!r} cannot be opened: {exc.strerror}"
        settings.exit_with_error(errors.SettingsError(reason, step="logs.open"))


def bind(**fields):
    """Add `fields` to all events of the current task and the tasks that it starts.

    Several programs can run in one process, each in a task with its own fields.

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
        Fields of the event; they override bound ones. API keys and tokens must not
        be passed.
    """
    if not STATE.configured:
        return
    stamp = STATE.clock.tick()
    eliot.log_message(message_type=name, hlc=stamp, **{**_FIELDS.get({}), **fields})
