"""Replay of version changes in virtual time, with real agents' and entries' loops.

Links, the origin and the engines are simulated; transfers, caches and loads are the
product's own code. The store is left out: all processes learn of a version at once.

Usage: ``python -m bench.weight_replay``, which prints one line for each day of `DAYS`.
"""

import asyncio
import collections
import contextlib
import contextvars
import hashlib
import math
import random
from unittest import mock

import anyio
import attrs

from carobstand import errors, eventlog, http1
from carobstand.agent import loading, piece_sharing, receiving, reporting, view
from carobstand.core import (
    deployment,
    engine_load,
    engine_report,
    entry_roster,
    named_versions,
    registry,
    routes,
    weight_sources,
)
from carobstand.entry import datagrams, weight_cache
from carobstand.entry import fleet as fleets
from carobstand.platform import engine_client, weights_origin
from carobstand.transfer import piece_server
from carobstand.wire import fleet_codec
from testing import virtual_time

MODEL = "m"
PORT = 7000
LATENCY_S = 0.002
LOAD_S = 0.3
"""Time of a load after the last running request has ended."""

_vm = contextvars.ContextVar("vm")


@attrs.define(eq=False)
class Day:
    """A deployment and what happens to it.

    Attributes
    ----------
    engines, entries : int
        Numbers for each region.
    regions : int
    pieces, piece_bytes : int
    agent_rate, entry_rate, origin_rate : float
        Rates of the links in bytes/s, in each direction.
    allowed_s : float
        Time after a version is named during which requests may begin on older ones.
    drain_s : (float, float)
        Range of the time in which an engine finishes its running requests.
    """

    engines: int = 4
    entries: int = 4
    regions: int = 3
    pieces: int = 48
    piece_bytes: int = 49152
    agent_rate: float = 4.2e6 / 8
    entry_rate: float = 30e6 / 8
    origin_rate: float = 6.6e6 / 8
    allowed_s: float = 10.3
    drain_s: tuple = (0.3, 2.6)


@attrs.define(eq=False)
class Link:
    """One direction of a link; `free_at` is when it has sent all that it accepted."""

    rate: float
    free_at: float = 0.0

    def pass_through(self, size, at):
        """Return the time at which data accepted at a time has passed."""
        self.free_at = max(self.free_at, at) + size / self.rate
        return self.free_at


class Stream:
    """One end of a connection; data arrives after it passed both ends' links."""

    def __init__(self, replay, local, remote):
        self.replay, self.local, self.remote = replay, local, remote
        self.sender, self.receiver = anyio.create_memory_object_stream(math.inf)
        self.other, self.under_way, self.is_closing = None, 0, False

    async def send(self, data):
        """Send data to the other end."""
        if self.other.sender.statistics().open_receive_streams == 0:
            raise anyio.BrokenResourceError
        replay = self.replay
        at = replay.links[self.local][0].pass_through(len(data), anyio.current_time())
        if replay.region_of(self.local) != replay.region_of(self.remote):
            replay.bytes_between_regions += len(data)
        self.other.under_way += 1
        at += LATENCY_S
        replay.loop.call_later(at - anyio.current_time(), self.other.arrive, data)

    def arrive(self, data):
        """Pass data that has crossed the network through this end's link."""

        def put():
            self.under_way -= 1
            with contextlib.suppress(
                anyio.BrokenResourceError, anyio.ClosedResourceError
            ):
                self.sender.send_nowait(data)

            if self.is_closing and not self.under_way:
                self.sender.close()

        link, now = self.replay.links[self.local][1], anyio.current_time()
        self.replay.loop.call_later(link.pass_through(len(data), now) - now, put)

    async def receive(self, max_bytes=0):
        """Return the next data."""
        return await self.receiver.receive()

    async def aclose(self):
        """Close both ends, once data that is under way has arrived."""
        self.receiver.close()
        self.other.is_closing = True
        if not self.other.under_way:
            self.replay.loop.call_later(LATENCY_S, self.other.sender.close)


class Listener:
    """Accepts connections to a VM."""

    def __init__(self, replay, host):
        self.replay, self.host = replay, host

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc):
        self.replay.listeners.pop(self.host, None)

    async def serve(self, handler):
        """Handle connections until cancelled."""

        async def handle(stream):
            # Tasks inherit the context of the connecting VM.
            _vm.set(self.host)
            await handler(stream)

        async with anyio.create_task_group() as tg:
            self.replay.listeners[self.host] = lambda s: tg.start_soon(handle, s)
            await anyio.sleep_forever()


@attrs.define(eq=False)
class Engine:
    """A simulated engine."""

    vm: str
    version: int | None = 1
    is_busy: bool = False
    orders: int = 0
    staged: dict = attrs.field(factory=dict)


