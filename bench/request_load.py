"""Open-loop load generator for completions, run as its own process.

Reads a plan as JSON from standard input and prints one JSON object per request.
"""

import json
import random
import sys

import anyio
import attrs
import httpx

TIMEOUT_S = 30.0
"""Longest wait for one response."""

FIRST_TOKEN_TARGET_S = 1.2
"""Target of the time to first token; slower responses do not count as goodput."""


@attrs.define
class Plan:
    """Parameters of a load.

    Attributes
    ----------
    urls : list of str
        Base URLs of servers with ``/v1/completions``, used in turn.
    keys : dict of str to str
        Bearer key per customer.
    shares : dict of str to float
        Share of the requests per customer.
    rate_per_s, seconds : float
        Mean request rate and length of the load.
    prefixes : int
        Number of distinct prompt prefixes; the n-th most popular is chosen with a
        weight of 1/n.
    prefix_chars, tail_chars : int
        Lengths of the shared prefix and of the unique rest of a prompt.
    tokens : int
        Requested tokens per response.
    model : str
    seed : int
    """

    urls: list
    keys: dict
    shares: dict
    rate_per_s: float
    seconds: float
    prefixes: int = 32
    prefix_chars: int = 1024
    tail_chars: int = 128
    tokens: int = 20
    model: str = "salahkar"
    seed: int = 1


@attrs.define
class Sample:
    """Measurements of one request.

    Attributes
    ----------
    customer : str
    status : int
        HTTP status; 0 if no response arrived.
    outcome : str
        Header ``Carobstand-Outcome``, or ``broken`` after a transport error.
    first_s, total_s : float
        Time from the start to the first data and to the end.
    events : int
        Server-sent events received.
    gaps_s : list of float
        Times between consecutive events.
    whole : bool
        Whether a response with status 200 arrived completely.
    """

    customer: str
    status: int = 0
    outcome: str = ""
    first_s: float | None = None
    total_s: float = 0.0
    events: int = 0
    gaps_s: list = attrs.field(factory=list)
    whole: bool = False


async def run(plan):
    """Send requests send_at Poisson times and return their samples."""
    rng = random.Random(plan.seed)
    samples = []
    names, weights = list(plan.shares), list(plan.shares.values())
    popularity = [1 / (1 + rank) for rank in range(plan.prefixes)]
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=64)
    async with httpx.AsyncClient(
        limits=limits, timeout=TIMEOUT_S, trust_env=False
    ) as client:
        async with anyio.create_task_group() as tg:
            start = anyio.current_time()
            send_at = start
            number = 0
            while True:
                send_at += rng.expovariate(plan.rate_per_s)
                if send_at - start > plan.seconds:
                    break
                await anyio.sleep_until(send_at)
                customer = rng.choices(names, weights)[0]
                prefix = rng.choices(range(plan.prefixes), popularity)[0]
                number += 1
                prompt = _prompt(plan, prefix, number)
                url = plan.urls[number % len(plan.urls)]
                sample = Sample(customer)
                samples.append(sample)
                tg.start_soon(_send_request, client, plan, url, prompt, sample)
    return samples


def _prompt(plan, prefix, number):
    head = (f"prefix {prefix} " * plan.prefix_chars)[: plan.prefix_chars]
    tail = (f"seed {plan.seed} request {number} " * plan.tail_chars)[: plan.tail_chars]
    return head + tail


async def _send_request(client, plan, url, prompt, sample):
    doc = {"model": plan.model, "prompt": prompt, "max_tokens": plan.tokens}
    headers = {"authorization": f"Bearer {plan.keys[sample.customer]}"}
    started_at = anyio.current_time()
    last_data_at = None
    try:
        async with client.stream(
            "POST",
            f"{url}/v1/completions",
            json={**doc, "stream": True},
            headers=headers,
        ) as resp:
            sample.status = resp.status_code
            sample.outcome = resp.headers.get("carobstand-outcome", "")
            async for data in resp.aiter_raw():
                now = anyio.current_time()
                if resp.status_code != 200:
                    continue
                events = data.count(b"\n\n")
                if sample.first_s is None:
                    sample.first_s = now - started_at
                elif events:
                    # Events that arrive together: one gap, then gaps of 0.
                    sample.gaps_s.append(now - last_data_at)
                    sample.gaps_s.extend([0.0] * (events - 1))
                sample.events += events
                last_data_at = now
        sample.whole = sample.status == 200
    except httpx.HTTPError:
        sample.outcome = "broken"
    sample.total_s = anyio.current_time() - started_at


def quantile(values, share):
    """Return the `share` quantile of `values`, or None if there are none."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))] if ranked else None


def summarize(samples, seconds):
    """Return the results of a load of `seconds` as a dict."""
    complete = [s for s in samples if s.whole]
    good = [
        s
        for s in complete
        if s.first_s is not None and s.first_s <= FIRST_TOKEN_TARGET_S
    ]
    gaps = [gap for s in complete for gap in s.gaps_s]
    return {
        "sent": len(samples),
        "whole": len(complete),
        "goodput_per_s": len(good) / seconds,
        "first_p50_s": quantile([s.first_s for s in complete], 0.5),
        "first_p95_s": quantile([s.first_s for s in complete], 0.95),
        "gap_p95_s": quantile(gaps, 0.95),
        "tokens": sum(s.events for s in complete),
        "refused": sum(s.status in (429, 503) for s in samples),
        "broken": sum(s.status == 200 and not s.whole for s in samples),
        "other": sum(s.status not in (200, 429, 503) for s in samples),
    }


def main():
    """Run the plan given as JSON on standard input; print samples as JSON."""
    plan = Plan(**json.load(sys.stdin))
    samples = anyio.run(run, plan)
    print(json.dumps([attrs.asdict(sample) for sample in samples]))


if __name__ == "__main__":
    main()
