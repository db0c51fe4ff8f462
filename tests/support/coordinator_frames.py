"""Encodes frames of the coordinator, and waits for their effects."""

from __future__ import annotations

import struct
from collections.abc import Callable

import anyio
import anyio.abc


def frame(number: int, kind: int = 0, payload: bytes = b"") -> bytes:
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


def purge(number: int) -> bytes:
    """Encodes event `number`: a purge of the group with the same number."""
    return frame(number, 4, struct.pack(">HQ", number, 1000))


async def until(holds: Callable[[], bool]) -> None:
    with anyio.fail_after(5):
        while not holds():
            await anyio.sleep(0.001)
