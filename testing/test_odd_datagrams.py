"""Guards against a datagram that ends or restarts what receives or sends datagrams."""

import math
import random
import socket

import anyio
import pytest

from carobstand import errors, eventlog
from carobstand.core import deployment, part_ids
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes
from testing import platform_fleet

SEED = 4

OWN, PART = "127.0.0.1:7700", bytes(part_ids.ID_BYTES)

STATEMENT = {
    **{"server_id": "i-2", "started_ms": 1, "limit": 2.0, "named_ms": 5, "number": 1},
    **{"cold_ms": 50, "sustained_per_s": 2.0, "cold_named_ms": 5},
}

SOUND = [
    ttypes.EngineLoad(
        address=OWN,
        started_ms=1,
        number=1,
        running=1,
        waiting=1,
        slowness=1.0,
        busy=False,
        model="m",
        version=1,
        first_layer=0,
        end_layer=4,
        load_in_ms=-1,
        held_tokens=1,
        receiving_version=2,
        receiving_pieces=1,
        copies=[1],
        named_ago_ms={1: 5},
    ),
    ttypes.FailedRun(bytes(16), "127.0.0.1:9000/1"),
    ttypes.PartReport(
        [
            ttypes.PartEvidence(
                PART, [ttypes.PartSighting(PART * 2, [PART], 5)], 5, 5, 1, 5
            )
        ],
        OWN,
    ),
    ttypes.PartQuery(b"x", OWN),
    ttypes.PermitRequest(**STATEMENT, vm="v", address=OWN, wanted=1, is_deputy=False),
    ttypes.PermitReply(
        **STATEMENT,
        granted=1,
        is_granting=True,
        interval_ms=5,
        refresh_ms=5,
        is_deputy=False,
        waited_ms=5,
    ),
    ttypes.EntryJoined("v", OWN, "a", "north", False),
    ttypes.DemandReport("desk", "v", OWN, 1, [ttypes.DemandRow(0, "c", 5)], 1, 1, 1, 1),
    ttypes.DemandSummary("desk", 1, 5, 5, 0, [ttypes.DemandRow(0, "c", 5)]),
    ttypes.EntryLeaving("v"),
]

NUMBERS = (None, -(2**31), -1, 0, 2**31 - 1, 2**63 - 1, -(2**63), 1e300, 5e-324)
ODD_VALUES = {
    int: NUMBERS,
    float: (*NUMBERS, math.nan, math.inf, -math.inf),
    str: (None, "", "\0", "a\r\nb", "x" * 5000, "a\0b:80", "a.example:80", "1.2.3.4:0"),
    bytes: (None, b"", b"x" * 5000),
    list: (None, []),
    dict: ({-1: -1}, {2**31 - 1: -(2**31)}),
    bool: (None,),
}


def structs(message):
    """Yield a message and the structs in its lists."""
    yield message
    for value in vars(message).values():
        for item in value if isinstance(value, list) else ():
            if hasattr(item, "thrift_spec"):
                yield from structs(item)


def odd_datagrams():
    """Return each sound message with one odd field, in a random order."""
    found = [b"", b"\x00", b"\xff" * 100]
    for message in SOUND:
        for struct in structs(message):
            for name, value in list(vars(struct).items()):
                for odd in ODD_VALUES.get(type(value), ()):
                    setattr(struct, name, odd)
                    try:
                        found.append(fleet_codec.encode(message))
                    except errors.WireError:
                        pass
                setattr(struct, name, value)
    random.Random(SEED).shuffle(found)
    return found


def test_odd_datagrams_change_nothing_for_others(monkeypatch):
    failed = []
    monkeypatch.setattr(
        eventlog, "failure", lambda name, exc, **_: failed.append((name, repr(exc)))
    )

    async def test():
        async with platform_fleet.deployed(1) as fleet:
            await platform_fleet.add_engine(fleet, "i-1", service="desk")
            await platform_fleet.until_usable(fleet, "i-1", "/q/")
            dep = fleet.entries["entry-1"].deployment
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                for number, raw in enumerate(odd_datagrams()):
                    udp.sendto(raw, (dep.ip, dep.internal_ports[0]))
                    if number % 20 == 0:
                        await anyio.sleep(0.01)
            await anyio.sleep(0.5)
            answer = await platform_fleet.send_request(fleet, "/q/x")
            assert answer.status == 200

    platform_fleet.run(test)
    assert failed == []


@pytest.mark.parametrize("value", [2**31, 10**400, "1", -(2**40)])
def test_what_does_not_fit_into_a_message_is_a_wire_error(value):
    with pytest.raises(errors.WireError, match="EngineLoad"):
        fleet_codec.encode(ttypes.EngineLoad(running=value))


def test_addresses_that_can_be_connected_to():
    for address in ("127.0.0.1:1", "10.0.0.1:65535", "::1:80"):
        assert deployment.is_address(address)
    odd = (
        "",
        ":",
        "80",
        ":80",
        "1.2.3.4:",
        "1.2.3.4:0",
        "1.2.3.4:65536",
        "a.example:1",
    )
    for address in (*odd, "1.2.3.4:+80", "1.2.3.4:8_0", "1.2.3.4:\u0663", "1.2.3:80"):
        assert not deployment.is_address(address)
    for address in ("0.0.0.0:80", "224.0.0.1:80", "fe80::1%a\n:80", "1.2.3.4\0:80"):
        assert not deployment.is_address(address)
