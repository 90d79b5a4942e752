"""Tests of requests that are withdrawn before their server has received them."""

import contextlib
import socket

import anyio
import pytest

from carobstand import http1
from carobstand.standin.platform import kv
from testing import platform_fleet

BODY = b"x" * 60_000


@contextlib.asynccontextmanager
async def listening(host, port):
    """Yield a listening socket whose connections take few unread bytes."""
    with socket.socket() as raw:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        raw.bind((host, port))
        raw.listen()
        raw.setblocking(False)
        yield raw


async def accept(listener):
    """Return the next accepted connection, none of whose bytes were read."""
    await anyio.wait_readable(listener)
    raw, _ = listener.accept()
    raw.setblocking(False)
    return raw


async def read_all(raw):
    """Return what arrives on a connection until it ends or is reset."""
    found = b""
    with raw:
        while True:
            await anyio.wait_readable(raw)
            try:
                data = raw.recv(65536)
            except ConnectionResetError:
                return found
            if not data:
                return found
            found += data


def register(fleet, listener):
    """Register a plain service at the listener's address."""
    host, port = listener.getsockname()
    record = {
        "service": "desk",
        "address": f"{host}:{port}",
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "sequence": 1,
        "born": 1000,
    }
    kv.write_json(fleet.store, "servers/e-1", record)


@pytest.mark.parametrize("path", ["/q/x", "/o/x"])
@pytest.mark.parametrize("has_left", [False, True])
def test_a_server_does_not_receive_a_request_whose_caller_left_meanwhile(
    has_left, path
):
    """Guards against requests that the kernel delivers after they were withdrawn."""

    async def ask(fleet):
        if not has_left:
            return await platform_fleet.send_request(
                fleet, path, body=BODY, deadline_s=0.4
            )
        with anyio.move_on_after(0.3):
            await platform_fleet.send_request(fleet, path, body=BODY)

    async def scenario():
        async with (
            platform_fleet.deployed() as fleet,
            listening(platform_fleet.new_host(), fleet.port + 20) as listener,
        ):
            register(fleet, listener)
            await platform_fleet.until_ready(fleet.entries["entry-1"])
            await platform_fleet.until_usable(fleet, "e-1", path)
            await ask(fleet)
            await anyio.sleep(0.6)
            raw = await accept(listener)
            with anyio.fail_after(5.0):
                received = await read_all(raw)
            assert BODY not in received

    platform_fleet.run(scenario)


def test_a_connection_whose_request_was_received_is_closed_without_a_reset():
    """Guards against lost resets, after which a server works on for nobody."""

    async def scenario():
        async with listening(platform_fleet.new_host(), 0) as listener:
            host, port = listener.getsockname()
            conn = await http1.connect(f"{host}:{port}", 1.0)
            await http1.send(conn, b"GET", b"/", [(b"Host", b"a")])
            raw = await accept(listener)
            await anyio.sleep(0.05)
            await http1.close(conn)
            with raw:
                await anyio.wait_readable(raw)
                while raw.recv(65536):
                    await anyio.wait_readable(raw)

    platform_fleet.run(scenario)
