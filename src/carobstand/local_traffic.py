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

MAX_TRIES = 20
"""Tries of a request that is refused as not run."""

REFUSED_PAUSE_S, LONGEST_PAUSE_S = 0.2, 2.0
"""Bounds of the pause before a refused request is sent again."""

KEPT_PROBLEMS = 5


@attrs.define
class Tally:
    """Counts of requests by the outcome of their last try.

    `whole` were complete, verified and of one version, `orders` of them from the plain
    service; `refused` counts tries that were not run and were sent again, `not_run`
    the requests given up after `MAX_TRIES`; `wrong` had other bytes than expected;
    `cut` ended early or never came.
    """

    sent: int = 0
    whole: int = 0
    refused: int = 0
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
    headers = {"Idempotency-Key": order_id}
    resp = await _send(tally, client, url, {"order_id": order_id}, headers)
    if resp is None:
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
    resp = await _send(tally, client, url, order)
    if resp is not None:
        _verify(tally, resp, order, manifests)


async def _send(tally, client, url, order, headers=None):
    """Send a request until it is run; return its response, or None if it failed."""
    tally.sent += 1
    for _ in range(MAX_TRIES):
        try:
            resp = await client.post(url, json=order, headers=headers)
        except httpx.HTTPError as exc:
            _cut(tally, exc)
            return None
        if resp.status_code == 200:
            return resp
        if resp.headers.get("carobstand-outcome") != "not-run":
            tally.unknown += 1
            _note(tally, f"unknown: status {resp.status_code} {resp.text[:200]}")
            return None
        tally.refused += 1
        await anyio.sleep(_retry_after_s(resp))
    tally.not_run += 1
    _note(tally, f"not run: status {resp.status_code} {resp.text[:200]}")
    return None


def _retry_after_s(resp):
    """Return the pause that a refusal asks for, within bounds."""
    value = resp.headers.get("retry-after", "")
    asked_s = float(value) if value.isdigit() else REFUSED_PAUSE_S
    return min(max(asked_s, REFUSED_PAUSE_S), LONGEST_PAUSE_S)


def _cut(tally, exc):
    tally.cut += 1
    _note(tally, f"no complete response: {exc or type(exc).__name__}")


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
