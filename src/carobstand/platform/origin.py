"""Origin of weights: interface and HTTP adapter."""

import attrs

from carobstand import errors
from carobstand.platform import http


@attrs.frozen
class Origin:
    """Calls of the origin, keyed by SHA-256 in hex.

    ``manifest(digest) -> bytes``; ``chunk(digest) -> bytes``;
    ``publish_chunk(digest, data)``; ``publish_manifest(digest, data)``; ``close()``.
    They raise OriginError. The bytes are not verified here.
    """

    manifest: object
    chunk: object
    publish_chunk: object
    publish_manifest: object
    close: object


def http_origin(url, timeout_s=10.0):
    """Return an `Origin` over HTTP.

    Parameters
    ----------
    url : str
    timeout_s : float

    Returns
    -------
    origin : Origin
    """
    client = http.client(url, timeout_s)

    async def fetch(kind, digest):
        resp = await http.call(
            client, errors.OriginError, f"origin.{kind}", "GET", f"/v1/{kind}s/{digest}"
        )
        return resp.content

    async def publish(kind, digest, data):
        await http.call(
            client,
            errors.OriginError,
            f"origin.publish_{kind}",
            "PUT",
            f"/v1/{kind}s/{digest}",
            content=data,
        )

    async def manifest(digest):
        return await fetch("manifest", digest)

    async def chunk(digest):
        return await fetch("chunk", digest)

    async def publish_chunk(digest, data):
        await publish("chunk", digest, data)

    async def publish_manifest(digest, data):
        await publish("manifest", digest, data)

    return Origin(manifest, chunk, publish_chunk, publish_manifest, client.aclose)
