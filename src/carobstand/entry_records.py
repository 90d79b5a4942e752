"""What entries say of themselves in the store, for other entries and for agents."""

import json

import attrs

from carobstand import errors
from carobstand.core import weight_sources

PREFIX = "carobstand/entries/"
"""Keys of entries, each followed by the name of the VM."""


def key(vm):
    """Return the key of an entry."""
    return PREFIX + vm


def encode(entry):
    """Return the store value of a `core.weight_sources.Entry`."""
    return json.dumps(attrs.asdict(entry)).encode()


def decode(vm, raw):
    """Return the `Entry` in a store value; raise RecordError."""
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
