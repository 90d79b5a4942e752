"""A server whose responses never end, of many kinds, until the caller closes."""

import anyio
import attrs

from carobstand.core import deployment
from carobstand.wire import fleet_codec

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Server-Signature: s.1\r\nTransfer-Encoding: chunked\r\n\r\n"
_LARGE = b"Content-Length: 99999999999\r\n\r\n"
_FILLER = b"a" * 4096
_FIELDS = b"X-Filler: a\r\n" * 300

KINDS = {
    "status line": (b"HTTP/1.1 200 ", _FILLER),
    "header field": (_OK + b"X-Filler: ", _FILLER),
    "header fields": (_OK, _FIELDS),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 150),
    "body without length": (_OK + b"\r\n", _FILLER),
    "enormous length": (_OK + _LARGE, _FILLER),
    "chunks": (_CHUNKED, b"1000\r\n" + _FILLER + b"\r\n"),
    "tiny chunks": (_CHUNKED, b"1\r\na\r\n" * 700),
    "chunk size": (_CHUNKED, b"0" * 4096),
    "chunk extensions": (_CHUNKED, b"1;" + _FILLER + b"\r\na\r\n"),
    "chunk extension": (_CHUNKED + b"1;", _FILLER),
    "trailers": (_CHUNKED + b"0\r\n", _FIELDS),
    "events": (_CHUNKED, b"d\r\n: comment   \n\r\n" * 200),
    "blank lines": (b"", b"\r\n" * 2048),
    "no protocol": (b"", b"\x00\xff" * 2048),
    "refusal": (b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\n\r\n", _FILLER),
    "failure": (b"HTTP/1.1 500 X\r\n" + _LARGE, _FILLER),
}
"""By name: the first bytes of a response, and those repeated without end."""

FRAMES = {
    "enormous frame": (fleet_codec.LENGTH.pack(2**31 - 1), _FILLER),
    "endless frame": (fleet_codec.LENGTH.pack(fleet_codec.MAX_FRAME_BYTES), b"a"),
    "empty frames": (b"", fleet_codec.LENGTH.pack(0) * 1000),
}
"""The same for the protocol between entries and agents."""


@attrs.define(eq=False)
class Peer:
    """What a server sent.

    Attributes
    ----------
    kind : str
    connections : int
    sent : int
        Bytes that its callers or the kernel accepted.
    """

    kind: str
    connections: int = 0
    sent: int = 0


async def serve(peer, address):
    """Serve until cancelled."""
    host, port = deployment.split_address(address)
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=port, reuse_port=True
    )
    async with listener:
        await listener.serve(lambda stream: _respond(peer, stream))


async def _respond(peer, stream):
    first, repeated = {**KINDS, **FRAMES}[peer.kind]
    peer.connections += 1
    async with stream:
        try:
            await stream.receive()
            await stream.send(first or repeated)
            while True:
                await stream.send(repeated)
                peer.sent += len(repeated)
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
        ):
            return
