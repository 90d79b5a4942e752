"""Entries, agents and backend servers with loopback connections, for tests."""

import contextlib
import hashlib
import socket
import types

import anyio
import httpx

from carobstand import webserver
from carobstand.agent import executor
from carobstand.agent import state as agent_states
from carobstand.core import table as tables
from carobstand.entry import caller_api, dispatch
from carobstand.entry import state as entry_states
from carobstand.platform import store
from carobstand.standin import engine as engine_standin
from carobstand.standin import generation, web
from carobstand.standin import store as store_standin
from carobstand.wire import connection, handlers
from carobstand.wire.gen import ttypes

API_KEYS = {"acme": "key-of-acme", "bolt": "key-of-bolt"}


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def customers(**changes):
    return [
        tables.CustomerRow(
            name=name,
            key_sha256=hashlib.sha256(key.encode()).hexdigest(),
            **changes,
        )
        for name, key in API_KEYS.items()
    ]


def table(*extra, **changes):
    rows = [
        tables.ServiceRow(name="drafter", type="engine", max_in_flight=8, max_queue=16),
        tables.ServiceRow(
            name="desk",
            type="plain",
            max_in_flight=8,
            max_queue=16,
            non_idempotent=("POST /pay",),
        ),
        tables.VersionRow(name="v1", service="drafter", manifest="a" * 64, weight=1),
    ]
    return tables.Table(
        revision=1, change_id="c", rows=[*rows, *customers(**changes), *extra]
    )


def entry_state(number=1, **changes):
    cfg = types.SimpleNamespace(
        vm=f"entry-{number}",
        failure_domain="muscat-a",
        region="oman",
        max_body_bytes=100_000,
        request_timeout_s=10.0,
        router="carobstand",
    )
    for name, value in changes.items():
        setattr(cfg, name, value)
    return entry_states.EntryState(
        cfg=cfg, start_id=f"es{number}", table=table(), store_up=True
    )


def agent_state(number, backend_url, kind="plain", service="desk"):
    cfg = types.SimpleNamespace(
        vm=f"vm-{number}",
        failure_domain="muscat-a",
        region="oman",
        services=(service,),
        backend_url=backend_url,
        backend_type=kind,
    )
    state = agent_states.AgentState(cfg=cfg, start_id=f"as{number}")
    state.table = table()
    if kind == "engine":
        state.replicas[(service, "v1")] = replica(service, "v1")
    return state


def replica(service, version, phase=ttypes.ReplicaPhase.SERVING):
    return ttypes.Replica(
        service_name=service, version=version, manifest="a" * 64, phase=phase
    )


def hello(state, role):
    return ttypes.Hello(
        protocol=connection.PROTOCOL_VERSION,
        role=role,
        vm=state.cfg.vm,
        start_id=state.start_id,
        failure_domain=state.cfg.failure_domain,
        region=state.cfg.region,
        address="127.0.0.1:1",
        services=list(getattr(state.cfg, "services", ())),
    )


def heartbeat(state):
    return ttypes.Heartbeat(
        replicas=list(state.replicas.values()),
        backend_up=state.backend_up,
        leaving=state.leaving,
        running_attempts=state.running_attempts,
    )


