"""Swarm loop: fetches, verifies and serves the weights that the plan assigns."""

import random

import anyio
import attrs

from carobstand import errors, logs
from carobstand.agent import manifests as fetching
from carobstand.agent import peer_links, swarm_io
from carobstand.core import chunks, swarm, table
from carobstand.core import swarm_state as st
from carobstand.wire import connection, handlers
from carobstand.wire.gen import ttypes

WATCH_INTERVAL_S = 0.25
"""Longest time until a change of the table or an assignment is noticed."""

PROGRESS_INTERVAL_S = 0.5
"""Shortest time between publications of bytes verified."""

LIVE_INTERVAL_S = 0.1
"""Time between looks at the live traffic on the connections to entries."""

TRAFFIC_INTERVAL_S = 2.0
"""Time between log events of the traffic with peers."""

BEYOND = (ttypes.ReplicaPhase.LOADING, ttypes.ReplicaPhase.SERVING)
"""Phases written by `agent.activation`."""


@attrs.define
class Traffic:
    """Bytes of chunks sent to peers, and what was logged last."""

    chunk_bytes_sent: int = 0
    logged: tuple = ()


@attrs.define(eq=False)
class Loop:
    """The swarm of one agent and what is in progress for it.

    Attributes
    ----------
    state : agent.state.AgentState
    swarm : core.swarm_state.Swarm
    draws : dict of int to anyio.CancelScope
        Downloads from the origin.
    fetching : dict of str to anyio.CancelScope
        Manifests being fetched.
    rosters : dict of str to ttypes.Roster
        Rosters last passed to the swarm.
    refusals : dict of str to str
        Reasons for which manifests were refused.
    failure : errors.InvariantError or None
        Raised by the loop's own task, so that the process stops.
    """

    state: object
    swarm: object
    rng: object
    tg: object = None
    draws: dict = attrs.field(factory=dict)
    fetching: dict = attrs.field(factory=dict)
    manifest_replies: dict = attrs.field(factory=dict)
    links: object = attrs.field(factory=peer_links.PeerLinks)
    rosters: dict = attrs.field(factory=dict)
    refusals: dict = attrs.field(factory=dict)
    given: dict | None = None
    origin_bytes: dict = attrs.field(factory=dict)
    rates: object = None
    live: dict = attrs.field(factory=dict)
    traffic: Traffic = attrs.field(factory=Traffic)
    wake: anyio.Event = attrs.field(factory=anyio.Event)
    sleeps_until: float = 0.0
    published_at: float = 0.0
    failure: object = None

    def feed(self, event):
        """Process one event of the swarm and carry out its effects."""
        if self.failure is not None or self.tg is None:
            return
        try:
            for effect in swarm.step(self.swarm, event, anyio.current_time()):
                swarm_io.carry_out(self, effect)
        except errors.InvariantError as exc:
            self.failure = exc
            self.wake.set()
            return
        if swarm.next_step_at(self.swarm, anyio.current_time()) < self.sleeps_until:
            self.wake.set()

    def bitmap_bytes(self, digest):
        """Return the size of the bitmap of a manifest in bytes."""
        job = self.swarm.jobs.get(digest)
        return (len(job.chunks) + 7) // 8 if job is not None else 0

    def publish(self):
        """Write the replicas of all wanted versions."""
        _publish_all(self)


def part(state):
    """Return the loop that fetches weights and serves chunks to peers."""
    if state.chunks is None:
        state.chunks = chunks.ChunkCache(state.cfg.weights_memory_bytes)
    cfg = state.cfg
    rng = random.Random(state.start_id)
    core = st.Swarm(
        cfg.vm,
        cfg.failure_domain,
        cfg.region,
        state.chunks,
        rng,
        upload_slots=cfg.upload_slots,
    )
    loop = Loop(state, core, rng)

    async def on_manifest_request(conn, message):
        found = state.manifests.get(message.manifest)
        await connection.send(conn, fetching.reply_to(found, message))

    async def on_manifest_reply(conn, message):
        fetching.replied(loop, conn, message)

    async def on_chunk_request(conn, message):
        swarm_io.asked(loop, conn, message)

    async def on_chunk_reply(conn, message):
        swarm_io.replied(loop, conn, message)

    async def on_holdings(conn, message):
        swarm_io.heard(loop, conn, message)

    async def run():
        async with anyio.create_task_group() as tg:
            loop.tg = tg
            core.has_origin = state.origin is not None
            tg.start_soon(_tick, loop)
            tg.start_soon(_measure_live_traffic, loop)
            tg.start_soon(_log_traffic, loop)
            tg.start_soon(peer_links.close_idle, loop)
            await _follow_plan(loop)

    return handlers.Part(
        handlers={
            ttypes.ManifestRequest: on_manifest_request,
            ttypes.ManifestReply: on_manifest_reply,
            ttypes.ChunkRequest: on_chunk_request,
            ttypes.ChunkReply: on_chunk_reply,
            ttypes.Holdings: on_holdings,
        },
        run=run,
    )


