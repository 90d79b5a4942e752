"""Guards against requests that crash the backend servers that run them, and come again.

All copies of such a request have the same path, caller and body.
"""

import functools
import itertools

import anyio
import pytest

from carobstand import errors
from carobstand.core import deployment
from carobstand.entry import (
    datagram_sender,
    forwarding,
    part_evidence,
    poison_parts,
    rejections,
)
from testing import domain_fleet, part_traffic, platform_fleet

REJECTED = rejections.POISON_STATUS
CONTACT_S = 3.0
FREE_CRASHES = 3
MAX_LATER_REQUESTS = 3
DOWN_S = 6.0
"""Time until a crashed server is back, longer than `CONTACT_S`."""


async def add_desks(fleet, count, down_s=DOWN_S):
    """Add backend servers that the body ``deadly`` crashes; return them."""
    desks = []
    for number in range(count):
        desk = await platform_fleet.add_engine(fleet, f"d-{number + 1}", "desk")
        platform_fleet.restart_crashed(fleet, desk, down_s)
        desks.append(desk)
    await anyio.sleep(platform_fleet.CHANGE_DELAY_S)
    return desks


async def send_repeatedly(fleet, sent, body, gap_s, duration_s, path="/o/x"):
    """Send a request to the entries in turn, and again every `gap_s`.

    `body` returns the body of a request, given its number. Adds each result to `sent`.
    """
    async with anyio.create_task_group() as tg:
        start = anyio.current_time()
        for number in itertools.count():
            if anyio.current_time() >= start + duration_s:
                return
            entry = list(fleet.entries)[number % len(fleet.entries)]
            tg.start_soon(send_one, fleet, sent, entry, body(number), path)
            await anyio.sleep(gap_s)


async def send_one(fleet, sent, entry, body, path="/o/x", **options):
    """Send one request; add how it ended to `sent` and return that."""
    at, status, headers = anyio.current_time(), 0, {}
    try:
        answer = await platform_fleet.send_request(
            fleet, path, entry=entry, body=body, **options
        )
        status, headers = answer.status, answer.headers
    except (errors.HttpError, TimeoutError):
        status = 0
    took_s = anyio.current_time() - at
    result = part_traffic.Sent(at, entry, (), status, took_s, headers, body)
    sent.append(result)
    return result


@pytest.mark.parametrize("entries", [1, 5])
def test_a_request_that_crashed_three_servers_reaches_three_more_at_most(entries):
    async def scenario():
        async with platform_fleet.deployed(entries) as fleet:
            await add_desks(fleet, 20)
            sent = []
            async with anyio.create_task_group() as tg:
                tg.start_soon(
                    send_repeatedly, fleet, sent, lambda n: b"deadly", 0.3, 6.0
                )
                tg.start_soon(
                    send_repeatedly, fleet, sent, lambda n: b"%d" % n, 0.05, 6.0
                )
            crashes = part_traffic.crash_times(fleet)
            after = crashes[FREE_CRASHES - 1] + CONTACT_S
            assert sum(at > after for at in crashes) <= MAX_LATER_REQUESTS
            sound = [item for item in sent if item.body != b"deadly"]
            assert not [item for item in sound if item.status == REJECTED]
            calm = [item for item in sound if item.at > crashes[-1] + 0.5]
            assert len(calm) >= 20
            assert sum(item.status == 200 for item in calm) >= 0.9 * len(calm)
            late = [item for item in sent if item.body == b"deadly" and item.at > after]
            assert {item.status for item in late} == {REJECTED}
            assert not any("retry-after" in item.headers for item in late)

    platform_fleet.run(scenario, timeout_s=30.0)


