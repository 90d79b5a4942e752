"""Guards against records of convicted parts that the store holds without a reason."""

import json

import anyio

from carobstand import part_records
from carobstand.core import part_ids
from carobstand.entry import rejections
from carobstand.standin.platform import kv
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes
from testing import platform_fleet, registration_faults

PART = part_ids.digest("c1")
KEY = part_records.key(PART)
HEADERS = [("Prompt-Prefix", "c1:40,d1:8")]


def run_running(check):
    """Run ``check(fleet)`` with one registered entry and an engine."""

    async def scenario():
        async with platform_fleet.deployed(1) as fleet:
            await platform_fleet.add_engine(fleet, "i-1")
            await platform_fleet.until(lambda: registration_faults.is_registered(fleet))
            await platform_fleet.until_ready(fleet.entries["entry-1"])
            await platform_fleet.until_usable(fleet, "i-1", "/s/x")
            await check(fleet)

    platform_fleet.run(scenario)


async def tell(fleet, **evidence):
    """Send evidence on the part to the entry, as another entry does."""
    dep = fleet.entries["entry-1"].deployment
    found = ttypes.PartEvidence(PART, [], probes=0, probed_ms=-1, **evidence)
    raw = fleet_codec.encode(ttypes.PartReport([found], "127.0.0.1:1"))
    async with await anyio.create_udp_socket(local_host="127.0.0.1") as udp:
        await udp.sendto(raw, dep.ip, dep.internal_ports[0])
    await anyio.sleep(0.1)


async def status(fleet):
    """Return the status of a request with the part."""
    answer = await platform_fleet.send_request(fleet, "/s/x", headers=HEADERS)
    return answer.status


def test_a_record_that_is_written_late_does_not_bring_an_ended_conviction_back():
    """A write without an answer was executed after an answer had cleared the part."""

    async def check(fleet):
        fleet.store.txn_faults.append(kv.Delay(3.0))
        await tell(fleet, convicted_ms=0)
        assert await status(fleet) == rejections.POISON_STATUS
        await platform_fleet.until(lambda: not fleet.store.txn_faults)
        await tell(fleet, sound_ms=0)
        assert await status(fleet) == 200
        # The entry removes the record at once; its log shows that it was written.
        await platform_fleet.until(lambda: was_written(fleet))
        await anyio.sleep(platform_fleet.CHANGE_DELAY_S)
        assert await status(fleet) == 200
        await platform_fleet.until(lambda: KEY not in fleet.store.items)

    run_running(check)


def was_written(fleet):
    """Whether the record of the part was ever written."""
    return any(key == KEY and item for _, key, item in fleet.store.log)


def test_a_removal_that_is_executed_late_spares_a_later_conviction():
    """A removal without an answer took away the record of a new conviction."""

    async def check(fleet):
        await tell(fleet, convicted_ms=0)
        await platform_fleet.until(lambda: KEY in fleet.store.items)
        await anyio.sleep(platform_fleet.CHANGE_DELAY_S)
        fleet.store.txn_faults.append(kv.Delay(2.5))
        await tell(fleet, sound_ms=0)
        await platform_fleet.until(lambda: not fleet.store.txn_faults)
        await anyio.sleep(0.1)
        kv.write(fleet.store, KEY, b"{}")
        created = fleet.store.items[KEY].created
        await anyio.sleep(0.4)
        await tell(fleet, convicted_ms=0)
        await anyio.sleep(3.0)
        assert fleet.store.items[KEY].created == created

    run_running(check)


def test_an_unproven_record_is_settled_by_a_trial_after_a_restart():
    """A wrong conviction outlasted a restart of all entries by a minute."""

    async def check(fleet):
        await platform_fleet.stop(fleet, "entry-1")
        record = {"is_proven": False, "crashes": 3, "late_trials": 0}
        kv.write(fleet.store, KEY, json.dumps(record).encode())
        await platform_fleet.add_entry(fleet, "entry-1")
        await platform_fleet.until_usable(fleet, "i-1", "/s/x")
        assert await status(fleet) == 200
        await platform_fleet.until(lambda: KEY not in fleet.store.items)

    run_running(check)


def test_a_suspicion_that_lasts_is_recorded_as_unproven():
    async def check(fleet):
        await tell(fleet, convicted_ms=0, is_proven=False, crashes=4, late_trials=1)
        assert KEY not in fleet.store.items
        await platform_fleet.until(lambda: KEY in fleet.store.items)
        found = part_records.decode(fleet.store.items[KEY].value)
        assert found == part_records.PartRecord(False, 4, 1)

    run_running(check)
