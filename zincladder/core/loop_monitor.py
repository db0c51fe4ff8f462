"""Measures the lag of the event loop and the stalls of the process, at each tick of the core."""

from __future__ import annotations

from time import monotonic

import anyio
import anyio.lowlevel

from zincladder.core.arrival import LoopIterations

TICK_INTERVAL_SECONDS = 0.01  # the core fires timers at each tick
# A tick or a timeout that is later than this shows a stall of the process; such a timeout proves nothing
# about the endpoint.
STALL_SECONDS = 0.1
# Iterations of the event loop from the arrival of an answer to the router's event: poll the socket, read the
# answer, resume the task of the attempt, notify the router.
CATCH_UP_ITERATIONS = 4


class LoopMonitor:
    """Measures how late the event loop runs; all times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self.loop_iterations = LoopIterations(monotonic())
        self.stalled_seconds = 0.0  # total since the start
        self.lag_seconds = 0.0  # the smaller of the last two ticks' lags; one alone may be a short pause
        self._last_lag_seconds = 0.0
        self._ticked_at = monotonic()

    def start(self) -> None:
        """Starts the measurement; called once, when the core starts to run."""
        self._ticked_at = monotonic()

    async def sleep_until_tick(self) -> float:
        """Sleeps for one tick; returns for how many seconds the process stalled since the last tick, or 0."""
        sleep_started_at = monotonic()
        await anyio.sleep(TICK_INTERVAL_SECONDS)
        now = monotonic()
        lag, previous_lag = now - sleep_started_at - TICK_INTERVAL_SECONDS, self._last_lag_seconds
        self._last_lag_seconds, self.lag_seconds = lag, min(lag, previous_lag)
        # Measured from tick to tick, because a stall may also occur between two sleeps.
        stalled, self._ticked_at = now - self._ticked_at - TICK_INTERVAL_SECONDS, now
        if stalled <= STALL_SECONDS:
            return 0.0
        self.stalled_seconds += stalled
        return stalled


async def let_readers_catch_up() -> None:
    """Yields to the event loop until the data that arrived during a stall has been read.

    Otherwise timers would fire first, and endpoints whose answers are still unread would count as timed out.
    """
    for _ in range(CATCH_UP_ITERATIONS):
        await anyio.lowlevel.checkpoint()