class Network:
    """Entries and agents that are connected to each other in one event loop."""

    def __init__(self, tg):
        self.tg = tg
        self.handlers = {}
        self.store = None
        self.servers = []
        self.agents = []
        self.conns = {}
        self.client = httpx.AsyncClient(timeout=20, trust_env=False)

    async def entry(self, state):
        part = dispatch.part(state)
        self.tg.start_soon(part.run)
        self.handlers[state.start_id] = part.handlers
        port = free_port()
        return await self.serve(caller_api.app(state), f"127.0.0.1:{port}")

    async def backend(self, app):
        """Serve an ASGI application as a backend server; return its URL."""
        return await self.serve(app, f"127.0.0.1:{free_port()}")

    async def serve(self, app, address):
        stop, stopped = anyio.Event(), anyio.Event()

        async def run():
            await webserver.serve(app, address, stop)
            stopped.set()

        self.tg.start_soon(run)
        self.servers.append((stop, stopped))
        await webserver.wait_until_bound(address)
        return f"http://{address}"

    async def close(self):
        await self.client.aclose()
        for stop, _ in self.servers:
            stop.set()
        for _, stopped in self.servers:
            await stopped.wait()

    async def agent(self, state, *entries):
        part = executor.part(state)
        self.tg.start_soon(part.run)
        self.handlers[state.start_id] = part.handlers
        for entry in entries:
            await self.connect(state, entry)

    async def connect(self, agent, entry):
        """Connect an agent to an entry as `agent.peers` and `entry.peers` do."""
        accepted = []
        done = anyio.Event()

        async def on_connection(conn):
            accepted.append(conn)
            done.set()
            await self._entry_side(entry, conn)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.tg.start_soon(
            connection.serve,
            listener,
            lambda: hello(entry, ttypes.Role.ENTRY),
            on_connection,
        )
        conn = await connection.dial(
            f"127.0.0.1:{port}", hello(agent, ttypes.Role.AGENT)
        )
        self.tg.start_soon(self._agent_side, agent, conn)
        await done.wait()
        self.conns[(agent.cfg.vm, entry.cfg.vm)] = (conn, accepted[0])
        return conn, accepted[0]

    async def _agent_side(self, agent, conn):
        agent.entries[conn.peer.vm] = conn
        await self._run(conn, self.handlers[agent.start_id])

    async def _entry_side(self, entry, conn):
        peer = entry_states.AgentPeer(conn=conn, hello=conn.peer)
        for state in self.agents:
            if state.start_id == conn.peer.start_id:
                peer.heartbeat = heartbeat(state)
        entry.agents[conn.peer.vm] = peer
        for callback in entry.agent_joined:
            callback(conn.peer.vm, peer)
        entry.changed.notify()
        await self._run(conn, self.handlers[entry.start_id])
        if entry.agents.get(conn.peer.vm) is peer:
            del entry.agents[conn.peer.vm]
            for callback in entry.agent_lost:
                callback(conn.peer.vm, peer)
        entry.changed.notify()

    async def _run(self, conn, handler_table):
        async def on_message(conn, message):
            await handlers.dispatch(handler_table, conn, message)

        with contextlib.suppress(Exception):
            await connection.run(conn, on_message)

    async def disconnect(self, agent, entry):
        """Close the connection of an agent to an entry without a goodbye message."""
        conn, _ = self.conns.pop((agent.cfg.vm, entry.cfg.vm))
        await anyio.aclose_forcefully(conn.stream)

    def send_heartbeats(self):
        """Deliver a heartbeat of every agent to every entry."""
        for entry in self.entries:
            for state in self.agents:
                if state.cfg.vm in entry.agents:
                    entry.agents[state.cfg.vm].heartbeat = heartbeat(state)
            entry.changed.notify()

    async def complete(self, entry=0, prompt="hello", tokens=5, stream=True, **kw):
        payload = {"model": "drafter", "prompt": prompt, "max_tokens": tokens}
        payload["stream"] = stream
        path = "/v1/completions"
        return await self.call(self.urls[entry], path, "POST", json=payload, **kw)

    async def pay(self, key, entry=0, body=b"1", customer="acme"):
        return await self.call(
            self.urls[entry],
            "/services/desk/pay",
            "POST",
            customer,
            headers={"idempotency-key": key},
            content=body,
        )

    async def call(
        self, url, path="/services/desk/x", method="GET", customer="acme", **kw
    ):
        headers = {
            "authorization": f"Bearer {API_KEYS[customer]}",
            **kw.pop("headers", {}),
        }
        return await self.client.request(method, url + path, headers=headers, **kw)


def asgi_app(handler):
    """Return an ASGI application that calls ``handler(scope, body, send)``."""

    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            while True:
                message = await receive()
                await send({"type": f"{message['type']}.complete"})
                if message["type"] == "lifespan.shutdown":
                    return
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        await handler(scope, body, send)

    return app


def expected_completion(prompt="hello", tokens=5, stream=True):
    """Return the response body of the stand-in engine for a completion."""
    return generation.expected_body("v1", "a" * 64, prompt, tokens, stream)


async def send_response(send, body, status=200, headers=()):
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def _start_engine(tg, net):
    """Start a stand-in engine that serves version v1; return its URL."""
    engine = engine_standin.EngineState()
    engine_standin.preload(engine, "v1", "a" * 64)
    site = engine_standin.site(engine)
    net.engines.append((engine, site))
    await tg.start(web.serve, site)
    return site.url


@contextlib.asynccontextmanager
async def running_system(
    handler, agents=1, entries=1, kind="plain", service="desk", **cfg
):
    """Run entries, a store and agents, each with its own backend server.

    The backend servers call `handler`; if it is None, they are stand-in engines. Yields
    a `Network` with `urls`, `entries`, `agents`, `engines` and the site of the stand-in
    `store`.
    """
    async with anyio.create_task_group() as tg:
        net = Network(tg)
        net.store = store_standin.site()
        await tg.start(web.serve, net.store)
        net.entries = [entry_state(num + 1, **cfg) for num in range(entries)]
        for state in net.entries:
            state.store = store.http_store(net.store.url, 1.0)
        net.urls = [await net.entry(state) for state in net.entries]
        net.engines = []
        for num in range(agents):
            if handler is None:
                url = await _start_engine(tg, net)
            else:
                url = await net.backend(asgi_app(handler))
            net.agents.append(agent_state(num + 1, url, kind, service))
        for state in net.agents:
            await net.agent(state, *net.entries)
        try:
            yield net
        finally:
            await net.close()
            for state in net.entries:
                await state.store.close()
            tg.cancel_scope.cancel()


def run(test):
    """Run an async test function with a timeout of 30 s."""

    async def with_timeout():
        with anyio.fail_after(30):
            await test()

    anyio.run(with_timeout)
