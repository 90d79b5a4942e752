"""Guards against placement that ignores slow engines and the work they have left."""

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


def test_a_few_entries_answer_more_requests_on_time():
    changes = {"engines": 6, "entries": 3, "duration_s": 20.0, "load": 0.9}
    before = results(load_replay.BEFORE, range(1, 5), **changes)
    after = results(load_replay.AFTER, range(1, 5), **changes)
    assert on_time_share(after) > on_time_share(before) + 0.01


def test_about_a_fifth_of_requests_exceed_the_margin_while_engines_slow_down():
    found = results(load_replay.AFTER, (1, 2), load=0.9, duration_s=8.0)
    sent = [req for req in found if req.choice is not None]
    late = sum(
        req.arrived + req.first - req.sent
        > req.choice.first_event_s + req.choice.margin_s
        for req in sent
    )
    assert late / len(sent) == pytest.approx(calibration.LATE_SHARE, abs=0.07)
