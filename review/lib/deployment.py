"""A small deployment on loopback addresses: store stand-in, engines and entries.

Entries and engines are processes of their own. The store is the project's stand-in and
runs in this process; what operators and engines write, this process writes into it.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import anyio

from carobstand import http1_server
from carobstand.standin.platform import kv

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIB = pathlib.Path(__file__).resolve().parent
HEARTBEAT_S = 1.2

MAX_RUN_S = 115
"""Time after which a run is given up; it may last 120 s."""

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

ENGINE = {
    "slots": 16,
    "kv_cache_tokens": 1640000,
    "stride": 6,
    "models": [{"name": "m0", "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}],
    "step_ms": 6.73,
    "per_seq_ms": 0.0219,
    "context_per_k": 0.0068,
    "read_per_s": 30600.0,
    "pairs_per_m": 0.647,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 964, "answer": 119},
    "layers": 16,
    "chunks": 96,
    "chunk_bytes": 24576,
}

ZONES = {"zone-a": "north", "zone-b": "south", "zone-c": "east"}


def port_base():
    """Return the first of a range of ports that are free on loopback addresses."""
    while True:
        with socket.socket() as probe:
            probe.bind(("0.0.0.0", 0))
            base = probe.getsockname()[1]
        if base + 20 > 65000:
            continue
        try:
            for port in range(base, base + 20):
                with socket.socket() as probe:
                    probe.bind(("0.0.0.0", port))
        except OSError:
            continue
        return base


def _give_up(*_):
    """End the run as one that could not be played; its processes are ended too."""
    sys.exit(2)


class Deployment:
    """Processes, store and records of one run."""

    def __init__(self, folder):
        for signum in (signal.SIGTERM, signal.SIGALRM):
            signal.signal(signum, _give_up)
        signal.alarm(MAX_RUN_S)
        self.folder = pathlib.Path(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.temp = pathlib.Path(self.temporary.name)
        self.port = port_base()
        self.net = 1 + os.getpid() % 200
        self.store = kv.Store()
        self.store_host = f"127.{self.net}.0.9"
        self.entries = {}
        self.engines = {}
        self.processes = []
        self.record_file = open(self.folder / "record.txt", "w", buffering=1)
        self.started = time.time()
        self.turned_away = set()
        self.next_engine = 1

    def note(self, text):
        """Write one line to the record of the run."""
        self.record_file.write(f"{time.time() - self.started:8.3f} {text}\n")

    async def serve_store(self):
        """Serve the store until cancelled."""
        server = kv.server(self.store)
        await http1_server.listen(server, f"{self.store_host}:{self.port}")

    def settings(self, name, host, zone, **more):
        """Return a settings file."""
        return {
            "node_name": name,
            "ip_address": host,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "internal_port_range": [self.port + 3, self.port + 18],
            "bootstrap": True,
            "heartbeat_interval_ms": int(1000 * HEARTBEAT_S),
            "limits": {"memory_mb": 300, "link_mbps": 1000.0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"{self.store_host}:{self.port}",
                "form": "kv",
                "min_ttl_ms": 1000,
            },
            **more,
        }

    def start(self, name, command, **variables):
        """Start a process with its output in the temporary folder."""
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env.update(PYTHONPATH=str(ROOT / "target/deps"), **variables)
        with open(self.temp / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.processes.append(process)
        return process

    def start_entry(self, name, number, zone, store_address=None):
        """Start an entry with the command of the deploy file."""
        host = f"127.{self.net}.1.{number}"
        record = self.settings(
            name,
            host,
            zone,
            listen_addresses={
                "frontend": f"{host}:{self.port + 1}",
                "readiness": f"{host}:{self.port + 2}",
            },
        )
        if store_address:
            record["platform"]["address"] = store_address
        path = self.temp / f"{name}.json"
        path.write_text(json.dumps(record))
        process = self.start(
            name,
            ["python3", "-m", "carobstand.entry.platform_main"],
            CAROBSTAND_CONFIG=str(path),
        )
        self.entries[name] = (host, process)
        self.note(f"entry {name} started at {host}")
        return host

    def start_engine(self, service, zone, options=()):
        """Start an engine and return its id; it registers with the next heartbeat."""
        number = self.next_engine
        self.next_engine += 1
        server_id, host = f"i-{number:04x}", f"127.{self.net}.2.{number}"
        born = int(time.time() * 1000)
        process = self.start(
            server_id,
            [
                sys.executable,
                str(LIB / "engine.py"),
                *("--id", server_id, "--host", host, "--port", str(self.port + 1)),
                *("--log", str(self.temp / "runs.jsonl"), "--born", str(born)),
                *options,
            ],
        )
        self.engines[server_id] = {
            "process": process,
            "service": service,
            "address": f"{host}:{self.port + 1}",
            "zone": zone,
            "born": born,
        }
        return server_id

    def register(self, server_id, slots=16, is_model=True):
        """Write the record of an engine into the store, as the engine does."""
        engine = self.engines[server_id]
        record = {
            "service": engine["service"],
            "address": engine["address"],
            "zone": engine["zone"],
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "warmup_remaining_ms": 0,
            "sequence": 1,
            "born": engine["born"],
        }
        if is_model:
            record["stage"] = "unified"
            record["models"] = [{"name": "m0", "version": 1, "adapters": []}]
            record["layers"] = {"from": 0, "to": 16, "version": 1}
        kv.write_json(self.store, f"servers/{server_id}", record)

    async def lapse(self, server_id):
        """Remove the record of a crashed engine after three silent heartbeats."""
        await anyio.sleep(3 * HEARTBEAT_S)
        kv.remove(self.store, f"servers/{server_id}")
        self.note(f"store: record of {server_id} lapsed")

    def kill_engine(self, server_id):
        """Crash an engine."""
        process = self.engines[server_id]["process"]
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.note(f"TROUBLE: engine {server_id} crashed")

    async def until_ready(self, name, timeout_s=20.0):
        """Wait until an entry says that it is ready."""
        host, _ = self.entries[name]
        with anyio.fail_after(timeout_s):
            while True:
                answer = await request(host, self.port + 2, "GET", "/v1/readiness", {})
                if answer.status == 200:
                    return
                await anyio.sleep(0.05)

    def runs(self):
        """Return what the engines logged."""
        path = self.temp / "runs.jsonl"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    def close(self):
        """End all processes and copy the logs of runs into the record."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        for run in self.runs():
            at = run.pop("t") - self.started
            self.record_file.write(f"{at:8.3f} engine {json.dumps(run)}\n")
        self.record_file.close()
        if folder := os.environ.get("KEEP_LOGS"):
            for path in self.temp.glob("*.log"):
                (pathlib.Path(folder) / path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()


class Answer:
    """A response as the client saw it; `status` is 0 without one."""

    def __init__(self, status=0, headers=None, body=b"", is_complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_complete = is_complete

    @property
    def is_signed(self):
        """Whether an engine made the answer."""
        return "server-signature" in self.headers


async def request(host, port, method, target, headers, body=b"", timeout_s=7.0):
    """Send one request on a new connection and return the `Answer`."""
    answer = Answer()
    try:
        with anyio.fail_after(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                lines = [f"{method} {target} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                if body or method == "POST":
                    lines.append(f"Content-Length: {len(body)}")
                if "Host" not in headers:
                    lines.append("Host: x.example")
                lines.append("Connection: close")
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                await writer.drain()
                await _receive(reader, answer)
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        pass
    return answer


async def _receive(reader, answer):
    line = await reader.readline()
    if not line:
        return
    answer.status = int(line.split()[1])
    while (raw := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = raw.decode("latin-1").partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"-1", 16)
            if size < 0:
                return
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            answer.body += data[:-2]
    else:
        size = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(size)
    answer.is_complete = True
