"""State of one request at an entry, and transitions shared by its event handlers.

Two invariants are checked here; a violation raises InvariantError. A non-idempotent
attempt is sent only under a claim that names it, and `not run` is reported only if no
attempt can have run.
"""

import enum

import attrs

from carobstand import errors
from carobstand.core import attempts, claims, events, retries

DONE = attempts.Outcome.DONE
NOT_RUN = attempts.Outcome.NOT_RUN
UNKNOWN = attempts.Outcome.UNKNOWN


class Stage(enum.Enum):
    """Stage of a request; the value says what it waits for."""

    PLACING = "a backend server"
    CLAIMING = "the write of its claim"
    READING = "the read of a claim"
    ASKING = "the agent that a claim names"
    RUNNING = "an attempt"
    ENDED = "nothing"


@attrs.define(eq=False)
class OpenAttempt:
    """An open attempt of a request; `sent` is set once a `Send` effect was returned."""

    placed: events.Placed
    sent: bool = False


@attrs.define(eq=False)
class Request:
    """State of one request.

    Attributes
    ----------
    idempotent : bool
    digest : str
        Digest of the request, for claims.
    entry_start_id : str
    resumable : bool
        Whether backend servers can resume an answer, skipping bytes already sent.
    budget : retries.Budget
        Shared by all requests of the entry.
    may_retry : bool
        Whether hedges are sent, and retries after an attempt that may have run.
    open_attempts : dict of int to OpenAttempt
        Open attempts, by attempt id.
    used : set of str
        VMs whose backend servers had an attempt.
    unresolved : int
        Number of attempts that were sent and may have run.
    earlier_may_have_run : bool
        Whether another request with the same key may have run.
    winner : int or None
        Id of the attempt whose answer is forwarded.
    version : str
        Version that must serve the rest of a started answer, empty before.
    offset : int
        Number of answer bytes forwarded to the caller.
    gone : bool
        Whether nothing more is sent to the caller: it disconnected, or the request
        timed out while its call runs on.
    placing : bool
        Whether a backend server was requested and is not assigned yet; hedges excluded.
    failed_over : bool
        Whether an attempt was added beside one that had lost its connection.
    head : tuple or None
        Status, headers and whether the answer is an event stream.
    held, answer_to_store : bytearray
        Bytes not yet forwarded; answer to store, None once it is too large.
    held_attempt_id : int or None
        Id of the attempt that `head` and `held` come from.
    """

    idempotent: bool
    digest: str
    entry_start_id: str
    resumable: bool
    budget: retries.Budget
    may_retry: bool = True
    stage: Stage = Stage.PLACING
    open_attempts: dict = attrs.field(factory=dict)
    used: set = attrs.field(factory=set)
    attempts_sent: int = 0
    unresolved: int = 0
    earlier_may_have_run: bool = False
    winner: int | None = None
    version: str = ""
    started: bool = False
    gone: bool = False
    offset: int = 0
    head: tuple | None = None
    held: bytearray = attrs.field(factory=bytearray)
    answer_to_store: bytearray | None = attrs.field(factory=bytearray)
    claim: claims.Claim | None = None
    claim_revision: int = 0
    claim_held: bool = False
    claim_writes: int = 0
    pending: events.Placed | None = None
    hedged: bool = False
    placing: bool = False
    failed_over: bool = False
    held_attempt_id: int | None = None
    outcome: attempts.Outcome | None = None


def place(req, hedge=False):
    """Return the effect that requests a backend server."""
    if not hedge:
        req.stage = Stage.PLACING
        req.placing = True
    return events.PlaceAttempt(frozenset(req.used), req.version, hedge)


def send(req, attempt_id):
    """Send an attempt; a non-idempotent one needs a written claim."""
    attempt = req.open_attempts[attempt_id]
    if not req.idempotent:
        _check_claim(req, attempt.placed)
    req.stage = Stage.RUNNING
    attempt.sent = True
    req.attempts_sent += 1
    req.unresolved += 1
    return [events.SendAttempt(attempt_id, req.offset)]


def _check_claim(req, placed):
    claim = req.claim
    named = (
        req.claim_held
        and claim.attempt_id == placed.attempt_id
        and claim.agent_start_id == placed.agent_start_id
        and claim.entry_start_id == req.entry_start_id
    )
    if not named or req.unresolved:
        raise errors.InvariantError(
            "a non-idempotent attempt would be sent without a claim that names it, "
            "or beside another attempt",
            step="requests.send",
        )


def may_have_run(req):
    """Whether an attempt may have run, so that `not run` must not be reported."""
    return req.unresolved > 0 or req.earlier_may_have_run


def refuse(req, status, title, detail="", retry_after_s=events.RETRY_AFTER_S):
    """End the request with a problem document."""
    outcome = UNKNOWN if may_have_run(req) else NOT_RUN
    refusal = events.RejectRequest(status, title, detail, outcome, retry_after_s)
    return end(req, refusal, outcome)


def unknown(req, reason, status=502, retry_after_s=events.RETRY_AFTER_S):
    """End the request with outcome unknown."""
    refusal = events.RejectRequest(
        status, "Outcome unknown", reason, UNKNOWN, retry_after_s
    )
    return end(req, refusal, UNKNOWN)


def cut(req, reason):
    """Abort an answer that was partly forwarded."""
    return end(req, events.AbortResponse(reason), UNKNOWN)


def end(req, last, outcome):
    """End the request; `last` is the final effect for the caller, or None."""
    if outcome is NOT_RUN and (may_have_run(req) or req.started):
        raise errors.InvariantError(
            "'not run' would be reported for a request that may have run",
            step="requests.end",
        )
    effects = []
    for attempt_id, attempt in list(req.open_attempts.items()):
        del req.open_attempts[attempt_id]
        if attempt.sent:
            effects.append(events.CancelAttempt(attempt_id))
        effects.append(events.CloseAttempt(attempt_id))
    if outcome is NOT_RUN and req.claim_held:
        effects.append(events.DeleteClaim(req.claim_revision))
    if last is not None and not req.gone:
        effects.append(last)
    req.stage = Stage.ENDED
    req.outcome = outcome
    return effects
