"""Entries, agents and backend servers in virtual time, for the soak of requests.

The shipped loops of entries and agents run in one process; connections, backend servers
and the store are in-memory replacements, so that a seed decides every delay and fault.
"""

import collections
import hashlib
import json
import types

import anyio
import attrs
import httpx

from carobstand import errors, logs
from carobstand.agent import executor
from carobstand.agent import state as agent_states
from carobstand.core import table as tables
from carobstand.entry import caller_api, dispatch, peers
from carobstand.entry import state as entry_states
from carobstand.wire import connection, handlers
from carobstand.wire.gen import ttypes
from testing import fake_store

CUSTOMERS = {"acme": "key-a", "bolt": "key-b", "cord": "key-c"}
MANIFEST = "a" * 64


@attrs.define(eq=False)
class Pipe:
    """One direction of a connection; delivers nothing before `silent_until`."""

    world: object
    items: collections.deque = attrs.field(factory=collections.deque)
    event: anyio.Event = attrs.field(factory=anyio.Event)
    silent_until: float = 0.0
    last_arrival_at: float = 0.0
    ended: bool = False

    def put(self, data):
        """Send `data`; it arrives in order after a random delay."""
        delay_s = self.world.rng.uniform(0.001, 0.006)
        self.last_arrival_at = max(self.last_arrival_at, anyio.current_time() + delay_s)
        self.items.append((self.last_arrival_at, data))
        self.event.set()

    async def get(self):
        """Return the next data, or None at the end."""
        while True:
            now = anyio.current_time()
            deliver_at = max(self.items[0][0] if self.items else now, self.silent_until)
            if self.items and deliver_at <= now:
                return self.items.popleft()[1]
            if self.ended and not self.items:
                return None
            self.event = anyio.Event()
            with anyio.move_on_after(deliver_at - now if self.items else 3600):
                await self.event.wait()


@attrs.define(eq=False)
class Stream:
    """A byte stream over two pipes: `rx` is read, `tx` is written."""

    rx: Pipe
    tx: Pipe
    closed: bool = False

    async def send(self, data):
        """Queue `data` for the other side."""
        await anyio.lowlevel.checkpoint()
        if self.closed or self.rx.ended and self.tx.ended:
            raise anyio.ClosedResourceError
        self.tx.put(bytes(data))

    async def receive(self, max_bytes=65536):
        """Return the next bytes."""
        if self.closed:
            raise anyio.ClosedResourceError
        data = await self.rx.get()
        if data is None:
            raise anyio.EndOfStream
        return data

    async def aclose(self):
        """End both directions; data already sent still arrives."""
        self.closed = True
        for pipe in (self.rx, self.tx):
            pipe.ended = True
            pipe.event.set()


@attrs.define(eq=False)
class Backend:
    """A simulated backend server.

    Attributes
    ----------
    version : str
        Version that it serves.
    stall : bool
        Whether its responses stop partway.
    starts : int
        Number of crashes.
    open_calls : dict
        Keys are the events that end the open calls when it crashes.
    crashes : list of str
        Orders that made it crash; empty for a crash by a fault.
    """

    world: object
    name: str
    up: bool = True
    version: str = "v1"
    stall: bool = False
    starts: int = 0
    open_calls: dict = attrs.field(factory=dict)
    crashes: list = attrs.field(factory=list)

    def crash(self, fingerprint=""):
        """Break off every call and stay down until `up` is set again."""
        self.up = False
        self.starts += 1
        self.crashes.append(fingerprint)
        for event in list(self.open_calls):
            event.set()


class BackendTransport(httpx.AsyncBaseTransport):
    """HTTP transport from one agent to its simulated backend server."""

    def __init__(self, backend):
        self.backend = backend

    async def handle_async_request(self, request):
        """Run one call."""
        backend, world = self.backend, self.backend.world
        await anyio.sleep(world.rng.uniform(0, 0.002))
        if not backend.up:
            raise httpx.ConnectError("refused", request=request)
        crashed = anyio.Event()
        backend.open_calls[crashed] = None
        body = json.loads(await request.aread())
        world.record_run(request, body, backend)
        if body.get("deadly"):
            await anyio.sleep(world.rng.uniform(0, 0.02))
            if backend.up:
                backend.crash(body["order"])
            raise httpx.ReadError("reset", request=request)
        headers = {}
        if request.url.path == "/v1/completions":
            version = body["model"].partition(":")[2]
            if version != backend.version and version not in world.versions:
                return httpx.Response(404, content=b"{}")
            headers["X-Served-Version"] = version
            if body.get("stream"):
                headers["content-type"] = "text/event-stream"
        offset = int(request.headers.get("x-stream-offset", 0))
        body_bytes = world.expected_body(body, headers.get("X-Served-Version", ""))[
            offset:
        ]
        stream = ResponseBody(backend, body_bytes, crashed)
        return httpx.Response(200, headers=headers, stream=stream)


