"""Customers of a soak test: requests with known responses, checked byte by byte."""

import collections
import json

import anyio
import attrs
import httpx

from bench import fleet as fleets
from carobstand.standin import generation

CALL_TIMEOUT_S = 60.0
"""Maximum wait for a response: the entries' deadline of 20 s, pauses and a margin."""

MAX_CLOSE_AFTER_KILL_S = 0.5
"""Longest time from a SIGKILL until the process's connections are closed."""

MAX_REQUESTS_PER_KEY = 6
"""Maximum number of requests of a customer with one idempotency key."""

FINDING_KINDS = (
    "lost",
    "doubled",
    "crossed",
    "cut",
    "false_not_run",
    "mixed_versions",
    "wrong_answer",
    "server_errors",
)
"""Kinds of findings; each count must be 0."""


@attrs.define(eq=False)
class Order:
    """A call that must run at most once, with the outcome of each of its requests.

    `key` is its idempotency key.
    """

    order_id: str
    customer: str
    key: str
    outcomes: list = attrs.field(factory=list)


@attrs.define(eq=False)
class CustomerResults:
    """Responses that the customers received, and findings about them.

    Attributes
    ----------
    counts : Counter
        Number of responses by outcome, and of findings by kind of `FINDING_KINDS`.
    findings : list of str
        One line per finding.
    orders : dict of str to Order
    prompts : dict of str to tuple
        ``(max_tokens, stream)`` of each recent prompt, to recognise responses to other
        requests.
    durations_s : list of float
        Duration of each completed request.
    cuts : list of (str, str)
        Request id and detail of each response that ended early.
    open_requests : int
        Customers with a call in progress.
    last_id : int
        Number in the most recent prompt or order id.
    """

    counts: collections.Counter = attrs.field(factory=collections.Counter)
    findings: list = attrs.field(factory=list)
    orders: dict = attrs.field(factory=dict)
    prompts: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    durations_s: list = attrs.field(factory=list)
    cuts: list = attrs.field(factory=list)
    open_requests: int = 0
    last_id: int = 0


def record_finding(results, kind, detail):
    """Count and describe a finding of `kind`."""
    results.counts[kind] += 1
    results.findings.append(f"{kind}: {detail}")


@attrs.define(eq=False)
class Response:
    """The response to one request, or how the request failed.

    `outcome` is the value of the header Carobstand-Outcome, ``"none"`` without that
    header, ``"refused"`` if the connection was refused, or ``"broken"`` if it ended
    early. `problem` describes the failure.
    """

    entry: object
    started_at: float
    ended_at: float
    outcome: str
    status: int = 0
    headers: dict = attrs.field(factory=dict)
    body: bytes = b""
    problem: str = ""


async def request(fleet, entry, customer, method, path, headers=None, **options):
    """Send one request to an entry and read the response to its end."""
    headers = {"Authorization": f"Bearer {fleet.keys[customer]}", **(headers or {})}
    started_at = anyio.current_time()
    body = bytearray()
    status, got = 0, {}
    try:
        async with fleet.customer_http.stream(
            method, entry.http_url + path, headers=headers, **options
        ) as resp:
            status, got = resp.status_code, dict(resp.headers)
            async for data in resp.aiter_raw():
                body += data
        outcome, problem = got.get("carobstand-outcome", "none"), ""
    except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
        outcome, problem = "refused", repr(exc)
    except httpx.HTTPError as exc:
        outcome, problem = "broken", repr(exc)
    ended_at = anyio.current_time()
    return Response(
        entry, started_at, ended_at, outcome, status, got, bytes(body), problem
    )


def entry_was_killed(response):
    """Return whether the entry was killed while it handled the request.

    `kills` holds the times just before the signals were sent, so a request may start
    after such a time and still reach the process that is about to end.
    """
    earliest, latest = (
        response.started_at - MAX_CLOSE_AFTER_KILL_S,
        response.ended_at + MAX_CLOSE_AFTER_KILL_S,
    )
    return any(earliest <= at <= latest for at in response.entry.kills)


