"""HTTP calls to outside systems; failures are raised as typed errors."""

import collections
import functools

import httpx

TRAFFIC = collections.Counter()
"""Bytes of bodies and header fields sent and received over HTTP, by direction."""


@functools.cache
def _tls_context():
    """Return the shared TLS context; loading the CA certificates takes 35 ms."""
    return httpx.create_ssl_context(trust_env=False)


def client(base_url, timeout_s=5.0, **options):
    """Return an httpx client for one outside system.

    Parameters
    ----------
    base_url : str
    timeout_s : float
        Timeout of each connect, read and write.
    **options
        Passed on to ``httpx.AsyncClient``.

    Returns
    -------
    client : httpx.AsyncClient
    """

    async def count(resp):
        for direction, part in (("sent", resp.request), ("received", resp)):
            fields = sum(len(name) + len(value) for name, value in part.headers.raw)
            body = int(part.headers.get("content-length", 0))
            TRAFFIC[direction] += fields + body

    return httpx.AsyncClient(
        base_url=base_url,
        timeout=timeout_s,
        trust_env=False,
        event_hooks={"response": [count]},
        verify=_tls_context(),
        **options,
    )


async def call(client, error, step, method, path, *, allowed=(200,), **options):
    """Send one request and check its status.

    Parameters
    ----------
    client : httpx.AsyncClient
    error : callable of (message, step=, peer=)
        Builds the exception raised if no usable response arrives.
    step : str
        Name of the operation, for the error.
    method, path : str
    allowed : tuple of int
        Statuses that do not raise; the caller handles them.
    **options
        Passed on to ``client.request``.

    Returns
    -------
    response : httpx.Response
    """
    peer = str(client.base_url)
    try:
        response = await client.request(method, path, **options)
    except (httpx.HTTPError, httpx.InvalidURL, OSError) as exc:
        detail = str(exc) or type(exc).__name__
        raise error(f"no answer: {detail}", step=step, peer=peer) from exc
    if response.status_code not in allowed:
        raise error(f"status {response.status_code}", step=step, peer=peer)
    return response
