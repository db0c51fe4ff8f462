"""Frames of the coordinator as bytes, and a wait for what they cause."""

from __future__ import annotations

import struct
from collections.abc import Callable

import anyio
import anyio.abc


def frame(number: int, kind: int = 0, payload: bytes = b"") -> bytes:
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


def purge(number: int) -> bytes:
    """Event `number`, a purge of the group of that number."""
    return frame(number, 4, struct.pack(">HQ", number, 1000))


async def until(holds: Callable[[], bool]) -> None:
    with anyio.fail_after(5):
        while not holds():
            await anyio.sleep(0.001)
