"""Guards against bad input that stops a process or gives an error without details."""

import functools

import anyio
import attrs
import eliot
import httpx
import pytest

from carobstand import errors, local, local_fleet, local_traffic, logs, runtime
from carobstand.agent import main as agent_main
from carobstand.cli import edits, publish
from carobstand.core import manifest as manifests
from carobstand.entry import main as entry_main
from carobstand.entry import planning, store_watch
from carobstand.platform import origin as origins
from carobstand.platform import store as stores
from carobstand.standin import faults, generation, origin, store, web
from testing.test_standins import serving

PORT_SETTINGS = [
    ("entry", "listen"),
    ("entry", "status_listen"),
    ("entry", "http_listen"),
    ("agent", "listen"),
    ("agent", "status_listen"),
    ("agent", "weights_listen"),
]


@pytest.mark.parametrize(("role", "setting"), PORT_SETTINGS)
def test_a_port_in_use_prints_one_line_with_setting_and_address(role, setting, capsys):
    fleet = local_fleet.build(1, 1 << 20, seed=1)
    taken = web.bind(store.site())
    cfg = fleet.entries["entry-1"] if role == "entry" else fleet.agents["vm-1"]
    serve = entry_main.serve if role == "entry" else agent_main.serve
    assert runtime.run(serve, attrs.evolve(cfg, **{setting: taken.address})) == 2
    line = capsys.readouterr().err
    assert line.count("\n") == 1
    assert setting in line and taken.address in line
    for site in (taken, *fleet.sites.values()):
        site.listener.close()


@pytest.mark.parametrize("change", ["grow", "remove", "add"])
def test_weights_that_change_while_they_are_read_are_not_published(tmp_path, change):
    (tmp_path / "a.bin").write_bytes(b"a" * 3_000_000)
    (tmp_path / "b.bin").write_bytes(b"b" * 1000)
    state = origin.OriginState()

    def on_chunk(done, total):
        if change == "grow":
            with (tmp_path / "a.bin").open("ab") as file:
                file.write(b"more")
        elif change == "remove":
            (tmp_path / "b.bin").unlink(missing_ok=True)
        else:
            (tmp_path / "c.bin").write_bytes(b"c")

    async def main():
        site = origin.site(state)
        async with serving(site):
            client = origins.http_origin(site.url)
            with pytest.raises(errors.WeightsError) as info:
                await publish.publish(client, tmp_path, on_chunk)
            await client.close()
            assert info.value.step == "publish"
            assert str(tmp_path) in info.value.peer

    anyio.run(main)
    assert state.blobs["manifests"] == {}


STORE_FAULTS = [
    {"garbage": True},
    {"slow_s": 1.0},
    {"never": True},
    {"down": True},
    {"status": 500},
]


@pytest.fixture
def events(monkeypatch):
    """Collect the log events of the test."""
    found = []
    monkeypatch.setattr(logs.STATE, "configured", True)
    eliot.add_destinations(found.append)
    yield found
    eliot.remove_destination(found.append)


@pytest.fixture
def short_timeouts(monkeypatch):
    """Shorten the timeouts and delays for a store that does not respond."""
    short = functools.partial(stores.http_store, timeout_s=0.3)
    monkeypatch.setattr(stores, "http_store", short)
    monkeypatch.setattr(store_watch, "WAIT_S", 0.2)
    monkeypatch.setattr(store_watch, "MAX_BACKOFF_S", 0.3)
    monkeypatch.setattr(edits, "ACCEPT_TIMEOUT_S", 0.5)
    monkeypatch.setattr(planning, "SETTLE_S", 0.3)


def test_store_faults_do_not_interrupt_requests_or_stop_processes(
    events, short_timeouts
):
    async def main():
        fleet = local_fleet.build(1, 1 << 26, seed=1)
        store_site = fleet.sites["store"]
        with anyio.fail_after(60):
            async with anyio.create_task_group() as tg:
                await local_fleet.start(fleet, tg)
                digest = await _serve_one_version(fleet)
                for number, fault in enumerate(STORE_FAULTS):
                    del events[:]
                    faults.update(store_site.switches, fault)
                    await _wait_until(lambda: _events_named(events, "store.down"))
                    down = _events_named(events, "store.down")[0]
                    assert down["step"].startswith("store.")
                    assert store_site.address in down["peer"]
                    await _send_requests(fleet, digest)
                    with pytest.raises(errors.StoreError) as info:
                        await _accept_weight(fleet, digest, weight=number + 2)
                    assert info.value.step and store_site.address in info.value.peer
                    faults.reset(store_site.switches)
                    await _wait_until(lambda: _events_named(events, "store.up"))
                    await _send_requests(fleet, digest)
                del events[:]
                web.freeze(store_site)
                await _accept_weight(fleet, digest, weight=50)
                await _wait_until(lambda: _events_named(events, "table.applied"))
                store.write(fleet.store, "config/table", b"\xff garbage")
                await _wait_until(
                    lambda: _events_named(events, "store.content_refused")
                )
                await _send_requests(fleet, digest)
                assert await local_fleet.stop(fleet, 10) == []
                tg.cancel_scope.cancel()

    anyio.run(main)


def _events_named(events, name):
    return [event for event in events if event.get("message_type") == name]


async def _wait_until(condition):
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.02)


async def _serve_one_version(fleet):
    manifest, chunks = manifests.build([("model.bin", b"weights")])
    encoded = manifests.encode(manifest)
    origin.publish(fleet.origin, encoded, chunks)
    digest = manifests.digest_of(encoded)
    await _accept_weight(fleet, digest, weight=1)
    await local_fleet.wait_serving(fleet, digest, 20, lambda *_: None)
    return digest


async def _accept_weight(fleet, digest, weight):
    client = stores.http_store(fleet.url("store"))
    try:
        rows = local.table_rows(fleet, {"v1": (digest, weight)}, {})
        await local.accept(client, rows, "test")
    finally:
        await client.close()


async def _send_requests(fleet, digest):
    """Send a request to each entry and check its complete response."""
    headers = {"Authorization": f"Bearer {local_traffic.CUSTOMER_KEY}"}
    payload = {"model": local_fleet.SERVICE, "prompt": "hello", "max_tokens": 2}
    expected = generation.expected_body("v1", digest, "hello", 2, False)
    async with httpx.AsyncClient(headers=headers, trust_env=False) as client:
        for cfg in fleet.entries.values():
            url = f"http://{cfg.http_listen}/v1/completions"
            resp = await client.post(url, json=payload)
            while resp.headers["carobstand-outcome"] == "not-run":
                await anyio.sleep(0.2)
                resp = await client.post(url, json=payload)
            assert (resp.status_code, resp.content) == (200, expected)
