"""Server-sent events of one response: cut at event boundaries, ids in order."""

import attrs


@attrs.define
class EventStream:
    """Events that passed so far.

    Attributes
    ----------
    last_id : int or None
        Id of the last complete event.
    pending : bytes
        Start of an event whose end has not arrived.
    events : int
        Complete events.
    in_order : bool
        False once an id did not exceed the one before it, or left a gap where the
        ids before had none.
    has_gaps : bool
        Whether ids have not followed one another.
    is_resumed : bool
        Whether the next event is the first one of another server.
    """

    last_id: int | None = None
    pending: bytes = b""
    events: int = 0
    in_order: bool = True
    has_gaps: bool = False
    is_resumed: bool = False


def feed(state, data):
    """Add bytes of a response; return those of the events that are now complete."""
    data = state.pending + data
    end = data.rfind(b"\n\n")
    if end < 0:
        state.pending = data
        return b""
    complete, state.pending = data[: end + 2], data[end + 2 :]
    for event in complete[:-2].split(b"\n\n"):
        _note(state, event)
    return complete


def _note(state, event):
    state.events += 1
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.strip()
        if name != b"id" or not value.isdigit():
            continue
        event_id = int(value)
        _check(state, event_id)
        state.last_id = event_id


def resume(state):
    """Prepare for the events of another server, which go on after the last one."""
    state.pending = b""
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
