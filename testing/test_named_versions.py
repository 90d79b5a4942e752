"""Dates of named versions, by the entry's own reads and by reports of agents."""

import math

import anyio
import attrs

from carobstand.agent import view as views
from carobstand.core import eligibility, named_versions, placement, registry
from carobstand.entry import fleet as fleets
from carobstand.entry import forwarding, server_choice, versions
from carobstand.platform import kv, records
from testing import platform_builders as build
from testing import virtual_time, weight_builders

DELAY_S = named_versions.REPORT_DELAY_S


def witnesses(*reports):
    """Return `Witnesses` of version 2, given (server id, failure domain, time)."""
    found = named_versions.Witnesses()
    for server_id, domain, at in reports:
        named_versions.note_seen(found, 2, server_id, domain, at)
    return found


def test_a_version_is_dated_by_the_earliest_of_several_agents():
    # One agent, or all behind one frozen link, may have learned of it late.
    reports = [("i1", "a", 18.4), ("i2", "a", 18.0), ("i3", "b", 18.1)]
    assert named_versions.earliest_seen(witnesses(*reports), 2) == 18.0 - DELAY_S
    assert named_versions.earliest_seen(witnesses(*reports[:2]), 2) == -math.inf
    same = [(server_id, "a", at) for server_id, _, at in reports]
    assert named_versions.earliest_seen(witnesses(*same), 2) == -math.inf


def test_of_repeated_reports_the_earliest_counts():
    # Datagrams that queue on a link make a report look later.
    found = witnesses(("i1", "a", 18.3), ("i1", "a", 18.0), ("i1", "a", 18.5))
    assert found.seen[2]["i1"] == ("a", 18.0)


def test_reports_never_date_a_version_before_what_the_store_confirmed():
    named = [named_versions.SeenVersion(2, 17.1), named_versions.SeenVersion(3, 20.0)]
    found = witnesses(("i1", "a", 18.4), ("i2", "a", 18.0), ("i3", "b", 18.1))
    named_versions.redate(named, {2: 17.1, 3: 20.0}, found)
    assert [item.seen_at for item in named] == [18.0 - DELAY_S, 20.0]
    named_versions.redate(named, {2: 18.2, 3: 20.0}, found)
    assert [item.seen_at for item in named] == [18.2, 20.0]


def test_an_entry_out_of_touch_uses_the_old_weights_until_they_end():
    # Entries without the store since 17.1 rejected requests a second too early.
    fleet = weight_builders.fleet()
    fleet.revision, fleet.changes_since = 7, 17.1
    item = kv.Item(f"{records.VERSION_PREFIX}m", b'{"model":"m","version":2}', 8)
    holding = registry.Holding(model="m", version=1)

    async def read():
        fleets.apply_item(fleet, item)

    virtual_time.run(read)
    early = versions.begin_by(fleet, holding)

    async def report():
        await anyio.sleep(19.0 - anyio.current_time())
        for server_id, domain in (("i1", "a"), ("i2", "a"), ("i3", "b")):
            server = build.registration(server_id, failure_domain=domain)
            versions.note_named(fleet, server, {2: 1000})

    virtual_time.run(report)
    assert math.isclose(versions.begin_by(fleet, holding), early + 0.9 - DELAY_S)


def test_an_agent_dates_only_changes_for_which_its_watch_had_waited():
    async def check():
        now = anyio.current_time()
        changes = kv.Changes(8, (), began_at=now)
        assert views._written_at(changes, now - 1.0) == now
        assert views._written_at(changes, now - 0.01) is None
        late = kv.Changes(8, (), began_at=now - 0.4)
        assert views._written_at(late, now - 1.0) is None

    virtual_time.run(check)


def test_requests_in_another_region_are_withdrawn_earlier_before_their_version_ends():
    """Guards against a withdrawal that reaches the engine after the version's end."""
    fleet = weight_builders.fleet()
    fleet.revision, fleet.changes_since = 7, 17.1
    item = kv.Item(f"{records.VERSION_PREFIX}m", b'{"model":"m","version":2}', 8)
    regions = {fleet.deployment.failure_domain: "north", "z": "elsewhere"}
    fleet.deployment = attrs.evolve(fleet.deployment, regions=regions)
    found = {}

    async def read():
        fleets.apply_item(fleet, item)
        fwd = forwarding.Forwarder(fleet)
        for domain, region in regions.items():
            server = build.registration("i-1", failure_domain=domain)
            candidate = eligibility.Candidate(server, server.holding, None, 1.0)
            begin_by = server_choice.begin_by(fwd, candidate)
            found[region] = begin_by

    virtual_time.run(read)
    holding = registry.Holding(model="m", version=1)
    assert found["north"] == versions.begin_by(fleet, holding)
    assert found["elsewhere"] == found["north"] - placement.REGION_DELAY_S
