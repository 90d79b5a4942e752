"""Conversion between messages to and from entries and calls of a backend server."""

from carobstand.core import attempts
from carobstand.wire.gen import ttypes

STREAM_OFFSET_HEADER = "X-Stream-Offset"
HOP_HEADERS = frozenset(
    "connection keep-alive proxy-authenticate proxy-authorization te trailer "
    "transfer-encoding upgrade host content-length expect".split()
)
"""Headers that concern one connection only and are not forwarded."""

DROPPED_HEADERS = HOP_HEADERS | {"date", "server"}
"""Headers of an answer that are not passed on; the entry's own server adds some."""

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
    """Return the headers of an answer that are passed on."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in resp.headers.raw
        if name.decode("latin-1").lower() not in DROPPED_HEADERS
    )


def message_of(attempt_id, frame, version):
    """Return a frame of an answer as a message."""
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
