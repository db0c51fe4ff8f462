"""A buffered reader of a socket, which returns lines and byte strings of a given size."""

from __future__ import annotations

import math
import socket

import anyio

from zincladder.core.attempt_end import EndReason
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.sockets import peek_unread

MAX_BUFFERED_BYTES = 8192  # what `wait_for` buffers at most, unless a connection sets another limit
READ_BYTES = 1 << 16
# A read goes into this buffer first, and is copied from it before any other read. A connection then holds the
# bytes that have arrived and no more, whatever length its peer has announced.
_RECEIVED = memoryview(bytearray(READ_BYTES))


class ReadBuffer:
    """Reads a peer's messages: lines and sizes from one buffer, bodies into byte strings of their own."""

    def __init__(self, sock: socket.socket, max_buffered_bytes: int = MAX_BUFFERED_BYTES) -> None:
        """Reads from a socket; `max_buffered_bytes` is what is buffered before a message is read."""
        self._sock, self._max_buffered_bytes = sock, max_buffered_bytes
        self._buffer = bytearray()
        self._start = 0  # offset of the first byte that is not consumed yet
        self._drained = False  # the last read emptied the socket
        self.received = 0  # bytes in total
        self.missing = 0  # bytes that `read_exactly` is still waiting for

    def buffered(self) -> int:
        """Returns the number of bytes that are buffered and not consumed yet."""
        return len(self._buffer) - self._start

    async def _receive(self, into: memoryview, timeout_seconds: float = math.inf) -> int:
        """Reads the next bytes, at least one, and returns their number."""
        while True:
            if self._drained:  # another read at once would find nothing
                await self._wait_readable(timeout_seconds)
            try:
                size = self._sock.recv_into(into)
            except (BlockingIOError, InterruptedError):
                self._drained = True
                continue
            except OSError as fault:
                raise ConnectionEndedError(EndReason.CONNECTION_LOST, str(fault)) from None
            self._drained = size < len(into)
            if not size:
                raise ConnectionEndedError(EndReason.CLOSED_BY_PEER)
            self.received += size
            return size

    async def _wait_readable(self, timeout_seconds: float) -> None:
        try:
            if timeout_seconds < math.inf:
                with anyio.fail_after(timeout_seconds):
                    await anyio.wait_readable(self._sock)
            else:
                await anyio.wait_readable(self._sock)
        except TimeoutError:
            # After a stall of this process the timeout may fire before input that arrived in time is read.
            unread = peek_unread(self._sock, 1)
            if not (unread.data or unread.closed_by_peer):
                raise ConnectionEndedError(
                    EndReason.PROTOCOL_ERROR, "the rest of a message did not arrive in time"
                ) from None
        except (OSError, ValueError, anyio.ClosedResourceError):
            raise ConnectionEndedError(EndReason.CONNECTION_LOST) from None

    def _consume(self, size: int) -> None:
        self._start += size
        if self._start == len(self._buffer):
            self._buffer.clear()  # frees its memory, so that an idle connection holds none
            self._start = 0

    async def _read_more(self, max_bytes: int, timeout_seconds: float = math.inf) -> None:
        """Reads more bytes, until at most `max_bytes` are buffered."""
        room = max_bytes - self.buffered()
        if room <= 0:
            raise ConnectionEndedError(
                EndReason.PROTOCOL_ERROR, f"unparsed input is longer than {max_bytes} bytes"
            )
        size = await self._receive(_RECEIVED[:room], timeout_seconds)
        if self._start:
            del self._buffer[: self._start]
            self._start = 0
        self._buffer += _RECEIVED[:size]

    async def wait_for(self, size: int = 1) -> None:
        """Waits until `size` bytes are buffered, without consuming any; cancelling it loses no input."""
        while self.buffered() < size:
            await self._read_more(self._max_buffered_bytes)

    def peek(self, max_bytes: int = MAX_BUFFERED_BYTES) -> bytes:
        """Returns the first buffered bytes without consuming them."""
        return bytes(self._buffer[self._start : self._start + max_bytes])

    async def read_line(self, max_bytes: int, timeout_seconds: float = math.inf) -> bytes:
        """Returns the next line without its CR LF.

        Raises:
            ConnectionEndedError: The connection has ended, the line is longer than `max_bytes`, or no byte
                arrived for `timeout_seconds`.
        """
        searched = 0
        while True:
            line_end = self._buffer.find(b"\r\n", self._start + searched)
            if line_end >= 0:
                line = bytes(self._buffer[self._start : line_end])
                self._consume(len(line) + 2)
                return line
            searched = max(0, self.buffered() - 1)
            if searched >= max_bytes:
                raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, f"line is longer than {max_bytes} bytes")
            await self._read_more(2 * max_bytes, timeout_seconds)

    async def read_exactly(self, size: int, timeout_seconds: float = math.inf) -> bytearray:
        """Returns the next `size` bytes; until they have arrived, those that have take memory and no more.

        Raises:
            ConnectionEndedError: The connection has ended, or no byte arrived for `timeout_seconds`.
        """
        buffered = min(size, self.buffered())
        body = self._buffer[self._start : self._start + buffered]
        self._consume(buffered)
        self.missing = size - buffered
        while self.missing:
            received = await self._receive(_RECEIVED[: self.missing], timeout_seconds)
            body += _RECEIVED[:received]
            self.missing -= received
        return body

    async def read_into(self, body: bytearray, timeout_seconds: float = math.inf) -> None:
        """Fills `body` with the next bytes, without copying them twice.

        Raises:
            ConnectionEndedError: The connection has ended, or no byte arrived for `timeout_seconds`.
        """
        filled = min(len(body), self.buffered())
        body[:filled] = self._buffer[self._start : self._start + filled]
        self._consume(filled)
        with memoryview(body) as view:
            while filled < len(body):
                self.missing = len(body) - filled
                filled += await self._receive(view[filled:], timeout_seconds)
        self.missing = 0
