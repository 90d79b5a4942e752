"""Copy of one version of a model's weights, verified piece by piece."""

import collections
import hashlib

import attrs

DIGEST_BYTES = 32
"""Size of a SHA-256 value."""

NO_REQUESTS = collections.Counter()
"""Requests of readers, if there are none: pieces are fetched in ascending order."""


@attrs.define(eq=False)
class WeightCopy:
    """Pieces of one version that are held in memory.

    Attributes
    ----------
    model : str
    version : int
    digests : tuple of bytes
        SHA-256 of each piece.
    piece_bytes : int
        Size of a piece; the last one may be shorter.
    pieces : dict of int to bytes
        Verified pieces by number, in order of arrival.
    """

    model: str
    version: int
    digests: tuple
    piece_bytes: int
    pieces: dict = attrs.field(factory=dict)


def add(copy, number, data):
    """Store a piece; return False and discard it if its digest does not match."""
    if not 0 <= number < len(copy.digests):
        return False
    if hashlib.sha256(data).digest() != copy.digests[number]:
        return False
    copy.pieces[number] = data
    return True


def is_complete(copy):
    """Return whether every piece is held."""
    return len(copy.pieces) == len(copy.digests)


def missing(copy):
    """Return the numbers of the pieces that are not held."""
    return [n for n in range(len(copy.digests)) if n not in copy.pieces]


def in_demand_order(copy, wanted, available=frozenset()):
    """Yield the number of each missing piece once, requested ones first.

    Then come those that the source holds, and then those behind the last one, as
    readers receive in ascending order. An entry that lost its cache thus fetches first
    what its readers lack.

    Parameters
    ----------
    copy : WeightCopy
        Pieces that are added meanwhile are left out.
    wanted : collections.Counter
        Number of readers that wait for each piece; may change meanwhile.
    available : frozenset of int
        Pieces that the source holds.
    """
    yielded, last = set(), -1
    while left := [n for n in missing(copy) if n not in yielded]:
        requested = [n for n, _ in wanted.most_common() if n in left]
        at_source = [n for n in left if n in available]
        following = [n for n in left if n > last]
        last = (requested or at_source or following or left)[0]
        yielded.add(last)
        yield last


def split_digests(raw):
    """Split concatenated SHA-256 digests; raise ValueError if the length is wrong."""
    if not raw or len(raw) % DIGEST_BYTES:
        raise ValueError("not a list of SHA-256 values")
    return tuple(
        raw[start : start + DIGEST_BYTES] for start in range(0, len(raw), DIGEST_BYTES)
    )
