"""The set that yields the least recently and frequently used source first."""

from __future__ import annotations

from zincladder.admission.lrfu import LrfuSet
from zincladder.admission.model import Source


def test_a_frequent_source_is_kept_among_sources_seen_once() -> None:
    sources, regular = LrfuSet(20.0), Source(1)
    sources.record_access(regular, 0.0)
    sources.add(regular)
    for i in range(2, 3000):
        now = i * 0.01
        once = Source(i)
        sources.record_access(once, now)
        sources.add(once)
        if i % 20 == 0:
            sources.record_access(regular, now)
        if sources.size > 50:
            least = sources.least()
            assert least is not None and least is not regular
            sources.remove(least)
    sources.record_access(regular, 60.0)
    for i in range(4000, 6000):  # `regular` is not accessed again and is removed: its count halves every 20 s
        once = Source(i)
        sources.record_access(once, 60.0 + i * 0.1)
        sources.add(once)
        least = sources.least()
        assert least is not None
        sources.remove(least)
    assert regular.lrfu_set is None
