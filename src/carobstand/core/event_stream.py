"""Server-sent events of one response: framing and check of the event ids.

Only complete events are forwarded, and a stream resumed at another server must continue
after the last id.
"""

import attrs

MAX_EVENT_BYTES = 262_144
"""Maximum size of an incomplete event; beyond it the stream is unusable."""

MAX_ID_DIGITS = 18
"""Most digits of an event's id; the conversion of thousands of digits fails."""

EVENT_END = b"\n\n"


@attrs.define
class EventStream:
    """State of the stream after the events forwarded so far.

    Attributes
    ----------
    last_id : int or None
        Id of the last complete event.
    pending : bytearray
        Bytes of the last event, whose end has not arrived.
    events : int
        Number of complete events; comments are not counted.
    in_order : bool
        False once an id was not greater than the previous one, or the first id after
        `resume` left a gap although there was none before.
    has_gaps : bool
        Whether an id was not the previous one plus 1.
    is_resumed : bool
        Whether the next id is the first one from another server.
    is_too_long : bool
        Whether an incomplete event exceeds `MAX_EVENT_BYTES`.
    """

    last_id: int | None = None
    pending: bytearray = attrs.field(factory=bytearray)
    events: int = 0
    in_order: bool = True
    has_gaps: bool = False
    is_resumed: bool = False
    is_too_long: bool = False


def feed(state, data):
    """Add bytes of a response; return the bytes of all events that are now complete."""
    # The terminator may be split between the pending and the new bytes.
    search_from = max(0, len(state.pending) - len(EVENT_END) + 1)
    state.pending += data
    end = state.pending.rfind(EVENT_END, search_from)
    if end < 0:
        state.is_too_long = len(state.pending) > MAX_EVENT_BYTES
        return b""
    end += len(EVENT_END)
    complete = bytes(memoryview(state.pending)[:end])
    del state.pending[:end]
    for event in complete[: -len(EVENT_END)].split(EVENT_END):
        _record_event(state, event)
    return complete


def _record_event(state, event):
    lines = event.split(b"\n")
    state.events += any(line and not line.startswith(b":") for line in lines)
    for line in lines:
        name, _, value = line.partition(b":")
        value = value.strip()
        if name != b"id" or not value.isdigit() or len(value) > MAX_ID_DIGITS:
            continue
        event_id = int(value)
        _check_order(state, event_id)
        state.last_id = event_id


def resume(state):
    """Prepare for the events of another server, which continue after the last id."""
    state.pending.clear()
    state.is_too_long = False
    state.is_resumed = state.last_id is not None


def _check_order(state, event_id):
    if state.last_id is None:
        return
    if event_id <= state.last_id:
        state.in_order = False
    if event_id != state.last_id + 1:
        if state.is_resumed and not state.has_gaps:
            state.in_order = False
        state.has_gaps = True
    state.is_resumed = False
