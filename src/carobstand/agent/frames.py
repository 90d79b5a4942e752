"""Conversion between wire messages and HTTP requests and responses."""

from carobstand.core import attempts
from carobstand.wire.gen import ttypes

STREAM_OFFSET_HEADER = "X-Stream-Offset"
HOP_HEADERS = frozenset(
    "connection keep-alive proxy-authenticate proxy-authorization te trailer "
    "transfer-encoding upgrade host content-length expect".split()
)
"""Hop-by-hop headers, which are not forwarded."""

DROPPED_HEADERS = HOP_HEADERS | {"date", "server"}
"""Response headers that are not forwarded; the entry's HTTP server adds its own."""

_OUTCOMES = {
    attempts.Outcome.DONE: ttypes.Outcome.DONE,
    attempts.Outcome.NOT_RUN: ttypes.Outcome.NOT_RUN,
    attempts.Outcome.UNKNOWN: ttypes.Outcome.UNKNOWN,
}


def request_of(client, message):
    """Return the HTTP request of an attempt; raise ValueError if it is malformed."""
    headers = [
        (item.name.encode("latin-1"), item.value.encode("latin-1"))
        for item in message.headers or ()
        if item.name.lower() not in HOP_HEADERS
    ]
    names = {name.lower() for name, _ in headers}
    if b"accept-encoding" not in names:
        headers.append((b"accept-encoding", b"identity"))
    if message.offset:
        headers.append((STREAM_OFFSET_HEADER.encode(), str(message.offset).encode()))
    return client.build_request(
        message.method, message.path, headers=headers, content=message.body or b""
    )


def headers_of(resp):
    """Return the response headers that are forwarded."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in resp.headers.raw
        if name.decode("latin-1").lower() not in DROPPED_HEADERS
    )


def message_of(attempt_id, frame, version):
    """Return the wire message of a response frame."""
    out = ttypes.AnswerFrame(attempt_id=attempt_id, offset=frame.offset)
    if frame.data:
        out.data = frame.data
    if frame.status is not None:
        out.status = frame.status
        out.headers = [ttypes.Header(name, value) for name, value in frame.headers]
        out.version = version
    final = frame.final
    if final is not None:
        out.final = True
        out.total_length = final.length
        out.digest = final.digest
        out.outcome = _OUTCOMES[final.outcome]
        out.reason = final.reason
        out.backend_died = final.backend_died
        out.backend_starts = final.backend_starts
        out.backend_up = final.backend_up
    return out
