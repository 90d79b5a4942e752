"""Names of the platform in the headers of requests and responses."""

import math

from carobstand.core import exchange

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

_SET_HERE = {
    b"api-key",
    b"deadline-ms",
    b"expected-instance",
    b"expected-version",
    b"path",
    b"request-priority",
    b"tenant",
}
"""Headers that only the system sets towards a backend server."""

MAX_REQUEST_PRIORITY = 9
"""Last rank in an engine's queue."""


def inbound(method, target, headers):
    """Decode the head of a caller's request.

    Parameters
    ----------
    method, target : bytes
    headers : h11 headers
        ``raw_items()`` gives the names as they were sent.

    Returns
    -------
    inbound : core.exchange.Inbound

    Raises
    ------
    ValueError
        If a header that decides how the request is handled makes no sense.
    """
    values = {}
    for name, value in headers:
        values.setdefault(name, value.decode("latin-1"))
    dropped = _HOP_BY_HOP | _FRAMING | _SET_HERE | _named_by_connection(headers)
    prompt, answer = _tokens(values.get(b"token-usage", ""))
    return exchange.Inbound(
        method=method,
        target=target,
        host=values.get(b"host", "").lower(),
        request_id=values.get(b"request-id", ""),
        deadline_s=_deadline(values.get(b"deadline-ms")),
        key=values.get(b"api-key", ""),
        prompt_tokens=prompt,
        max_answer_tokens=answer,
        answer_hint=_whole(values.get(b"length-hint")) or 0,
        resume_after=_whole(values.get(b"last-event-id")),
        headers=tuple(
            (raw, value)
            for raw, value in headers.raw_items()
            if raw.lower() not in dropped
        ),
    )


def _named_by_connection(headers):
    named = b",".join(value for name, value in headers if name == b"connection")
    return {part.strip().lower() for part in named.split(b",")}


def _deadline(text):
    if text is None:
        return None
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("Deadline-Ms is not a number")
    return max(0.0, value / 1000)


def _tokens(text):
    prompt, _, answer = text.partition(",")
    return _whole(prompt) or 0, _whole(answer) or 0


def _whole(text):
    if text is None:
        return None
    text = text.strip()
    return int(text) if text.isascii() and text.isdigit() else None


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
    # A backend server never sees less than one millisecond left.
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


def answer_head(status, headers):
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
    return exchange.AnswerHead(
        status=status,
        request_id=values.get(b"request-id", ""),
        not_run=b"not-executed" in values,
        is_signed=b"server-signature" in values,
        server_id=values.get(b"instance-id", ""),
        version=_whole(values.get(b"weight-versions")),
        load=_load(values.get(b"server-load", "")),
        headers=tuple(
            (raw, value)
            for raw, value in headers.raw_items()
            if raw.lower() not in dropped
        ),
        length=_whole(values.get(b"content-length")),
        is_leaving=values.get(b"server-leaving", "").strip() == "1",
        backoff_s=_pause(values.get(b"retry-after")) if status == 503 else None,
    )


def _pause(text):
    """Return a number of seconds, or None for what is none."""
    try:
        pause_s = float(text or "")
    except ValueError:
        return None
    return pause_s if math.isfinite(pause_s) and pause_s > 0 else None


def _load(text):
    numbers = [_whole(part) for part in text.split(",")]
    if len(numbers) != 3 or None in numbers:
        return None
    return exchange.Load(running=numbers[0], waiting=numbers[1], slots=numbers[2])


def refusal_headers(req, retry_after_s):
    """Return the headers of a response of the system's own."""
    headers = [(b"Content-Type", b"application/json")]
    if req is not None and req.request_id:
        headers.append((b"Request-Id", req.request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.3f" % retry_after_s))
    return headers
