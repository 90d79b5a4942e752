"""Stand-in for a model engine: OpenAI-compatible completions and admin commands."""

import collections
import hashlib
import random

import anyio
import attrs
import httpx

from carobstand import errors
from carobstand.core import manifest as manifests
from carobstand.platform import http
from carobstand.standin import faults, generation, web

MAX_TOKENS = 4096
"""Largest `max_tokens` of a request."""

DEFAULT_TOKENS = 16
"""Default of `max_tokens`, as in the OpenAI API."""

READERS = 8
"""Files of weights read at the same time."""

SOURCE_TIMEOUT_S = 30.0
"""Timeout of a read of weights from the agent."""


class _Refused(Exception):
    """A command or request is refused; carries the HTTP status."""

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status


@attrs.frozen
class Replica:
    """Weights of one version, completely verified."""

    version: str
    manifest: str
    base: str
    size_bytes: int


@attrs.define(eq=False)
class EngineState:
    """State of an engine: loaded and served weights, batch, cache and counters.

    Attributes
    ----------
    batch_limit : int
        Largest number of concurrent requests; the others wait.
    token_s : float
        Time per token of a running request, in seconds.
    prefill_hit_s, prefill_miss_s : float
        Time per block of the prompt that is or is not in the prefix cache.
    cache_blocks : int
        Capacity of the prefix cache, in blocks.
    load_lag_s, cache_lag_s : float
        Age of load reports and of cache events, in seconds.
    cache_loss : float
        Share of cache events that are never reported.
    weights_bytes_per_s : float
        Rate at which weights are read; 0 is unlimited.
    check_fence : bool
        Refuse commands with a stale fencing token; otherwise the token is ignored.
    serving : dict of str to Replica
        Served weights by version; each activation replaces the dict.
    violations : Counter
        Events that break an invariant of carobstand: ``partial_weights``,
        ``mixed_versions``, ``not_loaded``. A version that is not loaded because the
        engine restarted after its last state report does not count, as no client
        can know of the restart.
    reported : bool
        Whether the state was read over ``GET /admin/state`` since the last restart.
    stale_commands : int
        Commands with a stale fencing token, whether refused or not.
    """

    batch_limit: int = 16
    token_s: float = 0.01
    prefill_hit_s: float = 0.0002
    prefill_miss_s: float = 0.002
    cache_blocks: int = 4096
    load_lag_s: float = 0.5
    cache_lag_s: float = 0.5
    cache_loss: float = 0.05
    weights_bytes_per_s: float = 0.0
    check_fence: bool = True
    seed: int = 1
    serving: dict = attrs.field(factory=dict)
    loaded: dict = attrs.field(factory=dict)
    fence: int = 0
    batch: object = None
    cache: object = None
    load_history: collections.deque = attrs.field(factory=collections.deque)
    violations: collections.Counter = attrs.field(factory=collections.Counter)
    reported: bool = True
    requests: collections.Counter = attrs.field(factory=collections.Counter)
    served: collections.Counter = attrs.field(factory=collections.Counter)
    stale_commands: int = 0
    crashes: int = 0
    source_bytes: int = 0

    def __attrs_post_init__(self):
        _reset(self)


def _reset(engine):
    """Set the state of a newly started engine: no weights, empty batch and cache."""
    engine.serving, engine.loaded, engine.fence = {}, {}, 0
    engine.batch = generation.Batch(engine.batch_limit)
    engine.cache = generation.PrefixCache(
        engine.cache_blocks,
        engine.cache_lag_s,
        engine.cache_loss,
        random.Random(engine.seed),
    )
    engine.load_history.clear()


def site(engine=None):
    """Return the engine as a `web.Site`."""
    engine = engine or EngineState()

    async def handle(req):
        try:
            return await _handle(engine, host, req)
        except _Refused as exc:
            return web.error_response(exc.status, str(exc))

    def on_crash():
        engine.crashes += 1
        engine.reported = False
        _reset(engine)

    host = web.Site("engine", handle, lambda: stats(engine), on_crash=on_crash)
    return host


def stats(engine):
    """Return the counters of the engine."""
    return {
        "violations": dict(engine.violations),
        "stale_commands": engine.stale_commands,
        "crashes": engine.crashes,
        "requests": dict(engine.requests),
        "served": dict(engine.served),
        "peak_batch": engine.batch.peak,
        "hit_blocks": engine.cache.hit_blocks,
        "missed_blocks": engine.cache.missed_blocks,
        "source_bytes": engine.source_bytes,
    }


def preload(engine, version, manifest):
    """Serve `version` without reading weights, for tests that have no agent."""
    replica = Replica(version, manifest, "", 0)
    engine.loaded = {**engine.loaded, version: replica}
    engine.serving = {**engine.serving, version: replica}


