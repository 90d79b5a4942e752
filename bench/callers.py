"""Customers of a soak run: requests with known answers, and what became of them."""

import collections
import json

import anyio
import attrs
import httpx

from bench import fleet as fleets
from carobstand.standin import generation

CALL_TIMEOUT_S = 60.0
"""Longest wait for a response: the entries' deadline of 20 s, pauses and margin."""

KILL_S = 0.5
"""Longest time from a SIGKILL until the connections of the process have ended."""

REPEATS = 6
"""Most requests that a customer makes with one idempotency key."""

FAULTS = (
    "lost",
    "doubled",
    "crossed",
    "cut",
    "false_not_run",
    "mixed_versions",
    "wrong_answer",
    "server_errors",
)
"""Findings that must be 0."""


@attrs.define(eq=False)
class Order:
    """A call that must run at most once, with the outcome of each of its requests."""

    order_id: str
    customer: str
    key: str
    outcomes: list = attrs.field(factory=list)


@attrs.define(eq=False)
class Tally:
    """What the customers saw.

    Attributes
    ----------
    counts : Counter
        Outcomes, and findings of `FAULTS`.
    findings : list of str
        One line per finding.
    orders : dict of str to Order
    prompts : dict of str to tuple
        Recent prompts and their request, to recognise answers of other requests.
    seconds : list of float
        Duration of each completed request.
    cuts : list of (str, str)
        Request id and detail of each answer that ended early.
    """

    counts: collections.Counter = attrs.field(factory=collections.Counter)
    findings: list = attrs.field(factory=list)
    orders: dict = attrs.field(factory=dict)
    prompts: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    seconds: list = attrs.field(factory=list)
    cuts: list = attrs.field(factory=list)
    open: int = 0
    next_id: int = 0


def find(tally, kind, detail):
    """Count a finding of `kind`."""
    tally.counts[kind] += 1
    tally.findings.append(f"{kind}: {detail}")


@attrs.define(eq=False)
class Reply:
    """One response, or how it failed.

    `outcome` is the header Carobstand-Outcome, ``"refused"`` for a connection that
    was refused, or ``"broken"`` for one that ended early.
    """

    entry: object
    began: float
    ended: float
    outcome: str
    status: int = 0
    headers: dict = attrs.field(factory=dict)
    body: bytes = b""
    problem: str = ""


async def request(fleet, entry, customer, method, path, headers=None, **options):
    """Send one request to an entry and read the response to its end."""
    headers = {"Authorization": f"Bearer {fleet.keys[customer]}", **(headers or {})}
    began = anyio.current_time()
    body = bytearray()
    status, got = 0, {}
    try:
        async with fleet.callers.stream(
            method, entry.http_url + path, headers=headers, **options
        ) as answer:
            status, got = answer.status_code, dict(answer.headers)
            async for piece in answer.aiter_raw():
                body += piece
        outcome, problem = got.get("carobstand-outcome", "none"), ""
    except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
        outcome, problem = "refused", repr(exc)
    except httpx.HTTPError as exc:
        outcome, problem = "broken", repr(exc)
    ended = anyio.current_time()
    return Reply(entry, began, ended, outcome, status, got, bytes(body), problem)


def excused(reply):
    """Return whether the entry was killed while it held the request.

    `kills` holds the times before the signals, so a request may begin after one and
    still reach the dying process.
    """
    began, ended = reply.began - KILL_S, reply.ended + KILL_S
    return any(began <= at <= ended for at in reply.entry.kills)


def judge_failure(tally, what, reply):
    """Count a response that is no answer to the call itself; return whether it is one.

    A broken response is a finding unless its entry was killed meanwhile.
    """
    if reply.outcome == "refused":
        tally.counts["connection_refused"] += 1
    elif reply.outcome == "broken":
        if excused(reply):
            tally.counts["broken_by_kill"] += 1
        elif reply.status:
            detail = f"{what}: {reply.problem[:40]} after {len(reply.body)} bytes"
            tally.cuts.append((reply.headers.get("x-request-id"), detail))
        else:
            find(tally, "lost", f"{what}: {reply.problem} at {reply.entry.name}")
    elif reply.status == 500 or reply.outcome == "none" and reply.status >= 400:
        find(tally, "server_errors", f"{what}: {reply.status} {reply.body[:200]!r}")
    elif reply.outcome in ("not-run", "unknown"):
        tally.counts[reply.outcome] += 1
    else:
        return False
    return True


async def completion(fleet, tally, rng, customer, entry, version=""):
    """Request a completion, streamed or not, and verify every byte."""
    tally.next_id += 1
    prompt = f"{customer} {tally.next_id} " + "word " * rng.randrange(60)
    tokens = rng.choice((4, 30, 120))
    stream = rng.random() < 0.6
    tally.prompts[prompt] = (tokens, stream)
    while len(tally.prompts) > 400:
        tally.prompts.popitem(last=False)
    model = "salahkar" + (f":{version}" if version else "")
    order = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream}
    reply = await request(fleet, entry, customer, "POST", "/v1/completions", json=order)
    what = f"completion {tally.next_id} at {entry.name} from {reply.began:.2f}"
    if judge_failure(tally, what, reply):
        return
    if reply.status != 200:
        tally.counts[f"status_{reply.status}"] += 1
        return
    _verify(fleet, tally, what, prompt, reply, version)
    tally.seconds.append(reply.ended - reply.began)


