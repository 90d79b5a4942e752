"""A caller's request inside the entry, and the errors that end it."""

import attrs

from carobstand import errors
from carobstand.core import attempts

NOT_RUN = attempts.Outcome.NOT_RUN
UNKNOWN = attempts.Outcome.UNKNOWN
DONE = attempts.Outcome.DONE

OUTCOME_HEADER = {DONE: "done", NOT_RUN: "not-run", UNKNOWN: "unknown"}
"""Values of the response header Carobstand-Outcome."""


@attrs.define(eq=False)
class Call:
    """One request of a caller.

    Attributes
    ----------
    request_id : str
    customer : core.table.CustomerRow
    service : core.table.ServiceRow
    version : str
        Version that the caller requests; empty if any version may answer.
    method, path : str
        Sent to the backend server; `path` includes the query.
    headers : tuple of (str, str)
    body : bytes
    idempotent : bool
    digest, claim_key : str
        Digest of the request, and store key of its claim. The key is empty for an
        idempotent call.
    arrived, deadline : float
        On the loop's clock, in seconds.
    prefix, fingerprint : str
        Hex digests: of the start of the request, for routing to a warm prefix cache,
        and of the entire request.
    model : dict or None
        Parsed body of a completion; its field ``model`` is set per attempt.
    cost : float
        Work relative to one call of a plain service, for fair queueing.
    route : tuple or None
        Version and preferred backend servers, cached by `entry.backend_selection`.
    checking_vm, checked_vm : str
        VM for which suspects of other entries are being, or were, checked.
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
    completion: dict | None = None
    cost: float = 1.0
    route: tuple | None = None
    checking_vm: str = ""
    checked_vm: str = ""


class RefusedError(errors.CarobstandError):
    """A request that is answered with a problem document.

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
    """A response that cannot be completed after its start was delivered."""


class CallerGoneError(errors.CarobstandError):
    """The caller disconnected or does not read its response."""
