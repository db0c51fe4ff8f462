"""The bounded record of who calls: addresses, the networks around them, and what they did lately."""

from __future__ import annotations

from collections.abc import Iterator

from zincladder.admission.lrfu import Lrfu
from zincladder.admission.model import Source, above

HALF_LIFE = 20.0  # seconds of the count by which a passing source is kept
KNOWN_PART, LIMITED_PART = 0.5, 0.25  # of the record at most, for sources that are known or under a penalty


class Sources:
    """At most `most` addresses and networks.

    Three parts, each with its own bound, keep them apart: those passing by, those who are known and those
    under a penalty. Whatever comes in as new can push out only who is passing by. A source with a seat is
    held and in no part; a network is held while one of its addresses is recorded.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self._all: dict[int, Source] = {}
        self._passing = Lrfu(HALF_LIFE)
        self._known = Lrfu(HALF_LIFE)
        self._limited = Lrfu(HALF_LIFE)

    def __len__(self) -> int:
        return len(self._all)

    def __iter__(self) -> Iterator[Source]:
        return iter(self._all.values())

    def find(self, key: int) -> Source | None:
        return self._all.get(key)

    def seen(self, key: int, now: float) -> tuple[Source, bool]:
        """The record of an address that has come, and whether it is new."""
        source = self._all.get(key)
        if source is not None:
            (source.home or self._passing).seen(source, now)
            return source, False
        return self._new(key, now), True

    def _new(self, key: int, now: float) -> Source:
        while len(self._all) >= self.most and self._forget():
            pass
        source = Source(key)
        self._all[key] = source
        self._passing.seen(source, now)
        self._passing.add(source)
        around = above(key)
        if around is not None:
            up = self._all.get(around)
            if up is None:
                up = self._new(around, now)
            else:
                self._passing.seen(up, now)
            source.up = up
            self.hold(up)
        return source

    def _forget(self) -> bool:
        """Guards the bound: whoever passed by and counts least goes; else who is known, else who is
        penalised.
        """
        for part in (self._passing, self._known, self._limited):
            source = part.least()
            if source is not None:
                part.drop(source)
                del self._all[source.key]
                if source.up is not None:
                    self.release(source.up)
                return True
        return False  # all are held: connections are bounded, and so are these

    def hold(self, source: Source) -> None:
        source.held += 1
        if source.home is not None:
            source.home.drop(source)

    def release(self, source: Source, *, known: bool = False, limited: bool = False) -> None:
        """One hold less; the last puts the source where it can be forgotten."""
        source.held -= 1
        if source.held == 0:
            self.place(source, known=known, limited=limited)

    def place(self, source: Source, *, known: bool, limited: bool) -> None:
        """Puts a source that nothing holds into the part where it belongs now."""
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
