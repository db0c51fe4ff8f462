"""The clock of the core."""

from __future__ import annotations

import time


class Clock:
    """Unix time that never steps back: deadlines of open requests must not move with the system's clock."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Seconds since the epoch."""
        return time.monotonic() + self._offset
