"""Relays changes of the platform's store between the entries of a region."""

import math

import anyio
import attrs

from carobstand import errors
from carobstand.core import change_feed, evacuation
from carobstand.platform import kv, records
from carobstand.transfer import piece_stream
from carobstand.wire.gen_fleet import ttypes

MAX_WAIT_S = 0.3
"""Maximum wait of a poll for changes."""

RESPONSE_MARGIN_S = 0.3
"""Time beyond the poll's wait after which the reader is taken to have failed."""

IDLE_TIMEOUT_S = 10.0
"""Maximum pause between two polls on a connection."""

MARK_VALUE = b"{}"
"""Value with which evacuation marks are passed on, as operators write it."""

UNKNOWN_AGE_S = 1e6
"""Maximum age on the wire; also sent if the store was never read."""


@attrs.frozen
class Told:
    """An operator's item as another entry holds it.

    Attributes
    ----------
    item : platform.kv.Item
    era : int
        Era of the store that the other entry last read.
    since : float or None
        For an evacuation mark: time at which the other entry found that a restored
        store contradicts it; None if the store does not.
    """

    item: kv.Item
    era: int
    since: float | None


@attrs.frozen
class Reply:
    """What the reader tells; its times are lower bounds.

    Attributes
    ----------
    changes : list of core.change_feed.Change
        With lower bounds of the times at which they were made.
    revision : int
    confirmed_at : float
        Time up to which the changes are complete.
    store_failed_at : float
        Time at which the reader's last failed store call was found to have failed.
    store_unreachable_at : float
        Time at which that call was sent, -inf if the reader does not tell it.
    """

    changes: list
    revision: int
    confirmed_at: float
    store_failed_at: float
    store_unreachable_at: float


async def serve(fleet, frames, request):
    """Answer the polls of another entry until its connection ends.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    frames : transfer.piece_stream.Frames
    request : ttypes.NewsRequest
        The first poll, already received.
    """
    while True:
        if not isinstance(request, ttypes.NewsRequest):
            raise errors.WireError("expected a request for changes", step="news.serve")
        if request.configuration is not None:
            return await piece_stream.send(frames, _own_reply(fleet, request))
        until = anyio.current_time() + min(
            MAX_WAIT_S, max(0, request.wait_ms or 0) / 1000
        )
        while _is_current(fleet, request):
            remaining_s = until - anyio.current_time()
            if remaining_s <= 0 or not await fleet.changed.wait(remaining_s):
                break
        await piece_stream.send(frames, _reply(fleet, request))
        request = await piece_stream.receive(
            frames, IDLE_TIMEOUT_S, piece_stream.MAX_REQUEST_BYTES
        )


def _is_current(fleet, request):
    """Whether the entry that polls knows all that this one knows."""
    is_same_era = (request.era or 0) == fleet.era
    return is_same_era and fleet.revision <= (request.after or 0)


def _reply(fleet, request):
    now = anyio.current_time()
    changes = None
    if fleet.revision and (request.era or 0) == fleet.era:
        changes = change_feed.changes_after(fleet.history, request.after or 0)
    confirmed_at = (
        now - UNKNOWN_AGE_S if fleet.confirmed_at is None else fleet.confirmed_at
    )
    return ttypes.NewsReply(
        revision=fleet.revision,
        items=[_encode(change, now) for change in changes or ()],
        age_ms=_ms(now - confirmed_at),
        troubled_ms=_ms(now - fleet.store_failed_at),
        is_complete=changes is not None,
        era=fleet.era,
        unreachable_ms=_ms(now - fleet.store_unreachable_at),
    )


def _own_reply(fleet, request):
    """Return what this entry holds of the operators' items, newest of all eras."""
    now = anyio.current_time()
    items = [
        ttypes.NewsItem(item.key, item.value, item.revision, 0)
        for item in fleet.operator_items.values()
        if item.key != records.CONFIGURATION_KEY
        or fleet.configuration.version > request.configuration
    ]
    if request.services_only:
        items = [_services_item(item) for item in items]
    items += [
        _encode_mark(mark, now) for mark in evacuation.tell(fleet.evacuation_marks)
    ]
    return ttypes.NewsReply(
        revision=fleet.revision,
        items=items,
        age_ms=_ms(now - (fleet.confirmed_at or now - UNKNOWN_AGE_S)),
        troubled_ms=_ms(now - fleet.store_failed_at),
        is_complete=True,
        era=fleet.era,
    )


