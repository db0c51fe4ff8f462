"""Weighted fair queueing of messages."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tests.support.admission import FLOOD_HOST
from zincladder.admission.fair_queue import RATE_CUT_LAG_SECONDS, WeightedFairQueue
from zincladder.admission.loop_costs import REQUEST_SECONDS
from zincladder.admission.model import ConnectionSlot, PriorityLane, Source
from zincladder.admission.source_key import key_of


@given(
    flows=st.lists(st.integers(12, 40), min_size=1, max_size=8),
    lanes=st.lists(
        st.sampled_from([PriorityLane.KNOWN, PriorityLane.NEW, PriorityLane.LIMITED]), min_size=8, max_size=8
    ),
)
@hypothesis_settings(max_examples=60, deadline=None)
def test_no_source_starves_and_no_lane_overdraws(flows: list[int], lanes: list[PriorityLane]) -> None:
    read_queue, now = WeightedFairQueue(0.6, 0.3), 10.0
    slots = []
    for i, count in enumerate(flows):
        source = Source(key_of(f"10.{i}.0.1"))
        slots += [ConnectionSlot(source, lanes[i]) for _ in range(count)]
    read_queue.dispatch(now, 0.0)
    while any(read_queue.try_take(slot.lane) for slot in slots):
        pass  # until no lane has credit left
    for slot in slots:
        read_queue.enqueue(slot)
    got: Counter[int] = Counter()
    ticks = 400
    for _ in range(ticks):
        now += 0.01
        for slot in read_queue.dispatch(now, 0.0):
            got[slot.source.key] += 1
            read_queue.enqueue(slot)  # it wants more at once
    total = sum(got.values())
    assert total * REQUEST_SECONDS <= ticks * 0.01 * read_queue.rate + 0.2  # no more than there is
    assert total * REQUEST_SECONDS >= 0.5 * ticks * 0.01 * read_queue.rate  # nor is it wasted
    for chosen in (PriorityLane.KNOWN, PriorityLane.NEW, PriorityLane.LIMITED):
        mine = [got[key_of(f"10.{i}.0.1")] for i in range(len(flows)) if lanes[i] is chosen]
        # However many connections a source has, it gets as many turns as the others of its lane.
        assert not mine or (min(mine) > 0 and max(mine) <= 2 * min(mine) + 2)


def test_a_lane_that_asks_little_is_served_at_once_beside_one_that_floods() -> None:
    read_queue, now = WeightedFairQueue(0.6, 0.35), 0.0
    flood = [ConnectionSlot(Source(key_of(FLOOD_HOST)), PriorityLane.NEW) for _ in range(100)]
    for slot in flood:
        read_queue.enqueue(slot)
    for i in range(300):
        now += 0.01
        for slot in read_queue.dispatch(now, 0.0):
            read_queue.enqueue(slot)
        if i > 5 and i % 10 == 0:
            assert read_queue.try_take(PriorityLane.KNOWN)


def test_a_lagging_loop_lowers_the_rate_and_an_idle_one_raises_it() -> None:
    read_queue, now = WeightedFairQueue(0.6, 0.35), 0.0
    for _ in range(50):
        now += 0.01
        read_queue.dispatch(now, 2 * RATE_CUT_LAG_SECONDS)
    low = read_queue.rate
    for _ in range(100):
        now += 0.01
        read_queue.dispatch(now, 0.0)
    assert low < 0.2 < read_queue.rate


def test_costs_are_fitted_to_the_machine() -> None:
    read_queue = WeightedFairQueue(0.6, 0.35)
    for _ in range(40):
        read_queue.charge(PriorityLane.NEW, 0.2)
        read_queue.calibrate(0.4 * read_queue.pace / read_queue.pace)
    assert read_queue.pace == pytest.approx(2.0, rel=0.05)
