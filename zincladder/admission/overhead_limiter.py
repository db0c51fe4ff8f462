"""Limits the event loop's time for messages that open no request, such as unusable requests and status calls.

Nothing here reads a clock. All times are in seconds on one clock, which the caller reads.
"""

from __future__ import annotations

MAX_SHARE = 0.2  # of the event loop's time
BURST_SECONDS = 0.02  # such messages may take this much time at once, after a time without any


class OverheadLimiter:
    """A token bucket of event loop time for such messages, over all connections.

    A message is charged after it was handled, since nothing is known of it before. The connection that sent
    it then waits for its turn; other connections do not.
    """

    def __init__(self) -> None:
        self._credit_seconds, self._updated_at = BURST_SECONDS, 0.0

    def _update(self, now: float) -> None:
        earned = MAX_SHARE * max(0.0, now - self._updated_at)
        self._credit_seconds, self._updated_at = min(BURST_SECONDS, self._credit_seconds + earned), now

    def charge(self, seconds: float, now: float) -> None:
        """Charges the time that a message has taken; a negative number returns what was charged too much."""
        self._update(now)
        self._credit_seconds = min(BURST_SECONDS, self._credit_seconds - seconds)

    def wait_seconds(self, now: float) -> float:
        """Returns the time after which the next message may be read; 0: at once."""
        self._update(now)
        return max(0.0, -self._credit_seconds / MAX_SHARE)
