"""HTTP client of the model engine beside an agent: commands and reports."""

import attrs

from carobstand import errors
from carobstand.platform import http


@attrs.frozen
class VersionState:
    """Weights versions at a backend server.

    `serving` maps each served version to its manifest digest; `fence` is the highest
    fencing token that the server has received, 0 if it ignores them.
    """

    serving: dict
    loaded: dict
    fence: int


@attrs.frozen
class LoadReport:
    """Load of a backend server; `age_s` is the report's age in seconds."""

    running: int
    waiting: int
    cache_used: float
    age_s: float


@attrs.frozen
class Engine:
    """Calls of a model engine, all asynchronous.

    ``state() -> VersionState``;
    ``load_version(version, manifest, base, source, fence)`` loads the weights from
    `source` (a URL of the agent) while others are served; ``activate(versions, fence)``
    switches atomically to serving exactly `versions`, which must all be loaded;
    ``unload(version, fence)``; ``load() -> LoadReport``;
    ``cache_events(after) -> (next, tuple of prefix hashes)``; ``close()``. A command
    with an old fencing token raises ConflictError if the engine checks it; any other
    failure raises BackendError.
    """

    state: object
    load_version: object
    activate: object
    unload: object
    load: object
    cache_events: object
    close: object


def http_engine(url, timeout_s=30.0):
    """Return an `Engine` over HTTP.

    Parameters
    ----------
    url : str
    timeout_s : float

    Returns
    -------
    engine : Engine
    """
    client = http.client(url, timeout_s)

    async def request(step, method, path, **options):
        resp = await http.call(
            client,
            errors.BackendError,
            f"engine.{step}",
            method,
            path,
            allowed=(200, 409),
            **options,
        )
        if resp.status_code == 409:
            raise errors.ConflictError(
                "command with an old fencing token", step=f"engine.{step}", peer=url
            )
        try:
            return resp.json()
        except ValueError as exc:
            raise errors.BackendError(
                f"malformed response: {exc}", step=f"engine.{step}", peer=url
            ) from exc

    async def state():
        body = await request("state", "GET", "/admin/state")
        return VersionState(
            dict(body["serving"]), dict(body["loaded"]), int(body["fence"])
        )

    async def load_version(version, manifest, base, source, fence):
        body = {
            "version": version,
            "manifest": manifest,
            "base": base,
            "source": source,
            "fence": fence,
        }
        await request("load", "POST", "/admin/load", json=body)

    async def activate(versions, fence):
        body = {"versions": list(versions), "fence": fence}
        await request("activate", "POST", "/admin/activate", json=body)

    async def unload(version, fence):
        body = {"version": version, "fence": fence}
        await request("unload", "POST", "/admin/unload", json=body)

    async def load():
        body = await request("load", "GET", "/load")
        return LoadReport(
            int(body["running"]),
            int(body["waiting"]),
            float(body["cache_used"]),
            float(body["age_s"]),
        )

    async def cache_events(after):
        body = await request("cache", "GET", "/cache-events", params={"after": after})
        return int(body["next"]), tuple(body["prefixes"])

    return Engine(
        state, load_version, activate, unload, load, cache_events, client.aclose
    )
