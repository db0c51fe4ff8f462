"""Listening sockets, and a loop that accepts their connections until it is cancelled."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import anyio
import anyio.abc
import anyio.lowlevel
from anyio.streams.stapled import MultiListener

BACKLOG = 1024  # connections in the kernel's listen queue
# Errors of accept(2) that report a lack of file descriptors or memory.
SHORTAGE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# The delay before a failed accept is retried: the system is out of descriptors, and one may be freed soon.
ACCEPT_RETRY_SECONDS = 0.05


class LogWarning(Protocol):
    """A function that logs a warning. One with a rate limit keeps a peer from flooding the log."""

    def __call__(self, event: str, *, reason: str) -> None:
        """Logs one warning."""


def address_family(host: str) -> socket.AddressFamily:
    """Returns the address family of an IP address."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def open_listener(address: tuple[str, int]) -> socket.socket:
    """Opens a listening socket for IPv4 or IPv6; the address '::' accepts both.

    Raises:
        OSError: The address cannot be listened on.
    """
    sock = socket.socket(address_family(address[0]), socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # During an upgrade the new process listens on this address before the old one ends.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        if sock.family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, address[0] != "::")
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


async def accept_connections(
    listener: socket.socket, handle: Callable[[socket.socket, str], None], warn: LogWarning
) -> None:
    """Calls `handle` with each new connection and its peer's host, until cancelled.

    The host of a unix socket is empty. A failed accept concerns one connection or passes by: it is logged
    and retried. The host is that of accept(2), since a socket whose peer has reset it does not know its peer.
    """
    while True:
        await anyio.wait_readable(listener)
        try:
            sock, peer = listener.accept()
        except (BlockingIOError, InterruptedError):
            continue
        except OSError as error:
            warn("failed to accept a connection", reason=str(error))
            await anyio.sleep(ACCEPT_RETRY_SECONDS)
            continue
        handle(sock, peer[0] if peer else "")
        await anyio.lowlevel.checkpoint()


async def accept_streams(
    listener: MultiListener[anyio.abc.SocketStream],
    handle: Callable[[anyio.abc.SocketStream], Coroutine[Any, Any, None]],
    warn: LogWarning,
) -> None:
    """Runs `handle` in a task for each new connection, until cancelled.

    A failed accept is logged and retried. `handle` must not raise.
    """
    async with anyio.create_task_group() as tasks:
        for part in listener.listeners:
            assert isinstance(part, anyio.abc.SocketListener)
            tasks.start_soon(_accept_streams_of, part, handle, tasks, warn)


async def _accept_streams_of(
    listener: anyio.abc.SocketListener,
    handle: Callable[[anyio.abc.SocketStream], Coroutine[Any, Any, None]],
    tasks: anyio.abc.TaskGroup,
    warn: LogWarning,
) -> None:
    while True:
        try:
            stream = await listener.accept()
        except OSError as error:
            warn("failed to accept a connection", reason=str(error))
            await anyio.sleep(ACCEPT_RETRY_SECONDS)
            continue
        tasks.start_soon(handle, stream)
