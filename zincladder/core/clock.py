"""The clock by which the core keeps deadlines and timers."""

from __future__ import annotations

import time


class Clock:
    """A clock that starts at the Unix time and advances with the monotonic clock.

    It never steps, so that an adjustment of the wall clock does not move the deadlines of open requests.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Returns the time in seconds since the Unix epoch."""
        return time.monotonic() + self._offset
