"""A lingering close: stop sending, and discard what the peer still sends before the socket is closed."""

from __future__ import annotations

import socket
from time import monotonic

import anyio

from zincladder.support.read_pace import MAX_BEHIND_SECONDS, ReadPace
from zincladder.support.send_buffer import unacknowledged_bytes

LINGER_SECONDS = 0.5  # longest wait until a peer closes that has been sent everything; many round trips
# Used if a close must not wait, as when the descriptor is needed at once: only what has already arrived
# is read.
NO_LINGER_SECONDS = 0.0
DELIVERY_CHECK_SECONDS = 0.1  # between two checks of what a slow peer has taken
MAX_DISCARDED_BYTES = 1 << 20
# What all connections discard goes into one buffer: many are closed at the same time, after a stall or when
# the process ends.
_DISCARDED = bytearray(1 << 16)


class _Input:
    """The input of a connection that is discarded until the peer closes."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock, self._bytes_left = sock, MAX_DISCARDED_BYTES

    async def ends_within(self, seconds: float) -> bool:
        """Discards input for at most `seconds`; returns whether the peer has closed the connection."""
        with anyio.move_on_after(seconds):
            while self._bytes_left > 0:
                try:
                    size = self._sock.recv_into(_DISCARDED)
                except (BlockingIOError, InterruptedError):
                    await anyio.wait_readable(self._sock)
                    continue
                if not size:
                    return True
                self._bytes_left -= size
        return False

    @property
    def is_at_limit(self) -> bool:
        """Whether no more input is discarded."""
        return self._bytes_left <= 0


async def lingering_close(sock: socket.socket, linger_seconds: float) -> None:
    """Shuts down sending, then discards input until the peer closes or a limit of time or bytes is reached.

    The caller closes the socket. Closing it with unread bytes, or before bytes of the peer that cross the
    close, would send a reset, on which what the peer has not received is dropped, and on some systems what
    it has not read yet (RFC 9112 section 9.6). So the limit of time starts again once the peer has taken all
    that was written, as long as it keeps the least pace.
    """
    discarded = _Input(sock)
    try:
        sock.shutdown(socket.SHUT_WR)
        unacknowledged = unacknowledged_bytes(sock)
        pace = ReadPace(-unacknowledged, monotonic())
        if await discarded.ends_within(linger_seconds) or not linger_seconds:
            return
        if not unacknowledged_bytes(sock):
            return
        if await _closes_while_reading(sock, discarded, pace):
            return
        await discarded.ends_within(linger_seconds)
    except (OSError, ValueError, anyio.ClosedResourceError):
        pass  # the peer has reset the connection, so there is nothing to wait for


async def _closes_while_reading(sock: socket.socket, discarded: _Input, pace: ReadPace) -> bool:
    """Waits until the peer has taken all, or is behind; returns whether it has closed the connection."""
    while unacknowledged := unacknowledged_bytes(sock):
        pace.record(-unacknowledged, monotonic())
        if pace.behind_seconds(monotonic()) >= MAX_BEHIND_SECONDS:
            return True
        if discarded.is_at_limit:
            await anyio.sleep(DELIVERY_CHECK_SECONDS)
        elif await discarded.ends_within(DELIVERY_CHECK_SECONDS):
            return True
    return False
