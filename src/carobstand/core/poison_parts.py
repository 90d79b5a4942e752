"""Detection of requests, and of parts of prompts, that crash the servers that run them.

Load patterns: requests that have one part of their prompt in common and are otherwise
different, and requests that come again unchanged, reach all entries, and each crashes
the server that begins its answer. A request as a whole is one more part of itself.

- Suspects: the parts, except the last, of each request whose answer had not begun when
  its server ended, and each request that ran there. A sighting is one such request at
  one crash.
- Cleared: the parts of a request whose answer begins, at any entry, and a request that
  is answered with success. A part is judged only by sightings after its last answer.
- Convicted: a part without a recent answer, by different requests at crashes that have
  no cause in common; a part with one, only by a longer series; a request, by crashes
  at several moments. The conviction of a part is unproven at first, and is settled by
  trials (`core.part_trials`).
- A convicted part explains its crashes: they do not count for other parts, unless it is
  cleared.
"""

import hashlib
import math

from carobstand.core import part_ids, part_state

KNOWN_SOUND_S = 60.0
"""Time after an answer for which a part is convicted by a longer series only."""

MOMENT_S = 0.1
"""Crashes closer than this may have one cause, such as the loss of a rack."""

MIN_MOMENTS = 2
MIN_SERVERS = 2
MIN_REQUESTS = 2
"""Moments with crashes, servers that crashed, and requests that convict a part without
a recent answer. One request alone is no evidence against a part that it shares with
others, and one server may crash for a cause of its own."""

MIN_CRASHES = 4
"""Crashes, each with a request of its own, that convict it otherwise."""

REQUEST_MIN_CRASHES = 3
"""Crashes before its answer began that convict a request. Requests that run beside one
that crashes servers are often in two crashes, because they are retried."""

REQUEST_MIN_RUNS = 5
"""Crashes that convict a request whose answers had begun. Most requests that a crash
interrupts have begun, and are resumed elsewhere."""

SOUND_MIN_CRASHES = 4
SOUND_MIN_REQUESTS = 3
SOUND_MIN_SPAN_S = 2.0
"""Series that convicts a part with a recent answer."""

EVIDENCE_S = 600.0
"""Time for which a sighting counts."""

CONVICTION_S = 86_400.0
"""Time after the last rejected request after which a conviction is dropped."""

PROBE_DELAYS_S = (60.0, 600.0)
"""Times after the conviction, or the last probe, at which a request with a convicted
part is sent to find out whether the conviction is wrong. There are no further ones."""

MAX_PARTS = 64
"""Parts of one prompt that become suspects; the first ones."""

MAX_CRASHES = 8
MAX_REQUESTS = 4
"""Sightings kept: crashes of a suspect, and requests of a crash."""

MAX_EXPLAINED = 32
"""Crashes kept that a convicted part explains."""

MAX_KNOWN_CRASHES = 128
"""Latest crashes of which the times are kept."""

MAX_LATE_REQUESTS = 3
"""Requests with a convicted part that may be sent after the first crashes, trials and
probes together, by the users' rule."""

MAX_SET_ASIDE = 64
"""Other parts whose sightings an unproven conviction sets aside."""

MAX_SUSPECTS = 1_000
MAX_CONVICTED = 256
MAX_SOUND = 4_000
"""Parts kept; those without news for the longest time are dropped first."""


def _bound(mapping, size):
    while len(mapping) > size:
        del mapping[next(iter(mapping))]


def _evict_suspect(state):
    """Drop the oldest suspect, one that was seen at a single crash if there is any."""
    oldest = next(iter(state.suspects))
    single = (part for part, found in state.suspects.items() if len(found) == 1)
    del state.suspects[next(single, oldest)]


def sound_at(state, part):
    """Return the time of the last known answer to a request with a part."""
    return state.sound_at.get(part, -math.inf)


def is_known_sound(state, part, now):
    """Whether a request with a part has been answered recently."""
    return now - sound_at(state, part) < KNOWN_SOUND_S


def add_sighting(state, part, crash, request, at, now):
    """Record that `request` was lost at `crash`; return whether that is new.

    Parameters
    ----------
    state : PoisonParts
    part, crash, request : bytes
    at : float
        Time of the crash.
    now : float
    """
    if crash not in state.crashes:
        state.crashes[crash] = at
        _bound(state.crashes, MAX_KNOWN_CRASHES)
    if at <= sound_at(state, part) or now - at > EVIDENCE_S:
        return False
    if part in state.convicted:
        known = state.convicted[part].crashes
        if crash in known:
            return False
        if len(known) < MAX_EXPLAINED:
            known.add(crash)
        _explain(state, state.convicted[part], {crash})
        return True
    for item in state.convicted.values():
        if crash in item.crashes:
            _set_aside(item, part, crash, part_state.Sightings(at, {request}))
            return False
    found = state.suspects.get(part)
    if found is None:
        if len(state.suspects) >= MAX_SUSPECTS:
            _evict_suspect(state)
        found = state.suspects[part] = {}
    return _add_request(found, crash, request, at)


