# ruff: noqa: D101,D102,D103
"""Stand-ins of the users' platform for the cases of the second review.

Standard library only. Store, origin and engines run in the event loop of the script;
the project's programs run as processes of their own, with the commands of the deploy
file. All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
LAYERS = 16
PIECES = 8
PIECE_BYTES = 4096
HOST = "one.example"
KEY = "k1key"
MODEL = "m1"
BOUNDS = {
    "seed_lag_s": 3,
    "address_reuse_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "configuration_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "strict_revocation": True,
    "revocation_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 106,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "version_ms": 8000,
    "version_all_ms": 0,
}
"""Bounds of the site nimbu-mandal."""


class CaseError(Exception):
    """The case could not run."""


def now():
    return time.monotonic()


# --- HTTP -------------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = (
            method,
            target,
            headers,
            body,
        )
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))


async def read_request(reader):
    """Return the next `Request`, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        if sep:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """A listener whose connections can be ended at once, as at the end of a process."""

    def __init__(self, address, handle):
        self.address, self.handle = address, handle
        self.server, self.writers, self.tasks = None, set(), set()

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 20, backlog=512
        )

    def kill(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                answer = await self.handle(request, writer, reader)
                if answer is None:
                    break
                if answer is not True:
                    writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


# --- store ------------------------------------------------------------------------


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self, address):
        self.items, self.log, self.revision = {}, [], 1
        self.leases, self.next_lease = {}, 1
        self.changed = asyncio.Event()
        self.server = Server(address, self._handle)

    def write(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._note(item)
        return self.revision

    def write_json(self, key, record):
        return self.write(key, json.dumps(record).encode())

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event):
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        ended = [n for n, (_, until) in self.leases.items() if until <= now()]
        for lease in ended:
            self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _handle(self, req, writer, reader):
        self._expire()
        await asyncio.sleep(0.004)
        status, record = await self._dispatch(req)
        headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
        return response(status, headers, json.dumps(record).encode())

    async def _dispatch(self, req):
        query = req.query
        if req.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "store_revision": self.revision}
        if req.path == "/v1/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            page = [self.items[key] for key in keys[:500]]
            return 200, {
                "items": page,
                "has_more": len(keys) > 500,
                "store_revision": self.revision,
            }
        if req.path == "/v1/kv-watch":
            return await self._watch(query)
        body = json.loads(req.body) if req.body else {}
        if req.path == "/v1/kv-txn":
            return self._transact(body)
        if req.path == "/v1/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl_s = body["ttl_ms"] / 1000
            self.leases[lease] = (ttl_s, now() + ttl_s)
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        lease = int(req.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if req.path.startswith("/v1/kv-keep/"):
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, now() + ttl_s)
            return 200, {"ttl_ms": int(ttl_s * 1000)}
        self._end(lease)
        return 200, {}

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = now() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self.log
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _transact(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [row["key"] for row in body["expected"]]
                found = [self.items[key] for key in keys if key in self.items]
                return 412, {"items": found}
        for entry in body.get("writes", []):
            if entry["key"].startswith(("op/", "servers/")):
                return 403, {}
            if entry.get("lease") and entry["lease"] not in self.leases:
                return 404, {}
        for entry in body.get("writes", []):
            value = base64.b64decode(entry["value"])
            self.write(entry["key"], value, entry.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


# --- origin -----------------------------------------------------------------------


def piece(version, number):
    seed = hashlib.sha256(b"%d/%d" % (version, number)).digest()
    return seed * (PIECE_BYTES // len(seed))


class Origin:
    """Origin of weights; `newest` is the newest version."""

    def __init__(self, address):
        self.newest = 1
        self.server = Server(address, self._handle)

    async def _handle(self, req, writer, reader):
        version = int(req.query.get("version", self.newest))
        if version > self.newest or version < 1:
            return response(404)
        if req.path.startswith("/v1/manifest/"):
            digests = [
                hashlib.sha256(piece(version, n)).hexdigest() for n in range(PIECES)
            ]
            record = {
                "model": MODEL,
                "version": version,
                "chunk_bytes": PIECE_BYTES,
                "layers": LAYERS,
                "digests": digests,
            }
            return response(
                200, [("Content-Type", "application/json")], json.dumps(record).encode()
            )
        return response(200, (), piece(version, int(req.query["number"])))


# --- engines ----------------------------------------------------------------------


class Engine:
    """A backend server: a model engine, or a plain service if `model` is empty.

    `on_request(engine, req, writer, reader)` may handle a request that runs. It returns
    None to go on as usual.
    """

    def __init__(self, case, name, service, address, model="", zone="a", slots=16):
        self.case, self.name, self.service = case, name, service
        self.address, self.model, self.zone, self.slots = address, model, zone, slots
        self.queue = 2 * slots
        self.starts, self.version = 0, (1 if model else None)
        self.staged = {n: piece(1, n) for n in range(PIECES)} if model else {}
        self.orders, self.busy, self.running, self.waiting = 0, False, 0, 0
        self.event_s, self.work_s, self.first_s = 0.03, 0.03, 0.03
        self.on_request, self.is_up, self.body_bytes = None, False, 800
        self.server_id, self.born, self.sequence = "", 0, 0
        self.crash_times = []
        self.tasks = set()

    async def start(self):
        self.starts += 1
        self.server_id = f"i-{self.name}-{self.starts}"
        self.born, self.orders, self.busy = int(time.time() * 1000), 0, False
        self.running = self.waiting = 0
        self.server = Server(self.address, self._handle)
        await self.server.start()
        self.is_up = True
        self.register()

    def register(self):
        self.sequence += 1
        record = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "warmup_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.case.store.write_json(
            f"servers/{self.server_id}", {**record, **self._weights()}
        )

    def _weights(self):
        if not self.model:
            return {}
        if self.version is None:
            return {"stage": "unified", "models": []}
        return {
            "stage": "unified",
            "models": [{"name": self.model, "version": self.version, "adapters": []}],
            "layers": {"from": 0, "to": LAYERS, "version": self.version},
        }

    def crash(self, down_s):
        """End as a process does, and be back after `down_s`."""
        if not self.is_up:
            return
        self.is_up = False
        self.crash_times.append(now())
        self.case.note("engine crashed", engine=self.server_id)
        self.server.kill()
        if self.model:
            self.version = None
        task = asyncio.create_task(self._return(self.server_id, down_s))
        self.tasks.add(task)

    async def _return(self, old_id, down_s):
        await asyncio.sleep(down_s)
        await self.start()
        self.case.note("engine started", engine=self.server_id)
        # Three heartbeat intervals without a word after the crash.
        await asyncio.sleep(max(0.0, 3.6 - down_s))
        self.case.store.remove(f"servers/{old_id}")

    async def _handle(self, req, writer, reader):
        if req.path == "/v1/report":
            return self._json(200, self._report())
        if req.path.startswith("/v1/stage-"):
            return self._stage(req)
        if req.path == "/v1/order":
            return await self._order(json.loads(req.body))
        if req.path == "/health":
            headers = [("Instance-Id", self.server_id)]
            return response(200, headers)
        return await self._request(req, writer, reader)

    def _json(self, status, record):
        headers = [("Content-Type", "application/json")]
        return response(status, headers, json.dumps(record).encode())

    def _report(self):
        return {
            **self._weights(),
            "busy": self.busy,
            "sequence": self.orders,
            "waiting": self.waiting,
            "running": self.running,
            "kv_cache_used": 0,
            "kv_cache_total": 1640000 * LAYERS,
            "handles": 0,
            "pace": 1.0,
            "born": self.born,
        }

    def _stage(self, req):
        number = int(req.query.get("number", -1))
        if req.method == "PUT":
            self.staged[number] = req.body
            return response(200)
        if number < 0:
            return self._json(200, {"held": sorted(self.staged)})
        if number not in self.staged:
            return response(404)
        return response(200, (), self.staged[number])

    async def _order(self, order):
        if self.busy or order.get("expected", self.orders) != self.orders:
            return self._json(409, {})
        if self.version == order["version"]:
            return self._json(200, {})
        self.orders += 1
        self.busy = True
        task = asyncio.create_task(self._load(order["version"], self.starts))
        self.tasks.add(task)
        return self._json(202, {})

    async def _load(self, version, start):
        while self.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        if start == self.starts and self.is_up:
            self.version, self.busy = version, False
            self.register()

    async def _request(self, req, writer, reader):
        request_id = req.headers.get("request-id", "")
        own = [("Request-Id", request_id)]
        self.case.arrived(self, req)
        if req.headers.get("expected-instance", self.server_id) != self.server_id:
            return response(421, [*own, ("Instance-Id", self.server_id)])
        expected = req.headers.get("expected-version")
        if self.model and (
            self.version is None or (expected and int(expected) != self.version)
        ):
            return response(421, own)
        if self.busy or self.running + self.waiting >= self.slots + self.queue:
            return response(503, [*own, ("Not-Executed", "1")])
        self.waiting += 1
        start = self.starts
        try:
            while self.running >= self.slots:
                await asyncio.sleep(0.005)
        finally:
            if start == self.starts:
                self.waiting -= 1
        self.running += 1
        try:
            if self.on_request is not None:
                answer = await self.on_request(self, req, writer, reader)
                if answer is not None:
                    return answer
            signed = [*own, ("Server-Signature", f"s.{self.server_id}.{request_id}")]
            load = f"{self.running},{self.waiting},{self.slots}"
            signed.append(("Server-Load", load))
            if self.model:
                return await self.stream(req, writer, signed)
            await asyncio.sleep(self.work_s)
            body = f"{self.server_id} {request_id} ".encode()
            return response(200, signed, body.ljust(self.body_bytes, b"."))
        finally:
            if start == self.starts:
                self.running -= 1

    async def stream(self, req, writer, headers, events=24, after_event=None):
        """Send a stream; `after_event(number)` is called after each event."""
        first = int(req.headers.get("last-event-id", 0)) + 1
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers)]
        lines += [
            "Content-Type: text/event-stream",
            f"Weight-Versions: {self.version}",
            "Transfer-Encoding: chunked",
        ]
        await asyncio.sleep(self.first_s)
        head = "\r\n".join([*lines, "", ""]).encode()
        for number in range(first, events + 1):
            data = f"id: {number}\ndata: {'t' * 40} {number}\n\n".encode()
            writer.write(head + b"%x\r\n" % len(data) + data + b"\r\n")
            head = b""
            await writer.drain()
            if after_event is not None:
                await after_event(number)
            await asyncio.sleep(self.event_s)
        writer.write(head + b"0\r\n\r\n")
        return True


