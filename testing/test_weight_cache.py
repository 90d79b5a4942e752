"""Tests of the weights that an entry holds for others, and of its listener."""

import anyio
import pytest

from carobstand import errors, loops
from carobstand.core import named_versions, weight_copy
from carobstand.entry import fleet as fleets
from carobstand.entry import weight_cache, weight_fetching
from carobstand.transfer import piece_stream
from carobstand.wire.gen_fleet import ttypes
from testing import platform_builders as build
from testing import platform_fleet

FETCH_S = 30.0


def cache_at(host, port):
    dep = build.deployment_of("1", host, internal_ports=(port, port + 15))
    return weight_cache.WeightCache(fleets.Fleet(dep, store=None))


async def request_manifest(cache, version):
    """Request a version from the cache's listener; return the first reply."""
    dep = cache.fleet.deployment
    frames = await piece_stream.connect(f"{dep.ip}:{dep.internal_ports[0]}")
    try:
        request = ttypes.ManifestRequest("m", version, True)
        await piece_stream.send(frames, request)
        return await piece_stream.receive(frames, 2.0)
    finally:
        await anyio.aclose_forcefully(frames.stream)


def run_with_cache(check, monkeypatch):
    """Run ``check(cache)`` beside a supervised cache whose fetches never end."""

    async def fetch(fleet, cached):
        await anyio.sleep(FETCH_S)

    async def test():
        monkeypatch.setattr(weight_fetching, "fetch", fetch)
        cache = cache_at(platform_fleet.new_host(), platform_fleet.free_port())
        async with anyio.create_task_group() as tg:
            tg.start_soon(loops.supervise, weight_cache.run, cache)
            dep = cache.fleet.deployment
            await platform_fleet.wait_bound(f"{dep.ip}:{dep.internal_ports[0]}")
            await check(cache)
            tg.cancel_scope.cancel()

    platform_fleet.run(test)


def test_a_request_for_older_weights_than_those_held_ends_nothing_else(monkeypatch):
    async def check(cache):
        for version in (2, 3, 4):
            await request_manifest(cache, version)
        with pytest.raises(errors.ConnectionClosedError):
            await request_manifest(cache, 1)
        assert set(cache.held) == {("m", 2), ("m", 3), ("m", 4)}
        assert not any(item.scope.cancel_called for item in cache.held.values())
        await request_manifest(cache, 3)

    run_with_cache(check, monkeypatch)


def test_older_weights_that_are_served_do_not_end_the_listener(monkeypatch):
    async def check(cache):
        for version in (2, 3, 4):
            await request_manifest(cache, version)
        started = cache.tasks
        assert weight_cache.get_or_fetch(cache, "m", 1, needs_pieces=True) is None
        assert cache.tasks is started

    run_with_cache(check, monkeypatch)


def test_the_listener_is_bound_again_after_an_unexpected_error(monkeypatch):
    async def check(cache):
        fetch_named, failed = weight_cache._fetch_named, []

        def fail_once(cache):
            if not failed:
                failed.append(True)
                raise KeyError("unexpected")
            fetch_named(cache)

        monkeypatch.setattr(weight_cache, "_fetch_named", fail_once)
        await platform_fleet.until(lambda: failed)
        await anyio.sleep(loops.RESTART_DELAY_S + 0.2)
        await request_manifest(cache, 2)

    run_with_cache(check, monkeypatch)


def test_pieces_of_an_older_version_are_kept_after_its_readers_left(monkeypatch):
    # Agents that returned to version 2 after an outage found its pieces discarded.
    async def check(cache):
        cached = weight_cache.get_or_fetch(cache, "m", 2, needs_pieces=True)
        cached.copy = copy = weight_copy.WeightCopy("m", 2, (b"",), 1)
        await until_paused(cache, cached)
        assert cache.held["m", 2].copy is copy
        weight_cache.get_or_fetch(cache, "m", 2, needs_pieces=True)
        assert cached.scope is not None

    run_with_cache(check, monkeypatch)


async def until_paused(cache, cached):
    """Name a newer version, and wait until the older one is no longer fetched."""
    cache.fleet.named["m"] = [named_versions.SeenVersion(3, 0.0)]
    await platform_fleet.until(lambda: cached.scope is None)


def test_an_older_version_with_readers_is_fetched_before_a_newer_one(monkeypatch):
    # Versions named in quick succession shared the origin's link, so that neither was
    # complete before the end of the one that engines served.
    async def check(cache):
        older = weight_cache.get_or_fetch(cache, "m", 2, needs_pieces=True)
        newer = weight_cache.get_or_fetch(cache, "m", 3, needs_pieces=True)
        older.demanded_at -= weight_cache.UNUSED_TIMEOUT_S
        assert not newer.has_to_wait()
        older.demanded_at = older.progressed_at = anyio.current_time()
        assert newer.has_to_wait() and not older.has_to_wait()
        older.progressed_at -= weight_cache.PRECEDENCE_S
        assert not newer.has_to_wait()

    run_with_cache(check, monkeypatch)
