"""Attempts at the agent: identity, replay, revocation and the lowest open id.

An attempt is identified by the start id of its entry and its number within that
start. Answer bytes are held until they are acknowledged, so that the answer can be
replayed from any unacknowledged offset. The floor of an entry start is its lowest open
attempt id; attempts below it are discarded and refused.
"""

import enum
import hashlib

import attrs

from carobstand import errors

WINDOW_BYTES = 256 * 1024
"""Unacknowledged answer bytes at which the agent stops reading the answer."""

MAX_KEPT_BYTES = 512 * 1024
"""Largest answer of a non-idempotent call that is kept complete for repeated calls.

Its base64 encoding fits into a store value of 1 MB.
"""

FRAME_BYTES = 64 * 1024
"""Maximum data of one frame; a batch of frames stays far below the message limit."""

MAX_REVOKED = 1024
"""Revoked ids held per entry start; when there are more, the floor is raised."""

ANSWER_RETENTION_S = 900.0
"""Time for which answers are held after their entry has disconnected.

Until then, repeated calls through other entries get the response from the agent.
"""

ENTRY_IDLE_S = 24 * 3600.0
"""Time after which the state of a disconnected entry start is dropped; equals the
lifetime of a claim."""


class Phase(enum.Enum):
    """Phase of an attempt at an agent."""

    NOT_SEEN = 1
    RUNNING = 2
    FINISHED = 3
    REFUSED = 4


class Outcome(enum.Enum):
    """Result of an attempt."""

    DONE = 1
    NOT_RUN = 2
    UNKNOWN = 3


@attrs.frozen
class Final:
    """End of an answer.

    `length` counts from offset 0; `digest` covers the bytes from the attempt's first
    offset.
    """

    outcome: Outcome
    reason: str = ""
    length: int = 0
    digest: str = ""
    backend_died: bool = False
    backend_starts: int = 0
    backend_up: bool = False
    retry_after_ms: int = 0


@attrs.frozen
class Frame:
    """Part of an answer; `status` and `headers` are in the first frame only."""

    offset: int
    data: bytes
    status: int | None = None
    headers: tuple | None = None
    final: Final | None = None


@attrs.define(eq=False)
class Attempt:
    """One attempt that this agent accepted.

    `first` is the offset of its first answer byte, `keep` says whether acknowledged
    bytes are kept too. `buffer` holds the answer from offset `base`; `sent` and `acked`
    are offsets.
    """

    entry_start_id: str
    attempt_id: int
    first: int
    keep: bool
    base: int
    sent: int
    acked: int
    phase: Phase = Phase.RUNNING
    buffer: bytearray = attrs.field(factory=bytearray)
    hasher: object = attrs.field(factory=hashlib.sha256)
    status: int | None = None
    headers: tuple = ()
    final: Final | None = None
    head_sent: bool = False
    final_sent: bool = False

    @property
    def end(self):
        """Offset after the last byte received."""
        return self.base + len(self.buffer)


@attrs.define(eq=False)
class EntryAttempts:
    """Attempts of one entry start; ids below `floor` are refused.

    `last_seen_at` is the time of its last message or connection.
    """

    floor: int = 0
    open: dict = attrs.field(factory=dict)
    revoked: set = attrs.field(factory=set)
    last_seen_at: float = 0.0


@attrs.define(eq=False)
class Attempts:
    """All attempts of one agent start."""

    start_id: str
    entries: dict = attrs.field(factory=dict)
    accepted: int = 0


def _entry(state, entry_start_id, now):
    entry = state.entries.get(entry_start_id)
    if entry is None:
        entry = state.entries[entry_start_id] = EntryAttempts()
    entry.last_seen_at = now
    return entry


def refusal_reason(state, entry_start_id, agent_start_id, attempt_id, now):
    """Return why a new attempt is refused, or an empty string.

    An attempt with the id of an accepted one is a duplicate and is refused too.
    """
    if agent_start_id != state.start_id:
        return "addressed to another start of this agent"
    entry = _entry(state, entry_start_id, now)
    if attempt_id in entry.open:
        return "copy of an accepted attempt"
    if attempt_id in entry.revoked:
        return "revoked"
    if attempt_id < entry.floor:
        return "below the lowest open attempt"
    return ""


