"""The lag of the event loop, and the stalls of the process, measured at each tick of the core."""

from __future__ import annotations

from time import monotonic

import anyio
import anyio.lowlevel

from zincladder.core.arrival import LoopTurns

TICK_SECONDS = 0.01  # between two ticks, at which timers fire
STALL_SECONDS = 0.1  # lateness from which the process counts as stalled: time-outs then prove nothing
CATCH_UP_TURNS = 4  # of the loop: poll, read, hear of the attempt's end, notify the router


class LoopMonitor:
    """How late the event loop is; all times are of the monotonic clock, in seconds."""

    def __init__(self) -> None:
        self.turns = LoopTurns(monotonic())
        self.stalled_seconds = 0.0  # in all, since the start
        self.lag_seconds = 0.0  # the lesser lateness of the last two ticks: one alone is a short pause
        self._last_lag_seconds = 0.0
        self._ticked_at = monotonic()

    def start(self) -> None:
        """Begins to measure: called once, as the core begins to run."""
        self._ticked_at = monotonic()

    async def sleep_until_tick(self) -> float:
        """Sleeps for one tick; returns the seconds for which the process stalled since the last, or 0."""
        sleeps_at = monotonic()
        await anyio.sleep(TICK_SECONDS)
        now = monotonic()
        lag, previous_lag = now - sleeps_at - TICK_SECONDS, self._last_lag_seconds
        self._last_lag_seconds, self.lag_seconds = lag, min(lag, previous_lag)
        # From tick to tick: a stall may also lie between two sleeps.
        stalled, self._ticked_at = now - self._ticked_at - TICK_SECONDS, now
        if stalled <= STALL_SECONDS:
            return 0.0
        self.stalled_seconds += stalled
        return stalled


async def let_readers_catch_up() -> None:
    """Yields until what arrived during a stall has been read.

    Guards endpoints against timers that would judge them silent while their answers lie unread.
    """
    for _ in range(CATCH_UP_TURNS):
        await anyio.lowlevel.checkpoint()
