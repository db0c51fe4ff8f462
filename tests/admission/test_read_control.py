"""Messages that wait to be read."""

from __future__ import annotations

from tests.support.admission import FLOOD_HOST, admit, source_admission
from zincladder.admission.model import RejectionReason


def test_a_connection_whose_message_waits_too_long_is_evicted() -> None:
    admission, now = source_admission(), 0.0
    slots = [s for _ in range(60) if (s := admit(admission, FLOOD_HOST, now))]
    waiting = [
        slot for slot in slots for _ in range(1) if not all(admission.may_read(slot, now) for _ in range(60))
    ]
    assert waiting
    admission.read_queue.rate = 0.0
    result = admission.tick(now + 2.5, 1.0)
    assert result.to_evict and all(reason is RejectionReason.READ_TIMEOUT for _, reason in result.to_evict)
    for slot in slots:
        admission.release_slot(slot, now + 2.5)
    assert (
        admission.read_queue.waiting == 0
        and not admission.idle_slots
        and admission.slots_by_lane == [0, 0, 0, 0]
    )
