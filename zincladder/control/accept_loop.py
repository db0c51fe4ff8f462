"""Accepting connections of operators, of which few come and none may be kept waiting."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

import anyio
import anyio.lowlevel

RETRY_SECONDS = 0.05  # after a fault: the system is out of descriptors, and may have one soon


class Warn(Protocol):
    """A function that logs a warning, at a rate that a peer cannot drive."""

    def __call__(self, event: str, *, reason: str) -> None:
        """Log one line."""


async def accept_connections(
    listening: socket.socket, handle: Callable[[socket.socket], None], warn: Warn
) -> None:
    """Call `handle` with each connection, until cancelled. A fault of the system is logged and retried."""
    while True:
        await anyio.wait_readable(listening)
        try:
            sock, _ = listening.accept()
        except (BlockingIOError, InterruptedError):
            continue
        except OSError as error:
            warn("operator connection not accepted", reason=str(error))
            await anyio.sleep(RETRY_SECONDS)
            continue
        handle(sock)
        await anyio.lowlevel.checkpoint()
