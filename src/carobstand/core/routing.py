"""Choice of the version and the backend server of a request.

Every fingerprint has two homes among the backend servers: one by its prefix, whose
cache is likely to hold it, and one by the fingerprint itself. Power of two choices is
applied to these two. All entries find the same homes, so that copies of a request
that are sent through several entries at the same time reach at most two backend
servers, and a prefix that is asked for often spreads over all of them.
"""

import hashlib
import math

import attrs

from carobstand import errors

AFFINITY_SHARE = 0.25
"""Share of the in-flight limit by which the prefix's home may be busier."""

BORROWED_SHARE = 0.8
"""Share of the limit up to which an entry goes beyond its own part of it.

Above it, reports of other entries' requests are too old to divide the rest by.
"""

DEFAULT_LIMIT = 64
"""In-flight limit of a backend server whose service has none."""

LOAD_HALF_LIFE_S = 2.0
"""Time in which the weight of a load report halves."""

REGION_COST = 0.25
"""Cost of another region, as a share of the in-flight limit."""

FAILED_MEMORY_S = 3.0
"""Time in which a backend server that failed keeps its place as a home.

In it every entry learns of the failure; until then a request must not move to a
third backend server.
"""

_MASK = (1 << 64) - 1


@attrs.define(eq=False)
class Candidate:
    """A backend server as seen by one entry.

    Attributes
    ----------
    vm : str
    versions : frozenset
        Versions in service and in the plan; ``{""}`` for a plain service.
    lingering : frozenset
        Versions in service that the plan no longer names; only answers that have
        started may continue on them.
    weight : float
    limit : int
        Requests in flight over all entries.
    quota : int
        Part of the limit that is this entry's by its share of the demand.
    near : bool
        Whether it is in the entry's region.
    own : int
        Requests of this entry in flight.
    others : float
        Those of other entries by the last report.
    reported_at : float
    usable : bool
        False if it failed a moment ago, is ejected or its circuit breaker is open.
    failed : bool
        Whether it failed within `FAILED_MEMORY_S`.
    full_until : float
        Time before which it is not asked again after it refused for lack of room.
    """

    vm: str
    versions: frozenset
    weight: float = 1.0
    limit: int = DEFAULT_LIMIT
    quota: int = 0
    near: bool = True
    own: int = 0
    others: float = 0.0
    reported_at: float = 0.0
    usable: bool = True
    failed: bool = False
    full_until: float = 0.0
    lingering: frozenset = frozenset()
    hash: int = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.hash = hash_of(self.vm)


def hash_of(*parts):
    """Return 64 bits that every process derives from `parts`."""
    digest = hashlib.sha256("\0".join(parts).encode()).digest()
    return int.from_bytes(digest[:8], "big")


