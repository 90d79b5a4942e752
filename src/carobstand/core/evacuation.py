"""Evacuation marks of failure domains, across outages and restored copies of the store.

Load pattern: a whole failure domain is taken out of service while traffic goes on. The
operator's mark must hold while the store cannot tell of it.

A store that comes back from a copy may lack a mark that was written since, or show one
that was removed. Operators repeat both within seconds. Until then this process goes by
what it knew before; afterwards it goes by what the store shows, as a removal leaves no
trace if the copy lacks the mark.
"""

import enum

import attrs

REPEAT_FACTOR = 2.0
"""Time within which operators repeat what a restored store lost, as a multiple of the
time within which a mark must take effect."""

MAX_REMOVED = 256
"""Maximum number of removed marks that are remembered; the oldest is dropped first."""


class Change(enum.Enum):
    """What became of the mark of a failure domain."""

    APPLIED = "applied"
    REVOKED = "revoked"
    KEPT = "kept"
    DOUBTED = "doubted"


@attrs.frozen
class Unsettled:
    """A mark for which a restored store contradicts what was known before.

    Attributes
    ----------
    revision : int
        Of the mark's last write.
    since : float
        Time at which the contradiction was found.
    """

    revision: int
    since: float


@attrs.frozen(kw_only=True)
class Told:
    """What another process knows of a mark.

    Attributes
    ----------
    failure_domain : str
    revision : int
        Of the mark's last write.
    is_removed : bool
        Whether that process saw the mark removed.
    since : float or None
        Time at which the store was found to contradict that; None if it does not.
    """

    failure_domain: str
    revision: int
    is_removed: bool = False
    since: float | None = None


@attrs.define(eq=False)
class Marks:
    """Evacuation marks as one process knows them, by failure domain.

    Attributes
    ----------
    listed : dict of str to int
        Revisions of the marks in the store.
    kept : dict of str to Unsettled
        Marks in force that a restored store lacks.
    doubted : dict of str to Unsettled
        Marks that a restored store shows although they were removed; not in force.
    removed : dict of str to int
        Revisions that the last removed marks had, the latest removal last.
    in_force : set of str
        Failure domains whose servers get no requests.
    """

    listed: dict = attrs.field(factory=dict)
    kept: dict = attrs.field(factory=dict)
    doubted: dict = attrs.field(factory=dict)
    removed: dict = attrs.field(factory=dict)
    in_force: set = attrs.field(factory=set)


def put(marks, failure_domain, revision):
    """Record that the operator wrote a mark; return whether it was not in force."""
    is_new = failure_domain not in marks.in_force
    for held in (marks.kept, marks.doubted, marks.removed):
        held.pop(failure_domain, None)
    marks.listed[failure_domain] = revision
    marks.in_force.add(failure_domain)
    return is_new


def remove(marks, failure_domain):
    """Record that a mark was removed; return whether it was in force."""
    marks.doubted.pop(failure_domain, None)
    if failure_domain not in marks.in_force:
        return False
    revision = marks.listed.pop(failure_domain, None)
    kept = marks.kept.pop(failure_domain, None)
    marks.in_force.discard(failure_domain)
    _remember_removed(marks, failure_domain, kept.revision if kept else revision)
    return True


def _remember_removed(marks, failure_domain, revision):
    marks.removed.pop(failure_domain, None)
    marks.removed[failure_domain] = revision
    while len(marks.removed) > MAX_REMOVED:
        del marks.removed[next(iter(marks.removed))]


def replace(marks, found, is_restored, now):
    """Replace the marks by those of a full read of the store.

    Parameters
    ----------
    marks : Marks
    found : dict of str to int
        Revisions of the marks that were read.
    is_restored : bool
        Whether the store came back from a copy since the last read.
    now : float

    Returns
    -------
    changes : list of (Change, str)
        With the failure domain.
    """
    changes = []
    for domain in [key for key in marks.doubted if key not in found]:
        del marks.doubted[domain]
    for domain in [key for key in marks.listed if key not in found]:
        if is_restored:
            marks.kept[domain] = Unsettled(marks.listed.pop(domain), now)
            changes.append((Change.KEPT, domain))
        else:
            remove(marks, domain)
            changes.append((Change.REVOKED, domain))
    for domain, revision in found.items():
        # No later write has the revision of a removed one, except in a later era.
        if marks.removed.get(domain) == revision:
            if domain not in marks.doubted:
                marks.doubted[domain] = Unsettled(revision, now)
                changes.append((Change.DOUBTED, domain))
        elif put(marks, domain, revision):
            changes.append((Change.APPLIED, domain))
    return changes


def learn(marks, told, found, now):
    """Learn from other processes what a restored store may have lost; then `replace`.

    Removals prevail over marks of the same revision, as they came later. What is in
    force here already stays so.

    Parameters
    ----------
    marks : Marks
    told : list of Told
    found : dict of str to int
        Revisions of the marks that the store shows.
    now : float

    Returns
    -------
    changes : list of (Change, str)
    """
    changes = []
    for item in sorted(told, key=lambda item: not item.is_removed):
        domain = item.failure_domain
        if domain in marks.in_force:
            continue
        unsettled = Unsettled(item.revision, now if item.since is None else item.since)
        if item.is_removed:
            if domain not in marks.removed:
                _remember_removed(marks, domain, item.revision)
            if found.get(domain) == marks.removed[domain]:
                marks.doubted.setdefault(domain, unsettled)
        elif marks.removed.get(domain) == item.revision:
            continue
        elif domain in found:
            # It was written again after the removal, so what the store shows counts.
            marks.removed.pop(domain, None)
            marks.doubted.pop(domain, None)
        else:
            marks.kept[domain] = unsettled
            marks.in_force.add(domain)
            changes.append((Change.KEPT, domain))
    return changes


def tell(marks):
    """Return a list of `Told`: what this process knows of marks."""
    known = [
        Told(failure_domain=key, revision=revision)
        for key, revision in marks.listed.items()
    ]
    known += [
        Told(failure_domain=key, revision=item.revision, since=item.since)
        for key, item in marks.kept.items()
    ]
    for key, revision in marks.removed.items():
        doubted = marks.doubted.get(key)
        since = doubted and doubted.since
        known.append(
            Told(failure_domain=key, revision=revision, is_removed=True, since=since)
        )
    return known


def settle(marks, confirmed_at, store_failed_at, bounds):
    """Go by the store where operators have had the time to repeat what it lost.

    Parameters
    ----------
    marks : Marks
    confirmed_at : float
        Time up to which the state of the store is known.
    store_failed_at : float
        Time of the last failed call of the store; nothing was repeated before.
    bounds : core.deployment.Bounds

    Returns
    -------
    changes : list of (Change, str)
    """

    def is_over(item):
        began_at = max(item.since, store_failed_at)
        return confirmed_at >= began_at + REPEAT_FACTOR * bounds.evacuation_s

    changes = []
    for domain in [key for key, item in marks.kept.items() if is_over(item)]:
        remove(marks, domain)
        changes.append((Change.REVOKED, domain))
    for domain, item in list(marks.doubted.items()):
        if is_over(item):
            put(marks, domain, item.revision)
            changes.append((Change.APPLIED, domain))
    return changes
