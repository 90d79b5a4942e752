"""Decoding and encoding of the platform's request and response headers."""

import math

from carobstand.core import exchange
from carobstand.platform import fields

_HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
}

_FRAMING = {b"content-length", b"expect"}

_SYSTEM_HEADERS = {
    b"api-key",
    b"deadline-ms",
    b"expected-instance",
    b"expected-version",
    b"path",
    b"request-priority",
    b"tenant",
}
"""Headers to a backend server that only the system sets; a caller's are dropped."""

MAX_LOAD_DIGITS = 9
"""Most characters of a figure of `Server-Load`; longer ones could not be converted to
a floating-point number."""

MAX_INTEGER_DIGITS = 18
"""Most digits of an integer in a header, so that it fits into an i64. The conversion of
thousands of digits fails."""

MAX_LIMIT_PER_S = 1e6
"""Largest number of requests per second in `Server-Limit`; a higher one counts as this.
No server takes as many."""

MAX_BACKOFF_S = 600.0
"""Longest `Retry-After` of a server; a longer one counts as this. It would not be used
again until its next start otherwise."""

MAX_TOKENS = 10_000_000
"""Largest number of tokens of a prompt or an answer that is taken as told. Sums of work
would lose the other requests by rounding with larger ones."""

MAX_REQUEST_PRIORITY = 9
"""Lowest priority in an engine's queue; 0 is served first."""


def decode_request(method, target, headers):
    """Decode the head of a caller's request.

    Parameters
    ----------
    method, target : bytes
    headers : h11 headers
        ``raw_items()`` returns the names in the case in which they were sent.

    Returns
    -------
    inbound : core.exchange.Inbound

    Raises
    ------
    ValueError
        If a header that determines how the request is handled is malformed.
    """
    values = {}
    for name, value in headers:
        values.setdefault(name, value.decode("latin-1"))
    dropped = _HOP_BY_HOP | _FRAMING | _SYSTEM_HEADERS | _named_by_connection(headers)
    prompt, answer = _parse_token_counts(values.get(b"token-usage", ""))
    return exchange.Inbound(
        method=method,
        target=target,
        host=values.get(b"host", "").lower(),
        request_id=values.get(b"request-id", ""),
        deadline_s=_parse_deadline(values.get(b"deadline-ms")),
        key=values.get(b"api-key", ""),
        prompt_tokens=prompt,
        max_answer_tokens=answer,
        answer_hint=_parse_tokens(values.get(b"length-hint")),
        resume_after=_parse_integer(values.get(b"last-event-id")),
        prompt_parts=_parse_parts(values.get(b"prompt-prefix", "")),
        headers=tuple(
            (raw, value)
            for raw, value in headers.raw_items()
            if raw.lower() not in dropped
        ),
    )


def _named_by_connection(headers):
    named = b",".join(value for name, value in headers if name == b"connection")
    return {part.strip().lower() for part in named.split(b",")}


def _parse_deadline(text):
    if text is None:
        return None
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("Deadline-Ms is not a number")
    return max(0.0, value / 1000)


def _parse_token_counts(text):
    prompt, _, answer = text.partition(",")
    return _parse_tokens(prompt), _parse_tokens(answer)


def _parse_parts(text):
    """Return the ids of the parts of a prompt, in order; entries are ``ID:TOKENS``."""
    ids = (entry.partition(":")[0].strip().lower() for entry in text.split(","))
    return tuple(part for part in ids if part)


def _parse_integer(text):
    if text is None:
        return None
    text = text.strip()
    is_integer = text.isascii() and text.isdigit() and len(text) <= MAX_INTEGER_DIGITS
    return int(text) if is_integer else None


def _parse_version(text):
    """Return a version of weights, or None if `text` is not one."""
    version = _parse_integer(text)
    return version if version is None or version <= fields.MAX_COUNT else None


def _parse_tokens(text):
    """Return a number of tokens, at most `MAX_TOKENS`; 0 if `text` is not one."""
    return min(MAX_TOKENS, _parse_integer(text) or 0)


