"""Remembers which writes of this process may have run, so that none of them is sent a second time. No I/O.

A library may repeat a call on the same transport, on one that it opens anew or on another one. So what was
sent is remembered for the process and not for a transport.
"""

from __future__ import annotations

import threading

REMEMBERED_SECONDS = 300.0  # far above the deadline of a call and the pauses of libraries that repeat one
MAX_REMEMBERED = 16_384  # a key takes about 200 bytes; the oldest are forgotten first


class SentWrites:
    """The keys of writes that may have run. May be used by several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sent_at: dict[bytes, float] = {}  # by key, oldest first

    def claim(self, key: bytes, now: float) -> bool:
        """Records that a write is about to be sent; returns False if it may have run already.

        `now` is in seconds of a clock that does not step.
        """
        with self._lock:
            self._forget_old(now)
            if key in self._sent_at:
                return False
            self._sent_at[key] = now
            if len(self._sent_at) > MAX_REMEMBERED:
                del self._sent_at[next(iter(self._sent_at))]
            return True

    def release(self, key: bytes) -> None:
        """Records that a write has certainly not run, or that a later one with the same key is another."""
        with self._lock:
            self._sent_at.pop(key, None)

    def _forget_old(self, now: float) -> None:
        while self._sent_at:
            key, sent_at = next(iter(self._sent_at.items()))
            if now - sent_at < REMEMBERED_SECONDS:
                return
            del self._sent_at[key]

    def __len__(self) -> int:
        return len(self._sent_at)