def _add_request(found, crash, request, at):
    """Add a request to the sightings of a part by crash; return whether it is new."""
    if crash not in found and len(found) >= MAX_CRASHES:
        return False
    seen = found.setdefault(crash, part_state.Sightings(at))
    seen.at = min(seen.at, at)
    if request in seen.requests or len(seen.requests) >= MAX_REQUESTS:
        return False
    seen.requests.add(request)
    return True


def record_answer(state, parts, at):
    """Record that an answer to a request with `parts` began.

    Returns
    -------
    cleared : list of bytes
        Parts for which this is news to other entries: convicted ones, and suspects
        without an answer before.
    """
    cleared = []
    for part in parts:
        known_at = state.sound_at.pop(part, -math.inf)
        state.sound_at[part] = max(known_at, at)
        conviction = state.convicted.get(part)
        if conviction is not None and conviction.at <= at:
            del state.convicted[part]
            cleared.append(part)
            _restore_set_aside(state, conviction, at)
        found = state.suspects.get(part)
        if found is None:
            continue
        later = {crash: item for crash, item in found.items() if item.at > at}
        if later:
            state.suspects[part] = later
        else:
            del state.suspects[part]
        if later != found and known_at == -math.inf and part not in cleared:
            cleared.append(part)
    _bound(state.sound_at, MAX_SOUND)
    return cleared


def _is_deadly(state, part, now):
    """Whether the sightings of a suspect convict it."""
    found = state.suspects[part]
    seen = {crash: item for crash, item in found.items() if now - item.at < EVIDENCE_S}
    times = sorted(item.at for item in seen.values())
    requests = set().union(*(item.requests for item in seen.values()))
    if not times:
        return False
    is_request = _is_whole(part, requests)
    if is_known_sound(state, part, now):
        return (
            len(times) >= SOUND_MIN_CRASHES
            and (is_request or len(requests) >= SOUND_MIN_REQUESTS)
            and times[-1] - times[0] >= SOUND_MIN_SPAN_S
        )
    has_moments = _count_moments(times) >= MIN_MOMENTS
    if is_request:
        is_often = len(_unbegun(state, part)) >= REQUEST_MIN_CRASHES
        return has_moments and (is_often or len(times) >= REQUEST_MIN_RUNS)
    servers = {crash[: part_ids.ID_BYTES] for crash in seen}
    if has_moments and len(servers) >= MIN_SERVERS and len(requests) >= MIN_REQUESTS:
        return True
    return min(len(times), len(requests)) >= MIN_CRASHES


def _count_moments(times):
    """Return the number of moments in a sorted list of times of crashes."""
    moments, start = 1, times[0]
    for at in times:
        if at - start >= MOMENT_S:
            moments, start = moments + 1, at
    return moments


def _is_whole(part, requests):
    """Whether a part with these requests is a request as a whole."""
    return len(requests) <= 2 and requests <= {part, part_ids.run_begun(part)}


def _unbegun(state, part):
    """Return the crashes of a suspected request at which no answer had begun."""
    found = state.suspects[part]
    return {crash for crash, item in found.items() if part in item.requests}


def convict(state, now):
    """Convict the suspects against which the evidence suffices; return them.

    Of several, the one that explains most crashes comes first. Requests that were lost
    at the same crashes cannot be told apart and are convicted together.
    """
    convicted = []
    while True:
        deadly = [part for part in state.suspects if _is_deadly(state, part, now)]
        if not deadly:
            # A proven conviction may have lifted an unproven one.
            return [part for part in convicted if part in state.convicted]
        worst = max(deadly, key=lambda part: _rank(state, part))
        crashes = set(state.suspects[worst])
        alike = [worst]
        if _unbegun(state, worst):
            alike = [
                part
                for part in deadly
                if _unbegun(state, part) == _unbegun(state, worst)
            ]
        is_request = bool(_unbegun(state, worst))
        for part in alike:
            add_conviction(state, part, now, crashes, is_proven=is_request)
        convicted += alike


def _rank(state, part):
    """Return the order in which suspects are convicted, the greatest one first."""
    found = state.suspects[part]
    unbegun = _unbegun(state, part)
    requests = set().union(*(item.requests for item in found.values()))
    count = len(unbegun) if _is_whole(part, requests) else len(found)
    return count, len(found), -sound_at(state, part), bool(unbegun)


