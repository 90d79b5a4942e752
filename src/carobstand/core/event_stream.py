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
        False once an id did not exceed the one before it.
    """

    last_id: int | None = None
    pending: bytes = b""
    events: int = 0
    in_order: bool = True


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
        if state.last_id is not None and event_id <= state.last_id:
            state.in_order = False
        state.last_id = event_id
