"""Whether a process is ready to serve; the one place that decides it. No I/O."""

from __future__ import annotations

from collections.abc import Callable


class Readiness:
    """Asks the parts of a front.

    Parameters: `ready_endpoints` counts those that can serve, `has_synced` is whether the list could be
    relied on at some moment since the start, `stopping` whether the process is draining, and
    `policy_missing` what the fleet's policy lacks, or "".
    """

    def __init__(
        self,
        ready_endpoints: Callable[[], int],
        has_synced: Callable[[], bool],
        stopping: Callable[[], bool],
        policy_missing: Callable[[], str] = str,
    ) -> None:
        self._ready_endpoints, self._has_synced = ready_endpoints, has_synced
        self._stopping, self._policy_missing = stopping, policy_missing

    def missing(self) -> str:
        """The first thing that is missing, as READY answers it; "" when the process is ready."""
        if self._stopping():
            return "this process is ending"
        if not self._ready_endpoints():
            return "the list names no member that is ready"
        if not self._has_synced():
            return "the coordinator has not spoken yet"
        return self._policy_missing()
