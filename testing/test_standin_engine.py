"""The stand-in engine detects and counts faults of the agent that controls it."""

import contextlib
import json
import random

import anyio
import httpx
import pytest

from carobstand import errors
from carobstand.core import manifest as manifests
from carobstand.platform import engine as engine_adapter
from carobstand.standin import engine, faults, generation, web
from testing.test_standins import run, serving

FILES = [("model/a.bin", bytes(range(256)) * 10), ("model/b.bin", b"b" * 700)]


@contextlib.asynccontextmanager
async def serving_engine(state, handle=None):
    """Serve an engine, and an agent that answers reads with `handle`."""
    host = engine.site(state)
    source = web.Site("agent", handle)
    async with serving(host, source):
        client = engine_adapter.http_engine(host.url, 3)
        yield host, client, source.url
        await client.close()


def weights(files=FILES):
    """Return the digest of a manifest and a handler that serves its weights."""
    manifest, _ = manifests.build(files, 512)
    encoded = manifests.encode(manifest)
    digest = manifests.digest_of(encoded)
    content = {f"/weights/{digest}/{path}": data for path, data in files}
    content[f"/manifests/{digest}"] = encoded

    async def handle(req):
        if req.path not in content:
            return web.error_response(404, "not held")
        return web.Response(200, content[req.path])

    return digest, content, handle


async def until_up(client):
    """Return once the engine answers again after a crash."""
    for _ in range(100):
        try:
            await client.load()
            return
        except errors.BackendError:
            await anyio.sleep(0.05)
    raise AssertionError("the engine did not come back")


async def complete(url, prompt="hello", tokens=5, version="v1", **options):
    """Return the response to one streamed completion."""
    headers = options.pop("headers", {})
    payload = {"model": f"salahkar:{version}", "prompt": prompt, "max_tokens": tokens}
    async with httpx.AsyncClient(base_url=url) as client:
        return await client.post(
            "/v1/completions",
            json=payload | {"stream": True} | options,
            headers=headers,
        )


def test_weights_are_verified_before_a_version_is_loaded_and_served():
    async def main():
        digest, _, handle = weights()
        state = engine.EngineState()
        async with serving_engine(state, handle) as (host, client, source):
            with pytest.raises(errors.BackendError, match="422"):
                await client.activate(["v1"], 1)
            assert state.violations == {"not_loaded": 1}
            await client.load_version("v1", digest, "", source, 1)
            assert (await client.state()).serving == {}
            await client.activate(["v1"], 2)
            running = await client.state()
            assert (running.serving, running.fence) == ({"v1": digest}, 2)
            answer = await complete(host.url)
            assert answer.headers["X-Served-Version"] == "v1"
            assert answer.content == generation.expected_body(
                "v1", digest, "hello", 5, True
            )
            assert state.source_bytes == sum(len(data) for _, data in FILES)

    run(main)


@pytest.mark.parametrize("change", ["flip", "short", "long", "absent"])
def test_partial_or_changed_weights_are_counted_and_never_loaded(change):
    async def main():
        digest, content, handle = weights()
        path = f"/weights/{digest}/model/a.bin"
        data = content[path]
        if change == "absent":
            del content[path]
        else:
            content[path] = {
                "flip": b"\xff" + data[1:],
                "short": data[:-1],
                "long": data + b"x",
            }[change]
        state = engine.EngineState()
        async with serving_engine(state, handle) as (_, client, source):
            with pytest.raises(errors.BackendError, match="422"):
                await client.load_version("v1", digest, "", source, 1)
            assert state.violations == {"partial_weights": 1}
            assert (await client.state()).loaded == {}

    run(main)


def test_a_manifest_that_differs_from_its_digest_counts_as_mixed_versions():
    async def main():
        digest, content, handle = weights()
        other, others, _ = weights([("model/a.bin", b"other")])
        content[f"/manifests/{digest}"] = others[f"/manifests/{other}"]
        state = engine.EngineState()
        async with serving_engine(state, handle) as (_, client, source):
            with pytest.raises(errors.BackendError, match="422"):
                await client.load_version("v1", digest, "", source, 1)
        assert state.violations == {"mixed_versions": 1}

    run(main)


@pytest.mark.parametrize("check_fence", [True, False])
def test_a_stale_fencing_token_is_rejected_only_by_an_engine_that_checks(
    check_fence,
):
    async def main():
        state = engine.EngineState(check_fence=check_fence)
        engine.preload(state, "v1", "m1")
        async with serving_engine(state) as (_, client, _source):
            await client.activate(["v1"], 7)
            if check_fence:
                with pytest.raises(errors.ConflictError):
                    await client.activate([], 6)
                assert (await client.state()).serving == {"v1": "m1"}
            else:
                await client.activate([], 6)
                assert (await client.state()).serving == {}
            assert state.stale_commands == 1

    run(main)


