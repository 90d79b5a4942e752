"""Parts of a process, each with message handlers and a loop, and message dispatch."""

import attrs

from carobstand import errors


@attrs.frozen
class Part:
    """A part of a process: its message handlers and its loop.

    Parameters
    ----------
    handlers : dict
        Message type to an async callable of (conn, message).
    run : async callable without arguments, or None
        Runs until cancelled.
    """

    handlers: dict = attrs.field(factory=dict)
    run: object = None


def merge(parts):
    """Return the handlers of all `parts` as one dict.

    Raises
    ------
    InvariantError
        If two parts handle the same message type.
    """
    merged = {}
    for part in parts:
        for kind, handler in part.handlers.items():
            if kind in merged:
                raise errors.InvariantError(
                    f"two handlers for {kind.__name__}", step="handlers.merge"
                )
            merged[kind] = handler
    return merged


async def dispatch(handlers, conn, message):
    """Call the handler of `message`.

    Raises
    ------
    WireError
        If no handler exists for the message type.
    """
    handler = handlers.get(type(message))
    if handler is None:
        raise errors.WireError(
            f"unexpected {type(message).__name__}",
            step="handlers.dispatch",
            peer=conn.address,
        )
    await handler(conn, message)
