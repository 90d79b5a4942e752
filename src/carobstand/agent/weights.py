"""Swarm loop: fetches, verifies and serves the weights assigned by the plan."""

import random

import anyio
import attrs

from carobstand import errors, logs
from carobstand.agent import manifest_fetching, peer_links, swarm_io
from carobstand.core import chunks, swarm, table
from carobstand.core import swarm_state as st
from carobstand.wire import connection, handlers
from carobstand.wire.gen import ttypes

WATCH_INTERVAL_S = 0.25
"""Longest delay until a change of the table or an assignment is applied."""

PROGRESS_INTERVAL_S = 0.5
"""Shortest interval between updates of the bytes verified."""

LIVE_TRAFFIC_INTERVAL_S = 0.1
"""Interval between measurements of the traffic on connections to entries."""

TRAFFIC_INTERVAL_S = 2.0
"""Interval between log events of the traffic with peers."""

ACTIVATION_PHASES = (ttypes.ReplicaPhase.LOADING, ttypes.ReplicaPhase.SERVING)
"""Phases written by `agent.activation`, which this module preserves."""


@attrs.define
class Traffic:
    """Bytes of chunks sent to peers, and the counters that were logged last."""

    chunk_bytes_sent: int = 0
    last_logged: tuple = ()


@attrs.define(eq=False)
class SwarmLoop:
    """The swarm of one agent and its tasks in progress.

    Attributes
    ----------
    state : agent.state.AgentState
    swarm : core.swarm_state.Swarm
    downloads : dict of int to anyio.CancelScope
        Downloads from the origin, by transfer number.
    manifest_fetches : dict of str to anyio.CancelScope
        Manifests being fetched, by digest.
    rosters : dict of str to ttypes.Roster
        Rosters last passed to the swarm, by manifest digest.
    refusals : dict of str to str
        Reasons for which manifests were refused, by digest.
    last_wanted : dict or None
        Manifests last passed to the swarm, by digest.
    entry_bytes : dict of wire.connection.Connection to (int, int)
        Bytes sent to and received from each entry at the last measurement.
    sleeps_until : float
        Time of the next step of the swarm; 0 while a step is in progress.
    failure : errors.InvariantError or None
        Raised again in the loop's own task, so that the process stops.
    """

    state: object
    swarm: object
    rng: object
    tg: object = None
    downloads: dict = attrs.field(factory=dict)
    manifest_fetches: dict = attrs.field(factory=dict)
    manifest_replies: dict = attrs.field(factory=dict)
    links: object = attrs.field(factory=peer_links.PeerLinks)
    rosters: dict = attrs.field(factory=dict)
    refusals: dict = attrs.field(factory=dict)
    last_wanted: dict | None = None
    origin_bytes: dict = attrs.field(factory=dict)
    rates: object = None
    entry_bytes: dict = attrs.field(factory=dict)
    traffic: Traffic = attrs.field(factory=Traffic)
    wake: anyio.Event = attrs.field(factory=anyio.Event)
    sleeps_until: float = 0.0
    published_at: float = 0.0
    failure: object = None

    def process_event(self, event):
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
    loop = SwarmLoop(state, core, rng)

    async def on_manifest_request(conn, message):
        found = state.manifests.get(message.manifest)
        await connection.send(conn, manifest_fetching.reply_to(found, message))

    async def on_manifest_reply(conn, message):
        manifest_fetching.deliver_reply(loop, conn, message)

    async def on_chunk_request(conn, message):
        swarm_io.handle_chunk_request(loop, conn, message)

    async def on_chunk_reply(conn, message):
        swarm_io.handle_chunk_reply(loop, conn, message)

    async def on_holdings(conn, message):
        swarm_io.handle_holdings(loop, conn, message)

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
    """Step the swarm when a timer of it expires."""
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
        loop.process_event(st.Tick())


async def _measure_live_traffic(loop):
    """Report the traffic with entries to the swarm; it has priority over weights."""
    while True:
        await anyio.sleep(LIVE_TRAFFIC_INTERVAL_S)
        conns = list(loop.state.entries.values())
        before = loop.entry_bytes
        loop.entry_bytes = {
            conn: (conn.bytes_sent, conn.bytes_received) for conn in conns
        }
        up = down = 0
        for conn, (sent, received) in loop.entry_bytes.items():
            old_sent, old_received = before.get(conn, (sent, received))
            up += sent - old_sent
            down += received - old_received
        if up or down:
            loop.process_event(st.LiveTraffic(up, down))


async def _log_traffic(loop):
    """Log the traffic with peers periodically while chunks are transferred."""
    while True:
        await anyio.sleep(TRAFFIC_INTERVAL_S)
        traffic = loop.traffic
        moved = (traffic.chunk_bytes_sent, loop.swarm.region_bytes)
        if moved == traffic.last_logged:
            continue
        traffic.last_logged = moved
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
    """Return the version rows to hold: the assigned ones and the bases of adapters."""
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
        loop.process_event(rates)


def _fetch_manifests(loop, digests):
    """Start fetching missing manifests; cancel fetches that are no longer wanted."""
    for digest in [key for key in loop.manifest_fetches if key not in digests]:
        loop.manifest_fetches.pop(digest).cancel()
    for digest in digests:
        if digest not in loop.state.manifests and digest not in loop.manifest_fetches:
            scope = loop.manifest_fetches[digest] = anyio.CancelScope()
            loop.tg.start_soon(_fetch_manifest, loop, digest, scope)


async def _fetch_manifest(loop, digest, scope):
    with scope:
        loop.state.manifests[digest] = await manifest_fetching.fetch(loop, digest)
        logs.event("weights.manifest", manifest=digest)
        loop.state.changed.notify()
    if loop.manifest_fetches.get(digest) is scope:
        del loop.manifest_fetches[digest]


def _apply_wanted(loop, rows):
    """Pass the wanted manifests to the swarm if they changed.

    Manifests that were refused for lack of memory are passed again each time, because
    memory may have been freed.
    """
    state = loop.state
    wanted = {}
    for row in rows:
        if row.manifest in state.manifests:
            service = table.service(state.table, row.service)
            policy = st.Policy(service.policy) if service else st.Policy.TIME
            wanted[row.manifest] = (state.manifests[row.manifest], policy)
    if wanted == loop.last_wanted and not loop.refusals:
        return
    loop.last_wanted = wanted
    loop.refusals.clear()
    loop.process_event(st.ManifestsChanged(wanted))
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
        loop.process_event(st.RosterChanged(digest, members))


def _own_roster(loop, digest):
    """Return a roster of this VM only, if none was received for `ROSTER_TIMEOUT_S`."""
    job = loop.swarm.jobs[digest]
    if anyio.current_time() - job.started_at < manifest_fetching.ROSTER_TIMEOUT_S:
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
        if replica.manifest not in digests and replica.phase not in ACTIVATION_PHASES
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
    if old is not None and old.phase in ACTIVATION_PHASES and old.manifest == digest:
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
