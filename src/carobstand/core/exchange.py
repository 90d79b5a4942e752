"""A caller's request and a backend server's response, independent of the transport."""

import attrs

MAX_COLD_MS = 2**31 - 1
"""Longest cold time of a server; longer ones count as this long, as messages between
entries carry it as an i32."""


@attrs.frozen(kw_only=True)
class Inbound:
    """Head of a caller's request.

    Attributes
    ----------
    method, target : bytes
        As the caller sent them; the target includes the query.
    host : str
        Lower case, without a port.
    request_id : str
        Id of this request, new for each client retry; empty if the caller sent none.
    deadline_s : float or None
        Time that the caller is willing to wait.
    key : str
        API key of the customer, empty if the caller sent none.
    prompt_tokens, max_answer_tokens : int
        Prompt size and maximum answer size of a generation, 0 for other requests.
    answer_hint : int
        The caller's estimate of the answer tokens, 0 for none.
    resume_after : int or None
        Id of the last event that the caller received.
    prompt_parts : tuple of str
        Ids of the parts of a generation's prompt, in order. The last part belongs to
        this request or its session, the others may be shared.
    headers : tuple of (bytes, bytes)
        Headers that are forwarded to a backend server.
    """

    method: bytes
    target: bytes
    host: str
    request_id: str = ""
    deadline_s: float | None = None
    key: str = ""
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    answer_hint: int = 0
    resume_after: int | None = None
    prompt_parts: tuple = ()
    headers: tuple = ()


@attrs.frozen(kw_only=True)
class Outbound:
    """Values that the entry adds to a request to a backend server.

    Attributes
    ----------
    server_id : str
        The only server that may run the request.
    deadline_s : float
        Time left until the caller's deadline.
    customer : str
        Empty where requests carry no key.
    version : int or None
        Weights version that the server must have.
    priority : int or None
        Priority in the server's queue; 0 is served first.
    resume_after : int or None
        Id of the event after which a resumed stream continues.
    """

    server_id: str
    deadline_s: float
    customer: str = ""
    version: int | None = None
    priority: int | None = None
    resume_after: int | None = None


@attrs.frozen(kw_only=True)
class Load:
    """Load that a backend server announces in a response.

    Attributes
    ----------
    running, waiting : int
        Number of requests in progress and in the server's queue.
    slots : int
        Number of requests that the server runs at the same time.
    slowness : float or None
        Ratio of the present to the usual time for a unit of work, None if not told.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@attrs.frozen(kw_only=True)
class AnswerHead:
    """Head of a backend server's response.

    Attributes
    ----------
    status : int
    request_id : str
        Id of the request to which the response belongs.
    not_run : bool
        Whether the server states that it has not run and will not run the request.
    is_signed : bool
        Whether the server signed the response.
    server_id : str
        Id of the responding server, empty if it sent none.
    version : int or None
        Weights version that produced the answer.
    load : Load or None
    headers : tuple of (bytes, bytes)
        Headers that are forwarded to the caller, without those of the framing.
    length : int or None
        Announced length of the body in bytes.
    is_framed : bool
        Whether the body ends by its length or chunks, not with its connection.
    is_leaving : bool
        Whether the server is shutting down and accepts no new requests.
    backoff_s : float or None
        Time for which an overloaded server asks this entry to send no requests.
    limit : float or None
        Requests per second that the server accepts from all entries together.
    malformed_limit : str
        Value of a limit that is not a finite number of at least 0, else empty.
    cold_s : float or None
        Time for which the server stays cold, 0 if it is warm, None if it does not tell.
    malformed_cold : str
        Value of a time that is not a finite number of at least 0, else empty.
    """

    status: int
    request_id: str = ""
    not_run: bool = False
    is_signed: bool = False
    server_id: str = ""
    version: int | None = None
    load: Load | None = None
    headers: tuple = ()
    length: int | None = None
    is_framed: bool = True
    is_leaving: bool = False
    backoff_s: float | None = None
    limit: float | None = None
    malformed_limit: str = ""
    cold_s: float | None = None
    malformed_cold: str = ""
