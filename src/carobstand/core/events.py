"""Events that the request state machine of an entry processes, and its effects.

An effect is an action that the state machine requests from its caller.
"""

import attrs

from carobstand.core import attempts, claims

RETRY_AFTER_S = 1.0
"""Default for the Retry-After header."""


@attrs.frozen
class Placed:
    """A slot at a backend server was reserved and an attempt id assigned."""

    attempt_id: int
    vm: str
    agent_start_id: str
    version: str


@attrs.frozen
class NotPlaced:
    """No backend server can accept the request."""

    status: int
    title: str
    reason: str
    retry_after_s: float = RETRY_AFTER_S


@attrs.frozen
class ClaimWritten:
    """The claim was written to the store."""

    revision: int


@attrs.frozen
class ClaimNotWritten:
    """Writing the claim failed; unless `conflict` is set it may have taken effect."""

    conflict: bool


@attrs.frozen
class ClaimRead:
    """The claim in the store, or None.

    `open_here` tells whether its attempt is open in this entry.
    """

    claim: claims.Claim | None
    revision: int = 0
    open_here: bool = False


@attrs.frozen
class ClaimNotRead:
    """The claim could not be read: the store gave no valid answer."""

    reason: str


@attrs.frozen
class AgentReplied:
    """The agent's state of the attempt that a claim names."""

    phase: attempts.Phase
    answer: claims.StoredResponse | None = None


@attrs.frozen
class AgentUnreachable:
    """The agent could not be reached; `gone` if a new start replaced it."""

    gone: bool


@attrs.frozen
class ResponseData:
    """Part of an answer.

    The first part has a `head`: (status, headers, whether it is an event stream).
    """

    attempt_id: int
    data: bytes
    head: tuple | None = None


@attrs.frozen
class AttemptEnded:
    """An attempt ended.

    `corrupt` if its answer failed verification,
    `no_slot` if the agent refused it for lack of a free slot.
    """

    attempt_id: int
    outcome: attempts.Outcome
    reason: str = ""
    corrupt: bool = False
    no_slot: bool = False


@attrs.frozen
class AttemptDetached:
    """The connection of an attempt was lost; its agent may reconnect and resume it."""

    attempt_id: int


@attrs.frozen
class AttemptNotSent:
    """The attempt could not be sent; no byte of it left this process."""

    attempt_id: int
    reason: str


@attrs.frozen
class HedgeDue:
    """The first byte is overdue and a hedge may be sent."""


@attrs.frozen
class DeadlinePassed:
    """The deadline of the request has passed."""


@attrs.frozen
class CallerDisconnected:
    """The caller disconnected or stopped reading."""


@attrs.frozen
class PlaceAttempt:
    """Reserve a backend server not in `used`, with `version` if that is set."""

    used: frozenset
    version: str
    hedge: bool = False


@attrs.frozen
class SendAttempt:
    """Send an attempt that starts at `offset` of the answer."""

    attempt_id: int
    offset: int


@attrs.frozen
class WriteClaim:
    """Write a claim by compare-and-swap on revision `expect`; 0 creates it."""

    claim: claims.Claim
    expect: int


@attrs.frozen
class ReadClaim:
    """Read the claim of the request's idempotency key."""


@attrs.frozen
class DeleteClaim:
    """Delete the claim of a call that did not run, if its revision is `expect`."""

    expect: int


@attrs.frozen
class StoreOutcome:
    """Write the outcome of a call in the background, then close its attempt."""

    claim: claims.Claim
    expect: int
    attempt_id: int | None


@attrs.frozen
class QueryAgent:
    """Ask the agent that `claim` names whether the attempt ran; revoke it if not."""

    claim: claims.Claim


@attrs.frozen
class SendHead:
    """Send status and headers to the caller; `outcome` is None if still unknown."""

    status: int
    headers: tuple
    outcome: attempts.Outcome | None


@attrs.frozen
class SendBody:
    """Send part of the response body to the caller."""

    data: bytes


@attrs.frozen
class CompleteResponse:
    """Complete the response to the caller."""


@attrs.frozen
class RejectRequest:
    """Reject the request with a problem document."""

    status: int
    title: str
    detail: str
    outcome: attempts.Outcome
    retry_after_s: float | None = None


@attrs.frozen
class AbortResponse:
    """Abort a response that was partly sent."""

    reason: str


@attrs.frozen
class CancelAttempt:
    """Tell the agent to cancel an attempt."""

    attempt_id: int


@attrs.frozen
class CloseAttempt:
    """Close an attempt and release its slot at the backend server."""

    attempt_id: int
