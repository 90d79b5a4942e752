"""An entry whose watch has gone silent goes on using a server that left.

It learns late that the server's record is gone, and then keeps the server for a grace
period that counts from that moment.
"""

import asyncio
import os
import pathlib
import sys

import anyio
import deployment as lib

from carobstand.standin.platform import kv

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, KEY = "one.example", "key-of-acme"

DRAIN_S, CONTACT_S = 2.0, 3.0

LEAVES_AFTER_S = 1.5
"""Time from the silence until the record of the server is removed."""

QUIET_UNTIL_S = 4.0
"""Time from the silence until the next callers come."""

ROUNDS, PAUSE_S, AT_ONCE = 4, 0.2, 6
"""Callers that come then: some at once, several times, at each entry."""

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": HOST,
            "prefix": "/stock/",
            "type": "safe",
            "timeout_ms": 1000,
            "target_latency_ms": 255,
            "priority": 2,
            "service": "order-desk",
            "max_attempts": 2,
            "public": False,
        }
    ],
    "services": [
        {
            "name": "order-desk",
            "health_check_path": "/health",
            "max_connections": 400,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "acme", "api_keys": [KEY], "priority": 1}],
}


class Proxy:
    """Forwards the connections of one entry to the store; open ones can go silent."""

    def __init__(self, dep):
        self.dep = dep
        self.open = set()
        self.watched = anyio.Event()

    async def serve(self, address):
        """Forward connections until cancelled."""
        host, _, port = address.rpartition(":")
        server = await asyncio.start_server(self.forward, host, int(port))
        async with server:
            await server.serve_forever()

    async def forward(self, reader, writer):
        """Forward one connection."""
        peer = await asyncio.open_connection(self.dep.store_host, self.dep.port)
        conn = {"is_silent": False}
        self.open.add(id(conn))
        conn["key"] = id(conn)
        await asyncio.gather(
            self.copy(conn, reader, peer[1], is_request=True),
            self.copy(conn, peer[0], writer, is_request=False),
        )

    async def copy(self, conn, reader, writer, is_request):
        """Forward one direction; bytes of a silent connection are dropped."""
        try:
            while data := await reader.read(65536):
                if conn["key"] not in self.open:
                    continue
                writer.write(data)
                await writer.drain()
                if is_request and b"/v1/kv-watch" in data:
                    self.watched.set()
                    self.watched = anyio.Event()
        except OSError:
            pass
        finally:
            writer.close()

    def silence(self):
        """Make all open connections silent for good; new ones work."""
        self.open.clear()


class Run:
    """The deployment, and what its clients sent."""

    def __init__(self, dep, tasks):
        self.dep, self.tasks = dep, tasks
        self.proxies = []
        self.sent = 0
        self.sent_at = {}
        self.statuses = []

    async def add_entry(self, name, number, zone):
        """Start an entry that reaches the store through a proxy."""
        proxy = Proxy(self.dep)
        self.proxies.append(proxy)
        address = f"127.{self.dep.net}.3.{number}:{self.dep.port}"
        self.tasks.start_soon(proxy.serve, address)
        await anyio.sleep(0.05)
        self.dep.start_entry(name, number, zone, address)

    async def send(self, name):
        """Send one request to an entry."""
        self.sent += 1
        request_id = f"{self.sent:016x}"
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "1019",
            "Api-Key": KEY,
            "X-Sender": name,
        }
        host, port = self.dep.entries[name][0], self.dep.port + 1
        self.sent_at[request_id] = lib.time.time()
        answer = await lib.request(host, port, "GET", "/stock/1", headers)
        self.statuses.append(answer.status)
        self.dep.note(
            f"client at {name} request {request_id}: status {answer.status} "
            f"leaving {answer.headers.get('server-leaving')}"
        )

    async def send_rounds(self, rounds):
        """Send requests at all entries, some at once, several times."""
        async with anyio.create_task_group() as clients:
            for _ in range(rounds):
                for name in self.dep.entries:
                    for _ in range(AT_ONCE):
                        clients.start_soon(self.send, name)
                await anyio.sleep(PAUSE_S)


async def play(dep, tasks):
    """Play the run; return it, the leaving server, and when its record was removed."""
    kv.write_json(dep.store, "op/config", CONFIGURATION)
    leaving_file = dep.temp / "leaving"
    for number, zone in enumerate(lib.ZONES):
        options = ["--first-event-s", "0.03", "--slots", "6", "--queue", "24"]
        if not number:
            options += ["--leaving-file", str(leaving_file)]
        key = dep.start_engine("order-desk", zone, options)
        dep.register(key, slots=6, is_model=False)
    leaving = next(iter(dep.engines))
    run = Run(dep, tasks)
    for number, zone in enumerate(lib.ZONES, 1):
        await run.add_entry(f"frontend-{zone[-1]}-1", number, zone)
    for name in dep.entries:
        await dep.until_ready(name)
    await anyio.sleep(5.0)
    await run.send_rounds(2)
    with anyio.fail_after(10.0):
        await run.proxies[0].watched.wait()
    silent_at = anyio.current_time()
    if TROUBLE:
        run.proxies[0].silence()
        dep.note("TROUBLE: the open connections of frontend-a-1 to the store go silent")
    await anyio.sleep_until(silent_at + LEAVES_AFTER_S)
    leaving_file.write_text("")
    kv.remove(dep.store, f"servers/{leaving}")
    removed_at = lib.time.time()
    dep.note(f"{leaving} leaves: its record is removed, its answers say so")
    await anyio.sleep_until(silent_at + QUIET_UNTIL_S)
    await run.send_rounds(ROUNDS)
    return run, leaving, removed_at


def judge(dep, run, leaving, removed_at):
    """Return the exit status by the rule DRAIN."""
    late = [
        (round(item["t"] - removed_at, 2), item["sender"])
        for item in dep.runs()
        if item["event"] == "arrived"
        and item["server"] == leaving
        and item["t"] > removed_at + DRAIN_S
    ]
    served = sum(status == 200 for status in run.statuses)
    text = (
        f"result: {run.sent} requests, {served} served; {len(late)} reached {leaving} "
        f"over {DRAIN_S:g} s after its leaving was acknowledged: {late}"
    )
    dep.note(text)
    print(text)
    if served < run.sent / 2:
        return 2
    return 1 if late else 0


async def main():
    """Play the run and judge it."""
    dep = lib.Deployment(HERE)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(dep.serve_store)
            await anyio.sleep(0.2)
            status = judge(dep, *await play(dep, tasks))
            tasks.cancel_scope.cancel()
        return status
    finally:
        dep.close()


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except Exception as exc:
        print(f"could not run: {exc!r}")
        sys.exit(2)
