"""Registration of this entry in the store, under a lease that it renews."""

import anyio

from carobstand import entry_records, errors, eventlog
from carobstand.core import weight_sources
from carobstand.platform import kv

LEASE_TTL_S = 15.0
"""Lease time to live; the record of an entry that crashed is removed after it."""

RENEW_INTERVAL_S = 5.0
"""Interval of lease renewals; two may fail before the lease expires."""

RETRY_S = 0.5
"""Pause after a failed store call."""


async def run(fleet):
    """Keep the entry registered until cancelled."""
    dep = fleet.deployment
    me = weight_sources.entry_from_deployment(dep)
    key, value = entry_records.key(dep.vm), entry_records.encode(me)
    store, lease, era = fleet.store, None, None
    while True:
        try:
            if lease is None:
                lease = await kv.grant_lease(store, max(LEASE_TTL_S, dep.min_lease_s))
                era = store.era
                await kv.put(store, key, value, lease=lease)
                eventlog.event("entry.registered", lease=lease)
            else:
                await kv.renew_lease(store, lease)
            if era == store.era:
                await store.era_changed.wait(RENEW_INTERVAL_S)
            if era != store.era:
                # The number of the lease may be another's now.
                lease = None
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
        # The record is then removed when its lease expires.
        eventlog.event("registration.not_removed", error=str(exc))
