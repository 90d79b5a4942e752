"""Change feed of the platform's store, shared between the entries of a region.

A large configuration or many registrations would otherwise cross the region's narrow
link once for each entry. One entry of a region, the reader, reads the store. The others
poll the reader, and read the store directly as soon as it stops responding or is stale.
"""

import collections

import attrs

from carobstand.core import weight_sources

MIN_ENTRIES = 4
"""Fewest entries in a region for which one reads for the others. A reader's watches
are shorter than those of entries that read for themselves, so with fewer entries direct
reads cause fewer calls of the store."""

MAX_ITEMS = 512
"""Maximum number of changes kept for entries that poll later."""

READER_WAIT_SHARE = 0.2
"""Maximum wait of a reader's watch, as a share of the time within which changes must
take effect."""

MAX_AGE_SHARE = 0.4
"""Maximum age of a reader's state that the others accept, as a share of the same time.
The rest is left for detecting a reader that hangs and for a direct read."""

DIRECT_S = 5.0
"""Time for which the store is read directly after the reader failed, in seconds."""

RANKING_KEY = "news"
"""Rendezvous hashing key by which the entries of a region are ranked as readers."""


@attrs.frozen
class Change:
    """One changed item; `since` is the earliest time at which it may have changed."""

    item: object
    since: float


@attrs.define(eq=False)
class ChangeFeed:
    """Latest changes of the store, and whether this entry reads it directly.

    Attributes
    ----------
    changes : collections.deque of Change
        In the order of their revisions, only the newest one of each key.
    complete_after : int
        Revision after which all changes are kept.
    direct_until : float
        Time until which the store is read directly.
    """

    changes: collections.deque = attrs.field(factory=collections.deque)
    complete_after: int = 0
    direct_until: float = -1e9


def reset(feed, revision):
    """Discard all changes and restart at a revision, as after a full read."""
    feed.changes.clear()
    feed.complete_after = revision


def add(feed, item, since):
    """Add a change, in place of an older one of the same key."""
    for held in feed.changes:
        if held.item.key == item.key:
            feed.changes.remove(held)
            break
    feed.changes.append(Change(item, since))
    while len(feed.changes) > MAX_ITEMS:
        feed.complete_after = feed.changes.popleft().item.revision


def changes_after(feed, revision):
    """Return the changes after a revision, or None if some of them were dropped."""
    if revision < feed.complete_after:
        return None
    return [change for change in feed.changes if change.item.revision > revision]


def reader(feed, entries, me, now):
    """Return the entry to poll for changes, or None to read the store directly.

    Parameters
    ----------
    feed : ChangeFeed
    entries : iterable of core.weight_sources.Entry
        All registered entries.
    me : core.weight_sources.Entry
        This entry.
    now : float
    """
    if now < feed.direct_until:
        return None
    chosen = _regional_reader(entries, me)
    return None if chosen is None or chosen.vm == me.vm else chosen


def is_reader(entries, me):
    """Whether this entry reads the store for others."""
    chosen = _regional_reader(entries, me)
    return chosen is not None and chosen.vm == me.vm


def _regional_reader(entries, me):
    """Return the reader of the region, or None if each entry reads for itself."""
    others = [entry for entry in entries if entry.vm != me.vm]
    ranked = weight_sources.ranked_in_region([me, *others], RANKING_KEY, me.region)
    return ranked[0] if len(ranked) >= MIN_ENTRIES else None


def record_reader_failure(feed, now):
    """Record that the reader failed; the store is read directly for `DIRECT_S`."""
    feed.direct_until = now + DIRECT_S
