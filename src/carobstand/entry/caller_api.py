"""ASGI application for callers: requests, streamed responses, problem documents."""

import hashlib
import json
import re
import urllib.parse
import uuid

import anyio
import attrs
import h2.connection
import h2.errors
import h2.exceptions

from carobstand import errors, logs
from carobstand.core import admission, claims
from carobstand.core import table as tables
from carobstand.entry import calls, dispatch

FRAME_OVERHEAD_BYTES = 256 * 1024
"""Share of an inter-process message that is reserved for headers and fields."""

MAX_BODY_BYTES = 2 * 1024 * 1024 - FRAME_OVERHEAD_BYTES
"""Maximum size of a request body, which is sent to an agent in one message."""

MAX_HEADER_BYTES = 64 * 1024
"""Maximum total size of the names and values of the request headers."""

MAX_PATH_BYTES = 8 * 1024
MAX_KEY_CHARS = 256

BODY_TIMEOUT_S = 15.0
"""Timeout for receiving the request body."""

PREFIX_CHARS = 256
"""Length of the prompt prefix that is hashed for prefix-cache affinity."""

TIMEOUT_HEADER = "carobstand-timeout"
"""Request header with the caller's timeout in seconds."""

_SECONDS = re.compile(r"[0-9]{1,6}(\.[0-9]{1,6})?")
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")

NOT_FORWARDED = frozenset(
    "authorization host connection keep-alive proxy-authorization te trailer "
    "transfer-encoding upgrade content-length expect x-stream-offset "
    "x-request-id idempotency-key carobstand-timeout".split()
)
"""Request headers that are not forwarded; the caller's key stays in the entry."""


def app(state):
    """Return the ASGI application that serves callers."""
    dispatch.attach(state)

    async def application(scope, receive, send):
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "http":
            await _handle_request(state, scope, receive, send)
        else:
            raise errors.CarobstandError(
                f"unsupported scope {scope['type']}", step="callers.app"
            )

    return application


async def _lifespan(receive, send):
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


@attrs.define(eq=False)
class Sink:
    """Writes one response to a caller.

    `write_started_at` is the start time of the write in progress, or None;
    `dispatch` cancels requests whose writes are too slow. If `has_write_timeout` is
    set, the sink itself enforces the timeout.
    """

    send: object
    request_id: str
    started: bool = False
    disconnected: bool = False
    has_write_timeout: bool = False
    write_started_at: float | None = None
    on_disconnect: object = None
    bytes_sent: int = 0

    async def head(self, status, headers, outcome):
        """Send status and headers; `outcome` is None while it is not yet known."""
        added = [(b"x-request-id", self.request_id.encode())]
        if outcome is not None:
            added.append(
                (b"carobstand-outcome", calls.OUTCOME_HEADER[outcome].encode())
            )
        forwarded = [
            (name.lower().encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
            if name.lower() not in ("x-request-id", "carobstand-outcome")
        ]
        self.started = True
        await self._write(
            {
                "type": "http.response.start",
                "status": status,
                "headers": forwarded + added,
            }
        )

    async def data(self, data):
        """Send a part of the body and count its bytes."""
        await self._write(
            {"type": "http.response.body", "body": data, "more_body": True}
        )
        self.bytes_sent += len(data)

    async def end(self):
        """Complete the response."""
        await self._write(
            {"type": "http.response.body", "body": b"", "more_body": False}
        )

    async def _write(self, message):
        if self.disconnected:
            raise calls.CallerGoneError("caller disconnected", step="callers.write")
        if self.has_write_timeout:
            await self._write_bounded(message)
            return
        self.write_started_at = anyio.current_time()
        await self.send(message)
        self.write_started_at = None

    async def _write_bounded(self, message):
        limit_s = dispatch.WRITE_TIMEOUT_S
        with anyio.move_on_after(limit_s):
            await self.send(message)
            return
        self.disconnected = True
        raise calls.CallerGoneError(
            f"caller read nothing for {limit_s} s", step="callers.write"
        )


async def _handle_request(state, scope, receive, send):
    arrived = anyio.current_time()
    headers = _headers(scope)
    request_id = _request_id(headers)
    sink = Sink(send, request_id)
    call = None
    try:
        customer = _authenticate(state, headers)
        target = _parse_target(state, scope)
        body = await _read_body(state, headers, receive)
        call = _build_call(
            state, scope, headers, customer, target, body, arrived, request_id
        )
        await _process_call(state, call, sink, receive)
    except calls.RefusedError as exc:
        if call is None and _may_have_run_before(headers, exc.status):
            exc.outcome = calls.UNKNOWN
        await _send_problem(sink, exc)
    except calls.CutError as exc:
        logs.event("answer.cut", request=request_id, error=exc.message)
        await _reset_stream(send)
    except calls.CallerGoneError as exc:
        logs.event("caller.gone", request=request_id, error=exc.message)
        if sink.started and not sink.disconnected:
            await _reset_stream(send)


def _may_have_run_before(headers, status):
    """Return whether an earlier attempt of a call rejected without claim may have run.

    It may where the rejection depends on the table or on the time; a request that is
    malformed now was malformed at every earlier attempt as well.
    """
    return status in (401, 404, 408, 503) and bool(_values(headers, "idempotency-key"))


async def _reset_stream(send):
    """Reset the HTTP/2 stream of a response that cannot be completed.

    ASGI has no message for this. Over HTTP/1.1 the server closes the connection, but
    hypercorn leaves an HTTP/2 stream open, and the caller would wait for more data.
    """
    stream = getattr(send, "__self__", None)
    protocol = getattr(getattr(stream, "send", None), "__self__", None)
    conn = getattr(protocol, "connection", None)
    if not isinstance(conn, h2.connection.H2Connection):
        return
    try:
        conn.reset_stream(stream.stream_id, h2.errors.ErrorCodes.INTERNAL_ERROR)
        await protocol._flush()
    except h2.exceptions.ProtocolError as exc:
        logs.event("stream.reset_failed", error=str(exc))


async def _process_call(state, call, sink, receive):
    """Process `call` and watch for the caller's disconnection meanwhile."""

    async def watch_caller():
        while (await receive())["type"] != "http.disconnect":
            pass
        sink.disconnected = True
        if sink.on_disconnect is not None:
            sink.on_disconnect()

    failure = None
    async with anyio.create_task_group() as tg:
        tg.start_soon(watch_caller)
        try:
            await dispatch.handle(state, call, sink)
        except errors.CarobstandError as exc:
            failure = exc
        tg.cancel_scope.cancel()
    if failure is not None:
        raise failure


async def _send_problem(sink, exc):
    if sink.started:
        logs.event("answer.cut", request=sink.request_id, error=exc.detail)
        await _reset_stream(sink.send)
        return
    sink.has_write_timeout = True
    doc = {
        "type": "about:blank",
        "title": exc.title,
        "status": exc.status,
        "detail": exc.detail,
        "outcome": calls.OUTCOME_HEADER[exc.outcome],
        "request_id": sink.request_id,
    }
    body = json.dumps(doc).encode()
    headers = [
        ("content-type", "application/problem+json"),
        ("content-length", str(len(body))),
    ]
    if exc.retry_after_s is not None:
        headers.append(("retry-after", str(max(1, round(exc.retry_after_s + 0.49)))))
    if exc.status == 401:
        headers.append(("www-authenticate", "Bearer"))
    try:
        await sink.head(exc.status, headers, exc.outcome)
        await sink.data(body)
        await sink.end()
    except calls.CallerGoneError:
        logs.event("caller.gone", request=sink.request_id)


def _headers(scope):
    return tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in scope["headers"]
    )