def accept(state, entry_start_id, agent_start_id, attempt_id, keep, offset, now):
    """Register a new attempt that is about to run.

    Parameters
    ----------
    state : Attempts
    entry_start_id, agent_start_id : str
    attempt_id : int
    keep : bool
        Whether the complete answer is kept for repeated calls.
    offset : int
        Offset of the first answer byte that the entry requests.
    now : float

    Returns
    -------
    attempt : Attempt

    Raises
    ------
    InvariantError
        If the attempt has to be refused.
    """
    reason = refusal_reason(state, entry_start_id, agent_start_id, attempt_id, now)
    if reason:
        raise errors.InvariantError(
            f"attempt {attempt_id} would run although it is refused: {reason}",
            step="attempts.accept",
        )
    attempt = Attempt(entry_start_id, attempt_id, offset, keep, offset, offset, offset)
    state.entries[entry_start_id].open[attempt_id] = attempt
    state.accepted += 1
    return attempt


def revoke_unseen(state, entry_start_id, attempt_id, now):
    """Revoke an attempt that has not run, so that it is never accepted."""
    entry = _entry(state, entry_start_id, now)
    if attempt_id in entry.open:
        raise errors.InvariantError(
            f"attempt {attempt_id} was accepted and cannot be refused",
            step="attempts.refuse",
        )
    if attempt_id < entry.floor:
        return
    entry.revoked.add(attempt_id)
    if len(entry.revoked) > MAX_REVOKED:
        entry.floor = max(entry.floor, sorted(entry.revoked)[MAX_REVOKED // 2] + 1)
        entry.revoked = {num for num in entry.revoked if num >= entry.floor}


def find(state, entry_start_id, attempt_id):
    """Return the accepted attempt, or None."""
    entry = state.entries.get(entry_start_id)
    return entry.open.get(attempt_id) if entry else None


def revoke(state, entry_start_id, attempt_id, now):
    """Return the phase of an attempt; one that has not arrived is revoked.

    An attempt below the floor may have run: it counts as finished without an answer.
    """
    entry = _entry(state, entry_start_id, now)
    attempt = entry.open.get(attempt_id)
    if attempt is not None:
        ran = attempt.final is None or attempt.final.outcome is not Outcome.NOT_RUN
        return attempt.phase if ran else Phase.REFUSED
    if attempt_id in entry.revoked:
        return Phase.REFUSED
    if attempt_id < entry.floor:
        return Phase.FINISHED
    revoke_unseen(state, entry_start_id, attempt_id, now)
    return Phase.NOT_SEEN


def start_answer(attempt, status, headers):
    """Record the status and headers of the answer."""
    attempt.status = status
    attempt.headers = headers


def append(attempt, data):
    """Add answer bytes from the backend server."""
    if attempt.final is not None:
        raise errors.InvariantError(
            "answer bytes after the end of the answer", step="attempts.append"
        )
    attempt.buffer += data
    attempt.hasher.update(data)
    if attempt.keep and attempt.end > MAX_KEPT_BYTES:
        attempt.keep = False
        _trim(attempt)


def finish(attempt, outcome, reason="", **fields):
    """Record the end of the answer.

    Raises
    ------
    InvariantError
        If an attempt with a status or answer bytes would be reported as not run.
    """
    if outcome is Outcome.NOT_RUN and (attempt.status or attempt.end > attempt.first):
        raise errors.InvariantError(
            "an attempt with an answer cannot end as not run", step="attempts.finish"
        )
    attempt.phase = Phase.FINISHED
    attempt.final = Final(
        outcome, reason, attempt.end, attempt.hasher.hexdigest(), **fields
    )


def is_window_full(attempt):
    """Whether the agent must wait for an acknowledgement before it reads on."""
    return attempt.end - attempt.acked >= WINDOW_BYTES


def take_frames(attempt, limit_bytes):
    """Return the next frames to send; the last one may exceed `limit_bytes`."""
    frames = []
    taken = 0
    while taken < limit_bytes:
        start = attempt.sent - attempt.base
        data = bytes(attempt.buffer[start : start + FRAME_BYTES])
        with_head = attempt.status is not None and not attempt.head_sent
        is_last = attempt.sent + len(data) == attempt.end
        final = attempt.final if is_last and not attempt.final_sent else None
        if not data and not with_head and final is None:
            break
        frames.append(
            Frame(
                attempt.sent,
                data,
                attempt.status if with_head else None,
                attempt.headers if with_head else None,
                final,
            )
        )
        attempt.sent += len(data)
        attempt.head_sent |= with_head
        attempt.final_sent |= final is not None
        taken += len(data) + 1
        if final is not None:
            break
    return frames


def has_unsent(attempt):
    """Whether `take_frames` would return frames."""
    return (
        attempt.sent < attempt.end
        or (attempt.status is not None and not attempt.head_sent)
        or (attempt.final is not None and not attempt.final_sent)
    )


def acknowledge(attempt, offset):
    """Record acknowledged answer bytes and drop them unless they are kept."""
    if offset > attempt.sent:
        raise errors.WireError(
            f"acknowledged offset {offset}, sent {attempt.sent}", step="attempts.ack"
        )
    attempt.acked = max(attempt.acked, offset)
    _trim(attempt)


def _trim(attempt):
    if not attempt.keep and attempt.acked > attempt.base:
        del attempt.buffer[: attempt.acked - attempt.base]
        attempt.base = attempt.acked


def resume(attempt, offset):
    """Prepare to replay the answer from `offset`.

    Returns
    -------
    possible : bool
        False if `offset` is beyond the end or its bytes are no longer held.
    """
    if not attempt.base <= offset <= attempt.end:
        return False
    attempt.sent = offset
    attempt.head_sent = attempt.final_sent = False
    return True


def complete_answer(attempt):
    """Return the finished answer as one frame, or None if it is not held completely."""
    if attempt.final is None or attempt.final.outcome is not Outcome.DONE:
        return None
    if attempt.base != 0:
        return None
    return Frame(
        0, bytes(attempt.buffer), attempt.status, attempt.headers, attempt.final
    )


def raise_floor(state, entry_start_id, floor, now):
    """Raise the floor of an entry start and discard the attempts below it.

    Returns
    -------
    attempts : list of Attempt
        Discarded attempts that are still running and have to be cancelled.
    """
    if entry_start_id not in state.entries:
        _entry(state, entry_start_id, now)
    entry = state.entries[entry_start_id]
    if floor <= entry.floor:
        return []
    entry.floor = floor
    entry.revoked = {num for num in entry.revoked if num >= floor}
    discarded = [entry.open.pop(num) for num in sorted(entry.open) if num < floor]
    return [attempt for attempt in discarded if attempt.phase is Phase.RUNNING]


def discard_disconnected(state, connected, now):
    """Discard attempts of entry starts that disconnected `ANSWER_RETENTION_S` ago.

    These attempts then count as finished without an answer.

    Parameters
    ----------
    state : Attempts
    connected : container of str
        Entry start ids with a connection.
    now : float

    Returns
    -------
    attempts : list of Attempt
        Discarded attempts that are still running and have to be cancelled.
    """
    running = []
    for start_id, entry in state.entries.items():
        if start_id in connected:
            entry.last_seen_at = now
        elif entry.open and now - entry.last_seen_at > ANSWER_RETENTION_S:
            running += raise_floor(state, start_id, max(entry.open) + 1, now)
    return running


def drop_idle_entries(state, now):
    """Drop entry starts without messages or connections for `ENTRY_IDLE_S`."""
    for start_id, entry in list(state.entries.items()):
        if now - entry.last_seen_at > ENTRY_IDLE_S and not entry.open:
            del state.entries[start_id]
