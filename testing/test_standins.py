"""Guards against stand-ins that are more lenient or stricter than the platform."""

import contextlib
import hashlib

import anyio
import httpx
import pytest

from carobstand import errors, runtime, settings
from carobstand.platform import origin as origin_adapter
from carobstand.platform import store as store_adapter
from carobstand.platform import vms as vms_adapter
from carobstand.standin import faults, main, origin, plain, store, vms, web


def run(main):
    """Run an async test with a time limit."""

    async def bounded():
        with anyio.fail_after(20):
            await main()

    anyio.run(bounded)


@contextlib.asynccontextmanager
async def serving(*sites):
    """Serve stand-ins for the duration of the block."""
    async with anyio.create_task_group() as tg:
        for site in sites:
            await tg.start(web.serve, site)
        yield
        tg.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def serving_store(timeout_s=2.0):
    site = store.site()
    async with serving(site):
        client = store_adapter.http_store(site.url, timeout_s)
        yield site, client
        await client.close()


def test_a_write_with_an_outdated_revision_changes_nothing():
    async def main():
        async with serving_store() as (_, client):
            first = await client.put("config/table", b"1", expect=0)
            await client.put("config/table", b"2", expect=first.revision)
            for expect in (0, first.revision):
                with pytest.raises(errors.ConflictError):
                    await client.put("config/table", b"3", expect=expect)
            assert (await client.get("config/table")).value == b"2"
            with pytest.raises(errors.ConflictError):
                await client.delete("config/table", expect=first.revision)

    run(main)


def test_a_watch_reports_writes_and_deletions_after_its_revision():
    async def main():
        async with serving_store() as (_, client):
            old = await client.put("config/a", b"a")
            found = []

            async def watch():
                found.append(await client.watch("config/", old.revision, 5))

            async with anyio.create_task_group() as tg:
                tg.start_soon(watch)
                await anyio.sleep(0.05)
                await client.put("other", b"x")
                await client.put("config/b", b"b")
            assert [(i.key, i.value) for i in found[0].items] == [("config/b", b"b")]
            await client.delete("config/a")
            later = await client.watch("config/", found[0].revision, 5)
            assert [(i.key, i.value) for i in later.items] == [("config/a", None)]
            assert (await client.watch("config/", later.revision, 0.05)).items == ()

    run(main)


def test_an_expired_lease_deletes_its_keys_and_cannot_be_renewed():
    async def main():
        async with serving_store() as (_, client):
            lease = await client.grant(0.2)
            held = await client.put("lease/planner", b"entry-1", lease=lease)
            gone = await client.watch("lease/", held.revision, 5)
            assert gone.items[0].value is None
            assert await client.get("lease/planner") is None
            with pytest.raises(errors.ConflictError):
                await client.keep_alive(lease)
            with pytest.raises(errors.ConflictError):
                await client.put("lease/planner", b"entry-1", lease=lease)

    run(main)


def test_a_write_persists_when_its_response_is_lost():
    async def main():
        async with serving_store() as (site, client):
            faults.update(site.switches, {"lose_answers": 1})
            with pytest.raises(errors.StoreUnavailableError, match="no answer"):
                await client.put("config/table", b"new", expect=0)
            assert (await client.get("config/table")).value == b"new"

    run(main)


@pytest.mark.parametrize(
    ("values", "message"),
    [
        ({"down": True}, "no answer"),
        ({"status": 503}, "status 503"),
        ({"never": True}, "no answer"),
        ({"garbage": True}, "malformed"),
    ],
)
def test_each_store_fault_is_an_error_that_names_step_and_peer(values, message):
    async def main():
        async with serving_store(timeout_s=0.3) as (site, client):
            async with httpx.AsyncClient(base_url=site.url) as control:
                resp = await control.post("/standin/faults", json=values)
                assert resp.status_code == 200
                with pytest.raises(errors.StoreUnavailableError, match=message) as info:
                    await client.list("config/")
                assert info.value.step.startswith("store.")
                assert site.address in info.value.peer
                await control.delete("/standin/faults")
            assert (await client.list("config/")).items == ()

    run(main)


def test_a_stale_read_returns_old_state_but_a_write_is_checked_against_the_new():
    async def main():
        async with serving_store() as (site, client):
            old = await client.put("config/table", b"old")
            faults.update(site.switches, {"stale": True})
            assert (await client.get("config/table")).value == b"old"
            await client.put("config/table", b"new", expect=old.revision)
            assert (await client.get("config/table")) == old
            assert (await client.list("config/")).items == (old,)
            with pytest.raises(errors.ConflictError):
                await client.put("config/table", b"lost", expect=old.revision)
            faults.reset(site.switches)
            assert (await client.get("config/table")).value == b"new"

    run(main)


