"""Since when a message may have been unread. No I/O; times are seconds of one monotonic clock.

A client's time counts from when it sent its request. A process that is late, or was stalled, reads the
request later, and would count on time that the client no longer has. Not every system reports when a byte
arrived; what is known is when the event loop, or a reader, last found that nothing was there.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

PROMPT_READ_SECONDS = 0.05  # unread for less counts as read at once; all deadlines grow by as much
# The newest turn may be that of the poll that found the bytes, the one before that in which the loop slept.
TURNS_KEPT = 3


class LoopTurns:
    """When the event loop had its latest turns."""

    def __init__(self, now: float) -> None:
        self._turns = deque([now] * TURNS_KEPT, maxlen=TURNS_KEPT)

    def record_turn(self, now: float) -> None:
        """The loop has polled all that it waits for, and had a turn."""
        self._turns.append(now)

    @property
    def last_polled_at(self) -> float:
        """What the loop waits for and has not reported by now arrived after this time."""
        return self._turns[0]


class ArrivalBound:
    """The earliest time at which what a reader finds on one socket can have arrived."""

    def __init__(self, turns: LoopTurns, arrived_after: float) -> None:
        """`arrived_after` bounds the first bytes, which may be there already."""
        self._turns = turns
        self.arrived_after = self._drained_at = self._waiting_since = arrived_after

    def reader_waits(self, now: float) -> None:
        """The reader waits in the event loop from now on; before that it may not have looked here."""
        self._waiting_since = now

    def reader_woke(self, now: float) -> None:
        """The reader goes on, as something is there."""
        last_polled_at = self._turns.last_polled_at
        paused = self._waiting_since - self._drained_at
        if last_polled_at > self._waiting_since or paused <= PROMPT_READ_SECONDS:
            self.arrived_after = min(now, max(self._waiting_since, last_polled_at))
        else:
            self.arrived_after = self._drained_at

    def reader_drained(self, now: float) -> None:
        """The reader has read all that was there."""
        self._drained_at = now

    def unread_seconds(self, noticed_at: float, newest_byte_age: Callable[[], float | None]) -> float:
        """For how long a message was unread when it was noticed, as far as is known.

        `newest_byte_age` returns the seconds from the newest byte to that moment, or None where that says
        nothing of this message. Without it the longest possible time counts: a shorter one would have work
        done for clients that no longer wait.
        """
        longest = noticed_at - self.arrived_after
        if longest <= PROMPT_READ_SECONDS:
            return 0.0
        known = newest_byte_age()
        return longest if known is None else min(longest, max(0.0, known))
