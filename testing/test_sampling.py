"""Tests of ranking a random sample of servers instead of all.

Guards against many entries that see the same reports and choose the same server.
"""

import math
import random

from carobstand.core import (
    announcements,
    calibration,
    eligibility,
    engine_load,
    outstanding,
    placement,
    sampling,
    shortlist,
)
from testing import platform_builders as build

ENGINES = 12
ENTRIES = 7
ATTEMPTS = 14
"""Attempts of all entries of a region between two reports of its engines."""


def choose(rng, ids, servers, loads, outstanding_by_server):
    """Return the id of the server that one entry chooses among `ids`."""
    sampled = {key: servers[key] for key in ids}
    announced = announcements.Announcements()
    conditions = eligibility.Conditions(
        service="drafter", loads=loads, healths={}, announced=announced
    )
    candidates = eligibility.sort_out(sampled, conditions, 0.05)
    location = placement.EntryLocation(
        failure_domain="a",
        regions={"a": "north"},
        others=ENTRIES - 1,
        by_region={"north": ENTRIES - 1},
    )
    size = placement.Size(964, 119)
    choices = placement.rank(
        candidates,
        build.service(),
        outstanding_by_server,
        {},
        calibration.Calibration(),
        size,
        location,
        rng.random,
        lambda holding: math.inf,
        0.05,
    )
    return choices[0].candidate.server.server_id


def max_requests_per_engine(count, seed):
    """Return the most requests to one engine between two reports.

    Each request is placed on the best of `count` randomly sampled servers.
    """
    rng = random.Random(seed)
    servers = {f"i-{n}": build.registration(f"i-{n}") for n in range(1, ENGINES + 1)}
    loads = engine_load.EngineLoads()
    for server in servers.values():
        report = build.load_report(server, running=rng.randint(2, 6), received_at=0.0)
        engine_load.put(loads, report)
    outstanding_by_entry = [{} for _ in range(ENTRIES)]
    request_counts = dict.fromkeys(servers, 0)
    for number in range(ATTEMPTS):
        outstanding_by_server = outstanding_by_entry[rng.randrange(ENTRIES)]
        ids = rng.sample(sorted(servers), min(count, ENGINES))
        chosen = choose(rng, ids, servers, loads, outstanding_by_server)
        attempts = outstanding_by_server.setdefault(chosen, outstanding.Outstanding())
        outstanding.begin(attempts, number, 964, 0.05)
        request_counts[chosen] += 1
    return max(request_counts.values())


def test_sampling_spreads_requests_of_entries_that_see_the_same_reports():
    count = sampling.sample_size(ENGINES, ENTRIES)
    seeds = range(60)
    sampled = sum(max_requests_per_engine(count, seed) for seed in seeds)
    unsampled = sum(max_requests_per_engine(ENGINES, seed) for seed in seeds)
    assert sampled < 0.8 * unsampled


def test_all_servers_are_ranked_where_servers_or_entries_are_few():
    assert sampling.sample_size(6, 2) >= 6
    assert sampling.sample_size(2, 1) >= 2
    assert sampling.sample_size(60, 1) >= 60
    assert sampling.sample_size(12, 7) < 12


def test_a_server_is_good_enough_while_half_of_the_spare_time_is_left():
    assert sampling.is_good_enough(0.2, 0.1, 0.4)
    assert not sampling.is_good_enough(0.3, 0.1, 0.4)
    assert not sampling.is_good_enough(0.3, 0.1, 0.05)


def test_all_servers_are_ranked_periodically_and_after_many_changes():
    state = shortlist.Shortlist()
    assert shortlist.ids_to_rank(state, 60, 1.0) is None
    shortlist.record_full_ranking(state, [f"i-{n}" for n in range(60)], 1.0)
    assert len(shortlist.ids_to_rank(state, 60, 1.01)) == shortlist.BEST_COUNT
    shortlist.mark_changed(state, "i-50")
    assert "i-50" in shortlist.ids_to_rank(state, 60, 1.02)
    assert (
        shortlist.ids_to_rank(state, 60, 1.0 + shortlist.FULL_RANKING_INTERVAL_S)
        is None
    )
    for number in range(shortlist.MAX_CHANGED + 1):
        shortlist.mark_changed(state, f"i-{number}")
    assert shortlist.ids_to_rank(state, 60, 1.02) is None
    assert shortlist.ids_to_rank(shortlist.Shortlist(), 5, 1.0) is None
