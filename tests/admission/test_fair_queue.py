"""Weighted fair queueing of messages."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tests.support.admission import FLOOD_HOST
from zincladder.admission.fair_queue import RATE_DECREASE_LAG_SECONDS, WeightedFairQueue
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
def test_no_source_starves_and_no_lane_exceeds_its_credit(
    flows: list[int], lanes: list[PriorityLane]
) -> None:
    read_queue, now = WeightedFairQueue(0.6, 0.3), 10.0
    slots = []
    for i, count in enumerate(flows):
        source = Source(key_of(f"10.{i}.0.1"))
        slots += [ConnectionSlot(source, lanes[i]) for _ in range(count)]
    read_queue.dispatch(now, 0.0)
    while any(read_queue.try_take(slot.lane) for slot in slots):
        pass  # use up the credit of every lane
    for slot in slots:
        read_queue.enqueue(slot)
    turns_by_source: Counter[int] = Counter()
    ticks = 400
    for _ in range(ticks):
        now += 0.01
        for slot in read_queue.dispatch(now, 0.0):
            turns_by_source[slot.source.key] += 1
            read_queue.enqueue(slot)  # the client has its next message ready
    total = sum(turns_by_source.values())
    assert total * REQUEST_SECONDS <= ticks * 0.01 * read_queue.rate + 0.2  # no more than was credited
    assert total * REQUEST_SECONDS >= 0.5 * ticks * 0.01 * read_queue.rate  # and at least half of it is used
    for chosen in (PriorityLane.KNOWN, PriorityLane.NEW, PriorityLane.LIMITED):
        turns = [turns_by_source[key_of(f"10.{i}.0.1")] for i in range(len(flows)) if lanes[i] is chosen]
        # However many connections a source has, it gets as many turns as the others of its lane.
        assert not turns or (min(turns) > 0 and max(turns) <= 2 * min(turns) + 2)


def test_a_lane_with_few_messages_is_served_at_once_during_a_flood_in_another_lane() -> None:
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
        read_queue.dispatch(now, 2 * RATE_DECREASE_LAG_SECONDS)
    low = read_queue.rate
    for _ in range(100):
        now += 0.01
        read_queue.dispatch(now, 0.0)
    assert low < 0.2 < read_queue.rate


def test_costs_are_scaled_to_the_measured_cpu_time() -> None:
    read_queue = WeightedFairQueue(0.6, 0.35)
    for _ in range(40):
        read_queue.charge(PriorityLane.NEW, 0.2)
        read_queue.calibrate(0.4 * read_queue.cost_scale / read_queue.cost_scale)
    assert read_queue.cost_scale == pytest.approx(2.0, rel=0.05)
