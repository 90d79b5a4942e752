"""Serves pieces of weights to other processes; entries and agents share it."""

import anyio
import anyio.abc
import anyio.lowlevel

from carobstand import errors, eventlog, http1
from carobstand.transfer import piece_stream
from carobstand.wire import socket_streams
from carobstand.wire.gen_fleet import ttypes

REQUEST_TIMEOUT_S = 1.5
"""Maximum wait for the first request on a connection."""

REQUEST_IDLE_S = 10.0
"""Maximum pause between two requests on a connection."""


MAX_CONNECTIONS = 256
"""Connections of other processes at a time. All processes of a region may ask the same
entry at a common start; in the largest deployment these are fewer than 100."""


async def listen(multi, handle):
    """Serve the connections of a listener with `serve` until cancelled.

    Parameters
    ----------
    multi : anyio.abc.Listener
        Of a single address.
    handle : async callable of (piece_stream.Frames, message)
    """
    raw = multi.listeners[0].extra(anyio.abc.SocketAttribute.raw_socket)
    socket_streams.limit_buffers(raw)
    streams = set()

    async def serve_counted(stream):
        streams.add(stream)
        try:
            await serve(stream, handle)
        finally:
            streams.discard(stream)

    async with anyio.create_task_group() as tg:
        while True:
            await anyio.wait_readable(raw)
            try:
                stream = socket_streams.accept(raw)
            except OSError as exc:
                eventlog.event("accept.failed", error=repr(exc))
                await anyio.sleep(socket_streams.ACCEPT_RETRY_DELAY_S)
                continue
            if stream is not None and len(streams) < MAX_CONNECTIONS:
                tg.start_soon(serve_counted, stream)
            elif stream is not None:
                eventlog.debug("pieces.ended", error="too many connections")
                await stream.aclose()
            await anyio.lowlevel.checkpoint()


async def serve(stream, handle):
    """Serve one connection with ``handle(frames, request)``, then close it.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
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