class Replay:
    """A deployment in which a day is replayed.

    Attributes
    ----------
    loads : list of (float, str, int)
        Time, VM and version of each finished load.
    origin_sent : dict of int to int
        Pieces that the origin sent of each version.
    events : list of (float, str, str, dict)
        Time, VM, name and fields of each logged event.
    """

    def __init__(self, day, seed=1):
        self.day, self.random = day, random.Random(seed)
        self.links, self.listeners, self.engines, self.views = {}, {}, {}, {}
        self.fleets, self.caches, self.scopes, self.loads_seen = {}, {}, {}, {}
        self.registered = []
        self.named, self.loads, self.origin_sent, self.events = [], [], {}, []
        self.bytes_between_regions = 0
        self.is_origin_down = False
        self.origin_link = Link(day.origin_rate)
        self.entries = {}
        for region in range(day.regions):
            for number in range(day.entries):
                host = f"10.{region}.0.{number}"
                self.entries[host] = weight_sources.Entry(
                    host, f"{host}:{PORT}", f"d{region}", f"r{region}", day.entry_rate
                )
                self.links[host] = (Link(day.entry_rate), Link(day.entry_rate))
            for number in range(day.engines):
                host = f"10.{region}.1.{number}"
                self.engines[host] = Engine(host)
                self.registered.append(
                    registry.Registration(
                        server_id=host,
                        service="s",
                        address=f"{host}:80",
                        failure_domain=f"d{region}",
                        slots=12,
                        is_ready=True,
                        runs_model=True,
                    )
                )
                self.links[host] = (Link(day.agent_rate), Link(day.agent_rate))

    def region_of(self, host):
        """Return the region of a VM."""
        return "r" + host.split(".")[1]

    def piece(self, version, number):
        """Return the bytes of a piece."""
        return random.Random(f"{version}/{number}").randbytes(self.day.piece_bytes)

    def deployment(self, host, rate):
        """Return the `Deployment` of a process."""
        region = self.region_of(host)
        return deployment.Deployment(
            vm=host,
            ip=host,
            failure_domain="d" + region[1:],
            region=region,
            regions={f"d{n}": f"r{n}" for n in range(self.day.regions)},
            internal_ports=(PORT, PORT + 15),
            store_address="10.9.0.1:1",
            backend_address=f"{host}:80",
            service="s",
            link_bytes_per_s=rate,
            bounds=deployment.Bounds(version_s=self.day.allowed_s),
        )

    def configuration(self):
        """Return the configuration with the origin and one service of engines."""
        day = self.day
        origin = routes.Origin(
            address="o:1",
            failure_domain="d0",
            bytes_per_s=day.origin_rate,
            max_connections=64,
        )
        weights = routes.Weights(
            models=(MODEL,),
            layers=4,
            pieces=day.pieces,
            piece_bytes=day.piece_bytes,
        )
        service = routes.Service(name="s", origin=origin, weights=weights)
        return routes.Configuration(version=1, routes={}, services={"s": service})

    def report(self, host):
        """Return the `EngineReport` of an engine."""
        engine = self.engines[host]
        holding = engine.version and registry.Holding(
            model=MODEL, version=engine.version
        )
        return engine_report.EngineReport(
            holding=holding, is_busy=engine.is_busy, orders=engine.orders, started_ms=1
        )

    def usable(self):
        """Return the number of engines on which requests may begin now."""
        now = anyio.current_time()
        return sum(
            engine.version is not None
            and now
            < named_versions.begin_by(self.named, engine.version, self.day.allowed_s)
            for engine in self.engines.values()
        )


async def connect(replay, host):
    await anyio.sleep(LATENCY_S)
    accept = replay.listeners.get(host)
    if accept is None:
        raise OSError("refused")
    mine, theirs = Stream(replay, _vm.get(), host), Stream(replay, host, _vm.get())
    mine.other, theirs.other = theirs, mine
    accept(theirs)
    return mine


async def _origin_call(replay, size):
    if replay.is_origin_down:
        raise errors.OriginError("down")
    at = replay.origin_link.pass_through(size, anyio.current_time())
    while anyio.current_time() < at:
        await anyio.sleep(min(0.05, at - anyio.current_time()))
        if replay.is_origin_down:
            raise errors.OriginError("down")


async def _fetch_manifest(replay, version):
    await _origin_call(replay, 3000)
    version = version or replay.named[-1].version
    pieces = [replay.piece(version, n) for n in range(replay.day.pieces)]
    digests = tuple(hashlib.sha256(piece).digest() for piece in pieces)
    return weights_origin.Manifest(MODEL, version, digests, replay.day.piece_bytes)


async def _fetch_piece(replay, version, number):
    await _origin_call(replay, replay.day.piece_bytes)
    replay.origin_sent[version] = replay.origin_sent.get(version, 0) + 1
    return replay.piece(version, number)


