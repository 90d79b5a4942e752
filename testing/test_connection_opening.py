"""Tests of opened connections while the event loop pauses."""

import time

import anyio
import anyio.lowlevel
import pytest

from carobstand import errors, http1
from testing import platform_fleet

TIMEOUT_S = 0.3


def test_a_pause_of_the_loop_while_a_connection_opens_is_no_failure_of_its_server():
    """Guards against servers that are avoided since this process did not run."""

    async def scenario():
        async with platform_fleet.deployed(entries=0) as fleet:
            results = []

            async def connect():
                try:
                    results.append(await http1.connect(fleet.store_address, TIMEOUT_S))
                except errors.HttpError as exc:
                    results.append(exc)

            async with anyio.create_task_group() as tg:
                tg.start_soon(connect)
                await anyio.lowlevel.checkpoint()
                time.sleep(2 * TIMEOUT_S)
            assert isinstance(results[0], http1.Connection)

    platform_fleet.run(scenario)


def test_a_server_that_does_not_accept_is_tried_once(monkeypatch):
    """Guards against a second wait for it without a pause of the loop."""
    attempts = []

    async def connect_tcp(host, port):
        attempts.append(host)
        await anyio.sleep_forever()

    async def check():
        with pytest.raises(errors.HttpError):
            await http1.connect("127.0.0.1:1", TIMEOUT_S)

    monkeypatch.setattr(anyio, "connect_tcp", connect_tcp)
    anyio.run(check)
    assert len(attempts) == 1
