"""The bounded record of sources: addresses that have had a slot or a strike, and what they did lately."""

from __future__ import annotations

from collections.abc import Iterator

from zincladder.admission.lrfu import LrfuSet
from zincladder.admission.model import Source

HALF_LIFE_SECONDS = 20.0  # of the count by which a source is remembered
# Parts of the table that sources which are known, or under a penalty, may fill.
MAX_KNOWN_PART, MAX_LIMITED_PART = 0.5, 0.25


class SourceTable:
    """At most `max_sources` addresses, or as many as have slots where those are more.

    Three sets, each with its own bound, keep apart sources that pass by, are known, or are under a penalty:
    a newcomer can push out only one that passes by. A source with a slot is in no set.
    """

    def __init__(self, max_sources: int) -> None:
        self.max_sources = max_sources
        self._sources: dict[int, Source] = {}
        self._passing = LrfuSet(HALF_LIFE_SECONDS)
        self._known = LrfuSet(HALF_LIFE_SECONDS)
        self._limited = LrfuSet(HALF_LIFE_SECONDS)
        self.find = self._sources.get  # the record of a key, or None

    def __len__(self) -> int:
        return len(self._sources)

    def __iter__(self) -> Iterator[Source]:
        return iter(self._sources.values())

    def record_sighting(self, source: Source, now: float) -> None:
        """Count that a recorded source has come again."""
        (source.forgettable_in or self._passing).record_sighting(source, now)

    def obtain(self, key: int, now: float) -> Source:
        """The record of an address, made where there is none."""
        source = self._sources.get(key)
        if source is not None:
            return source
        while len(self._sources) >= self.max_sources and self._forget_one():
            pass
        source = self._sources[key] = Source(key)
        self._passing.record_sighting(source, now)
        self._passing.add(source)
        return source

    def _forget_one(self) -> bool:
        """Forget the least source of the first set that has any.

        Guards the bound. False if all sources have slots; these are bounded with the connections.
        """
        for sources in (self._passing, self._known, self._limited):
            source = sources.least()
            if source is not None:
                sources.remove(source)
                del self._sources[source.key]
                return True
        return False

    def add_slot(self, source: Source) -> None:
        """Count one slot more."""
        source.slot_count += 1
        if source.forgettable_in is not None:
            source.forgettable_in.remove(source)

    def remove_slot(self, source: Source, *, known: bool, limited: bool) -> None:
        """Count one slot less; after its last the source may be forgotten."""
        source.slot_count -= 1
        self.place(source, known=known, limited=limited)

    def place(self, source: Source, *, known: bool, limited: bool) -> None:
        """Put a source without a slot into the set where it belongs now."""
        if source.slot_count:
            return
        target, max_size = self._passing, self.max_sources
        if limited:
            target, max_size = self._limited, int(self.max_sources * MAX_LIMITED_PART)
        elif known:
            target, max_size = self._known, int(self.max_sources * MAX_KNOWN_PART)
        if source.forgettable_in is target:
            return
        if source.forgettable_in is not None:
            source.forgettable_in.remove(source)
        if target is not self._passing and target.size >= max(1, max_size):
            least = target.least()
            if least is not None:
                target.remove(least)
                self._passing.add(least)
        target.add(source)
