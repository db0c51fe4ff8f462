"""An orderly close: shut this side down, discard what the peer still sends, then close the descriptor."""

from __future__ import annotations

import socket

import anyio

LINGER_SECONDS = 0.5  # for the peer's own end after this side's: many round trips
NO_LINGER_SECONDS = 0.0  # where the descriptor is needed: only what has arrived already is read
MAX_DISCARDED_BYTES = 1 << 20
READ_BYTES = 1 << 16  # at once


async def lingering_close(sock: socket.socket, linger_seconds: float) -> None:
    """Shuts this side down, then reads and discards until the peer's end or a bound.

    Guards what was sent last: a close over unread bytes sends a reset, and the peer's system then drops the
    answers that its client has not read yet (RFC 9112 9.6).
    """
    buffer, left = bytearray(READ_BYTES), MAX_DISCARDED_BYTES
    try:
        sock.shutdown(socket.SHUT_WR)
        with anyio.move_on_after(linger_seconds):
            while left > 0:
                try:
                    size = sock.recv_into(buffer)
                except (BlockingIOError, InterruptedError):
                    await anyio.wait_readable(sock)
                    continue
                if not size:
                    return
                left -= size
    except (OSError, ValueError, anyio.ClosedResourceError):
        pass  # the peer has reset it: nothing is left to guard
