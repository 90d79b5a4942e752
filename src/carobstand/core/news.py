"""Changes of the platform's store that entries of a region tell each other.

Load pattern: a large configuration, or many registrations, that the store would send to
each entry over the region's narrow link. One entry of a region reads the store; the
others ask it, and read the store themselves as soon as it is silent or lies behind.
"""

import collections

import attrs

from carobstand.core import weight_sources

MIN_ENTRIES = 4
"""Entries of a region from which on one reads for the others. It watches for shorter
times than each of a few would, so fewer of them ask the store less often themselves."""

MAX_ITEMS = 512
"""Changes that are held for entries that ask later."""

READER_WAIT_SHARE = 0.2
"""Longest wait of a reader's watch, in the time in which changes must be in force."""

MAX_AGE_SHARE = 0.4
"""Age of a reader's knowledge up to which the others rely on it, in the same time. The
rest is for a reader that hangs and for their own read."""

DIRECT_S = 5.0
"""Time for which the store is read directly after the reader failed."""

KEY = "news"
"""Key by which the entries of a region are ranked as readers."""


@attrs.frozen
class Change:
    """One changed item; `since` is the earliest time at which it was changed."""

    item: object
    since: float


@attrs.define(eq=False)
class News:
    """Latest changes of the store, and how this entry learns of them.

    Attributes
    ----------
    changes : collections.deque of Change
        In the order of their revisions; of a key only the newest one.
    floor : int
        Revision after which all changes are held.
    direct_until : float
        Time until which the store is read directly.
    """

    changes: collections.deque = attrs.field(factory=collections.deque)
    floor: int = 0
    direct_until: float = -1e9


def reset(news, revision):
    """Begin anew at a revision, as after a full read."""
    news.changes.clear()
    news.floor = revision


def add(news, item, since):
    """Hold one change; an older one of the same key is needless."""
    for held in news.changes:
        if held.item.key == item.key:
            news.changes.remove(held)
            break
    news.changes.append(Change(item, since))
    while len(news.changes) > MAX_ITEMS:
        news.floor = news.changes.popleft().item.revision


def after(news, revision):
    """Return the changes after a revision, or None if not all are held."""
    if revision < news.floor:
        return None
    return [change for change in news.changes if change.item.revision > revision]


def reader(news, entries, me, now):
    """Return the entry that reads the store for this one, or None for the store.

    Parameters
    ----------
    news : News
    entries : iterable of core.weight_sources.Entry
        All that are registered.
    me : core.weight_sources.Entry
    now : float
    """
    if now < news.direct_until:
        return None
    first = _first(entries, me)
    return None if first is None or first.vm == me.vm else first


def is_reader(entries, me):
    """Whether this entry reads the store for others."""
    first = _first(entries, me)
    return first is not None and first.vm == me.vm


def _first(entries, me):
    """Return the reader of the region, or None if each entry reads for itself."""
    others = [entry for entry in entries if entry.vm != me.vm]
    ranked = weight_sources.regional([me, *others], KEY, me.region)
    return ranked[0] if len(ranked) >= MIN_ENTRIES else None


def fail(news, now):
    """Record that the reader failed: the store is read directly for a while."""
    news.direct_until = now + DIRECT_S
