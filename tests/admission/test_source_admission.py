"""Admission by source with random events."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tests.support.admission import KNOWN_HOST, admit, become_known, open_request, source_admission
from zincladder.admission.descriptor_budget import DescriptorUse
from zincladder.admission.model import ConnectionSlot, Offense, PriorityLane, RejectionReason


@given(
    st.lists(
        st.tuples(st.sampled_from(["connect", "request", "answer", "close", "tick", "malformed", "read"]),
                  st.integers(0, 30), st.floats(0, 0.3)),
        max_size=300,
    )
)  # fmt: skip
@hypothesis_settings(max_examples=60, deadline=None)
def test_counts_stay_consistent_under_random_events_and_known_sources_are_admitted(
    events: list[tuple[str, int, float]],
) -> None:
    admission = source_admission(sockets=96, max_open=40, max_sources=64)
    now = become_known(admission, KNOWN_HOST, 0.0)
    slots: list[ConnectionSlot] = []
    for event, n, elapsed in events:
        now += elapsed
        slot = slots[n % len(slots)] if slots else None
        if event == "connect":
            opened = admit(admission, f"10.{n}.0.1", now)
            slots += [opened] if opened else []
        elif event == "tick":
            for evicted, _ in admission.tick(now, elapsed / 4).to_evict:
                assert not evicted.open_requests
                admission.release_slot(evicted, now)
                slots.remove(evicted)
        elif slot is None:
            continue
        elif event == "read" and not slot.waiting_since:
            admission.may_read(slot, now)
        elif event == "request":
            open_request(admission, slot, now)
        elif event == "answer" and slot.open_requests:
            admission.request_closed(slot, now, n % 2 == 0)
        elif event == "malformed":
            admission.record_offense(slot, Offense.MALFORMED, now)
        elif event == "close" and not slot.open_requests:
            admission.release_slot(slot, now)
            slots.remove(slot)
        assert (
            sum(admission.slots_by_lane)
            == len(slots)
            == admission.descriptors.pools[DescriptorUse.CLIENTS].used
        )
        assert (
            sum(admission.open_by_lane)
            == admission.open_requests
            == sum(s.open_requests for s in slots)
            <= admission.bounds.max_open
        )
        new_or_limited = (
            admission.slots_by_lane[PriorityLane.NEW] + admission.slots_by_lane[PriorityLane.LIMITED]
        )
        assert new_or_limited <= admission.descriptors.pools[DescriptorUse.CLIENTS].max_used
    known = admit(admission, KNOWN_HOST, now)
    assert known is not None and known.lane is PriorityLane.KNOWN
    if admission.open_requests < admission.bounds.max_open:
        assert open_request(admission, known, now) is RejectionReason.NONE
