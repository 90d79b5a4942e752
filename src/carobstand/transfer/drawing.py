"""Drawing of weights from the origin."""

import anyio

from carobstand import errors, eventlog, http1
from carobstand.core import weight_copy
from carobstand.platform import weights_origin
from carobstand.wire import fleet_codec

CONNECTIONS = 4
"""Pieces drawn at a time: enough to keep the origin's link busy over the delay between
regions."""

CONNECTIONS_SHARE = 8
"""One process takes at most this part of the connections that the origin accepts."""

TIMEOUT_S = 2.5
"""Longest wait for a piece or manifest, some ten times its usual time."""

MAX_SPOILT = 2
"""Spoilt answers for one piece after which the manifest itself is doubted."""


async def manifest(origin, model, version):
    """Return an empty `WeightCopy` of a version, of the newest one for 0.

    Parameters
    ----------
    origin : core.routes.Origin
    model : str
    version : int

    Raises
    ------
    OriginError
    """
    caller = http1.Caller(origin.address)
    try:
        found = await weights_origin.fetch_manifest(
            caller, model, version or None, TIMEOUT_S
        )
    finally:
        await http1.close_idle(caller)
    if found.model != model or version not in (0, found.version):
        raise errors.OriginError(
            f"manifest of {found.model} {found.version}",
            step="weights.manifest",
            peer=origin.address,
        )
    return weight_copy.WeightCopy(
        model, found.version, found.digests, found.piece_bytes
    )


async def draw(origin, copy, on_piece):
    """Draw the missing pieces of `copy`, a few at a time.

    Parameters
    ----------
    origin : core.routes.Origin
    copy : core.weight_copy.WeightCopy
    on_piece : callable of (number)

    Raises
    ------
    OriginError
        If the origin does not answer.
    WeightsError
        If a piece does not match its digest; the manifest may be spoilt.
    """
    caller = http1.Caller(origin.address)
    numbers = iter(weight_copy.missing(copy))
    workers = min(CONNECTIONS, max(1, origin.max_connections // CONNECTIONS_SHARE))
    try:
        async with anyio.create_task_group() as tg:
            for _ in range(workers):
                tg.start_soon(_draw_pieces, caller, copy, numbers, on_piece)
    except BaseExceptionGroup as group:
        raise errors.first_of(group) from group
    finally:
        await http1.close_idle(caller)


async def _draw_pieces(caller, copy, numbers, on_piece):
    for number in numbers:
        await _draw_piece(caller, copy, number)
        on_piece(number)


async def _draw_piece(caller, copy, number):
    for attempt in range(MAX_SPOILT):
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
        f"piece {number} does not match", step="weights.draw", peer=caller.address
    )