def _mix(value):
    """Return well-mixed 64 bits of `value` (finalizer of SplitMix64)."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def _rank(candidate, key):
    """Return the weighted rendezvous score; the lowest one wins."""
    mixed = _mix(candidate.hash ^ key)
    return -math.log((mixed + 1) / (_MASK + 2)) / candidate.weight


def choose_version(weights, served, wanted, fingerprint):
    """Return the version that a request goes to, or None.

    While no version with a share is served yet, for example when one change moves the
    whole share to a new version, the versions that are still served take the requests.

    Parameters
    ----------
    weights : dict of str to float
        Traffic share per version of the service.
    served : set of str
        Versions that some backend server serves.
    wanted : str
        Version that the caller names, or an empty string.
    fingerprint : str
        Decides the share, so that each entry chooses the same version.
    """
    if wanted:
        return wanted if wanted in served else None
    shares = [(name, weights[name]) for name in sorted(weights) if name in served]
    total = sum(weight for _, weight in shares)
    if total <= 0:
        if not served or not any(weight > 0 for weight in weights.values()):
            return None
        shares = [(name, 1.0) for name in sorted(served)]
        total = len(shares)
    point = hash_of("version", fingerprint) / (_MASK + 1) * total
    for name, weight in shares:
        point -= weight
        if point < 0:
            return name
    return [name for name, weight in shares if weight > 0][-1]


@attrs.frozen
class Homes:
    """Backend servers that may run a request.

    `doubtful` says that the request may have made backend servers fail that this
    entry does not know of; it must not run before this is ruled out.
    """

    by_prefix: Candidate | None
    by_fingerprint: Candidate | None
    doubtful: bool = False


def find_homes(
    candidates,
    version,
    prefix,
    fingerprint,
    used=(),
    failed_on=(),
    recent=False,
    started=False,
):
    """Return the homes of a request.

    Parameters
    ----------
    candidates : iterable of Candidate
        Including those that failed within `FAILED_MEMORY_S`.
    version : str
    prefix, fingerprint : str
    used : container of str
        Backend servers that already had an attempt of this request.
    failed_on : container of str
        Backend servers that failed while running the fingerprint. After one, only
        one home is left.
    recent : bool
        Whether a failure became known a moment ago.
    started : bool
        Whether the rest of a started answer is wanted.

    Returns
    -------
    homes : Homes
    """
    able = [
        c
        for c in candidates
        if (version in c.versions or started and version in c.lingering)
        and c.weight > 0
    ]
    if not able:
        return Homes(None, None)
    key = hash_of("prefix", version, prefix)
    first = min(able, key=lambda c: _rank(c, key))
    own = hash_of("fingerprint", fingerprint)
    rest = [c for c in able if c is not first] or [first]
    second = min(rest, key=lambda c: _rank(c, own))
    pair = [first] if second is first else [first, second]
    if failed_on:
        outside = not any(c.vm in failed_on for c in pair)
        if outside and recent:
            # The homes were others a moment ago, for example because a version
            # changed; copies may be running there.
            return Homes(None, None)
        return _last_home(able, first, second, own, failed_on)
    open_homes = [c for c in pair if _is_open(c, used)]
    if open_homes:
        return Homes(open_homes[0], open_homes[-1])
    spare = [c for c in able if c not in pair and _is_open(c, used)]
    if not spare:
        return Homes(None, None)
    # Neither home runs it: they may have failed because of this very request.
    best = min(spare, key=lambda c: _rank(c, own))
    return Homes(best, best, doubtful=True)


def _is_open(candidate, used):
    return candidate.usable and not candidate.failed and candidate.vm not in used


def _last_home(able, first, second, own, failed_on):
    """Return the one backend server that may still run a request that made one fail.

    It depends on nothing that entries see differently, such as which servers are up:
    two entries that chose by that would each cost another server. It may have had an
    attempt of the request that ended without its failure, since there is no other.
    """
    order = [second, first, *sorted(able, key=lambda c: _rank(c, own))]
    left = [c for c in order if c.vm not in failed_on] or order
    if not _is_open(left[0], ()):
        return Homes(None, None)
    return Homes(left[0], left[0], doubtful=True)


def load(candidate, now):
    """Return the estimated requests in flight; reports of others lose weight."""
    age_s = max(0.0, now - candidate.reported_at)
    return candidate.own + candidate.others * 0.5 ** (age_s / LOAD_HALF_LIFE_S)


def has_room(candidate, now):
    """Whether one more request stays within the in-flight limit."""
    if candidate.own >= candidate.limit or now < candidate.full_until:
        return False
    if candidate.own < candidate.quota:
        return True
    return load(candidate, now) < BORROWED_SHARE * candidate.limit


def _cost(candidate, now):
    share = load(candidate, now) / candidate.limit / candidate.weight
    return share + (0.0 if candidate.near else REGION_COST)


def pick(homes, now):
    """Return the home that gets the request, or None if neither has room."""
    first, second = homes.by_prefix, homes.by_fingerprint
    open_homes = [c for c in (first, second) if c is not None and has_room(c, now)]
    if not open_homes:
        return None
    if first not in open_homes:
        return second
    if second not in open_homes:
        return first
    if _cost(first, now) <= _cost(second, now) + AFFINITY_SHARE:
        return first
    return second


def least_in_flight(candidates, version, used, now):
    """Return the least loaded candidate with room; a baseline for benches."""
    able = [c for c in _able(candidates, version, used) if has_room(c, now)]
    return min(able, key=lambda c: (c.own, _mix(c.hash)), default=None)


def round_robin(candidates, version, used, now, turn):
    """Return the next candidate with room; a baseline for benches."""
    able = sorted(_able(candidates, version, used), key=lambda c: c.vm)
    for step in range(len(able)):
        candidate = able[(turn + step) % len(able)]
        if has_room(candidate, now):
            return candidate
    return None


def _able(candidates, version, used):
    return [
        c
        for c in candidates
        if version in c.versions and c.usable and not c.failed and c.vm not in used
    ]


def take(candidate):
    """Count a request that goes to `candidate`."""
    if candidate.own >= candidate.limit:
        raise errors.InvariantError(
            f"{candidate.vm} would exceed its limit {candidate.limit}",
            step="routing.take",
        )
    candidate.own += 1


def give_back(candidate):
    """Count the end of a request at `candidate`."""
    if candidate.own <= 0:
        raise errors.InvariantError(
            f"{candidate.vm} has no request in flight", step="routing.give_back"
        )
    candidate.own -= 1