# --- clients ----------------------------------------------------------------------


class Answer:
    """How a request ended; status 0 if there was no answer."""

    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.is_complete, self.error = False, ""
        self.sent_at, self.ended_at = now(), 0.0


async def ask(address, method, target, headers, body=b"", timeout_s=8.0):
    """Send one request on a new connection; return its `Answer`."""
    answer, writer = Answer(), None
    try:
        async with asyncio.timeout(timeout_s):
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await read_answer(reader, answer)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as exc:
        answer.error = repr(exc)
    finally:
        answer.ended_at = now()
        if writer is not None:
            writer.transport.abort()
    return answer


async def read_answer(reader, answer):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        if sep:
            answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    else:
        length = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(length)
    answer.is_complete = True


# --- the case ---------------------------------------------------------------------


class Case:
    """A small deployment, and the record of what happened."""

    def __init__(self, directory, has_trouble):
        self.directory, self.has_trouble = pathlib.Path(directory), has_trouble
        self.began, self.lines, self.processes = now(), [], {}
        self.engines, self.entries, self.arrivals = [], {}, []
        self.numbers, self.sent = 0, 0
        self.temporary = tempfile.TemporaryDirectory()
        self.port = free_port()
        self.block = 1 + os.getpid() % 200
        self.second = random.randrange(1, 240)
        self.store = Store(self.address(18))
        self.origin = Origin(self.address(19))

    def host(self):
        self.numbers += 1
        return f"127.{self.block}.{self.second}.{self.numbers}"

    def address(self, offset):
        return f"{self.host()}:{self.port + offset}"

    def note(self, what, **fields):
        found = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{now() - self.began:8.3f} {what} {found}".rstrip())

    def arrived(self, engine, req):
        self.arrivals.append((now(), engine, req))

    async def begin(self, configuration):
        await self.store.server.start()
        await self.origin.server.start()
        self.configuration = configuration
        self.store.write_json("op/config", configuration)

    def add_engine(self, name, service, **options):
        engine = Engine(self, name, service, self.address(20), **options)
        self.engines.append(engine)
        return engine

    def settings(self, name, role, ip, limits, listen, **more):
        return {
            "node_name": name,
            "role": role,
            "machine_class": "frontend" if listen else "side",
            "serves": ["frontend" if listen else "side"],
            "ip_address": ip,
            "zone": "a",
            "region": "north",
            "zones": {"a": "north"},
            "listen_addresses": listen,
            "internal_port_range": [self.port, self.port + 15],
            "seed_nodes": [],
            "bootstrap": True,
            "limits": limits,
            "data_directory": None,
            "discovery": "platform",
            "entry_point": "virtual_ip",
            "heartbeat_interval_ms": 1200,
            "contracts": [],
            "bounds": BOUNDS,
            "platform": {
                "address": self.store.server.address,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
            **more,
        }

    async def start_entry(self, name, memory_mb=300, file_descriptors=4100):
        """Start an entry, or start it again; return once it is ready."""
        if name not in self.entries:
            host = self.host()
            self.entries[name] = {
                "ip": host,
                "frontend": f"{host}:{self.port + 16}",
                "readiness": f"{host}:{self.port + 17}",
            }
        listen = self.entries[name]
        limits = {
            "cpu_share": 0.817,
            "cpu_cores": 1,
            "memory_mb": memory_mb,
            "file_descriptors": file_descriptors,
            "link_mbps": 1000.0,
            "disk_mb": 0,
        }
        addresses = {k: v for k, v in listen.items() if k != "ip"}
        record = self.settings(name, "entry", listen["ip"], limits, addresses)
        await self._start(name, "entry", record)
        until = now() + 20
        while not await self.is_ready(name):
            if now() > until:
                raise CaseError(f"{name} was not ready in time")
            await asyncio.sleep(0.05)
        self.note("entry ready", entry=name)

    async def start_agent(self, engine):
        name = f"side-{engine.name}"
        limits = {
            "cpu_share": 0.645,
            "cpu_cores": 2,
            "memory_mb": 168,
            "file_descriptors": 1124,
            "link_mbps": 3.65,
            "disk_mb": 0,
        }
        record = self.settings(
            name,
            "agent",
            self.host(),
            limits,
            {},
            app=engine.address,
            service=engine.service,
        )
        await self._start(name, "agent", record)

    async def _start(self, name, role, record):
        path = pathlib.Path(self.temporary.name) / f"{name}.json"
        path.write_text(json.dumps(record))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"][role]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env["CAROBSTAND_CONFIG"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = open(pathlib.Path(self.temporary.name) / f"{name}.log", "ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()

    async def is_ready(self, name):
        address = self.entries[name]["readiness"]
        answer = await ask(address, "GET", "/v1/readiness", (), timeout_s=1.0)
        return answer.status == 200

    def log_of(self, name):
        return (pathlib.Path(self.temporary.name) / f"{name}.log").read_text()

    def rss_bytes(self, name):
        """Return the resident memory of a process of the system."""
        pid = self.processes[name].pid
        try:
            fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
        except OSError:
            return 0
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")

    def new_id(self):
        self.sent += 1
        return f"{self.sent:08x}"

    def headers(self, request_id, deadline_ms, more=()):
        return [
            ("Request-Id", request_id),
            ("Deadline-Ms", str(deadline_ms)),
            ("Api-Key", KEY),
            *more,
        ]

    async def end(self):
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes.values():
            await process.wait()
        for engine in self.engines:
            for task in engine.tasks:
                task.cancel()
            if engine.is_up:
                engine.server.kill()
        self.store.server.kill()
        self.origin.server.kill()


def free_port():
    """Return the first of 32 ports below the range of outgoing connections."""
    for _ in range(200):
        port = random.randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise CaseError("no free port")


def route(name, prefix, kind, service, **more):
    record = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "type": kind,
        "timeout_ms": 6000,
        "target_latency_ms": 405,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
    }
    if kind == "streaming":
        record |= {
            "session_affinity": True,
            "stream_resumption": True,
            "target_gap_ms": 300,
        }
    return {**record, **more}


