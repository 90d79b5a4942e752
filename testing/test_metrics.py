"""Guards against metrics that lose values, grow without bound or cannot be parsed."""

import json

import anyio
import attrs
import httpx
import pytest

from carobstand import metrics, status
from carobstand.entry import state as states
from carobstand.wire import connection
from carobstand.wire.gen import ttypes


def test_quantiles_are_within_one_percent():
    registry = metrics.Registry()
    for ms in range(1, 1001):
        metrics.record(registry, "gap_s", ms / 1000, outcome="done")
    assert metrics.quantile(registry, "gap_s", 0.95, outcome="done") == pytest.approx(
        0.95, rel=0.01
    )
    text = metrics.render(registry)
    assert 'carobstand_gap_s_count{outcome="done"} 1000\n' in text
    assert 'carobstand_gap_s_sum{outcome="done"} 500.5\n' in text


def test_label_values_are_escaped():
    registry = metrics.Registry()
    metrics.count(registry, "requests", customer='a"\n\\')
    text = metrics.render(registry)
    assert 'carobstand_requests_total{customer="a\\"\\n\\\\"} 1\n' in text


def test_the_number_of_series_is_bounded():
    registry = metrics.Registry()
    for i in range(metrics.MAX_SERIES + 5):
        metrics.count(registry, "requests", customer=str(i))
    metrics.count(registry, "requests", customer="0")
    assert len(registry.counters) == metrics.MAX_SERIES
    assert registry.dropped == 5


@attrs.frozen
class Cfg:
    vm: str = "e1"
    failure_domain: str = "kutch-bhuj"
    region: str = "kutch"


@attrs.frozen
class Record:
    revision: int
    when: float


@attrs.frozen
class Table:
    revision: int
    history: tuple


def test_status_reports_agents_that_are_behind_and_their_lag():
    history = tuple(Record(i, 100.0 + i) for i in range(1, 8))
    state = states.EntryState(cfg=Cfg(), start_id="s", table=Table(7, history))
    hello = ttypes.Hello(vm="a1", start_id="t", failure_domain="kutch-bhuj")
    conn = connection.Connection(stream=None, peer=hello, address="127.0.0.1:1")
    for vm, revision in (("a1", 5), ("a2", 7)):
        heartbeat = ttypes.Heartbeat(
            table_revision=revision, replicas=[ttypes.Replica()]
        )
        state.agents[vm] = states.AgentPeer(conn=conn, hello=hello, heartbeat=heartbeat)
    body = json.loads(json.dumps(status.describe(state, True, now=110.0)))
    assert body["behind"] == ["a1"]
    assert (body["agents"]["a1"]["behind"], body["agents"]["a1"]["behind_s"]) == (2, 4)


def test_the_status_port_responds_by_path_and_method():
    state = states.EntryState(cfg=Cfg(), start_id="s", metrics=metrics.Registry())
    ready = [False]
    app = status.app(state, lambda: ready[0])

    async def send_requests():
        transport = httpx.ASGITransport(app=app)
        async with httpx.AsyncClient(transport=transport, base_url="http://s") as http:
            assert (await http.get("/readyz")).status_code == 503
            ready[0] = True
            assert (await http.get("/readyz")).status_code == 200
            assert (await http.get("/healthz")).text == "ok\n"
            assert (await http.get("/status")).json()["ready"] is True
            assert "process_resident_bytes" in (await http.get("/metrics")).text
            assert (await http.post("/status")).status_code == 405
            assert (await http.get("/other")).status_code == 404

    anyio.run(send_requests)
