"""An agent without a backend server, which sends generated streams to an entry.

Like an engine with continuous batching it sends one token of every stream at each
step. Used to measure the forwarding rate of one entry.
"""

import hashlib
import sys

import anyio
import attrs

from carobstand import errors
from carobstand.wire import connection
from carobstand.wire.gen import ttypes

STEP_S = 0.02

TOKENS_PER_STREAM = 200

TOKEN_EVENT = b'data: {"choices": [{"index": 0, "text": " token"}]}\n\n'

FRAMES_PER_BATCH = 256


@attrs.define(eq=False)
class Stream:
    """A response in progress; `sent` counts its tokens."""

    attempt_id: int
    sent: int = 0
    hasher: object = attrs.field(factory=hashlib.sha256)


def hello(name):
    """Return the handshake message of the agent `name`."""
    return ttypes.Hello(
        protocol=connection.PROTOCOL_VERSION,
        role=ttypes.Role.AGENT,
        vm=name,
        start_id=f"{name}-start",
        failure_domain="kutch-bhuj",
        region="kutch",
        address="127.0.0.1:1",
        services=["salahkar"],
    )


def heartbeat(seq):
    """Return a heartbeat that reports one version as serving."""
    replica = ttypes.Replica(
        service_name="salahkar",
        version="v1",
        manifest="a" * 64,
        phase=ttypes.ReplicaPhase.SERVING,
    )
    return ttypes.Heartbeat(
        seq=seq,
        table_revision=0,
        plan_revisions={},
        replicas=[replica],
        leaving=False,
        backend_up=True,
        running_attempts=0,
    )


def next_frame(stream):
    """Return the next frame of a stream; the last one holds length and digest."""
    frame = ttypes.AnswerFrame(
        attempt_id=stream.attempt_id, offset=stream.sent * len(TOKEN_EVENT)
    )
    if stream.sent == 0:
        frame.status = 200
        frame.headers = [ttypes.Header("content-type", "text/event-stream")]
        frame.version = "v1"
    frame.data = TOKEN_EVENT
    stream.hasher.update(TOKEN_EVENT)
    stream.sent += 1
    if stream.sent == TOKENS_PER_STREAM:
        frame.final = True
        frame.total_length = TOKENS_PER_STREAM * len(TOKEN_EVENT)
        frame.digest = stream.hasher.hexdigest()
        frame.outcome = ttypes.Outcome.DONE
    return frame


async def run(name, address):
    """Serve attempts of the entry at `address` until its connection ends."""
    streams = {}
    conn = await connection.dial(address, hello(name))

    async def on_message(conn, message):
        if isinstance(message, ttypes.Attempt):
            streams[message.attempt_id] = Stream(message.attempt_id)
        elif isinstance(message, ttypes.Cancel):
            streams.pop(message.attempt_id, None)

    async def send_heartbeats():
        for seq in range(1_000_000):
            connection.post(conn, heartbeat(seq))
            await anyio.sleep(0.5)

    async def send_tokens():
        due = anyio.current_time()
        while True:
            due += STEP_S
            await anyio.sleep_until(due)
            frames = [next_frame(stream) for stream in streams.values()]
            for stream in [s for s in streams.values() if s.sent == TOKENS_PER_STREAM]:
                del streams[stream.attempt_id]
            for start in range(0, len(frames), FRAMES_PER_BATCH):
                batch = frames[start : start + FRAMES_PER_BATCH]
                await connection.send(conn, ttypes.AnswerBatch(frames=batch))

    async with anyio.create_task_group() as tg:
        tg.start_soon(send_heartbeats)
        tg.start_soon(send_tokens)
        try:
            await connection.run(conn, on_message)
        except errors.ConnectionClosedError:
            pass
        tg.cancel_scope.cancel()


def main():
    """Take the name of the agent and the address of the entry as arguments."""
    anyio.run(run, *sys.argv[1:])


if __name__ == "__main__":
    main()
