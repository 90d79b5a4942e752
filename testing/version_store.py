"""Stand-in for the store's client in virtual time; responses are late or lost."""

import asyncio
import math

import anyio
import attrs

from carobstand import errors
from carobstand.entry import fleet as fleets
from carobstand.platform import kv, records
from testing import platform_builders as build
from testing import virtual_time, weight_builders

WAY_S = 0.002
"""Time of a message on its way."""

RETRANSMIT_S = 0.2
"""Time until the kernel first sends a lost message again; it doubles each time."""

CHECK_S = 0.05
"""Interval of checks."""

MODEL = "m"
REGIONS = {"a": "north", "b": "south", "c": "west"}


@attrs.define(eq=False)
class Store:
    """Named versions, and what happens to calls.

    Attributes
    ----------
    named_at : list of float
        Times at which versions 2, 3, .. are acknowledged, ascending.
    cuts : list of (float, float)
        Times at which messages of this client are lost.
    repeats : bool
        Whether lost messages are sent again. A connection on which the store lost a
        response returns nothing further.
    late : list of (float, float, float)
        Responses generated between the first two times arrive later by the third.
    """

    named_at: list
    cuts: list = attrs.field(factory=list)
    late: list = attrs.field(factory=list)
    repeats: bool = True


def item(version):
    """Return the item that names a version; revision 1 is the state before them."""
    raw = build.encode_record({"model": MODEL, "version": version})
    return kv.Item(f"{records.VERSION_PREFIX}{MODEL}", raw, revision=version)


def arrival(store, sent_at):
    """Return when a message arrives that is sent again until no cut loses it."""
    at, pause_s = sent_at, RETRANSMIT_S
    while any(start <= at < end for start, end in store.cuts):
        if not store.repeats:
            return math.inf
        at += pause_s
        pause_s *= 2
    return at + WAY_S


def changes_after(store, revision, now):
    """Return revision and items that the store tells at `now` after a revision."""
    newest = 1 + sum(at <= now for at in store.named_at)
    return newest, tuple(item(number) for number in range(revision + 1, newest + 1))


def install(monkeypatch, store):
    """Replace the calls of the store's client by those of the stand-in."""

    async def respond(ready_at, timeout_at):
        late = [late_s for start, end, late_s in store.late if start <= ready_at < end]
        arrives_at = arrival(store, ready_at) + sum(late)
        await anyio.sleep_until(min(arrives_at, timeout_at))
        if arrives_at > timeout_at:
            raise errors.StoreUnavailableError("no response", step="store.call")

    async def watch(_, prefix, after, wait_s):
        sent_at = anyio.current_time()
        reached_at = arrival(store, sent_at)
        timeout_at = sent_at + wait_s + kv.WATCH_SLACK_S
        if reached_at > timeout_at:
            await respond(reached_at, timeout_at)
        made_at = [at for at in store.named_at[after - 1 :] if at < reached_at + wait_s]
        ready_at = max(reached_at, made_at[0]) if made_at else reached_at + wait_s
        await respond(ready_at, timeout_at)
        revision, items = changes_after(store, after, ready_at)
        return kv.Changes(revision, items, anyio.current_time())

    async def list_prefix(_, prefix, **options):
        sent_at = anyio.current_time()
        ready_at = arrival(store, sent_at)
        await respond(ready_at, sent_at + kv.CALL_TIMEOUT_S)
        revision, items = changes_after(store, 0, ready_at)
        is_listed = records.VERSION_PREFIX.startswith(prefix)
        found = items[1:][-1:] if is_listed else ()
        return kv.Changes(revision, found, anyio.current_time())

    monkeypatch.setattr(kv, "watch", watch)
    monkeypatch.setattr(kv, "list_prefix", list_prefix)


async def _pause(at, pause_s):
    """Let the event loop stand still: time passes, and no task runs."""
    await anyio.sleep_until(at)
    asyncio.get_running_loop().now += pause_s


def observe(monkeypatch, store, until, check=lambda fleet: None, pauses=(), tasks=()):
    """Follow the store in virtual time; return the `Fleet` of the entry.

    Parameters
    ----------
    monkeypatch : pytest.MonkeyPatch
    store : Store
    until : float
    check : callable of (entry.fleet.Fleet)
        Called every `CHECK_S`.
    pauses : iterable of (float, float)
        Time and length of pauses of the event loop.
    tasks : iterable of async callables of (entry.fleet.Fleet)
    """
    install(monkeypatch, store)

    async def run():
        dep = build.deployment_of("e1", "10.0.0.1", regions=REGIONS)
        fleet = fleets.Fleet(dep, None, revision=1)
        fleet.configuration = weight_builders.configuration()
        async with anyio.create_task_group() as tg:
            tg.start_soon(fleets.observe, fleet)
            for task in tasks:
                tg.start_soon(task, fleet)
            for at, pause_s in pauses:
                tg.start_soon(_pause, at, pause_s)
            while anyio.current_time() < until:
                await anyio.sleep(CHECK_S)
                check(fleet)
            tg.cancel_scope.cancel()
        return fleet

    return virtual_time.run(run)
