"""Open-loop load of completions, run as a process of its own; prints JSON results."""

import json
import random
import sys

import anyio
import attrs
import httpx

TIMEOUT_S = 30.0
"""Longest wait for one response."""

FIRST_TOKEN_S = 1.2
"""Target of the first token; a later one does not count as goodput."""


@attrs.define
class Plan:
    """What to send.

    Attributes
    ----------
    urls : list of str
        Entries, or anything that answers ``/v1/completions``.
    keys : dict of str to str
        Bearer key per customer.
    shares : dict of str to float
        Share of the requests per customer.
    rate_per_s, seconds : float
    prefixes, prefix_chars, tail_chars, tokens : int
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
    """One request: `first_s` and `total_s` from its start, `gaps_s` between events."""

    customer: str
    status: int = 0
    outcome: str = ""
    first_s: float | None = None
    total_s: float = 0.0
    events: int = 0
    gaps_s: list = attrs.field(factory=list)
    whole: bool = False


async def run(plan):
    """Send requests at Poisson times and return their samples."""
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
            at = start
            number = 0
            while True:
                at += rng.expovariate(plan.rate_per_s)
                if at - start > plan.seconds:
                    break
                await anyio.sleep_until(at)
                customer = rng.choices(names, weights)[0]
                prefix = rng.choices(range(plan.prefixes), popularity)[0]
                number += 1
                prompt = _prompt(plan, prefix, number)
                url = plan.urls[number % len(plan.urls)]
                sample = Sample(customer)
                samples.append(sample)
                tg.start_soon(_one, client, plan, url, prompt, sample)
    return samples


def _prompt(plan, prefix, number):
    head = (f"prefix {prefix} " * plan.prefix_chars)[: plan.prefix_chars]
    tail = (f"seed {plan.seed} request {number} " * plan.tail_chars)[: plan.tail_chars]
    return head + tail


async def _one(client, plan, url, prompt, sample):
    doc = {"model": plan.model, "prompt": prompt, "max_tokens": plan.tokens}
    headers = {"authorization": f"Bearer {plan.keys[sample.customer]}"}
    began = anyio.current_time()
    last = None
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
                    sample.first_s = now - began
                elif events:
                    # Events that arrive together have one gap and then none.
                    sample.gaps_s.append(now - last)
                    sample.gaps_s.extend([0.0] * (events - 1))
                sample.events += events
                last = now
        sample.whole = sample.status == 200
    except httpx.HTTPError:
        sample.outcome = "broken"
    sample.total_s = anyio.current_time() - began


def quantile(values, share):
    """Return the `share` quantile of `values`, or None."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))] if ranked else None


def summary(samples, seconds):
    """Return the figures of a phase as a dict."""
    whole = [s for s in samples if s.whole]
    good = [s for s in whole if s.first_s is not None and s.first_s <= FIRST_TOKEN_S]
    gaps = [gap for s in whole for gap in s.gaps_s]
    return {
        "sent": len(samples),
        "whole": len(whole),
        "goodput_per_s": len(good) / seconds,
        "first_p50_s": quantile([s.first_s for s in whole], 0.5),
        "first_p95_s": quantile([s.first_s for s in whole], 0.95),
        "gap_p95_s": quantile(gaps, 0.95),
        "tokens": sum(s.events for s in whole),
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
