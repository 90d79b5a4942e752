"""Tests of the memory of engines.

Guards against engines that crash because several entries together send them more than
fits, and against leaving most of their memory unused.
"""

import anyio
import attrs
import pytest

from carobstand.core import engine_memory, outstanding, placement
from carobstand.platform import engine_client, fields
from testing import platform_builders as build
from testing import platform_fleet

MODEL = attrs.evolve(
    build.LATENCY_MODEL,
    cache_tokens=10_000,
    usual_prompt_tokens=300,
    usual_answer_tokens=60,
)
SERVER = build.registration()


def fits(needed, load, state=None, others=0, model=MODEL, now=0.1):
    state = state or outstanding.Outstanding()
    return engine_memory.fits(model, state, load, others, needed, now)


def report(**changes):
    return build.load_report(SERVER, **{"held_tokens": 0, **changes})


def sent(*requests, started=(), ended=()):
    """Return the own requests of (time, prompt tokens, answer tokens)."""
    state = outstanding.Outstanding()
    for number, (at, prompt, answer) in enumerate(requests):
        outstanding.begin(state, number, prompt, at, answer)
    for number in started:
        outstanding.answer_started(state, number)
    for number in ended:
        outstanding.end(state, number, 0.05)
    return state


def test_the_maximum_answer_counts_and_else_the_expected_one():
    size = placement.Size(100, 20.5)
    assert engine_memory.needed_tokens(size, 50) == 150
    assert engine_memory.needed_tokens(size, 0) == 121


def test_a_request_fits_up_to_a_share_of_the_memory():
    assert fits(9_000, report())
    assert not fits(9_001, report())
    assert fits(1_000, report(held_tokens=8_000))
    assert not fits(1_001, report(held_tokens=8_000))
    unlimited = attrs.evolve(MODEL, cache_tokens=0)
    assert fits(10**9, report(), model=unlimited)
    assert fits(10**9, None, model=None)


@pytest.mark.parametrize(
    ("expected", "load", "state", "others"),
    [
        (360, {"waiting": 1}, sent(), 0),
        (60, {"running": 1}, sent(), 0),
        # Sent before the report: only the rest of the answer is to come.
        (100, {"running": 1}, sent((-1.0, 500, 100), started=[0]), 0),
        # Sent before, but it may not have reached the engine by then.
        (600, {}, sent((-1.0, 500, 100)), 0),
        # Ended since the report, which still shows it.
        (500, {"held_tokens": 1000}, sent((-1.0, 500, 100), ended=[0]), 0),
        (600, {}, sent((0.05, 500, 100)), 0),
        # The two others may have sent as much, and each of them is about to.
        (3 * 600 + 360, {}, sent((0.05, 500, 100)), 2),
        # A report without the memory, or none from the agent since long.
        (3 * 360, {"held_tokens": None, "running": 3}, sent(), 0),
        (3 * 360, {"running": 3, "reported_at": -2.0}, sent(), 0),
    ],
)
def test_what_the_report_does_not_show_yet_is_counted(expected, load, state, others):
    load = report(**load)
    found = engine_memory.expected_tokens(MODEL, state, load, others, 0.1)
    assert found == pytest.approx(expected)


def test_without_a_report_the_own_requests_are_assumed_of_all_entries():
    state = sent((0.0, 500, 100), (0.0, 300, 60))
    found = engine_memory.expected_tokens(MODEL, state, None, 1, 0.1)
    assert found == pytest.approx(960 + 2 * 360 + 0.5 * 360)


