"""Tests of callers that send many requests ahead and leave the responses unread.

Guards against an entry that runs out of memory or descriptors because of them.
"""

import anyio
import pytest

from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes
from testing import entry_processes, flooding, platform_fleet

CALLERS = 40
IDLE_CALLERS = 400
LIMITS = entry_processes.VmLimits(memory_mb=160, file_descriptors=300)
"""Memory of the smallest VM of an entry, and few descriptors for a small crowd."""

BODY = b"x" * 1000


def request(path, *headers, body=b"", length=None):
    """Return a request without the headers that callers usually send."""
    lines = [f"POST {path} HTTP/1.1", "Host: one.example", *headers]
    lines.append(f"Content-Length: {len(body) if length is None else length}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def full_request(length=0):
    """Return a request with all headers that callers usually send, without its body."""
    headers = ("Request-Id: r", "Deadline-Ms: 3000", "Api-Key: k1")
    return request("/q/x", *headers, length=length)


FLOODS = {
    "served-route": request("/q/x"),
    "no-route": request("/none/x"),
    "no-route-with-bodies": request("/none/x", body=BODY),
    "served-route-all-headers": full_request(),
}
READINESS_FLOODS = {
    "readiness": b"GET /v1/readiness HTTP/1.1\r\nHost: one.example\r\n\r\n",
    "metrics": b"GET /metrics HTTP/1.1\r\nHost: one.example\r\n\r\n",
}


def check_afterwards(tmp_path, send_crowd):
    """Check an entry process after a crowd, which ``send_crowd(entry)`` returns."""

    async def scenario():
        async with platform_fleet.deployed(0) as fleet:
            await platform_fleet.add_engine(fleet, "i-1", "desk")
            async with entry_processes.started(
                fleet, ["entry-1"], tmp_path, LIMITS
            ) as processes:
                process = processes["entry-1"]
                crowd = await send_crowd(fleet.entries["entry-1"].deployment)
                descriptors = flooding.open_descriptors(process)
                crowd.close()
                assert process.poll() is None
                assert flooding.peak_bytes(process) <= LIMITS.memory_mb * 1_000_000
                assert descriptors <= LIMITS.file_descriptors
                await platform_fleet.until_usable(fleet, "i-1", "/q/x")
                answer = await platform_fleet.send_request(fleet, "/q/x")
                assert answer.status == 200

    platform_fleet.run(scenario, timeout_s=60.0)


@pytest.mark.parametrize("name", FLOODS)
def test_requests_sent_ahead_do_not_fill_the_memory(tmp_path, name):
    def send_crowd(dep):
        return flooding.flood(dep.ingress_address, CALLERS, FLOODS[name])

    check_afterwards(tmp_path, send_crowd)


@pytest.mark.parametrize("name", READINESS_FLOODS)
def test_requests_sent_ahead_at_the_readiness_address_do_not_fill_the_memory(
    tmp_path, name
):
    def send_crowd(dep):
        return flooding.flood(dep.readiness_address, CALLERS, READINESS_FLOODS[name])

    check_afterwards(tmp_path, send_crowd)


def test_messages_sent_ahead_at_the_port_for_other_processes_do_not_fill_the_memory(
    tmp_path,
):
    poll = fleet_codec.encode_frame(ttypes.NewsRequest(after=0, wait_ms=0, era=0))

    def send_crowd(dep):
        address = f"{dep.ip}:{dep.internal_ports[0]}"
        return flooding.flood(address, CALLERS, poll)

    check_afterwards(tmp_path, send_crowd)


def check_beside_held_connections(tmp_path, sent, wait_s):
    """Check that a request is answered beside callers that hold connections."""

    async def scenario():
        async with platform_fleet.deployed(0) as fleet:
            limits = {**fleet.configuration["limits"], "header_timeout_ms": 20_000}
            platform_fleet.configure(fleet, limits=limits)
            await platform_fleet.add_engine(fleet, "i-1", "desk")
            async with entry_processes.started(
                fleet, ["entry-1"], tmp_path, LIMITS
            ) as processes:
                process = processes["entry-1"]
                address = fleet.entries["entry-1"].deployment.ingress_address
                await platform_fleet.until_usable(fleet, "i-1", "/q/x")
                held = await flooding.hold(address, IDLE_CALLERS, sent)
                await anyio.sleep(wait_s)
                answer = await platform_fleet.send_request(fleet, "/q/x")
                assert answer.status == 200
                assert process.poll() is None
                assert flooding.open_descriptors(process) <= LIMITS.file_descriptors
                held.close()

    platform_fleet.run(scenario, timeout_s=60.0)


def test_a_request_is_answered_beside_callers_that_hold_idle_connections(tmp_path):
    """All descriptors were taken by connections on which nothing was sent."""
    check_beside_held_connections(tmp_path, b"", 0.0)


@pytest.mark.parametrize(
    "sent",
    [b"POST /q/x HTTP/1.1\r\n", full_request(length=10)],
    ids=["part-of-a-head", "no-body"],
)
def test_a_request_is_answered_beside_callers_that_never_complete_theirs(
    tmp_path, sent
):
    """New connections were closed while all others waited for the rest of a request."""
    check_beside_held_connections(tmp_path, sent, 1.0)
