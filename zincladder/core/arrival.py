"""Since when a message may have lain unread. No I/O; times are seconds of one monotonic clock.

A client's time counts from when it sent its request. A process that is late, or that stood still, reads the
request later, and would count on time that the client no longer has. Not every system tells when a byte came
in; what is known is when the event loop, or a reader, last found that nothing was there.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

NOTICED = 0.05  # seconds: what may have lain no longer counts as read at once; all limits grow by as much
# The newest turn may be of the look that found the bytes, and the one before of the time in which it slept.
TURNS_KEPT = 3


class LoopTurns:
    """When the event loop had its latest turns."""

    def __init__(self, now: float) -> None:
        self._turns = deque([now] * TURNS_KEPT, maxlen=TURNS_KEPT)

    def turned(self, now: float) -> None:
        """The loop has looked at all that it waits for, and had a turn."""
        self._turns.append(now)

    @property
    def looked_at(self) -> float:
        """What the loop waits for and has not told of by now came in after this time."""
        return self._turns[0]


class ArrivalBound:
    """The earliest time at which what a reader finds on one socket can have come in."""

    def __init__(self, turns: LoopTurns, came_after: float) -> None:
        """`came_after` bounds the first bytes, which may lie there already."""
        self._turns = turns
        self.came_after = self._emptied_at = self._waits_since = came_after

    def waits(self, now: float) -> None:
        """The reader waits in the event loop from now on; before that it may have looked elsewhere."""
        self._waits_since = now

    def noticed(self, now: float) -> None:
        """The reader goes on, as something is there."""
        looked_at = self._turns.looked_at
        paused = self._waits_since - self._emptied_at
        if looked_at > self._waits_since or paused <= NOTICED:
            self.came_after = min(now, max(self._waits_since, looked_at))
        else:
            self.came_after = self._emptied_at

    def emptied(self, now: float) -> None:
        """The reader has taken all that was there."""
        self._emptied_at = now

    def age(self, noticed: float, newest: Callable[[], float | None]) -> float:
        """For how many seconds a message lay there when it was noticed, by what is known.

        `newest` gives the seconds from the newest byte to that moment, or None where that tells nothing of
        this message. Without it the longest possible time counts: who counts less works for nobody.
        """
        longest = noticed - self.came_after
        if longest <= NOTICED:
            return 0.0
        known = newest()
        return longest if known is None else min(longest, max(0.0, known))