def test_an_error_of_a_server_does_not_clear_a_request_that_crashes_servers():
    async def scenario():
        async with platform_fleet.deployed(1) as fleet:
            desks = await add_desks(fleet, 8, down_s=0.3)
            for number in range(8):
                is_error = number % 2 == 1
                for desk in desks:
                    desk.poison_body = b"none" if is_error else b"deadly"
                    desk.fault, desk.faults_left = "error", 1000 * is_error
                result = await send_one(fleet, [], "entry-1", b"deadly")
                await anyio.sleep(0.5)
            assert result.status == REJECTED
            assert len(part_traffic.crash_times(fleet)) == FREE_CRASHES

    platform_fleet.run(scenario, timeout_s=30.0)


def test_entries_that_start_or_heard_nothing_reject_a_convicted_request(monkeypatch):
    send = part_evidence._send

    async def scenario():
        async with platform_fleet.deployed(3) as fleet:
            await add_desks(fleet, 8)
            lost = fleet.entries["entry-3"].deployment

            async def drop(fwd, address, raw):
                host, _ = deployment.split_address(address)
                if lost.ip not in (fwd.fleet.deployment.ip, host):
                    await send(fwd, address, raw)

            monkeypatch.setattr(part_evidence, "_send", drop)
            monkeypatch.setattr(part_evidence.kv, "put", no_write)
            for number in range(5):
                entry = f"entry-{1 + number % 2}"
                await send_one(fleet, [], entry, b"deadly")
                await anyio.sleep(0.3)
            monkeypatch.setattr(part_evidence, "_send", send)
            await platform_fleet.add_entry(fleet, "entry-4")
            await anyio.sleep(2 * part_evidence.QUERY_INTERVAL_S)
            crashes = len(part_traffic.crash_times(fleet))
            for entry in fleet.entries:
                result = await send_one(fleet, [], entry, b"deadly")
                assert result.status == REJECTED, entry
            assert len(part_traffic.crash_times(fleet)) == crashes == FREE_CRASHES

    async def no_write(*args, **options):
        """Write nothing."""

    platform_fleet.run(scenario, timeout_s=30.0)


def test_a_request_convicted_while_it_waits_for_a_connection_is_not_sent(monkeypatch):
    acquire, released = forwarding.backend_pool.acquire, anyio.Event()

    async def acquire_late(pool, address, request_id):
        if request_id == "late":
            await released.wait()
        return await acquire(pool, address, request_id)

    monkeypatch.setattr(forwarding.backend_pool, "acquire", acquire_late)

    async def scenario():
        async with platform_fleet.deployed(1) as fleet:
            await add_desks(fleet, 8)
            sent = []
            async with anyio.create_task_group() as tg:
                tg.start_soon(
                    functools.partial(
                        send_one, fleet, sent, "entry-1", b"deadly", request_id="late"
                    )
                )
                for _ in range(FREE_CRASHES):
                    await send_one(fleet, [], "entry-1", b"deadly")
                    await anyio.sleep(0.3)
                released.set()
            assert sent[0].status == REJECTED
            assert len(part_traffic.crash_times(fleet)) == FREE_CRASHES

    platform_fleet.run(scenario, timeout_s=30.0)


def test_the_number_of_lost_requests_is_bounded_and_none_waits_for_a_dropped_one():
    async def scenario():
        fwd = domain_fleet.forwarder({"i-1": "a"})
        server = fwd.fleet.servers.servers["i-1"]
        call = domain_fleet.call(whole=bytes(8))
        lost = [
            poison_parts.record_lost(fwd, call, server, 1000)
            for _ in range(poison_parts.MAX_LOST + 10)
        ]
        assert len(fwd.part_tracker.lost) == poison_parts.MAX_LOST
        assert [item.checked.is_set() for item in lost[9:11]] == [True, False]

    anyio.run(scenario)


def test_evidence_is_sent_by_several_tasks_at_once():
    async def scenario():
        async with (
            await anyio.create_udp_socket(local_host="127.0.0.1") as udp,
            anyio.create_task_group() as tg,
        ):
            sender = datagram_sender.DatagramSender(udp)
            for _ in range(5):
                tg.start_soon(datagram_sender.send, sender, "127.0.0.1:9", b"x")

    anyio.run(scenario)
