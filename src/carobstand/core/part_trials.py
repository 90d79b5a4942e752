"""Trials that settle whether a suspected prompt part crashes servers.

Two crashes are no proof: servers also end for reasons of their own. An unproven
conviction keeps requests with the part away from servers, except one at a time at all
entries together. If its answer begins, the part is cleared. If its server crashes while
no other one does, the trial counts as failed; `PROOF_FAILURES` of these prove the
conviction, if the requests have no other part without a known answer in common.

The users allow a part few requests after its fifth crash. So trials are early up to
that crash, and follow one another at once; the late ones are few, and wait until the
crashes that the part cannot explain are over.
"""

import math

import attrs

from carobstand.core import part_state, poison_parts

FREE_CRASHES = 5
"""Crashes of servers up to which requests with a part are not limited in number."""

MAX_EARLY_TRIALS = 6
"""Trials that began early; further ones are late, also if their crashes were missed."""

MAX_LATE_TRIALS = 2
"""Late trials that follow as soon as other crashes are over. One more is sent after the
first of `poison_parts.PROBE_DELAYS_S`."""

TRIAL_GAP_S = 0.3
"""Pause after a trial, in which its outcome reaches the other entries: a crash is found
and reported within 0.2 s."""

CALM_S = 3.0
"""Time without crashes that a part cannot explain in which a failed trial counts, and a
late one begins."""

PROOF_FAILURES = 2
RARE_PROOF_FAILURES = 1
"""Failed trials that prove a conviction, and those for a rare part: crashes for other
reasons seldom hit it, so the first ones are evidence already. Each trial of a deadly
part costs a server for some seconds."""

RARE_SHARE = 0.2
MIN_SAMPLE = 32
"""Share of the requests up to which a part is rare, and requests that tell it."""

RARE_CALM_S = 10.0
"""Time without any crash after which a rare part is tried. It is more likely deadly
than a common one, and few callers wait; crashed servers are back and have loaded
weights."""

MAX_DURATION_S = 3.0
"""Time after which a trial of another entry counts as ended without news of it."""

JOINT_DELAY_S = 1.0
"""Time after the conviction from which a request with several unproven parts is a
trial: one with a single one of them tells more, and mostly comes before."""

MAX_COMMON = 8
"""Parts without a known answer of a failed trial that are kept."""


@attrs.define(eq=False)
class Trial:
    """A request that is being sent to settle a conviction.

    Attributes
    ----------
    vm : str
        Entry that sends it.
    began_at : float
        Time at which that entry announced it.
    is_sent : bool
        Whether it has been sent; known of own trials only.
    """

    vm: str
    began_at: float
    is_sent: bool = False


def _convictions(state, parts):
    return [state.convicted[part] for part in parts if part in state.convicted]


def is_due(state, parts, sample, now):
    """Whether a request with some unproven parts may be sent as a trial of them.

    Parameters
    ----------
    state : core.part_state.PoisonParts
    parts : tuple of bytes
    sample : collection of tuple of bytes
        Parts of recent requests, which tell how common the unproven ones are.
    now : float
    """
    found = _convictions(state, parts)
    if len(found) > 1 and now - max(item.at for item in found) < JOINT_DELAY_S:
        return False
    if any(now < _due_at(state, item, now) for item in found):
        return False
    if now - max(state.crashes.values(), default=-math.inf) >= RARE_CALM_S:
        return True
    return not any(is_rare(part, sample) for part in parts if part in state.convicted)


def _due_at(state, item, now):
    """Return the time of the next trial of a conviction, if none begins before."""
    if is_running(item, now):
        return item.trial.began_at + MAX_DURATION_S
    if _is_early(item):
        return item.tried_at + TRIAL_GAP_S
    if item.late_trials < MAX_LATE_TRIALS:
        return max(item.tried_at, _unexplained_at(state, item)) + CALM_S
    if item.late_trials == MAX_LATE_TRIALS:
        return max(item.at, item.tried_at) + poison_parts.PROBE_DELAYS_S[0]
    return math.inf


def is_running(item, now):
    """Whether a trial of a conviction is in progress, as far as known."""
    return item.trial is not None and now - item.trial.began_at < MAX_DURATION_S


def _is_early(item):
    crashes = part_state.crash_count(item)
    return crashes < FREE_CRASHES and item.early_trials < MAX_EARLY_TRIALS


def _unexplained_at(state, item):
    """Return the time of the last crash that a part cannot have caused."""
    explained = set(item.crashes)
    for other in state.convicted.values():
        if other.is_proven:
            explained |= other.crashes
    times = (at for crash, at in state.crashes.items() if crash not in explained)
    return max(times, default=-math.inf)


def begin(state, parts, vm, now):
    """Begin a trial; return the parts that it settles."""
    tried = tuple(part for part in parts if part in state.convicted)
    for part in tried:
        state.convicted[part].trial = Trial(vm, now)
    return tried


def is_own(state, parts, tried, vm):
    """Whether the convicted ones of some parts are all being tried by an entry."""
    convicted = [part for part in parts if part in state.convicted]
    return bool(convicted) and all(
        part in tried
        and not state.convicted[part].is_proven
        and state.convicted[part].trial is not None
        and state.convicted[part].trial.vm == vm
        for part in convicted
    )


def record_sent(state, tried):
    """Record that the request of an own trial is sent."""
    for item in _convictions(state, tried):
        if item.trial is not None:
            item.trial.is_sent = True
        if _is_early(item):
            item.early_trials += 1
        else:
            item.late_trials += 1


def end(state, tried, vm, now):
    """End the trial of an entry; return the parts of which it was the trial."""
    ended = []
    for part in tried:
        item = state.convicted.get(part)
        if item is not None and item.trial is not None and item.trial.vm == vm:
            item.trial, item.tried_at = None, now
            ended.append(part)
    return ended


def note_other(item, trial, precedes):
    """Record a trial that another entry announced.

    Parameters
    ----------
    item : core.part_state.Conviction
    trial : Trial
    precedes : callable of (str, str)
        Whether the trial of the first entry takes place if both announced one at the
        same time; that of the second one ends before it is sent.
    """
    own = item.trial
    if own is None or own.vm == trial.vm:
        item.trial = trial
    elif not own.is_sent and precedes(trial.vm, own.vm):
        item.trial = trial


def is_rare(part, sample):
    """Whether few of some requests, given by their parts, have a part."""
    count = sum(part in parts for parts in sample)
    return len(sample) >= MIN_SAMPLE and count <= RARE_SHARE * len(sample)


def record_failure(state, part, unknown, is_part_rare, now):
    """Record that the server of a trial crashed.

    Parameters
    ----------
    state : core.part_state.PoisonParts
    part : bytes
    unknown : frozenset of bytes
        Parts of the request that had no known answer.
    is_part_rare : bool
    now : float

    Returns
    -------
    is_proven : bool
        Whether this proves the conviction.
    """
    item = state.convicted.get(part)
    if item is None or item.is_proven:
        return False
    if now - _unexplained_at(state, item) < CALM_S:
        return False
    item.failures += 1
    common = unknown if item.common is None else item.common & unknown
    item.common = frozenset(sorted(common)[:MAX_COMMON])
    needed = RARE_PROOF_FAILURES if is_part_rare else PROOF_FAILURES
    if item.failures < needed or item.common != {part}:
        return False
    poison_parts.prove(state, part)
    return True
