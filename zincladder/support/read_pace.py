"""Judges whether a peer takes what is sent to it at the least pace that is asked of it. No I/O.

Whether a socket can be written to does not tell: the system reports it only when about a third of the send
buffer is free, which is a megabyte or more on a fast network, and a peer may read for seconds until then.
"""

from __future__ import annotations

# An eighth of what the platform's slow clients read; a peer that takes less may lose its connection, but only
# where others wait for what it holds.
MIN_READ_BYTES_PER_SECOND = 128 << 10
# A client that reads a megabyte once a second is never further behind than a second.
MAX_BEHIND_SECONDS = 1.5


class ReadPace:
    """How far one peer is behind the least pace.

    Each byte that it takes pays for the time in which the least pace would have taken it. Time is not paid in
    advance, so a fast start buys no pause later.
    """

    __slots__ = ("_paid_until", "_taken_at", "_taken_bytes")

    def __init__(self, taken_bytes: int, now: float) -> None:
        """Starts with the number of bytes that the peer has taken until `now`, in seconds of any clock."""
        self._taken_bytes = taken_bytes
        self._paid_until = self._taken_at = now

    def record(self, taken_bytes: int, now: float) -> None:
        """Records how many bytes the peer has taken until `now`, counted from the connection's start."""
        progress = taken_bytes - self._taken_bytes
        if progress <= 0:
            return
        self._taken_bytes, self._taken_at = taken_bytes, now
        self._paid_until = min(now, self._paid_until + progress / MIN_READ_BYTES_PER_SECOND)

    def behind_seconds(self, now: float) -> float:
        """Returns for how many seconds the peer has owed the least pace."""
        return now - self._paid_until

    def silent_seconds(self, now: float) -> float:
        """Returns for how many seconds the peer has taken nothing."""
        return now - self._taken_at
