"""Structured logs: one JSON line an event, written through eliot."""

import sys

import attrs
import eliot

from carobstand import clock


@attrs.define
class LogState:
    """Process-wide fields of log lines and the clock that stamps them."""

    fields: dict = attrs.field(factory=dict)
    clock: clock.HybridClock = attrs.field(factory=clock.HybridClock)
    configured: bool = False


STATE = LogState()


def configure(stream=None, **fields):
    """Write events to `stream` as JSON lines.

    Parameters
    ----------
    stream : text file, default=sys.stderr
        Destination of the lines.
    **fields
        Fields of every line: process, start_id, vm, failure_domain.
    """
    STATE.fields = fields
    if not STATE.configured:
        eliot.to_file(stream or sys.stderr)
        STATE.configured = True


def event(name, **fields):
    """Log one event.

    Parameters
    ----------
    name : str
        Dotted name of the event, for example ``"attempt.sent"``.
    **fields
        Fields of the event; they override those of the process. Keys and
        tokens must not be passed.
    """
    if not STATE.configured:
        return
    stamp = STATE.clock.tick()
    eliot.log_message(message_type=name, hlc=stamp, **{**STATE.fields, **fields})
