"""The bounded record of who calls: addresses that have had a seat, and what they did lately."""

from __future__ import annotations

from collections.abc import Iterator

from zincladder.admission.lrfu import LrfuSet
from zincladder.admission.model import Source

HALF_LIFE = 20.0  # seconds of the count by which a passing source is kept
KNOWN_PART, LIMITED_PART = 0.5, 0.25  # of the record at most, for sources that are known or under a penalty


class SourceTable:
    """At most `most` addresses, or as many as have seats where those are more.

    Three parts, each with its own bound, keep them apart: those passing by, those who are known and those
    under a penalty. Whatever comes in as new can push out only who is passing by. A source with a seat is in
    no part.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self._all: dict[int, Source] = {}
        self._passing = LrfuSet(HALF_LIFE)
        self._known = LrfuSet(HALF_LIFE)
        self._limited = LrfuSet(HALF_LIFE)
        self.find = self._all.get  # the record of an address, or None

    def __len__(self) -> int:
        return len(self._all)

    def __iter__(self) -> Iterator[Source]:
        return iter(self._all.values())

    def seen(self, source: Source, now: float) -> None:
        """Counts that a recorded source has come again."""
        (source.home or self._passing).seen(source, now)

    def record(self, key: int, now: float) -> Source:
        """The record of an address, made where there is none."""
        source = self._all.get(key)
        if source is not None:
            return source
        while len(self._all) >= self.most and self._forget():
            pass
        source = self._all[key] = Source(key)
        self._passing.seen(source, now)
        self._passing.add(source)
        return source

    def _forget(self) -> bool:
        """Guards the bound: whoever passed by and counts least goes first, then of the known, then the
        rest.
        """
        for part in (self._passing, self._known, self._limited):
            source = part.least()
            if source is not None:
                part.drop(source)
                del self._all[source.key]
                return True
        return False  # all are held: connections are bounded, and so are these

    def hold(self, source: Source) -> None:
        """One seat more."""
        source.held += 1
        if source.home is not None:
            source.home.drop(source)

    def release(self, source: Source, *, known: bool, limited: bool) -> None:
        """One seat less; the last puts the source where it can be forgotten."""
        source.held -= 1
        self.place(source, known=known, limited=limited)

    def place(self, source: Source, *, known: bool, limited: bool) -> None:
        """Puts a source without a seat into the part where it belongs now."""
        if source.held:
            return
        part, most = self._passing, self.most
        if limited:
            part, most = self._limited, int(self.most * LIMITED_PART)
        elif known:
            part, most = self._known, int(self.most * KNOWN_PART)
        if source.home is part:
            return
        if source.home is not None:
            source.home.drop(source)
        if part is not self._passing and part.size >= max(1, most):
            least = part.least()
            if least is not None:
                part.drop(least)
                self._passing.add(least)
        part.add(source)