def _services_item(item):
    """Leave out of a configuration what agents do not use: most of it is routes."""
    if item.key != records.CONFIGURATION_KEY:
        return item
    value = records.services_only(item.value)
    return ttypes.NewsItem(item.key, value, item.revision, item.age_ms)


def _encode_mark(mark, now):
    """Encode what is known of an evacuation mark; a settled one has age 0."""
    key = records.EVACUATION_PREFIX + mark.failure_domain
    value = None if mark.is_removed else MARK_VALUE
    age_ms = 0 if mark.since is None else max(1, _ms(now - mark.since))
    return ttypes.NewsItem(key, value, mark.revision, age_ms)


def _encode(change, now):
    item = change.item
    return ttypes.NewsItem(item.key, item.value, item.revision, _ms(now - change.since))


def _ms(age_s):
    return int(min(UNKNOWN_AGE_S, max(0.0, age_s)) * 1000)


async def connect(entry):
    """Open a connection to the reader.

    Raises
    ------
    ConnectionClosedError
    """
    return await piece_stream.connect(entry.address)


async def poll_changes(frames, after, era, max_age_s):
    """Poll the reader for changes after a revision.

    Parameters
    ----------
    frames : transfer.piece_stream.Frames
    after : int
    era : int
        Era of the store in which the revision counts.
    max_age_s : float
        Maximum accepted age of the reader's state, in seconds.

    Returns
    -------
    reply : Reply

    Raises
    ------
    ConnectionClosedError, WireError
    HistoryLostError
        If the reader does not hold all changes after the revision, or is in another
        era of the store.
    StoreUnavailableError
        If the reader's state is too old.
    """
    # The reader measures ages after this time, so the times below are lower bounds.
    sent_at = anyio.current_time()
    wait_ms = int(MAX_WAIT_S * 1000)
    await piece_stream.send(frames, ttypes.NewsRequest(after, wait_ms, era))
    reply = await piece_stream.receive(frames, MAX_WAIT_S + RESPONSE_MARGIN_S)
    if not isinstance(reply, ttypes.NewsReply):
        raise errors.WireError("expected changes", step="news.ask", peer=frames.peer)
    is_same_era = (reply.era or 0) == era
    if not (is_same_era and reply.is_complete) or (reply.revision or 0) < after:
        raise errors.HistoryLostError(
            f"reader lacks changes after revision {after} of era {era}",
            step="news.ask",
            peer=frames.peer,
        )
    if reply.age_ms > max_age_s * 1000:
        raise errors.StoreUnavailableError(
            f"news are {reply.age_ms} ms old", step="news.ask", peer=frames.peer
        )
    changes = [_decode(item, sent_at) for item in reply.items or ()]
    return _decode_reply(reply, changes, sent_at)


def _decode_reply(reply, changes, sent_at):
    unreachable_ms = reply.unreachable_ms
    return Reply(
        changes,
        reply.revision,
        confirmed_at=sent_at - reply.age_ms / 1000,
        store_failed_at=sent_at - reply.troubled_ms / 1000,
        store_unreachable_at=(
            -math.inf if unreachable_ms is None else sent_at - unreachable_ms / 1000
        ),
    )


async def ask_for_newer(entry, version):
    """Ask another entry for named versions, marks and a newer configuration.

    Parameters
    ----------
    entry : core.weight_sources.Entry
    version : int
        Version of the configuration that is known.

    Returns
    -------
    told : list of Told

    Raises
    ------
    ConnectionClosedError, WireError
    """
    frames = await piece_stream.connect(entry.address)
    sent_at = anyio.current_time()
    try:
        request = ttypes.NewsRequest(after=0, wait_ms=0, era=0, configuration=version)
        await piece_stream.send(frames, request)
        reply = await piece_stream.receive(frames, RESPONSE_MARGIN_S)
    finally:
        await anyio.aclose_forcefully(frames.stream)
    if not isinstance(reply, ttypes.NewsReply):
        raise errors.WireError("expected items", step="news.ask", peer=entry.address)
    return [
        Told(
            kv.Item(item.key, item.value, item.revision or 0),
            reply.era or 0,
            sent_at - item.age_ms / 1000 if item.age_ms else None,
        )
        for item in reply.items or ()
    ]


def _decode(item, sent_at):
    found = kv.Item(item.key, item.value, item.revision)
    return change_feed.Change(found, sent_at - (item.age_ms or 0) / 1000)
