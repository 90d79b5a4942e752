"""In-memory origin, backend server and peers for tests of the weights loops."""

import types

import anyio
import attrs
import httpx

from carobstand import errors
from carobstand.agent import activation, weights
from carobstand.agent import state as states
from carobstand.core import manifest as manifests
from carobstand.core import table
from carobstand.platform import engine as engines
from carobstand.platform import origin as origins
from carobstand.wire.gen import ttypes


@attrs.define(eq=False)
class FakeEngine:
    """Backend server that reads the weights it is ordered to load."""

    client: object = None
    serving: dict = attrs.field(factory=dict)
    loaded: dict = attrs.field(factory=dict)
    content: dict = attrs.field(factory=dict)

    async def state(self):
        return engines.VersionState(dict(self.serving), dict(self.loaded), 0)

    async def load_version(self, version, manifest, base, source, fence):
        resp = await self.client.get(f"/manifests/{manifest}")
        for file in manifests.decode(resp.content).files:
            resp = await self.client.get(f"/weights/{manifest}/{file.path}")
            if resp.status_code != 200:
                raise errors.BackendError("weights are not readable")
            self.content[version, file.path] = resp.content
        self.loaded[version] = manifest

    async def activate(self, versions, fence):
        self.serving = {key: self.loaded[key] for key in versions}

    async def unload(self, version, fence):
        del self.loaded[version]


@attrs.define
class FakeOrigin:
    """In-memory origin; the first `corrupted_count` chunks that it returns are corrupt.

    `fetched` lists the digests of the chunks fetched from it.
    """

    manifests: dict = attrs.field(factory=dict)
    parts: dict = attrs.field(factory=dict)
    corrupted_count: int = 0
    down: bool = False
    fetched: list = attrs.field(factory=list)

    def add(self, files, chunk_bytes):
        found, parts = manifests.build(files, chunk_bytes)
        data = manifests.encode(found)
        digest = manifests.digest_of(data)
        self.manifests[digest] = data
        self.parts.update(parts)
        return digest

    def interface(self):
        async def manifest(digest):
            if self.down:
                raise errors.OriginError("down")
            return self.manifests[digest]

        async def chunk(digest):
            if self.down:
                raise errors.OriginError("down")
            self.fetched.append(digest)
            is_corrupted = len(self.fetched) <= self.corrupted_count
            return b"damaged" if is_corrupted else self.parts[digest]

        return origins.Origin(manifest, chunk, None, None, None)


class FakeConnection:
    """One end of a connection between two agents; messages arrive in order."""

    def __init__(self, owner, peer):
        self.address = peer.vm
        self.peer = peer
        self.closed = anyio.Event()
        self.queued_bytes = self.bytes_sent = self.bytes_received = 0
        self.extra = {}
        self.owner = owner
        self.other_end = None


@attrs.define(eq=False)
class FakeNetwork:
    """Agents that exchange messages without sockets.

    `filters` are callables of (from_vm, to_vm, message) that return the message to
    deliver, or None to drop it.
    """

    agents: dict = attrs.field(factory=dict)
    parts: dict = attrs.field(factory=dict)
    conns: dict = attrs.field(factory=dict)
    filters: list = attrs.field(factory=list)
    tg: object = None

    def add(self, vm, origin, memory=1 << 20, region="r0", domain="fd0"):
        cfg = types.SimpleNamespace(
            vm=vm,
            failure_domain=domain,
            region=region,
            weights_memory_bytes=memory,
            weights_listen="127.0.0.1:0",
            upload_slots=4,
        )
        agent = states.AgentState(cfg=cfg, start_id="start-" + vm)
        agent.origin = origin.interface()
        agent.engine = FakeEngine()
        agent.dial_peer = lambda address: self.dial(vm, address)
        self.agents[vm] = agent
        self.parts[vm] = weights.part(agent)
        transport = httpx.ASGITransport(app=activation.weights_app(agent))
        agent.engine.client = httpx.AsyncClient(
            transport=transport, base_url="http://agent"
        )
        return agent

    def hello(self, vm):
        cfg = self.agents[vm].cfg
        return ttypes.Hello(
            vm=vm,
            address=vm,
            start_id="start-" + vm,
            failure_domain=cfg.failure_domain,
            region=cfg.region,
        )

    async def dial(self, vm, address):
        await anyio.sleep(0)
        if address not in self.agents:
            raise errors.ConnectionClosedError("cannot connect", peer=address)
        if (vm, address) not in self.conns:
            outgoing = FakeConnection(vm, self.hello(address))
            incoming = FakeConnection(address, self.hello(vm))
            outgoing.other_end, incoming.other_end = incoming, outgoing
            self.conns[vm, address] = outgoing
            self.conns.setdefault((address, vm), incoming)
        return self.conns[vm, address]

    def deliver(self, conn, message):
        if isinstance(message, ttypes.Goodbye):
            conn.other_end.extra["goodbye"] = True
            return
        for message_filter in self.filters:
            message = message_filter(conn.owner, conn.address, message)
            if message is None:
                return
        if conn.address in self.agents:
            handler = self.parts[conn.address].handlers[type(message)]
            self.tg.start_soon(handler, conn.other_end, message)

    def start(self, tg, vm):
        self.tg = tg
        tg.start_soon(self.parts[vm].run)
        tg.start_soon(activation.send_commands, self.agents[vm], "http://agent")

    def assign(self, version, row, revision, vms=None, serve=True):
        """Assign a version and its roster to the agents on `vms`, by default to all.

        Without `serve` the agents only fetch it.
        """
        vms = vms or list(self.agents)
        members = [
            ttypes.Member(
                vm, vm, agent.cfg.failure_domain, agent.cfg.region, "start-" + vm
            )
            for vm, agent in self.agents.items()
            if vm in vms
        ]
        for vm in vms:
            agent = self.agents[vm]
            rows = tuple(agent.table.rows) if agent.table else ()
            agent.table = table.Table(revision, "", (*rows, row), ())
            agent.assignments[row.service] = ttypes.Assignment(
                row.service, revision, [version], [version] if serve else []
            )
            agent.rosters[row.manifest] = ttypes.Roster(row.manifest, revision, members)
            agent.changed.notify()


async def wait_until(condition, timeout_s=20):
    """Wait until `condition()` is true."""
    with anyio.fail_after(timeout_s):
        while not condition():
            await anyio.sleep(0.01)
