"""Asks an entry for the configuration, in place of a read from the store.

A configuration has some hundred kilobytes. After a loss of power, all processes of a
region start at the same time, and reading it once for each of them congests the narrow
link of the region for many seconds.
"""

import anyio
import attrs

from carobstand import errors
from carobstand.platform import kv, records
from carobstand.transfer import piece_stream
from carobstand.wire.gen_fleet import ttypes

REPLY_TIMEOUT_S = 3.0
"""Timeout of the reply. All processes of a region may ask the same entry at once."""


@attrs.frozen
class Relayed:
    """Configuration that an entry holds.

    Attributes
    ----------
    item : platform.kv.Item
    revision : int
        Revision of the store up to which the entry has applied all changes.
    era : int
        Era of the store in which it counts.
    confirmed_at : float
        Time up to which no later change is missing.
    """

    item: kv.Item
    revision: int
    era: int
    confirmed_at: float


async def ask(address, services_only):
    """Return the `Relayed` configuration of an entry, or None if it has none yet.

    Parameters
    ----------
    address : str
        ``host:port`` of the entry.
    services_only : bool
        Whether routes and customers are left out.

    Raises
    ------
    ConnectionClosedError, WireError
    """
    frames = await piece_stream.connect(address)
    # The entry measures ages later, so that this time is a lower bound.
    sent_at = anyio.current_time()
    try:
        request = ttypes.NewsRequest(
            after=0, wait_ms=0, era=0, configuration=0, services_only=services_only
        )
        await piece_stream.send(frames, request)
        reply = await piece_stream.receive(frames, REPLY_TIMEOUT_S)
    finally:
        await anyio.aclose_forcefully(frames.stream)
    if not isinstance(reply, ttypes.NewsReply):
        raise errors.WireError("expected items", step="news.ask", peer=address)
    for item in reply.items or ():
        if item.key == records.CONFIGURATION_KEY and item.value is not None:
            found = kv.Item(item.key, item.value, item.revision or 0)
            confirmed_at = sent_at - (reply.age_ms or 0) / 1000
            return Relayed(found, reply.revision or 0, reply.era or 0, confirmed_at)
    return None
