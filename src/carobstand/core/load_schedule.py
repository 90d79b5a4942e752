"""Load schedule: which version an engine receives, and when it loads it.

Load pattern: versions named in quick succession, while the origin or the entries that
hold copies may be gone. Versions are compared by the time for which the engine would
have no weights on which requests may begin.
"""

import math

import attrs

from carobstand.core import named_versions, rendezvous

LOAD_MARGIN_S = 0.5
"""Safety margin between the latest start of a load and the end of the allowed time."""

LINK_SHARE = 0.95
"""Share of a link's bandwidth that received weights use."""

LOAD_S = 0.5
"""Time for which a load takes an engine out of service: 0.3 s for the load itself, the
rest for the order and its report. The time in which its running requests end counts as
service."""


RUNNING_S = 1.3
"""Time until the requests that an engine runs have ended, on average: 1 to 2.6 s at
most. A load costs an engine about as much service."""

MAX_LOAD_S = 3.5
"""Longest time from the order to load until the first request begins on the loaded
weights, at usual speed: the longest running request of 2.6 s, the load, and a margin.
An engine keeps the requests of its queue during a load and begins them afterwards."""

ORDER_DELAY_S = 0.3
"""Time after the end of the served version from which an engine with an empty queue
gets no further requests: entries learn of a named version up to 60 ms later than
agents, and requests that they sent before may still be under way."""

SPREAD_S = 3.0
"""Shortest time over which loads are spread: the longest running request of 2.6 s and
the load of 0.3 s, so that some engines are back before the last ones begin."""


@attrs.frozen(kw_only=True)
class Outlook:
    """What an agent knows when it chooses a version.

    Attributes
    ----------
    named : list of core.named_versions.SeenVersion
        Ordered by version, not empty.
    serving : int or None
        Version that the engine serves.
    complete : list of int
        Versions of which complete copies are held.
    missing : dict of int to float
        Share that is not held of each copy that was begun and is not complete.
    copy_s : float
        Time to receive a complete copy.
    allowed_s : float
        Time after a version is named during which requests may begin on older ones.
    slowness : float
        Ratio of the engine's present to its usual time for a unit of work.
    waiting : int or None
        Number of requests in the engine's queue, None if not known.
    """

    named: list
    serving: int | None
    complete: list
    missing: dict
    copy_s: float
    allowed_s: float
    slowness: float = 1.0
    waiting: int | None = None

    @property
    def newest(self):
        """Newest named version."""
        return self.named[-1].version


def held(outlook):
    """Return the newest version that is served or held completely, 0 if none is."""
    return max([outlook.serving or 0, *outlook.complete])


def version_to_receive(outlook, now):
    """Return the version to receive next: the newest one, or an older one before it.

    An older one that has been begun is completed first if the newest can still be
    received after it in time, or if that leaves the engine without usable weights for
    a shorter time. It is also safer: the origin or the sources may be lost meanwhile.
    """
    newest = outlook.newest
    begun = [v for v in outlook.missing if held(outlook) < v < newest]
    if not begun:
        return newest
    best = min(begun, key=lambda v: (_unusable_s(outlook, v, now), -v))
    newest_at = _received_at(outlook, (best, newest), now)
    if newest_at + LOAD_MARGIN_S <= outlook.named[-1].seen_at + outlook.allowed_s:
        return best
    gain_s = _unusable_s(outlook, newest, now) - _unusable_s(outlook, best, now)
    return best if gain_s > LOAD_S else newest


