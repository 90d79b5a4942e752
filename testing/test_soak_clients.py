"""Guards against a soak run that misclassifies responses."""

import attrs
import pytest

from bench import soak_clients
from carobstand.standin import generation


@attrs.frozen
class Fleet:
    versions: dict = attrs.field(factory=lambda: {"v1": "a" * 64, "v2": "b" * 64})


def body(version, prompt, stream=True):
    digest = Fleet().versions[version]
    return generation.expected_body(version, digest, prompt, 5, stream)


def events(version, prompt):
    return body(version, prompt).split(b"\n\n")


@pytest.mark.parametrize(
    ("received", "finding"),
    [
        (body("v1", "mine"), "done"),
        (body("v2", "mine"), "done"),
        (body("v1", "mine")[:-20], "cut"),
        (b"", "cut"),
        (body("v1", "other"), "crossed"),
        (b"\n\n".join(events("v1", "mine")[:2] + events("v2", "mine")[2:]), "mixed"),
        (body("v1", "mine") + b"data: more\n\n", "wrong_answer"),
    ],
)
def test_each_kind_of_wrong_completion_is_detected(received, finding):
    results = soak_clients.CustomerResults()
    results.prompts.update({"mine": (5, True), "other": (5, True)})
    response = soak_clients.Response(None, 0.0, 1.0, "done", 200, {}, received)
    soak_clients._check_completion(Fleet(), results, "call", "mine", response, "")
    finding = "mixed_versions" if finding == "mixed" else finding
    assert dict(results.counts) == {finding: 1}


@pytest.mark.parametrize(
    ("outcomes", "ran", "findings"),
    [
        (["done"], 1, []),
        (["done"], 0, ["lost"]),
        (["unknown", "done"], 2, ["doubled"]),
        (["not-run", "not-run"], 1, ["false_not_run"]),
        (["not-run"], 0, []),
        (["unknown", "not-run"], 1, []),
    ],
)
def test_outcomes_of_orders_are_compared_with_their_runs(outcomes, ran, findings):
    results = soak_clients.CustomerResults()
    results.orders["o"] = soak_clients.Order("o", "c", "k", outcomes)
    soak_clients.check_orders(results, {"o": ran})
    assert sorted(results.counts) == findings


@attrs.define
class Entry:
    name: str = "entry-1"
    kills: list = attrs.field(factory=list)


@pytest.mark.parametrize(
    ("status", "killed_at", "finding"),
    [(200, None, "cut"), (0, None, "lost"), (200, 5.0, "broken_by_kill")],
)
def test_a_broken_response_is_tolerated_only_if_its_entry_was_killed(
    status, killed_at, finding
):
    results = soak_clients.CustomerResults()
    entry = Entry(kills=[killed_at] if killed_at else [])
    response = soak_clients.Response(entry, 4.0, 6.0, "broken", status)
    assert soak_clients.classify_failure(results, "call", response)
    assert len(results.cuts) == (finding == "cut")
    assert dict(results.counts) == ({} if finding == "cut" else {finding: 1})
