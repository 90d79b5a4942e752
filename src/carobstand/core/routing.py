"""Choice of the version and the backend server of a request.

Weighted rendezvous hashing assigns each request two home servers: one by its prefix,
whose cache is likely to hold the prefix, and one by its fingerprint. One of the two is
chosen by load (power of two choices). All entries compute the same homes. Copies of a
request that are sent through several entries at the same time therefore reach at most
two backend servers, while requests with a popular prefix spread over all of them.
"""

import hashlib
import math

import attrs

from carobstand import errors

AFFINITY_SHARE = 0.25
"""Share of the in-flight limit by which the prefix's home may be more loaded than the
fingerprint's home and still be preferred."""

OVER_QUOTA_SHARE = 0.8
"""Share of the in-flight limit up to which an entry may exceed its quota.

Above it, the reports of other entries' requests are too old to share out the rest.
"""

DEFAULT_LIMIT = 64
"""In-flight limit of a backend server whose service does not set one."""

LOAD_HALF_LIFE_S = 2.0
"""Time in which the weight of a load report halves."""

REGION_COST = 0.25
"""Cost of a server in another region, as a share of the in-flight limit."""

FAILED_RETENTION_S = 3.0
"""Time for which a failed backend server is still considered when homes are computed.

Within this time every entry learns of the failure; until then a request must not move
to a third backend server.
"""

_MASK = (1 << 64) - 1


@attrs.define(eq=False)
class Candidate:
    """A backend server as seen by one entry.

    Attributes
    ----------
    vm : str
    versions : frozenset
        Versions that are served and in the plan; ``{""}`` for a plain service.
    retiring : frozenset
        Versions that are served but no longer in the plan. Only answers that have
        started may continue on them.
    weight : float
    limit : int
        Maximum number of requests in flight, from all entries.
    quota : int
        Part of the limit allotted to this entry by its share of the demand.
    same_region : bool
        Whether it is in the entry's region.
    own_in_flight : int
        Requests of this entry in flight.
    others_in_flight : float
        Requests of other entries in flight, by the last report.
    reported_at : float
    usable : bool
        False if it failed recently, is ejected or its circuit breaker is open.
    failed : bool
        Whether it failed within `FAILED_RETENTION_S`.
    full_until : float
        Time until which no requests are sent after it rejected one as full.
    """

    vm: str
    versions: frozenset
    weight: float = 1.0
    limit: int = DEFAULT_LIMIT
    quota: int = 0
    same_region: bool = True
    own_in_flight: int = 0
    others_in_flight: float = 0.0
    reported_at: float = 0.0
    usable: bool = True
    failed: bool = False
    full_until: float = 0.0
    retiring: frozenset = frozenset()
    hash: int = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.hash = hash_of(self.vm)


def hash_of(*parts):
    """Return a 64-bit hash of `parts` that is the same in every process."""
    digest = hashlib.sha256("\0".join(parts).encode()).digest()
    return int.from_bytes(digest[:8], "big")