async def _tick(loop):
    """Step the swarm whenever time alone makes something due."""
    while True:
        if loop.failure is not None:
            raise loop.failure
        now = anyio.current_time()
        loop.sleeps_until = swarm.next_step_at(loop.swarm, now)
        loop.wake = anyio.Event()
        with anyio.move_on_after(max(0.001, loop.sleeps_until - now)):
            await loop.wake.wait()
        loop.sleeps_until = 0.0
        if anyio.current_time() - loop.published_at > PROGRESS_INTERVAL_S:
            loop.publish()
        loop.feed(st.Tick())


async def _measure_live_traffic(loop):
    """Report the bytes exchanged with entries, which go before weights."""
    while True:
        await anyio.sleep(LIVE_INTERVAL_S)
        conns = list(loop.state.entries.values())
        before = loop.live
        loop.live = {conn: (conn.bytes_sent, conn.bytes_received) for conn in conns}
        up = down = 0
        for conn, (sent, received) in loop.live.items():
            old_sent, old_received = before.get(conn, (sent, received))
            up += sent - old_sent
            down += received - old_received
        if up or down:
            loop.feed(st.LiveTraffic(up, down))


async def _log_traffic(loop):
    """Log the bytes exchanged with peers now and then while chunks move."""
    while True:
        await anyio.sleep(TRAFFIC_INTERVAL_S)
        traffic = loop.traffic
        moved = (traffic.chunk_bytes_sent, loop.swarm.region_bytes)
        if moved == traffic.logged:
            continue
        traffic.logged = moved
        sent, received = peer_links.totals(loop.links)
        logs.event(
            "weights.traffic",
            chunk_bytes_sent=traffic.chunk_bytes_sent,
            bytes_sent=sent,
            bytes_received=received,
            region_bytes=loop.swarm.region_bytes,
            wasted_bytes=loop.swarm.wasted_bytes,
            corrupted_chunks=loop.swarm.corrupted,
            connections=len(loop.links.used_at),
        )


async def _follow_plan(loop):
    """Pass changes of the table, the assignments and the rosters to the swarm."""
    while True:
        _apply_rates(loop)
        rows = wanted_versions(loop.state)
        digests = {row.manifest for row in rows}
        _fetch_manifests(loop, digests)
        _apply_wanted(loop, rows)
        _apply_rosters(loop)
        _drop_replicas(loop, digests)
        loop.publish()
        await loop.state.changed.wait(WATCH_INTERVAL_S)


def wanted_versions(state):
    """Return the version rows to hold: those assigned, and the bases of adapters."""
    if state.table is None:
        return ()
    rows = {(r.service, r.name): r for r in state.table.rows if r.kind == "version"}
    found = {}
    for service, assignment in state.assignments.items():
        for name in (*(assignment.fetch or ()), *(assignment.serve or ())):
            row = rows.get((service, name))
            for key in ((service, name), (service, row.base if row else "")):
                if key in rows:
                    found[key] = rows[key]
    return tuple(found.values())


def _apply_rates(loop):
    if loop.state.table is None:
        return
    rows = [table.link(loop.state.table, name) for name in ("vm", "origin", "region")]
    rates = st.RatesChanged(*(row and row.bytes_per_s for row in rows))
    if rates != loop.rates:
        loop.rates = rates
        loop.feed(rates)


def _fetch_manifests(loop, digests):
    """Start to fetch the manifests not held, stop for those no longer wanted."""
    for digest in [key for key in loop.fetching if key not in digests]:
        loop.fetching.pop(digest).cancel()
    for digest in digests:
        if digest not in loop.state.manifests and digest not in loop.fetching:
            scope = loop.fetching[digest] = anyio.CancelScope()
            loop.tg.start_soon(_fetch_manifest, loop, digest, scope)


