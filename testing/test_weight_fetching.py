import collections
import hashlib
import math

import anyio
import pytest

from carobstand.core import (
    deployment,
    entry_roster,
    named_versions,
    registry,
    routes,
    weight_copy,
    weight_sources,
)
from carobstand.entry import fleet as fleets
from carobstand.entry import store_items, versions, weight_fetching
from carobstand.platform import kv, records


def entry(vm, domain="a", region="north"):
    return weight_sources.Entry(vm, f"10.0.0.1:{len(vm)}", domain, region)


ENTRIES = [
    entry("e1", "a", "north"),
    entry("e2", "a", "north"),
    entry("e3", "b", "south"),
    entry("e4", "b", "south"),
    entry("e5", "c", "west"),
]


def fleet_of(vm):
    """Return the `Fleet` of one of `ENTRIES`; the origin is in failure domain ``b``."""
    me = next(one for one in ENTRIES if one.vm == vm)
    host, port = me.address.split(":")
    dep = deployment.Deployment(
        vm=vm,
        ip=host,
        failure_domain=me.failure_domain,
        region=me.region,
        regions={"a": "north", "b": "south", "c": "west"},
        internal_ports=(int(port), int(port) + 1),
        store_address="127.0.0.1:1",
    )
    origin = routes.Origin(
        address="10.0.0.9:1", failure_domain="b", bytes_per_s=1e6, max_connections=8
    )
    config = routes.Configuration(
        version=1,
        routes={},
        services={"source": routes.Service(name="source", origin=origin)},
    )
    entries = {one.vm: one for one in ENTRIES}
    roster = entry_roster.Roster(entries)
    return fleets.Fleet(dep, None, configuration=config, roster=roster, started=0.0)


def test_one_entry_near_the_origin_downloads_each_model():
    for number in range(1, 30):
        seeders = [
            one
            for one in ENTRIES
            if weight_fetching.is_seeder(fleet_of(one.vm), f"m{number}")
        ]
        assert [one.failure_domain for one in seeders] == ["b"]


def test_one_entry_of_each_region_prefetches_each_model():
    for number in range(1, 30):
        caches = [
            one
            for one in ENTRIES
            if weight_fetching.should_prefetch(fleet_of(one.vm), f"m{number}")
        ]
        assert {one.region for one in caches} == {"north", "south", "west"}
        assert len(caches) <= 4


def sources(vm, number):
    return weight_fetching.sources_of(fleet_of(vm), f"m{number}")


def test_each_region_receives_a_model_once_from_another_region():
    for number in range(1, 30):
        receivers = [
            one.vm
            for one in ENTRIES
            if sources(one.vm, number)
            and sources(one.vm, number)[0].region != one.region
        ]
        assert len(receivers) == 2


def test_the_sources_of_entries_form_no_cycle():
    for number in range(1, 30):
        for one in ENTRIES:
            seen = [one.vm]
            while found := sources(seen[-1], number):
                assert found[0].vm not in seen
                seen.append(found[0].vm)


def test_without_entries_near_the_origin_another_one_downloads():
    key = weight_sources.copy_key("m")
    seeder = weight_sources.seeders(ENTRIES, key, "z", "nowhere")[0]
    assert seeder in ENTRIES


def test_agents_receive_within_their_region_from_different_entries():
    first = set()
    for number in range(20):
        found = weight_sources.sources_of_agent(
            f"side-{number}", "north", ENTRIES, "m/1", spread=2
        )
        assert found[0].region == "north"
        assert len(found) == len(ENTRIES)
        first.add(found[0].vm)
    assert first == {"e1", "e2"}


def test_agents_spread_over_other_entries_when_theirs_fail():
    # All twelve agents of a region switched to one entry, whose link took 7 s for them.
    entries = [entry(f"n{number}") for number in range(6)]
    found = [
        weight_sources.sources_of_agent(f"side-{n}", "north", entries, "m", spread=2)
        for n in range(20)
    ]
    for position in range(0, 6, 2):
        assert len({order[position].vm for order in found}) == 2


