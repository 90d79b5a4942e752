"""Guards against responses that are lost, mixed up, truncated or misreported."""

import json

import anyio
import httpx
import pytest

from carobstand.core import attempts
from carobstand.entry import attempt_tracking
from carobstand.wire.gen import ttypes
from testing import request_builders as build


def test_concurrent_callers_each_get_their_own_response():
    async def handler(scope, body, send):
        await anyio.sleep(0.01 if body[-1] % 2 else 0)
        await build.send_response(send, b"echo " + body)

    async def test():
        async with build.running_system(handler, agents=2) as net:
            responses = {}

            async def send_one(num):
                body = b"%d" % num
                resp = await net.call(net.urls[0], method="POST", content=body)
                responses[num] = (resp.status_code, resp.content, resp.headers)

            async with anyio.create_task_group() as tg:
                for num in range(14):
                    tg.start_soon(send_one, num)
            for num, (status, content, headers) in responses.items():
                assert (status, content) == (200, b"echo %d" % num)
                assert headers["carobstand-outcome"] == "done"

    build.run(test)


def test_a_stream_is_complete_after_its_connection_was_replaced():
    first_part_sent, send_rest = anyio.Event(), anyio.Event()

    async def handler(scope, body, send):
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        part = {"type": "http.response.body", "body": b"data: 1\n\n", "more_body": True}
        await send(part)
        first_part_sent.set()
        await send_rest.wait()
        await send({"type": "http.response.body", "body": b"data: 2\n\n"})

    async def test():
        async with build.running_system(handler) as net:
            received_body = bytearray()

            async def read():
                headers = {"authorization": f"Bearer {build.API_KEYS['acme']}"}
                url = net.urls[0] + "/services/desk/x"
                async with net.client.stream("GET", url, headers=headers) as resp:
                    async for data in resp.aiter_raw():
                        received_body.extend(data)

            async with anyio.create_task_group() as tg:
                tg.start_soon(read)
                await first_part_sent.wait()
                await anyio.sleep(0.05)
                old, _ = net.conns[("vm-1", "entry-1")]
                await old.stream.aclose()
                await net.connect(net.agents[0], net.entries[0])
                send_rest.set()
            assert bytes(received_body) == b"data: 1\n\ndata: 2\n\n"

    build.run(test)


def test_an_acknowledgement_lost_with_its_connection_does_not_stall_the_response(
    monkeypatch,
):
    size = 3 * attempts.WINDOW_BYTES
    lost_offsets = []
    post = attempt_tracking._post

    async def handler(scope, body, send):
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"x" * size})

    async def test():
        async with build.running_system(handler) as net:
            first_conn = net.entries[0].agents["vm-1"].conn

            def drop_acknowledgements(conn, message):
                if conn is first_conn and isinstance(message, ttypes.AnswerAck):
                    lost_offsets.append(message.offset)
                else:
                    post(conn, message)

            monkeypatch.setattr(attempt_tracking, "_post", drop_acknowledgements)
            responses = []

            async def read():
                headers = {"authorization": f"Bearer {build.API_KEYS['acme']}"}
                url = net.urls[0] + "/services/desk/x"
                responses.append(await net.client.get(url, headers=headers))

            async with anyio.create_task_group() as tg:
                tg.start_soon(read)
                while not lost_offsets or lost_offsets[-1] < attempts.WINDOW_BYTES // 2:
                    await anyio.sleep(0.01)
                await anyio.sleep(0.1)
                old, _ = net.conns[("vm-1", "entry-1")]
                await old.stream.aclose()
                await net.connect(net.agents[0], net.entries[0])
            assert responses[0].content == b"x" * size

    build.run(test)


def test_an_attempt_for_another_agent_start_is_refused_as_not_run():
    ran = []

    async def handler(scope, body, send):
        ran.append(scope["path"])
        await build.send_response(send, b"ok")

    async def test():
        async with build.running_system(handler) as net:
            net.entries[0].agents["vm-1"].hello.start_id = "earlier"
            resp = await net.call(net.urls[0])
            assert resp.status_code == 503
            assert resp.headers["carobstand-outcome"] == "not-run"
            assert int(resp.headers["retry-after"]) >= 1
            assert ran == []

    build.run(test)


def test_a_version_that_is_not_served_is_never_requested_from_a_backend_server():
    ran = []

    async def handler(scope, body, send):
        ran.append(json.loads(body)["model"])
        await build.send_response(send, b"{}")

    async def test():
        async with build.running_system(
            handler, kind="engine", service="drafter"
        ) as net:
            payload = {"model": "drafter", "prompt": "x"}
            call_options = {
                "path": "/v1/completions",
                "method": "POST",
                "json": payload,
            }
            assert (await net.call(net.urls[0], **call_options)).status_code == 200
            net.agents[0].replicas.clear()
            resp = await net.call(net.urls[0], **call_options)
            assert resp.headers["carobstand-outcome"] == "not-run"
            assert ran == ["drafter:v1"]

    build.run(test)


