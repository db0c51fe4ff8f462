"""Reading from a socket, with parsing in place."""

from __future__ import annotations

import math
import socket

import anyio

from zincladder.core.attempt_end import EndReason
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.sockets import peek_unread

INITIAL_BUFFER_BYTES = 8192
BODY_STEP_BYTES = 1 << 16  # room made for a body that has not come yet


class ReadBuffer:
    """What a peer sends. Heads stay in one buffer and are parsed there; bodies are received in place."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._buffer = bytearray(INITIAL_BUFFER_BYTES)
        self._start = self._end = 0
        self._drained = False
        self.received = 0  # bytes
        self.missing = 0  # bytes of what `read_exactly` waits for that have not come

    def buffered(self) -> int:
        """The number of bytes that are here and were not taken yet."""
        return self._end - self._start

    async def _receive(self, into: memoryview, timeout_seconds: float = math.inf) -> int:
        while True:
            if self._drained:  # the last read took all there was: asking at once would be in vain
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
            # Guards the peer against a stall of this process, whose timers go before what lies there unread.
            unread = peek_unread(self._sock, 1)
            if not (unread.data or unread.closed_by_peer):
                raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, "a message that broke off") from None
        except (OSError, ValueError, anyio.ClosedResourceError):
            raise ConnectionEndedError(EndReason.CONNECTION_LOST) from None

    async def _read_more(self, max_bytes: int, timeout_seconds: float = math.inf) -> None:
        """Reads on, making room first: the unread part moves to the front or the buffer grows."""
        if self._start == self._end:
            self._start = self._end = 0
        if self._end == len(self._buffer):
            if self._start:
                unread = self._buffer[self._start : self._end]
                self._buffer[: len(unread)] = unread
                self._start, self._end = 0, len(unread)
            elif len(self._buffer) >= max_bytes:
                raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, f"a head of over {max_bytes} bytes")
            else:
                self._buffer.extend(bytes(len(self._buffer)))
        with memoryview(self._buffer) as view:
            self._end += await self._receive(view[self._end :], timeout_seconds)

    async def wait_for(self, size: int = 1) -> None:
        """Waits until so many bytes are here and takes none: cancelling it loses nothing."""
        while self.buffered() < size:
            await self._read_more(INITIAL_BUFFER_BYTES)

    def peek(self) -> bytes:
        """What is here and was not taken yet."""
        return bytes(memoryview(self._buffer)[self._start : self._end])

    async def read_line(self, max_bytes: int, timeout_seconds: float = math.inf) -> bytes:
        """The next line without its CR LF; the timeout is for a stretch without a byte.

        Raises:
            ConnectionEndedError: The connection has ended, the line is too long, or it broke off.
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
                raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, f"a line of over {max_bytes} bytes")
            await self._read_more(2 * max_bytes, timeout_seconds)

    async def read_exactly(self, size: int, timeout_seconds: float = math.inf) -> bytearray:
        """The next `size` bytes; what is not here yet is received straight into its place.

        Raises:
            ConnectionEndedError: The connection has ended, or no byte came for `timeout_seconds`.
        """
        filled = min(size, self.buffered())
        body = self._buffer[self._start : self._start + filled]
        self._start += filled
        while filled < size:
            # Guards the memory against a length that is only claimed: room is made as the bytes come.
            body.extend(bytes(min(size - filled, max(BODY_STEP_BYTES, filled))))
            with memoryview(body) as view:
                while filled < len(body):
                    self.missing = size - filled
                    filled += await self._receive(view[filled:], timeout_seconds)
        self.missing = 0
        return body
