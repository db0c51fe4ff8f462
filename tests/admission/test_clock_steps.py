"""Admission when the clock steps forward or back."""

from __future__ import annotations

from tests.support.admission import KNOWN_HOST, admit, become_known, open_request, source_admission
from zincladder.admission.decay import decayed
from zincladder.admission.model import PriorityLane, RejectionReason


def test_a_clock_step_changes_no_lane_and_no_decayed_sum() -> None:
    admission = source_admission()
    now = become_known(admission, KNOWN_HOST, 1000.0)
    for step in (-500.0, 3.0, -1e6, 0.0):
        now += step
        admission.tick(now, 0.0)
        slot = admit(admission, KNOWN_HOST, now)
        assert slot is not None and slot.lane is PriorityLane.KNOWN, step
        assert admission.may_read(slot, now) and open_request(admission, slot, now) is RejectionReason.NONE
        admission.tick(now, 0.0)
        admission.request_closed(slot, now, True)
        admission.release_slot(slot, now)
    assert decayed(4.0, 10.0, 5.0, 1.0) == 4.0
