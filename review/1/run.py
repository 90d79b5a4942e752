"""The store loses answers while two entries are restarted in turn.

Neither is registered afterwards, and each grants the permits of a limited server to
itself, at the full rate, for as long as it runs.
"""

import asyncio
import os
import pathlib
import signal
import sys

import anyio
import deployment as lib

from carobstand import http1_server
from carobstand.standin.platform import kv

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "one.example"
KEY = "key-of-acme"
LIMIT = 40.0
"""Requests per second that the server names in ``Server-Limit``."""

REQUEST_S = 0.016
"""Interval of the requests at each entry."""

GAP_S = 1.3
"""Pause between the restarts of two entries."""

LOSING_S = 4.5
"""Time for which the store loses answers."""

LATE_S = 5.0
"""Time after which a write is done whose answer is lost: 1 to 6 s."""

CALM_S = 10.0
"""Time without any disruption before the traffic begins."""

NAMED_AT_S = 2.0
LENGTH_S = 16.0
"""Times from the start of traffic."""

CONTACT_S, WINDOW_S, PASSED_ON_S = 3.0, 4.0, 0.5

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


class Gate:
    """Listener of the store for one entry.

    While the store loses answers, the write with which an entry withdraws its record is
    done later and not answered; the other writes are done and answered.
    """

    def __init__(self, run):
        self.handle = kv.server(run.dep.store).handle
        self.run = run

    async def serve(self, address):
        """Serve the entry until cancelled."""
        limits = http1_server.Limits(max_body_bytes=1 << 22, idle_timeout_s=60.0)
        server = http1_server.Server(lambda: limits, self.answer)
        await http1_server.listen(server, address)

    async def answer(self, request, reply):
        """Answer a call, or lose the answer."""
        is_write = request.target in (b"/v1/kv-txn", b"/v1/kv-lease")
        if self.run.is_losing and is_write:
            self.run.writes += 1
            removed = lib.json.loads(request.body).get("remove")
            if removed:
                self.run.lost += 1
                self.run.tasks.start_soon(self.run.remove_late, removed[0])
                await anyio.sleep_forever()
        await self.handle(request, reply)


class Run:
    """Entries, their gates, and the answers of their clients."""

    def __init__(self, dep, tasks):
        self.dep, self.tasks = dep, tasks
        self.is_losing = False
        self.writes = self.lost = 0
        self.answers = []
        self.sent = 0

    async def add_entry(self, name, number, zone):
        """Start an entry with a gate of its own to the store."""
        address = f"127.{self.dep.net}.3.{number}:{self.dep.port}"
        self.tasks.start_soon(Gate(self).serve, address)
        await anyio.sleep(0.05)
        self.dep.start_entry(name, number, zone, address)

    async def remove_late(self, key):
        """Do a write whose answer was lost: a call may be executed seconds later."""
        self.dep.note(f"TROUBLE: the answer to the removal of {key} is lost")
        await anyio.sleep(LATE_S)
        kv.remove(self.dep.store, key)
        self.dep.note(f"store: {key} is removed")

    async def restart(self, name, number, zone):
        """Stop an entry with SIGTERM, and start it again once it has ended."""
        process = self.dep.entries[name][1]
        process.send_signal(signal.SIGTERM)
        self.dep.note(f"{name} gets SIGTERM")
        while process.poll() is None:
            await anyio.sleep(0.05)
        address = f"127.{self.dep.net}.3.{number}:{self.dep.port}"
        self.dep.start_entry(name, number, zone, address)

    async def send_all(self, name):
        """Send requests to one entry at a steady rate until cancelled."""
        due = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            while True:
                tasks.start_soon(self.send, name)
                due += REQUEST_S
                await anyio.sleep_until(due)

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
        target = f"/stock/{self.sent}"
        answer = await lib.request(host, port, "GET", target, headers, timeout_s=1.1)
        at = anyio.current_time()
        self.answers.append((at, name, answer))
        self.dep.note(
            f"client at {name} request {request_id}: status {answer.status} "
            f"limit {answer.headers.get('server-limit')}"
        )


async def play(dep, tasks):
    """Play the run; return it."""
    lib.kv.write_json(dep.store, "op/config", CONFIGURATION)
    limit_file = dep.temp / "limit"
    options = ("--limit-file", str(limit_file), "--first-event-s", "0.02")
    server_id = dep.start_engine("order-desk", "zone-a", (*options, "--slots", "64"))
    dep.register(server_id, slots=64, is_model=False)
    zones = list(lib.ZONES)[:2]
    names = [f"frontend-{zone[-1]}-1" for zone in zones]
    run = Run(dep, tasks)
    entries = list(zip(names, (1, 2), zones, strict=True))
    for entry in entries:
        await run.add_entry(*entry)
    for name in names:
        await dep.until_ready(name)
    await anyio.sleep(3.0)
    began, run.is_losing = anyio.current_time(), TROUBLE
    async with anyio.create_task_group() as restarts:
        for number, entry in enumerate(entries):
            await anyio.sleep_until(began + number * GAP_S)
            restarts.start_soon(run.restart, *entry)
        await anyio.sleep_until(began + LOSING_S)
        run.is_losing = False
    await anyio.sleep_until(began + LOSING_S + LATE_S)
    if TROUBLE:
        dep.note(f"the store lost {run.lost} answers to {run.writes} writes")
    for name in names:
        await dep.until_ready(name)
    dep.note("no disruption from now on")
    await anyio.sleep(CALM_S)
    listed = [key for key in dep.store.items if key.startswith("carobstand/entries/")]
    dep.note(f"entries registered in the store: {listed}")
    async with anyio.create_task_group() as clients:
        for name in names:
            clients.start_soon(run.send_all, name)
        began = anyio.current_time()
        await anyio.sleep_until(began + NAMED_AT_S)
        limit_file.write_text(f"{LIMIT:g}")
        dep.note(f"{server_id} names its limit of {LIMIT:g} requests/s")
        await anyio.sleep_until(began + LENGTH_S)
        clients.cancel_scope.cancel()
    return run


def judge(dep, run):
    """Return the exit status by the rule LIMIT."""
    offset = anyio.current_time() - lib.time.time()
    passed_on = {}
    for at, name, answer in run.answers:
        if "server-limit" in answer.headers:
            passed_on.setdefault(name, at)
    arrivals = [item for item in dep.runs() if item["event"] == "arrived"]
    named = [item["t"] + offset for item in arrivals if item["limit"]]
    if not named:
        return 2
    counted = [
        (item["t"] + offset, item["sender"])
        for item in arrivals
        if item["sender"] in passed_on
    ]
    times = [
        at
        for at, sender in counted
        if at >= min(named) + CONTACT_S and at >= passed_on[sender] + PASSED_ON_S
    ]
    allowed = 1.5 * LIMIT * WINDOW_S + 5
    most, when = 0, 0.0
    for index, at in enumerate(times):
        count = sum(1 for other in times[index:] if other < at + WINDOW_S)
        if count > most:
            most, when = count, at - offset - dep.started
    served = sum(answer.status == 200 for _, _, answer in run.answers)
    text = (
        f"result: {run.sent} requests, {served} served; at most {most} requests in "
        f"{WINDOW_S:g} s, from {when:.1f} s on (allowed {allowed:g})"
    )
    dep.note(text)
    print(text)
    if served < 100:
        return 2
    return 1 if most > allowed else 0


async def main():
    """Play the run and judge it."""
    dep = lib.Deployment(HERE)
    try:
        async with anyio.create_task_group() as tasks:
            run = await play(dep, tasks)
            status = judge(dep, run)
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
