"""Clients of carobstand-local, which verify every byte of every response."""

import random

import anyio
import attrs
import httpx

from carobstand.platform import http
from carobstand.standin import generation

CUSTOMER_KEY = "local-demo-key"
"""API key of the only customer; the table holds its SHA-256."""

TIMEOUT_S = 30.0
MAX_TOKENS = 24
PROMPT_PREFIXES = 12
"""Number of distinct prompt prefixes; repeated ones hit the prefix cache."""

ORDER_INTERVAL_S = 0.5

MAX_ATTEMPTS = 20
"""Attempts of a request that is rejected as not run."""

MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.2, 2.0
"""Bounds of the delay before a rejected request is retried."""

MAX_PROBLEMS = 5


@attrs.define
class RequestCounters:
    """Counts of requests by the outcome of their last attempt.

    Attributes
    ----------
    sent : int
    complete : int
        Responses that were complete, verified and of one version.
    refused : int
        Attempts that were rejected as not run and retried.
    not_run : int
        Requests given up after `MAX_ATTEMPTS` rejected attempts.
    unknown : int
        Error responses that do not say that the request was not run.
    wrong : int
        Responses with other bytes than expected.
    cut : int
        Requests whose response ended early or never arrived.
    orders : int
        Part of `complete` that came from the plain service.
    by_version : dict of str to int
    problems : list of str
        Descriptions of the first `MAX_PROBLEMS` problems.
    """

    sent: int = 0
    complete: int = 0
    refused: int = 0
    not_run: int = 0
    unknown: int = 0
    wrong: int = 0
    cut: int = 0
    orders: int = 0
    by_version: dict = attrs.field(factory=dict)
    problems: list = attrs.field(factory=list)


def all_complete(counters):
    """Return whether requests were sent and every response was complete."""
    return 0 < counters.sent == counters.complete


async def run(counters, entries, service, manifests, stop, seed, clients):
    """Send completions from `clients` clients until `stop` is set.

    Requests in progress are finished.

    Parameters
    ----------
    counters : RequestCounters
    entries : list of str
        Client-facing addresses of the entries.
    service : str
    manifests : dict of str to str
        Manifest digest of each version that may serve requests.
    stop : anyio.Event
    seed, clients : int
    """

    async def client_loop(number):
        rng = random.Random(f"{seed}/{number}")
        headers = {"Authorization": f"Bearer {CUSTOMER_KEY}"}
        async with http.client("", TIMEOUT_S, headers=headers) as client:
            request_number = number
            while not stop.is_set():
                request_number += 1
                url = f"http://{entries[request_number % len(entries)]}/v1/completions"
                await _request_completion(
                    counters, client, url, service, manifests, rng
                )

    async with anyio.create_task_group() as tg:
        for number in range(clients):
            tg.start_soon(client_loop, number)


async def run_orders(counters, entries, service, stop):
    """Send orders that must run exactly once until `stop` is set.

    Each order is sent to every entry with the same idempotency key.

    Parameters
    ----------
    counters : RequestCounters
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
                await _place_order(counters, client, url, f"order-{number}")
            await anyio.sleep(ORDER_INTERVAL_S)


async def _place_order(counters, client, url, order_id):
    headers = {"Idempotency-Key": order_id}
    resp = await _send(counters, client, url, {"order_id": order_id}, headers)
    if resp is None:
        return
    try:
        body = resp.json()
        correct = (body["order_id"], body["run"]) == (order_id, 1)
    except (KeyError, TypeError, ValueError):
        correct = False
    if correct:
        counters.complete += 1
        counters.orders += 1
    else:
        counters.wrong += 1
        _add_problem(counters, f"wrong response to {order_id}: {resp.text[:200]}")


async def _request_completion(counters, client, url, service, manifests, rng):
    prefix = f"patient record {rng.randrange(PROMPT_PREFIXES)}: " + "history, " * 20
    payload = {
        "model": service,
        "prompt": f"{prefix}question {rng.randrange(10**9)}",
        "max_tokens": rng.randint(1, MAX_TOKENS),
        "stream": rng.random() < 0.7,
    }
    resp = await _send(counters, client, url, payload)
    if resp is not None:
        _verify(counters, resp, payload, manifests)


async def _send(counters, client, url, payload, headers=None):
    """Send a request, with retries while it is rejected as not run.

    Returns the response, or None if the request failed.
    """
    counters.sent += 1
    for _ in range(MAX_ATTEMPTS):
        try:
            resp = await client.post(url, json=payload, headers=headers)
        except httpx.HTTPError as exc:
            _count_cut(counters, exc)
            return None
        if resp.status_code == 200:
            return resp
        if resp.headers.get("carobstand-outcome") != "not-run":
            counters.unknown += 1
            _add_problem(
                counters, f"unknown: status {resp.status_code} {resp.text[:200]}"
            )
            return None
        counters.refused += 1
        await anyio.sleep(_retry_after_s(resp))
    counters.not_run += 1
    _add_problem(counters, f"not run: status {resp.status_code} {resp.text[:200]}")
    return None


def _retry_after_s(resp):
    """Return the delay of the ``Retry-After`` header, within bounds."""
    value = resp.headers.get("retry-after", "")
    requested_s = float(value) if value.isdigit() else MIN_RETRY_DELAY_S
    return min(max(requested_s, MIN_RETRY_DELAY_S), MAX_RETRY_DELAY_S)


def _count_cut(counters, exc):
    counters.cut += 1
    _add_problem(counters, f"no complete response: {exc or type(exc).__name__}")


def _verify(counters, resp, payload, manifests):
    """Count a response as correct if it is the complete output of one version."""
    args = (payload["prompt"], payload["max_tokens"], payload["stream"])
    for version, manifest in manifests.items():
        if resp.content == generation.expected_body(version, manifest, *args):
            counters.complete += 1
            counters.by_version[version] = counters.by_version.get(version, 0) + 1
            return
    counters.wrong += 1
    _add_problem(counters, f"wrong response of {len(resp.content)} bytes")


def _add_problem(counters, problem):
    if len(counters.problems) < MAX_PROBLEMS:
        counters.problems.append(problem)
