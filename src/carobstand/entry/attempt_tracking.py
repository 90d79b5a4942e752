"""Transport of attempts: sending, answer frames, resumption and loss."""

import collections
import enum

import anyio
import attrs

from carobstand import errors, logs
from carobstand.core import answers
from carobstand.wire import connection
from carobstand.wire.gen import ttypes

ACK_INTERVAL_BYTES = 32 * 1024
"""Delivered bytes per acknowledgement; far below the agent's window."""

RECONNECT_GRACE_S = 4.0
"""Time to wait for an agent to reconnect after its connection ended.

A silent connection is detected within 3 s at both ends and replaced at once.
"""

CHECK_INTERVAL_S = 0.1
"""Minimum interval between checks of the connections of open attempts."""


class Loss(enum.Enum):
    """Reason why no further frames of an attempt will arrive."""

    AGENT_GONE = "agent was replaced or stayed unreachable"
    BROKEN = "answer failed verification"


@attrs.define(eq=False)
class OpenAttempt:
    """One attempt, sent over `conn` to one process start of one agent.

    `unreachable` is set when the agent was disconnected for `RECONNECT_GRACE_S`. The
    attempt is lost then; with `waits_for_agent` it is lost only if the agent restarts.
    """

    attempt_id: int
    vm: str = ""
    agent_start_id: str = ""
    conn: object = None
    answer: answers.Answer = attrs.field(factory=answers.Answer)
    chunks: collections.deque = attrs.field(factory=collections.deque)
    final: ttypes.AnswerFrame | None = None
    loss: Loss | None = None
    loss_detail: str = ""
    version: str = ""
    acked: int = 0
    detached_at: float | None = None
    waits_for_agent: bool = False
    unreachable: bool = False
    resuming: bool = False
    on_change: object = None


@attrs.define(eq=False)
class OpenAttempts:
    """Open attempts of this entry process, by id in ascending order."""

    by_id: dict = attrs.field(factory=dict)
    next_id: int = 1
    frames_dropped: int = 0


def reserve(state, open_attempts, on_change):
    """Return a new, unsent attempt; the attempt floor cannot rise above its id.

    Parameters
    ----------
    state : EntryState
    open_attempts : OpenAttempts
    on_change : callable
        Called when something arrived for the attempt.

    Returns
    -------
    attempt : OpenAttempt
    """
    attempt = OpenAttempt(open_attempts.next_id, on_change=on_change)
    open_attempts.by_id[attempt.attempt_id] = attempt
    open_attempts.next_id += 1
    _update_floor(state, open_attempts)
    return attempt


def release(state, open_attempts, attempt):
    """Close an attempt.

    The agent may then discard its state, and refuses late copies of it.
    """
    open_attempts.by_id.pop(attempt.attempt_id, None)
    _update_floor(state, open_attempts)


def _update_floor(state, open_attempts):
    floor = next(iter(open_attempts.by_id), open_attempts.next_id)
    if floor < state.attempt_floor:
        raise errors.InvariantError(
            f"attempt floor would decrease from {state.attempt_floor} to {floor}",
            step="tries.floor",
        )
    state.attempt_floor = floor


def send(state, attempt, peer, message):
    """Send an attempt to an agent.

    Raises
    ------
    ConnectionClosedError, WireError
        If nothing was sent.
    """
    message.entry_start_id = state.start_id
    message.agent_start_id = peer.hello.start_id
    message.attempt_id = attempt.attempt_id
    attempt.answer = answers.begin(message.offset or 0)
    attempt.acked = attempt.answer.end
    attempt.vm = peer.hello.vm
    attempt.agent_start_id = peer.hello.start_id
    attempt.conn = peer.conn
    connection.post(peer.conn, message)


def on_frames(open_attempts, conn, batch):
    """Process answer frames; those of unknown attempts or other agents are dropped."""
    for frame in batch.frames or ():
        attempt = open_attempts.by_id.get(frame.attempt_id)
        if (
            attempt is None
            or attempt.conn is not conn
            or attempt.agent_start_id != conn.peer.start_id
        ):
            open_attempts.frames_dropped += 1
            logs.event("frame.dropped", attempt=frame.attempt_id, peer=conn.peer.vm)
            continue
        _on_frame(attempt, frame)


