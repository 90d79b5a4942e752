"""Attempts of this entry: sending, answer frames, resumption and loss."""

import collections
import enum

import anyio
import attrs

from carobstand import errors, logs
from carobstand.core import answers
from carobstand.wire import connection
from carobstand.wire.gen import ttypes

ACK_BYTES = 32 * 1024
"""Delivered bytes between acknowledgements; far below the agent's window."""

RECONNECT_GRACE_S = 4.0
"""Wait for a new connection to an agent whose connection ended.

A silent connection is noticed within 3 s at both ends and replaced at once.
"""

CHECK_INTERVAL_S = 0.1
"""Shortest time between two checks of open attempts against the connections."""


class Loss(enum.Enum):
    """Why no further frames of an attempt will arrive."""

    AGENT_GONE = "agent was replaced or stayed unreachable"
    BROKEN = "answer failed verification"


@attrs.define(eq=False)
class Try:
    """One attempt: sent over `conn` to one start of one agent.

    `unreachable` is set when its agent was not connected for `RECONNECT_GRACE_S`; a
    `patient` one is not lost then, but only if the agent restarts.
    """

    attempt_id: int
    vm: str = ""
    agent_start_id: str = ""
    conn: object = None
    answer: answers.Answer = attrs.field(factory=answers.Answer)
    chunks: collections.deque = attrs.field(factory=collections.deque)
    final: ttypes.AnswerFrame | None = None
    lost: Loss | None = None
    lost_detail: str = ""
    version: str = ""
    acked: int = 0
    detached_at: float | None = None
    patient: bool = False
    unreachable: bool = False
    resuming: bool = False
    on_change: object = None


@attrs.define(eq=False)
class Tries:
    """Open attempts of an entry start, by id in ascending order."""

    open: dict = attrs.field(factory=dict)
    next_id: int = 1
    frames_dropped: int = 0


def reserve(state, tries, on_change):
    """Return a new attempt that was not sent yet; its id holds the floor down.

    Parameters
    ----------
    state : EntryState
    tries : Tries
    on_change : callable
        Called when something arrived for the attempt.

    Returns
    -------
    t : Try
    """
    t = Try(tries.next_id, on_change=on_change)
    tries.open[t.attempt_id] = t
    tries.next_id += 1
    _update_floor(state, tries)
    return t


def release(state, tries, t):
    """Close an attempt; the agent may discard its state and refuses copies of it."""
    tries.open.pop(t.attempt_id, None)
    _update_floor(state, tries)


def _update_floor(state, tries):
    floor = next(iter(tries.open), tries.next_id)
    if floor < state.attempt_floor:
        raise errors.InvariantError(
            f"floor would fall from {state.attempt_floor} to {floor}",
            step="tries.floor",
        )
    state.attempt_floor = floor


def send(state, t, peer, message):
    """Send an attempt to an agent.

    Raises
    ------
    ConnectionClosedError, WireError
        If nothing was sent.
    """
    message.entry_start_id = state.start_id
    message.agent_start_id = peer.hello.start_id
    message.attempt_id = t.attempt_id
    t.answer = answers.begin(message.offset or 0)
    t.acked = t.answer.end
    t.vm = peer.hello.vm
    t.agent_start_id = peer.hello.start_id
    t.conn = peer.conn
    connection.post(peer.conn, message)


def on_frames(tries, conn, batch):
    """Take answer frames; those of another attempt or agent are dropped."""
    for frame in batch.frames or ():
        t = tries.open.get(frame.attempt_id)
        if t is None or t.conn is not conn or t.agent_start_id != conn.peer.start_id:
            tries.frames_dropped += 1
            logs.event("frame.dropped", attempt=frame.attempt_id, peer=conn.peer.vm)
            continue
        _on_frame(t, frame)


def _on_frame(t, frame):
    if t.final is not None or t.lost is not None:
        return
    offset, data = frame.offset or 0, frame.data or b""
    ended_early = frame.final and frame.outcome != ttypes.Outcome.DONE
    if answers.has_gap(t.answer, offset) and not ended_early:
        if not t.resuming:
            t.resuming = True
            _post(t.conn, ttypes.Resume(t.attempt_id, t.answer.end))
        return
    try:
        if not answers.has_gap(t.answer, offset):
            t.resuming = False
            _take(t, frame, offset, data)
        if frame.final:
            if frame.outcome == ttypes.Outcome.DONE:
                answers.complete(t.answer, frame.total_length, frame.digest)
            t.final = frame
            _post(t.conn, ttypes.AnswerAck(t.attempt_id, t.answer.end))
    except errors.WireError as exc:
        t.lost, t.lost_detail = Loss.BROKEN, exc.message
        _post(t.conn, ttypes.Cancel(t.attempt_id))
    t.on_change()


def _take(t, frame, offset, data):
    headers = None
    if frame.status is not None:
        headers = tuple((item.name, item.value) for item in frame.headers or ())
        t.version = frame.version or ""
    fresh = answers.accept(t.answer, offset, data, frame.status, headers)
    if fresh:
        t.chunks.append(fresh)


def take_data(t):
    """Return the bytes that arrived since the last call."""
    if len(t.chunks) == 1:
        return t.chunks.popleft()
    data = b"".join(t.chunks)
    t.chunks.clear()
    return data


def ended(t):
    """Whether nothing more will arrive."""
    return t.final is not None or t.lost is not None


def delivered(t, offset):
    """Acknowledge bytes up to `offset` once enough of them were delivered.

    The end of an answer is acknowledged as soon as it arrives.
    """
    if offset - t.acked >= ACK_BYTES and t.final is None:
        t.acked = offset
        _post(t.conn, ttypes.AnswerAck(t.attempt_id, offset))


def cancel(t):
    """Ask the agent to stop an attempt whose answer is not wanted."""
    if t.conn is not None and not ended(t):
        _post(t.conn, ttypes.Cancel(t.attempt_id))


def _post(conn, message):
    try:
        connection.post(conn, message)
    except errors.ConnectionClosedError:
        logs.event("message.dropped", kind=type(message).__name__, peer=conn.address)


async def watch(state, tries):
    """Resume attempts on replaced connections and give up those that are lost."""
    while True:
        await state.changed.wait(1.0)
        now = anyio.current_time()
        for t in list(tries.open.values()):
            if t.conn is not None and not ended(t):
                _check(state, t, now)
        await anyio.sleep(CHECK_INTERVAL_S)


def _check(state, t, now):
    peer = state.agents.get(t.vm)
    if peer is not None and peer.hello.start_id != t.agent_start_id:
        _lose(t, "agent restarted")
    elif peer is not None and peer.conn is not t.conn and not peer.conn.closed.is_set():
        t.conn, t.detached_at, t.resuming = peer.conn, None, True
        t.unreachable = False
        logs.event("attempt.resumed", attempt=t.attempt_id, offset=t.answer.end)
        _post(t.conn, ttypes.Resume(t.attempt_id, t.answer.end))
        # An acknowledgement may have been lost with the former connection, and the
        # agent waits for it once its window is full.
        _post(t.conn, ttypes.AnswerAck(t.attempt_id, t.acked))
    elif t.conn.closed.is_set():
        if t.detached_at is None:
            t.detached_at = now
            t.on_change()
        if now - t.detached_at > RECONNECT_GRACE_S and not t.unreachable:
            t.unreachable = True
            t.on_change()
        if t.unreachable and not t.patient:
            _lose(t, f"agent unreachable for {RECONNECT_GRACE_S} s")


def _lose(t, detail):
    t.lost, t.lost_detail = Loss.AGENT_GONE, detail
    t.on_change()
