"""Stand-in for the platform's origin of weights."""

import hashlib
import random
import urllib.parse

import anyio
import attrs

from carobstand import http1_server
from carobstand.standin.platform import answers


@attrs.define(eq=False)
class Origin:
    """Weights of one model, and the injected faults of their origin.

    Attributes
    ----------
    model : str
    pieces, piece_bytes : int
    newest : int
        Newest version; it and the one before are available.
    bytes_per_s : float
        Rate of each download; 0 is unlimited.
    corrupt_once : set of int
        Numbers of pieces that are sent corrupt, once each.
    is_down : bool
        Requests get no response.
    sent : dict of (int, int) to int
        How often each (version, piece) was sent.
    """

    model: str = "m"
    pieces: int = 12
    piece_bytes: int = 1000
    newest: int = 1
    bytes_per_s: float = 0.0
    corrupt_once: set = attrs.field(factory=set)
    is_down: bool = False
    sent: dict = attrs.field(factory=dict)


def piece(origin, version, number):
    """Return the bytes of a piece."""
    return random.Random(f"{version}/{number}").randbytes(origin.piece_bytes)


def digests(origin, version):
    """Return the SHA-256 of each piece of a version, in hex."""
    return [
        hashlib.sha256(piece(origin, version, number)).hexdigest()
        for number in range(origin.pieces)
    ]


def server(origin):
    """Return the `http1_server.Server` of an origin."""

    async def handle(request, reply):
        if origin.is_down:
            return
        path, _, query_text = request.target.decode().partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        version = int(query.get("version", origin.newest))
        if version < origin.newest - 1:
            return await http1_server.respond(reply, 410, [])
        if path == f"/v1/manifest/{origin.model}":
            return await answers.send_json(reply, _manifest(origin, version))
        if path != f"/v1/piece/{origin.model}":
            return await http1_server.respond(reply, 404, [])
        await _send_piece(origin, reply, version, int(query["number"]))

    return http1_server.Server(http1_server.Limits, handle)


def _manifest(origin, version):
    return {
        "model": origin.model,
        "version": version,
        "chunk_bytes": origin.piece_bytes,
        "layers": 4,
        "digests": digests(origin, version),
    }


async def _send_piece(origin, reply, version, number):
    data = piece(origin, version, number)
    if number in origin.corrupt_once:
        origin.corrupt_once.discard(number)
        data = bytes([data[0] ^ 1]) + data[1:]
    key = (version, number)
    origin.sent[key] = origin.sent.get(key, 0) + 1
    if origin.bytes_per_s:
        await anyio.sleep(len(data) / origin.bytes_per_s)
    await http1_server.respond(reply, 200, [], data)
