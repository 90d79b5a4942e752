"""Latest accepted revision of a table, plan or assignment; revisions never decrease."""

import enum

import attrs

from carobstand import errors


class OfferResult(enum.Enum):
    """Result of offering a revision.

    FORKED means that the revision is the one held, but with other content.
    """

    ACCEPTED = "accepted"
    SAME = "same"
    STALE = "stale"
    FORKED = "forked"


@attrs.define
class LatestRevision:
    """The highest revision of one value that this process has accepted.

    Attributes
    ----------
    name : str
        Name of the value, for error messages.
    revision : int
    digest : str
        Digest of the content, or the content itself where that is short.
    content : object
    accepted_at : float
        When `revision` was accepted.
    stale, forked : int
        Number of offers refused because their revision was lower, or equal with other
        content.
    """

    name: str
    revision: int = 0
    digest: object = ""
    content: object = None
    accepted_at: float = 0.0
    stale: int = 0
    forked: int = 0


def classify(latest, revision, digest):
    """Return the `OfferResult` for an offered revision without accepting it."""
    if revision > latest.revision:
        return OfferResult.ACCEPTED
    if revision < latest.revision:
        return OfferResult.STALE
    return OfferResult.SAME if digest == latest.digest else OfferResult.FORKED


def offer(latest, revision, digest, content, now):
    """Accept `content` if its revision is higher than the one held.

    An offer with a lower revision, or the same one with other content, is counted and
    refused without an exception: one wrong answer of a store or peer must not stop the
    process.

    Returns
    -------
    result : OfferResult
    """
    result = classify(latest, revision, digest)
    if result is OfferResult.ACCEPTED:
        adopt(latest, revision, digest, content, now)
    elif result is OfferResult.STALE:
        latest.stale += 1
    elif result is OfferResult.FORKED:
        latest.forked += 1
    return result


def adopt(latest, revision, digest, content, now):
    """Replace the value held by `content`.

    Raises
    ------
    InvariantError
        If the revision would decrease, or stay the same with other content.
    """
    if revision < latest.revision:
        raise errors.InvariantError(
            f"{latest.name}: revision would fall from {latest.revision} to {revision}",
            step="revisions.adopt",
        )
    if revision == latest.revision and digest != latest.digest:
        raise errors.InvariantError(
            f"two different contents of {latest.name} revision {revision}",
            step="revisions.adopt",
        )
    latest.revision = revision
    latest.digest = digest
    latest.content = content
    latest.accepted_at = now
