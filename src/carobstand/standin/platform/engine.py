"""Stand-in for the platform's model engine or plain service, with faults."""

import collections
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

LAYERS = 4
"""Layers of the weights that an engine serves."""

DEFAULT_EVENTS = 5
"""Events of a stream if the request has no ``X-Events`` header."""

FIRST_START_MS = 1_764_892_800_000
"""First start in Unix milliseconds; such values do not fit into 32 bits."""

_CHUNKED = b"Server-Signature: s.1\r\nTransfer-Encoding: chunked\r\n\r\n"

UNBOUNDED_RESPONSES = {
    "endless head": (b"X-Filler: ", b"a" * 4096),
    "endless interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 150),
    "endless body": (b"Server-Signature: s.1\r\n\r\n", b"a" * 4096),
    "endless refusal": (b"Not-Executed: 1\r\n\r\n", b"a" * 4096),
    "endless event": (_CHUNKED, b"1000\r\n" + b"a" * 4096 + b"\r\n"),
    "endless extension": (_CHUNKED, b"1;" + b"e" * 4096 + b"\r\na\r\n"),
    "endless chunks": (_CHUNKED, b"1\r\na\r\n" * 700),
}
"""Per fault: bytes after the first header lines, and bytes repeated forever."""


@attrs.define(eq=False)
class Run:
    """A request that started to run.

    `ended` is how it ended: its status, ``crash``, ``cut``, or ``gone`` if it was
    interrupted. `held_tokens` are those of its prompt and answer, 0 once it ended.
    """

    request_id: str
    version: int
    tenant: str
    body: bytes
    path: str
    ended: str = ""
    held_tokens: int = 0


@attrs.frozen
class Arrival:
    """A request that reached the engine, whether it then ran or was refused.

    `sender` is the value of its ``X-Sender`` header, empty without one; `limit` is the
    limit that the engine named at that time; `parts` are the ids of its prompt's parts.
    """

    at: float
    sender: str
    limit: float | None
    parts: tuple = ()


