"""Records of convicted prompt parts in the store, which entries write and read."""

import json

import attrs

from carobstand import errors
from carobstand.core import part_ids, part_state
from carobstand.platform import fields

PREFIX = "carobstand/parts/"
"""Prefix of the store keys; the hexadecimal identifier of the part follows."""


@attrs.frozen
class PartRecord:
    """What a record tells of a part.

    Attributes
    ----------
    is_proven : bool
    crashes : int
        Number of known crashes of servers under requests with it.
    late_trials : int
    """

    is_proven: bool = True
    crashes: int = 0
    late_trials: int = 0


def key(part):
    """Return the store key of a part, given its identifier."""
    return PREFIX + part.hex()


def encode(conviction):
    """Return the store value of a `core.part_state.Conviction`."""
    record = PartRecord(
        conviction.is_proven,
        part_state.crash_count(conviction),
        conviction.late_trials,
    )
    return json.dumps(attrs.asdict(record)).encode()


def decode(raw):
    """Return the `PartRecord` in a store value.

    Earlier versions wrote an empty record, once a conviction was proven.
    """
    record = fields.parse(raw, "parts")
    return PartRecord(
        is_proven=record.flag("is_proven", True),
        crashes=record.integer("crashes", 0),
        late_trials=record.integer("late_trials", 0),
    )


def part_of(store_key):
    """Return the identifier in a store key; raise RecordError if it has none."""
    try:
        part = bytes.fromhex(store_key.removeprefix(PREFIX))
    except ValueError as exc:
        raise errors.RecordError(f"malformed key: {exc}", step="parts") from exc
    # Blanks and capital letters are decoded too, but the record would not be found.
    if len(part) != part_ids.ID_BYTES or key(part) != store_key:
        raise errors.RecordError("the key names no part", step="parts")
    return part
