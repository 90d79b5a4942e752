"""Events that a request in an entry takes, and effects that it asks for."""

import attrs

from carobstand.core import attempts, claims

RETRY_AFTER_S = 1.0
"""Retry-After when nothing better is known."""


@attrs.frozen
class Placed:
    """A backend server was reserved and an attempt id was taken."""

    attempt_id: int
    vm: str
    agent_start_id: str
    version: str


@attrs.frozen
class NotPlaced:
    """No backend server takes the request."""

    status: int
    title: str
    reason: str
    retry_after_s: float = RETRY_AFTER_S


@attrs.frozen
class ClaimWritten:
    """The claim that was to be written is in the store."""

    revision: int


@attrs.frozen
class ClaimNotWritten:
    """The write failed; without `conflict` it may have taken effect."""

    conflict: bool


@attrs.frozen
class ClaimRead:
    """The claim in the store, or None; `open_here` if its attempt is open here."""

    claim: claims.Claim | None
    revision: int = 0
    open_here: bool = False


@attrs.frozen
class ClaimNotRead:
    """The store gave no usable answer."""

    reason: str


@attrs.frozen
class AgentReplied:
    """What the agent knows about the attempt that a claim names."""

    phase: attempts.Phase
    answer: claims.Stored | None = None


@attrs.frozen
class AgentSilent:
    """The agent was not reached, or is `gone` for ever."""

    gone: bool


@attrs.frozen
class Data:
    """Part of an answer; `head` is (status, headers, is an event stream) once."""

    attempt_id: int
    data: bytes
    head: tuple | None = None


@attrs.frozen
class Ended:
    """End of an attempt.

    `broken`: its answer failed verification; `full`: refused for lack of room.
    """

    attempt_id: int
    outcome: attempts.Outcome
    reason: str = ""
    broken: bool = False
    full: bool = False


@attrs.frozen
class Detached:
    """The connection of an attempt ended; its agent may come back with it."""

    attempt_id: int


@attrs.frozen
class NotSent:
    """The attempt could not be sent; nothing left this process."""

    attempt_id: int
    reason: str


@attrs.frozen
class HedgeDue:
    """The first byte is later than usual."""


@attrs.frozen
class DeadlinePassed:
    """The time of the request is over."""


@attrs.frozen
class CallerGone:
    """The caller disconnected or does not read."""


@attrs.frozen
class Place:
    """Reserve another backend server than `used`, of `version` if that is set."""

    used: frozenset
    version: str
    hedge: bool = False


@attrs.frozen
class Send:
    """Send an attempt that starts at `offset` of the answer."""

    attempt_id: int
    offset: int


@attrs.frozen
class WriteClaim:
    """Write a claim by compare-and-swap on `expect`; 0 creates it."""

    claim: claims.Claim
    expect: int


@attrs.frozen
class ReadClaim:
    """Read the claim of the request's key."""


@attrs.frozen
class DropClaim:
    """Delete the claim of a call that did not run, if it is unchanged."""

    expect: int


@attrs.frozen
class StoreOutcome:
    """Write the outcome of a call in the background, then close its attempt."""

    claim: claims.Claim
    expect: int
    attempt_id: int | None


@attrs.frozen
class AskAgent:
    """Ask the agent start of `claim` whether its attempt ran; revoke it if not."""

    claim: claims.Claim


@attrs.frozen
class Head:
    """Send status and headers to the caller; `outcome` is None if not known yet."""

    status: int
    headers: tuple
    outcome: attempts.Outcome | None


@attrs.frozen
class Body:
    """Send answer bytes to the caller."""

    data: bytes


@attrs.frozen
class Complete:
    """End the answer."""


@attrs.frozen
class Refuse:
    """Send a problem document."""

    status: int
    title: str
    detail: str
    outcome: attempts.Outcome
    retry_after_s: float | None = None


@attrs.frozen
class Cut:
    """Break off an answer whose start was delivered."""

    reason: str


@attrs.frozen
class Cancel:
    """Tell the agent that an attempt is not wanted."""

    attempt_id: int


@attrs.frozen
class Close:
    """Close an attempt and give back its backend server."""

    attempt_id: int