@attrs.define(eq=False)
class Engine:
    """A backend server and its injected faults.

    Attributes
    ----------
    server_id, service, address, failure_domain : str
    model : str
        Empty for a plain service.
    slots, queue : int
        Largest numbers of running and of waiting requests.
    step_s : float
        Time per event, or per request of a plain service.
    version : int or None
        Version of the weights that it serves.
    staged : dict of int to bytes
        Staged pieces of weights by number.
    spoilt_pieces : set of int
        Numbers of pieces that always read back corrupt.
    staged_counts : collections.Counter
        How often each piece was staged.
    loading : bool
        Staged weights are being loaded.
    load_s : float
        Time to load weights.
    orders : int
        Number of accepted load orders since the start; ``sequence`` in reports.
    heartbeats : int
        ``sequence`` of its record in the store, which rises with time.
    is_draining : bool
    is_unresponsive : bool
        No request gets a response.
    announces_leaving : bool
        Whether its responses carry ``Server-Leaving``.
    retry_delay_s : float
        ``Retry-After`` of requests rejected by the fault ``shed``, in seconds; 0 omits
        the header.
    limit : float or None
        ``Server-Limit`` of its responses, in requests/s; None omits the header.
    limit_header : bytes
        Value of ``Server-Limit`` instead of `limit`, for malformed ones.
    cold_until : float
        Time until which it is cold.
    tells_cold : bool
        Whether its responses carry ``Warmup-Ms``.
    records_cold : bool
        Whether its record has ``warmup_remaining_ms``.
    arrivals : list of Arrival
    informed : dict of str to float
        Time of the first response that named a limit, by sender.
    fault : str
        Fault of the next requests: ``""`` (none), ``reset`` (the connection closes
        before the response), ``cut`` (it closes within a stream), ``extra`` (a second
        response), ``foreign`` (the response to another request), ``copy`` (the response
        is repeated when the connection is used again), ``unframed`` (no content
        length), ``unframed reset`` (also a TCP reset), ``short`` (body shorter than
        the content length), ``trickle`` (comments instead of further events),
        ``unsigned`` (no ``Server-Signature``), ``error`` (status 500), ``silent`` (no
        response), ``shed`` (status 503), ``shed twice`` (the rejection is repeated when
        the connection is used again), ``half a head`` (the connection closes within
        the head), ``open stream`` (a stream that ends with its connection), ``open
        cut`` (the same, within an event), ``open head`` (the same, after the head),
        or one of `UNBOUNDED_RESPONSES` (bytes that
        never complete a response, sent until the client closes the connection).
    faults_left : int
        Number of requests that `fault` still applies to.
    poison_body : bytes
        Requests with this body crash the engine.
    poison_part : str
        Requests with this part before the last one of their prompt crash the engine
        between the head and the first event of its response; empty for none.
    poisoned_at : list of float
        Times at which such a part crashed it.
    crash_times : list of float
    health_checks : int
        Number of health checks that it answered.
    on_crash : callable or None
        Called without arguments at each crash.
    runs : list of Run
    refused : int
        Number of requests refused because they expect another instance or version, or
        because the engine is loading or full.
    copies : dict of connection to bytes
        Responses that the fault ``copy`` repeats.
    expected_digests : callable or None
        Maps a version to the digests of its pieces.
    corrupt_loads : int
        Number of loads whose pieces had other digests than expected.
    body_bytes : int
        Smallest size of the response bodies of a plain service.
    memory_tokens : int
        Tokens of running requests above which it crashes; 0 for no limit, then reports
        do not tell its memory.
    tokens_per_event : int
    held_tokens, most_held_tokens : int
        Tokens of running requests, now and at most.
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
    spoilt_pieces: set = attrs.field(factory=set)
    staged_counts: collections.Counter = attrs.field(factory=collections.Counter)
    loading: bool = False
    load_s: float = 0.05
    started_ms: int = FIRST_START_MS
    orders: int = 0
    heartbeats: int = 1
    is_draining: bool = False
    is_unresponsive: bool = False
    announces_leaving: bool = False
    retry_delay_s: float = 0.0
    limit: float | None = None
    limit_header: bytes = b""
    cold_until: float = 0.0
    tells_cold: bool = False
    records_cold: bool = True
    arrivals: list = attrs.field(factory=list)
    informed: dict = attrs.field(factory=dict)
    fault: str = ""
    faults_left: int = 0
    poison_body: bytes = b"deadly"
    poison_part: str = ""
    poisoned_at: list = attrs.field(factory=list)
    crash_times: list = attrs.field(factory=list)
    on_crash: object = None
    running: int = 0
    waiting: int = 0
    runs: list = attrs.field(factory=list)
    refused: int = 0
    crashes: int = 0
    health_checks: int = 0
    copies: dict = attrs.field(factory=dict)
    expected_digests: object = None
    corrupt_loads: int = 0
    body_bytes: int = 0
    memory_tokens: int = 0
    tokens_per_event: int = 6
    held_tokens: int = 0
    most_held_tokens: int = 0
    slot_released: signals.Signal = attrs.field(factory=signals.Signal)


def record(engine):
    """Return the engine's record in the store."""
    found = {
        "service": engine.service,
        "address": engine.address,
        "zone": engine.failure_domain,
        "version": "v1",
        "slots": engine.slots,
        "state": "draining" if engine.is_draining else "ready",
        "sequence": engine.heartbeats,
        "born": engine.started_ms,
    }
    if engine.records_cold:
        found["warmup_remaining_ms"] = cold_ms(engine)
    return {**found, **_weights_record(engine)} if engine.model else found


def cold_ms(engine):
    """Return the time for which an engine stays cold, in ms."""
    return max(0, round(1000 * (engine.cold_until - anyio.current_time())))


def _weights_record(engine):
    if engine.version is None or engine.loading:
        return {"stage": "unified", "models": []}
    return {
        "stage": "unified",
        "models": [{"name": engine.model, "version": engine.version, "adapters": []}],
        "layers": {"from": 0, "to": LAYERS, "version": engine.version},
    }


