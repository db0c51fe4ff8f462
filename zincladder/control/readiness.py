"""Decides whether a process is ready to serve requests; no other module decides it. No I/O."""

from __future__ import annotations

from collections.abc import Callable


class Readiness:
    """Determines readiness from the state of the parts of a front.

    Args:
        ready_endpoints: Returns the number of endpoints that can serve.
        has_synced: Returns whether the endpoint list has been usable at some moment since the start.
        stopping: Returns whether the process is draining.
        policy_missing: Returns why the fleet's policy does not let the front serve; "" if it does.
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
        """Returns the first unmet condition, as READY answers it; "" if the process is ready."""
        if self._stopping():
            return "this process is ending"
        if not self._ready_endpoints():
            return "the list names no member that is ready"
        if not self._has_synced():
            return "the coordinator has not spoken yet"
        return self._policy_missing()
