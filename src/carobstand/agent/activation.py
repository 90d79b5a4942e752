"""Sends load and activate commands to the engine and serves it the weights by HTTP."""

import socket

import anyio

from carobstand import errors, logs, webserver
from carobstand.core import activation, chunks
from carobstand.core import manifest as manifests
from carobstand.wire import connection, handlers
from carobstand.wire.gen import ttypes

STATE_POLL_INTERVAL_S = 2.0
"""Time between queries of the versions that the engine serves, to detect restarts."""

WAKEUP_INTERVAL_S = 0.2
"""Longest delay before a command whose retry is due is sent again."""


def part(state):
    """Return the loop that activates versions on the backend server of `state`."""
    if state.engine is None:
        return handlers.Part()
    sock = bind_weights_socket(state.cfg)

    async def run():
        host, port = sock.getsockname()[:2]
        async with anyio.create_task_group() as tg:
            # The web server takes ownership of the descriptor and closes it.
            bind = f"fd://{sock.detach()}"
            tg.start_soon(webserver.serve, weights_app(state), bind, anyio.Event())
            tg.start_soon(send_commands, state, f"http://{host}:{port}")

    return handlers.Part(run=run)


def target_of(state):
    """Return the `activation.Target` of the current assignments.

    None if there are no assignments, or if one names a version that is missing from
    the current table. The caller then keeps the previous target.
    """
    if state.table is None or not state.assignments:
        return None
    rows = {row.name: row for row in _version_rows(state)}
    found, bases, serve = {}, {}, set()
    for assignment in state.assignments.values():
        for name in assignment.serve or ():
            row = rows.get(name)
            if row is None:
                return None
            serve.add(name)
            found[name] = row.manifest
            if row.base and row.base in rows:
                bases[name] = row.base
                found[row.base] = rows[row.base].manifest
    fence = max(item.plan_revision for item in state.assignments.values())
    return activation.Target(fence, found, frozenset(serve), bases)


def _version_rows(state):
    services = set(state.assignments)
    return [
        row
        for row in state.table.rows
        if row.kind == "version" and row.service in services
    ]


async def send_commands(state, source):
    """Send the commands of the state machine `core.activation`, one at a time.

    Parameters
    ----------
    state : AgentState
    source : str
        Base URL from which the engine reads manifests and weights.
    """
    activation_state = activation.Activation()
    polled_at = anyio.current_time()

    def is_verified(digest):
        return state.chunks is not None and chunks.is_complete(state.chunks, digest)

    def advance(event):
        return activation.step(
            activation_state, event, is_verified, anyio.current_time()
        )

    while True:
        target = target_of(state)
        changed = target is not None and target != activation_state.target
        event = activation.TargetChanged(target) if changed else activation.Wakeup()
        effects = ()
        if anyio.current_time() - polled_at > STATE_POLL_INTERVAL_S:
            polled_at = anyio.current_time()
            effects = advance(activation.ReportOutdated())
        effects = (*effects, *advance(event))
        while effects:
            _update_phases(state, activation_state)
            effects = advance(await _execute(state, source, effects[0]))
        _update_phases(state, activation_state)
        await state.changed.wait(WAKEUP_INTERVAL_S)


async def _execute(state, source, effect):
    """Send one command or query and return the resulting event."""
    engine = state.engine
    try:
        if isinstance(effect, activation.QueryState):
            report = await engine.state()
            state.backend_up = True
            return activation.Reported(report.serving, report.loaded, report.fence)
        logs.event(f"backend.{type(effect).__name__.lower()}", **_fields(effect))
        if isinstance(effect, activation.Load):
            await engine.load_version(
                effect.version, effect.manifest, effect.base, source, effect.fence
            )
        elif isinstance(effect, activation.Activate):
            await engine.activate(effect.versions, effect.fence)
        else:
            await engine.unload(effect.version, effect.fence)
    except errors.ConflictError as exc:
        logs.event("backend.fenced", error=exc.message, step=exc.step, peer=exc.peer)
        return activation.Failed(fenced=True)
    except errors.BackendError as exc:
        if isinstance(effect, activation.QueryState):
            state.backend_up = False
        logs.event("backend.failed", error=exc.message, step=exc.step, peer=exc.peer)
        return activation.Failed()
    return activation.Succeeded()