def register(engine, store):
    """Write the engine's record into the store."""
    kv.write_json(store, f"servers/{engine.server_id}", record(engine))


def crash(engine):
    """End all running requests and restart the engine without loaded weights."""
    engine.crashes += 1
    engine.crash_times.append(anyio.current_time())
    engine.started_ms += 1000
    engine.orders = 0
    if engine.model:
        engine.version = None
    engine.slot_released.notify()
    if engine.on_crash is not None:
        engine.on_crash()


def server(engine):
    """Return the `http1_server.Server` of an engine."""

    async def handle(request, reply):
        if engine.is_unresponsive:
            await anyio.sleep_forever()
        path, _, query_text = request.target.decode().partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        if path == "/v1/report":
            return await answers.send_json(reply, _report(engine))
        if path == "/health":
            return await _handle_health_check(engine, reply)
        if path == "/v1/order":
            return await _handle_load_order(engine, reply, json.loads(request.body))
        if path.startswith("/v1/stage-"):
            return await _handle_staging(engine, request, reply, path, query)
        await _handle_request(engine, request, reply)

    return http1_server.Server(
        lambda: http1_server.Limits(max_body_bytes=1 << 22), handle
    )


async def _handle_health_check(engine, reply):
    engine.health_checks += 1
    headers = [(b"Instance-Id", engine.server_id.encode())]
    is_leaving = engine.announces_leaving or engine.is_draining
    if is_leaving:
        headers.append((b"Server-Leaving", b"1"))
    if engine.limit is not None:
        headers.append((b"Server-Limit", b"%g" % engine.limit))
    await answers.send_json(reply, {}, 503 if is_leaving else 200, headers)


def _report(engine):
    return {
        **_weights_record(engine),
        "busy": engine.loading,
        "sequence": engine.orders,
        "waiting": engine.waiting,
        "running": engine.running,
        "born": engine.started_ms,
        "pace": 1.0,
        **_memory_report(engine),
    }


def _memory_report(engine):
    if not engine.memory_tokens:
        return {}
    return {
        "kv_cache_used": engine.held_tokens * LAYERS,
        "kv_cache_total": engine.memory_tokens * LAYERS,
    }


def _hold(engine, run, tokens):
    """Add tokens of a run to the memory in use; crash if they do not fit."""
    run.held_tokens += tokens
    engine.held_tokens += tokens
    engine.most_held_tokens = max(engine.most_held_tokens, engine.held_tokens)
    if 0 < engine.memory_tokens < engine.held_tokens:
        run.ended = "crash"
        crash(engine)


def _prompt_tokens(headers):
    prompt = headers.get(b"token-usage", "").partition(",")[0]
    return int(prompt) if prompt.isdigit() else 0


async def _handle_staging(engine, request, reply, path, query):
    number = int(query.get("number", -1))
    if request.method == b"PUT":
        spoilt = number in engine.spoilt_pieces
        engine.staged[number] = b"rotten" if spoilt else request.body
        engine.staged_counts[number] += 1
        return await http1_server.respond(reply, 200, [])
    if number < 0:
        return await answers.send_json(reply, {"held": sorted(engine.staged)})
    if number not in engine.staged:
        return await http1_server.respond(reply, 404, [])
    await http1_server.respond(reply, 200, [], engine.staged[number])


async def _handle_load_order(engine, reply, order):
    if engine.loading or order.get("expected", engine.orders) != engine.orders:
        return await answers.send_json(reply, {}, 409)
    if engine.version == order["version"]:
        return await answers.send_json(reply, {}, 200)
    engine.orders += 1
    engine.loading = True
    staged = dict(engine.staged)
    await answers.send_json(reply, {}, 202)
    started_ms = engine.started_ms
    while engine.running:
        await engine.slot_released.wait(1.0)
    await anyio.sleep(engine.load_s)
    engine.loading = False
    if started_ms == engine.started_ms:
        _apply_staged(engine, staged, order["version"])


def _apply_staged(engine, staged, version):
    """Serve the weights that were staged when the load order arrived."""
    if engine.expected_digests is not None:
        expected = engine.expected_digests(version)
        actual = [
            hashlib.sha256(staged.get(number, b"")).hexdigest()
            for number in range(len(expected))
        ]
        engine.corrupt_loads += actual != expected
    engine.version = version