def classify_failure(results, label, response):
    """Classify and count a failed call; return False if the response is its result.

    A connection that ended early is a finding unless its entry was killed meanwhile.
    If part of the response had arrived, `soak_checks.check_logs` decides by the log.
    """
    if response.outcome == "refused":
        results.counts["connection_refused"] += 1
    elif response.outcome == "broken":
        if entry_was_killed(response):
            results.counts["broken_by_kill"] += 1
        elif response.status:
            detail = (
                f"{label}: {response.problem[:40]} after {len(response.body)} bytes"
            )
            results.cuts.append((response.headers.get("x-request-id"), detail))
        else:
            record_finding(
                results, "lost", f"{label}: {response.problem} at {response.entry.name}"
            )
    elif (
        response.status == 500 or response.outcome == "none" and response.status >= 400
    ):
        record_finding(
            results,
            "server_errors",
            f"{label}: {response.status} {response.body[:200]!r}",
        )
    elif response.outcome in ("not-run", "unknown"):
        results.counts[response.outcome] += 1
    else:
        return False
    return True


async def request_completion(fleet, results, rng, customer, entry, version=""):
    """Request a completion, streamed or not, and check every byte of it."""
    results.last_id += 1
    prompt = f"{customer} {results.last_id} " + "word " * rng.randrange(60)
    tokens = rng.choice((4, 30, 120))
    stream = rng.random() < 0.6
    results.prompts[prompt] = (tokens, stream)
    while len(results.prompts) > 400:
        results.prompts.popitem(last=False)
    model = "salahkar" + (f":{version}" if version else "")
    payload = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream}
    response = await request(
        fleet, entry, customer, "POST", "/v1/completions", json=payload
    )
    label = (
        f"completion {results.last_id} at {entry.name} from {response.started_at:.2f}"
    )
    if classify_failure(results, label, response):
        return
    if response.status != 200:
        results.counts[f"status_{response.status}"] += 1
        return
    _check_completion(fleet, results, label, prompt, response, version)
    results.durations_s.append(response.ended_at - response.started_at)


def _check_completion(fleet, results, label, prompt, response, version):
    tokens, stream = results.prompts[prompt]
    candidates = {
        name: generation.expected_body(name, digest, prompt, tokens, stream)
        for name, digest in fleet.versions.items()
        if version in ("", name)
    }
    for name, body in candidates.items():
        if body == response.body:
            served = response.headers.get("x-served-version", name)
            if served != name:
                record_finding(
                    results, "mixed_versions", f"{label}: header {served}, body {name}"
                )
            results.counts["done"] += 1
            return
    if any(body.startswith(response.body) for body in candidates.values()):
        record_finding(
            results, "cut", f"{label}: ended after {len(response.body)} bytes"
        )
    elif _belongs_to_other_request(fleet, results, prompt, response.body):
        record_finding(results, "crossed", f"{label}: answer of another request")
    elif _mixes_versions(candidates, response.body):
        record_finding(results, "mixed_versions", f"{label}: body of two versions")
    else:
        record_finding(
            results,
            "wrong_answer",
            f"{label}: {len(response.body)} bytes {response.body[:90]}",
        )


def _belongs_to_other_request(fleet, results, prompt, body):
    return any(
        body[:200] == generation.expected_body(name, digest, other, *request)[:200]
        for other, request in results.prompts.items()
        if other != prompt
        for name, digest in fleet.versions.items()
    )


def _mixes_versions(candidates, body):
    """Return whether each event of `body` is one of some version's response."""
    events = set().union(*(text.split(b"\n\n") for text in candidates.values()))
    return all(event in events for event in body.split(b"\n\n"))


async def look_up_stock(fleet, results, rng, customer, entry):
    """Make an idempotent call of the plain service, some with a large response."""
    results.last_id += 1
    order_id = f"lookup-{results.last_id}"
    size = rng.choice((0, 1000, 700_000))
    path = f"/services/order-desk/stock?order_id={order_id}&bytes={size}"
    response = await request(fleet, entry, customer, "GET", path)
    label = f"{order_id} at {entry.name}"
    if classify_failure(results, label, response):
        return
    _check_order(results, label, order_id, size, response)


