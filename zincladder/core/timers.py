"""The timers that the router has set, earliest first. No I/O."""

from __future__ import annotations

import heapq
from typing import NamedTuple


class Timer(NamedTuple):
    """One timer; tuples keep the order of equal times by token."""

    fires_at: float
    token: int


class TimerQueue:
    """A heap that is polled on each tick of the core: a sleeping task for each timer costs far more."""

    __slots__ = ("_timers",)

    def __init__(self) -> None:
        self._timers: list[Timer] = []

    def set(self, fires_at: float, token: int) -> None:
        """Adds a timer that fires at a time of the core's clock."""
        heapq.heappush(self._timers, Timer(fires_at, token))

    def pop_due(self, now: float) -> int | None:
        """Removes the earliest timer that is due and returns its token; None where none is."""
        if self._timers and self._timers[0].fires_at <= now:
            return heapq.heappop(self._timers).token
        return None
