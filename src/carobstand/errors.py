"""Exceptions of carobstand. Each names the step and the peer at which it arose."""


class CarobstandError(Exception):
    """Base of all errors raised by carobstand.

    Parameters
    ----------
    message : str
        What went wrong, and what is allowed where that is known.
    step : str
        The operation that failed, for example ``"store.put"``.
    peer : str
        Address or name of the other side, empty if there is none.
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
    """An invariant of the design does not hold; the process must not go on."""


class SettingsError(CarobstandError):
    """A setting is missing, unknown or out of range."""


class RecordError(CarobstandError):
    """A record of the platform cannot be read."""


class TableError(CarobstandError):
    """A table is malformed."""


class ConflictError(CarobstandError):
    """Another writer changed the same value."""


class StoreError(CarobstandError):
    """The configuration store gave no usable answer."""


class StoreUnavailableError(StoreError):
    """The configuration store did not answer; a write may have taken effect."""


class HistoryLostError(StoreError):
    """The store no longer has the changes after the revision that was asked for."""


class OriginError(CarobstandError):
    """The origin of weights gave no usable answer."""


class BackendError(CarobstandError):
    """A backend server refused a call or gave no usable answer."""


class BackendDiedError(BackendError):
    """A backend server closed its connection before its answer was complete."""


class HttpError(CarobstandError):
    """An HTTP exchange ended without a complete answer.

    `sent` says whether any byte of the request may have reached the other side.
    """

    def __init__(self, message, *, step="", peer="", sent=True):
        super().__init__(message, step=step, peer=peer)
        self.sent = sent


class TooLargeError(HttpError):
    """A response has more bytes than are taken."""


class WireError(CarobstandError):
    """A frame or message between processes is malformed or too large."""


class ConnectionClosedError(CarobstandError):
    """The connection to another process ended."""


class HandshakeError(CarobstandError):
    """Another process was refused at the start of a connection."""


class WeightsError(CarobstandError):
    """Weights or a manifest are malformed or failed verification."""


class StuckError(CarobstandError):
    """A source of weights is there but has made no progress for too long."""


class MemoryLimitError(WeightsError):
    """Weights do not fit into the memory set aside for them."""


class TimelineError(CarobstandError):
    """A log file cannot be read as JSON lines."""


def first_of(group):
    """Return the first error of ours in an exception group, or the group itself.

    The group is returned if it also holds errors that are not ours.
    """
    matching, rest = group.split(CarobstandError)
    if rest is not None or matching is None:
        return group
    while isinstance(matching, BaseExceptionGroup):
        matching = matching.exceptions[0]
    return matching