def _values(headers, header):
    return [value for name, value in headers if name == header]


def _request_id(headers):
    given = _values(headers, "x-request-id")
    if len(given) == 1 and _REQUEST_ID.fullmatch(given[0]):
        return given[0]
    return uuid.uuid4().hex


def _authenticate(state, headers):
    given = _values(headers, "authorization")
    scheme, _, key = given[0].partition(" ") if len(given) == 1 else ("", "", "")
    if scheme.lower() != "bearer" or not key.strip():
        raise calls.RefusedError(401, "A bearer key is required")
    if state.table is None:
        raise calls.RefusedError(503, "No table is in force yet", retry_after_s=1.0)
    digest = hashlib.sha256(key.strip().encode("latin-1")).hexdigest()
    row = tables.customer_by_key(state.table, digest)
    if row is None:
        raise calls.RefusedError(401, "The bearer key is unknown")
    return row


@attrs.frozen
class Target:
    """Destination named by the request path; `service` is None for a completion."""

    service: object
    path: str


def _parse_target(state, scope):
    raw = scope.get("raw_path") or urllib.parse.quote(scope["path"]).encode()
    query = scope.get("query_string", b"")
    if len(raw) + len(query) > MAX_PATH_BYTES:
        raise calls.RefusedError(414, "The path is too long")
    try:
        path = raw.decode("ascii")
        text = query.decode("ascii")
    except UnicodeDecodeError:
        raise calls.RefusedError(400, "The path is not ASCII") from None
    if any(ord(char) <= 32 or ord(char) == 127 for char in path + text):
        raise calls.RefusedError(400, "The path holds control characters")
    if path == "/v1/completions":
        if scope["method"] != "POST":
            raise calls.RefusedError(405, "Completions are requested by POST")
        return Target(None, path)
    if not path.startswith("/services/"):
        raise calls.RefusedError(404, "No such path")
    name, _, rest = path.removeprefix("/services/").partition("/")
    row = tables.service(state.table, name)
    if row is None or row.type != "plain":
        raise calls.RefusedError(404, "No such service", name)
    return Target(row, f"/{rest}" + (f"?{text}" if text else ""))


