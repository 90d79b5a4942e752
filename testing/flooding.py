"""Callers that send requests ahead and do not read the responses."""

import contextlib
import pathlib
import socket

import anyio
import attrs

from carobstand.core import deployment

MAX_SENT_BYTES = 20_000_000
"""Bytes that one caller sends at most, so that a fault cannot fill the machine."""

BLOCKED_S = 1.0
"""A caller gives up sending when nothing has been taken for so long."""

CHUNK_BYTES = 65536


@attrs.define(eq=False)
class Crowd:
    """Open connections of such callers."""

    sockets: list = attrs.field(factory=list)

    def close(self):
        """Close all connections."""
        for raw in self.sockets:
            raw.close()


async def connect(address):
    """Return a connected socket with a small receive buffer, or None if refused."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    raw.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        raw.connect(deployment.split_address(address))
    with anyio.move_on_after(BLOCKED_S):
        await anyio.wait_writable(raw)
        return raw
    raw.close()
    return None


async def hold(address, count, sent):
    """Have callers send the same bytes once and wait; return the `Crowd`."""
    crowd = Crowd()
    for _ in range(count):
        raw = await connect(address)
        if raw is not None:
            crowd.sockets.append(raw)
            with contextlib.suppress(OSError):
                raw.send(sent)
    return crowd


async def flood(address, count, message):
    """Have callers send a message again and again; return the `Crowd`, still open."""
    crowd = Crowd()
    async with anyio.create_task_group() as tg:
        for _ in range(count):
            tg.start_soon(_send_ahead, crowd, address, message)
    return crowd


async def _send_ahead(crowd, address, message):
    raw = await connect(address)
    if raw is None:
        return
    crowd.sockets.append(raw)
    chunk = message * (CHUNK_BYTES // len(message) + 1)
    sent = 0
    while sent < MAX_SENT_BYTES:
        with anyio.move_on_after(BLOCKED_S) as scope:
            await anyio.wait_writable(raw)
        if scope.cancelled_caught:
            return
        try:
            # Goes on where the last send ended, so that all requests are whole.
            offset = sent % len(message)
            sent += raw.send(chunk[offset:])
        except BlockingIOError:
            continue
        except OSError:
            return


def peak_bytes(process):
    """Return the largest resident memory that a process has had."""
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("the process has ended")


def open_descriptors(process):
    """Return the number of open file descriptors of a process."""
    return len(list(pathlib.Path(f"/proc/{process.pid}/fd").iterdir()))