def test_a_request_in_progress_keeps_the_version_it_started_with():
    async def main():
        state = engine.EngineState(token_s=0.02)
        engine.preload(state, "v1", "m1")
        engine.preload(state, "v2", "m2")
        answers = []
        async with serving_engine(state) as (host, client, _source):

            async def ask():
                answers.append(await complete(host.url, tokens=20))

            async with anyio.create_task_group() as tg:
                tg.start_soon(ask)
                await anyio.sleep(0.15)
                await client.activate(["v2"], 1)
                await client.unload("v1", 1)
                refused = await complete(host.url)
        assert answers[0].content == generation.expected_body(
            "v1", "m1", "hello", 20, True
        )
        assert refused.status_code == 404

    run(main)


def test_a_stream_resumes_at_any_offset_with_the_same_bytes():
    async def main():
        state = engine.EngineState(token_s=0.001)
        engine.preload(state, "v1", "m1")
        full_body = generation.expected_body("v1", "m1", "hello", 5, True)
        async with serving_engine(state) as (host, _, _source):
            for offset in (1, len(full_body) // 2, len(full_body)):
                headers = {"X-Stream-Offset": str(offset)}
                answer = await complete(host.url, headers=headers)
                assert answer.content == full_body[offset:]
            plain = await complete(host.url, stream=False)
        assert plain.content == generation.expected_body("v1", "m1", "hello", 5, False)
        assert json.loads(plain.content)["choices"][0]["finish_reason"] == "length"

    run(main)


def test_the_batch_limit_holds_and_an_abandoned_request_frees_its_slot():
    async def main():
        state = engine.EngineState(batch_limit=2, load_lag_s=0)
        engine.preload(state, "v1", "m1")
        async with serving_engine(state) as (host, client, _source):
            async with anyio.create_task_group() as tg:
                for _ in range(5):
                    tg.start_soon(complete, host.url, "hello", 4000)
                report = await client.load()
                while (report.running, report.waiting) != (2, 3):
                    await anyio.sleep(0.01)
                    report = await client.load()
                tg.cancel_scope.cancel()
            assert (await complete(host.url)).status_code == 200
        assert (state.batch.running, state.batch.peak) == (0, 2)
        assert state.served == {"v1": 1}

    run(main)


def test_cache_hits_are_leading_blocks_and_events_are_late_and_have_gaps():
    cache = generation.PrefixCache(100, 5.0, 0.5, random.Random(1))
    prompt = "".join(f"{n:08}" for n in range(80))
    assert generation.look_up_and_insert(cache, "m1", prompt, 0.0) == (0, 10)
    assert generation.look_up_and_insert(
        cache, "m1", prompt[:200] + "?" * 200, 0.0
    ) == (3, 6)
    assert generation.look_up_and_insert(cache, "m2", prompt, 0.0) == (0, 10)
    assert generation.events_after(cache, 0, 4.9) == (0, [])
    last, found = generation.events_after(cache, 0, 5.0)
    assert 0 < len(found) < 23
    assert set(found) <= set(generation.prefix_hashes(prompt)) | set(
        generation.prefix_hashes(prompt[:200] + "?" * 200)
    )
    assert generation.events_after(cache, last, 9.0) == (last, [])


def test_a_version_lost_in_a_crash_counts_only_after_the_state_was_read():
    """An agent cannot know of the loss before it reads the state after the restart."""

    async def main():
        state = engine.EngineState()
        engine.preload(state, "v1", "m1")
        async with serving_engine(state) as (host, client, _source):
            faults.update(host.switches, {"crash_s": 0.05})
            web.crash(host)
            await anyio.sleep(0.1)
            await until_up(client)
            with pytest.raises(errors.BackendError, match="422"):
                await client.activate(["v1"], 1)
            assert state.violations == {}
            await client.state()
            with pytest.raises(errors.BackendError):
                await client.activate(["v1"], 1)
            assert state.violations == {"not_loaded": 1}

    run(main)


def test_a_marked_prompt_crashes_the_engine_which_restarts_empty():
    async def main():
        state = engine.EngineState(token_s=0.05)
        engine.preload(state, "v1", "m1")
        async with serving_engine(state) as (host, client, _source):
            faults.update(host.switches, {"crash_marker": "boom", "crash_s": 0.5})
            ended = []

            async def ask(prompt):
                try:
                    await complete(host.url, prompt, 100)
                except httpx.HTTPError as exc:
                    ended.append(type(exc))

            async with anyio.create_task_group() as tg:
                tg.start_soon(ask, "innocent")
                await anyio.sleep(0.2)
                tg.start_soon(ask, "boom")
            assert ended == [httpx.RemoteProtocolError] * 2
            await anyio.sleep(0.1)
            with pytest.raises(httpx.ConnectError):
                await complete(host.url)
            await anyio.sleep(1)
            assert (await client.state()).serving == {}
        assert state.crashes == 1

    run(main)
