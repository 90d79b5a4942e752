"""Event log of the programs on the platform: JSON lines, written without blocking.

Each line records one decision or one change of cached state. Lines that do not fit into
the buffer of a full pipe are dropped and counted; the count is logged once the pipe
accepts data again.
"""

import json
import os
import time
import traceback

import attrs

STDOUT = 1
"""File descriptor of the log."""

MAX_PENDING_BYTES = 65536
"""Maximum bytes buffered while the pipe is full; further lines are dropped."""

DETAILS_VARIABLE = "CAROBSTAND_LOG_DETAILS"
"""Environment variable; 1 also writes debug lines, which only developers need."""


@attrs.define(eq=False)
class Log:
    """Destination of lines, and those not yet written.

    Attributes
    ----------
    descriptor : int or None
        File descriptor; None disables the log.
    fields : dict
        Fields added to every line.
    pending : bytes
        Bytes that the pipe has not accepted yet.
    dropped : int
        Lines dropped since the last ``log.dropped`` line.
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
    """Make `descriptor` non-blocking and write lines to it, each with `fields`."""
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
        JSON-compatible values. API keys of customers must not be passed.
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
    """Write one line if `LOG.is_verbose`."""
    if LOG.is_verbose:
        event(name, **fields)


def failure(name, exc, **fields):
    """Write one line, with a traceback, about an otherwise unhandled error."""
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
    """Write pending bytes until the pipe is full; return whether none remain."""
    try:
        while LOG.pending:
            written = os.write(LOG.descriptor, LOG.pending)
            LOG.pending = LOG.pending[written:]
    except BlockingIOError:
        return False
    except OSError:
        # The pipe's reader has exited, and errors cannot be reported elsewhere.
        LOG.pending = b""
        LOG.descriptor = None
    return not LOG.pending
