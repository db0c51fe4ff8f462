"""Recent purges. No I/O."""

from __future__ import annotations

NEVER = float("-inf")


class Purges:
    """When objects, and groups of objects, were last purged, until no endpoint has older copies."""

    def __init__(self) -> None:
        self._purged_at: dict[tuple[int | None, int], float] = {}

    def record(
        self, target: int | None, group: int, purged_at: float, now: float, done_seconds: float
    ) -> None:
        """A purge of one object, or (`None`) of a whole group.

        `done_seconds` is the time after which all endpoints have dropped the older copies.
        """
        self._purged_at = {key: at for key, at in self._purged_at.items() if now - at <= done_seconds}
        key = (None, group) if target is None else (target, -1)
        self._purged_at[key] = max(purged_at, self._purged_at.get(key, now - done_seconds))

    def age(self, target: int, group: int, now: float) -> float:
        """Seconds since an object was last purged, by itself or with its group; else infinite."""
        by_itself = self._purged_at.get((target, -1), NEVER)
        with_group = self._purged_at.get((None, group), NEVER)
        return now - max(by_itself, with_group)
