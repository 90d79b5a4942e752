"""Callers of entry processes that are stopped, and checks of what they receive."""

import itertools
import random
import signal

import anyio
import attrs

from carobstand import errors, http1
from testing import platform_builders as build

CALLS = [
    ("/stream/", 24),
    ("/once/", 12),
    ("/unsafe/", 0),
    ("/safe/", 0),
]
"""Paths of the requests, and the events of their streams."""

LOSS_SLACK_S = 0.2
"""A request that was sent later than this before the close of its connection may have
crossed the close, if it was not passed on."""


@attrs.define
class Sent:
    """A request that was sent completely, and what became of it.

    `ended_at` is the time of the end of its response or connection; `status` is 0
    without the head of a response.
    """

    request_id: str
    path: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    is_complete: bool = False


@attrs.define(eq=False)
class Traffic:
    """All requests of the callers of a fleet.

    Attributes
    ----------
    fleet : testing.platform_fleet.Fleet
    rng : random.Random
    stopping : dict of str to float
        Time of the first SIGTERM by VM; its callers open new connections to it for
        `routed_s` after that.
    routed_s : float
    sent : list of Sent
    numbers : iterator of int
        For the ids of the requests.
    """

    fleet: object
    rng: random.Random
    stopping: dict = attrs.field(factory=dict)
    routed_s: float = 2.0
    sent: list = attrs.field(factory=list)
    numbers: object = attrs.field(factory=itertools.count)


def routes():
    """Return the routes of `CALLS`."""
    unsafe = {"type": "unsafe", "service": "desk", "max_attempts": 1}
    return [
        build.route_record(name="a", prefix="/stream/"),
        build.route_record(name="b", prefix="/once/", stream_resumption=False),
        build.route_record(name="c", prefix="/unsafe/", **unsafe),
        build.route_record(name="d", prefix="/safe/", type="safe", service="desk"),
    ]


async def call_until_all_stop(traffic):
    """Send requests on kept connections, one after the other, to running entries."""
    while True:
        now = anyio.current_time()
        vms = [
            vm
            for vm in traffic.fleet.entries
            if now < traffic.stopping.get(vm, now) + traffic.routed_s
        ]
        if not vms:
            return
        dep = traffic.fleet.entries[traffic.rng.choice(vms)].deployment
        try:
            conn = await http1.connect(dep.ingress_address, 1.0)
        except errors.HttpError:
            await anyio.sleep(0.05)
            continue
        try:
            await anyio.sleep(traffic.rng.choice([0.0, 0.0, 0.3, 2.0]))
            while http1.is_usable(conn) and await _call(traffic, conn):
                await anyio.sleep(traffic.rng.choice([0.0, 0.0, 0.02, 0.2]))
        finally:
            await http1.close(conn)


async def _call(traffic, conn):
    """Send one request; return whether its connection can be used again."""
    path, events = traffic.rng.choice(CALLS)
    item = Sent(f"t{next(traffic.numbers)}", path, anyio.current_time())
    headers = [
        ("Host", "one.example"),
        ("Request-Id", item.request_id),
        ("Deadline-Ms", "6100" if events else "1030"),
        ("Api-Key", "k1"),
        ("Content-Length", "0"),
        *([("X-Events", str(events))] if events else []),
    ]
    try:
        await http1.send(conn, "POST", path, headers)
        traffic.sent.append(item)
        head = await http1.receive_head(conn)
        item.status = head.status_code
        while await http1.receive_data(conn) is not None:
            pass
        item.is_complete = True
    except errors.HttpError:
        return False
    finally:
        item.ended_at = anyio.current_time()
    return http1.prepare_for_reuse(conn)


async def stop_all(traffic, processes):
    """Stop entries in an order of overlapping stops, with further signals within."""
    rng = traffic.rng
    async with anyio.create_task_group() as tg:
        for vm in rng.sample(sorted(processes), len(processes)):
            tg.start_soon(_stop, traffic, vm, processes[vm])
            await anyio.sleep(rng.uniform(0.0, 1.5))


async def _stop(traffic, vm, process):
    rng = traffic.rng
    process.send_signal(signal.SIGTERM)
    traffic.stopping[vm] = anyio.current_time()
    for _ in range(2):
        await anyio.sleep(rng.uniform(0.0, 1.0))
        if process.poll() is None:
            process.send_signal(rng.choice([signal.SIGTERM, signal.SIGHUP]))
    await anyio.to_thread.run_sync(process.wait)


def lost(traffic):
    """Return the requests whose connection ended without a complete answer."""
    ran = _runs(traffic.fleet)
    return [
        item
        for item in traffic.sent
        if not item.is_complete
        and (
            item.status
            or item.request_id in ran
            or item.ended_at > item.sent_at + LOSS_SLACK_S
        )
    ]


def untrue(traffic):
    """Return the rejected requests that ran, and the unsafe ones that ran twice."""
    ran = _runs(traffic.fleet)
    return [
        item
        for item in traffic.sent
        if (item.status in (429, 503) and item.request_id in ran)
        or (item.path in ("/unsafe/", "/once/") and ran.get(item.request_id, 0) > 1)
    ]


def _runs(fleet):
    counts = {}
    for engine in fleet.engines.values():
        for run in engine.runs:
            counts[run.request_id] = counts.get(run.request_id, 0) + 1
    return counts