def _on_frame(attempt, frame):
    if attempt.final is not None or attempt.loss is not None:
        return
    offset, data = frame.offset or 0, frame.data or b""
    ended_early = frame.final and frame.outcome != ttypes.Outcome.DONE
    if answers.has_gap(attempt.answer, offset) and not ended_early:
        if not attempt.resuming:
            attempt.resuming = True
            _post(attempt.conn, ttypes.Resume(attempt.attempt_id, attempt.answer.end))
        return
    try:
        if not answers.has_gap(attempt.answer, offset):
            attempt.resuming = False
            _accept_data(attempt, frame, offset, data)
        if frame.final:
            if frame.outcome == ttypes.Outcome.DONE:
                answers.complete(attempt.answer, frame.total_length, frame.digest)
            attempt.final = frame
            _post(
                attempt.conn, ttypes.AnswerAck(attempt.attempt_id, attempt.answer.end)
            )
    except errors.WireError as exc:
        attempt.loss, attempt.loss_detail = Loss.BROKEN, exc.message
        _post(attempt.conn, ttypes.Cancel(attempt.attempt_id))
    attempt.on_change()


def _accept_data(attempt, frame, offset, data):
    headers = None
    if frame.status is not None:
        headers = tuple((item.name, item.value) for item in frame.headers or ())
        attempt.version = frame.version or ""
    new_data = answers.accept(attempt.answer, offset, data, frame.status, headers)
    if new_data:
        attempt.chunks.append(new_data)


def take_data(attempt):
    """Return the bytes that arrived since the last call."""
    if len(attempt.chunks) == 1:
        return attempt.chunks.popleft()
    data = b"".join(attempt.chunks)
    attempt.chunks.clear()
    return data


def ended(attempt):
    """Return whether no further frames will arrive."""
    return attempt.final is not None or attempt.loss is not None


def acknowledge(attempt, offset):
    """Acknowledge bytes up to `offset` once `ACK_INTERVAL_BYTES` were delivered.

    The end of a response is acknowledged as soon as it arrives.
    """
    if offset - attempt.acked >= ACK_INTERVAL_BYTES and attempt.final is None:
        attempt.acked = offset
        _post(attempt.conn, ttypes.AnswerAck(attempt.attempt_id, offset))


def cancel(attempt):
    """Ask the agent to stop an attempt whose response is not needed."""
    if attempt.conn is not None and not ended(attempt):
        _post(attempt.conn, ttypes.Cancel(attempt.attempt_id))


def _post(conn, message):
    try:
        connection.post(conn, message)
    except errors.ConnectionClosedError:
        logs.event("message.dropped", kind=type(message).__name__, peer=conn.address)


async def watch_connections(state, open_attempts):
    """Resume attempts on new connections and mark lost ones, until cancelled."""
    while True:
        await state.changed.wait(1.0)
        now = anyio.current_time()
        for attempt in list(open_attempts.by_id.values()):
            if attempt.conn is not None and not ended(attempt):
                _check_connection(state, attempt, now)
        await anyio.sleep(CHECK_INTERVAL_S)


def _check_connection(state, attempt, now):
    peer = state.agents.get(attempt.vm)
    if peer is not None and peer.hello.start_id != attempt.agent_start_id:
        _mark_lost(attempt, "agent restarted")
    elif (
        peer is not None
        and peer.conn is not attempt.conn
        and not peer.conn.closed.is_set()
    ):
        attempt.conn, attempt.detached_at, attempt.resuming = peer.conn, None, True
        attempt.unreachable = False
        logs.event(
            "attempt.resumed", attempt=attempt.attempt_id, offset=attempt.answer.end
        )
        _post(attempt.conn, ttypes.Resume(attempt.attempt_id, attempt.answer.end))
        # An acknowledgement may have been lost with the previous connection; the agent
        # waits for it once its window is full.
        _post(attempt.conn, ttypes.AnswerAck(attempt.attempt_id, attempt.acked))
    elif attempt.conn.closed.is_set():
        if attempt.detached_at is None:
            attempt.detached_at = now
            attempt.on_change()
        if now - attempt.detached_at > RECONNECT_GRACE_S and not attempt.unreachable:
            attempt.unreachable = True
            attempt.on_change()
        if attempt.unreachable and not attempt.waits_for_agent:
            _mark_lost(attempt, f"agent unreachable for {RECONNECT_GRACE_S} s")


def _mark_lost(attempt, detail):
    attempt.loss, attempt.loss_detail = Loss.AGENT_GONE, detail
    attempt.on_change()
