"""A caller's request inside the entry, and the ways in which it is refused."""

import attrs

from carobstand import errors
from carobstand.core import attempts

NOT_RUN = attempts.Outcome.NOT_RUN
UNKNOWN = attempts.Outcome.UNKNOWN
DONE = attempts.Outcome.DONE

OUTCOME_HEADER = {DONE: "done", NOT_RUN: "not-run", UNKNOWN: "unknown"}
"""Values of the header Carobstand-Outcome."""


@attrs.define(eq=False)
class Call:
    """One request of a caller.

    Attributes
    ----------
    request_id : str
    customer : core.table.CustomerRow
    service : core.table.ServiceRow
    version : str
        Version that the caller names; empty if any may answer.
    method, path : str
        Sent to the backend server; `path` includes the query.
    headers : tuple of (str, str)
    body : bytes
    idempotent : bool
    digest, claim_key : str
        Of a non-idempotent call: digest of the request, store key of its claim.
    arrived, deadline : float
        On the loop's clock, in seconds.
    prefix, fingerprint : str
        Hex digests: of the start of the request, for routing to a warm prefix cache,
        and of the whole request.
    model : dict or None
        Parsed body of a completion; its model is set per attempt.
    cost : float
        Work relative to one call of a plain service, for fair queueing.
    route : tuple or None
        Cached choice of `entry.placing`.
    settling, settled : str
        VM for which other entries are being, or were, asked about failures.
    """

    request_id: str
    customer: object
    service: object
    version: str
    method: str
    path: str
    headers: tuple
    body: bytes
    idempotent: bool
    arrived: float
    deadline: float
    digest: str = ""
    claim_key: str = ""
    prefix: str = ""
    fingerprint: str = ""
    model: dict | None = None
    cost: float = 1.0
    route: tuple | None = None
    settling: str = ""
    settled: str = ""


class RefusedError(errors.CarobstandError):
    """A request that gets a problem document instead of an answer.

    Parameters
    ----------
    status : int
        HTTP status.
    title : str
    detail : str
    outcome : attempts.Outcome
    retry_after_s : float or None
    """

    def __init__(self, status, title, detail="", outcome=NOT_RUN, retry_after_s=None):
        super().__init__(detail or title, step="request", peer="")
        self.status = status
        self.title = title
        self.detail = detail
        self.outcome = outcome
        self.retry_after_s = retry_after_s


class CutError(errors.CarobstandError):
    """An answer that cannot be completed after its start was delivered."""


class CallerGoneError(errors.CarobstandError):
    """The caller disconnected or does not read its answer."""
