"""Days of docs/hard-load.md, section 5, in virtual time.

Each test names the figure of the code before; both were measured with this replay.
"""

from bench import weight_replay


def test_a_version_is_finished_though_a_newer_one_is_named_and_caches_are_lost():
    # Before: 5.95 s without an engine, version 2 never loaded, 2.7 copies of version 3.
    found = weight_replay.result_of("two versions, origin and entries lost")
    assert found.without_s <= 3.6 and found.lost_s <= 62.0
    assert set(found.loaded) == {2, 3}
    assert found.copies[2] == 1.0 and found.copies[3] <= 1.7


def test_a_version_is_loaded_as_soon_as_the_origin_is_back():
    # Before: 0.4 s without an engine.
    found = weight_replay.result_of("one version, origin lost")
    assert found.without_s <= 0.6 and found.copies == {2: 1.0}


def test_two_versions_in_quick_succession_leave_engines_in_service():
    # Before: all engines loaded both versions, 39.9 engine seconds were lost.
    found = weight_replay.result_of("two versions")
    assert found.without_s == 0 and found.lost_s <= 35.0 and found.fewest >= 3
    assert found.copies == {2: 1.0, 3: 1.0}


def test_a_single_version_is_loaded_as_before():
    # Before: 20.5 engine seconds lost; 4.74 MB between regions are two copies.
    found = weight_replay.result_of("one version")
    assert found.without_s == 0 and found.lost_s <= 21.5
    assert found.mb_between_regions <= 4.8 and found.copies == {2: 1.0}
