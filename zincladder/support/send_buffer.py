"""Queries what the send buffer of a connection still holds."""

from __future__ import annotations

import fcntl
import socket
import termios
from array import array

_SIOCOUTQNSD = 0x894B  # linux/sockios.h, which Python's modules do not have


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns how many written bytes the peer has not acknowledged; 0 if the kernel does not report it."""
    return _query(sock, termios.TIOCOUTQ)  # SIOCOUTQ of tcp(7)


def untransmitted_bytes(sock: socket.socket) -> int:
    """Returns how many written bytes have not been transmitted; 0 if the kernel does not report it.

    They stay behind if the peer's receive buffer is full. Bytes that were transmitted and whose
    acknowledgement is delayed do not count.
    """
    return _query(sock, _SIOCOUTQNSD)


def _query(sock: socket.socket, request: int) -> int:
    size = array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), request, size)
    except OSError:
        return 0
    return size[0]
