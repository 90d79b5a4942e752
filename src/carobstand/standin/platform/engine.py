"""Stand-in of a model engine or plain service, with its ways to fail."""

import hashlib
import json
import socket
import struct
import urllib.parse

import anyio
import anyio.abc
import attrs

from carobstand import http1_server, signals
from carobstand.standin.platform import answers, kv

EVENTS = 5
"""Events of a stream, unless the request says otherwise."""


_CHUNKED = b"Server-Signature: s.1\r\nTransfer-Encoding: chunked\r\n\r\n"

ENDLESS = {
    "endless head": (b"X-Filler: ", b"a" * 4096),
    "endless interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 150),
    "endless body": (b"Server-Signature: s.1\r\n\r\n", b"a" * 4096),
    "endless refusal": (b"Not-Executed: 1\r\n\r\n", b"a" * 4096),
    "endless event": (_CHUNKED, b"1000\r\n" + b"a" * 4096 + b"\r\n"),
    "endless extension": (_CHUNKED, b"1;" + b"e" * 4096 + b"\r\na\r\n"),
    "endless chunks": (_CHUNKED, b"1\r\na\r\n" * 700),
}
"""Bytes after the start of a head, and those that follow again and again."""


@attrs.define(eq=False)
class Run:
    """One request that began to run."""

    request_id: str
    version: int
    tenant: str
    body: bytes
    path: str
    ended: str = ""


@attrs.define(eq=False)
class Engine:
    """A backend server and its faults.

    Attributes
    ----------
    server_id, service, address, failure_domain : str
    model : str
        Empty for a plain service.
    slots, queue : int
        Requests that run and that wait at the same time.
    step_s : float
        Time of one event, or of one request of a plain service.
    version : int or None
        Weights that it serves.
    staged : dict of int to bytes
    loading : bool
        An order is in progress.
    load_s : float
    is_draining, is_dark : bool
    says_leaving : bool
        Whether its answers say that it leaves.
    quiet_s : float
        Time for which it wants no requests where it sheds one; 0 says nothing.
    fault : str
        What happens to the next requests: ``""``, ``reset`` (before an answer),
        ``cut`` (within a stream), ``extra`` (a second answer), ``foreign`` (an answer
        to another request), ``copy`` (a second copy of the answer, sent once the
        connection is used again), ``unframed`` (no length), ``unframed reset``,
        ``short`` (less than announced), ``trickle`` (comments instead of events),
        ``unsigned``, ``error`` (500),
        ``silent``, ``shed`` (503), or one of `ENDLESS`: bytes that are no answer until
        the caller closes.
    faults_left : int
        Requests that `fault` still happens to.
    deadly : bytes
        Requests with this body crash the engine.
    runs : list of Run
    refused : int
    """

    server_id: str
    service: str
    address: str = ""
    failure_domain: str = "a"
    model: str = "m"
    slots: int = 4
    queue: int = 4
    step_s: float = 0.01
    version: int | None = 1
    staged: dict = attrs.field(factory=dict)
    loading: bool = False
    load_s: float = 0.05
    started_ms: int = 1000
    orders: int = 0
    is_draining: bool = False
    is_dark: bool = False
    says_leaving: bool = False
    quiet_s: float = 0.0
    fault: str = ""
    faults_left: int = 0
    deadly: bytes = b"deadly"
    running: int = 0
    waiting: int = 0
    runs: list = attrs.field(factory=list)
    refused: int = 0
    crashes: int = 0
    copies: dict = attrs.field(factory=dict)
    expected_digests: object = None
    spoilt_loads: int = 0
    freed: signals.Signal = attrs.field(factory=signals.Signal)


def record(engine):
    """Return the engine's entry in the store."""
    found = {
        "service": engine.service,
        "address": engine.address,
        "zone": engine.failure_domain,
        "version": "v1",
        "slots": engine.slots,
        "state": "draining" if engine.is_draining else "ready",
        "warmup_remaining_ms": 0,
        "sequence": engine.orders,
        "born": engine.started_ms,
    }
    return {**found, **_weights(engine)} if engine.model else found