def _check_order(results, label, order_id, size, response):
    try:
        body = json.loads(response.body)
    except ValueError:
        kind = "cut" if response.body.startswith(b'{"service"') else "wrong_answer"
        record_finding(
            results, kind, f"{label}: {len(response.body)} bytes {response.body[:90]}"
        )
        return
    if response.status != 200:
        results.counts[f"status_{response.status}"] += 1
    elif body.get("order_id") != order_id:
        record_finding(results, "crossed", f"{label}: answer of {body.get('order_id')}")
    elif len(body["padding"]) != size:
        record_finding(
            results, "cut", f"{label}: {len(body['padding'])} of {size} bytes"
        )
    else:
        results.counts["done"] += 1
        results.durations_s.append(response.ended_at - response.started_at)


async def place_order(fleet, results, rng, customer, entries):
    """Make a call that must run at most once; retry it with the same key or give up."""
    results.last_id += 1
    order_id = f"order-{results.last_id}"
    # All customers use the same keys, so that a response to another customer's call
    # with an equal key is detected.
    keys_used = sum(other.customer == customer for other in results.orders.values())
    record = Order(order_id, customer, f"shared-{keys_used}")
    results.orders[order_id] = record
    repeats = rng.choice((1, MAX_REQUESTS_PER_KEY))
    for _ in range(repeats):
        entry = rng.choice(entries() or fleets.programs_with_role(fleet, "entry"))
        response = await request(
            fleet,
            entry,
            customer,
            "POST",
            "/services/order-desk/orders",
            {"Idempotency-Key": record.key},
            json={"order_id": order_id},
        )
        record.outcomes.append(_order_outcome(response))
        label = f"{order_id} request {len(record.outcomes)} at {entry.name}"
        if not classify_failure(results, label, response):
            if response.status == 200:
                _check_order(results, label, order_id, 0, response)
                return
            results.counts[f"status_{response.status}"] += 1
        await anyio.sleep(rng.uniform(0.2, 1.5))


def _order_outcome(response):
    """Return what the caller may conclude: done, not-run or unknown."""
    if response.outcome == "done" and response.status == 200:
        return "done"
    if response.outcome in ("not-run", "refused"):
        return "not-run"
    return "unknown"


def check_orders(results, runs):
    """Compare the outcomes of orders with the runs at the plain backend servers.

    Parameters
    ----------
    results : CustomerResults
    runs : dict of str to int
        Number of runs of each order id, over all backend servers.
    """
    for order_id, record in results.orders.items():
        ran = runs.get(order_id, 0)
        if ran > 1:
            record_finding(
                results, "doubled", f"{order_id} ran {ran} times: {record.outcomes}"
            )
        if ran and record.outcomes and set(record.outcomes) == {"not-run"}:
            record_finding(
                results, "false_not_run", f"{order_id} ran: {record.outcomes}"
            )
        if not ran and "done" in record.outcomes:
            record_finding(
                results, "lost", f"{order_id} did not run: {record.outcomes}"
            )


async def customer_loop(fleet, results, rng, customer, entries, stop):
    """Make requests one after the other until `stop` is set.

    `entries` is a callable that returns the entries that are ready.
    """
    while not stop.is_set():
        ready = entries()
        if not ready:
            await anyio.sleep(0.2)
            continue
        entry = rng.choice(ready)
        choice = rng.random()
        results.open_requests += 1
        if choice < 0.45:
            await request_completion(fleet, results, rng, customer, entry)
        elif choice < 0.65:
            await look_up_stock(fleet, results, rng, customer, entry)
        else:
            await place_order(fleet, results, rng, customer, entries)
        results.open_requests -= 1
        await anyio.sleep(rng.uniform(0, 0.3))
