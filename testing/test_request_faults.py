"""Guards against requests that break when a backend server or an agent fails."""

import anyio

from carobstand.entry import caller_api, dispatch
from carobstand.standin import web
from testing import request_builders as build

ENGINES = {"handler": None, "kind": "engine", "service": "drafter"}


def test_a_poison_request_sent_to_all_entries_crashes_at_most_two_engines():
    async def test():
        async with build.running_system(**ENGINES, agents=6, entries=3) as net:
            for _, site in net.engines:
                site.switches.crash_marker = "BOOM"
                site.switches.crash_s = 30
            net.send_heartbeats()
            responses = []

            async def send_one(entry):
                responses.append(await net.complete(entry, "BOOM"))

            async with anyio.create_task_group() as tg:
                for num in range(9):
                    tg.start_soon(send_one, num % 3)
            await anyio.sleep(0.2)
            for num in range(6):
                responses.append(await net.complete(num % 3, "BOOM"))
            assert sum(engine.crashes > 0 for engine, _ in net.engines) <= 2
            for resp in responses:
                assert resp.status_code >= 400
                assert int(resp.headers["retry-after"]) >= 1
            assert responses[-1].headers["carobstand-outcome"] == "not-run"
            other = await net.complete(0, "harmless")
            assert other.content == build.expected_completion("harmless")

    build.run(test)


def test_a_stream_is_resumed_on_another_engine_without_lost_or_duplicate_bytes():
    async def test():
        async with build.running_system(**ENGINES, agents=2) as net:
            prompts = [f"prompt {num}" for num in range(8)]
            responses = {}

            async def send_one(prompt):
                responses[prompt] = await net.complete(prompt=prompt, tokens=60)

            async with anyio.create_task_group() as tg:
                for prompt in prompts:
                    tg.start_soon(send_one, prompt)
                await anyio.sleep(0.3)
                net.engines[0][1].switches.crash_s = 30
                web.crash(net.engines[0][1])
            assert net.engines[0][0].crashes == 1
            for prompt in prompts:
                assert responses[prompt].content == build.expected_completion(
                    prompt, 60
                )

    build.run(test)


def test_a_stream_that_stalls_is_resumed_on_another_engine(monkeypatch):
    monkeypatch.setattr(dispatch, "STALL_TIMEOUT_S", 0.5)

    async def test():
        async with build.running_system(**ENGINES, agents=2) as net:
            net.engines[0][1].switches.stall_share = 1.0
            prompts = [f"prompt {num}" for num in range(4)]
            for resp, prompt in await _complete_all(net, prompts, 20):
                assert resp.content == build.expected_completion(prompt, 20)

    build.run(test)


async def _complete_all(net, prompts, tokens):
    responses = []

    async def send_one(prompt):
        responses.append((await net.complete(prompt=prompt, tokens=tokens), prompt))

    async with anyio.create_task_group() as tg:
        for prompt in prompts:
            tg.start_soon(send_one, prompt)
    return responses


def test_an_agent_that_leaves_finishes_its_streams_and_gets_no_new_work():
    async def test():
        async with build.running_system(**ENGINES, agents=2) as net:
            async with anyio.create_task_group() as tg:
                responses = []

                async def start_streams():
                    responses.extend(
                        await _complete_all(net, [f"p{n}" for n in range(6)], 60)
                    )

                tg.start_soon(start_streams)
                await anyio.sleep(0.2)
                net.agents[0].leaving = True
                served = net.engines[0][0].requests["v1"]
                responses.extend(
                    await _complete_all(net, [f"q{n}" for n in range(6)], 3)
                )
                assert net.engines[0][0].requests["v1"] == served
            for resp, prompt in responses:
                tokens = 60 if prompt.startswith("p") else 3
                assert resp.content == build.expected_completion(prompt, tokens)
            with anyio.fail_after(2):
                while net.agents[0].running_attempts:
                    await anyio.sleep(0.01)

    build.run(test)


def test_a_truncated_response_does_not_exclude_the_only_server():
    async def handler(scope, body, send):
        if scope["path"] == "/broken":
            headers = [(b"content-length", b"9")]
            start = {"type": "http.response.start", "status": 200}
            await send({**start, "headers": headers})
            return
        await build.send_response(send, b"ok")

    async def test():
        async with build.running_system(handler) as net:
            broken = await net.call(net.urls[0], "/services/desk/broken")
            assert broken.headers["carobstand-outcome"] == "unknown"
            assert (await net.call(net.urls[0])).status_code == 200

    build.run(test)


def test_a_caller_that_disconnects_stops_the_engine():
    async def test():
        async with build.running_system(**ENGINES) as net:
            with anyio.move_on_after(0.3):
                await net.complete(tokens=2000)
            await net.client.aclose()
            net.client = build.httpx.AsyncClient()
            with anyio.fail_after(3):
                while net.engines[0][0].batch.running:
                    await anyio.sleep(0.02)
            assert net.entries[0].dispatcher.open_attempts.by_id == {}

    build.run(test)


def test_a_caller_that_reads_slowly_bounds_what_is_held_and_gets_every_byte():
    size = 32 * 1024 * 1024
    sent = []

    async def handler(scope, body, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        for _ in range(size // 65536):
            part = {"type": "http.response.body", "body": b"x" * 65536}
            await send({**part, "more_body": True})
            sent.append(65536)
        await send({"type": "http.response.body", "body": b""})

    async def test():
        async with build.running_system(handler, request_timeout_s=60.0) as net:
            headers = {"authorization": f"Bearer {build.API_KEYS['acme']}"}
            url = net.urls[0] + "/services/desk/x"
            async with net.client.stream("GET", url, headers=headers) as resp:
                await anyio.sleep(1)
                # Besides the windows, the kernel's socket buffers hold several MiB.
                assert sum(sent) < size
                received_bytes = 0
                async for data in resp.aiter_raw():
                    received_bytes += len(data)
            assert received_bytes == size

    build.run(test)


def test_bytes_that_arrive_during_a_slow_write_are_passed_on(monkeypatch):
    # Guards against a lost wake-up: the write is too small to be acknowledged. While it
    # waits for the caller, the agent fills its window and then sends nothing more.
    write = caller_api.Sink.data

    async def write_slowly(sink, data):
        if not sink.bytes_sent:
            await anyio.sleep(0.5)
        await write(sink, data)

    async def handler(scope, body, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        part = {"type": "http.response.body", "body": b"x" * 1000, "more_body": True}
        await send(part)
        await anyio.sleep(0.1)
        await send({**part, "body": b"x" * 1_000_000})
        await send({"type": "http.response.body", "body": b""})

    async def test():
        async with build.running_system(handler) as net:
            with anyio.fail_after(5.0):
                response = await net.call(net.urls[0])
            assert len(response.content) == 1_001_000

    monkeypatch.setattr(caller_api.Sink, "data", write_slowly)
    build.run(test)


def test_the_concurrency_limit_of_a_backend_server_spans_all_entries():
    peak, running = 0, 0

    async def handler(scope, body, send):
        nonlocal peak, running
        running += 1
        peak = max(peak, running)
        await anyio.sleep(0.05)
        running -= 1
        await build.send_response(send, b"ok")

    async def test():
        async with build.running_system(handler, entries=3) as net:
            codes = []

            async def send_one(entry):
                codes.append((await net.call(net.urls[entry])).status_code)

            async with anyio.create_task_group() as tg:
                for num in range(30):
                    tg.start_soon(send_one, num % 3)
            assert peak <= 8
            assert set(codes) <= {200, 503}
            assert codes.count(200) >= 16

    build.run(test)
