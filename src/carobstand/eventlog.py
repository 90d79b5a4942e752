"""Decision log of the programs on the platform: JSON lines that never block.

One line says one decision or one change of what the process believes. Lines that a full
pipe does not take are dropped and counted; the count is written as soon as there is
room again.
"""

import json
import os
import time
import traceback

import attrs

STDOUT = 1
"""File descriptor of the log."""

MAX_PENDING_BYTES = 65536
"""Bytes of lines that wait for room in the pipe; further lines are dropped."""


DETAILS_VARIABLE = "CAROBSTAND_LOG_DETAILS"
"""Environment variable; 1 also writes lines that only developers need."""


@attrs.define(eq=False)
class Log:
    """Where lines go, and what could not be written.

    Attributes
    ----------
    descriptor : int or None
        None writes nothing.
    fields : dict
        Fields of every line.
    pending : bytes
        Rest of lines that the pipe did not take.
    dropped : int
        Lines dropped since the last line that says so.
    is_verbose : bool
        Whether lines of `debug` are written.
    """

    descriptor: int | None = None
    fields: dict = attrs.field(factory=dict)
    pending: bytes = b""
    dropped: int = 0
    is_verbose: bool = False


LOG = Log()


def configure(descriptor=STDOUT, **fields):
    """Write lines to `descriptor`, which no longer blocks, each with `fields`."""
    os.set_blocking(descriptor, False)
    LOG.descriptor = descriptor
    LOG.is_verbose = os.environ.get(DETAILS_VARIABLE, "") == "1"
    LOG.fields = fields


def event(name, **fields):
    """Write one line.

    Parameters
    ----------
    name : str
        Dotted name of the event, for example ``"request.refused"``.
    **fields
        JSON-compatible values. Keys of customers must not be passed.
    """
    if LOG.descriptor is None:
        return
    if LOG.dropped and not _flush():
        LOG.dropped += 1
        return
    if LOG.dropped:
        count, LOG.dropped = LOG.dropped, 0
        _write("log.dropped", {"lines": count})
    _write(name, fields)


def debug(name, **fields):
    """Write one line if details were asked for."""
    if LOG.is_verbose:
        event(name, **fields)


def failure(name, exc, **fields):
    """Write one line about an error that nothing else handles."""
    trace = "".join(traceback.format_exception(exc))
    event(name, error=repr(exc), trace=trace[-2000:], **fields)


def _write(name, fields):
    line = {"t": round(time.time(), 4), "event": name, **LOG.fields, **fields}
    raw = json.dumps(line, default=str, separators=(",", ":")).encode() + b"\n"
    if len(LOG.pending) + len(raw) > MAX_PENDING_BYTES:
        LOG.dropped += 1
        return
    LOG.pending += raw
    _flush()


def _flush():
    """Write what the pipe takes; return whether nothing is pending."""
    try:
        while LOG.pending:
            written = os.write(LOG.descriptor, LOG.pending)
            LOG.pending = LOG.pending[written:]
    except BlockingIOError:
        return False
    except OSError:
        # The reader is gone for good: there is no other place to report it.
        LOG.pending = b""
        LOG.descriptor = None
    return not LOG.pending
