"""Records of convicted prompt parts in the store, which entries write and read."""

from carobstand import errors
from carobstand.core import poison_parts

PREFIX = "carobstand/parts/"
"""Prefix of the store keys; the hexadecimal identifier of the part follows."""


def key(part):
    """Return the store key of a part, given its identifier."""
    return PREFIX + part.hex()


def part_of(store_key):
    """Return the identifier in a store key; raise RecordError if it has none."""
    try:
        part = bytes.fromhex(store_key.removeprefix(PREFIX))
    except ValueError as exc:
        raise errors.RecordError(f"malformed key: {exc}", step="parts") from exc
    # Blanks and capital letters are decoded too, but the record would not be found.
    if len(part) != poison_parts.ID_BYTES or key(part) != store_key:
        raise errors.RecordError("the key names no part", step="parts")
    return part
