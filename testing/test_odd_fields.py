"""Guards against a field of a record that fails where it is used.

Each field of each record that others write is set to each odd value, and some pairs of
fields at random. What can be decoded goes through the code that uses it.
"""

import copy
import json
import math
import random

import h11
import pytest

from carobstand import entry_records, errors, http1
from carobstand.core import (
    announcements,
    calibration,
    eligibility,
    engine_load,
    event_stream,
    exchange,
    health,
    latency_model,
    load_schedule,
    named_versions,
    permit_grants,
    permit_rates,
    placement,
    queue_policy,
    routes,
    value_density,
    weight_sources,
)
from carobstand.platform import (
    engine_client,
    fields,
    http_headers,
    records,
    settings_file,
    weights_origin,
)
from carobstand.wire import fleet_codec
from carobstand.wire.gen_fleet import ttypes
from testing import platform_builders as build

SEED = 4
RANDOM_PAIRS = 1500

LEVELS = (40, 900, 970, 990)
"""Nesting that decoding bears in part, and what walks through the result in part."""

ODD_VALUES = (
    *(None, True, [], {}, [[[]]], [None], [{}], {"a": None}),
    *(-1, 0, 1, 2**31 - 1, 2**31, 2**53, 2**53 + 1, 2**63, 10**400, -(10**400)),
    *(0.5, -0.5, 5e-324, 1e15, 1e300, -1e300, math.nan, math.inf, -math.inf),
    *("", " ", " a", "a" * 200, "a" * 5000, "a\r\nX: 1", "a\0", "\x7f", "\ud800", "é"),
    *("127.0.0.1:0", "127.0.0.1:65535", "127.0.0.1:65536", "a.example:80", ":::1"),
    *(f"@{levels}@" for levels in LEVELS),
)

SIZE = placement.Size(prompt_tokens=http_headers.MAX_TOKENS, answer_tokens=119)


def encode(record):
    """Return a record as JSON, with the nested lists that its values stand for."""
    raw = json.dumps(record).encode()
    for levels in LEVELS:
        raw = raw.replace(b'"@%d@"' % levels, b"[" * levels + b"]" * levels)
    return raw


def paths(value, prefix=()):
    """Yield the path of each field and item of a record."""
    if isinstance(value, (dict, list)):
        for key in value if isinstance(value, dict) else range(len(value)):
            yield (*prefix, key)
            yield from paths(value[key], (*prefix, key))


def changed(record, path, value):
    """Return a copy of a record with another value at a path, if it is still there."""
    found = copy.deepcopy(record)
    inner = found
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return found


def variants(record):
    """Yield each variant of a record as bytes."""
    rng, found = random.Random(SEED), list(paths(record))
    for path in found:
        for value in ODD_VALUES:
            yield encode(changed(record, path, value))
    for _ in range(RANDOM_PAIRS):
        first, second = rng.sample(found, 2)
        if first != second[: len(first)]:
            once = changed(record, second, rng.choice(ODD_VALUES))
            if second != first[: len(second)]:
                once = changed(once, first, rng.choice(ODD_VALUES))
            yield encode(once)


def check(record, decode, use):
    """Decode each variant of a record, and use those that can be decoded."""
    use(decode(encode(record)))
    for raw in variants(record):
        try:
            found = decode(raw)
        except errors.RecordError as exc:
            assert len(str(exc)) < 400
            continue
        try:
            use(found)
        except Exception as exc:
            raise AssertionError(f"{raw[:1000]!r} fails in use") from exc


def rank(servers, service, loads=()):
    """Rank some servers, one of which is busy; return the choices."""
    state = engine_load.EngineLoads()
    for load in loads:
        engine_load.put(state, load)
    conditions = eligibility.Conditions(
        service=servers[0].service,
        loads=state,
        healths={server.server_id: health.ServerHealth() for server in servers},
        announced=announcements.Announcements(),
        tried=set(),
    )
    by_id = {server.server_id: server for server in servers}
    candidates = eligibility.sort_out(by_id, conditions, 0.0)
    return placement.rank(
        candidates,
        service,
        {},
        conditions.healths,
        calibration.Calibration(),
        SIZE,
        build.ENTRY_LOCATION,
        lambda: 0.5,
        lambda holding: math.inf,
        0.0,
    )


