"""A proxy of hypercorn and httpx alone, the baseline for the forwarding rate."""

import sys

import anyio
import httpx

from carobstand import webserver


def app(url):
    """Return an ASGI application that passes every request on to `url`."""
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


def main():
    """Serve on the address given first; pass on to the URL given second."""
    address, url = sys.argv[1:]
    anyio.run(webserver.serve, app(url), address, anyio.Event())


if __name__ == "__main__":
    main()
