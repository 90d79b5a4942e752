"""Asks other entries for operators' items that a restored store may have lost."""

import random

import anyio

from carobstand import errors, eventlog, unreadable_records
from carobstand.entry import change_relay, startup
from carobstand.platform import records

ASKED_ENTRIES = 3
"""Entries that are asked for what a restored store may have lost."""

ASK_TIMEOUT_S = 0.4
"""Timeout of such a question; the store's own items are used without a reply."""


async def ask_others(fleet, found):
    """Return what other entries hold of operators' items that the store may have lost.

    A store that has come back from a copy shows older items until they are written
    again, and a process that starts meanwhile knows nothing else.

    Parameters
    ----------
    fleet : entry.fleet.Fleet
    found : list of platform.kv.Changes
        The operators' items, registrations of servers, and items of entries as read.

    Returns
    -------
    told : list of entry.change_relay.Told
    """
    own = fleet.deployment
    others = startup.registered_entries(fleet, found[2].items)
    others.pop(own.vm, None)
    near = sorted(
        others.values(), key=lambda item: (item.region != own.region, random.random())
    )
    version = _newest_configuration_version(fleet, found[0].items)
    told = []

    async def ask(entry):
        try:
            with anyio.fail_after(ASK_TIMEOUT_S):
                told.extend(await change_relay.ask_for_newer(entry, version))
        except (errors.CarobstandError, TimeoutError) as exc:
            eventlog.event("entry.not_asked", entry=entry.vm, error=str(exc))

    async with anyio.create_task_group() as tg:
        for entry in near[:ASKED_ENTRIES]:
            tg.start_soon(ask, entry)
    return [
        answer for answer in told if answer.item.key.startswith(records.OPERATOR_PREFIX)
    ]


def _newest_configuration_version(fleet, items):
    """Return the version of the newest configuration held or read, 0 if none."""
    versions = [fleet.configuration.version if fleet.configuration else 0]
    for item in items:
        if item.key == records.CONFIGURATION_KEY:
            try:
                versions.append(records.decode_configuration(item.value).version)
            except errors.RecordError as exc:
                unreadable_records.log(fleet.unreadable, item.key, exc.message)
    return max(versions)
