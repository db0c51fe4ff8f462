"""A set that yields the least recently and frequently used item first (LRFU).

The count of an item is the sum of 2^(t/h) over the times t of its accesses, where h is the half-life. Its
binary logarithm is kept as the item's score ("forward decay": Cormode, Shkapenyuk, Srivastava, Xu, ICDE
2009). Scores of different times can be compared directly, so no periodic sweep is needed, and an item moves
only when it is accessed. Items are kept in buckets, each of which spans half a doubling of the count; the
item that has been in the lowest bucket for longest is removed first. An item that receives more than one in
`size` of the accesses within a half-life is accessed again before its turn to be removed comes.
"""

from __future__ import annotations

import heapq
from math import log2
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from zincladder.admission.model import Source

BUCKETS_PER_DOUBLING = 2.0
MAX_SCORE_GAP = 30.0  # the sum of two counts that are this many doublings apart ignores the smaller one


class LrfuSet:
    """Sources ordered by their decayed access counts.

    Operations take constant time, except when a bucket is added to or removed from the heap.
    """

    __slots__ = ("_buckets", "_heap", "_scale", "size")

    def __init__(self, half_life: float) -> None:
        """Create an empty set; `half_life` is that of the counts, in seconds."""
        self._scale = 1.0 / half_life
        self._buckets: dict[int, dict[Source, None]] = {}
        self._heap: list[int] = []
        self.size = 0

    def record_access(self, source: Source, now: float) -> None:
        """Count an access of a source, which need not be in this set."""
        half_lives = now * self._scale
        gap = source.score - half_lives
        if gap <= -MAX_SCORE_GAP:
            source.score = half_lives
        elif gap < MAX_SCORE_GAP:
            source.score = half_lives + log2(1.0 + 2.0**gap)
        if source.lrfu_set is self:
            bucket = int(source.score * BUCKETS_PER_DOUBLING)
            if bucket != source.bucket:
                del self._buckets[source.bucket][source]
                self._add_to_bucket(source, bucket)

    def add(self, source: Source) -> None:
        """Add a source that is in no `LrfuSet`."""
        source.lrfu_set = self
        self.size += 1
        self._add_to_bucket(source, int(source.score * BUCKETS_PER_DOUBLING))

    def _add_to_bucket(self, source: Source, bucket: int) -> None:
        source.bucket = bucket
        sources = self._buckets.get(bucket)
        if sources is None:
            sources = self._buckets[bucket] = {}
            heapq.heappush(self._heap, bucket)
        sources[source] = None

    def remove(self, source: Source) -> None:
        """Remove a source that is in this set."""
        del self._buckets[source.bucket][source]
        source.lrfu_set = None
        self.size -= 1

    def least(self) -> Source | None:
        """Return the source to remove next, without removing it; None if the set is empty."""
        while self._heap:
            sources = self._buckets[self._heap[0]]
            if sources:
                return next(iter(sources))
            del self._buckets[heapq.heappop(self._heap)]
        return None