def share_to_load(outlook, version, now):
    """Return the share of the engines that load a complete copy of a version.

    All load the newest one. An older one must serve for longer than its load takes,
    after the end of the served version, and its load must be over before its own end
    unless no request can begin late after it, see `_has_no_requests_to_begin`.
    If the newest one arrives around that end, half
    of the engines load the older one and serve while the others load the newest: all
    loads at that moment would leave no engine in service. If the newest one arrives
    earlier by enough to spread its loads, none load the older one.
    """
    if not outlook.named or version >= outlook.newest:
        return 1.0
    loaded_by = now + MAX_LOAD_S * max(1.0, outlook.slowness)
    if loaded_by > _ends_at(outlook, version) and not _has_no_requests_to_begin(
        outlook, now
    ):
        return 0.0
    newest_at = _received_at(outlook, (outlook.newest,), now)
    serving_end = serving_ends_at(outlook)
    begins_at = max(now + LOAD_S, serving_end)
    if _ends_at(outlook, version) - begins_at <= LOAD_S:
        return 0.0
    if newest_at >= max(now, serving_end) + RUNNING_S:
        return 1.0
    return 0.5 if newest_at > serving_end - SPREAD_S else 0.0


def _has_no_requests_to_begin(outlook, now):
    """Tell whether the engine's queue stays empty until a load has ended."""
    return outlook.waiting == 0 and now >= serving_ends_at(outlook) + ORDER_DELAY_S


def serving_ends_at(outlook):
    """Return the latest time at which requests may begin on the served weights."""
    return _ends_at(outlook, outlook.serving)


def _ends_at(outlook, version):
    if version is None:
        return -math.inf
    return named_versions.begin_by(outlook.named, version, outlook.allowed_s)


def _received_at(outlook, versions, now):
    """Return the time at which copies of versions, one after the other, are complete.

    An origin that does not respond delays all versions alike, so that their comparison
    needs no estimate of its outage.
    """
    missing = sum(
        outlook.missing.get(version, 1.0)
        for version in versions
        if version not in outlook.complete
    )
    return now + outlook.copy_s * missing


def _unusable_s(outlook, version, now):
    """Return the time without usable weights if `version` is received next."""
    received_at = _received_at(outlook, (version,), now)
    gap_s = max(0.0, received_at - max(now, serving_ends_at(outlook)))
    if version == outlook.newest:
        return gap_s
    newest_at = _received_at(outlook, (version, outlook.newest), now)
    return gap_s + max(0.0, newest_at - max(received_at, _ends_at(outlook, version)))


def receive_s(copy_bytes, link_bytes_per_s):
    """Return the time to receive one copy over a link, 0 if its rate is unknown."""
    if not link_bytes_per_s:
        return 0.0
    return copy_bytes / (link_bytes_per_s * LINK_SHARE)


def position(server, servers, version, *, evacuated=frozenset(), cold=frozenset()):
    """Return the share of a service's engines that load a version before one of them.

    All agents compute the same order by rendezvous hashing. An agent that knows no
    engines of the service uses the share of all hashes that precede its own, which is
    about the same position.

    Engines of evacuated failure domains serve nothing and load without delay; the loads
    of the others are spread over the whole time. Cold engines come first among these.

    Parameters
    ----------
    server : str
    servers : iterable of str or None
        All engines of the service, by a name that is the same at all agents; None if
        they are not known.
    version : int
    evacuated, cold : set of str
        Those in evacuated failure domains, and those that were cold when their records
        were read.
    """
    if server in evacuated:
        return 0.0
    if servers is None:
        score = rendezvous.score(str(version), server)
        return int.from_bytes(score, "big") / (1 << 8 * len(score))
    load_order = sorted(
        set(servers) - evacuated | {server},
        key=lambda s: (s not in cold, rendezvous.score(str(version), s)),
    )
    return load_order.index(server) / len(load_order)


def earliest_load_at(position, received_at, ends_at):
    """Return the earliest time at which an engine may begin to load a version.

    The loads of a service's engines are spread over the time between the receipt of a
    copy and the end of the served version. All engines receive at about the same time,
    as their links are alike.

    Parameters
    ----------
    position : float
        That of the engine, see `position`.
    received_at : float
        Time at which this server's copy is complete.
    ends_at : float
        Latest time at which requests may begin on the weights that are served.
    """
    window_s = max(0.0, ends_at - LOAD_MARGIN_S - received_at)
    return received_at + window_s * position
