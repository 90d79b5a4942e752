"""Which table, plans and assignments a process holds; revisions never fall."""

import enum

import attrs

from carobstand import errors


class Verdict(enum.Enum):
    """What became of an offered revision."""

    ACCEPTED = "accepted"
    SAME = "same"
    STALE = "stale"
    FORKED = "forked"


@attrs.define
class Holder:
    """The highest revision of one value that this process has accepted.

    Attributes
    ----------
    name : str
        What is held, for errors.
    revision : int
    digest : str
        Digest of the content, or the content itself where that is short.
    content : object
    accepted_at : float
        When `revision` was accepted.
    stale, forked : int
        Offers refused because they were lower, or equal with other content.
    """

    name: str
    revision: int = 0
    digest: object = ""
    content: object = None
    accepted_at: float = 0.0
    stale: int = 0
    forked: int = 0


def judge(holder, revision, digest):
    """Return the `Verdict` on an offered revision without taking it."""
    if revision > holder.revision:
        return Verdict.ACCEPTED
    if revision < holder.revision:
        return Verdict.STALE
    return Verdict.SAME if digest == holder.digest else Verdict.FORKED


def offer(holder, revision, digest, content, now):
    """Take `content` if its revision is higher than the one held.

    An offer from outside that is lower, or equal with other content, is counted and
    refused: one wrong answer of a store or peer must not stop the process.

    Returns
    -------
    verdict : Verdict
    """
    verdict = judge(holder, revision, digest)
    if verdict is Verdict.ACCEPTED:
        adopt(holder, revision, digest, content, now)
    elif verdict is Verdict.STALE:
        holder.stale += 1
    elif verdict is Verdict.FORKED:
        holder.forked += 1
    return verdict


def adopt(holder, revision, digest, content, now):
    """Hold `content`.

    Raises
    ------
    InvariantError
        If the revision would fall, or stay the same with other content.
    """
    if revision < holder.revision:
        raise errors.InvariantError(
            f"{holder.name} would fall from revision {holder.revision} to {revision}",
            step="revisions.adopt",
        )
    if revision == holder.revision and digest != holder.digest:
        raise errors.InvariantError(
            f"two contents of {holder.name} revision {revision}",
            step="revisions.adopt",
        )
    holder.revision = revision
    holder.digest = digest
    holder.content = content
    holder.accepted_at = now
