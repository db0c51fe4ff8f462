"""Accepts operators' connections: there are few of them, and they must not be kept waiting."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

import anyio
import anyio.lowlevel

# The delay before a failed accept is retried: the system is out of descriptors, and one may be freed soon.
ACCEPT_RETRY_SECONDS = 0.05


class LogWarning(Protocol):
    """A function that logs a warning. One with a rate limit keeps a peer from flooding the log."""

    def __call__(self, event: str, *, reason: str) -> None:
        """Logs one warning."""


async def accept_connections(
    listener: socket.socket, handle: Callable[[socket.socket], None], warn: LogWarning
) -> None:
    """Calls `handle` with each new connection until cancelled; logs a failed accept and retries it."""
    while True:
        await anyio.wait_readable(listener)
        try:
            sock, _ = listener.accept()
        except (BlockingIOError, InterruptedError):
            continue
        except OSError as error:
            warn("failed to accept an operator connection", reason=str(error))
            await anyio.sleep(ACCEPT_RETRY_SECONDS)
            continue
        handle(sock)
        await anyio.lowlevel.checkpoint()