def test_agents_of_a_region_without_entries_receive_from_another():
    found = weight_sources.sources_of_agent("side-1", "east", ENTRIES, "m/1", spread=2)
    assert len(found) == len(ENTRIES)


def make_copy(pieces=4):
    data = [bytes([n]) * 10 for n in range(pieces)]
    digests = tuple(hashlib.sha256(piece).digest() for piece in data)
    return weight_copy.WeightCopy("m", 2, digests, 10), data


def test_only_pieces_that_match_their_digest_are_kept():
    copy, data = make_copy()
    assert weight_copy.add(copy, 0, data[0])
    assert not weight_copy.add(copy, 1, data[0])
    assert not weight_copy.add(copy, 4, data[0])
    assert not weight_copy.add(copy, -1, data[0])
    assert weight_copy.missing(copy) == [1, 2, 3]
    for number in (1, 2, 3):
        assert weight_copy.add(copy, number, data[number])
    assert weight_copy.is_complete(copy)


@pytest.mark.parametrize("raw", [b"", b"x" * 31, b"x" * 33])
def test_digests_of_a_wrong_size_are_rejected(raw):
    with pytest.raises(ValueError, match="SHA-256"):
        weight_copy.split_digests(raw)


def test_requests_start_on_old_weights_only_until_a_newer_version_is_due():
    named = []
    assert named_versions.add(named, 2, 100.0)
    assert named_versions.add(named, 3, 102.0)
    assert not named_versions.add(named, 3, 105.0)
    assert not named_versions.add(named, 1, 105.0)
    assert named_versions.begin_by(named, 1, 8.0) == 108.0
    assert named_versions.begin_by(named, 2, 8.0) == 110.0
    assert named_versions.begin_by(named, 3, 8.0) == math.inf


def test_a_version_named_before_the_process_started_is_due_at_once():
    named = [named_versions.SeenVersion(2, -math.inf)]
    assert named_versions.begin_by(named, 1, 8.0) == -math.inf


def end_of_old_weights(fleet):
    """Return the end of version 1 after a start that finds version 2."""
    named = kv.Item(f"{records.VERSION_PREFIX}m", b'{"model":"m","version":2}', 1)

    async def read():
        store_items.apply_item(fleet, named)

    anyio.run(read)
    return versions.begin_by(fleet, registry.Holding(model="m", version=1))


def test_a_new_process_uses_old_weights_only_until_the_time_limits_apply():
    fleet = fleet_of("e1")
    bounds = fleet.deployment.bounds
    fleet.started = 100.0
    # The platform started the process before the process could read a clock.
    started = fleet.started - 0.6
    allowed = started + bounds.contact_s - versions.VERSION_SLACK_S
    assert end_of_old_weights(fleet) <= allowed


def test_a_process_that_started_slowly_ends_old_weights_earlier():
    """Guards against imports that take longer than the time assumed for them."""
    fleet = fleet_of("e1")
    fleet.started, fleet.startup_s = 100.0, 0.9
    slack_s, contact_s = versions.VERSION_SLACK_S, fleet.deployment.bounds.contact_s
    assert end_of_old_weights(fleet) == pytest.approx(100.0 - 1.8 + contact_s - slack_s)


def test_pieces_that_readers_wait_for_are_fetched_first():
    # A restarted entry fetched all pieces again before those that its agents lacked.
    copy, data = make_copy(pieces=8)
    assert weight_copy.add(copy, 6, data[6])
    wanted = collections.Counter({4: 1})
    order = weight_copy.in_demand_order(copy, wanted)
    assert [next(order), next(order)] == [4, 5]
    wanted.clear()
    wanted[2] = 1
    assert [next(order), next(order)] == [2, 3]
    assert list(order) == [7, 0, 1]


def test_pieces_are_fetched_in_ascending_order_without_readers():
    copy, _ = make_copy(pieces=4)
    order = weight_copy.in_demand_order(copy, weight_copy.NO_REQUESTS)
    assert list(order) == [0, 1, 2, 3]