def _verify(fleet, tally, what, prompt, reply, version):
    tokens, stream = tally.prompts[prompt]
    candidates = {
        name: generation.expected_body(name, digest, prompt, tokens, stream)
        for name, digest in fleet.versions.items()
        if version in ("", name)
    }
    for name, body in candidates.items():
        if body == reply.body:
            served = reply.headers.get("x-served-version", name)
            if served != name:
                find(tally, "mixed_versions", f"{what}: header {served}, body {name}")
            tally.counts["done"] += 1
            return
    if any(body.startswith(reply.body) for body in candidates.values()):
        find(tally, "cut", f"{what}: ended after {len(reply.body)} bytes")
    elif _is_of_another(fleet, tally, prompt, reply.body):
        find(tally, "crossed", f"{what}: answer of another request")
    elif _is_mixture(candidates, reply.body):
        find(tally, "mixed_versions", f"{what}: body of two versions")
    else:
        find(
            tally, "wrong_answer", f"{what}: {len(reply.body)} bytes {reply.body[:90]}"
        )


def _is_of_another(fleet, tally, prompt, body):
    return any(
        body[:200] == generation.expected_body(name, digest, other, *request)[:200]
        for other, request in tally.prompts.items()
        if other != prompt
        for name, digest in fleet.versions.items()
    )


def _is_mixture(candidates, body):
    """Return whether each event of `body` belongs to some version."""
    events = set().union(*(text.split(b"\n\n") for text in candidates.values()))
    return all(event in events for event in body.split(b"\n\n"))


async def lookup(fleet, tally, rng, customer, entry):
    """Make an idempotent call of the plain service, some with a large answer."""
    tally.next_id += 1
    order_id = f"lookup-{tally.next_id}"
    size = rng.choice((0, 1000, 700_000))
    path = f"/services/order-desk/stock?order_id={order_id}&bytes={size}"
    reply = await request(fleet, entry, customer, "GET", path)
    what = f"{order_id} at {entry.name}"
    if judge_failure(tally, what, reply):
        return
    _check_order(tally, what, order_id, size, reply)


def _check_order(tally, what, order_id, size, reply):
    try:
        body = json.loads(reply.body)
    except ValueError:
        kind = "cut" if reply.body.startswith(b'{"service"') else "wrong_answer"
        find(tally, kind, f"{what}: {len(reply.body)} bytes {reply.body[:90]}")
        return
    if reply.status != 200:
        tally.counts[f"status_{reply.status}"] += 1
    elif body.get("order_id") != order_id:
        find(tally, "crossed", f"{what}: answer of {body.get('order_id')}")
    elif len(body["padding"]) != size:
        find(tally, "cut", f"{what}: {len(body['padding'])} of {size} bytes")
    else:
        tally.counts["done"] += 1
        tally.seconds.append(reply.ended - reply.began)


async def order(fleet, tally, rng, customer, entries):
    """Make a call that must run at most once; repeat it with its key, or give up."""
    tally.next_id += 1
    order_id = f"order-{tally.next_id}"
    # Customers use the same keys, so that an answer for another customer's key shows.
    number = sum(other.customer == customer for other in tally.orders.values())
    made = Order(order_id, customer, f"shared-{number}")
    tally.orders[order_id] = made
    repeats = rng.choice((1, REPEATS))
    for _ in range(repeats):
        entry = rng.choice(entries() or fleets.of_role(fleet, "entry"))
        reply = await request(
            fleet,
            entry,
            customer,
            "POST",
            "/services/order-desk/orders",
            {"Idempotency-Key": made.key},
            json={"order_id": order_id},
        )
        made.outcomes.append(_order_outcome(reply))
        what = f"{order_id} request {len(made.outcomes)} at {entry.name}"
        if not judge_failure(tally, what, reply):
            if reply.status == 200:
                _check_order(tally, what, order_id, 0, reply)
                return
            tally.counts[f"status_{reply.status}"] += 1
        await anyio.sleep(rng.uniform(0.2, 1.5))


def _order_outcome(reply):
    """Return what the caller may conclude: done, not-run, unknown or refused."""
    if reply.outcome == "done" and reply.status == 200:
        return "done"
    if reply.outcome in ("not-run", "refused"):
        return "not-run"
    return "unknown"


def check_orders(tally, runs):
    """Compare the outcomes of orders with what the plain services ran.

    Parameters
    ----------
    tally : Tally
    runs : dict of str to int
        Runs of each order id, over all backend servers.
    """
    for order_id, made in tally.orders.items():
        ran = runs.get(order_id, 0)
        if ran > 1:
            find(tally, "doubled", f"{order_id} ran {ran} times: {made.outcomes}")
        if ran and made.outcomes and set(made.outcomes) == {"not-run"}:
            find(tally, "false_not_run", f"{order_id} ran: {made.outcomes}")
        if not ran and "done" in made.outcomes:
            find(tally, "lost", f"{order_id} did not run: {made.outcomes}")


async def customer_loop(fleet, tally, rng, customer, entries, stop):
    """Make requests one after the other until `stop` is set.

    `entries` is a callable that returns the entries that are ready.
    """
    while not stop.is_set():
        ready = entries()
        if not ready:
            await anyio.sleep(0.2)
            continue
        entry = rng.choice(ready)
        kind = rng.random()
        tally.open += 1
        if kind < 0.45:
            await completion(fleet, tally, rng, customer, entry)
        elif kind < 0.65:
            await lookup(fleet, tally, rng, customer, entry)
        else:
            await order(fleet, tally, rng, customer, entries)
        tally.open -= 1
        await anyio.sleep(rng.uniform(0, 0.3))