async def _handle(engine, host, req):
    call = (req.method, req.path)
    if call == ("POST", "/v1/completions"):
        return await _complete(engine, host, req)
    if call == ("GET", "/load"):
        return web.json_response(_load_report(engine, anyio.current_time()))
    if call == ("GET", "/cache-events"):
        after = int(req.query.get("after", 0))
        found = generation.events_after(engine.cache, after, anyio.current_time())
        return web.json_response({"next": found[0], "prefixes": found[1]})
    if call == ("GET", "/admin/state"):
        engine.reported = True
        return web.json_response(
            {
                "serving": {name: r.manifest for name, r in engine.serving.items()},
                "loaded": {name: r.manifest for name, r in engine.loaded.items()},
                "fence": engine.fence if engine.check_fence else 0,
            }
        )
    handlers = {"load": _load, "activate": _activate, "unload": _unload}
    handler = handlers.get(req.path.removeprefix("/admin/"))
    if req.method != "POST" or handler is None:
        return web.error_response(404, f"no such call: {req.method} {req.path}")
    command = req.json()
    _check_fence(engine, command)
    await handler(engine, command)
    return web.json_response({})


def _check_fence(engine, command):
    fence = int(command["fence"])
    if fence < engine.fence:
        engine.stale_commands += 1
        if engine.check_fence:
            raise _Refused(409, f"fencing token {fence} is below {engine.fence}")
    engine.fence = max(engine.fence, fence)


async def _load(engine, command):
    version, digest = str(command["version"]), str(command["manifest"])
    base = str(command.get("base") or "")
    existing = engine.loaded.get(version)
    if existing is not None and (existing.manifest, existing.base) == (digest, base):
        return
    if base and base not in engine.loaded:
        raise _Refused(422, f"base {base!r} is not loaded")
    crashes = engine.crashes
    size = await _read_weights(engine, str(command["source"]), digest)
    if engine.crashes != crashes:
        raise _Refused(503, "engine was restarted")
    # A command with a newer fencing token may have arrived during the read.
    _check_fence(engine, command)
    replica = Replica(version, digest, base, size)
    engine.loaded = {**engine.loaded, version: replica}


async def _read_weights(engine, source, digest):
    """Read and verify all files of a manifest; return their size in bytes."""
    try:
        async with http.client(source, SOURCE_TIMEOUT_S) as client:
            resp = await client.get(f"/manifests/{digest}")
            _check_source(engine, resp.status_code, f"manifest {digest}")
            if hashlib.sha256(resp.content).hexdigest() != digest:
                _violation(engine, "mixed_versions", "the source sent another manifest")
            manifest = manifests.decode(resp.content)
            await _read_files(engine, client, digest, manifest)
    except httpx.HTTPError as exc:
        detail = str(exc) or type(exc).__name__
        raise _Refused(502, f"cannot read weights from {source}: {detail}") from exc
    except errors.WeightsError as exc:
        raise _Refused(422, str(exc)) from exc
    return sum(file.size for file in manifest.files)


async def _read_files(engine, client, digest, manifest):
    """Read all files, up to `READERS` concurrently; raise the first failure."""
    pending = collections.deque(manifest.files)
    failures = []

    async def reader(scope):
        while pending:
            try:
                await _read_file(engine, client, digest, manifest, pending.popleft())
            except (httpx.HTTPError, _Refused) as exc:
                failures.append(exc)
                scope.cancel()

    async with anyio.create_task_group() as tg:
        for _ in range(READERS):
            tg.start_soon(reader, tg.cancel_scope)
    if failures:
        raise failures[0]


def _check_source(engine, status, what):
    if status >= 500:
        raise _Refused(502, f"the source returned status {status} for {what}")
    if status != 200:
        _violation(engine, "partial_weights", f"the source has no {what}")


async def _read_file(engine, client, digest, manifest, file):
    """Read one file; verify each chunk as it arrives."""
    pending = bytearray()
    remaining_digests = collections.deque(file.chunks)
    remaining_bytes = file.size
    path = f"/weights/{digest}/{file.path}"
    async with client.stream("GET", path) as resp:
        _check_source(engine, resp.status_code, file.path)
        async for data in resp.aiter_bytes():
            pending += data
            engine.source_bytes += len(data)
            if engine.weights_bytes_per_s:
                await anyio.sleep(len(data) / engine.weights_bytes_per_s)
            while remaining_bytes and len(pending) >= min(
                remaining_bytes, manifest.chunk_bytes
            ):
                size = min(remaining_bytes, manifest.chunk_bytes)
                _verify(
                    engine, file, bytes(pending[:size]), remaining_digests.popleft()
                )
                del pending[:size]
                remaining_bytes -= size
    if remaining_bytes or pending:
        _violation(engine, "partial_weights", f"{file.path} has a wrong size")


def _verify(engine, file, chunk, digest):
    if hashlib.sha256(chunk).hexdigest() != digest:
        _violation(engine, "partial_weights", f"{file.path} fails verification")


