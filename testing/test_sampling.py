"""Few servers weighed at random: many entries that see the same reports."""

import math
import random

from carobstand.core import (
    announcements,
    calibration,
    engine_load,
    outstanding,
    placement,
    sampling,
    shortlist,
)
from testing import platform_builders as build

ENGINES = 12
ENTRIES = 7
SENDS = 14
"""Requests of all entries of a region between two reports of its engines."""


def choose(draw, ids, servers, known, own):
    """Return the server that one entry chooses among `ids`."""
    picked = {key: servers[key] for key in ids}
    said = announcements.Announcements()
    found = placement.candidates(picked, known, {}, said, "drafter", set(), 0.05)
    place = placement.EntryLocation(
        failure_domain="a",
        regions={"a": "north"},
        others=ENTRIES - 1,
        by_region={"north": ENTRIES - 1},
    )
    size = placement.Size(964, 119)
    choices = placement.rank(
        found,
        build.service(),
        own,
        {},
        calibration.Calibration(),
        size,
        place,
        draw.random,
        lambda holding: math.inf,
        0.05,
    )
    return choices[0].candidate.server.server_id


def largest_pile(count, seed):
    """Return the most requests that one engine gets between two reports."""
    draw = random.Random(seed)
    servers = {f"i-{n}": build.registration(f"i-{n}") for n in range(1, ENGINES + 1)}
    known = engine_load.EngineLoads()
    for server in servers.values():
        report = build.load(server, running=draw.randint(2, 6), received_at=0.0)
        engine_load.put(known, report)
    own = [{} for _ in range(ENTRIES)]
    piles = dict.fromkeys(servers, 0)
    for number in range(SENDS):
        entry = own[draw.randrange(ENTRIES)]
        ids = draw.sample(sorted(servers), min(count, ENGINES))
        chosen = choose(draw, ids, servers, known, entry)
        state = entry.setdefault(chosen, outstanding.Outstanding())
        outstanding.begin(state, number, 964, 0.05)
        piles[chosen] += 1
    return max(piles.values())


def test_entries_that_see_the_same_reports_pile_up_less():
    count = sampling.sample_size(ENGINES, ENTRIES)
    seeds = range(60)
    sampled = sum(largest_pile(count, seed) for seed in seeds)
    alike = sum(largest_pile(ENGINES, seed) for seed in seeds)
    assert sampled < 0.8 * alike


def test_few_servers_or_entries_are_all_weighed():
    assert sampling.sample_size(6, 2) >= 6
    assert sampling.sample_size(2, 1) >= 2
    assert sampling.sample_size(60, 1) >= 60
    assert sampling.sample_size(12, 7) < 12


def test_a_server_is_good_while_half_of_the_time_to_spare_is_left():
    assert sampling.is_good_enough(0.2, 0.1, 0.4)
    assert not sampling.is_good_enough(0.3, 0.1, 0.4)
    assert not sampling.is_good_enough(0.3, 0.1, 0.05)


def test_all_servers_are_weighed_at_intervals_and_after_much_news():
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
