"""Watches the table and the plans in the store, and applies changes."""

import anyio

from carobstand import errors, logs
from carobstand.core import planner, table
from carobstand.entry import control_state

PREFIX = "config/"

WAIT_S = 3.0
"""Mean wait of a watch call. A watch that fails silently delays a change by at most
3.6 s, the timeout of 2 s and a delay of 1 s, which leaves 2 s of the 9 s for delivery
to the agents. 370 entries make about 125 such calls/s of the store's 2,000."""

MIN_INTERVAL_S = 0.25
"""Minimum mean interval of watch calls. 370 entries make at most 1,500 calls/s of the
2,000 while changes follow each other closely, or while a lagging store replica responds
to each watch at once."""

BACKOFF_S = 0.5
"""Initial retry delay, doubled after each failed call up to `MAX_BACKOFF_S`."""

MAX_BACKOFF_S = 4.0
"""Maximum retry delay. 370 entries make 185 calls/s during an outage, and a change that
the store accepts as it recovers is read within 9 s."""


async def watch(control):
    """List ``config/``, then follow it until cancelled."""
    after = None
    failures = 0
    while True:
        start = anyio.current_time()
        try:
            if after is None:
                changes = await control.state.store.list(PREFIX)
            else:
                # After a failure, a call without wait returns the missed changes, also
                # where the platform drops calls that wait.
                wait_s = 0 if failures else control_state.jitter(control, WAIT_S)
                changes = await control.state.store.watch(PREFIX, after, wait_s)
        except errors.CarobstandError as exc:
            failures += 1
            _set_store_up(control, False, exc)
            await anyio.sleep(backoff(control, failures))
            continue
        failures = 0
        _set_store_up(control, True)
        for item in changes.items:
            apply_item(control, item)
        # A stale read has a lower revision; continue after the newest one seen.
        after = max(after or 0, changes.revision)
        await anyio.sleep_until(start + control_state.jitter(control, MIN_INTERVAL_S))


def backoff(control, failures):
    """Return a random retry delay in seconds after consecutive failures."""
    longest = min(MAX_BACKOFF_S, BACKOFF_S * 2 ** min(failures, 10))
    return control.rng.uniform(longest / 4, longest)


def _set_store_up(control, up, exc=None):
    state = control.state
    if state.store_up != up:
        detail = {}
        if exc is not None:
            detail = {"error": exc.message, "step": exc.step, "peer": exc.peer}
        logs.event("store.up" if up else "store.down", **detail)
        state.store_up = up
        state.changed.notify()


def apply_item(control, item):
    """Apply one key of ``config/`` as the store returned it.

    Content that is malformed or of a newer format is rejected as a whole, and the
    current table or plan stays in force.
    """
    if item.value is None:
        logs.event("store.key_deleted", key=item.key)
        control.store_revisions.pop(item.key, None)
        return
    if item.revision < control.store_revisions.get(item.key, 0):
        return
    control.store_revisions[item.key] = item.revision
    try:
        if item.key == control_state.TABLE_KEY:
            new = table.from_json(item.value, item.key, control.table.content)
            control_state.apply_table(control, new, "store")
            control.refused = ""
        elif item.key.startswith(control_state.PLAN_PREFIX):
            plan = planner.from_json(item.value, item.key)
            if item.key != control_state.PLAN_PREFIX + plan.service:
                raise errors.TableError("plan of another service", step="plan.read")
            control_state.apply_plan(control, plan, item.value, "store")
    except errors.TableError as exc:
        control.refused = exc.message
        logs.event(
            "store.content_refused",
            key=item.key,
            error=exc.message,
            step=exc.step,
            peer=exc.peer,
        )
