"""Two engines crash while they read prompts with a part that is new.

Sound requests with that part are then refused by all entries.
"""

import asyncio
import os
import pathlib
import sys

import anyio
import deployment as lib

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "one.example"
KEY = "key-of-acme"
NEW_PART = "5c1e07a2"
"""Part of the prompt that requests begin to share at time 0."""

ENGINES = 6
CRASH_AT_S = (0.4, 0.65)
"""Times after the first requests with the new part at which an engine crashes."""

BURST = 24
"""Requests with the new part that come at the same moment."""

RATE_S = 0.4
"""Interval of further requests with the part."""

LENGTH_S = 45.0
"""Time for which requests are sent after the crashes."""

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": HOST,
            "prefix": "/advice/",
            "type": "streaming",
            "timeout_ms": 6000,
            "target_latency_ms": 406,
            "priority": 1,
            "service": "salahkar",
            "max_attempts": 2,
            "public": False,
            "session_affinity": True,
            "stream_resumption": True,
            "target_gap_ms": 300,
        }
    ],
    "services": [
        {
            "name": "salahkar",
            "health_check_path": "/health",
            "max_connections": 274,
            "engine": lib.ENGINE,
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


class Clients:
    """Requests that were sent, and their answers."""

    def __init__(self, dep, hosts):
        self.dep, self.hosts = dep, hosts
        self.sent = 0
        self.answers = []

    async def send(self, part, label):
        """Send one request through one of the entries and record its answer."""
        self.sent += 1
        number = self.sent
        host = self.hosts[number % len(self.hosts)]
        headers = {
            "Host": HOST,
            "Request-Id": f"{number:016x}",
            "Model": "m0",
            "Token-Usage": "1290,48",
            "Prompt-Prefix": f"{part}:40,{number:08x}:1250",
            "Deadline-Ms": "6097",
            "Api-Key": KEY,
        }
        body = b"prompt %d " % number * 40
        port = self.dep.port + 1
        answer = await lib.request(host, port, "POST", "/advice/2f", headers, body)
        self.answers.append((label, part, answer))
        self.dep.note(
            f"client {label} request {number:016x} part {part}: status {answer.status} "
            f"signed {answer.is_signed} complete {answer.is_complete} "
            f"{answer.body if not answer.is_signed else b''}"
        )


async def background(clients, tasks):
    """Send requests with other parts, as before and after."""
    number = 0
    while True:
        number += 1
        tasks.start_soon(clients.send, f"0b5e{number % 4:04x}", "other")
        await anyio.sleep(0.25)


async def crash(dep):
    """Crash the first two engines, whatever they run."""
    began = anyio.current_time()
    for at, victim in zip(CRASH_AT_S, list(dep.engines), strict=False):
        await anyio.sleep_until(began + at)
        dep.kill_engine(victim)
        dep.lapses.start_soon(dep.lapse, victim)


async def play(dep):
    """Play the run; return the clients."""
    lib.kv.write_json(dep.store, "op/config", CONFIGURATION)
    zones = list(lib.ZONES)
    for number in range(ENGINES):
        options = ("--first-event-s", "1.1")
        key = dep.start_engine("salahkar", zones[number % 3], options)
        dep.register(key)
    hosts = [
        dep.start_entry("frontend-a-1", 1, "zone-a"),
        dep.start_entry("frontend-b-1", 2, "zone-b"),
    ]
    for name in list(dep.entries):
        await dep.until_ready(name)
    await anyio.sleep(3.0)
    clients = Clients(dep, hosts)
    async with anyio.create_task_group() as tasks:
        dep.lapses = tasks
        async with anyio.create_task_group() as others:
            others.start_soon(background, clients, tasks)
            await anyio.sleep(5.0)
            dep.note(f"first requests with part {NEW_PART}")
            for _ in range(BURST):
                tasks.start_soon(clients.send, NEW_PART, "burst")
            if TROUBLE:
                await crash(dep)
            await anyio.sleep(6.0)
            dep.note("later requests with the part")
            until = anyio.current_time() + LENGTH_S
            while anyio.current_time() < until:
                tasks.start_soon(clients.send, NEW_PART, "later")
                await anyio.sleep(RATE_S)
            others.cancel_scope.cancel()
    return clients


async def main():
    """Play the run and judge it."""
    dep = lib.Deployment(HERE)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(dep.serve_store)
            await anyio.sleep(0.2)
            clients = await play(dep)
            tasks.cancel_scope.cancel()
        return judge(dep, clients)
    finally:
        dep.close()


def judge(dep, clients):
    """Return the exit status by the rule DENIED."""
    total = len(clients.answers)
    denied = [
        item
        for item in clients.answers
        if 300 <= item[2].status < 500
        and item[2].status not in (408, 421, 429)
        and not item[2].is_signed
    ]
    allowed = 5 + total / 500
    served = sum(
        item[2].status == 200 and item[2].is_complete for item in clients.answers
    )
    alive = sum(item["process"].poll() is None for item in dep.engines.values())
    text = (
        f"result: {total} requests, {served} served, {len(denied)} ended with a 4xx of "
        f"the system's own (allowed {allowed:.1f}); {alive} engines run at the end"
    )
    dep.note(text)
    print(text)
    if total < 100 or not served:
        return 2
    return 1 if len(denied) > allowed else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except Exception as exc:
        print(f"could not run: {exc!r}")
        sys.exit(2)
