"""Whether a process is ready to serve: the one place that says so. No I/O here."""

from __future__ import annotations

from collections.abc import Callable

UNHEARD = 1.5  # seconds for the coordinator's first word: one that stalls keeps no front out of service


class Readiness:
    """Asks the parts; `heard` is whether the coordinator has spoken since the start, or there is none."""

    def __init__(
        self, since: float, ready: Callable[[], int], heard: Callable[[], bool], stopping: Callable[[], bool]
    ) -> None:
        self._since, self._ready, self._heard, self._stopping = since, ready, heard, stopping
        self.more: Callable[[], str] = str  # of a part that is not always there

    def lacks(self, now: float) -> str:
        """What is missing; nothing when it is ready."""
        if self._stopping():
            return "this process is ending"
        if not self._ready():
            return "the list names no member that is ready"
        if not self._heard() and now - self._since < UNHEARD:
            return "the coordinator has not spoken yet"
        return self.more()
