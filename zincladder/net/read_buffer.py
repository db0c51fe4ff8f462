"""A buffered reader of a socket, which returns lines and byte strings of a given size."""

from __future__ import annotations

import math
import socket

import anyio

from zincladder.core.attempt_end import EndReason
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.sockets import peek_unread

INITIAL_BUFFER_BYTES = 8192
BODY_STEP_BYTES = 1 << 16  # first size allocated for a body that has not arrived yet


class ReadBuffer:
    """Reads a peer's messages: lines and sizes from one buffer, bodies directly into their own buffers."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._buffer = bytearray(INITIAL_BUFFER_BYTES)
        self._start = self._end = 0  # the part of the buffer that was received and not consumed
        self._drained = False  # the last read emptied the socket
        self.received = 0  # bytes in total
        self.missing = 0  # bytes that `read_exactly` is still waiting for

    def buffered(self) -> int:
        """Returns the number of bytes that are buffered and not consumed yet."""
        return self._end - self._start

    async def _receive(self, into: memoryview, timeout_seconds: float = math.inf) -> int:
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

    async def _read_more(self, max_bytes: int, timeout_seconds: float = math.inf) -> None:
        """Reads more bytes; first makes room by moving the unconsumed bytes or by growing the buffer."""
        if self._start == self._end:
            self._start = self._end = 0
        if self._end == len(self._buffer):
            if self._start:
                unread = self._buffer[self._start : self._end]
                self._buffer[: len(unread)] = unread
                self._start, self._end = 0, len(unread)
            elif len(self._buffer) >= max_bytes:
                raise ConnectionEndedError(
                    EndReason.PROTOCOL_ERROR, f"unparsed input is longer than {max_bytes} bytes"
                )
            else:
                self._buffer.extend(bytes(len(self._buffer)))
        with memoryview(self._buffer) as view:
            self._end += await self._receive(view[self._end :], timeout_seconds)

    async def wait_for(self, size: int = 1) -> None:
        """Waits until `size` bytes are buffered, without consuming any; cancelling it loses no input."""
        while self.buffered() < size:
            await self._read_more(INITIAL_BUFFER_BYTES)

    def peek(self) -> bytes:
        """Returns the bytes that are buffered, without consuming them."""
        return bytes(memoryview(self._buffer)[self._start : self._end])

    async def read_line(self, max_bytes: int, timeout_seconds: float = math.inf) -> bytes:
        """Returns the next line without its CR LF.

        Raises:
            ConnectionEndedError: The connection has ended, the line is longer than `max_bytes`, or no byte
                arrived for `timeout_seconds`.
        """
        searched = 0
        while True:
            line_end = self._buffer.find(b"\r\n", self._start + searched, self._end)
            if line_end >= 0:
                line = bytes(memoryview(self._buffer)[self._start : line_end])
                self._start = line_end + 2
                return line
            searched = max(0, self.buffered() - 1)
            if searched >= max_bytes:
                raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, f"line is longer than {max_bytes} bytes")
            await self._read_more(2 * max_bytes, timeout_seconds)

    async def read_exactly(self, size: int, timeout_seconds: float = math.inf) -> bytearray:
        """Returns the next `size` bytes; those not buffered yet are received directly into the result.

        Raises:
            ConnectionEndedError: The connection has ended, or no byte arrived for `timeout_seconds`.
        """
        filled = min(size, self.buffered())
        body = self._buffer[self._start : self._start + filled]
        self._start += filled
        while filled < size:
            # A peer may announce a length and send less, so memory is allocated as the bytes arrive.
            body.extend(bytes(min(size - filled, max(BODY_STEP_BYTES, filled))))
            with memoryview(body) as view:
                while filled < len(body):
                    self.missing = size - filled
                    filled += await self._receive(view[filled:], timeout_seconds)
        self.missing = 0
        return body
