"""Ways in which the record of an entry in the store is lost or never written."""

import math

import anyio

from carobstand import entry_records
from carobstand.standin.platform import kv
from testing import platform_fleet

AWAY_S = 1.0
"""Time for which the store is silent."""


def key_of(vm="entry-1"):
    """Return the store key of an entry."""
    return entry_records.key(vm)


def is_registered(fleet, vm="entry-1"):
    """Whether the store holds a record of an entry under a lease that lives."""
    item = fleet.store.items.get(key_of(vm))
    return item is not None and item.lease in fleet.store.leases


async def remove_once(fleet):
    kv.remove(fleet.store, key_of())


async def remove_twice(fleet):
    for _ in range(2):
        kv.remove(fleet.store, key_of())
        await anyio.sleep(0.3)


async def remove_of_all(fleet):
    for vm in fleet.entries:
        kv.remove(fleet.store, key_of(vm))


async def remove_without_history(fleet):
    """Remove the record so that no watch returns the change."""
    kv.remove(fleet.store, key_of())
    kv.compact(fleet.store)


async def remove_while_silent(fleet):
    fleet.store.mode = "silent"
    kv.remove(fleet.store, key_of())
    await anyio.sleep(AWAY_S)
    fleet.store.mode = "up"


async def replace_by_earlier_process(fleet):
    """Write the record of an earlier process, whose lease ends a little later."""
    lease = fleet.store.next_lease
    fleet.store.next_lease += 1
    fleet.store.leases[lease] = (0.5, anyio.current_time() + 0.5)
    value = fleet.store.items[key_of()].value
    kv.write(fleet.store, key_of(), value, lease)
    await anyio.sleep(0.6)
    kv.expire(fleet.store, anyio.current_time())


async def _register_with(fleet, fault):
    """Restart the entry; the first write of its record has a fault."""
    await platform_fleet.stop(fleet, "entry-1")
    kv.remove(fleet.store, key_of())
    fleet.store.txn_faults.append(fault)
    await platform_fleet.add_entry(fleet, "entry-1", ready=False)
    await platform_fleet.until(lambda: not fleet.store.txn_faults)


async def reject_as_unavailable(fleet):
    await _register_with(fleet, kv.Reject(503))


async def reject_as_too_many(fleet):
    await _register_with(fleet, kv.Reject(429))


async def lose_first_write(fleet):
    await _register_with(fleet, kv.Delay(math.inf))


WAYS = [
    remove_once,
    remove_twice,
    remove_of_all,
    remove_without_history,
    remove_while_silent,
    replace_by_earlier_process,
    reject_as_unavailable,
    reject_as_too_many,
    lose_first_write,
]
