"""Taking connections where few callers come, and none of them may be let wait."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

import anyio
import anyio.lowlevel

REST = 0.05  # seconds after a fault: the system has no descriptor, and may have one soon


class Warn(Protocol):
    """Logs a warning, at a rate that a peer cannot drive."""

    def __call__(self, event: str, *, why: str) -> None: ...


async def accepting(listening: socket.socket, take: Callable[[socket.socket], None], warn: Warn) -> None:
    """Hands over each connection until it is cancelled."""
    while True:
        await anyio.wait_readable(listening)
        try:
            sock, _ = listening.accept()
        except (BlockingIOError, InterruptedError):
            continue
        except OSError as fault:
            warn("operators' call not taken", why=str(fault))
            await anyio.sleep(REST)
            continue
        take(sock)
        await anyio.lowlevel.checkpoint()