async def _load(replay, engine, version):
    """Load staged weights once the running requests have ended."""
    if engine.is_busy:
        return 409
    assert engine.staged == {
        n: replay.piece(version, n) for n in range(replay.day.pieces)
    }
    now, served = anyio.current_time(), engine.version or 0
    ends_at = named_versions.begin_by(replay.named, served, replay.day.allowed_s)
    engine.is_busy, engine.version = True, None
    engine.orders += 1

    def finish():
        engine.is_busy, engine.version = False, version
        replay.loads.append((anyio.current_time(), engine.vm, version))

    # Requests began until the order, or until the served version ended.
    drain_s = replay.random.uniform(*replay.day.drain_s) - max(0.0, now - ends_at)
    drain_s = max(0.0, drain_s)
    replay.loop.call_later(drain_s + LOAD_S, finish)
    return 202


async def _stage(engine, number, data):
    assert not engine.is_busy, "pieces are staged during a load"
    engine.staged[number] = data


def _record(replay, event, fields):
    replay.events.append((anyio.current_time(), _vm.get(""), event, fields))


def _fail(event, exc, **fields):
    raise exc


def _patches(replay):
    async def in_coroutine(value):
        return value

    async def listen(listener, handle):
        await listener.serve(lambda stream: piece_server.serve(stream, handle))

    async def read_peers(view, stage):
        stage.peers = [f"{host}:80" for host in replay.engines]

    return [
        mock.patch.object(anyio, "connect_tcp", lambda h, p: connect(replay, h)),
        mock.patch.object(
            anyio,
            "create_tcp_listener",
            lambda local_host, local_port: in_coroutine(Listener(replay, local_host)),
        ),
        mock.patch.object(
            anyio,
            "create_udp_socket",
            lambda local_host: in_coroutine(Datagrams(replay)),
        ),
        mock.patch.object(piece_server, "listen", listen),
        mock.patch.object(http1, "set_tcp_timeouts", lambda stream: None),
        mock.patch.object(
            weights_origin,
            "fetch_manifest",
            lambda c, m, v, t: _fetch_manifest(replay, v),
        ),
        mock.patch.object(
            weights_origin,
            "fetch_piece",
            lambda c, m, v, n, *_: _fetch_piece(replay, v, n),
        ),
        mock.patch.multiple(
            engine_client,
            fetch_report=lambda e: in_coroutine(replay.report(e.vm)),
            stage_piece=lambda e, m, n, data: _stage(e, n, data),
            fetch_staged_piece=lambda e, m, n: in_coroutine(e.staged.get(n)),
            list_staged_pieces=lambda e, m: in_coroutine(frozenset(e.staged)),
            load_staged=lambda e, m, v, orders: _load(replay, e, v),
        ),
        mock.patch.object(loading, "_read_peers", read_peers),
        mock.patch.object(
            eventlog, "event", lambda *a, **kw: _record(replay, a[0], kw)
        ),
        mock.patch.object(eventlog, "failure", _fail),
    ]


class Datagrams:
    """Socket of an agent; reports reach the caches of entries at once."""

    def __init__(self, replay):
        self.replay = replay

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc):
        pass

    async def sendto(self, raw, host, port):
        """Deliver a datagram."""
        load = datagrams._decode_load(fleet_codec.decode(raw), _vm.get())
        if host in self.replay.loads_seen:
            engine_load.put(self.replay.loads_seen[host], load)


async def _run(host, replay, *loops):
    _vm.set(host)
    with anyio.CancelScope() as scope:
        replay.scopes[host] = scope
        async with anyio.create_task_group() as tg:
            for loop, state in loops:
                tg.start_soon(loop, state)
    replay.listeners.pop(host, None)


def start_agent(replay, host):
    dep = replay.deployment(host, replay.day.agent_rate)
    state = view.View(dep, None, replay.engines[host])
    state.configuration = replay.configuration()
    if replay.named:
        state.named[MODEL] = list(replay.named)
    state.entries = dict(replay.entries)
    replay.views[host] = state
    loops = (receiving.run, loading.run, reporting.run, piece_sharing.run)
    replay.tasks.start_soon(_run, host, replay, *((loop, state) for loop in loops))


def start_entry(replay, host):
    fleet = fleets.Fleet(replay.deployment(host, replay.day.entry_rate), None)
    fleet.configuration = replay.configuration()
    if replay.named:
        fleet.named[MODEL] = list(replay.named)
    fleet.first_read_at = fleet.started = anyio.current_time()
    replay.fleets[host] = fleet
    fleet.servers.servers.update({item.server_id: item for item in replay.registered})
    loads = replay.loads_seen[host] = engine_load.EngineLoads()
    replay.caches[host] = weight_cache.WeightCache(fleet, loads)
    replay.tasks.start_soon(_run, host, replay, (weight_cache.run, replay.caches[host]))
    _tell_entries(replay)


