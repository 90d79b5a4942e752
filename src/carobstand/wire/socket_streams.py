"""Streams of accepted connections that take nothing from the kernel unasked.

The streams of the event loop read as soon as a connection is accepted, and pause only
once a `receive` has waited. A peer that keeps bytes ready is then read without end into
memory that nothing bounds. Here bytes stay in the kernel's buffer until `receive`, and
the peer's sends block when that is full.
"""

import select
import socket

import anyio
import anyio.abc
import anyio.lowlevel
import attrs

KERNEL_BUFFER_BYTES = 65536
"""Size of the receive and of the send buffer of a connection, which the kernel doubles.
By itself it grows them to megabytes for a peer that does not read."""

ACCEPT_RETRY_DELAY_S = 0.1
"""Pause after a failed accept, for example when no file descriptor is free."""


@attrs.define(eq=False)
class SocketStream(anyio.abc.ByteStream):
    """Stream on a non-blocking socket.

    Attributes
    ----------
    raw : socket.socket
    pending : bytearray
        Bytes of a cancelled `send` that the kernel has not taken; the next one, also
        one without further bytes, begins with them.
    is_closed : bool
    """

    raw: socket.socket
    pending: bytearray = attrs.field(factory=bytearray)
    is_closed: bool = False

    @property
    def extra_attributes(self):
        """Return what `extra` looks up."""
        return {
            anyio.abc.SocketAttribute.raw_socket: lambda: self.raw,
            anyio.abc.SocketAttribute.remote_address: self.raw.getpeername,
        }

    async def receive(self, max_bytes=65536):
        """Return the next bytes; raise `anyio.EndOfStream` at their end."""
        await anyio.lowlevel.checkpoint_if_cancelled()
        data = self._receive_now(max_bytes)
        if data is not None:
            await anyio.lowlevel.cancel_shielded_checkpoint()
        while data is None:
            await anyio.wait_readable(self.raw)
            data = self._receive_now(max_bytes)
        if not data:
            raise anyio.EndOfStream
        return data

    def _receive_now(self, max_bytes):
        """Return what the kernel has, empty at the end, or None if there is nothing."""
        if self.is_closed:
            raise anyio.ClosedResourceError
        try:
            return self.raw.recv(max_bytes)
        except BlockingIOError:
            return None
        except OSError as exc:
            raise anyio.BrokenResourceError from exc

    async def send(self, item):
        """Return once the kernel has taken all bytes."""
        await anyio.lowlevel.checkpoint_if_cancelled()
        self.pending += item
        self._send_now()
        if not self.pending:
            await anyio.lowlevel.cancel_shielded_checkpoint()
        while self.pending:
            await anyio.wait_writable(self.raw)
            self._send_now()

    def _send_now(self):
        """Hand pending bytes to the kernel, as many as it takes."""
        if self.is_closed:
            raise anyio.ClosedResourceError
        try:
            while self.pending:
                del self.pending[: self.raw.send(self.pending)]
        except BlockingIOError:
            return
        except OSError as exc:
            raise anyio.BrokenResourceError from exc

    async def send_eof(self):
        """End what this side sends."""
        await self.send(b"")
        try:
            self.raw.shutdown(socket.SHUT_WR)
        except OSError as exc:
            raise anyio.BrokenResourceError from exc

    async def aclose(self):
        """Close at once; pending bytes are dropped."""
        if not self.is_closed:
            self.is_closed = True
            anyio.notify_closing(self.raw)
            self.raw.close()


def limit_buffers(raw):
    """Set the buffer sizes of a listening socket; accepted connections inherit them."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)


def accept(raw):
    """Return the `SocketStream` of the next connection, or None if there is none.

    Raises
    ------
    OSError
        For example, if no file descriptor is free.
    """
    try:
        accepted, _ = raw.accept()
    except BlockingIOError:
        return None
    accepted.setblocking(False)
    accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return SocketStream(accepted)


def is_readable(raw):
    """Whether a socket has bytes, or a listening one connections, to be read."""
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))
