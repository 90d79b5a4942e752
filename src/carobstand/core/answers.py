"""Assembly of one attempt's answer on the entry's side.

Frames may arrive again, overlap or leave a gap when a connection is replaced. Bytes
are delivered once each and in order; the end is accepted only when length and SHA-256
match.
"""

import hashlib

import attrs

from carobstand import errors


@attrs.define(eq=False)
class Answer:
    """An answer in assembly.

    `first` is the offset at which the attempt starts, `end` the offset after the last
    byte received.
    """

    first: int = 0
    end: int = 0
    status: int | None = None
    headers: tuple = ()
    complete: bool = False
    hasher: object = attrs.field(factory=hashlib.sha256)
    duplicate_bytes: int = 0


def begin(offset):
    """Return an empty answer whose first byte is at `offset`."""
    return Answer(first=offset, end=offset)


def has_gap(answer, offset):
    """Whether bytes before a frame at `offset` are missing."""
    return offset > answer.end


def accept(answer, offset, data, status=None, headers=None):
    """Take one frame without a gap and return the bytes that are new.

    Raises
    ------
    InvariantError
        If the answer is already complete and the frame would extend it.
    WireError
        If the frame leaves a gap.
    """
    if has_gap(answer, offset):
        raise errors.WireError(
            f"answer bytes {answer.end} to {offset} are missing", step="answers.accept"
        )
    if status is not None and answer.status is None:
        answer.status = status
        answer.headers = headers or ()
    fresh = data[answer.end - offset :]
    answer.duplicate_bytes += len(data) - len(fresh)
    if not fresh:
        return b""
    if answer.complete:
        raise errors.InvariantError(
            "bytes after a complete answer", step="answers.accept"
        )
    answer.hasher.update(fresh)
    answer.end += len(fresh)
    return fresh


def complete(answer, length, digest):
    """Check the end of the answer.

    Raises
    ------
    WireError
        If bytes are missing or the digest differs: the answer must not be used as a
        whole one.
    """
    if length != answer.end:
        raise errors.WireError(
            f"answer has {answer.end} bytes, its end says {length}",
            step="answers.complete",
        )
    if answer.hasher.hexdigest() != digest:
        raise errors.WireError("digest of the answer differs", step="answers.complete")
    answer.complete = True