def _weights(engine):
    if engine.version is None or engine.loading:
        return {"stage": "unified", "models": []}
    return {
        "stage": "unified",
        "models": [{"name": engine.model, "version": engine.version, "adapters": []}],
        "layers": {"from": 0, "to": 4, "version": engine.version},
    }


def register(engine, store):
    """Write the engine's entry into the store."""
    kv.write_json(store, f"servers/{engine.server_id}", record(engine))


def crash(engine):
    """End all that runs; the engine starts again, holding nothing."""
    engine.crashes += 1
    engine.started_ms += 1000
    engine.orders = 0
    if engine.model:
        engine.version = None
    engine.freed.notify()


def server(engine):
    """Return the `http1_server.Server` of an engine."""

    async def handle(request, reply):
        if engine.is_dark:
            await anyio.sleep_forever()
        path, _, query_text = request.target.decode().partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        if path == "/v1/report":
            return await answers.send_json(reply, _report(engine))
        if path == "/v1/order":
            return await _order(engine, reply, json.loads(request.body))
        if path.startswith("/v1/stage-"):
            return await _staging(engine, request, reply, path, query)
        await _request(engine, request, reply)

    return http1_server.Server(
        lambda: http1_server.Limits(max_body_bytes=1 << 22), handle
    )


def _report(engine):
    return {
        **_weights(engine),
        "busy": engine.loading,
        "sequence": engine.orders,
        "waiting": engine.waiting,
        "running": engine.running,
        "born": engine.started_ms,
        "pace": 1.0,
    }


async def _staging(engine, request, reply, path, query):
    number = int(query.get("number", -1))
    if request.method == b"PUT":
        engine.staged[number] = request.body
        return await http1_server.respond(reply, 200, [])
    if number < 0:
        return await answers.send_json(reply, {"held": sorted(engine.staged)})
    if number not in engine.staged:
        return await http1_server.respond(reply, 404, [])
    await http1_server.respond(reply, 200, [], engine.staged[number])


async def _order(engine, reply, order):
    if engine.loading or order.get("expected", engine.orders) != engine.orders:
        return await answers.send_json(reply, {}, 409)
    if engine.version == order["version"]:
        return await answers.send_json(reply, {}, 200)
    engine.orders += 1
    engine.loading = True
    taken = dict(engine.staged)
    await answers.send_json(reply, {}, 202)
    started_ms = engine.started_ms
    while engine.running:
        await engine.freed.wait(1.0)
    await anyio.sleep(engine.load_s)
    engine.loading = False
    if started_ms == engine.started_ms:
        _take(engine, taken, order["version"])


def _take(engine, taken, version):
    """Serve what was staged when the order came."""
    if engine.expected_digests is not None:
        wanted = engine.expected_digests(version)
        found = [
            hashlib.sha256(taken.get(number, b"")).hexdigest()
            for number in range(len(wanted))
        ]
        engine.spoilt_loads += found != wanted
    engine.version = version


async def _request(engine, request, reply):
    headers = {name: value.decode() for name, value in request.headers}
    if reply.conn in engine.copies:
        await reply.conn.stream.send(engine.copies.pop(reply.conn))
        await anyio.sleep(engine.step_s)
    base = [(b"Request-Id", headers.get(b"request-id", "").encode())]
    if engine.says_leaving:
        base.append((b"Server-Leaving", b"1"))
    refusal = _refusal(engine, headers)
    if refusal is not None:
        engine.refused += 1
        return await answers.send_json(reply, {}, refusal[0], [*base, *refusal[1]])
    fault = _take_fault(engine)
    if fault == "reset":
        return
    if fault == "silent":
        await anyio.sleep_forever()
    if fault in ENDLESS:
        return await _send_without_end(reply, base, fault)
    if fault == "shed":
        base.append((b"Not-Executed", b"1"))
        if engine.quiet_s:
            base.append((b"Retry-After", b"%.3f" % engine.quiet_s))
        return await answers.send_json(reply, {}, 503, base)
    started_ms = engine.started_ms
    engine.waiting += 1
    try:
        while engine.running >= engine.slots and started_ms == engine.started_ms:
            await engine.freed.wait(1.0)
    finally:
        engine.waiting -= 1
    if started_ms != engine.started_ms:
        return
    run = Run(
        headers.get(b"request-id", ""),
        engine.version or 0,
        headers.get(b"tenant", ""),
        request.body,
        request.target.decode(),
    )
    engine.runs.append(run)
    engine.running += 1
    try:
        await _run(engine, run, request, reply, base, fault, headers)
    finally:
        engine.running -= 1
        run.ended = run.ended or "gone"
        engine.freed.notify()


