"""The two days of docs/hard-load.md, section 5, in virtual time.

Each test names the figure of the code before; both were measured with this replay.
"""

from testing import virtual_time
from testing import weight_replay as replays


def name(version):
    return lambda replay: replays.name_version(replay, version)


def set_origin(is_down):
    return lambda replay: setattr(replay, "is_origin_down", is_down)


def kill_holders(replay):
    """Kill all entries that hold pieces of version 3, and restart them 1 s later."""
    for host, cache in list(replay.caches.items()):
        cached = cache.held.get((replays.MODEL, 3))
        if cached and cached.copy and cached.copy.pieces:
            replays.kill(replay, host)
            replay.loop.call_later(1.0, replays.start_entry, replay, host)


def play(*events, until_s=36.0):
    found = virtual_time.run(lambda: replays.play(replays.Day(), events, until_s))
    replay, usable = found
    return replay, replays.seconds_without(usable), min(n for _, n in usable)


def copies(replay, version):
    return replay.origin_sent.get(version, 0) / replay.day.pieces


def test_a_version_is_finished_though_a_newer_one_is_named_and_caches_are_lost():
    # Before: 5.95 s without an engine, version 2 never loaded, 2.7 copies of version 3.
    replay, (none_s, lost_s), _ = play(
        (18.0, name(2)),
        (20.0, name(3)),
        (20.5, set_origin(True)),
        (26.5, set_origin(False)),
        (29.0, kill_holders),
    )
    assert none_s <= 3.6 and lost_s <= 62.0
    assert {version for _, _, version in replay.loads} == {2, 3}
    assert copies(replay, 2) == 1.0 and copies(replay, 3) <= 1.7


def test_a_version_is_loaded_as_soon_as_the_origin_is_back():
    # Before: 0.4 s without an engine.
    replay, (none_s, _), _ = play(
        (18.0, name(2)), (20.5, set_origin(True)), (26.5, set_origin(False))
    )
    assert none_s <= 0.6
    assert copies(replay, 2) == 1.0


def test_two_versions_in_quick_succession_leave_engines_in_service():
    # Before: all engines loaded both versions, 39.9 engine seconds were lost.
    replay, (none_s, lost_s), fewest = play((18.0, name(2)), (20.0, name(3)))
    assert none_s == 0 and lost_s <= 35.0
    assert fewest >= len(replay.engines) / 4
    assert copies(replay, 2) == copies(replay, 3) == 1.0


def test_a_single_version_is_loaded_as_before():
    # Before: 20.5 engine seconds lost; 4.74 MB between regions are two copies.
    replay, (none_s, lost_s), _ = play((18.0, name(2)))
    assert none_s == 0 and lost_s <= 21.5
    assert replay.bytes_between_regions <= 4.8e6
    assert copies(replay, 2) == 1.0