async def _handle_request(engine, request, reply):
    headers = {name: value.decode() for name, value in request.headers}
    if reply.conn in engine.copies:
        await reply.conn.stream.send(engine.copies.pop(reply.conn))
        await anyio.sleep(engine.step_s)
    common_headers = [(b"Request-Id", headers.get(b"request-id", "").encode())]
    if engine.announces_leaving:
        common_headers.append((b"Server-Leaving", b"1"))
    parts = prompt_parts(headers)
    common_headers += record_arrival(engine, headers.get(b"x-sender", ""), parts)
    refusal = _refusal(engine, headers)
    if refusal is not None:
        engine.refused += 1
        return await answers.send_json(
            reply, {}, refusal[0], [*common_headers, *refusal[1]]
        )
    fault = _next_fault(engine)
    if fault == "reset":
        return
    if fault == "silent":
        await anyio.sleep_forever()
    if fault in UNBOUNDED_RESPONSES:
        return await _send_unbounded(reply, common_headers, fault)
    if fault == "shed twice":
        headers = [*common_headers, (b"Not-Executed", b"1"), (b"Content-Length", b"0")]
        engine.copies[reply.conn] = _raw_response(headers, b"", b"503 Unavailable")
        common_headers.append((b"Not-Executed", b"1"))
        return await answers.send_json(reply, {}, 503, common_headers)
    if fault == "shed":
        common_headers.append((b"Not-Executed", b"1"))
        if engine.retry_delay_s:
            common_headers.append((b"Retry-After", b"%.3f" % engine.retry_delay_s))
        return await answers.send_json(reply, {}, 503, common_headers)
    started_ms = engine.started_ms
    engine.waiting += 1
    try:
        while engine.running >= engine.slots and started_ms == engine.started_ms:
            await engine.slot_released.wait(1.0)
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
        _hold(engine, run, _prompt_tokens(headers))
        if started_ms == engine.started_ms:
            await _execute(engine, run, request, reply, common_headers, fault, headers)
    finally:
        engine.running -= 1
        engine.held_tokens -= run.held_tokens
        run.held_tokens = 0
        run.ended = run.ended or "gone"
        engine.slot_released.notify()


def prompt_parts(headers):
    """Return the ids of the parts of a request's prompt, in order."""
    entries = headers.get(b"prompt-prefix", "").split(",")
    return tuple(entry.partition(":")[0] for entry in entries if entry)


def record_arrival(engine, sender, parts=()):
    """Record a request; return the headers that name the limit and the cold time."""
    now = anyio.current_time()
    engine.arrivals.append(Arrival(now, sender, engine.limit, parts))
    headers = [(b"Warmup-Ms", b"%d" % cold_ms(engine))] if engine.tells_cold else []
    if engine.limit_header:
        return [*headers, (b"Server-Limit", engine.limit_header)]
    if engine.limit is None:
        return headers
    engine.informed.setdefault(sender, now)
    return [*headers, (b"Server-Limit", b"%g" % engine.limit)]


async def _send_unbounded(reply, headers, fault):
    start, repeated = UNBOUNDED_RESPONSES[fault]
    status = b"503 Unavailable" if fault == "endless refusal" else b"200 OK"
    lines = b"".join(b"%s: %s\r\n" % pair for pair in headers)
    head = b"HTTP/1.1 " + status + b"\r\n" + lines
    if fault == "endless interim":
        head = b""
    stream = reply.conn.stream
    try:
        await stream.send(head + start)
        while True:
            await stream.send(repeated)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


def _refusal(engine, headers):
    expected_id = headers.get(b"expected-instance", engine.server_id)
    if expected_id != engine.server_id:
        return 421, [(b"Instance-Id", engine.server_id.encode())]
    version = headers.get(b"expected-version")
    if engine.model and (
        engine.version is None or (version and int(version) != engine.version)
    ):
        return 421, []
    if engine.loading or engine.running + engine.waiting >= engine.slots + engine.queue:
        return 503, [(b"Not-Executed", b"1")]
    return None