def engine_service(name):
    return {
        "name": name,
        "health_check_path": "/health",
        "max_connections": 274,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 16,
            "kv_cache_tokens": 1640000,
            "kv_token_bytes": 163840,
            "stride": 6,
            "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}],
            "size_mb": 282000.0,
            "step_ms": 6.73,
            "per_seq_ms": 0.0219,
            "context_per_k": 0.0068,
            "read_per_s": 30600.0,
            "pairs_per_m": 0.647,
            "chunk": 2048,
            "report_lag_ms": 200.0,
            "usual": {"prompt": 964, "answer": 119},
            "layers": LAYERS,
            "layer_mb": 4540.0,
            "act_bytes": 16384,
            "chunks": PIECES,
            "chunk_bytes": PIECE_BYTES,
        },
    }


def configuration(case, routes, services):
    return {
        "version": 7,
        "routes": routes,
        "services": [
            *services,
            {
                "name": "source",
                "origin": case.origin.server.address,
                "zone": "a",
                "link_mbps": 7.3,
                "max_connections": 48,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "bozi300", "api_keys": [KEY], "priority": 1}],
    }


def plain_service(name):
    return {
        "name": name,
        "health_check_path": "/health",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
    }


def main(directory, play):
    """Run ``play(case)``, which returns whether the rule held; exit with 0, 1 or 2."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        case = Case(directory, has_trouble)
        case.note("begin", trouble=int(has_trouble))
        try:
            async with asyncio.timeout(115):
                held = await play(case)
            status = 0 if held else 1
        except Exception as exc:
            case.note("the case could not run", error=repr(exc))
            status = 2
        await case.end()
        if os.environ.get("KEEP_LOGS"):
            for name in case.processes:
                target = pathlib.Path(os.environ["KEEP_LOGS"]) / f"{name}.log"
                target.write_text(case.log_of(name))
        case.note("end", status=status)
        path = pathlib.Path(directory) / "record.txt"
        path.write_text("\n".join(case.lines) + "\n")
        print("\n".join(case.lines[-15:]))
        return status

    sys.exit(asyncio.run(run()))