def backend_headers(req, out, body):
    """Return the headers of a request to a backend server.

    Parameters
    ----------
    req : core.exchange.Inbound
    out : core.exchange.Outbound
    body : bytes

    Returns
    -------
    headers : list of (bytes, bytes)
    """
    headers = [
        (name, value)
        for name, value in req.headers
        if out.resume_after is None or name.lower() != b"last-event-id"
    ]
    # At least one millisecond is announced, also after the deadline.
    left_ms = max(1, int(out.deadline_s * 1000))
    headers.append((b"Deadline-Ms", b"%d" % left_ms))
    headers.append((b"Expected-Instance", out.server_id.encode()))
    if out.customer:
        headers.append((b"Tenant", out.customer.encode()))
    if out.version is not None:
        headers.append((b"Expected-Version", b"%d" % out.version))
    if out.priority is not None:
        headers.append((b"Request-Priority", b"%d" % out.priority))
    if out.resume_after is not None:
        headers.append((b"Last-Event-Id", b"%d" % out.resume_after))
    if body or req.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"Content-Length", b"%d" % len(body)))
    return headers


def decode_response_head(status, headers):
    """Decode the head of a backend server's response.

    Parameters
    ----------
    status : int
    headers : h11 headers

    Returns
    -------
    head : core.exchange.AnswerHead
    """
    values = {}
    for name, value in headers:
        values.setdefault(name, value.decode("latin-1"))
    dropped = _HOP_BY_HOP | {b"content-length"} | _named_by_connection(headers)
    limit = _parse_at_least_zero(values.get(b"server-limit"))
    cold_ms = _parse_at_least_zero(values.get(b"warmup-ms"))
    return exchange.AnswerHead(
        status=status,
        request_id=values.get(b"request-id", ""),
        not_run=b"not-executed" in values,
        is_signed=b"server-signature" in values,
        server_id=values.get(b"instance-id", ""),
        version=_parse_version(values.get(b"weight-versions")),
        load=_parse_load(values.get(b"server-load", "")),
        headers=tuple(
            (raw, value)
            for raw, value in headers.raw_items()
            if raw.lower() not in dropped
        ),
        length=_parse_integer(values.get(b"content-length")),
        is_framed=b"content-length" in values or b"transfer-encoding" in values,
        is_leaving=_is_leaving(values),
        backoff_s=_parse_backoff(values.get(b"retry-after")) if status == 503 else None,
        limit=None if limit is None else min(limit, MAX_LIMIT_PER_S),
        malformed_limit=values.get(b"server-limit", "") if limit is None else "",
        cold_s=None if cold_ms is None else min(cold_ms, exchange.MAX_COLD_MS) / 1000,
        malformed_cold=values.get(b"warmup-ms", "") if cold_ms is None else "",
    )


def decode_health(status, headers):
    """Decode a backend server's response to a health check.

    Parameters
    ----------
    status : int
    headers : iterable of (bytes, bytes)
        Names in lower case.

    Returns
    -------
    head : core.exchange.AnswerHead
        What the server says of itself.
    """
    values = {}
    for name, value in headers:
        values.setdefault(name, value.decode("latin-1"))
    limit = _parse_at_least_zero(values.get(b"server-limit"))
    return exchange.AnswerHead(
        status=status,
        server_id=values.get(b"instance-id", ""),
        is_leaving=_is_leaving(values),
        limit=None if limit is None else min(limit, MAX_LIMIT_PER_S),
    )


def _is_leaving(values):
    return values.get(b"server-leaving", "").strip() == "1"


def _parse_at_least_zero(text):
    """Return a finite number of at least 0, or None if `text` is not one."""
    try:
        limit = float(text or "")
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0 else None


def _parse_backoff(text):
    """Return a positive number of seconds, or None if `text` is not one."""
    try:
        backoff_s = float(text or "")
    except ValueError:
        return None
    if not (math.isfinite(backoff_s) and backoff_s > 0):
        return None
    return min(backoff_s, MAX_BACKOFF_S)


def _parse_load(text):
    """Return the `Load` of three figures, or four with the slowness in hundredths."""
    parts = text.split(",")
    if len(parts) not in (3, 4) or max(map(len, parts)) > MAX_LOAD_DIGITS:
        return None
    numbers = [_parse_integer(part) for part in parts]
    if None in numbers or numbers[3:] == [0]:
        return None
    return exchange.Load(
        running=numbers[0],
        waiting=numbers[1],
        slots=numbers[2],
        slowness=numbers[3] / 100 if numbers[3:] else None,
    )


def refusal_headers(req, retry_after_s):
    """Return the headers of a response that the system itself generates."""
    headers = [(b"Content-Type", b"application/json")]
    if req is not None and req.request_id:
        headers.append((b"Request-Id", req.request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.3f" % retry_after_s))
    return headers