def _mix(value):
    """Return `value` with its 64 bits mixed (finalizer of SplitMix64)."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def _score(candidate, key):
    """Return the weighted rendezvous score; the lowest score wins."""
    mixed = _mix(candidate.hash ^ key)
    return -math.log((mixed + 1) / (_MASK + 2)) / candidate.weight


def choose_version(weights, served, requested, fingerprint):
    """Return the version for a request, or None if none is available.

    While no version with a traffic share is served, for example because a change moved
    the whole share to a new version, the versions that are still served are used.

    Parameters
    ----------
    weights : dict of str to float
        Traffic share per version of the service.
    served : set of str
        Versions that at least one backend server serves.
    requested : str
        Version that the caller requests, or an empty string.
    fingerprint : str
        Determines the choice, so that every entry chooses the same version.
    """
    if requested:
        return requested if requested in served else None
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
    """Home servers of a request: the backend servers that may run it.

    `needs_suspect_check` means that the request may have made backend servers fail
    without this entry knowing it; it must not run before this is ruled out.
    """

    by_prefix: Candidate | None
    by_fingerprint: Candidate | None
    needs_suspect_check: bool = False


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
    """Return the home servers of a request.

    Parameters
    ----------
    candidates : iterable of Candidate
        All backend servers, including those that failed within `FAILED_RETENTION_S`.
    version : str
    prefix, fingerprint : str
    used : container of str
        Backend servers that already had an attempt of this request.
    failed_on : container of str
        Backend servers that failed while running the fingerprint. After the first
        failure only one home is left.
    recent : bool
        Whether a failure became known recently.
    started : bool
        Whether a started answer is to be resumed.

    Returns
    -------
    homes : Homes
    """
    eligible = [
        c
        for c in candidates
        if (version in c.versions or started and version in c.retiring) and c.weight > 0
    ]
    if not eligible:
        return Homes(None, None)
    prefix_key = hash_of("prefix", version, prefix)
    first = min(eligible, key=lambda c: _score(c, prefix_key))
    fingerprint_key = hash_of("fingerprint", fingerprint)
    rest = [c for c in eligible if c is not first] or [first]
    second = min(rest, key=lambda c: _score(c, fingerprint_key))
    pair = [first] if second is first else [first, second]
    if failed_on:
        outside = not any(c.vm in failed_on for c in pair)
        if outside and recent:
            # The homes have changed since the failure, for example because of a new
            # version; copies may still be running on the former homes.
            return Homes(None, None)
        return _last_home(eligible, first, second, fingerprint_key, failed_on)
    open_homes = [c for c in pair if _is_open(c, used)]
    if open_homes:
        return Homes(open_homes[0], open_homes[-1])
    spare = [c for c in eligible if c not in pair and _is_open(c, used)]
    if not spare:
        return Homes(None, None)
    # Neither home is available; this request may be what made them fail.
    best = min(spare, key=lambda c: _score(c, fingerprint_key))
    return Homes(best, best, needs_suspect_check=True)


def _is_open(candidate, used):
    return candidate.usable and not candidate.failed and candidate.vm not in used


def _last_home(eligible, first, second, fingerprint_key, failed_on):
    """Return the only home left for a request that made a backend server fail.

    The choice must not depend on state that differs between entries, such as which
    servers are up: two entries could then each make a different server fail. The home
    may be one that had an attempt of the request without failing, because no other
    server is allowed.
    """
    order = [second, first, *sorted(eligible, key=lambda c: _score(c, fingerprint_key))]
    remaining = [c for c in order if c.vm not in failed_on] or order
    if not _is_open(remaining[0], ()):
        return Homes(None, None)
    return Homes(remaining[0], remaining[0], needs_suspect_check=True)


def load(candidate, now):
    """Return the estimated requests in flight; the report is discounted by its age."""
    age_s = max(0.0, now - candidate.reported_at)
    return candidate.own_in_flight + candidate.others_in_flight * 0.5 ** (
        age_s / LOAD_HALF_LIFE_S
    )


def has_free_slot(candidate, now):
    """Whether one more request stays within the in-flight limit."""
    if candidate.own_in_flight >= candidate.limit or now < candidate.full_until:
        return False
    if candidate.own_in_flight < candidate.quota:
        return True
    return load(candidate, now) < OVER_QUOTA_SHARE * candidate.limit


def _cost(candidate, now):
    share = load(candidate, now) / candidate.limit / candidate.weight
    return share + (0.0 if candidate.same_region else REGION_COST)


def pick(homes, now):
    """Return the home for the request, or None if neither has a free slot."""
    first, second = homes.by_prefix, homes.by_fingerprint
    open_homes = [c for c in (first, second) if c is not None and has_free_slot(c, now)]
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
    """Return the candidate with a free slot and the fewest requests of this entry.

    A baseline for benchmarks.
    """
    eligible = [
        c for c in _eligible(candidates, version, used) if has_free_slot(c, now)
    ]
    return min(eligible, key=lambda c: (c.own_in_flight, _mix(c.hash)), default=None)


def round_robin(candidates, version, used, now, turn):
    """Return the next candidate with a free slot; a baseline for benchmarks."""
    eligible = sorted(_eligible(candidates, version, used), key=lambda c: c.vm)
    for step in range(len(eligible)):
        candidate = eligible[(turn + step) % len(eligible)]
        if has_free_slot(candidate, now):
            return candidate
    return None


def _eligible(candidates, version, used):
    return [
        c
        for c in candidates
        if version in c.versions and c.usable and not c.failed and c.vm not in used
    ]


def take(candidate):
    """Count a request that is sent to `candidate`."""
    if candidate.own_in_flight >= candidate.limit:
        raise errors.InvariantError(
            f"{candidate.vm} would exceed its limit {candidate.limit}",
            step="routing.take",
        )
    candidate.own_in_flight += 1


def give_back(candidate):
    """Count the end of a request at `candidate`."""
    if candidate.own_in_flight <= 0:
        raise errors.InvariantError(
            f"{candidate.vm} has no request in flight", step="routing.give_back"
        )
    candidate.own_in_flight -= 1
