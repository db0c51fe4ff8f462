"""A queue of the timers that the router has set, earliest first. No I/O."""

from __future__ import annotations

import heapq
from typing import NamedTuple


class Timer(NamedTuple):
    """One timer. Timers compare as tuples, so timers of the same time are ordered by token."""

    fires_at: float
    token: int


class TimerQueue:
    """A heap that the core polls at each tick; a sleeping task for each timer would cost far more."""

    __slots__ = ("_timers",)

    def __init__(self) -> None:
        self._timers: list[Timer] = []

    def set(self, fires_at: float, token: int) -> None:
        """Adds a timer that fires at the given time of the core's clock."""
        heapq.heappush(self._timers, Timer(fires_at, token))

    def pop_due(self, now: float) -> int | None:
        """Removes the earliest timer that is due and returns its token, or returns None if none is due."""
        if self._timers and self._timers[0].fires_at <= now:
            return heapq.heappop(self._timers).token
        return None
