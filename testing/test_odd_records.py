"""Guards against a record of another writer that costs more than itself.

An odd record beside that of a sound server once made entries answer 502 to all requests
of the service, until the record was removed.
"""

import json

import anyio
import pytest

from carobstand import entry_records, errors, eventlog, part_records
from carobstand.core import part_ids
from carobstand.entry import fleet, store_items, versions
from carobstand.platform import kv as platform_kv
from carobstand.platform import records
from carobstand.standin.platform import kv
from testing import platform_builders as build
from testing import platform_fleet

HUGE = 10**400
"""An integer that no floating-point number can hold."""

REQUESTS = 30

ODD_FIELDS = {
    "port above the largest": {"address": "127.0.0.1:70000"},
    "port 0": {"address": "127.0.0.1:0"},
    "no IP address": {"address": "1:2:3:9001"},
    "only dots": {"address": "...:9001"},
    "huge slots": {"slots": HUGE},
    "negative slots": {"slots": -4},
    "huge start": {"born": HUGE},
    "fractional start": {"born": 1.5},
    "huge sequence": {"sequence": HUGE},
    "huge version": {"models": [{"name": "m", "version": HUGE}]},
    "version above 32 bits": {"models": [{"name": "m", "version": 2**31}]},
    "huge layers": {"layers": {"from": 0, "to": HUGE, "version": 1}},
    "layers of another type": {"layers": [[[]]]},
    "no service": {"service": ""},
    "zone with line breaks": {"zone": "a\r\nX: 1"},
    "zone with half of a character": {"zone": "\ud800"},
    "long zone": {"zone": "a" * 100_000},
}

ODD_BYTES = {
    "nested objects": b'{"a":' * 100_000,
    "nested lists": b"[" * 100_000 + b"]" * 100_000,
    "no UTF-8": b"\xff\xfe{",
    "5000 digits": b'{"slots":' + b"9" * 5000 + b"}",
}


def odd_records(service):
    """Return odd registrations of a service, as bytes by name."""
    sound = build.server_record(service=service)
    changed = {name: {**sound, **change} for name, change in ODD_FIELDS.items()}
    return ODD_BYTES | {
        name: json.dumps(item).encode() for name, item in changed.items()
    }


@pytest.mark.parametrize("name", odd_records("desk"))
def test_an_odd_registration_is_rejected(name):
    with pytest.raises(errors.RecordError) as caught:
        records.decode_registration("servers/i-1", odd_records("desk")[name])
    assert len(caught.value.message) < 300


@pytest.mark.parametrize("server_id", ["", " ", "i\r\nX: 1", "\ud800", "a" * 201])
def test_a_registration_needs_an_id_that_a_header_can_carry(server_id):
    raw = build.encode_record(build.server_record())
    with pytest.raises(errors.RecordError):
        records.decode_registration(f"servers/{server_id}", raw)


async def _statuses(running, path, entry):
    found = []
    for _ in range(REQUESTS):
        answer = await platform_fleet.send_request(running, path, entry=entry)
        found.append(answer.status)
    return found


def test_odd_records_beside_a_sound_server_cost_no_request():
    async def test():
        async with platform_fleet.deployed(1) as running:
            await platform_fleet.add_engine(running, "i-1", service="desk")
            await platform_fleet.until_usable(running, "i-1", "/q/")
            for number, raw in enumerate(odd_records("desk").values()):
                kv.write(running.store, f"servers/odd-{number}", raw)
            kv.write(running.store, "servers/", odd_records("desk")["huge slots"])
            await platform_fleet.add_entry(running, "entry-2")
            await platform_fleet.until_usable(running, "i-1", "/q/", "entry-2")
            for vm in running.entries:
                assert await _statuses(running, "/q/x", vm) == [200] * REQUESTS

    platform_fleet.run(test)


ODD_ENTRIES = {
    "port above the largest": {"address": "127.0.0.1:70000"},
    "host name": {"address": "entry.example:7700"},
    "half of a character": {"address": "\ud800:7700"},
    "null character": {"address": "a\0b:7700"},
    "huge link": {"link_bytes_per_s": HUGE},
    "link that is no number": {"link_bytes_per_s": float("nan")},
    "region with half of a character": {"region": "\ud800"},
    "region of another type": {"region": {}},
    "zone of another type": {"failure_domain": [[]]},
}


def odd_entries():
    """Return odd registrations of entries, as bytes by name."""
    sound = {"address": "127.0.0.1:7700", "failure_domain": "a", "region": "north"}
    changed = {name: {**sound, **change} for name, change in ODD_ENTRIES.items()}
    return ODD_BYTES | {
        name: json.dumps(item).encode() for name, item in changed.items()
    }


@pytest.mark.parametrize("name", odd_entries())
def test_an_odd_registration_of_an_entry_is_rejected(name):
    with pytest.raises(errors.RecordError):
        entry_records.decode("entry-1", odd_entries()[name])


def test_the_key_of_a_part_has_one_form():
    digits = bytes(range(0xA0, 0xA0 + part_ids.ID_BYTES)).hex()
    assert part_records.part_of(part_records.PREFIX + digits).hex() == digits
    for odd in (digits.upper(), digits + "00", digits + " ", "", "x"):
        with pytest.raises(errors.RecordError):
            part_records.part_of(part_records.PREFIX + odd)


def test_entries_and_agents_go_on_beside_odd_records(monkeypatch):
    failed = []
    monkeypatch.setattr(
        eventlog, "failure", lambda name, exc, **_: failed.append((name, exc))
    )

    async def test():
        async with platform_fleet.deployed(1) as running:
            engine = await platform_fleet.add_engine(running, "i-1")
            await platform_fleet.add_agent(running, engine)
            for number, raw in enumerate(odd_entries().values()):
                kv.write(running.store, f"carobstand/entries/odd-{number}", raw)
            for number, raw in enumerate(odd_records("drafter").values()):
                kv.write(running.store, f"servers/odd-{number}", raw)
                kv.write(running.store, f"op/version/odd-{number}", raw)
            await platform_fleet.add_entry(running, "entry-2")
            for version in (2, 3):
                platform_fleet.name_version(running, version)
                await platform_fleet.until(
                    lambda version=version: engine.version == version, 12
                )
            for vm in running.entries:
                await platform_fleet.until_usable(running, "i-1", "/s/", vm)

    platform_fleet.run(test, 40)
    assert failed == []


def test_an_odd_record_is_logged_once_and_does_not_stop_others(monkeypatch):
    logged, failed = [], []
    monkeypatch.setattr(
        eventlog, "event", lambda name, **values: logged.append((name, values))
    )
    monkeypatch.setattr(
        eventlog, "failure", lambda name, exc, **values: failed.append((name, values))
    )
    monkeypatch.setattr(
        versions, "apply_version", lambda *_: {}["a fault of the program"]
    )

    async def test():
        dep = build.deployment_of("entry-1", "10.0.0.1")
        state = fleet.Fleet(dep, None)
        odd = odd_records("desk")["huge slots"]
        sound = build.encode_record(build.server_record())
        for revision, raw in enumerate([odd, odd, sound, odd], 1):
            store_items.apply_item(
                state, platform_kv.Item("servers/i-1", raw, revision)
            )
        store_items.replace_servers(state, [platform_kv.Item("servers/i-1", odd, 4)])
        store_items.apply_item(state, platform_kv.Item("op/version/m", b"{}", 5))

    anyio.run(test)
    names = [name for name, _ in logged if name.startswith("record.")]
    assert names == ["record.unreadable"] * 2
    assert failed == [("record.failed", {"key": "op/version/m"})]
