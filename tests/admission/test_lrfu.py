"""The set that forgets the least count first."""

from __future__ import annotations

from zincladder.admission.lrfu import LrfuSet
from zincladder.admission.model import Source


def test_a_frequent_source_is_kept_among_sources_seen_once() -> None:
    part, regular = LrfuSet(20.0), Source(1)
    part.record_sighting(regular, 0.0)
    part.add(regular)
    for i in range(2, 3000):
        now = i * 0.01
        once = Source(i)
        part.record_sighting(once, now)
        part.add(once)
        if i % 20 == 0:
            part.record_sighting(regular, now)
        if part.size > 50:
            least = part.least()
            assert least is not None and least is not regular
            part.remove(least)
    part.record_sighting(regular, 60.0)
    for i in range(4000, 6000):  # and forgotten once it stays away: a count halves every 20 s
        once = Source(i)
        part.record_sighting(once, 60.0 + i * 0.1)
        part.add(once)
        least = part.least()
        assert least is not None
        part.remove(least)
    assert regular.forgettable_in is None
