"""Whether a process is ready to serve: the one place that says so. No I/O here."""

from __future__ import annotations

from collections.abc import Callable


class Readiness:
    """Asks the parts; `settled` is whether requests could be decided at some moment since the start."""

    def __init__(
        self, ready: Callable[[], int], settled: Callable[[], bool], stopping: Callable[[], bool]
    ) -> None:
        self._ready, self._settled, self._stopping = ready, settled, stopping
        self.more: Callable[[], str] = str  # of a part that is not always there

    def lacks(self) -> str:
        """What is missing; nothing when it is ready."""
        if self._stopping():
            return "this process is ending"
        if not self._ready():
            return "the list names no member that is ready"
        if not self._settled():
            return "the coordinator has not spoken yet"
        return self.more()