def use_registration(found):
    sound = build.registration("i-2", service=found.service)
    loads = [build.load_report(found, running=1), build.load_report(sound, running=1)]
    for service in (None, build.service()):
        for choice in rank([found, sound], service, loads):
            queue_policy.decide(build.terms(), choice, 0.1, 0.0, pressure=0.5)
    server = ttypes.RankedServer(found.server_id, found.failure_domain)
    fleet_codec.encode(ttypes.ExplainReply(ranked=[server]))
    out = exchange.Outbound(server_id=found.server_id, deadline_s=1.0)
    head = http_headers.backend_headers(
        exchange.Inbound(method=b"GET", target=b"/", host="a"), out, b""
    )
    h11.Request(method="GET", target="/", headers=[("Host", "a"), *head])
    h11.Request(method="GET", target="/", headers=[("Host", found.address)])


def test_odd_registrations_of_servers():
    record = build.server_record(warmup_remaining_ms=3000)
    check(
        record,
        lambda raw: records.decode_registration("servers/i-1", raw),
        use_registration,
    )


def use_configuration(found):
    config, raw = found
    records.services_only(raw)
    fleet_codec.encode(ttypes.NewsRequest(0, 0, 0, config.version))
    for by_prefix in config.routes.values():
        for route in by_prefix.values():
            use_route(route)
    for customer in config.customers.values():
        headers = [("Host", "a"), ("Tenant", customer.name.encode())]
        h11.Request(method="GET", target="/", headers=headers)
    for service in config.services.values():
        use_service(service)


def use_route(route):
    routes.pick_service(route, 0.999)
    terms = build.terms(
        target=route.target_s, deadline=route.timeout_s, priority=route.priority
    )
    queue_policy.sort_key(terms, 0.1, 0.0)
    queue_policy.engine_priority(terms, 0.1, 0.0)
    fleet_codec.encode(
        ttypes.DemandRow
        and ttypes.DemandReport(
            name=route.shares[0][0], rows=[ttypes.DemandRow(route.priority, "c", 1)]
        )
    )
    fleet_codec.encode(
        ttypes.ExplainReply(
            route=route.name, permitted_regions=sorted(route.permitted_regions)
        )
    )
    int(1000 * route.timeout_s), int(1000 * route.max_gap_s)


def use_service(service):
    rank([build.registration("i-1"), build.registration("i-2")], service)
    if service.latency_model is not None:
        value_density.cost_s(service.latency_model, SIZE.prompt_tokens, 119)
        latency_model.answer_s(service.latency_model, 119, 7)
    allowed = service.sustained_per_s * 1.5 + 5
    warmup = permit_rates.Warmup(service.sustained_per_s, allowed)
    limit = permit_rates.cold_limit(warmup)
    permit_rates.cold_permit_s(limit, warmup)
    int(1000 * permit_grants.interval_s(permit_grants.Granter(), limit))
    if service.weights is not None:
        copy_bytes = service.weights.pieces * service.weights.piece_bytes
        load_schedule.receive_s(copy_bytes, 1e6)
        fleet_codec.encode(ttypes.ManifestRequest(service.weights.models[0], 1, True))
    if service.health_path:
        h11.Request(method="GET", target=service.health_path, headers=[("Host", "a")])


def test_odd_configurations():
    def decode(raw):
        return records.decode_configuration(raw), raw

    split = [{"service": "x", "weight": 9}, {"service": "y", "weight": 1}]
    record = build.configuration_record(
        routes=[build.route_record(traffic_split=split, allowed_regions=["north"])]
    )
    check(record, decode, use_configuration)


def test_odd_named_versions():
    def use(named):
        seen = []
        named_versions.add(seen, named.version, 0.0)
        fleet_codec.encode(ttypes.ManifestRequest(named.model, named.version, True))
        fleet_codec.encode(ttypes.EngineLoad(copies=[named.version], model=named.model))

    check({"model": "m", "version": 4}, records.decode_named_version, use)