class ResponseBody(httpx.AsyncByteStream):
    """A response body in pieces; it breaks off when its backend server crashes."""

    def __init__(self, backend, data, crashed):
        self.backend, self.data, self.crashed = backend, data, crashed

    async def __aiter__(self):
        """Yield the pieces."""
        rng = self.backend.world.rng
        piece_size = max(1, len(self.data) // rng.randint(1, 20))
        stall_at = rng.randrange(len(self.data)) if self.backend.stall else None
        for start in range(0, len(self.data), piece_size):
            pause_s = rng.uniform(0.002, 0.06)
            if stall_at is not None and start >= stall_at:
                pause_s = 120
            with anyio.move_on_after(pause_s):
                await self.crashed.wait()
            if self.crashed.is_set():
                raise httpx.ReadError("reset")
            yield self.data[start : start + piece_size]

    async def aclose(self):
        """Remove the call from the open calls."""
        self.backend.open_calls.pop(self.crashed, None)


@attrs.define(eq=False)
class Process:
    """A simulated entry or agent: its state, cancel scope and message handlers.

    `app` is the HTTP application of an entry, `backend` the server of an agent.
    """

    state: object
    scope: anyio.CancelScope
    handlers: dict
    app: object = None
    backend: Backend | None = None


@attrs.define(eq=False)
class World:
    """State of one simulated scenario.

    Attributes
    ----------
    entries, agents : dict of str to Process
    links : dict of (agent, entry) to (Pipe, Pipe)
        Latest connection of each pair: the pipes to the entry and to the agent.
    runs : dict of str to list of (submission, backend)
        Executions of each order by backend servers.
    versions : set of str
        Versions that backend servers accept.
    weights : dict of str to float
        Traffic weight per version.
    start_counts : dict of str to int
        Starts per process, for start ids.
    gossip_enabled : bool
        Whether entries exchange suspects and demand.
    """

    rng: object
    tg: object
    store: object = None
    entries: dict = attrs.field(factory=dict)
    agents: dict = attrs.field(factory=dict)
    links: dict = attrs.field(factory=dict)
    runs: dict = attrs.field(factory=lambda: collections.defaultdict(list))
    versions: set = attrs.field(factory=lambda: {"v1"})
    weights: dict = attrs.field(factory=lambda: {"v1": 1.0})
    start_counts: dict = attrs.field(factory=collections.Counter)
    table: object = None
    heartbeat_interval_s: float = 0.4
    gossip_enabled: bool = True

    def record_run(self, request, body, backend):
        """Record that a backend server has begun to run a call."""
        submission = request.headers.get("x-submission", "")
        self.runs[body["order"]].append((submission, backend.name))

    def expected_body(self, body, version):
        """Return the only correct response body of a request."""
        seed = f"{body['order']}:{body['who']}:{version}".encode()
        unit = hashlib.sha256(seed).hexdigest().encode()
        return (b"data: " + unit + b"\n\n") * body["size"]


def new_table(world):
    """Return a table with the world's versions."""
    rows = [
        tables.ServiceRow(name="drafter", max_in_flight=16, max_queue=64),
        tables.ServiceRow(
            name="desk",
            type="plain",
            max_in_flight=16,
            max_queue=64,
            non_idempotent=("POST /pay",),
        ),
    ]
    for name, weight in world.weights.items():
        rows.append(
            tables.VersionRow(
                name=name, service="drafter", manifest=MANIFEST, weight=weight
            )
        )
    for name, key in CUSTOMERS.items():
        digest = hashlib.sha256(key.encode()).hexdigest()
        rows.append(tables.CustomerRow(name=name, key_sha256=digest))
    revision = (world.table.revision if world.table else 0) + 1
    return tables.Table(revision=revision, change_id=str(revision), rows=rows)


async def start_entry(world, name):
    """Start an entry process with a new start id."""
    world.start_counts[name] += 1
    cfg = types.SimpleNamespace(
        vm=name,
        failure_domain="fd",
        region="r",
        listen="127.0.0.1:1",
        address="",
        max_body_bytes=100_000,
        request_timeout_s=20.0,
        router="carobstand",
    )
    state = entry_states.EntryState(
        cfg=cfg, start_id=f"{name}.{world.start_counts[name]}", table=world.table
    )
    state.store, _ = fake_store.client(world.store)
    app = caller_api.app(state)
    part = dispatch.part(state)
    process = Process(state, anyio.CancelScope(), part.handlers, app)
    world.entries[name] = process
    world.tg.start_soon(_run_part, process, part)


async def start_agent(world, name, backend=None):
    """Start an agent process with a new start id beside its backend server."""
    world.start_counts[name] += 1
    cfg = types.SimpleNamespace(
        vm=name,
        failure_domain="fd",
        region="r",
        services=("drafter", "desk"),
        backend_url="http://backend",
        backend_type="both",
    )
    state = agent_states.AgentState(
        cfg=cfg, start_id=f"{name}.{world.start_counts[name]}"
    )
    backend = backend or Backend(world, name)
    client = httpx.AsyncClient(
        transport=BackendTransport(backend), base_url="http://backend", timeout=None
    )

    async def probe(url):
        await anyio.sleep(0.001)
        return backend.up

    part = executor.part(state, client, probe)
    process = Process(state, anyio.CancelScope(), part.handlers, backend=backend)
    world.agents[name] = process
    world.tg.start_soon(_run_part, process, part)
    world.tg.start_soon(_send_heartbeats, world, process)


async def _run_part(process, part):
    with process.scope:
        await part.run()


async def kill(process):
    """Stop a process and close its connections, without a goodbye."""
    process.scope.cancel()
    conns = list(process.state.entries.values())
    if process.app is not None:
        conns = [peer.conn for peer in process.state.agents.values()]
    for conn in conns:
        await conn.stream.aclose()
        connection.close(conn)


async def keep_connected(world, agent_name, entry_name):
    """Keep an agent connected to an entry, as `agent.peers` does."""
    while True:
        agent, entry = world.agents.get(agent_name), world.entries.get(entry_name)
        if agent and entry and entry_name not in agent.state.entries:
            await _connect(world, agent, entry)
        await anyio.sleep(world.rng.uniform(0.2, 0.6))


async def _connect(world, agent, entry):
    to_entry, to_agent = Pipe(world), Pipe(world)
    world.links[(agent.state.cfg.vm, entry.state.cfg.vm)] = (to_entry, to_agent)
    world.tg.start_soon(_run_entry_side, entry, Stream(to_entry, to_agent))
    world.tg.start_soon(_run_agent_side, agent, Stream(to_agent, to_entry))
    await anyio.sleep(0.05)


async def _run_entry_side(entry, stream):
    try:
        conn = await connection.handshake(stream, peers.hello_of(entry.state), "a")
    except errors.CarobstandError as exc:
        logs.event("connection.failed", error=exc.message)
        return
    await peers.run_peer(entry.state, conn, entry.handlers)


async def _run_agent_side(agent, stream):
    state = agent.state
    hello = ttypes.Hello(
        protocol=connection.PROTOCOL_VERSION,
        role=ttypes.Role.AGENT,
        vm=state.cfg.vm,
        start_id=state.start_id,
        failure_domain="fd",
        region="r",
        address="127.0.0.1:1",
        services=list(state.cfg.services),
    )

    async def on_message(conn, message):
        await handlers.dispatch(agent.handlers, conn, message)

    try:
        conn = await connection.handshake(stream, hello, "e")
        name = conn.peer.vm
        if name in state.entries:
            await stream.aclose()
            return
        state.entries[name] = conn
        try:
            await connection.run(conn, on_message)
        finally:
            if state.entries.get(name) is conn:
                del state.entries[name]
    except errors.InvariantError:
        raise
    except errors.CarobstandError as exc:
        logs.event("connection.failed", error=exc.message)


def build_heartbeat(agent):
    """Update the state of an agent from its backend server; return its heartbeat."""
    state, backend = agent.state, agent.backend
    state.backend_up = backend.up
    state.replicas = {
        ("drafter", backend.version): ttypes.Replica(
            service_name="drafter",
            version=backend.version,
            manifest=MANIFEST,
            phase=ttypes.ReplicaPhase.SERVING,
        )
    }
    return ttypes.Heartbeat(
        replicas=list(state.replicas.values()),
        backend_up=state.backend_up,
        leaving=state.leaving,
        running_attempts=state.running_attempts,
    )


async def _send_heartbeats(world, agent):
    """Report to connected entries as `agent.control` does.

    Reports skip silent connections and those that the entry has not accepted yet.
    """
    state = agent.state
    while world.agents.get(state.cfg.vm) is agent:
        heartbeat = build_heartbeat(agent)
        for name, conn in list(state.entries.items()):
            entry = world.entries.get(name)
            peer = entry.state.agents.get(state.cfg.vm) if entry else None
            link = world.links.get((state.cfg.vm, name))
            is_silent = link and link[0].silent_until > anyio.current_time()
            if peer is None or is_silent or peer.hello.start_id != state.start_id:
                continue
            peer.heartbeat = heartbeat
            peer.last_seen_at = anyio.current_time()
            peer.leaving = peer.leaving or state.leaving
            start_id = entry.state.start_id
            if conn.peer.start_id == start_id:
                state.attempt_floors[start_id] = entry.state.attempt_floor
            entry.state.changed.notify()
        await anyio.sleep(world.heartbeat_interval_s * world.rng.uniform(0.8, 1.2))


async def run_gossip(world):
    """Copy suspects and demand between entries, as `entry.revision_exchange` does."""
    while True:
        await anyio.sleep(1.0)
        if not world.gossip_enabled:
            continue
        for name, entry in world.entries.items():
            for other_name, other in world.entries.items():
                if other_name == name:
                    continue
                peer = entry.state.entries.setdefault(
                    other_name, entry_states.EntryPeer(conn=None, hello=None)
                )
                peer.peer_state = ttypes.PeerState(
                    demands=list(other.state.demands),
                    suspects=list(other.state.suspects.outgoing),
                )
