"""Callers of carobstand-local: they verify every byte of every response."""

import random

import anyio
import attrs
import httpx

from carobstand.platform import http
from carobstand.standin import generation

CUSTOMER_KEY = "local-demo-key"
"""Bearer key of the only customer; its SHA-256 is in the table."""

TIMEOUT_S = 30.0
MAX_TOKENS = 24
PROMPTS = 12
"""Number of different starts of prompts; repeats hit the prefix cache."""

ORDER_INTERVAL_S = 0.5

REFUSED_PAUSE_S = 0.2
"""Pause of a caller whose request was refused."""

KEPT_PROBLEMS = 5


@attrs.define
class Tally:
    """Counts of responses by outcome.

    `whole` were complete, verified and of one version, `orders` of them from the plain
    service; `wrong` had other bytes than expected; `cut` ended early or never came.
    """

    sent: int = 0
    whole: int = 0
    not_run: int = 0
    unknown: int = 0
    wrong: int = 0
    cut: int = 0
    orders: int = 0
    by_version: dict = attrs.field(factory=dict)
    problems: list = attrs.field(factory=list)


def all_whole(tally):
    """Return whether requests were sent and every response was whole."""
    return 0 < tally.sent == tally.whole


async def run(tally, entries, service, manifests, stop, seed, clients):
    """Send requests from `clients` callers until `stop` is set; finish those begun.

    Parameters
    ----------
    tally : Tally
    entries : list of str
        Addresses for callers.
    service : str
    manifests : dict of str to str
        Manifest digest of each version that may answer.
    stop : anyio.Event
    seed, clients : int
    """

    async def caller(number):
        rng = random.Random(f"{seed}/{number}")
        headers = {"Authorization": f"Bearer {CUSTOMER_KEY}"}
        async with http.client("", TIMEOUT_S, headers=headers) as client:
            turn = number
            while not stop.is_set():
                turn += 1
                url = f"http://{entries[turn % len(entries)]}/v1/completions"
                await _ask(tally, client, url, service, manifests, rng)

    async with anyio.create_task_group() as tg:
        for number in range(clients):
            tg.start_soon(caller, number)


async def run_orders(tally, entries, service, stop):
    """Place orders that must run once, each with a repeat, until `stop` is set.

    Parameters
    ----------
    tally : Tally
    entries : list of str
    service : str
        A plain service; ``POST /orders`` is not idempotent.
    stop : anyio.Event
    """
    number = 0
    headers = {"Authorization": f"Bearer {CUSTOMER_KEY}"}
    async with http.client("", TIMEOUT_S, headers=headers) as client:
        while not stop.is_set():
            number += 1
            for entry in entries:
                url = f"http://{entry}/services/{service}/orders"
                await _order(tally, client, url, f"order-{number}")
            await anyio.sleep(ORDER_INTERVAL_S)


async def _order(tally, client, url, order_id):
    tally.sent += 1
    headers = {"Idempotency-Key": order_id}
    try:
        resp = await client.post(url, json={"order_id": order_id}, headers=headers)
    except httpx.HTTPError as exc:
        _cut(tally, exc)
        return
    if resp.status_code != 200:
        _count_failure(tally, resp)
        return
    try:
        body = resp.json()
        correct = (body["order_id"], body["run"]) == (order_id, 1)
    except (KeyError, TypeError, ValueError):
        correct = False
    if correct:
        tally.whole += 1
        tally.orders += 1
    else:
        tally.wrong += 1
        _note(tally, f"wrong response to {order_id}: {resp.text[:200]}")


async def _ask(tally, client, url, service, manifests, rng):
    start = f"patient record {rng.randrange(PROMPTS)}: " + "history, " * 20
    order = {
        "model": service,
        "prompt": f"{start}question {rng.randrange(10**9)}",
        "max_tokens": rng.randint(1, MAX_TOKENS),
        "stream": rng.random() < 0.7,
    }
    tally.sent += 1
    try:
        resp = await client.post(url, json=order)
    except httpx.HTTPError as exc:
        _cut(tally, exc)
        return
    if resp.status_code == 200:
        _verify(tally, resp, order, manifests)
    else:
        _count_failure(tally, resp)
        await anyio.sleep(REFUSED_PAUSE_S)


def _cut(tally, exc):
    tally.cut += 1
    _note(tally, f"no complete response: {exc or type(exc).__name__}")


def _count_failure(tally, resp):
    """Count a response that is no answer by the outcome that it reports."""
    not_run = resp.headers.get("carobstand-outcome") == "not-run"
    if not_run:
        tally.not_run += 1
    else:
        tally.unknown += 1
    outcome = "not run" if not_run else "unknown"
    _note(tally, f"{outcome}: status {resp.status_code} {resp.text[:200]}")


def _verify(tally, resp, order, manifests):
    """Count a response as whole if it is what exactly one version produces."""
    args = (order["prompt"], order["max_tokens"], order["stream"])
    for version, manifest in manifests.items():
        if resp.content == generation.expected(version, manifest, *args):
            tally.whole += 1
            tally.by_version[version] = tally.by_version.get(version, 0) + 1
            return
    tally.wrong += 1
    _note(tally, f"wrong response of {len(resp.content)} bytes")


def _note(tally, problem):
    if len(tally.problems) < KEPT_PROBLEMS:
        tally.problems.append(problem)
