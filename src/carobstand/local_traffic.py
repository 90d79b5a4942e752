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
MAX_TOKENS = 40
PROMPTS = 12
"""Number of different starts of prompts; repeats hit the prefix cache."""

KEPT_PROBLEMS = 5


@attrs.define
class Tally:
    """Counts of responses by outcome.

    `whole` were complete, verified and of one version; `wrong` had other bytes than
    their version gives; `cut` ended early or never came.
    """

    sent: int = 0
    whole: int = 0
    not_run: int = 0
    unknown: int = 0
    wrong: int = 0
    cut: int = 0
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
        tally.cut += 1
        _note(tally, f"no complete response: {exc or type(exc).__name__}")
        return
    outcome = resp.headers.get("carobstand-outcome", "")
    if resp.status_code == 200:
        _verify(tally, resp, order, manifests)
    elif outcome == "not-run":
        tally.not_run += 1
        _note(tally, f"not run: status {resp.status_code} {resp.text[:200]}")
        await anyio.sleep(0.2)
    else:
        tally.unknown += 1
        _note(tally, f"unknown: status {resp.status_code} {resp.text[:200]}")


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