def test_a_frozen_connection_stays_open_without_a_response_and_a_new_one_works():
    async def main():
        async with serving_store(timeout_s=0.3) as (site, client):
            await client.put("key", b"1")
            web.freeze(site)
            with pytest.raises(errors.StoreUnavailableError, match="ReadTimeout"):
                await client.get("key")
            assert (await client.get("key")).value == b"1"

    run(main)


def test_an_unknown_switch_or_value_changes_no_switch():
    switches = faults.Switches()
    for values in ({"down": True, "dwon": 1}, {"down": True, "lose_share": 2}):
        with pytest.raises(errors.SettingsError, match="dwon|lose_share"):
            faults.update(switches, values)
        assert not switches.down


def test_the_store_queues_calls_above_its_rate():
    async def main():
        state = store.StoreState(writes_per_s=50)
        site = store.site(state)
        async with serving(site):
            client = store_adapter.http_store(site.url)
            started_at = anyio.current_time()
            for number in range(11):
                await client.put(f"key/{number}", b"x")
            assert anyio.current_time() - started_at >= 10 / 50
            assert state.calls["put"] == 11
            await client.close()

    run(main)


def test_the_origin_keeps_its_rate_over_all_downloads_and_counts_bytes():
    async def main():
        state = origin.OriginState(bytes_per_s=1_000_000)
        site = origin.site(state)
        data = bytes(100_000)
        digest = hashlib.sha256(data).hexdigest()
        async with serving(site):
            client = origin_adapter.http_origin(site.url)
            await client.publish_chunk(digest, data)
            started_at = anyio.current_time()
            async with anyio.create_task_group() as tg:
                for _ in range(3):
                    tg.start_soon(client.chunk, digest)
            assert anyio.current_time() - started_at >= 0.3
            assert state.sent_bytes["chunk"] == 300_000
            with pytest.raises(errors.OriginError, match="400"):
                await client.publish_chunk("0" * 64, data)
            faults.update(site.switches, {"corrupt_share": 1})
            assert await client.chunk(digest) != data
            await client.close()

    run(main)


def test_the_vm_list_lags_behind_the_actual_vms():
    async def main():
        state = vms.VmsState()
        site = vms.site(state)
        vm = vms_adapter.Vm("vm-1", "agent", "127.0.0.1:1", "muscat-a", "muscat")
        async with serving(site):
            client = vms_adapter.http_vm_list(site.url)
            vms.put(state, vm)
            assert await client.fetch() == (vm,)
            added = anyio.current_time()
            state.lag_s = 100.0
            vms.remove(state, "agent", "vm-1")
            assert vms.listed_vms(state, added + 99) == ()
            assert vms.listed_vms(state, added + 100) == (vm,)
            assert vms.listed_vms(state, anyio.current_time() + 100) == ()
            await client.close()

    run(main)


def test_the_plain_service_reports_an_order_that_ran_twice():
    async def main():
        state = plain.PlainState("order-desk")
        site = plain.site(state)
        async with serving(site):
            async with httpx.AsyncClient(base_url=site.url) as client:
                for order in ("1", "2", "2"):
                    resp = await client.post("/orders", json={"order_id": order})
                    assert resp.json()["order_id"] == order
                faults.update(site.switches, {"lose_answers": 1})
                with pytest.raises(httpx.RemoteProtocolError):
                    await client.post("/orders", json={"order_id": "3"})
                stats = (await client.get("/standin/stats")).json()
        assert stats["runs"] == {"1": 1, "2": 2, "3": 1}
        assert stats["doubled"] == ["2"]

    run(main)


def test_an_address_in_use_is_named_in_the_error():
    site = web.bind(store.site())
    with pytest.raises(errors.SettingsError, match="in use") as info:
        web.bind(origin.site(), site.address)
    assert info.value.peer == site.address
    site.listener.close()


def test_a_port_in_use_stops_the_program_with_one_line(capsys):
    site = web.bind(store.site())
    argv = ["all", "--listen", site.address]
    cfg = settings.load(settings.StandinSettings, argv, {})
    assert runtime.run(main.serve, cfg) == 2
    line = capsys.readouterr().err
    assert line.count("\n") == 1
    assert "--listen" in line and site.address in line
    site.listener.close()