def kill(replay, host):
    """End a process; an entry's registration goes with it."""
    replay.scopes[host].cancel()
    replay.fleets.pop(host, None)
    replay.loads_seen.pop(host, None)
    _tell_entries(replay)


def _tell_entries(replay):
    running = {host: replay.entries[host] for host in replay.fleets}
    for fleet in replay.fleets.values():
        fleet.roster = entry_roster.Roster(dict(running))
        fleet.changed.notify()
    for state in replay.views.values():
        state.entries = dict(running)
        state.changed.notify()


def name_version(replay, version):
    """Let all processes learn of a named version."""
    now = anyio.current_time()
    named_versions.add(replay.named, version, now)
    for state in (*replay.fleets.values(), *replay.views.values()):
        named_versions.add(state.named.setdefault(MODEL, []), version, now)
        state.changed.notify()


async def play(day, events, until_s, seed=1):
    """Play a day; return the `Replay` and a list of (time, usable engines).

    Parameters
    ----------
    day : Day
    events : list of (float, callable of (Replay))
        In the order of their times.
    until_s : float
    """
    replay, usable = Replay(day, seed), []
    replay.loop = asyncio.get_running_loop()
    left = list(events)
    with contextlib.ExitStack() as stack:
        for patch in _patches(replay):
            stack.enter_context(patch)
        async with anyio.create_task_group() as tg:
            replay.tasks = tg
            for host in replay.entries:
                start_entry(replay, host)
            for host in replay.engines:
                start_agent(replay, host)
            while anyio.current_time() < until_s:
                while left and left[0][0] <= anyio.current_time():
                    left.pop(0)[1](replay)
                usable.append((anyio.current_time(), replay.usable()))
                await anyio.sleep(0.05)
            tg.cancel_scope.cancel()
    return replay, usable


def seconds_without(usable):
    """Return the seconds in which no engine was usable, and the lost engine seconds."""
    step_s = usable[1][0] - usable[0][0]
    most = max(count for _, count in usable)
    none_s = sum(count == 0 for _, count in usable) * step_s
    return round(none_s, 2), round(sum(most - count for _, count in usable) * step_s, 1)


def _name(version):
    return lambda replay: name_version(replay, version)


def _set_origin(is_down):
    return lambda replay: setattr(replay, "is_origin_down", is_down)


def _kill_holders(replay):
    """Kill all entries that hold pieces of version 3, and restart them 1 s later."""
    for host, cache in list(replay.caches.items()):
        cached = cache.held.get((MODEL, 3))
        if cached and cached.copy and cached.copy.pieces:
            kill(replay, host)
            replay.loop.call_later(1.0, start_entry, replay, host)


_OUTAGE = [(20.5, _set_origin(True)), (26.5, _set_origin(False))]
_TWO = [(18.0, _name(2)), (20.0, _name(3))]

DAYS = {
    "one version": [(18.0, _name(2))],
    "two versions": _TWO,
    "one version, origin lost": [(18.0, _name(2)), *_OUTAGE],
    "two versions, origin and entries lost": [*_TWO, *_OUTAGE, (29.0, _kill_holders)],
    "three versions": [*_TWO, (22.0, _name(4))],
}
"""Events of each day, those of docs/hard-load.md, section 5, among them."""


@attrs.frozen
class Result:
    """What a day showed.

    Attributes
    ----------
    without_s : float
        Seconds in which no engine might serve.
    lost_s : float
        Sum over all engines of the seconds in which they might not serve.
    fewest : int
        Smallest number of engines that might serve at a time.
    copies : dict of int to float
        Copies of each version that the origin sent.
    loaded : dict of int to int
        Number of loads of each version.
    mb_between_regions : float
    """

    without_s: float
    lost_s: float
    fewest: int
    copies: dict
    loaded: dict
    mb_between_regions: float


def result_of(name, until_s=36.0, **changes):
    """Replay a day of `DAYS`; return its `Result`.

    `changes` are those of the deployment, as fields of `Day`.
    """
    replay, usable = virtual_time.run(lambda: play(Day(**changes), DAYS[name], until_s))
    without_s, lost_s = seconds_without(usable)
    return Result(
        without_s=without_s,
        lost_s=lost_s,
        fewest=min(count for _, count in usable),
        copies={
            version: round(sent / replay.day.pieces, 2)
            for version, sent in replay.origin_sent.items()
        },
        loaded=dict(collections.Counter(version for _, _, version in replay.loads)),
        mb_between_regions=round(replay.bytes_between_regions / 1e6, 2),
    )


def main():
    """Print the results of all days."""
    for name in DAYS:
        print(f"{name}: {result_of(name)}")


if __name__ == "__main__":
    main()
