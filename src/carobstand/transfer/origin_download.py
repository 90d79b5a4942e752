"""Download of weights from the origin."""

import anyio

from carobstand import errors, eventlog, http1_calls
from carobstand.core import weight_copy
from carobstand.platform import weights_origin
from carobstand.wire import fleet_codec

PARALLEL_DOWNLOADS = 4
"""Pieces downloaded at a time: enough to keep the origin's link busy despite the delay
between regions."""

CONNECTIONS_DIVISOR = 8
"""One process opens at most one in this many of the connections that the origin
accepts."""

TIMEOUT_S = 2.5
"""Timeout of a request for a piece or manifest, about ten times its usual time."""

MAX_CORRUPT_RESPONSES = 2
"""Corrupt responses for one piece after which the manifest may be the corrupt part."""


async def fetch_manifest(origin, model, version):
    """Fetch a manifest and return an empty `WeightCopy` of its version.

    Parameters
    ----------
    origin : core.routes.Origin
    model : str
    version : int
        0 for the newest one.

    Raises
    ------
    OriginError
        If the request fails or returns the manifest of another version.
    """
    caller = http1_calls.Client(origin.address)
    try:
        found = await weights_origin.fetch_manifest(
            caller, model, version or None, TIMEOUT_S
        )
    finally:
        await http1_calls.close_idle(caller)
    if found.model != model or version not in (0, found.version):
        raise errors.OriginError(
            f"origin returned the manifest of {found.model} {found.version}",
            step="weights.manifest",
            peer=origin.address,
        )
    return weight_copy.WeightCopy(
        model, found.version, found.digests, found.piece_bytes
    )


async def do_not_wait():
    """Return at once: the next piece may be downloaded."""


async def download_pieces(
    origin, copy, on_piece, *, wanted=weight_copy.NO_REQUESTS, until_clear=do_not_wait
):
    """Download the missing pieces of `copy`, a few at a time.

    Parameters
    ----------
    origin : core.routes.Origin
    copy : core.weight_copy.WeightCopy
    on_piece : callable of (number)
        Called after each piece that was added.
    wanted : collections.Counter
        Pieces that readers wait for, see `core.weight_copy.in_demand_order`.
    until_clear : async callable without arguments
        Awaited before each piece; returns when the origin's link is free for it.

    Raises
    ------
    OriginError
        If a request to the origin fails.
    WeightsError
        If a piece does not match its digest; the manifest may be corrupt.
    """
    caller = http1_calls.Client(origin.address)
    numbers = weight_copy.in_demand_order(copy, wanted)
    workers = min(
        PARALLEL_DOWNLOADS, max(1, origin.max_connections // CONNECTIONS_DIVISOR)
    )
    try:
        async with anyio.create_task_group() as tg:
            for _ in range(workers):
                tg.start_soon(
                    _download_pieces, caller, copy, numbers, on_piece, until_clear
                )
    except BaseExceptionGroup as group:
        raise errors.first_carobstand_error(group) from group
    finally:
        await http1_calls.close_idle(caller)


async def _download_pieces(caller, copy, numbers, on_piece, until_clear):
    await until_clear()
    for number in numbers:
        await _download_piece(caller, copy, number)
        on_piece(number)
        await until_clear()


async def _download_piece(caller, copy, number):
    for attempt in range(MAX_CORRUPT_RESPONSES):
        data = await weights_origin.fetch_piece(
            caller,
            copy.model,
            copy.version,
            number,
            TIMEOUT_S,
            fleet_codec.MAX_FRAME_BYTES,
        )
        if weight_copy.add(copy, number, data):
            return
        eventlog.event("weights.spoilt", piece=number, attempt=attempt)
    raise errors.WeightsError(
        f"piece {number} does not match its digest",
        step="weights.draw",
        peer=caller.address,
    )
