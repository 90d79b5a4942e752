"""Registration records of entries in the store, read by other entries and agents."""

import json
import uuid

import attrs

from carobstand import errors
from carobstand.core import own_record, weight_sources
from carobstand.platform import fields

PREFIX = "carobstand/entries/"
"""Prefix of the store keys of entries; the name of the VM follows."""


def key(vm):
    """Return the store key of the entry on `vm`."""
    return PREFIX + vm


def encode(entry, process=""):
    """Return the store value of a `core.weight_sources.Entry`.

    `process` identifies the process of its VM that writes it, so that it can tell its
    record from one of an earlier process with the same address.
    """
    record = attrs.asdict(entry)
    return json.dumps({**record, "process": process} if process else record).encode()


def own_record_of(dep):
    """Return the `core.own_record.OwnRecord` of a new process of a deployment."""
    me = weight_sources.entry_from_deployment(dep)
    return own_record.OwnRecord(key(dep.vm), encode(me, process=uuid.uuid4().hex))


def decode(vm, raw):
    """Return the `Entry` in a store value; raise RecordError if it is malformed."""
    if not fields.is_name(vm):
        raise errors.RecordError("the key names no VM", step="entries")
    record = fields.parse(raw, "entries")
    return weight_sources.Entry(
        vm=vm,
        address=record.address("address"),
        failure_domain=record.name("failure_domain", ""),
        region=record.name("region", ""),
        link_bytes_per_s=float(record.number("link_bytes_per_s", 0)),
    )
