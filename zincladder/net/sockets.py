"""Opens connections, and queries their unread and unsent bytes and whether the peer has closed them."""

from __future__ import annotations

import select
import socket
import struct
from typing import NamedTuple

import anyio

from zincladder.support.listeners import address_family
from zincladder.support.send_buffer import unacknowledged_bytes

MAX_PEEK_BYTES = 1 << 16
_PEEK_BUFFER = bytearray(MAX_PEEK_BYTES)
TCP_INFO_BYTES, LAST_DATA_RECV_OFFSET, _LAST_DATA_RECV = 104, 52, struct.Struct("=I")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER: close sends a reset and drops unsent bytes


class UnreadInput(NamedTuple):
    """The input of a connection that the kernel has received and the process has not read."""

    data: bytes  # its first bytes
    closed_by_peer: bool  # the peer has closed or reset the connection


def peek_unread(sock: socket.socket, max_bytes: int = MAX_PEEK_BYTES) -> UnreadInput:
    """Returns the unread input of a socket without consuming it.

    While bytes are unread, the peer's close behind them is visible only as POLLRDHUP.
    """
    try:
        size = sock.recv_into(_PEEK_BUFFER, max_bytes, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return UnreadInput(b"", False)
    except OSError:
        return UnreadInput(b"", True)
    if not size:
        return UnreadInput(b"", True)
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return UnreadInput(bytes(memoryview(_PEEK_BUFFER)[:size]), bool(poll.poll(0)))


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Returns whether the peer's close or reset of the connection has arrived."""
    return peek_unread(sock, 1).closed_by_peer


def newest_byte_age_seconds(sock: socket.socket) -> float | None:
    """Returns the seconds since the newest byte of a connection arrived, read or not.

    Returns None if the kernel does not report it. It is `tcpi_last_data_recv` of TCP_INFO (tcp(7),
    linux/tcp.h), in milliseconds.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < TCP_INFO_BYTES or not info[0]:  # 0 is no TCP state: the kernel does not report it
        return None
    return int(_LAST_DATA_RECV.unpack_from(info, LAST_DATA_RECV_OFFSET)[0]) / 1000


def has_unsent_bytes(sock: socket.socket) -> bool:
    """Returns whether written bytes are unsent or unacknowledged; False if the kernel does not report it."""
    return unacknowledged_bytes(sock) > 0


async def connect(host: str, port: int) -> socket.socket:
    """Opens a connection; cancelling the call closes the socket.

    Raises:
        OSError: The connection was not established.
    """
    sock = socket.socket(address_family(host), socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            sock.connect((host, port))
        except BlockingIOError:
            await anyio.wait_writable(sock)
            fault = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if fault:
                raise OSError(fault, "connect") from None
    except BaseException:
        sock.close()
        raise
    return sock