def _fields(effect):
    if isinstance(effect, activation.Activate):
        return {"versions": list(effect.versions), "fence": effect.fence}
    return {"version": effect.version, "fence": effect.fence}


def _update_phases(state, activation_state):
    """Write the phases LOADING and SERVING of each version to `state.replicas`."""
    serving = activation_state.serving
    if serving is None:
        return
    conflicts = activation.name_conflicts(activation_state)
    before = {key: replica.phase for key, replica in state.replicas.items()}
    for key, replica in state.replicas.items():
        phase = _phase(activation_state, key[1], replica)
        if phase is not None:
            replica.phase = phase
        if key[1] in conflicts and serving[key[1]] != replica.manifest:
            replica.phase = ttypes.ReplicaPhase.REFUSED
            replica.detail = "the name is served with another manifest"
    _add_served(state, serving)
    if before != {key: replica.phase for key, replica in state.replicas.items()}:
        state.changed.notify()


def _phase(activation_state, version, replica):
    phases = ttypes.ReplicaPhase
    if activation_state.serving.get(version) == replica.manifest:
        return phases.SERVING
    loading = isinstance(
        activation_state.pending, activation.Load | activation.Activate
    )
    if loading and version in _versions(activation_state.pending):
        return phases.LOADING
    if replica.phase in (phases.SERVING, phases.LOADING):
        return phases.VERIFIED
    return None


def _versions(command):
    if isinstance(command, activation.Load):
        return (command.version,)
    return command.versions


def _add_served(state, serving):
    """Add replicas of served versions that the plan no longer names."""
    names = {key[1] for key in state.replicas}
    if state.table is None:
        return
    for row in _version_rows(state):
        digest = serving.get(row.name)
        if digest is not None and row.name not in names:
            state.replicas[(row.service, row.name)] = ttypes.Replica(
                service_name=row.service,
                version=row.name,
                manifest=digest,
                phase=ttypes.ReplicaPhase.SERVING,
                bytes_verified=0,
                bytes_total=0,
                detail="",
                origin_bytes=0,
            )


def bind_weights_socket(cfg):
    """Return a socket bound to `weights_listen`, where the engine reads weights."""
    host, port = connection.split_address(cfg.weights_listen)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError as exc:
        sock.close()
        raise errors.SettingsError(
            f"weights_listen: cannot bind {cfg.weights_listen}: {exc.strerror}",
            step="weights.listen",
        ) from exc
    return sock


def weights_app(state):
    """Return the ASGI application of ``/manifests`` and ``/weights``."""

    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "http":
            await _handle_request(state, scope, send)

    return app


async def _lifespan(receive, send):
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _handle_request(state, scope, send):
    parts = scope["path"].split("/", 3)
    found = state.manifests.get(parts[2]) if len(parts) > 2 else None
    if scope["method"] != "GET" or found is None:
        await _respond(send, 404, 0)
    elif parts[1] == "manifests" and len(parts) == 3:
        body = manifests.encode(found)
        await _respond(send, 200, len(body))
        await send({"type": "http.response.body", "body": body})
    elif parts[1] == "weights" and len(parts) == 4:
        await _send_file(state, parts[2], manifests.find_file(found, parts[3]), send)
    else:
        await _respond(send, 404, 0)


async def _send_file(state, digest, file, send):
    """Send a file of a manifest, or 503 while chunks of the manifest are missing."""
    if file is None:
        await _respond(send, 404, 0)
        return
    if not chunks.is_complete(state.chunks, digest):
        await _respond(send, 503, 0)
        return
    await _respond(send, 200, file.size)
    if not file.size:
        return
    for key in file.chunks:
        data = chunks.get(state.chunks, key)
        if data is None:
            raise errors.WeightsError(
                f"manifest {digest[:12]} was released while it was read",
                step="weights.read",
            )
        await send({"type": "http.response.body", "body": data, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


async def _respond(send, status, length):
    headers = [(b"content-length", str(length).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    if not length:
        await send({"type": "http.response.body", "body": b""})
