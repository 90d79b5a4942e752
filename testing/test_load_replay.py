"""Guards against placement that ignores slow engines and unreported requests."""

import pytest

from carobstand.core import calibration
from testing import load_replay


def results(policy, seeds, **changes):
    """Return the requests of several replays, without those of the first second."""
    found = []
    for seed in seeds:
        replay = load_replay.Replay(policy, seed=seed, **changes).run()
        found += [req for req in replay.requests if req.arrived > 1.0]
    return found


def on_time_share(found):
    return sum(req.first <= load_replay.TARGET_S for req in found) / len(found)


@pytest.mark.parametrize(("engines", "entries", "gain"), [(18, 13, 0.03), (6, 3, 0.01)])
def test_more_requests_are_on_time_near_the_capacity(engines, entries, gain):
    changes = {"engines": engines, "entries": entries, "duration_s": 100 / engines}
    seeds = range(1, 5)
    before = results(load_replay.BEFORE, seeds, load=1.0, **changes)
    after = results(load_replay.AFTER, seeds, load=1.0, **changes)
    assert on_time_share(after) > on_time_share(before) + gain


def test_about_a_fifth_of_requests_exceed_the_margin_while_engines_slow_down():
    found = results(load_replay.AFTER, (1, 2), load=0.9, duration_s=8.0)
    sent = [req for req in found if req.choice is not None]
    late = sum(
        req.arrived + req.first - req.sent
        > req.choice.first_event_s + req.choice.margin_s
        for req in sent
    )
    assert late / len(sent) == pytest.approx(calibration.LATE_SHARE, abs=0.07)