def test_odd_registrations_of_entries():
    def use(entry):
        sound = weight_sources.Entry("entry-2", "127.0.0.1:7700", "a", "north", 1e6)
        assert len(weight_sources.seeders([entry, sound], "m", "a", "north")) == 2
        fleet_codec.encode(
            ttypes.EntryJoined(
                entry.vm, entry.address, entry.failure_domain, entry.region
            )
        )

    record = json.loads(
        entry_records.encode(
            weight_sources.Entry("entry-1", "127.0.0.1:7700", "a", "north", 1e6)
        )
    )
    check(record, lambda raw: entry_records.decode("entry-1", raw), use)


def test_odd_reports_of_engines():
    def use(report):
        holding = report.holding
        message = ttypes.EngineLoad(
            address="127.0.0.1:9001",
            started_ms=report.started_ms,
            number=1,
            running=report.running,
            waiting=report.waiting,
            slowness=report.slowness,
            model=holding and holding.model,
            version=holding and holding.version,
            first_layer=holding and holding.start,
            end_layer=holding and holding.end,
            held_tokens=report.held_tokens,
        )
        assert fleet_codec.decode(fleet_codec.encode(message)) == message
        server = build.registration("i-1", started_ms=report.started_ms)
        load = build.load_report(
            server,
            running=report.running,
            waiting=report.waiting,
            slowness=engine_load.usable_slowness(report.slowness),
            holding=holding,
            held_tokens=report.held_tokens,
        )
        rank([server], build.service(), [load])

    record = {
        **build.server_record(),
        **{"busy": False, "running": 3, "waiting": 1, "pace": 1.0},
        **{"kv_cache_used": 41000, "kv_cache_total": 90000},
    }
    check(
        record,
        lambda raw: engine_client.decode_report(fields.parse(raw, "report")),
        use,
    )


def test_odd_manifests():
    record = {"model": "m", "version": 2, "chunk_bytes": 64, "digests": ["00" * 32]}

    def use(found):
        fleet_codec.encode(
            ttypes.ManifestReply(
                found.model, found.version, b"".join(found.digests), found.piece_bytes
            )
        )
        assert found.piece_bytes > 0

    check(record, weights_origin.decode_manifest, use)


def test_odd_settings():
    check(
        build.settings_record(app="127.0.0.1:9001"),
        lambda raw: settings_file.decode(fields.parse(raw, "settings")),
        lambda dep: range(*dep.internal_ports),
    )


@pytest.mark.parametrize(
    "value", ["9" * 5000, "1e999", "-1", "nan", "1e300", "5e-324", "0", "x", "1.5.5"]
)
def test_odd_headers_of_responses(value):
    names = ("server-limit", "warmup-ms", "retry-after", "weight-versions")
    for name in (*names, "server-load", "instance-id"):
        text = ",".join([value] * 3) if name == "server-load" else value
        headers = h11.Response(status_code=503, headers=[(name, text)]).headers
        head = http_headers.decode_response_head(503, headers)
        if head.limit is not None:
            per_s = permit_rates.rate(head.limit)
            granter = permit_grants.Granter()
            fleet_codec.encode(
                ttypes.PermitReply(
                    limit=head.limit,
                    interval_ms=int(1000 * permit_grants.interval_s(granter, per_s)),
                )
            )
        if head.version is not None:
            fleet_codec.encode(ttypes.EngineLoad(version=head.version))
        assert (head.backoff_s or 0) <= 3600


@pytest.mark.parametrize("value", ["9" * 5000, "9" * 400, "\xb2", "-1", "1.5", ""])
def test_an_odd_keep_alive_sets_no_idle_time(value):
    headers = [("Keep-Alive", f"timeout={value}".encode("latin-1"))]
    conn = http1.Connection(None, "127.0.0.1:80")
    http1._record_keep_alive(conn, h11.Response(status_code=200, headers=headers))
    assert conn.idle_until is None


def test_an_event_with_an_odd_id_is_passed_on():
    state = event_stream.EventStream()
    event = b"id: " + b"9" * 5000 + b"\ndata: x\n\n"
    assert event_stream.feed(state, event) == event