def _next_fault(engine):
    if not engine.faults_left:
        return ""
    engine.faults_left -= 1
    return engine.fault


async def _execute(engine, run, request, reply, common_headers, fault, headers):
    started_ms = engine.started_ms
    if request.body == engine.poison_body:
        crash(engine)
        run.ended = "crash"
        return
    if engine.poison_part in prompt_parts(headers)[:-1]:
        await http1_server.start_response(reply, 200, common_headers)
        run.ended = "crash"
        engine.poisoned_at.append(anyio.current_time())
        crash(engine)
        await anyio.sleep_forever()
    signed = [] if fault == "unsigned" else [(b"Server-Signature", b"s.1")]
    all_headers = [*common_headers, *signed]
    if fault == "half a head":
        raw = _raw_response(all_headers, b"")
        run.ended = "cut"
        return await reply.conn.stream.send(raw[: raw.index(b"Signature")])
    if fault == "foreign":
        all_headers = [(b"Request-Id", b"another"), *signed]
    if engine.model:
        all_headers.append((b"Weight-Versions", b"%d" % run.version))
        await _stream_events(
            engine, run, reply, all_headers, fault, headers, started_ms
        )
        return
    await anyio.sleep(engine.step_s)
    if started_ms != engine.started_ms:
        return
    status = 500 if fault == "error" else 200
    run.ended = str(status)
    body = (b"answer to " + run.request_id.encode()).ljust(engine.body_bytes, b".")
    if fault in ("unframed", "unframed reset"):
        await _send_raw_response(reply, all_headers, body)
        if fault == "unframed reset":
            await anyio.sleep(0.02)
            raw = reply.conn.stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return
    if fault == "short":
        await _send_raw_response(
            reply, [*all_headers, (b"Content-Length", b"500")], body
        )
        return
    if fault == "copy":
        raw = _raw_response(
            [*all_headers, (b"Content-Length", b"%d" % len(body))], body
        )
        engine.copies[reply.conn] = raw
    await http1_server.respond(reply, status, all_headers, body)
    if fault == "extra":
        await reply.conn.stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


def _raw_response(headers, body, status=b"200 OK"):
    head = b"".join(b"%s: %s\r\n" % pair for pair in headers)
    return b"HTTP/1.1 " + status + b"\r\n" + head + b"\r\n" + body


async def _send_raw_response(reply, headers, body):
    await reply.conn.stream.send(_raw_response(headers, body))


async def _stream_events(
    engine, run, reply, headers, fault, request_headers, started_ms
):
    first = int(request_headers.get(b"last-event-id", "0")) + 1
    count = int(request_headers.get(b"x-events", DEFAULT_EVENTS))
    headers = [*headers, (b"Content-Type", b"text/event-stream")]
    if fault.startswith("open "):
        return await _send_open_stream(
            run, reply, headers, fault, range(first, count + 1)
        )
    if fault == "error":
        run.ended = "500"
        return await answers.send_json(reply, {"error": "no"}, 500, headers[:-1])
    for number in range(first, count + 1):
        await anyio.sleep(engine.step_s)
        if started_ms != engine.started_ms:
            return
        _hold(engine, run, engine.tokens_per_event)
        if started_ms != engine.started_ms:
            return
        event = b"id: %d\ndata: %s/%d\n\n" % (number, run.request_id.encode(), number)
        if number == first:
            await http1_server.start_response_with(reply, 200, headers, event)
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
    await http1_server.finish_response(reply)


async def _send_open_stream(run, reply, headers, fault, numbers):
    """Send a stream without framing, which ends with its connection."""
    run.ended = "200" if fault == "open stream" else "cut"
    events = b"".join(
        b"id: %d\ndata: %s/%d\n\n" % (number, run.request_id.encode(), number)
        for number in numbers
    )
    if fault == "open head":
        events = b""
    elif fault == "open cut":
        events = events[: events.index(b"\n\n") + 10]
    await _send_raw_response(reply, headers, events)
