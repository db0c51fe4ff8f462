"""The times of recent purges. No I/O."""

from __future__ import annotations

NEVER_PURGED = float("-inf")


class Purges:
    """The last purge times of objects and groups, kept until no endpoint has older copies."""

    def __init__(self) -> None:
        self._purged_at: dict[tuple[int | None, int], float] = {}

    def record(
        self, object_id: int | None, group: int, purged_at: float, now: float, done_seconds: float
    ) -> None:
        """Records a purge of one object, or of its whole group if `object_id` is `None`.

        `done_seconds` is the time after which all endpoints have dropped the older copies.
        """
        self._purged_at = {key: at for key, at in self._purged_at.items() if now - at <= done_seconds}
        key = (None, group) if object_id is None else (object_id, -1)
        self._purged_at[key] = max(purged_at, self._purged_at.get(key, now - done_seconds))

    def age(self, object_id: int, group: int, now: float) -> float:
        """Returns the seconds since the last purge of an object or its group; infinity if there is none."""
        object_purged_at = self._purged_at.get((object_id, -1), NEVER_PURGED)
        group_purged_at = self._purged_at.get((None, group), NEVER_PURGED)
        return now - max(object_purged_at, group_purged_at)
