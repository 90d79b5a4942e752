"""The entry's own record in the store, under a lease that ends with the process."""

import anyio

from carobstand import entry_records, errors, eventlog
from carobstand.core import weight_sources
from carobstand.platform import kv

LEASE_S = 15.0
"""Time after which the record of an entry that ended without notice is removed."""

KEEP_S = 5.0
"""Interval between renewals of the lease; two may fail."""

RETRY_S = 0.5
"""Pause after a failed call."""


async def run(fleet):
    """Keep the entry registered until cancelled."""
    dep = fleet.deployment
    me = weight_sources.entry_from_deployment(dep)
    key, value = entry_records.key(dep.vm), entry_records.encode(me)
    lease = None
    while True:
        try:
            if lease is None:
                lease = await kv.grant(fleet.store, max(LEASE_S, dep.min_lease_s))
                await kv.put(fleet.store, key, value, lease=lease)
                eventlog.event("entry.registered", lease=lease)
            else:
                await kv.keep(fleet.store, lease)
            await anyio.sleep(KEEP_S)
        except errors.ConflictError:
            lease = None
        except errors.StoreError as exc:
            eventlog.event("registration.failed", error=str(exc))
            await anyio.sleep(RETRY_S)


async def withdraw(fleet):
    """Remove the record at a planned stop."""
    try:
        await kv.delete(fleet.store, entry_records.key(fleet.deployment.vm))
    except (errors.StoreError, errors.ConflictError) as exc:
        # The lease removes it a little later.
        eventlog.event("registration.not_removed", error=str(exc))
