"""Estimates when a message arrived on a socket. No I/O; times are seconds of one monotonic clock.

A client's timeout runs from the moment at which it sends the request. A process that stalls or reads late
must not measure the timeout from its own read, or it would work on requests whose clients no longer wait. Not
every operating system reports when a byte arrived, so the arrival is bounded instead: it came after the event
loop, or a reader, last found that the socket had no unread bytes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

# A message that was unread for at most this long counts as read at once; its deadline may be late by as much.
PROMPT_READ_SECONDS = 0.05
# The newest iteration may be the one whose poll reported the bytes, and the one before it may have slept
# until they arrived. Only the oldest of three was certainly recorded before they arrived.
ITERATIONS_KEPT = 3


class LoopIterations:
    """The times of the latest iterations of the event loop."""

    def __init__(self, now: float) -> None:
        self._iterations = deque([now] * ITERATIONS_KEPT, maxlen=ITERATIONS_KEPT)

    def record_iteration(self, now: float) -> None:
        """Records that the event loop has polled all its sockets and run an iteration."""
        self._iterations.append(now)

    @property
    def last_polled_at(self) -> float:
        """A time at which the loop has polled: bytes that it has not reported yet arrived after this time."""
        return self._iterations[0]


class ArrivalBound:
    """The earliest time at which the unread bytes of one socket can have arrived."""

    def __init__(self, loop_iterations: LoopIterations, arrived_after: float) -> None:
        """`arrived_after` is the bound for the first bytes, which may have arrived already."""
        self._loop_iterations = loop_iterations
        self.arrived_after = self._drained_at = self._waiting_since = arrived_after

    def record_reader_waiting(self, now: float) -> None:
        """Records that the reader begins to wait for bytes; until now it may have been busy elsewhere."""
        self._waiting_since = now

    def record_reader_woken(self, now: float) -> None:
        """Records that the event loop reported the socket readable, and updates `arrived_after`."""
        last_polled_at = self._loop_iterations.last_polled_at
        paused = self._waiting_since - self._drained_at
        if last_polled_at > self._waiting_since or paused <= PROMPT_READ_SECONDS:
            self.arrived_after = min(now, max(self._waiting_since, last_polled_at))
        else:
            self.arrived_after = self._drained_at

    def record_reader_drained(self, now: float) -> None:
        """Records that the reader has read all bytes of the socket."""
        self._drained_at = now

    def unread_seconds(self, noticed_at: float, newest_byte_age: Callable[[], float | None]) -> float:
        """Returns for how many seconds a message was unread when it was noticed, or an upper bound for it.

        `newest_byte_age` returns the age in seconds that the newest byte had when the message was noticed, or
        None if that age does not apply to this message. Without it the longest possible time is returned: a
        shorter one would let endpoints work for clients that no longer wait.
        """
        longest = noticed_at - self.arrived_after
        if longest <= PROMPT_READ_SECONDS:
            return 0.0
        known = newest_byte_age()
        return longest if known is None else min(longest, max(0.0, known))