def add_conviction(state, part, at, crashes=(), is_proven=True, known_crashes=0):
    """Convict a part, for instance by the word of another entry.

    Parameters
    ----------
    state : PoisonParts
    part : bytes
    at : float
    crashes : iterable of bytes
        Crashes that it explains.
    is_proven : bool
    known_crashes : int
        Number of crashes that the source of the word counted.

    Returns
    -------
    is_new : bool
        False if it is convicted already, or was answered after `at`.
    """
    if sound_at(state, part) >= at:
        return False
    known = state.convicted.get(part)
    if known is not None:
        new = set(crashes) - known.crashes
        known.crashes.update(sorted(new)[: MAX_EXPLAINED - len(known.crashes)])
        known.known_crashes = max(known.known_crashes, known_crashes)
        _explain(state, known, new)
        if is_proven:
            prove(state, part)
        return False
    own = state.suspects.pop(part, {})
    item = part_state.Conviction(
        at, {*crashes, *own}, known_crashes, asked_at=at, is_proven=is_proven
    )
    state.convicted[part] = item
    _bound(state.convicted, MAX_CONVICTED)
    _explain(state, item, item.crashes)
    if is_proven:
        prove(state, part)
    return True


def prove(state, part):
    """Record that a conviction is proven; unproven ones that it explains are lifted."""
    item = state.convicted[part]
    item.is_proven, item.trial = True, None
    item.set_aside.clear()
    for other, conviction in list(state.convicted.items()):
        is_explained = conviction.crashes and conviction.crashes <= item.crashes
        if not conviction.is_proven and is_explained:
            del state.convicted[other]


def _explain(state, conviction, crashes):
    """Set aside the sightings of suspects at crashes of a convicted part."""
    for part in list(state.suspects):
        for crash in crashes & state.suspects[part].keys():
            found = state.suspects[part].pop(crash)
            _set_aside(conviction, part, crash, found)
        if not state.suspects[part]:
            del state.suspects[part]


def _set_aside(conviction, part, crash, found):
    """Keep the sightings of another part in case an unproven conviction is wrong."""
    if conviction.is_proven:
        return
    kept = conviction.set_aside
    if part not in kept and len(kept) >= MAX_SET_ASIDE:
        return
    for request in sorted(found.requests):
        _add_request(kept.setdefault(part, {}), crash, request, found.at)


def _restore_set_aside(state, conviction, now):
    """Count the sightings again that a wrong conviction seemed to explain."""
    for part, found in conviction.set_aside.items():
        for crash, item in found.items():
            for request in sorted(item.requests):
                add_sighting(state, part, crash, request, item.at, now)


def proven_part(state, parts):
    """Return the first part of a request with a proven conviction, or None."""
    for part in parts:
        if part in state.convicted and state.convicted[part].is_proven:
            return part
    return None


def convicted_part(state, parts, now):
    """Return the first convicted one of the parts of a request, or None."""
    if not state.convicted:
        return None
    for part in parts:
        found = state.convicted.pop(part, None)
        if found is not None:
            found.asked_at = now
            state.convicted[part] = found
            return part
    return None


def may_probe(state, parts, now):
    """Whether a request with convicted parts may be sent to test the conviction."""
    found = [state.convicted[part] for part in parts if part in state.convicted]
    if len(found) != 1:
        return False
    most = min(len(PROBE_DELAYS_S), MAX_LATE_REQUESTS - found[0].late_trials)
    if found[0].probes >= most:
        return False
    since = max(found[0].at, found[0].tried_at, found[0].probed_at)
    return now - since >= PROBE_DELAYS_S[found[0].probes]


def record_probe(state, parts, now):
    """Record that such a request was sent."""
    for part in parts:
        found = state.convicted.get(part)
        if found is not None:
            found.probes, found.probed_at = found.probes + 1, now


def drop_expired(state, now):
    """Drop outdated sightings, and convictions of parts that nobody asks for.

    Returns
    -------
    dropped : list of bytes
        Parts that are no longer convicted.
    """
    for part in list(state.suspects):
        found = state.suspects[part]
        for crash in [key for key, item in found.items() if now - item.at > EVIDENCE_S]:
            del found[crash]
        if not found:
            del state.suspects[part]
    dropped = [
        part
        for part, item in state.convicted.items()
        if now - max(item.at, item.asked_at) > CONVICTION_S
    ]
    for part in dropped:
        del state.convicted[part]
    return dropped


def is_suspected(state, part):
    """Whether a part is suspected or convicted."""
    return part in state.suspects or part in state.convicted


def summary(state):
    """Return a digest that is equal at entries with the same evidence."""
    known = hashlib.sha256()
    for part in sorted(state.convicted):
        item = state.convicted[part]
        counts = (item.probes, item.is_proven, item.failures, item.late_trials)
        known.update(part + bytes(min(255, count) for count in counts))
    known.update(b"/")
    for part in sorted(state.suspects):
        for crash in sorted(state.suspects[part]):
            known.update(part + crash)
    return known.digest()[: part_ids.ID_BYTES]
