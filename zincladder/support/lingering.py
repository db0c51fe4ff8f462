"""The end of a connection in order: this side's first, then what still comes, then the descriptor."""

from __future__ import annotations

import socket

import anyio

LINGER = 0.5  # seconds for the peer's own end after this side's: many round trips
AT_ONCE = 0.0  # the same where the descriptor is needed: only what is here already is read
LINGER_MOST = 1 << 20  # bytes read and thrown away meanwhile
STEP = 1 << 16  # bytes read at once


async def lingering_close(sock: socket.socket, patience: float) -> None:
    """Ends this side, then reads and throws away until the peer has ended its own, or a bound is reached.

    Guards what was sent last: a close over unread bytes sends a reset, and the peer's system then drops the
    answers that its client has not read yet (RFC 9112 9.6).
    """
    scrap, most = bytearray(STEP), LINGER_MOST
    try:
        sock.shutdown(socket.SHUT_WR)
        with anyio.move_on_after(patience):
            while most > 0:
                try:
                    got = sock.recv_into(scrap)
                except (BlockingIOError, InterruptedError):
                    await anyio.wait_readable(sock)
                    continue
                if not got:
                    return
                most -= got
    except (OSError, ValueError, anyio.ClosedResourceError):
        pass  # the peer has reset it: nothing is left to guard
