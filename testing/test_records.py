import json
import time

import pytest

from carobstand import errors
from carobstand.core import routes
from carobstand.platform import records, settings_file
from testing import platform_builders as build


def write(tmp_path, record):
    path = tmp_path / "boot.json"
    path.write_text(json.dumps(record))
    return str(path)


def test_settings_of_an_entry_are_decoded(tmp_path):
    dep = settings_file.load(write(tmp_path, build.settings_record()))
    assert dep.vm == "frontend-a-1"
    assert dep.failure_domain == "a"
    assert dep.regions == {"a": "north", "b": "south"}
    assert dep.ingress_address == "127.0.0.1:8005"
    assert dep.internal_ports == (7700, 7715)
    assert dep.bounds.drain_s == 2.0
    assert dep.bounds.retry_slack == 106
    assert dep.bounds.evacuation_s == 4.0
    assert (dep.bounds.cold_factor, dep.bounds.cold_slack) == (1.2, 7)
    assert dep.link_bytes_per_s == 1e6


def test_unknown_fields_of_settings_are_ignored(tmp_path):
    dep = settings_file.load(
        write(tmp_path, build.settings_record(something={"new": [1]}))
    )
    assert dep.store_address == "127.0.0.1:8007"


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"node_name": None}, "node_name"),
        ({"zone": 3}, "zone"),
        ({"ip_address": None}, "ip_address"),
        ({"platform": {}}, "address"),
        ({"platform": {"address": "nowhere"}}, "address"),
        ({"internal_port_range": [7700]}, "internal_port_range"),
        ({"bounds": {"drain_ms": "soon"}}, "drain_ms"),
        ({"zones": {"a": 1}}, "zones"),
    ],
)
def test_an_invalid_setting_is_named_in_a_one_line_message(tmp_path, changes, named):
    with pytest.raises(errors.SettingsError) as caught:
        settings_file.load(write(tmp_path, build.settings_record(**changes)))
    assert named in caught.value.message
    assert "\n" not in caught.value.message


@pytest.mark.parametrize("content", [b"", b"{", b"[]", b"\xff\xfe", b"[" * 100_000])
def test_a_settings_file_that_is_not_a_json_object_is_an_error(tmp_path, content):
    path = tmp_path / "boot.json"
    path.write_bytes(content)
    with pytest.raises(errors.SettingsError, match="boot.json"):
        settings_file.load(str(path))


def test_a_missing_settings_file_is_an_error(tmp_path):
    with pytest.raises(errors.SettingsError, match="cannot be read"):
        settings_file.load(str(tmp_path / "none.json"))


def test_a_configuration_is_decoded():
    config = records.decode_configuration(
        build.encode_record(build.configuration_record())
    )
    route = routes.find_route(config, "one.example", "/a/b?c=/d/")
    assert config.version == 7
    assert route.kind is routes.Kind.STREAM
    assert route.timeout_s == 6.0
    assert route.max_servers == 2
    assert route.is_resumable
    assert config.customers["k2"].name == "acme"
    assert config.needs_keys
    assert config.services["drafter"].latency_model.slots == 16
    assert config.services["drafter"].sustained_per_s == 0.0
    assert config.services["weights"].cold_time_s == 3.0
    assert config.services["weights"].sustained_per_s == 26.0
    assert config.services["drafter"].weights.pieces == 96
    assert config.services["weights"].origin.address == "127.0.0.1:8006"
    assert config.limits.idle_timeout_s == 15.0


def test_a_split_route_sends_to_services_by_weight():
    split = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
    record = build.route_record(traffic_split=split)
    del record["service"]
    config = records.decode_configuration(
        build.encode_record(build.configuration_record(routes=[record]))
    )
    route = routes.find_route(config, "one.example", "/a/")
    picked = [routes.pick_service(route, n / 100) for n in range(100)]
    assert (picked.count("x"), picked.count("y")) == (90, 10)


@pytest.mark.parametrize(
    "changes",
    [
        {"version": "seven"},
        {"version": None},
        {"routes": [3]},
        {"routes": [build.route_record(type="other")]},
        {"routes": [build.route_record(timeout_ms="x")]},
        {"routes": {}},
        {"tenants": [{"name": "acme", "api_keys": [1]}]},
        {"services": [{"name": 1}]},
        {"services": [{"name": "x", "warmup_per_s": -1}]},
        {"services": [{"name": "x", "warmup_s": float("nan")}]},
    ],
)
def test_a_configuration_with_wrong_types_is_rejected(changes):
    with pytest.raises(errors.RecordError):
        records.decode_configuration(
            build.encode_record(build.configuration_record(**changes))
        )


def test_a_route_among_ten_thousand_is_found_quickly():
    many = [build.route_record(prefix=f"/a/{n}/", name=f"r-{n}") for n in range(10_000)]
    config = records.decode_configuration(
        build.encode_record(build.configuration_record(routes=many))
    )
    began = time.process_time()
    for n in range(0, 10_000, 7):
        path = f"/a/{n}/x"
        assert routes.find_route(config, "one.example", path).name == f"r-{n}"
    assert routes.find_route(config, "one.example", "/a/x/") is None
    assert time.process_time() - began < 1.0


def test_the_longest_prefix_of_whole_segments_wins():
    many = [build.route_record(prefix=p, name=p) for p in ("/", "/a/", "/a/b/")]
    config = records.decode_configuration(
        build.encode_record(build.configuration_record(routes=many))
    )

    def name(path):
        return routes.find_route(config, "one.example", path).name

    assert name("/a/b/c") == "/a/b/"
    assert name("/a/bc") == "/a/"
    assert name("/x") == "/"
    assert routes.find_route(config, "two.example", "/a/") is None


def test_only_a_newer_configuration_replaces_the_current_one():
    old = records.decode_configuration(
        build.encode_record(build.configuration_record(version=7))
    )
    new = records.decode_configuration(
        build.encode_record(build.configuration_record(version=9))
    )
    assert routes.is_newer(None, old)
    assert routes.is_newer(old, new)
    assert not routes.is_newer(new, old)
    assert not routes.is_newer(new, new)


def test_a_server_registration_is_decoded():
    found = records.decode_registration(
        "servers/i-1", build.encode_record(build.server_record())
    )
    assert found.server_id == "i-1"
    assert found.is_ready
    assert found.holding.version == 1
    assert found.holding.end == 16
    assert found.started_ms == 1000


def test_a_server_without_weights_has_no_holding():
    record = build.server_record(models=[], layers=None)
    found = records.decode_registration("servers/i-1", build.encode_record(record))
    assert found.runs_model
    assert found.holding is None


@pytest.mark.parametrize(
    "raw",
    [
        b"\x00\x01",
        b"[]",
        b'"text"',
        build.encode_record({}),
        build.encode_record(build.server_record(state="resting")),
        build.encode_record(build.server_record(address="nowhere")),
        build.encode_record(build.server_record(address="host:80")),
        build.encode_record(build.server_record(slots="many")),
        build.encode_record(build.server_record(models=[{"name": "m"}])),
        build.encode_record(build.server_record(born="today")),
    ],
)
def test_an_invalid_server_registration_is_rejected(raw):
    with pytest.raises(errors.RecordError):
        records.decode_registration("servers/i-1", raw)


def test_a_named_version_is_decoded():
    found = records.decode_named_version(b'{"model":"m","version":4}')
    assert (found.model, found.version) == ("m", 4)
    with pytest.raises(errors.RecordError):
        records.decode_named_version(b'{"model":"m"}')
