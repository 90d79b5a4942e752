"""Server-sent events of one response: cut at event boundaries, ids in order."""

import attrs

MAX_EVENT_BYTES = 262_144
"""Largest event; an unfinished one beyond it makes the stream unusable."""

END = b"\n\n"


@attrs.define
class EventStream:
    """Events that passed so far.

    Attributes
    ----------
    last_id : int or None
        Id of the last complete event.
    pending : bytearray
        Start of an event whose end has not arrived.
    events : int
        Complete events; comments are none.
    in_order : bool
        False once an id did not exceed the one before it, or left a gap where the
        ids before had none.
    has_gaps : bool
        Whether ids have not followed one another.
    is_resumed : bool
        Whether the next event is the first one of another server.
    is_too_long : bool
        Whether an event exceeds `MAX_EVENT_BYTES`.
    """

    last_id: int | None = None
    pending: bytearray = attrs.field(factory=bytearray)
    events: int = 0
    in_order: bool = True
    has_gaps: bool = False
    is_resumed: bool = False
    is_too_long: bool = False


def feed(state, data):
    """Add bytes of a response; return those of the events that are now complete."""
    # An end may lie across the bytes that were there and the new ones.
    searched = max(0, len(state.pending) - len(END) + 1)
    state.pending += data
    end = state.pending.rfind(END, searched)
    if end < 0:
        state.is_too_long = len(state.pending) > MAX_EVENT_BYTES
        return b""
    end += len(END)
    complete = bytes(memoryview(state.pending)[:end])
    del state.pending[:end]
    for event in complete[: -len(END)].split(END):
        _note(state, event)
    return complete


def _note(state, event):
    lines = event.split(b"\n")
    state.events += any(line and not line.startswith(b":") for line in lines)
    for line in lines:
        name, _, value = line.partition(b":")
        value = value.strip()
        if name != b"id" or not value.isdigit():
            continue
        event_id = int(value)
        _check(state, event_id)
        state.last_id = event_id


def resume(state):
    """Prepare for the events of another server, which go on after the last one."""
    state.pending.clear()
    state.is_too_long = False
    state.is_resumed = state.last_id is not None


def _check(state, event_id):
    if state.last_id is None:
        return
    if event_id <= state.last_id:
        state.in_order = False
    if event_id != state.last_id + 1:
        if state.is_resumed and not state.has_gaps:
            state.in_order = False
        state.has_gaps = True
    state.is_resumed = False