def _violation(engine, kind, message):
    engine.violations[kind] += 1
    raise _Refused(422, message)


async def _activate(engine, command):
    versions = [str(version) for version in command["versions"]]
    missing = [version for version in versions if version not in engine.loaded]
    if missing and not engine.reported:
        raise _Refused(422, f"version {missing[0]!r} is not loaded since a restart")
    if missing:
        _violation(engine, "not_loaded", f"version {missing[0]!r} is not loaded")
    engine.serving = {version: engine.loaded[version] for version in versions}


async def _unload(engine, command):
    version = str(command["version"])
    if version in engine.serving:
        raise _Refused(422, f"version {version!r} is served")
    if any(replica.base == version for replica in engine.loaded.values()):
        raise _Refused(422, f"version {version!r} is the base of a loaded adapter")
    engine.loaded = {
        name: replica for name, replica in engine.loaded.items() if name != version
    }


def _record_load(engine, arriving=0):
    """Append the current load to the history, from which delayed reports are made."""
    now = anyio.current_time()
    history = engine.load_history
    batch = engine.batch
    waiting = batch.waiting + (arriving if batch.running == batch.limit else 0)
    history.append((now, batch.running, waiting))
    while len(history) > 1 and history[1][0] <= now - engine.load_lag_s:
        history.popleft()


def _load_report(engine, now):
    running = waiting = 0
    for since, *load in engine.load_history:
        if since > now - engine.load_lag_s:
            break
        running, waiting = load
    used = len(engine.cache.blocks) / max(1, engine.cache_blocks)
    return {
        "running": running,
        "waiting": waiting,
        "cache_used": used,
        "age_s": engine.load_lag_s,
    }


@attrs.frozen
class _Job:
    """A parsed completion request and the weights that serve it.

    `skip` is the number of leading response bytes to omit, to resume a stream.
    """

    replica: Replica
    prompt: str
    max_tokens: int
    stream: bool
    priority: int
    skip: int


def _parse(engine, req):
    body = req.json()
    model, prompt = body.get("model"), body.get("prompt")
    max_tokens = body.get("max_tokens", DEFAULT_TOKENS)
    if not isinstance(model, str) or not isinstance(prompt, str):
        raise _Refused(400, "model and prompt must be strings")
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_TOKENS:
        raise _Refused(400, f"max_tokens must be from 1 to {MAX_TOKENS}")
    return _Job(
        _replica(engine, model),
        prompt,
        max_tokens,
        bool(body.get("stream", False)),
        int(body.get("priority", 0)),
        int(req.headers.get("x-stream-offset", 0)),
    )


def _replica(engine, model):
    _, named, version = model.partition(":")
    if named:
        if version not in engine.serving:
            raise _Refused(404, f"version {version!r} is not served")
        return engine.serving[version]
    if len(engine.serving) != 1:
        raise _Refused(503, f"{len(engine.serving)} versions are served, name one")
    return next(iter(engine.serving.values()))


async def _complete(engine, host, req):
    job = _parse(engine, req)
    engine.requests[job.replica.version] += 1
    marker = host.switches.crash_marker
    if marker and marker in job.prompt:
        web.crash(host)
        raise web.DropConnection
    headers = [("X-Served-Version", job.replica.version)]
    if job.stream:
        headers.append(("content-type", "text/event-stream"))
        return web.Response(200, _stream(engine, host.switches, job), tuple(headers))
    headers.append(("content-type", "application/json"))
    args = (job.replica.version, job.replica.manifest, job.prompt, job.max_tokens)
    body = generation.body(*args)
    async for _ in _stream(engine, host.switches, job):
        pass
    return web.Response(200, body[job.skip :], tuple(headers))


async def _stream(engine, switches, job):
    """Yield the events of a completion, delayed by prefill and token times."""
    batch = engine.batch
    _record_load(engine, arriving=1)
    try:
        await generation.acquire_slot(batch, job.priority)
    finally:
        _record_load(engine)
    try:
        now = anyio.current_time()
        manifest = job.replica.manifest
        hits, blocks = generation.look_up_and_insert(
            engine.cache, manifest, job.prompt, now
        )
        next_event_at = now + hits * engine.prefill_hit_s
        next_event_at += (blocks - hits) * engine.prefill_miss_s
        skip = job.skip
        args = (job.replica.version, manifest, job.prompt, job.max_tokens)
        stall = faults.stall_offset(switches, job.max_tokens)
        for index, event in enumerate(generation.stream_events(*args)):
            if index == stall:
                await anyio.sleep_forever()
            if skip >= len(event):
                skip -= len(event)
                continue
            next_event_at += engine.token_s
            await anyio.sleep(max(0.0, next_event_at - anyio.current_time()))
            yield event[skip:]
            skip = 0
        engine.served[job.replica.version] += 1
    finally:
        generation.release_slot(batch)
        if batch is engine.batch:
            _record_load(engine)
