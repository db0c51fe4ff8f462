"""The fence where a lease holder's effect arrives: rejects older tokens than the newest one seen. No I/O.

Its host stores what `admit` has raised, and syncs it, before the effect: a fence that forgets over a restart
would let a former lease holder in.
"""

from __future__ import annotations

from collections.abc import Mapping

MAX_TASKS = 256


class Fence:
    """The highest token seen of each task, at one receiver."""

    def __init__(self, highest: Mapping[str, int] | None = None) -> None:
        self.highest = dict(highest or {})
        self.rejected = 0

    def admit(self, task: str, token: int) -> str:
        """Empty where an effect under this token may be made, which bars all older ones; else the reason."""
        newest = self.highest.get(task, 0)
        if token < newest or token < 1:
            self.rejected += 1
            return f"task {task!r}: token {token} is older than {newest}, which was admitted here"
        if newest == 0 and len(self.highest) >= MAX_TASKS:
            self.rejected += 1
            return f"{MAX_TASKS} tasks at most"
        self.highest[task] = token
        return ""
