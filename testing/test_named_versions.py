"""Dates of named versions, by the entry's own reads and by reports of agents."""

import math

import anyio
import attrs

from carobstand.core import eligibility, named_versions, placement, registry
from carobstand.entry import forwarding, server_choice, store_items, versions
from carobstand.platform import kv, records
from testing import platform_builders as build
from testing import version_store, virtual_time, weight_builders

REGIONS = {"a": "north", "b": "south"}
DELAY_S = named_versions.REPORT_DELAY_S


def witnesses(*reports):
    """Return `Witnesses` of version 2, given (server id, failure domain, time)."""
    found = named_versions.Witnesses()
    for server_id, domain, at in reports:
        named_versions.note_seen(found, 2, server_id, domain, at)
    return found


def own(since=-math.inf, **changes):
    """Return an `OwnDate` of an entry in failure domain ``a``."""
    return named_versions.OwnDate(since, failure_domain="a", **changes)


def earliest(reports, own_date=None, regions=REGIONS):
    return named_versions.earliest_arrival(
        witnesses(*reports), 2, own_date or own(), regions
    )


def test_a_version_is_dated_by_the_earliest_of_several_agents():
    # One agent, or all behind one frozen link, may have learned of it late.
    reports = [("i1", "a", 18.4), ("i2", "a", 18.0), ("i3", "b", 18.1)]
    assert earliest(reports) == 18.0 - DELAY_S
    assert earliest(reports[:2]) is None
    same = [(server_id, "a", at) for server_id, _, at in reports]
    assert earliest(same) is None


def test_agents_of_one_region_do_not_date_a_version_where_there_are_several():
    """Guards against a common delay of all responses on the link of a region."""
    reports = [("i1", "a", 18.4), ("i2", "a", 18.0), ("i3", "b", 18.1)]
    assert earliest(reports, regions={"a": "north", "b": "north"}) == 18.0 - DELAY_S
    regions = {"a": "north", "b": "north", "c": "south"}
    assert earliest(reports, regions=regions) is None


def test_an_entry_whose_watch_waited_counts_as_one_of_the_witnesses():
    """Guards against a refusal of weights that are still allowed in small fleets."""
    reports = [("i1", "b", 18.1), ("i2", "b", 18.2)]
    assert earliest(reports) is None
    assert earliest(reports, own(arrived_at=18.0, is_witness=True)) == 18.0 - DELAY_S


def test_agents_that_all_learned_late_do_not_date_a_version_after_its_arrival():
    """Guards against a date 3 s too late: the responses to all agents were delayed."""
    reports = [("i1", "a", 21.0), ("i2", "b", 21.0), ("i3", "b", 21.1)]
    # Also a late arrival, as after a listing, is an upper bound.
    for is_witness in (True, False):
        found = earliest(reports, own(arrived_at=18.0, is_witness=is_witness))
        assert found == 18.0 - DELAY_S


def test_an_entry_that_was_out_of_touch_follows_the_arrivals_of_others():
    """Guards against a grace for an entry that was in touch but paused."""
    named = [named_versions.SeenVersion(2, 0.0)]
    late = own(17.1, grace_from=21.0, arrived_at=26.0)
    named_versions.redate(named, {2: late}, witnesses(), REGIONS)
    assert (named[0].seen_at, named[0].dated_by) == (21.0, named_versions.GRACE)
    reports = [("i1", "a", 18.4), ("i2", "a", 18.0), ("i3", "b", 18.1)]
    named_versions.redate(named, {2: late}, witnesses(*reports), REGIONS)
    found = named[0]
    assert (found.seen_at, found.dated_by) == (18.0 - DELAY_S, named_versions.ARRIVALS)


def test_of_repeated_reports_the_earliest_counts():
    # Datagrams that queue on a link make a report look later.
    found = witnesses(("i1", "a", 18.3), ("i1", "a", 18.0), ("i1", "a", 18.5))
    assert found.seen[2]["i1"] == ("a", 18.0)


def test_reports_never_date_a_version_before_what_the_store_confirmed():
    named = [named_versions.SeenVersion(2, 17.1), named_versions.SeenVersion(3, 20.0)]
    found = witnesses(("i1", "a", 18.4), ("i2", "a", 18.0), ("i3", "b", 18.1))
    named_versions.redate(named, {2: own(17.1), 3: own(20.0)}, found, REGIONS)
    assert [item.seen_at for item in named] == [18.0 - DELAY_S, 20.0]
    named_versions.redate(named, {2: own(18.2), 3: own(20.0)}, found, REGIONS)
    assert [item.seen_at for item in named] == [18.2, 20.0]
    assert named[0].dated_by == named_versions.CONFIRMATION


