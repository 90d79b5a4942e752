"""Suspected poison requests: those in progress when a backend server failed.

Every entry derives the same id for a failure, so that each failure is counted once.
"""

import json

import attrs

from carobstand import errors

REJECT_THRESHOLD = 2
"""Number of backend server failures after which a request is rejected."""

RECENT_S = 5.0
"""Time for which copies of a request that made a server fail may still be running."""

LIFETIME_S = 3600.0
"""Time for which a suspect is kept after its last reported failure."""

MAX_SUSPECTS = 20_000
"""Maximum number of suspects kept; the oldest with one failure are dropped first."""

MAX_FAILURES = 8
"""Maximum number of failure ids per suspect; `REJECT_THRESHOLD` suffice to reject."""


@attrs.define
class Suspect:
    """Failures of one fingerprint; it expires at `expires_at` on the caller's clock."""

    failures: set = attrs.field(factory=set)
    expires_at: float = 0.0
    changed_at: float = 0.0


@attrs.define(eq=False)
class Suspects:
    """Suspects known to one entry, by fingerprint."""

    held: dict = attrs.field(factory=dict)


def failure_id(vm, agent_start_id, backend_starts):
    """Return the id of a backend server failure."""
    return f"{vm}/{agent_start_id}/{backend_starts}"


def add(state, fingerprint, failures, now):
    """Record failures of backend servers that ran `fingerprint`.

    Returns
    -------
    new : bool
        Whether at least one of `failures` was not recorded before.
    """
    suspect = state.held.get(fingerprint)
    if suspect is None:
        if len(state.held) >= MAX_SUSPECTS:
            _evict(state, now)
        suspect = state.held[fingerprint] = Suspect()
    known = len(suspect.failures)
    free = MAX_FAILURES - known
    suspect.failures.update(sorted(set(failures) - suspect.failures)[:free])
    suspect.expires_at = now + LIFETIME_S
    if len(suspect.failures) > known:
        suspect.changed_at = now
    return len(suspect.failures) > known


def _evict(state, now):
    forget_expired(state, now)
    for fingerprint in list(state.held):
        if len(state.held) < MAX_SUSPECTS:
            return
        if len(state.held[fingerprint].failures) < REJECT_THRESHOLD:
            del state.held[fingerprint]
    while len(state.held) >= MAX_SUSPECTS:
        del state.held[next(iter(state.held))]


def forget_expired(state, now):
    """Delete expired suspects."""
    for fingerprint in [
        key for key, val in state.held.items() if val.expires_at <= now
    ]:
        del state.held[fingerprint]


def failures(state, fingerprint, now):
    """Return the number of backend servers that failed while running `fingerprint`."""
    suspect = state.held.get(fingerprint)
    if suspect is None or suspect.expires_at <= now:
        return 0
    return len(suspect.failures)


def failed_on(state, fingerprint, now):
    """Return the VMs whose backend servers failed while running `fingerprint`."""
    suspect = state.held.get(fingerprint)
    if suspect is None or suspect.expires_at <= now:
        return frozenset()
    return frozenset(item.partition("/")[0] for item in suspect.failures)


def is_recent(state, fingerprint, now):
    """Whether a new failure was recorded within the last `RECENT_S`."""
    suspect = state.held.get(fingerprint)
    return suspect is not None and now - suspect.changed_at < RECENT_S


def is_refused(state, fingerprint, now):
    """Whether the request must not be run again."""
    return failures(state, fingerprint, now) >= REJECT_THRESHOLD


def encode(suspect):
    """Return the store value of a suspect."""
    return json.dumps({"failures": sorted(suspect.failures)}).encode()


def decode(data):
    """Return the failure ids of a store value; raise StoreError if malformed."""
    try:
        ids = json.loads(data)["failures"]
        if not isinstance(ids, list) or not all(isinstance(x, str) for x in ids):
            raise ValueError("failures are not a list of strings")
    except (ValueError, KeyError, TypeError) as exc:
        raise errors.StoreError(
            f"malformed suspect: {exc}", step="suspects.decode"
        ) from exc
    return ids
