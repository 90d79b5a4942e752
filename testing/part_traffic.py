"""Traffic whose prompts share parts, one of which may crash backend servers."""

import itertools
import random

import anyio
import attrs

from carobstand import errors
from testing import platform_fleet

DEADLY = "dead"
"""Id of the part that crashes backend servers."""

SHARED = ("5ea1", "5ea2", "5ea3")
"""Ids of first parts that deadly and sound prompts share."""


@attrs.frozen
class Sent:
    """One request and its outcome; `status` is 0 without a complete response."""

    at: float
    entry: str
    parts: tuple
    status: int
    took_s: float
    headers: dict = attrs.field(factory=dict)
    body: bytes = b""

    @property
    def is_deadly(self):
        """Whether its prompt has the deadly part."""
        return DEADLY in self.parts


@attrs.define(eq=False)
class Traffic:
    """Requests to some entries, in turn.

    Attributes
    ----------
    entries : list of str
        VMs of the entries; may change while requests are sent.
    deadly_share : float
        Share of the requests with the deadly part.
    gap_s : float
        Time between two requests.
    rare_parts : int
        Number of further parts, of which each prompt has one; 0 for none.
    sent : list of Sent
    restarted : list of (str, float)
        Entries that were restarted, and when they were back.
    rng : random.Random
    """

    entries: list
    deadly_share: float = 0.1
    gap_s: float = 0.03
    rare_parts: int = 0
    sent: list = attrs.field(factory=list)
    restarted: list = attrs.field(factory=list)
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))


async def send(fleet, traffic, duration_s):
    """Send requests for `duration_s`, and wait for their responses."""
    turn = itertools.count(len(traffic.sent))
    async with anyio.create_task_group() as tg:
        start = anyio.current_time()
        while anyio.current_time() < start + duration_s:
            number = next(turn)
            parts = [traffic.rng.choice(SHARED), f"a{number:x}"]
            if traffic.rng.random() < traffic.deadly_share:
                parts.insert(1, DEADLY)
            if traffic.rare_parts:
                parts.insert(1, f"b{traffic.rng.randrange(traffic.rare_parts):x}")
            if traffic.entries:
                entry = traffic.entries[number % len(traffic.entries)]
                tg.start_soon(send_one, fleet, traffic, entry, tuple(parts))
            await anyio.sleep(traffic.gap_s)


async def send_one(fleet, traffic, entry, parts):
    """Send one request with these parts; return how it ended as `Sent`."""
    at = anyio.current_time()
    prefix = ",".join(f"{part}:40" for part in parts)
    headers = [("Prompt-Prefix", prefix), ("Token-Usage", "80,8"), ("X-Sender", entry)]
    status, found, body = 0, {}, b""
    try:
        answer = await platform_fleet.send_request(
            fleet, "/s/x", entry=entry, headers=headers, body=parts[-1].encode()
        )
        found, body = answer.headers, answer.body
        status = answer.status if answer.complete else 0
    except (errors.HttpError, TimeoutError) as exc:
        body = repr(exc).encode()
    took_s = anyio.current_time() - at
    result = Sent(at, entry, parts, status, took_s, found, body)
    traffic.sent.append(result)
    return result


def crash_times(fleet):
    """Return the times of all crashes of backend servers, in order."""
    return sorted(at for item in fleet.engines.values() for at in item.crash_times)


def deadly_crashes(fleet):
    """Return the times at which requests with the deadly part ended servers."""
    return sorted(at for item in fleet.engines.values() for at in item.poisoned_at)


def deadly_arrivals(fleet, after):
    """Return the requests with the deadly part that reached servers after a time."""
    return [
        item
        for backend_server in fleet.engines.values()
        for item in backend_server.arrivals
        if item.at > after and DEADLY in item.parts
    ]
