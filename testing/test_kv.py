"""Reads of the platform's store time out when no data arrives, not by total time."""

import contextlib

import anyio
import pytest

from carobstand import errors
from carobstand.platform import kv
from testing import platform_fleet as fleets

PIECE = b'{"key":"op/x","value":"","revision":1},' * 400


async def _serve(port, pieces, pause_s):
    """Respond to one range read in pieces with pauses; keep the connection open."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    body = b'{"store_revision":1,"items":[' + PIECE * pieces
    body = body.rstrip(b",") + b"]}"

    async def answer(stream):
        try:
            await stream.receive()
        except anyio.EndOfStream:
            return
        await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        step = len(body) // pieces
        with contextlib.suppress(anyio.BrokenResourceError):
            for start in range(0, len(body), step):
                await anyio.sleep(pause_s)
                await stream.send(body[start : start + step])
            await anyio.sleep_forever()

    await listener.serve(answer)


def run_with_store(pieces, pause_s, check):
    """Run ``check(store)`` against a store that responds as `_serve` does."""

    async def test():
        port = fleets.free_port()
        async with anyio.create_task_group() as tg:
            tg.start_soon(_serve, port, pieces, pause_s)
            await fleets.wait_bound(f"127.0.0.1:{port}")
            await check(kv.connect(f"127.0.0.1:{port}"))
            tg.cancel_scope.cancel()

    fleets.run(test)


def test_a_large_read_over_a_slow_link_completes():
    async def check(store):
        began = anyio.current_time()
        changes = await kv.list_prefix(store, "op/")
        assert len(changes.items) == 400 * 10
        assert anyio.current_time() - began > kv.CALL_TIMEOUT_S

    run_with_store(10, 0.25, check)


def test_a_read_that_makes_no_progress_times_out():
    async def check(store):
        began = anyio.current_time()
        with pytest.raises(errors.StoreUnavailableError):
            await kv.list_prefix(store, "op/")
        assert anyio.current_time() - began < 2 * kv.CALL_TIMEOUT_S

    run_with_store(2, 60.0, check)


def run_with_eras(eras, check):
    """Run ``check(store)`` against a store whose responses name one era each.

    Parameters
    ----------
    eras : list of bytes
        Values of ``Store-Era``, in the order of the responses.
    check : async callable of (platform.kv.Store)
    """
    body = b'{"store_revision":7,"items":[],"events":[],"has_more":false}'

    async def answer(stream):
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                await stream.receive()
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
                era = b"Store-Era: %s\r\n\r\n" % eras.pop(0)
                await stream.send(head + era + body)

    async def test():
        port = fleets.free_port()
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port
        )
        async with anyio.create_task_group() as tg:
            tg.start_soon(listener.serve, answer)
            await check(kv.connect(f"127.0.0.1:{port}"))
            tg.cancel_scope.cancel()

    fleets.run(test)


def test_a_response_of_an_earlier_era_is_not_used():
    async def check(store):
        assert (await kv.watch(store, "", 3, 0.0)).era == 1
        assert (await kv.list_prefix(store, "op/")).era == 3
        with pytest.raises(errors.StoreUnavailableError):
            await kv.watch(store, "", 7, 0.0)
        assert (await kv.watch(store, "", 7, 0.0)).era == store.era == 3

    run_with_eras([b"1", b"3", b"2", b"3"], check)


@pytest.mark.parametrize("era", [b"", b"new", b"-1", b"2.5"])
def test_a_malformed_era_is_an_error_of_the_store(era):
    async def check(store):
        with pytest.raises(errors.StoreUnavailableError):
            await kv.watch(store, "", 3, 0.0)
        assert (await kv.watch(store, "", 3, 0.0)).era == 1

    run_with_eras([era, b"1"], check)