def test_an_entry_out_of_touch_uses_the_old_weights_until_they_end():
    # Entries without the store since 17.1 rejected requests a second too early.
    fleet = weight_builders.fleet()
    fleet.revision, fleet.changes_since = 7, 17.1
    item = kv.Item(f"{records.VERSION_PREFIX}m", b'{"model":"m","version":2}', 8)
    holding = registry.Holding(model="m", version=1)

    async def read():
        await anyio.sleep(18.9)
        store_items.apply_item(fleet, item)

    virtual_time.run(read)
    early = versions.begin_by(fleet, holding)

    async def report():
        await anyio.sleep(19.0 - anyio.current_time())
        for server_id, domain in (("i1", "a"), ("i2", "a"), ("i3", "b")):
            server = build.registration(server_id, failure_domain=domain)
            versions.note_named(fleet, server, {2: 1000})

    virtual_time.run(report)
    assert math.isclose(versions.begin_by(fleet, holding), early + 0.9 - DELAY_S)


def read_newest(fleet, reports):
    """Apply version 3 at 20 s, without version 2; return the end of version 1."""

    async def read():
        await anyio.sleep(20.0)
        store_items.apply_item(fleet, version_store.item(3))
        for version, at in reports:
            for server_id, domain in (("i1", "a"), ("i2", "a"), ("i3", "b")):
                server = build.registration(server_id, failure_domain=domain)
                versions.note_named(fleet, server, {version: int((20.0 - at) * 1000)})

    virtual_time.run(read)
    return versions.begin_by(fleet, registry.Holding(model="m", version=1))


def test_a_version_that_was_not_read_ends_older_ones_too():
    """Guards against an end by the newest version alone, as after a listing.

    A listing, and a reader of the region, tell only the newest version.
    """
    allowed_s = 8.0 - versions.VERSION_SLACK_S
    for reports, end in (
        ([], 11.0),
        ([(3, 19.9)], 11.0),
        ([(3, 19.9), (2, 15.0)], 15.0 - DELAY_S),
    ):
        fleet = weight_builders.fleet()
        fleet.revision, fleet.changes_since, fleet.confirmed_at = 7, 19.0, 11.0
        fleet.named["m"] = [named_versions.SeenVersion(1, -math.inf)]
        fleet.own_dates["m"] = {1: own()}
        assert math.isclose(read_newest(fleet, reports), end + allowed_s)


def test_a_new_process_ends_versions_before_the_last_two_by_its_start():
    """Guards against an end by agents that report only the newest version."""
    fleet = weight_builders.fleet()
    fleet.started = 19.0
    end = read_newest(fleet, [(3, 19.9)])
    assert end <= fleet.started + fleet.deployment.bounds.contact_s


def test_only_changes_for_which_a_watch_had_waited_arrived_promptly():
    async def check():
        now = anyio.current_time()
        changes = kv.Changes(8, (), began_at=now)
        assert kv.prompt_arrival(changes, now - 1.0) == now
        assert kv.prompt_arrival(changes, now - 0.01) is None
        late = kv.Changes(8, (), began_at=now - 0.4)
        assert kv.prompt_arrival(late, now - 1.0) is None

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
        store_items.apply_item(fleet, item)
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


def test_reports_that_change_no_date_cost_nothing_per_attempt():
    """Guards against a pass over all attempts at each report of each agent."""
    fleet, calls = weight_builders.fleet(), []
    fleet.revision, fleet.changes_since = 7, 17.1
    fleet.versions_changed = lambda: calls.append(fleet.named["m"][-1].seen_at)

    async def report():
        store_items.apply_item(fleet, version_store.item(2))
        await anyio.sleep(20.0)
        for number in range(100):
            domain = "ab"[number % 2]
            server = build.registration(f"i{number}", failure_domain=domain)
            versions.note_named(fleet, server, {2: 1000 + number % 3})

    virtual_time.run(report)
    assert len(calls) < 5
    assert calls[-1] == fleet.named["m"][-1].seen_at