async def _fetch_manifest(loop, digest, scope):
    with scope:
        loop.state.manifests[digest] = await fetching.fetch(loop, digest)
        logs.event("weights.manifest", manifest=digest)
        loop.state.changed.notify()
    if loop.fetching.get(digest) is scope:
        del loop.fetching[digest]


def _apply_wanted(loop, rows):
    """Tell the swarm which manifests to hold, when that changed.

    A manifest that was refused for want of memory is offered again each time, as the
    memory may be free by now.
    """
    state = loop.state
    wanted = {}
    for row in rows:
        if row.manifest in state.manifests:
            service = table.service(state.table, row.service)
            policy = st.Policy(service.policy) if service else st.Policy.TIME
            wanted[row.manifest] = (state.manifests[row.manifest], policy)
    if wanted == loop.given and not loop.refusals:
        return
    loop.given = wanted
    loop.refusals.clear()
    loop.feed(st.ManifestsChanged(wanted))
    for digest in [key for key in loop.rosters if key not in loop.swarm.jobs]:
        del loop.rosters[digest]


def _apply_rosters(loop):
    state = loop.state
    for digest in loop.swarm.jobs:
        roster = state.rosters.get(digest) or _own_roster(loop, digest)
        if roster is None or loop.rosters.get(digest) == roster:
            continue
        loop.rosters[digest] = roster
        members = tuple(
            st.Member(m.vm, m.address, m.failure_domain, m.region, m.start_id)
            for m in roster.members or ()
        )
        loop.feed(st.RosterChanged(digest, members))


def _own_roster(loop, digest):
    """Return a roster of this VM alone where none has come for a long time."""
    job = loop.swarm.jobs[digest]
    if anyio.current_time() - job.started_at < fetching.NO_ROSTER_S:
        return None
    cfg = loop.state.cfg
    own = ttypes.Member(
        vm=cfg.vm,
        address=getattr(cfg, "listen", ""),
        failure_domain=cfg.failure_domain,
        region=cfg.region,
        start_id=loop.state.start_id,
    )
    return ttypes.Roster(manifest=digest, plan_revision=0, members=[own])


def _drop_replicas(loop, digests):
    """Drop the replicas and manifests that are neither wanted nor served."""
    state = loop.state
    dropped = [
        key
        for key, replica in state.replicas.items()
        if replica.manifest not in digests and replica.phase not in BEYOND
    ]
    for key in dropped:
        del state.replicas[key]
    kept = digests | {replica.manifest for replica in state.replicas.values()}
    for digest in [key for key in state.manifests if key not in kept]:
        del state.manifests[digest]
    if dropped:
        state.changed.notify()


def _publish_all(loop):
    """Write the phases FETCHING, VERIFIED and REFUSED to `state.replicas`."""
    state = loop.state
    loop.published_at = anyio.current_time()
    changed = False
    for row in wanted_versions(state):
        key = (row.service, row.name)
        old = state.replicas.get(key)
        replica = _replica(loop, row, old)
        state.replicas[key] = replica
        changed |= old is None or (old.phase, old.manifest) != (
            replica.phase,
            replica.manifest,
        )
    if changed:
        state.changed.notify()


def _replica(loop, row, old):
    phases = ttypes.ReplicaPhase
    digest = row.manifest
    phase, detail = phases.FETCHING, ""
    job = loop.swarm.jobs.get(digest)
    if digest in loop.refusals:
        phase, detail = phases.REFUSED, loop.refusals[digest]
    elif job is not None and job.complete:
        phase = phases.VERIFIED
    if old is not None and old.phase in BEYOND and old.manifest == digest:
        phase, detail = old.phase, old.detail
    if job is not None:
        loop.origin_bytes[digest] = job.origin_bytes
    return ttypes.Replica(
        service_name=row.service,
        version=row.name,
        manifest=digest,
        phase=phase,
        bytes_verified=job.held_bytes if job is not None else 0,
        bytes_total=job.total_bytes if job is not None else 0,
        detail=detail,
        origin_bytes=loop.origin_bytes.get(digest, 0),
    )
