"""Checks fencing tokens at a receiver: rejects a token that is older than the newest one admitted. No I/O.

The host has to store `highest` durably after each `admit` and before it applies the write. If the tokens were
lost in a restart, a former lease holder could write again.
"""

from __future__ import annotations

from collections.abc import Mapping

MAX_TASKS = 256


class Fence:
    """The highest fencing token that one receiver has admitted for each task."""

    def __init__(self, highest: Mapping[str, int] | None = None) -> None:
        self.highest = dict(highest or {})
        self.rejected = 0

    def admit(self, task: str, token: int) -> str:
        """Admits a write under this token, or rejects it.

        Returns an empty string if the write is admitted; all older tokens are rejected from then on. Else
        returns the reason for the rejection.
        """
        newest = self.highest.get(task, 0)
        if token < newest or token < 1:
            self.rejected += 1
            return f"task {task!r}: token {token} is older than {newest}, which was admitted here"
        if newest == 0 and len(self.highest) >= MAX_TASKS:
            self.rejected += 1
            return f"{MAX_TASKS} tasks at most"
        self.highest[task] = token
        return ""
