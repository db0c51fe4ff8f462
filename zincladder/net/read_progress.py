"""Whether a client takes the answers that were written to its connection."""

from __future__ import annotations

import socket

from zincladder.net.write_queue import WriteQueue
from zincladder.support.read_pace import MAX_BEHIND_SECONDS, ReadPace
from zincladder.support.send_buffer import untransmitted_bytes

# A client that takes nothing for this long reads no more; the same holds while its answers wait in the queue.
MAX_SILENT_SECONDS = 2.2
SLOW_CLIENT_UNREAD_SECONDS = 0.3  # a client that has had answers on their way for this long reads slowly
# After the last byte was transmitted, a slow client may take this long to read what its system has received.
RECEIVED_READ_SECONDS = 1.0


class ReadProgress:
    """Follows what one client has acknowledged of its answers, for as long as some are on their way.

    Answers are on their way while they wait in the write queue, or in the system's send buffer because the
    client's receive buffer is full. All times are in seconds of the monotonic clock.
    """

    __slots__ = ("_delivered_bytes", "_pace", "_slow_until", "_sock", "_unread_since", "_write_queue")

    def __init__(self, sock: socket.socket, write_queue: WriteQueue) -> None:
        self._sock, self._write_queue = sock, write_queue
        self._pace: ReadPace | None = None  # None if no answer is on its way
        self._unread_since = 0.0  # when answers were first seen on their way, if some are
        self._slow_until = 0.0  # so long a client that has read slowly may read what its system has received
        self._delivered_bytes = 0  # as many had been written when none was on its way

    def has_unread(self, now: float) -> bool:
        """Returns whether answers are on their way, and records what the client has taken of them."""
        queue = self._write_queue
        if not queue.size and queue.written == self._delivered_bytes:
            return False
        if not queue.size and not untransmitted_bytes(self._sock):
            if self._reads_slowly(now):
                self._slow_until = now + RECEIVED_READ_SECONDS
            self._delivered_bytes, self._pace = queue.written, None
            return False
        taken = queue.acknowledged_bytes()
        if self._pace is None:
            self._pace, self._unread_since = ReadPace(taken, now), now
        self._pace.record(taken, now)
        return True

    def is_behind(self, now: float) -> bool:
        """Returns whether answers are on their way and the client is behind the least pace."""
        if self._pace is not None and self._pace.behind_seconds(now) < MAX_BEHIND_SECONDS:
            return False  # without a query: what the client has taken since can't put it behind
        return self.has_unread(now) and self.behind_seconds(now) >= MAX_BEHIND_SECONDS

    def keeps_pace(self, now: float) -> bool:
        """Returns whether answers are on their way, and the client is not behind with them."""
        return self.has_unread(now) and not self.is_behind(now)

    def is_reading(self, now: float) -> bool:
        """Returns whether a client reads, or may still read, answers that it has not taken at once."""
        if not self.has_unread(now):
            return now < self._slow_until
        return self.silent_seconds(now) < MAX_SILENT_SECONDS

    def may_be_evicted(self, now: float) -> bool:
        """Returns whether others that wait may take its descriptor: it is behind, or has read everything."""
        return self.is_behind(now) if self.has_unread(now) else now >= self._slow_until

    def reads_slowly(self, now: float) -> bool:
        """Returns whether answers have been on their way for a while."""
        return self.has_unread(now) and self._reads_slowly(now)

    def _reads_slowly(self, now: float) -> bool:
        return self._pace is not None and now - self._unread_since >= SLOW_CLIENT_UNREAD_SECONDS

    def behind_seconds(self, now: float) -> float:
        """Returns how far the client was behind when it was last looked at."""
        return 0.0 if self._pace is None else self._pace.behind_seconds(now)

    def silent_seconds(self, now: float) -> float:
        """Returns for how long the client had taken nothing when it was last looked at."""
        return 0.0 if self._pace is None else self._pace.silent_seconds(now)
