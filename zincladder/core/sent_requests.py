"""Remembers which requests that must not run twice may have run. No I/O.

A client may leave and send the same request again under its id, on another connection or to another process
of this front. The id says that it is the same request, and the first one may have run.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

REMEMBERED_SECONDS = 30.0  # far above the timeouts of requests
MAX_REMEMBERED = 8192  # the oldest are forgotten first


def notify_nobody(trace: str) -> None:
    """The default for `on_sent` and `on_unsent`: does nothing."""


def poll_nobody() -> None:
    """The default for `poll_others`: does nothing."""


class SentRequests:
    """The ids of such requests; times are seconds of the core's clock.

    `on_sent` and `on_unsent` notify the other processes of this front, and `poll_others` processes their
    notifications that are unread. A process notifies the others before it sends a request, and reads their
    notifications before that, so that no two of them send the same.
    """

    def __init__(self) -> None:
        self._sent_at: dict[str, float] = {}  # by id, oldest first
        self.on_sent: Callable[[str], None] = notify_nobody
        self.on_unsent: Callable[[str], None] = notify_nobody
        self.poll_others: Callable[[], None] = poll_nobody

    def record(self, trace: str, now: float) -> None:
        """Records that a request of this process is about to be sent."""
        if trace not in self._sent_at:
            self.add(trace, now)
            self.on_sent(trace)

    def forget(self, trace: str) -> None:
        """Records that a request of this process certainly did not run."""
        if self._sent_at.pop(trace, None) is not None:
            self.on_unsent(trace)

    def add(self, trace: str, now: float) -> None:
        """Records a request of another process."""
        self._sent_at.pop(trace, None)
        self._sent_at[trace] = now
        while len(self._sent_at) > MAX_REMEMBERED or self._oldest() < now - REMEMBERED_SECONDS:
            del self._sent_at[next(iter(self._sent_at))]

    def discard(self, trace: str) -> None:
        """Forgets a request of another process."""
        self._sent_at.pop(trace, None)

    def may_have_run(self, trace: str, now: float) -> bool:
        """Returns whether a request with this id was sent lately and may have run."""
        self.poll_others()
        sent_at = self._sent_at.get(trace)
        return sent_at is not None and sent_at >= now - REMEMBERED_SECONDS

    def _oldest(self) -> float:
        return next(iter(self._sent_at.values()))

    def __iter__(self) -> Iterator[str]:
        return iter(self._sent_at)
