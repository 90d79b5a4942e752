"""Which weights an engine is brought to, and when its turn to load comes."""

import attrs

from carobstand.core import ranks

MARGIN_S = 0.5
"""Time before the end of the allowed time in which the last engine begins to load."""

LINK_SHARE = 0.95
"""Share of a link that weights fill while they are received."""


@attrs.frozen
class Progress:
    """Weights that are being received: pieces held, and all of them."""

    version: int
    held: int
    pieces: int


def target(named, progress, copy_s, allowed_s, now):
    """Return the version to receive next.

    The version in progress is finished if the newest one can still be received after
    it within its time; otherwise the newest one takes its place at once.

    Parameters
    ----------
    named : list of core.named_versions.Named
        In the order of their versions, not empty.
    progress : Progress or None
    copy_s : float
        Time to receive a whole copy.
    allowed_s : float
        Time from the naming until no request may begin on older weights.
    now : float
    """
    newest = named[-1]
    if progress is None or progress.version >= newest.version:
        return newest.version
    left_s = copy_s * (1 - progress.held / progress.pieces)
    if now + left_s + copy_s + MARGIN_S <= newest.seen_at + allowed_s:
        return progress.version
    return newest.version


def receive_s(copy_bytes, link_bytes_per_s):
    """Return the time in which a VM's link carries one copy."""
    if not link_bytes_per_s:
        return 0.0
    return copy_bytes / (link_bytes_per_s * LINK_SHARE)


def turn(server, servers, version, named, arrives, allowed_s):
    """Return the time before which an engine does not begin to load.

    The engines of a service take turns over the time that is left between the receipt
    of a copy and the end of the allowed time, in an order that all compute alike. All
    receive at about the same time, as their links are alike.

    Parameters
    ----------
    server : str
    servers : iterable of str
        All engines of the service, by any name that all agents know.
    version : int
    named : core.named_versions.Named
    arrives : float
        Time at which this server's copy is complete.
    allowed_s : float
    """
    order = sorted(set(servers) | {server}, key=lambda s: ranks.score(str(version), s))
    window_s = max(0.0, named.seen_at + allowed_s - MARGIN_S - arrives)
    share = order.index(server) / len(order)
    return arrives + window_s * share
