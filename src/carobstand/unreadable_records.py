"""Logs each unreadable record of the store once, not at each reading."""

import attrs

from carobstand import eventlog

MAX_KNOWN = 4096
"""Records of which is known that they were logged; the oldest is dropped first."""


@attrs.define(eq=False)
class Unreadable:
    """Records that were logged; `errors` is the last error message by key."""

    errors: dict = attrs.field(factory=dict)


def log(known, key, message):
    """Log that a record is unreadable, unless it was for the same reason."""
    if known.errors.get(key) == message:
        return
    known.errors.pop(key, None)
    known.errors[key] = message
    if len(known.errors) > MAX_KNOWN:
        del known.errors[next(iter(known.errors))]
    eventlog.event("record.unreadable", key=key, error=message)


def forget(known, key):
    """Note that a record is readable or gone: what it is next time is logged again."""
    known.errors.pop(key, None)
