"""Registration of this entry in the store, under a lease that it renews.

The record is compared with what the store holds at each change that the watch or
another entry brings, at each full read and at each conflict, and is written again if it
is gone or not that of this process.
"""

import anyio

from carobstand import errors, eventlog, metrics, signals
from carobstand.core import own_record
from carobstand.platform import kv

LEASE_TTL_S = 15.0
"""Lease time to live; the record of an entry that crashed is removed after it."""

RENEW_INTERVAL_S = 5.0
"""Interval of lease renewals; two may fail before the lease expires."""

RETRY_S = 0.5
"""Pause after a failed store call, and shortest time between two writes of the record,
as two processes that run under the name of one VM replace each other's without end."""


async def run(fleet):
    """Keep the entry registered until its record is withdrawn."""
    own, renew_at = fleet.own_record, 0.0
    while not own.is_withdrawn:
        try:
            renew_at = await _keep_lease(fleet, renew_at)
            if own.standing is not own_record.Standing.OWN:
                await _write(fleet)
        except errors.LeaseEndedError:
            own_record.lose_lease(own)
        except errors.StoreError as exc:
            eventlog.event("registration.failed", error=str(exc))
            await anyio.sleep(RETRY_S)
        if _is_registered(fleet):
            pause_s = renew_at - anyio.current_time()
            await signals.wait_any(
                [fleet.own_record_changed, fleet.store.era_changed], max(0.0, pause_s)
            )
    await _remove(fleet)


def _is_registered(fleet):
    own = fleet.own_record
    is_written = own.standing is own_record.Standing.OWN
    return is_written and own.era == fleet.store.era and not own.is_withdrawn


async def _keep_lease(fleet, renew_at):
    """Grant or renew the lease if that is due; return when it is due next."""
    own, store, now = fleet.own_record, fleet.store, anyio.current_time()
    if own.lease is None or own.era != store.era:
        ttl_s = max(LEASE_TTL_S, fleet.deployment.min_lease_s)
        lease = await kv.grant_lease(store, ttl_s)
        own_record.begin_lease(own, lease, store.era, anyio.current_time())
        return now + RENEW_INTERVAL_S
    if now < renew_at:
        return renew_at
    await kv.renew_lease(store, own.lease)
    return now + RENEW_INTERVAL_S


async def _write(fleet):
    """Write the record, unless another change of its key comes first."""
    own, store = fleet.own_record, fleet.store
    if own.written_at is not None:
        await anyio.sleep_until(own.written_at + RETRY_S)
    lease, expected = own.lease, own_record.expected_revision(own)
    if own.is_withdrawn or lease is None:
        return
    try:
        revision = await kv.put(store, own.key, own.value, expect=expected, lease=lease)
    except errors.RevisionError as exc:
        _observe_conflict(fleet, exc)
    except errors.StoreError:
        own.may_be_written_late = True
        raise
    else:
        own_record.record_written(own, revision, anyio.current_time())
    if own.standing is own_record.Standing.OWN:
        _log_registered(fleet)


def _log_registered(fleet):
    own = fleet.own_record
    missing_s = None
    if own.missing_since is not None:
        missing_s = round(anyio.current_time() - own.missing_since, 3)
    own.missing_since = None
    metrics.gauge(fleet.metrics, "entry_registered", 1)
    eventlog.event("entry.registered", lease=own.lease, missing_s=missing_s)


def _observe_conflict(fleet, exc):
    """Record what the store held under the key when it rejected a condition."""
    own = fleet.own_record
    found = next((item for item in exc.items if item.key == own.key), None)
    if found is None or found.value is None:
        # The answer does not tell the revision at which the key was removed.
        own_record.observe(own, None, None, own.revision, own.era, anyio.current_time())
    else:
        observe(fleet, found, own.era)


def observe(fleet, item, era):
    """Compare the own record with what the store holds under its key.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    item : platform.kv.Item
        Its `value` is None if the store has no such key, as of its `revision`.
    era : int
    """
    own = fleet.own_record
    lease = item.lease or None
    now = anyio.current_time()
    if not own_record.observe(own, item.value, lease, item.revision, era, now):
        return
    if not own.is_withdrawn:
        metrics.gauge(fleet.metrics, "entry_registered", 0)
        metrics.count(fleet.metrics, "entry_records_lost", reason=own.standing.value)
        eventlog.event(
            "entry.unregistered", reason=own.standing.value, revision=item.revision
        )
    fleet.own_record_changed.notify()


def observe_all(fleet, items, revision, era):
    """Compare the own record with a full read of the entries' records."""
    key = fleet.own_record.key
    found = next((item for item in items if item.key == key), None)
    observe(fleet, found or kv.Item(key, None, revision), era)


def withdraw(fleet):
    """Have `run` remove the record, at a planned stop, and end."""
    fleet.own_record.is_withdrawn = True
    fleet.own_record_changed.notify()


async def _remove(fleet):
    """Remove the record of this process, and no record of another one.

    The lease is ended where a write may still be executed late: it then fails.
    """
    own, store = fleet.own_record, fleet.store
    while True:
        try:
            if own.standing is own_record.Standing.OWN:
                await kv.delete(store, own.key, expect=own.revision)
                own.standing = own_record.Standing.ABSENT
            if own.may_be_written_late and own.lease is not None:
                await kv.revoke_lease(store, own.lease)
            return
        except errors.RevisionError as exc:
            _observe_conflict(fleet, exc)
        except errors.StoreError as exc:
            # If the process ends before, the record is removed when its lease expires.
            eventlog.event("registration.not_removed", error=str(exc))
            await anyio.sleep(RETRY_S)
