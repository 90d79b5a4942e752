"""Passes changes of the platform's store on between entries of a region."""

import anyio

from carobstand import errors
from carobstand.core import change_feed
from carobstand.platform import kv
from carobstand.transfer import piece_stream
from carobstand.wire.gen_fleet import ttypes

WAIT_S = 0.3
"""Longest wait of a request for changes."""

SILENCE_S = 0.3
"""Time beyond its wait after which a reader counts as silent."""

IDLE_S = 10.0
"""Longest pause between two requests on a connection."""

LONG_AGO_S = 1e6
"""Age of what never was."""


async def serve(fleet, frames, request):
    """Answer an entry's requests for changes until its connection ends.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    frames : transfer.piece_stream.Frames
    request : ttypes.NewsRequest
        The first one.
    """
    while True:
        if not isinstance(request, ttypes.NewsRequest):
            raise errors.WireError("no request for news", step="news.serve")
        until = anyio.current_time() + min(WAIT_S, max(0, request.wait_ms or 0) / 1000)
        while fleet.revision <= (request.after or 0):
            left_s = until - anyio.current_time()
            if left_s <= 0 or not await fleet.changed.wait(left_s):
                break
        await piece_stream.send(frames, _reply(fleet, request.after or 0))
        request = await piece_stream.receive(
            frames, IDLE_S, piece_stream.MAX_REQUEST_BYTES
        )


def _reply(fleet, after):
    now = anyio.current_time()
    changes = (
        change_feed.changes_after(fleet.history, after) if fleet.revision else None
    )
    proven_at = now - LONG_AGO_S if fleet.proven_at is None else fleet.proven_at
    return ttypes.NewsReply(
        revision=fleet.revision,
        items=[_encode(change, now) for change in changes or ()],
        age_ms=_ms(now - proven_at),
        troubled_ms=_ms(now - fleet.troubled_at),
        is_complete=changes is not None,
    )


def _encode(change, now):
    item = change.item
    return ttypes.NewsItem(item.key, item.value, item.revision, _ms(now - change.since))


def _ms(age_s):
    return int(min(LONG_AGO_S, max(0.0, age_s)) * 1000)


async def connect(entry):
    """Open a connection to the reader; raise ConnectionClosedError."""
    return await piece_stream.connect(entry.address)


async def ask(frames, after, max_age_s):
    """Return the reader's changes after a revision, with lower bounds of their times.

    Parameters
    ----------
    frames : transfer.piece_stream.Frames
    after : int
    max_age_s : float
        Age of the reader's knowledge up to which it counts.

    Returns
    -------
    changes : list of core.change_feed.Change
    revision : int
    proven_at : float
        Time until which no change can be missing.
    troubled_at : float
        Time at which the store last failed to answer the reader.

    Raises
    ------
    ConnectionClosedError, WireError
    HistoryLostError
        If the reader does not hold all changes.
    StoreUnavailableError
        If what it knows is too old.
    """
    # The reply is made after this moment, so that all ages in it count from here.
    sent_at = anyio.current_time()
    await piece_stream.send(frames, ttypes.NewsRequest(after, int(WAIT_S * 1000)))
    reply = await piece_stream.receive(frames, WAIT_S + SILENCE_S)
    if not isinstance(reply, ttypes.NewsReply):
        raise errors.WireError("no news", step="news.ask", peer=frames.peer)
    if not reply.is_complete or (reply.revision or 0) < after:
        raise errors.HistoryLostError(
            f"no history after {after}", step="news.ask", peer=frames.peer
        )
    if reply.age_ms > max_age_s * 1000:
        raise errors.StoreUnavailableError(
            f"news are {reply.age_ms} ms old", step="news.ask", peer=frames.peer
        )
    changes = [_decode(item, sent_at) for item in reply.items or ()]
    proven_at = sent_at - reply.age_ms / 1000
    return changes, reply.revision, proven_at, sent_at - reply.troubled_ms / 1000


def _decode(item, sent_at):
    found = kv.Item(item.key, item.value, item.revision)
    return change_feed.Change(found, sent_at - (item.age_ms or 0) / 1000)
