"""Tests of a listener that cannot accept connections while it is to end."""

import errno
import socket

import anyio
import anyio.abc
import pytest

from carobstand import http1_server
from carobstand.core import deployment
from carobstand.wire import socket_streams
from testing import platform_fleet


def refuse(raw):
    """Fail as `accept` does while no file descriptor is free."""
    raise OSError(errno.EMFILE, "no file descriptor is free")


async def handle(request, reply):
    raise AssertionError("no request is accepted")


@pytest.mark.parametrize("ends_by", ["cancellation", "shutdown"])
def test_a_listener_ends_while_no_file_descriptor_is_free(monkeypatch, ends_by):
    """Guards against a process that has to be killed: its accept loop never ended."""
    monkeypatch.setattr(socket_streams, "accept", refuse)
    monkeypatch.setattr(http1_server, "ACCEPT_PENDING_S", 0.2)

    async def scenario():
        address = f"{platform_fleet.new_host()}:{platform_fleet.free_port()}"
        server = http1_server.Server(http1_server.Limits, handle)
        ended = anyio.Event()

        async def listen():
            try:
                await http1_server.listen(server, address)
            finally:
                ended.set()

        with socket.socket() as caller:
            caller.setblocking(False)
            async with anyio.create_task_group() as tg:
                tg.start_soon(listen)
                await anyio.sleep(0.1)
                caller.connect_ex(deployment.split_address(address))
                await anyio.sleep(0.2)
                if ends_by == "cancellation":
                    tg.cancel_scope.cancel()
                else:
                    http1_server.begin_shutdown(server)
                with anyio.move_on_after(2.0, shield=True):
                    await ended.wait()
                if not ended.is_set():
                    monkeypatch.undo()
                assert ended.is_set()

    platform_fleet.run(scenario)
