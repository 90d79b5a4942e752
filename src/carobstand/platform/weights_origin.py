"""HTTP client of the platform's weights origin: manifests and pieces."""

import urllib.parse

import attrs

from carobstand import errors, http1_calls
from carobstand.platform import fields

MAX_MANIFEST_BYTES = 4 * 1024 * 1024
"""Largest manifest accepted; it has some 70 bytes per piece."""


@attrs.frozen
class Manifest:
    """Pieces of one version: the SHA-256 digest of each, and the size of a piece."""

    model: str
    version: int
    digests: tuple
    piece_bytes: int


async def fetch_manifest(caller, model, version, timeout_s):
    """Return the `Manifest` of `version`, or of the newest one if it is None."""
    query = {} if version is None else {"version": version}
    path = f"/v1/manifest/{urllib.parse.quote(model, safe='')}"
    target = f"{path}?{urllib.parse.urlencode(query)}".rstrip("?")
    resp = await _call(caller, "manifest", target, timeout_s, MAX_MANIFEST_BYTES)
    try:
        return decode_manifest(resp.body)
    except errors.RecordError as exc:
        raise errors.OriginError(
            exc.message, step="origin.manifest", peer=caller.address
        ) from exc


def decode_manifest(raw):
    """Return the `Manifest` of JSON bytes; raise RecordError."""
    record = fields.parse(raw, "manifest")
    try:
        digests = tuple(bytes.fromhex(item) for item in record.items("digests"))
    except (TypeError, ValueError) as exc:
        raise errors.RecordError(f"digests: {exc}", step="manifest") from exc
    if not digests or any(len(digest) != 32 for digest in digests):
        raise errors.RecordError("digests: not SHA-256 values", step="manifest")
    return Manifest(
        record.name("model"),
        record.integer("version"),
        digests,
        record.integer("chunk_bytes", least=1),
    )


async def fetch_piece(caller, model, version, number, timeout_s, max_bytes):
    """Return the bytes of a piece; the digest is not verified."""
    query = urllib.parse.urlencode({"number": number, "version": version})
    target = f"/v1/piece/{urllib.parse.quote(model, safe='')}?{query}"
    resp = await _call(caller, "piece", target, timeout_s, max_bytes)
    return resp.body


async def _call(caller, step, target, timeout_s, max_bytes):
    try:
        resp = await http1_calls.call(
            caller, "GET", target, timeout_s=timeout_s, max_bytes=max_bytes
        )
    except errors.HttpError as exc:
        raise errors.OriginError(
            exc.message, step=f"origin.{step}", peer=caller.address
        ) from exc
    if resp.status != 200:
        raise errors.OriginError(
            f"status {resp.status}", step=f"origin.{step}", peer=caller.address
        )
    return resp
