"""Guards against frequent dials to lost entries and connections to a wrong peer."""

import types

import anyio

from carobstand import errors
from carobstand.platform import vms
from carobstand.wire import connection, dialing


def entry(name):
    return vms.Vm(name, "entry", f"127.0.0.1:{len(name)}", "fd", "r")


def dials_within(monkeypatch, seconds, dial, connected=()):
    """Return the addresses dialled and the peers run within `seconds`."""
    dialled, ran = [], []
    state = types.SimpleNamespace(
        vms=(entry("e1"), entry("e22")), cfg=types.SimpleNamespace(insecure=True)
    )

    async def record(address, hello, context):
        dialled.append(address)
        return await dial(address)

    async def run(conn):
        ran.append(conn.peer.vm)
        await anyio.sleep_forever()

    async def body():
        with anyio.move_on_after(seconds):
            await dialing.keep_connected(
                state, lambda: None, sorted, lambda name: name in connected, run
            )

    monkeypatch.setattr(connection, "dial", record)
    anyio.run(body)
    return dialled, ran


async def refuse(address):
    raise errors.ConnectionClosedError("refused", step="wire.dial", peer=address)


def test_dials_to_an_entry_that_refuses_back_off(monkeypatch):
    monkeypatch.setattr(dialing, "REDIAL_INTERVAL_S", 0.01)
    monkeypatch.setattr(dialing, "MAX_REDIAL_BACKOFF_S", 30.0)
    dialled, ran = dials_within(monkeypatch, 1.0, refuse)
    assert 0 < dialled.count("127.0.0.1:2") < 12
    assert not ran


def test_a_connected_entry_is_not_dialled(monkeypatch):
    dialled, _ = dials_within(monkeypatch, 0.1, refuse, connected=("e1",))
    assert dialled == ["127.0.0.1:3"]


def test_another_vm_at_the_listed_address_is_not_used(monkeypatch):
    class Stream:
        async def aclose(self):
            await anyio.sleep(0)

    async def answer(address):
        peer = types.SimpleNamespace(vm="stranger")
        return types.SimpleNamespace(peer=peer, stream=Stream())

    _, ran = dials_within(monkeypatch, 0.1, answer)
    assert ran == []
