"""Receives pieces of weights from agents of the region that hold them.

Load pattern: an entry lost its cache, or took over from one that is gone, while the
origin is unavailable or slow. The pieces that agents hold then cross neither the
origin's link nor that of the region. Only pieces that readers wait for are received:
agents keep the others, and their narrow links carry requests and responses too.
"""

import anyio

from carobstand import errors, eventlog
from carobstand.core import weight_copy
from carobstand.transfer import piece_stream

SOURCES = 3
"""Agents from which pieces are received at a time: together they send 12 Mbit/s, about
as much as the origin."""

MIN_LEAD = 8
"""Pieces by which an agent must be ahead. In an undisturbed change agents hold only
what an entry of their region has just sent them."""

STALL_S = 1.0
"""Time without progress after which one piece more than this entry has is enough."""

CHECK_S = 0.25
"""Interval of checks for agents that hold pieces; they report twice a second."""

PAUSE_S = 1.0
"""Time for which an agent that sent pieces, or failed, is not asked again."""

DEMAND_S = 0.3
"""Time after a reader waited in which the pieces behind are received too: it requests
the next one as soon as it has the last."""

TIMEOUTS = piece_stream.Timeouts(silence_s=1.0, stuck_s=0.0)
"""An agent answers at once, as it offers only pieces that it holds."""

WINDOW = piece_stream.Window(blocks=2, block_bytes=3072)
"""Small, since the agent's narrow link also carries its engine's responses and its own
requests for pieces."""

_FAILURES = (
    errors.ConnectionClosedError,
    errors.StalledError,
    errors.WeightsError,
    errors.WireError,
)


async def run(fleet, cached, on_piece):
    """Receive pieces from agents until the copy is complete.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    cached : entry.weight_cache.CachedVersion
    on_piece : callable of (number)
        Called after each piece that was added.
    """
    # Agents that are in use or failed, until a time; pieces that are under way.
    avoided, claimed = {}, set()
    async with anyio.create_task_group() as tg:
        for _ in range(SOURCES):
            tg.start_soon(_receive, fleet, cached, avoided, claimed, on_piece)


async def _receive(fleet, cached, avoided, claimed, on_piece):
    port = fleet.deployment.internal_ports[0]
    while cached.copy is None or not weight_copy.is_complete(cached.copy):
        host = _choose_agent(cached, avoided)
        if host is None:
            await anyio.sleep(CHECK_S)
            continue
        avoided[host], mine = float("inf"), set()
        try:
            await _receive_from(f"{host}:{port}", cached, claimed, mine, on_piece)
        except _FAILURES as exc:
            eventlog.debug("weights.agent_failed", agent=host, error=str(exc))
        finally:
            claimed -= mine
            avoided[host] = anyio.current_time() + PAUSE_S


def _choose_agent(cached, avoided):
    """Return the host of the agent that holds most pieces, if it is well ahead."""
    if cached.copy is None or not cached.wanted:
        return None
    now = anyio.current_time()
    since = max(cached.progressed_at, cached.fetched_since)
    lead = MIN_LEAD if now - since < STALL_S else 1
    held = len(cached.copy.pieces)
    found = [
        (pieces, host)
        for host, pieces in cached.agents().items()
        if pieces >= held + lead and avoided.get(host, 0.0) <= now
    ]
    return max(found, default=(0, None))[1]


async def _receive_from(address, cached, claimed, mine, on_piece):
    copy = cached.copy

    def choose(offered):
        eventlog.event(
            "weights.gathering",
            version=copy.version,
            agent=address,
            offered=len(offered),
            held=len(copy.pieces),
        )
        for number in _in_demand(cached, offered, claimed):
            claimed.add(number)
            mine.add(number)
            yield number, False, True

    await piece_stream.receive_chosen(address, copy, choose, on_piece, WINDOW, TIMEOUTS)


def _in_demand(cached, offered, claimed):
    """Yield pieces that readers wait for, and those behind while they wait."""
    copy, last, wanted_at = cached.copy, -1, anyio.current_time()
    while left := sorted(offered - copy.pieces.keys() - claimed):
        requested = [n for n, _ in cached.wanted.most_common() if n in left]
        following = [n for n in left if n > last]
        if cached.wanted:
            wanted_at = anyio.current_time()
        chosen = requested or following
        if not chosen or anyio.current_time() - wanted_at > DEMAND_S:
            return
        last = chosen[0]
        yield last
