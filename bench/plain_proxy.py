"""A proxy built only on hypercorn and httpx, the baseline for the forwarding rate.

Without an upstream URL it serves the streams that such a proxy forwards.
"""

import sys

import anyio
import httpx

from bench import fake_agent
from carobstand import webserver


def proxy_app(url):
    """Return an ASGI application that forwards every request to `url`."""
    client = httpx.AsyncClient(base_url=url, timeout=60, trust_env=False)

    async def application(scope, receive, send):
        if scope["type"] == "lifespan":
            while True:
                message = await receive()
                await send({"type": f"{message['type']}.complete"})
                if message["type"] == "lifespan.shutdown":
                    return
        body, more = b"", True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        async with client.stream(scope["method"], scope["path"], content=body) as resp:
            headers = [
                (name.lower(), value)
                for name, value in resp.headers.raw
                if name.lower() not in (b"transfer-encoding", b"connection")
            ]
            start = {"type": "http.response.start", "status": resp.status_code}
            await send({**start, "headers": headers})
            async for data in resp.aiter_raw():
                part = {"type": "http.response.body", "body": data}
                await send({**part, "more_body": True})
        await send({"type": "http.response.body", "body": b""})

    return application


async def source(scope, receive, send):
    """Respond to every request with the stream that `bench.fake_agent` sends."""
    if scope["type"] == "lifespan":
        while True:
            message = await receive()
            await send({"type": f"{message['type']}.complete"})
            if message["type"] == "lifespan.shutdown":
                return
    headers = [(b"content-type", b"text/event-stream")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    due = anyio.current_time()
    for _ in range(fake_agent.TOKENS_PER_STREAM):
        due += fake_agent.STEP_S
        await anyio.sleep_until(due)
        part = {"type": "http.response.body", "body": fake_agent.TOKEN_EVENT}
        await send({**part, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


def main():
    """Serve on the first argument's address; forward to the second's URL, if given."""
    address, *url = sys.argv[1:]
    application = proxy_app(url[0]) if url else source
    anyio.run(webserver.serve, application, address, anyio.Event())


if __name__ == "__main__":
    main()
