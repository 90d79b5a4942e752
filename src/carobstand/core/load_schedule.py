"""Load schedule: which version an engine receives, and when it loads it."""

import attrs

from carobstand.core import rendezvous

LOAD_MARGIN_S = 0.5
"""Safety margin between the latest start of a load and the end of the allowed time."""

LINK_SHARE = 0.95
"""Share of a link's bandwidth that received weights use."""


@attrs.frozen
class Progress:
    """Version that is being received: pieces held, and pieces in total."""

    version: int
    held: int
    pieces: int


def version_to_receive(named, progress, copy_s, allowed_s, now):
    """Return the version to receive next.

    The version in progress is completed if the newest one can still be received after
    it in time; otherwise it is abandoned for the newest one.

    Parameters
    ----------
    named : list of core.named_versions.SeenVersion
        Ordered by version, not empty.
    progress : Progress or None
    copy_s : float
        Time to receive a complete copy.
    allowed_s : float
        Time after a version is named during which requests may begin on older ones.
    now : float
    """
    newest = named[-1]
    if progress is None or progress.version >= newest.version:
        return newest.version
    remaining_s = copy_s * (1 - progress.held / progress.pieces)
    if now + remaining_s + copy_s + LOAD_MARGIN_S <= newest.seen_at + allowed_s:
        return progress.version
    return newest.version


def receive_s(copy_bytes, link_bytes_per_s):
    """Return the time to receive one copy over a link, 0 if its rate is unknown."""
    if not link_bytes_per_s:
        return 0.0
    return copy_bytes / (link_bytes_per_s * LINK_SHARE)


def earliest_load_at(server, servers, version, named, received_at, allowed_s):
    """Return the earliest time at which an engine may begin to load a version.

    The loads of a service's engines are spread over the time between the receipt of a
    copy and the end of the allowed time, in a hash order that all agents compute alike.
    All engines receive at about the same time, as their links are alike.

    Parameters
    ----------
    server : str
    servers : iterable of str
        All engines of the service, by a name that is the same at all agents.
    version : int
    named : core.named_versions.SeenVersion
    received_at : float
        Time at which this server's copy is complete.
    allowed_s : float
    """
    load_order = sorted(
        set(servers) | {server}, key=lambda s: rendezvous.score(str(version), s)
    )
    window_s = max(0.0, named.seen_at + allowed_s - LOAD_MARGIN_S - received_at)
    window_fraction = load_order.index(server) / len(load_order)
    return received_at + window_s * window_fraction
