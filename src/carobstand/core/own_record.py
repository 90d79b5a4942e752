"""The own record of a process in the store, as it was last seen there.

The answer to a write tells what the store held then, not what it holds now: the record
can be removed or replaced later by a call of an earlier process whose answer was lost.
So the record counts as written only while the last change known of its key is a write
of this process.
"""

import enum

import attrs


class Standing(enum.Enum):
    """What the store holds under the key of the record, as far as known."""

    UNKNOWN = "unknown"
    ABSENT = "absent"
    OTHER = "other"
    OWN = "own"


@attrs.define(eq=False)
class OwnRecord:
    """The record that this process wants in the store, and what is known of it.

    Attributes
    ----------
    key : str
    value : bytes
        Tells this process from earlier ones of the VM.
    lease : int or None
    era : int
        Era of the store in which lease and revision count.
    standing : Standing
    revision : int
        Store revision of the last known change of the key, 0 if none is known.
    missing_since : float or None
        Time at which it was first seen that a written record is gone.
    written_at : float or None
        Time at which the record was last seen to be written.
    may_be_written_late : bool
        Whether a write without an answer may still be executed.
    is_withdrawn : bool
        Whether the process is about to stop and wants no record any more.
    """

    key: str
    value: bytes
    lease: int | None = None
    era: int = 0
    standing: Standing = Standing.UNKNOWN
    revision: int = 0
    missing_since: float | None = None
    written_at: float | None = None
    may_be_written_late: bool = False
    is_withdrawn: bool = False


def begin_lease(own, lease, era, now):
    """Use a new lease; the record has to be written under it."""
    _enter_era(own, era, now)
    own.lease = lease
    if own.standing is Standing.OWN:
        _set_standing(own, Standing.OTHER, now)


def lose_lease(own):
    """Record that the lease has ended, with the keys under it."""
    own.lease = None


def expected_revision(own):
    """Return the revision on whose condition the record is written or removed.

    A write or removal that is executed late then changes nothing that a later process
    of this VM has written.
    """
    return own.revision if own.standing in (Standing.OWN, Standing.OTHER) else 0


def record_written(own, revision, now):
    """Record the answer to a write of the record."""
    if revision >= own.revision:
        own.revision = revision
        own.written_at = now
        _set_standing(own, Standing.OWN, now)


def observe(own, value, lease, revision, era, now):
    """Record what the store holds, or held, under the key.

    Parameters
    ----------
    own : OwnRecord
    value : bytes or None
        None if there is no such key.
    lease : int or None
        Lease of the key; None if the source does not tell it.
    revision : int
        Revision of the change, or of the read that found no key.
    era : int
    now : float

    Returns
    -------
    is_lost : bool
        Whether a record that was thought to be written is gone or replaced.
    """
    if era < own.era:
        return False
    was_written = own.standing is Standing.OWN
    _enter_era(own, era, now)
    if revision >= own.revision:
        own.revision = revision
        _set_standing(own, _standing(own, value, lease), now)
    return was_written and own.standing is not Standing.OWN


def _standing(own, value, lease):
    if value is None:
        return Standing.ABSENT
    if value != own.value or own.lease is None or lease not in (None, own.lease):
        return Standing.OTHER
    return Standing.OWN


def _enter_era(own, era, now):
    """Forget what was known before the store came back from a copy, leases too."""
    if era == own.era:
        return
    own.era, own.lease, own.revision = era, None, 0
    _set_standing(own, Standing.UNKNOWN, now)


def _set_standing(own, standing, now):
    if own.standing is Standing.OWN and standing is not Standing.OWN:
        own.missing_since = now
    own.standing = standing
