"""Serves pieces of weights to other processes; entries and agents share it."""

import anyio

from carobstand import errors, eventlog, http1
from carobstand.transfer import piece_stream
from carobstand.wire.gen_fleet import ttypes

REQUEST_TIMEOUT_S = 1.5
"""Maximum wait for the first request on a connection."""

REQUEST_IDLE_S = 10.0
"""Maximum pause between two requests on a connection."""


async def serve(stream, handle):
    """Serve one connection with ``handle(frames, request)``, then close it.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
    handle : async callable of (piece_stream.Frames, message)
        Handles the first request; may raise WireError or ConnectionClosedError.
    """
    frames = piece_stream.Frames(stream, "")
    try:
        http1.set_tcp_timeouts(stream)
        request = await piece_stream.receive(
            frames, REQUEST_TIMEOUT_S, piece_stream.MAX_REQUEST_BYTES
        )
        await handle(frames, request)
    except (errors.WireError, errors.ConnectionClosedError) as exc:
        eventlog.debug("pieces.ended", error=str(exc))
    except Exception as exc:
        eventlog.failure("pieces.failed", exc)
    finally:
        await anyio.aclose_forcefully(stream)


def require_manifest_request(request):
    """Raise WireError unless a request asks for a manifest."""
    if not isinstance(request, ttypes.ManifestRequest):
        raise errors.WireError("expected a request for a manifest", step="pieces.serve")


async def send_pending_manifest(frames, model, version):
    """Tell the reader that this process still waits for the manifest itself."""
    await piece_stream.send(frames, ttypes.ManifestReply(model, version, b"", 0))


async def send_copy(frames, copy, request, until_held):
    """Send the manifest of a copy, then each block that the reader requests.

    Parameters
    ----------
    frames : piece_stream.Frames
    copy : core.weight_copy.WeightCopy
    request : wire.gen_fleet.ttypes.ManifestRequest
    until_held : async callable of (wire.gen_fleet.ttypes.BlockRequest)
        Waits for the piece of a block; returns False if it will not be held.
    """
    manifest = ttypes.ManifestReply(
        copy.model,
        copy.version,
        b"".join(copy.digests),
        copy.piece_bytes,
        piece_stream.encode_numbers(copy.pieces),
    )
    await piece_stream.send(frames, manifest)
    while not request.manifest_only:
        block = await piece_stream.receive(
            frames, REQUEST_IDLE_S, piece_stream.MAX_REQUEST_BYTES
        )
        if not isinstance(block, ttypes.BlockRequest):
            raise errors.WireError(
                "expected a request for a block", step="pieces.serve"
            )
        if not 0 <= block.number < len(copy.digests):
            raise errors.WireError(f"no piece {block.number}", step="pieces.serve")
        if not await until_held(block):
            return
        data = copy.pieces[block.number][block.offset : block.offset + block.size]
        reply = ttypes.BlockReply(block.number, block.offset, data)
        await piece_stream.send(frames, reply)
