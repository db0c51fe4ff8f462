"""The fence where an owner's effect arrives: whoever has seen a newer owner takes nothing from an older one.

No I/O. Its host writes what `admit` has raised, and syncs it, before the effect: a fence that forgets over a
restart would let the old owner in.
"""

from __future__ import annotations

from collections.abc import Mapping

MAX_TASKS = 256


class Fence:
    """The highest token seen of each duty, at one receiver."""

    def __init__(self, highest: Mapping[str, int] | None = None) -> None:
        self.highest = dict(highest or {})
        self.refused = 0

    def admit(self, duty: str, token: int) -> str:
        """Empty where an effect under this token may be made, which bars all older ones; else why not."""
        seen = self.highest.get(duty, 0)
        if token < seen or token < 1:
            self.refused += 1
            return f"duty {duty!r}: token {token} is older than {seen}, which has worked here"
        if seen == 0 and len(self.highest) >= MAX_TASKS:
            self.refused += 1
            return f"{MAX_TASKS} duties at most"
        self.highest[duty] = token
        return ""
