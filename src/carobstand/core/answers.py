"""Reassembly of one attempt's answer at the entry.

When a connection is replaced, frames may be duplicated, overlap or leave a gap. Each
byte is delivered once and in order; the end of the answer is accepted only if its
length and SHA-256 digest match.
"""

import hashlib

import attrs

from carobstand import errors


@attrs.define(eq=False)
class Answer:
    """An answer that is being reassembled.

    `first` is the offset of the attempt's first byte, `end` the offset after the last
    byte received. `hasher` covers the bytes between them.
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
    """Add one frame and return its bytes that were not received before.

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
    new_data = data[answer.end - offset :]
    answer.duplicate_bytes += len(data) - len(new_data)
    if not new_data:
        return b""
    if answer.complete:
        raise errors.InvariantError(
            "bytes after a complete answer", step="answers.accept"
        )
    answer.hasher.update(new_data)
    answer.end += len(new_data)
    return new_data


def complete(answer, length, digest):
    """Verify length and digest at the end of the answer.

    Raises
    ------
    WireError
        If bytes are missing or the digest differs: the answer must not be used as a
        complete one.
    """
    if length != answer.end:
        raise errors.WireError(
            f"answer has {answer.end} bytes, its end says {length}",
            step="answers.complete",
        )
    if answer.hasher.hexdigest() != digest:
        raise errors.WireError("digest of the answer differs", step="answers.complete")
    answer.complete = True