@pytest.mark.parametrize(
    ("record", "held"),
    [
        ({"kv_cache_used": 8_001, "layers": {"from": 4, "to": 8}}, 2_001),
        ({"kv_cache_used": 8_000}, None),
        ({"kv_cache_used": 8_000, "layers": {}}, None),
        ({"kv_cache_used": 8_000, "layers": {"from": 4, "to": 4}}, None),
        ({"layers": {"from": 0, "to": 8}}, None),
        ({"kv_cache_used": -8, "layers": {"from": 0, "to": 8}}, None),
        ({"kv_cache_used": "8", "layers": {"from": 0, "to": 8}}, None),
        ({"kv_cache_used": 1e300, "layers": {"from": 0, "to": 8}}, None),
    ],
)
def test_a_report_tells_tokens_if_the_layers_are_known(record, held):
    record = fields.Record(record, "report")
    assert engine_client.decode_report(record).held_tokens == held


MEMORY_TOKENS = 12_000
PROMPT_TOKENS, ANSWER_TOKENS = 300, 60
CALLERS = 20
"""Callers of each entry. All of them together need 1.8 times the memory."""

STEP_S = 0.15
"""Time for each of ten events: a request takes 1.6 s, and 1 to 2.6 s at kydai's engines
(docs/hard-load.md)."""


def limit_memory(fleet):
    """Configure a service whose engines run out of memory before they have no slots."""
    services = [dict(service) for service in fleet.configuration["services"]]
    for service in services:
        if service["name"] == "drafter":
            service["engine"] = {
                **service["engine"],
                "slots": 100,
                "kv_cache_tokens": MEMORY_TOKENS,
                "report_lag_ms": 0,
                "usual": {"prompt": PROMPT_TOKENS, "answer": ANSWER_TOKENS},
            }
    platform_fleet.configure(fleet, services=services)


async def send(fleet, entry, answer_tokens=ANSWER_TOKENS):
    usage = f"{PROMPT_TOKENS},{answer_tokens}"
    headers = [("Token-Usage", usage), ("X-Events", str(ANSWER_TOKENS // 6))]
    return await platform_fleet.send_request(fleet, "/s/", entry=entry, headers=headers)


async def keep_sending(fleet, entry, seconds):
    with anyio.move_on_after(seconds):
        while True:
            answer = await send(fleet, entry)
            if answer.status != 200:
                await anyio.sleep(0.05)


def test_an_engine_is_held_near_its_memory_from_several_entries():
    held = []

    async def test():
        async with platform_fleet.deployed(entries=3) as fleet:
            limit_memory(fleet)
            engine = await platform_fleet.add_engine(
                fleet, "i-1", slots=100, step_s=STEP_S, memory_tokens=MEMORY_TOKENS
            )
            await platform_fleet.add_agent(fleet, engine)
            for entry in fleet.entries.values():
                await platform_fleet.until_ready(entry)
            await anyio.sleep(0.5)
            async with anyio.create_task_group() as tg:
                for entry in fleet.entries:
                    for _ in range(CALLERS):
                        tg.start_soon(keep_sending, fleet, entry, 6.0)
                ends_at = anyio.current_time() + 6.0
                await anyio.sleep(2.0)
                # On a busy machine a fixed number of samples takes longer than the
                # callers send, and the last ones would show an idle engine.
                while anyio.current_time() < ends_at:
                    held.append(engine.held_tokens)
                    await anyio.sleep(0.05)
            assert not engine.crashes
            assert engine.most_held_tokens <= MEMORY_TOKENS
            assert sum(held) / len(held) > 0.6 * MEMORY_TOKENS

    platform_fleet.run(test, timeout_s=30.0)


def test_a_request_that_no_engine_can_hold_is_rejected_at_once():
    async def test():
        async with platform_fleet.deployed() as fleet:
            limit_memory(fleet)
            engine = await platform_fleet.add_engine(
                fleet, "i-1", memory_tokens=MEMORY_TOKENS
            )
            await platform_fleet.until_ready(fleet.entries["entry-1"])
            await anyio.sleep(platform_fleet.CHANGE_DELAY_S)
            began = anyio.current_time()
            answer = await send(fleet, "entry-1", answer_tokens=MEMORY_TOKENS)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert anyio.current_time() - began < 0.2
            assert not engine.runs
            assert (await send(fleet, "entry-1")).status == 200

    platform_fleet.run(test)