async def _send_without_end(reply, headers, fault):
    first, more = ENDLESS[fault]
    status = b"503 Unavailable" if fault == "endless refusal" else b"200 OK"
    lines = b"".join(b"%s: %s\r\n" % pair for pair in headers)
    head = b"HTTP/1.1 " + status + b"\r\n" + lines
    if fault == "endless interim":
        head = b""
    stream = reply.conn.stream
    try:
        await stream.send(head + first)
        while True:
            await stream.send(more)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


def _refusal(engine, headers):
    wanted = headers.get(b"expected-instance", engine.server_id)
    if wanted != engine.server_id:
        return 421, [(b"Instance-Id", engine.server_id.encode())]
    version = headers.get(b"expected-version")
    if engine.model and (
        engine.version is None or (version and int(version) != engine.version)
    ):
        return 421, []
    if engine.loading or engine.running + engine.waiting >= engine.slots + engine.queue:
        return 503, [(b"Not-Executed", b"1")]
    return None


def _take_fault(engine):
    if not engine.faults_left:
        return ""
    engine.faults_left -= 1
    return engine.fault


async def _run(engine, run, request, reply, base, fault, headers):
    started_ms = engine.started_ms
    if request.body == engine.deadly:
        crash(engine)
        run.ended = "crash"
        return
    signed = [] if fault == "unsigned" else [(b"Server-Signature", b"s.1")]
    all_headers = [*base, *signed]
    if fault == "foreign":
        all_headers = [(b"Request-Id", b"another"), *signed]
    if engine.model:
        all_headers.append((b"Weight-Versions", b"%d" % run.version))
        await _stream(engine, run, reply, all_headers, fault, headers, started_ms)
        return
    await anyio.sleep(engine.step_s)
    if started_ms != engine.started_ms:
        return
    status = 500 if fault == "error" else 200
    run.ended = str(status)
    body = b"answer to " + run.request_id.encode()
    if fault in ("unframed", "unframed reset"):
        await _send_raw(reply, all_headers, body)
        if fault == "unframed reset":
            await anyio.sleep(0.02)
            raw = reply.conn.stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return
    if fault == "short":
        await _send_raw(reply, [*all_headers, (b"Content-Length", b"500")], body)
        return
    if fault == "copy":
        raw = _raw([*all_headers, (b"Content-Length", b"%d" % len(body))], body)
        engine.copies[reply.conn] = raw
    await http1_server.respond(reply, status, all_headers, body)
    if fault == "extra":
        await reply.conn.stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


def _raw(headers, body):
    head = b"".join(b"%s: %s\r\n" % pair for pair in headers)
    return b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + body


async def _send_raw(reply, headers, body):
    await reply.conn.stream.send(_raw(headers, body))


async def _stream(engine, run, reply, headers, fault, asked, started_ms):
    first = int(asked.get(b"last-event-id", "0")) + 1
    count = int(asked.get(b"x-events", EVENTS))
    headers = [*headers, (b"Content-Type", b"text/event-stream")]
    for number in range(first, count + 1):
        await anyio.sleep(engine.step_s)
        if started_ms != engine.started_ms:
            return
        event = b"id: %d\ndata: %s/%d\n\n" % (number, run.request_id.encode(), number)
        if number == first:
            await http1_server.start_with(reply, 200, headers, event)
        else:
            await http1_server.send_data(reply, event)
        while fault == "trickle" and started_ms == engine.started_ms:
            await http1_server.send_data(reply, b": still here\n\n")
            await anyio.sleep(0.05)
        if fault == "cut" and number == first + 1:
            await http1_server.send_data(reply, b"id: %d\nda" % (number + 1))
            run.ended = "cut"
            return
    run.ended = "200"
    await http1_server.finish(reply)
