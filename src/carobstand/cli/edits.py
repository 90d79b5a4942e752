"""Changes to the table in the store, safe with concurrent edits and lost responses."""

import random

import anyio
import attrs

from carobstand import errors
from carobstand.core import table
from carobstand.platform import store as stores

TABLE_KEY = "config/table"

HISTORY_PREFIX = "history/"

ACCEPT_TIMEOUT_S = 20.0
"""Maximum time for retrying a change while the store fails or others write."""

RETRY_DELAY_S = 0.2
"""Initial retry delay, doubled up to `MAX_RETRY_DELAY_S`."""

MAX_RETRY_DELAY_S = 2.0


@attrs.frozen
class Author:
    """Author and id of a change to the table; `when` is seconds since the epoch."""

    who: str
    when: float
    change_id: str


async def read(store):
    """Return the store item of the table, None if absent, and the table.

    Raises
    ------
    TableError
        If the store holds a malformed table or one of a newer format.
    StoreError
    """
    item = await store.get(TABLE_KEY)
    if item is None:
        return None, table.EMPTY
    return item, table.from_json(item.value, TABLE_KEY)


async def read_revision(store, revision):
    """Return the table of an earlier or the current revision.

    Raises
    ------
    TableError
        If there is no such revision.
    StoreError
    """
    if revision == 0:
        return table.EMPTY
    _, current = await read(store)
    if current.revision == revision:
        return current
    item = await store.get(f"{HISTORY_PREFIX}{revision}")
    if item is None:
        raise errors.TableError(
            f"no revision {revision}; the newest is {current.revision}",
            step="table.read",
        )
    return table.from_json(item.value, item.key)


async def accept(store, base, rows, author, summary, rng=random):
    """Write `rows` as the next revision, merged with changes accepted since `base`.

    After a lost response, the change id tells whether the write took effect: it counts
    as failed only once the store returns a table of its revision or a later one without
    the change id.

    Parameters
    ----------
    store : platform.store.Store
    base : table.Table
        The table that was edited.
    rows : tuple
        The edited rows.
    author : Author
    summary : str
    rng : random.Random

    Returns
    -------
    revision : int
        The accepted revision.

    Raises
    ------
    ConflictError
        If others changed the same cells. Nothing was written.
    TableError
        If the rows, or the merged rows, are invalid. Nothing was written.
    StoreUnavailableError
        If the store did not respond in time; the message says whether the change may
        have been accepted.
    """
    table.check(rows)
    pending = set()
    peer = ""
    deadline = anyio.current_time() + ACCEPT_TIMEOUT_S
    delay_s = RETRY_DELAY_S
    while anyio.current_time() < deadline:
        try:
            accepted = await _try_accept(store, base, rows, author, summary, pending)
            if accepted is not None:
                return accepted
        except errors.StoreUnavailableError as exc:
            peer = exc.peer
        except (errors.TableError, errors.ConflictError):
            # While the result of a write is unknown, a malformed or stale response must
            # not be reported as its rejection.
            if not pending:
                raise
        await anyio.sleep(rng.uniform(delay_s / 2, delay_s))
        delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
    if pending:
        raise errors.StoreUnavailableError(
            f"change {author.change_id} may have been accepted as revision "
            f"{', '.join(map(str, sorted(pending)))}: the store does not "
            "respond; check the history for the change id before retrying",
            step="table.accept",
            peer=peer,
        )
    raise errors.StoreUnavailableError(
        f"change {author.change_id} was not accepted: the store does not respond",
        step="table.accept",
        peer=peer,
    )


async def _try_accept(store, base, rows, author, summary, pending):
    """Try to write once; return the accepted revision, or None if it must be retried.

    `pending` holds the revisions of writes whose response was lost.
    """
    item, current = await read(store)
    for revision in sorted(pending):
        if current.revision >= revision:
            if await _has_change(store, current, revision, author.change_id):
                return revision
            pending.discard(revision)
    if pending and current.revision < max(pending) - 1:
        # Merging with a stale table could report a false conflict.
        return None
    merged = rows
    if current.revision != base.revision:
        merged = table.merge(base, current, rows)
    new = table.next_revision(
        current, merged, author.change_id, author.who, author.when, summary
    )
    content = table.to_json(new)
    if item is not None:
        await _write_history(store, current.revision, item.value)
    was_pending = new.revision in pending
    try:
        pending.add(new.revision)
        expect = stores.ABSENT if item is None else item.revision
        await store.put(TABLE_KEY, content, expect=expect)
    except errors.ConflictError:
        # The revision was written by another writer or an earlier try.
        if not was_pending:
            pending.discard(new.revision)
        return None
    return new.revision


async def _has_change(store, current, revision, change_id):
    """Return whether the accepted table of `revision` is this change."""
    for record in current.history:
        if record.revision == revision:
            return record.change_id == change_id
    return (await read_revision(store, revision)).change_id == change_id


async def _write_history(store, revision, content):
    """Store the table that is about to be replaced in the history."""
    try:
        await store.put(f"{HISTORY_PREFIX}{revision}", content, expect=stores.ABSENT)
    except errors.ConflictError:
        # Another writer or an earlier try wrote the same content.
        return
