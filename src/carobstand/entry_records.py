"""Registration records of entries in the store, read by other entries and agents."""

import json

import attrs

from carobstand import errors
from carobstand.core import weight_sources

PREFIX = "carobstand/entries/"
"""Prefix of the store keys of entries; the name of the VM follows."""


def key(vm):
    """Return the store key of the entry on `vm`."""
    return PREFIX + vm


def encode(entry):
    """Return the store value of a `core.weight_sources.Entry`."""
    return json.dumps(attrs.asdict(entry)).encode()


def decode(vm, raw):
    """Return the `Entry` in a store value; raise RecordError if it is malformed."""
    try:
        data = json.loads(raw)
        entry = weight_sources.Entry(
            vm=vm,
            address=data["address"],
            failure_domain=data["failure_domain"],
            region=data["region"],
            link_bytes_per_s=float(data.get("link_bytes_per_s", 0.0)),
        )
        host, _, port = entry.address.rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"address {entry.address!r}")
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise errors.RecordError(f"malformed entry: {exc}", step="entries") from exc
    return entry
