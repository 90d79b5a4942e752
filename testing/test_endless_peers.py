"""Guards against a peer whose bytes never end, at each caller of the system.

A machine that kept them all ran out of memory, and the requests of other callers ended
with it. Neither memory nor processor time may grow with what one peer sends.
"""

import time
import tracemalloc

import anyio
import pytest

from carobstand import errors, http1_calls
from carobstand.core import routes, weight_sources
from carobstand.entry import change_relay
from carobstand.platform import engine_client, kv
from carobstand.transfer import origin_download, piece_stream, relayed_configuration
from testing import endless_peer, platform_fleet

MAX_CALL_S = 6.0
"""Longest time of a call: bytes that keep arriving are received up to a size."""

MAX_PROCESSOR_S = 4.0
"""Of the caller and of the peer, which runs in the same process."""

MAX_GROWTH_BYTES = 24_000_000

TIMEOUTS = piece_stream.Timeouts(silence_s=1.0, stuck_s=2.0)

STORE_CALLS = {
    "get": lambda store: kv.get(store, "k"),
    "list": lambda store: kv.list_prefix(store, "k"),
    "watch": lambda store: kv.watch(store, "", 1, 0.5),
    "put": lambda store: kv.put(store, "k", b"v"),
    "lease": lambda store: kv.grant_lease(store, 5.0),
}
ENGINE_CALLS = {
    "report": engine_client.fetch_report,
    "order": lambda caller: engine_client.load_staged(caller, "m", 2, 0),
    "stage": lambda caller: engine_client.stage_piece(caller, "m", 0, b"data"),
    "staged": lambda caller: engine_client.fetch_staged_piece(caller, "m", 0),
    "held": lambda caller: engine_client.list_staged_pieces(caller, "m"),
}


def entry_at(address):
    """Return the `Entry` of another process."""
    return weight_sources.Entry("entry-9", address, "a", "north")


FRAME_CALLS = {
    "offer": lambda address: piece_stream.receive_offer(address, "m", 1, TIMEOUTS),
    "changes": lambda address: change_relay.ask_for_newer(entry_at(address), 1),
    "configuration": lambda address: relayed_configuration.ask(
        address, services_only=True
    ),
}


def check_bounded(kind, call):
    """Check that ``call(address)`` fails in time and with bounded work and memory."""

    async def check():
        address = f"127.0.0.1:{platform_fleet.free_port()}"
        peer = endless_peer.Peer(kind)
        async with anyio.create_task_group() as tg:
            tg.start_soon(endless_peer.serve, peer, address)
            await platform_fleet.wait_bound(address)
            tracemalloc.start()
            began, began_s = anyio.current_time(), time.process_time()
            with pytest.raises(errors.CarobstandError):
                await call(address)
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert anyio.current_time() - began < MAX_CALL_S
            assert time.process_time() - began_s < MAX_PROCESSOR_S
            assert peak < MAX_GROWTH_BYTES
            assert peer.connections > 1
            tg.cancel_scope.cancel()

    platform_fleet.run(check)


@pytest.mark.parametrize("kind", endless_peer.KINDS)
@pytest.mark.parametrize("name", STORE_CALLS)
def test_a_call_of_the_store_ends(kind, name):
    check_bounded(kind, lambda address: STORE_CALLS[name](kv.connect(address)))


@pytest.mark.parametrize("kind", endless_peer.KINDS)
@pytest.mark.parametrize("name", ENGINE_CALLS)
def test_a_call_of_an_engine_by_its_agent_ends(kind, name):
    def call(address):
        return ENGINE_CALLS[name](http1_calls.Client(address))

    check_bounded(kind, call)


@pytest.mark.parametrize("kind", endless_peer.KINDS)
def test_a_call_of_the_origin_ends(kind):
    def call(address):
        origin = routes.Origin(
            address=address, failure_domain="a", bytes_per_s=1e6, max_connections=8
        )
        return origin_download.fetch_manifest(origin, "m", 1)

    check_bounded(kind, call)


@pytest.mark.parametrize("kind", endless_peer.FRAMES)
@pytest.mark.parametrize("name", FRAME_CALLS)
def test_a_call_of_another_entry_or_agent_ends(kind, name):
    check_bounded(kind, FRAME_CALLS[name])


@pytest.mark.parametrize("kind", ["tiny chunks", "enormous length", "interim heads"])
def test_an_agent_beside_an_endless_engine_works_little_and_recovers(kind):
    """The agent asks its engine several times a second."""

    async def check():
        async with platform_fleet.deployed(1) as fleet:
            backend_server = platform_fleet.build_engine(fleet, "i-1", version=None)
            peer = endless_peer.Peer(kind)
            with anyio.CancelScope() as scope:
                async with anyio.create_task_group() as tg:
                    tg.start_soon(endless_peer.serve, peer, backend_server.address)
                    await platform_fleet.wait_bound(backend_server.address)
                    await platform_fleet.add_agent(fleet, backend_server)
                    platform_fleet.name_version(fleet, 2)
                    began_s = time.process_time()
                    await anyio.sleep(4.0)
                    assert peer.connections > 2
                    assert time.process_time() - began_s < 2.0
                    scope.cancel()
            await platform_fleet.start_engine(fleet, backend_server)
            await platform_fleet.until(lambda: backend_server.version == 2, 15.0)

    platform_fleet.run(check, timeout_s=40.0)
