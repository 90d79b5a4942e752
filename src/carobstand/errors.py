"""Exceptions of carobstand, with the operation that failed and the peer involved."""


class CarobstandError(Exception):
    """Base of all errors raised by carobstand.

    Parameters
    ----------
    message : str
        What went wrong, and the allowed values where they are known.
    step : str
        The operation that failed, for example ``"store.put"``.
    peer : str
        Address or name of the remote side, empty if there is none.
    """

    def __init__(self, message, *, step="", peer=""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self):
        where = " ".join(
            part
            for part in (
                f"step={self.step}" if self.step else "",
                f"peer={self.peer}" if self.peer else "",
            )
            if part
        )
        return f"{self.message} [{where}]" if where else self.message


class InvariantError(CarobstandError):
    """An invariant of the design is violated; the process must not continue."""


class SettingsError(CarobstandError):
    """A setting is missing, unknown or out of range."""


class RecordError(CarobstandError):
    """A record of the platform is malformed or cannot be read."""


class TableError(CarobstandError):
    """A table is malformed."""


class ConflictError(CarobstandError):
    """Another writer changed the same value concurrently."""


class RevisionError(ConflictError):
    """A key has not the revision on whose condition a call was to be executed.

    `items` are the keys of the condition as they are, without those that are absent.
    """

    def __init__(self, message, *, step="", peer="", items=()):
        super().__init__(message, step=step, peer=peer)
        self.items = items


class LeaseEndedError(ConflictError):
    """A lease of the configuration store has ended."""


class StoreError(CarobstandError):
    """The configuration store returned no valid response."""


class StoreUnavailableError(StoreError):
    """The configuration store did not respond; a write may have taken effect."""


class HistoryLostError(StoreError):
    """The store no longer has the changes after the requested revision."""


class OriginError(CarobstandError):
    """The origin of weights returned no valid response."""


class BackendError(CarobstandError):
    """A backend server rejected a call or returned no valid response."""


class BackendDiedError(BackendError):
    """A backend server closed its connection before its response was complete."""


class HttpError(CarobstandError):
    """An HTTP exchange ended without a complete response.

    `sent` is whether any byte of the request may have reached the server.
    """

    def __init__(self, message, *, step="", peer="", sent=True):
        super().__init__(message, step=step, peer=peer)
        self.sent = sent


class ExcessiveOverheadError(HttpError):
    """A response has far more protocol overhead than content."""


class TooLargeError(HttpError):
    """A response exceeds the size limit."""


class WireError(CarobstandError):
    """A frame or message between processes is malformed or too large."""


class ConnectionClosedError(CarobstandError):
    """The connection to another process was closed."""


class UnresponsiveError(ConnectionClosedError):
    """Another process accepted no connection or was silent for too long."""


class HandshakeError(CarobstandError):
    """The handshake with another process was rejected."""


class WeightsError(CarobstandError):
    """Weights or a manifest are malformed or failed verification."""


class StalledError(CarobstandError):
    """A source of weights is reachable but has made no progress for too long."""


class MemoryLimitError(WeightsError):
    """Weights exceed the memory reserved for them."""


class TimelineError(CarobstandError):
    """A log file cannot be read as JSON lines."""


def first_carobstand_error(group):
    """Return the first `CarobstandError` in an exception group, or the group itself.

    The group is returned if it also holds other kinds of errors, or only those.
    """
    matching, rest = group.split(CarobstandError)
    if rest is not None or matching is None:
        return group
    while isinstance(matching, BaseExceptionGroup):
        matching = matching.exceptions[0]
    return matching
