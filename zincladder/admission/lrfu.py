"""A bounded set that forgets whoever counts least, where a count halves with every half-life.

The count of an item is the sum of 2^(t/h) over the times t at which it was seen, h being the half-life, and
kept as its binary logarithm ("forward decay": Cormode, Shkapenyuk, Srivastava, Xu, ICDE 2009). Such scores
are compared as they stand at whatever time they were made, so nothing ages by a sweep, and an item moves only
when it is seen. Items lie in buckets of half a doubling; the least bucket's oldest leaves first. An item that
brings more than one in `most` of what comes within a half-life is seen again before it can be forgotten.
"""

from __future__ import annotations

import heapq
from math import log2
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from zincladder.admission.model import Source

FINE = 2.0  # buckets to a doubling
FAR = 30.0  # doublings past which the smaller of two counts no longer changes their sum


class LrfuSet:
    """Sources in order of their decayed counts; all steps take constant time but for rare heap work."""

    __slots__ = ("_buckets", "_heap", "_scale", "size")

    def __init__(self, half_life: float) -> None:
        self._scale = 1.0 / half_life
        self._buckets: dict[int, dict[Source, None]] = {}
        self._heap: list[int] = []
        self.size = 0

    def seen(self, item: Source, now: float) -> None:
        """Counts one more sight of an item, whether or not it is in here."""
        at = now * self._scale
        gap = item.score - at
        if gap <= -FAR:
            item.score = at
        elif gap < FAR:
            item.score = at + log2(1.0 + 2.0**gap)
        if item.home is self:
            bucket = int(item.score * FINE)
            if bucket != item.bucket:
                del self._buckets[item.bucket][item]
                self._put(item, bucket)

    def add(self, item: Source) -> None:
        item.home = self
        self.size += 1
        self._put(item, int(item.score * FINE))

    def _put(self, item: Source, bucket: int) -> None:
        item.bucket = bucket
        row = self._buckets.get(bucket)
        if row is None:
            row = self._buckets[bucket] = {}
            heapq.heappush(self._heap, bucket)
        row[item] = None

    def drop(self, item: Source) -> None:
        del self._buckets[item.bucket][item]
        item.home = None
        self.size -= 1

    def least(self) -> Source | None:
        """Who is forgotten next; None if nobody is here."""
        while self._heap:
            row = self._buckets[self._heap[0]]
            if row:
                return next(iter(row))
            del self._buckets[heapq.heappop(self._heap)]
        return None
