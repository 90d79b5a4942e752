"""Requests that were in progress when a backend server failed.

A failure has an id that is the same at every entry, so that entries count it once.
"""

import json

import attrs

from carobstand import errors

REFUSED_FROM = 2
"""Failures of backend servers from which a request is refused."""

LIFETIME_S = 3600.0
"""How long a suspect is held."""

MAX_HELD = 20_000
"""Suspects held in memory; beyond it the oldest with one failure are dropped."""

MAX_FAILURES = 8
"""Failure ids held per suspect; two of them already refuse it."""


@attrs.define
class Suspect:
    """Failures of one fingerprint; `until` is on the caller's clock."""

    failures: set = attrs.field(factory=set)
    until: float = 0.0


@attrs.define(eq=False)
class Suspects:
    """Suspects known to one entry, by fingerprint."""

    held: dict = attrs.field(factory=dict)


def failure_id(vm, agent_start_id, backend_starts):
    """Return the id of one failure of a backend server."""
    return f"{vm}/{agent_start_id}/{backend_starts}"


def add(state, fingerprint, failures, now):
    """Record failures of backend servers that ran `fingerprint`.

    Returns
    -------
    new : bool
        Whether one of `failures` was not known.
    """
    suspect = state.held.get(fingerprint)
    if suspect is None:
        if len(state.held) >= MAX_HELD:
            _make_room(state, now)
        suspect = state.held[fingerprint] = Suspect()
    known = len(suspect.failures)
    room = MAX_FAILURES - known
    suspect.failures.update(sorted(set(failures) - suspect.failures)[:room])
    suspect.until = now + LIFETIME_S
    return len(suspect.failures) > known


def _make_room(state, now):
    forget_expired(state, now)
    for fingerprint in list(state.held):
        if len(state.held) < MAX_HELD:
            return
        if len(state.held[fingerprint].failures) < REFUSED_FROM:
            del state.held[fingerprint]
    while len(state.held) >= MAX_HELD:
        del state.held[next(iter(state.held))]


def forget_expired(state, now):
    """Drop suspects whose lifetime has ended."""
    for fingerprint in [key for key, val in state.held.items() if val.until <= now]:
        del state.held[fingerprint]


def failures(state, fingerprint, now):
    """Return the number of backend servers that failed while running `fingerprint`."""
    suspect = state.held.get(fingerprint)
    if suspect is None or suspect.until <= now:
        return 0
    return len(suspect.failures)


def failed_on(state, fingerprint, now):
    """Return the VMs whose backend servers failed while running `fingerprint`."""
    suspect = state.held.get(fingerprint)
    if suspect is None or suspect.until <= now:
        return frozenset()
    return frozenset(item.partition("/")[0] for item in suspect.failures)


def is_refused(state, fingerprint, now):
    """Whether the request must not be run again."""
    return failures(state, fingerprint, now) >= REFUSED_FROM


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
