"""The purges that a front was told of lately. No I/O."""

from __future__ import annotations

NEVER = float("-inf")


class Purges:
    """When objects, and groups of objects, were last purged; kept until no member holds older copies."""

    def __init__(self) -> None:
        self._made: dict[tuple[int | None, int], float] = {}

    def told(self, target: int | None, group: int, made: float, now: float, done: float) -> None:
        """A purge of one object, or (`None`) of a whole group, made at a time in seconds.

        `done` is the time in seconds after which all members have dropped the older copies.
        """
        self._made = {key: at for key, at in self._made.items() if now - at <= done}
        key = (None, group) if target is None else (target, -1)
        self._made[key] = max(made, self._made.get(key, now - done))

    def age(self, target: int, group: int, now: float) -> float:
        """Seconds since an object was last purged, by itself or with its group; else infinite."""
        return now - max(self._made.get((target, -1), NEVER), self._made.get((None, group), NEVER))