def test_a_response_truncated_by_the_backend_server_has_outcome_unknown():
    async def handler(scope, body, send):
        headers = [(b"content-length", b"100")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        part = {"type": "http.response.body", "body": b"half", "more_body": True}
        await send(part)

    async def test():
        async with build.running_system(handler) as net:
            resp = await net.call(net.urls[0])
            assert resp.status_code == 502
            assert resp.headers["carobstand-outcome"] == "unknown"
            assert resp.headers["content-type"] == "application/problem+json"

    build.run(test)


@pytest.mark.parametrize("http2", [False, True])
def test_a_truncated_stream_ends_with_an_error_for_its_caller(http2):
    async def handler(scope, body, send):
        headers = [(b"content-type", b"text/event-stream"), (b"content-length", b"99")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        part = {"type": "http.response.body", "body": b"data: 1\n\n", "more_body": True}
        await send(part)

    async def test():
        async with build.running_system(handler) as net:
            net.client = httpx.AsyncClient(http1=not http2, http2=http2, timeout=5)
            with pytest.raises(httpx.RemoteProtocolError):
                await net.call(net.urls[0])

    build.run(test)


def test_malformed_requests_get_a_client_error_and_reach_no_backend_server():
    ran = []

    async def handler(scope, body, send):
        ran.append(body)
        await build.send_response(send, b"ok")

    async def test():
        async with build.running_system(handler, max_body_bytes=1000) as net:
            url = net.urls[0]
            post = {"path": "/v1/completions", "method": "POST"}
            for status, kw in [
                (400, {**post, "content": b"{"}),
                (400, {**post, "json": {"model": 5}}),
                (400, {**post, "json": {"model": "drafter", "prompt": 7}}),
                (404, {**post, "json": {"model": "other", "prompt": "x"}}),
                (413, {"method": "POST", "content": b"x" * 1001}),
                (404, {"path": "/services/none/x"}),
                (404, {"path": "/elsewhere"}),
                (405, {"path": "/v1/completions"}),
                (400, {"headers": {"carobstand-timeout": "soon"}}),
                (428, {"path": "/services/desk/pay", "method": "POST"}),
                (428, {"path": "/services/desk/x/../%70ay", "method": "POST"}),
            ]:
                resp = await net.call(url, **kw)
                assert resp.status_code == status, kw
                assert resp.headers["carobstand-outcome"] == "not-run"
            resp = await net.client.get(url + "/services/desk/x")
            assert resp.status_code == 401
            assert ran == []

    build.run(test)


def test_the_deadline_of_a_caller_ends_its_request_and_reaches_the_agent():
    async def handler(scope, body, send):
        await anyio.sleep(1)
        await build.send_response(send, b"late")

    async def test():
        async with build.running_system(handler) as net:
            resp = await net.call(net.urls[0], headers={"carobstand-timeout": "0.2"})
            assert resp.status_code == 504
            assert resp.headers["carobstand-outcome"] == "unknown"
            with anyio.fail_after(2):
                while net.agents[0].running_attempts:
                    await anyio.sleep(0.02)

    build.run(test)


def test_an_agent_refuses_an_attempt_that_was_revoked():
    async def handler(scope, body, send):
        await build.send_response(send, b"ok")

    async def test():
        async with build.running_system(handler) as net:
            replies = []

            async def collect(conn, message):
                replies.append(message)

            handlers = net.handlers["es1"]
            handlers[ttypes.RevokeReply] = handlers[ttypes.AnswerBatch] = collect
            conn = net.entries[0].agents["vm-1"].conn
            for message in (
                ttypes.Revoke(attempt_id=9, entry_start_id="es1"),
                ttypes.Attempt(
                    entry_start_id="es1",
                    agent_start_id="as1",
                    attempt_id=9,
                    service_name="desk",
                    method="GET",
                    path="/x",
                    deadline_ms=1000,
                ),
                ttypes.Revoke(attempt_id=9, entry_start_id="es1"),
            ):
                build.connection.post(conn, message)
            while len(replies) < 3:
                await anyio.sleep(0.01)
            assert replies[0].phase == ttypes.AttemptPhase.NOT_SEEN
            assert replies[1].frames[0].outcome == ttypes.Outcome.NOT_RUN
            assert replies[2].phase == ttypes.AttemptPhase.REFUSED

    build.run(test)
