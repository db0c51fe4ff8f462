"""The bounded table of sources: addresses that have had a slot or a strike, with their recent behavior."""

from __future__ import annotations

from collections.abc import Iterator

from zincladder.admission.lrfu import LrfuSet
from zincladder.admission.model import Source

ACCESS_COUNT_HALF_LIFE_SECONDS = 20.0  # the access counts decide which source is removed
# Fractions of the table that known sources and sources under a penalty may fill.
MAX_KNOWN_FRACTION, MAX_LIMITED_FRACTION = 0.5, 0.25


class SourceTable:
    """A table of at most `max_sources` sources, or of all that have slots if these are more.

    Sources without a slot are in one of three sets, each with its own bound: known sources, sources under a
    penalty, and all others, which are transient. Once the table is full, a new source replaces a transient
    one; if there is none, a known one, or else one under a penalty. A source with a slot is in no set and is
    never removed.
    """

    def __init__(self, max_sources: int) -> None:
        self.max_sources = max_sources
        self._sources: dict[int, Source] = {}
        self._transient = LrfuSet(ACCESS_COUNT_HALF_LIFE_SECONDS)
        self._known = LrfuSet(ACCESS_COUNT_HALF_LIFE_SECONDS)
        self._limited = LrfuSet(ACCESS_COUNT_HALF_LIFE_SECONDS)
        self.find = self._sources.get  # returns the source of a key, or None

    def __len__(self) -> int:
        return len(self._sources)

    def __iter__(self) -> Iterator[Source]:
        return iter(self._sources.values())

    def record_access(self, source: Source, now: float) -> None:
        """Count a new connection of a source that is in the table."""
        (source.lrfu_set or self._transient).record_access(source, now)

    def find_or_create(self, key: int, now: float) -> Source:
        """Return the source of a key, and create it if the table does not hold it."""
        source = self._sources.get(key)
        if source is not None:
            return source
        while len(self._sources) >= self.max_sources and self._remove_least():
            pass
        source = self._sources[key] = Source(key)
        self._transient.record_access(source, now)
        self._transient.add(source)
        return source

    def _remove_least(self) -> bool:
        """Remove the least used source of the first set that is not empty, to make room in the table.

        Returns False if all sources have slots; their number is bounded by that of the connections.
        """
        for sources in (self._transient, self._known, self._limited):
            source = sources.least()
            if source is not None:
                sources.remove(source)
                del self._sources[source.key]
                return True
        return False

    def add_slot(self, source: Source) -> None:
        """Count one more slot of a source, which cannot be removed from the table while it has any."""
        source.slot_count += 1
        if source.lrfu_set is not None:
            source.lrfu_set.remove(source)

    def remove_slot(self, source: Source, *, known: bool, limited: bool) -> None:
        """Count one slot less of a source; without slots it may be removed from the table."""
        source.slot_count -= 1
        self.assign_set(source, known=known, limited=limited)

    def assign_set(self, source: Source, *, known: bool, limited: bool) -> None:
        """Move a source without slots to the set of its lane.

        If that set is full, its least used source moves to the transient set.
        """
        if source.slot_count:
            return
        target, max_size = self._transient, self.max_sources
        if limited:
            target, max_size = self._limited, int(self.max_sources * MAX_LIMITED_FRACTION)
        elif known:
            target, max_size = self._known, int(self.max_sources * MAX_KNOWN_FRACTION)
        if source.lrfu_set is target:
            return
        if source.lrfu_set is not None:
            source.lrfu_set.remove(source)
        if target is not self._transient and target.size >= max(1, max_size):
            least = target.least()
            if least is not None:
                target.remove(least)
                self._transient.add(least)
        target.add(source)