async def _read_body(state, headers, receive):
    limit = min(state.cfg.max_body_bytes, MAX_BODY_BYTES)
    if sum(len(name) + len(value) for name, value in headers) > MAX_HEADER_BYTES:
        raise calls.RefusedError(431, "The headers are too large")
    for value in _values(headers, "content-length"):
        if not value.isdigit():
            raise calls.RefusedError(400, "Content-Length is not a number")
        if int(value) > limit:
            raise calls.RefusedError(413, f"The body exceeds {limit} bytes")
    body = bytearray()
    with anyio.move_on_after(BODY_TIMEOUT_S):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise calls.CallerGoneError("disconnected while sending its body")
            body += message.get("body", b"")
            if len(body) > limit:
                raise calls.RefusedError(413, f"The body exceeds {limit} bytes")
            if not message.get("more_body", False):
                return bytes(body)
    raise calls.RefusedError(408, f"The body took longer than {BODY_TIMEOUT_S} s")


def _build_call(state, scope, headers, customer, target, body, arrived, request_id):
    completion, version, row = None, "", target.service
    method = scope["method"].upper()
    if not _TOKEN.fullmatch(method):
        raise calls.RefusedError(400, "The method is malformed")
    if row is None:
        completion, row, version = _parse_completion(state, body)
    non_idempotent = target.service is not None and is_non_idempotent(
        row, method, target.path
    )
    digest = claims.request_digest(row.name, method, target.path, body)
    key = _idempotency_key(headers) if non_idempotent else ""
    fingerprint = hashlib.sha256(f"{customer.name}:{digest}".encode()).hexdigest()
    start = _prompt_start(completion) if completion else target.path.encode()
    return calls.Call(
        request_id=request_id,
        customer=customer,
        service=row,
        version=version,
        method=method,
        path=target.path,
        headers=tuple(item for item in headers if item[0] not in NOT_FORWARDED),
        body=body,
        idempotent=not non_idempotent,
        arrived=arrived,
        deadline=arrived + _timeout_s(state, headers),
        digest=digest,
        claim_key=claims.store_key(customer.name, key) if key else "",
        prefix=hashlib.sha256(start).hexdigest(),
        fingerprint=fingerprint,
        completion=completion,
        cost=admission.cost_of(completion.get("max_tokens", 16)) if completion else 1.0,
    )


def _timeout_s(state, headers):
    """Return the caller's timeout, limited by `request_timeout_s` of the settings."""
    given = _values(headers, TIMEOUT_HEADER)
    if not given:
        return state.cfg.request_timeout_s
    if len(given) > 1 or not _SECONDS.fullmatch(given[0]) or float(given[0]) <= 0:
        raise calls.RefusedError(400, "Carobstand-Timeout is not a number of seconds")
    return min(float(given[0]), state.cfg.request_timeout_s)


def _parse_completion(state, body):
    """Return the parsed body, the service row and the requested version."""
    try:
        completion = json.loads(body)
    except (ValueError, RecursionError):
        raise calls.RefusedError(400, "The body is not JSON") from None
    if not isinstance(completion, dict) or not isinstance(completion.get("model"), str):
        raise calls.RefusedError(400, "The body names no model")
    if not isinstance(completion.get("prompt"), str):
        raise calls.RefusedError(400, "The prompt is not a string")
    if not isinstance(completion.get("stream", False), bool):
        raise calls.RefusedError(400, "The field stream is not true or false")
    limit = completion.get("max_tokens", 1)
    if not isinstance(limit, int) or isinstance(limit, bool) or limit < 1:
        raise calls.RefusedError(400, "The field max_tokens is not a positive number")
    name, _, version = completion["model"].partition(":")
    row = tables.service(state.table, name)
    if row is None or row.type != "engine":
        raise calls.RefusedError(404, "No such model", name)
    known = [item.name for item in tables.versions(state.table, name)]
    if version and version not in known:
        raise calls.RefusedError(404, "No such version of the model", version)
    return completion, row, version


def _prompt_start(completion):
    return completion["prompt"][:PREFIX_CHARS].encode("utf-8", "surrogatepass")


def _idempotency_key(headers):
    given = _values(headers, "idempotency-key")
    if len(given) != 1 or not given[0].strip():
        raise calls.RefusedError(
            428, "An Idempotency-Key is required for this call", outcome=calls.NOT_RUN
        )
    key = given[0].strip()
    if len(key) > MAX_KEY_CHARS or not key.isprintable():
        raise calls.RefusedError(400, "The Idempotency-Key is malformed")
    return key


def is_non_idempotent(row, method, path):
    """Return whether a call must not run twice.

    The backend server may normalize the path: percent-encoding, repeated slashes, dot
    segments, letter case. Therefore normalized forms of the path are compared too.
    """
    decoded_path = path.partition("?")[0]
    forms = {decoded_path}
    for _ in range(3):
        decoded_path = urllib.parse.unquote(decoded_path)
        forms.add(decoded_path)
    parts = []
    for part in re.split(r"[/\\]+", decoded_path):
        name = part.partition(";")[0]
        if name == "..":
            parts = parts[:-1]
        elif name not in ("", "."):
            parts.append(name)
    forms.add("/" + "/".join(parts))
    forms.add("/" + "/".join(parts) + "/")
    non_idempotent_calls = [call.partition(" ") for call in row.non_idempotent]
    return any(
        method == listed.upper() and form.lower().startswith(prefix.lower())
        for listed, _, prefix in non_idempotent_calls
        for form in forms
    )
