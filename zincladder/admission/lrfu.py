"""A bounded set that forgets the item with the least count first (LRFU); counts decay exponentially.

The count of an item is the sum of 2^(t/h) over the times t at which it was seen, h being the half-life, and
kept as its binary logarithm ("forward decay": Cormode, Shkapenyuk, Srivastava, Xu, ICDE 2009). Such scores
are compared as they stand at whatever time they were made, so nothing is swept, and an item moves only when
it is seen. Items lie in buckets of half a doubling; the oldest of the least bucket is forgotten first. An
item that makes up more than one in `size` of what comes within a half-life is seen again before it can be
forgotten.
"""

from __future__ import annotations

import heapq
from math import log2
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from zincladder.admission.model import Source

BUCKETS_PER_DOUBLING = 2.0
MAX_SCORE_GAP = 30.0  # doublings past which the smaller of two counts no longer changes their sum


class LrfuSet:
    """Sources in the order of their decayed counts; steps take constant time but for rare heap work."""

    __slots__ = ("_buckets", "_heap", "_scale", "size")

    def __init__(self, half_life: float) -> None:
        """`half_life` of the counts is in seconds."""
        self._scale = 1.0 / half_life
        self._buckets: dict[int, dict[Source, None]] = {}
        self._heap: list[int] = []
        self.size = 0

    def record_sighting(self, source: Source, now: float) -> None:
        """Count a source once more, whether or not it is in this set."""
        half_lives = now * self._scale
        gap = source.score - half_lives
        if gap <= -MAX_SCORE_GAP:
            source.score = half_lives
        elif gap < MAX_SCORE_GAP:
            source.score = half_lives + log2(1.0 + 2.0**gap)
        if source.forgettable_in is self:
            bucket = int(source.score * BUCKETS_PER_DOUBLING)
            if bucket != source.bucket:
                del self._buckets[source.bucket][source]
                self._put(source, bucket)

    def add(self, source: Source) -> None:
        """Add a source that is in no set."""
        source.forgettable_in = self
        self.size += 1
        self._put(source, int(source.score * BUCKETS_PER_DOUBLING))

    def _put(self, source: Source, bucket: int) -> None:
        source.bucket = bucket
        sources = self._buckets.get(bucket)
        if sources is None:
            sources = self._buckets[bucket] = {}
            heapq.heappush(self._heap, bucket)
        sources[source] = None

    def remove(self, source: Source) -> None:
        """Take a source out of this set."""
        del self._buckets[source.bucket][source]
        source.forgettable_in = None
        self.size -= 1

    def least(self) -> Source | None:
        """The source that is forgotten next; None if the set is empty."""
        while self._heap:
            sources = self._buckets[self._heap[0]]
            if sources:
                return next(iter(sources))
            del self._buckets[heapq.heappop(self._heap)]
        return None
