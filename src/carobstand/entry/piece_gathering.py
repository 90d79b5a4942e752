"""Receives pieces of weights from agents of the region that hold them.

Load pattern: an entry lost its cache, or took over from one that is gone, while the
origin is unavailable or slow. The pieces that agents hold then cross neither the
origin's link nor that of the region.
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

FAILURE_PAUSE_S = 2.0
"""Time for which an agent that failed is not asked again."""

TIMEOUTS = piece_stream.Timeouts(silence_s=1.0, stuck_s=0.0)
"""An agent answers at once, as it offers only pieces that it holds."""

WINDOW = piece_stream.Window(blocks=2, block_bytes=6144)
"""Small, since the agent's narrow link also carries its engine's responses."""

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
            avoided[host] = anyio.current_time() + FAILURE_PAUSE_S


def _choose_agent(cached, avoided):
    """Return the host of the agent that holds most pieces, if it is well ahead."""
    if cached.copy is None:
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
        # The main source is asked in ascending order; the two meet in the middle.
        while left := sorted(offered - copy.pieces.keys() - claimed):
            requested = [n for n, _ in cached.wanted.most_common() if n in left]
            number = requested[0] if requested else left[-1]
            claimed.add(number)
            mine.add(number)
            yield number

    await piece_stream.receive_chosen(address, copy, choose, on_piece, WINDOW, TIMEOUTS)
