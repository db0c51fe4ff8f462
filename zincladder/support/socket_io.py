"""Reads and writes non-blocking sockets in tasks."""

from __future__ import annotations

import socket

import anyio


async def receive(sock: socket.socket, max_bytes: int) -> bytes:
    """Returns the next bytes of a connection; empty if the peer has closed it.

    Raises OSError if the connection was lost.
    """
    while True:
        try:
            return sock.recv(max_bytes)
        except (BlockingIOError, InterruptedError):
            await anyio.wait_readable(sock)


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Writes all of `data`. Raises OSError if the connection was lost."""
    remaining = memoryview(data)
    while remaining:
        try:
            remaining = remaining[sock.send(remaining) :]
        except (BlockingIOError, InterruptedError):
            await anyio.wait_writable(sock)
