"""Stand-in of a model engine: OpenAI-compatible completions and admin commands."""

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
"""Largest number of tokens that a request may ask for."""

DEFAULT_TOKENS = 16
"""Tokens of a request that names no number, as in the OpenAI API."""

READERS = 8
"""Files of weights read at the same time."""

SOURCE_TIMEOUT_S = 30.0
"""Longest wait for the agent while weights are read."""


class _Refused(Exception):
    """A command or request is refused with an HTTP status."""

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status


@attrs.frozen
class Replica:
    """Weights of one version that were verified completely."""

    version: str
    manifest: str
    base: str
    size_bytes: int


@attrs.define(eq=False)
class EngineState:
    """An engine: what it serves, its batch and cache, and what it has observed.

    Attributes
    ----------
    batch_limit : int
        Requests that run at the same time; the others wait.
    token_s : float
        Time per token of a running request, in seconds.
    prefill_hit_s, prefill_miss_s : float
        Time per block of the prompt that is or is not in the prefix cache.
    cache_blocks : int
        Blocks that fit into the prefix cache.
    load_lag_s, cache_lag_s : float
        Age of load reports and of cache events, in seconds.
    cache_loss : float
        Share of cache events that are never reported.
    weights_bytes_per_s : float
        Speed at which weights are read; 0 is unlimited.
    check_fence : bool
        Refuse commands with an old fencing token; else the token is ignored.
    serving : dict of str to Replica
        Replaced as a whole by each activation.
    violations : Counter
        Events that break an invariant of carobstand: ``partial_weights``,
        ``mixed_versions``, ``not_loaded``. A version that is not loaded because the
        engine restarted after its last report does not count: nobody could know.
    reported : bool
        Whether the engine said what it runs since its last start.
    stale_commands : int
        Commands that carried an old fencing token, whether refused or not.
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
        _start(self)


def _start(engine):
    """Set what a newly started engine has: no weights, an empty batch and cache."""
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
        _start(engine)

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
    commands = {"load": _load, "activate": _activate, "unload": _unload}
    command = commands.get(req.path.removeprefix("/admin/"))
    if req.method != "POST" or command is None:
        return web.error_response(404, f"no such call: {req.method} {req.path}")
    order = req.json()
    _check_fence(engine, order)
    await command(engine, order)
    return web.json_response({})


def _check_fence(engine, order):
    fence = int(order["fence"])
    if fence < engine.fence:
        engine.stale_commands += 1
        if engine.check_fence:
            raise _Refused(409, f"fencing token {fence} is below {engine.fence}")
    engine.fence = max(engine.fence, fence)


async def _load(engine, order):
    version, digest = str(order["version"]), str(order["manifest"])
    base = str(order.get("base") or "")
    held = engine.loaded.get(version)
    if held is not None and (held.manifest, held.base) == (digest, base):
        return
    if base and base not in engine.loaded:
        raise _Refused(422, f"base {base!r} is not loaded")
    crashes = engine.crashes
    size = await _read_weights(engine, str(order["source"]), digest)
    if engine.crashes != crashes:
        raise _Refused(503, "engine was restarted")
    # A command with a newer token may have arrived while the weights were read.
    _check_fence(engine, order)
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
    """Read all files, up to `READERS` at a time; raise the first failure."""
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
        raise _Refused(502, f"the source answered {status} for {what}")
    if status != 200:
        _violation(engine, "partial_weights", f"the source has no {what}")


async def _read_file(engine, client, digest, manifest, file):
    """Verify each chunk of one file as it arrives."""
    pending = bytearray()
    remaining = collections.deque(file.chunks)
    left = file.size
    path = f"/weights/{digest}/{file.path}"
    async with client.stream("GET", path) as resp:
        _check_source(engine, resp.status_code, file.path)
        async for data in resp.aiter_bytes():
            pending += data
            engine.source_bytes += len(data)
            if engine.weights_bytes_per_s:
                await anyio.sleep(len(data) / engine.weights_bytes_per_s)
            while left and len(pending) >= min(left, manifest.chunk_bytes):
                size = min(left, manifest.chunk_bytes)
                _verify(engine, file, bytes(pending[:size]), remaining.popleft())
                del pending[:size]
                left -= size
    if left or pending:
        _violation(engine, "partial_weights", f"{file.path} has a wrong size")


def _verify(engine, file, chunk, digest):
    if hashlib.sha256(chunk).hexdigest() != digest:
        _violation(engine, "partial_weights", f"{file.path} fails verification")


def _violation(engine, kind, message):
    engine.violations[kind] += 1
    raise _Refused(422, message)


async def _activate(engine, order):
    versions = [str(version) for version in order["versions"]]
    missing = [version for version in versions if version not in engine.loaded]
    if missing and not engine.reported:
        raise _Refused(422, f"version {missing[0]!r} is not loaded since a restart")
    if missing:
        _violation(engine, "not_loaded", f"version {missing[0]!r} is not loaded")
    engine.serving = {version: engine.loaded[version] for version in versions}


async def _unload(engine, order):
    version = str(order["version"])
    if version in engine.serving:
        raise _Refused(422, f"version {version!r} is served")
    if any(replica.base == version for replica in engine.loaded.values()):
        raise _Refused(422, f"version {version!r} is the base of a loaded adapter")
    engine.loaded = {
        name: replica for name, replica in engine.loaded.items() if name != version
    }


def _note_load(engine, arriving=0):
    """Record the load now, for reports that lag."""
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
    """A parsed completion request and the weights that it began with."""

    replica: Replica
    prompt: str
    max_tokens: int
    stream: bool
    priority: int
    skip: int


def _parse(engine, req):
    order = req.json()
    model, prompt = order.get("model"), order.get("prompt")
    max_tokens = order.get("max_tokens", DEFAULT_TOKENS)
    if not isinstance(model, str) or not isinstance(prompt, str):
        raise _Refused(400, "model and prompt must be strings")
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_TOKENS:
        raise _Refused(400, f"max_tokens must be from 1 to {MAX_TOKENS}")
    return _Job(
        _replica(engine, model),
        prompt,
        max_tokens,
        bool(order.get("stream", False)),
        int(order.get("priority", 0)),
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
        raise web.HangUp
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
    """Yield the events of a completion at the pace of the engine."""
    batch = engine.batch
    _note_load(engine, arriving=1)
    try:
        await generation.enter(batch, job.priority)
    finally:
        _note_load(engine)
    try:
        now = anyio.current_time()
        manifest = job.replica.manifest
        hits, blocks = generation.look_up(engine.cache, manifest, job.prompt, now)
        due = now + hits * engine.prefill_hit_s
        due += (blocks - hits) * engine.prefill_miss_s
        skip = job.skip
        args = (job.replica.version, manifest, job.prompt, job.max_tokens)
        stall = faults.stall_point(switches, job.max_tokens)
        for index, event in enumerate(generation.stream_events(*args)):
            if index == stall:
                await anyio.sleep_forever()
            if skip >= len(event):
                skip -= len(event)
                continue
            due += engine.token_s
            await anyio.sleep(max(0.0, due - anyio.current_time()))
            yield event[skip:]
            skip = 0
        engine.served[job.replica.version] += 1
    finally:
        generation.leave(batch)
        if batch is engine.batch:
            _note_load(engine)
