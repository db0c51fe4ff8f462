"""Networks that operators block or trust by command."""

from __future__ import annotations

import pytest

from tests.support.admission import FLOOD_HOST, admit, open_request, source_admission
from zincladder.admission.model import AdmissionLimits, PriorityLane, RejectionReason, Verdict


def test_a_reload_keeps_the_networks_that_operators_blocked_and_trusted() -> None:
    admission = source_admission()
    idle, busy = admit(admission, FLOOD_HOST, 0.0), admit(admission, FLOOD_HOST, 0.0)
    assert idle and busy and open_request(admission, busy, 0.0) is RejectionReason.NONE
    # Only the idle slot is evicted; the busy one stays until its request is answered.
    assert admission.block("198.51.100.0/24", 60.0, 1.0) == 1
    assert [slot for slot, _ in admission.tick(1.0, 0.0).to_evict] == [idle]
    admission.apply_limits(AdmissionLimits(max_per_address=3))
    assert admission.connect(FLOOD_HOST, 2.0).reason is RejectionReason.BLOCKED
    admission.request_closed(busy, 3.0, True)
    assert admission.tick(3.0, 0.0).to_evict == [(busy, RejectionReason.BLOCKED)]
    assert admission.connect(FLOOD_HOST, 61.0).verdict is Verdict.ADMIT  # the block has expired
    assert admission.unblock("198.51.100.0/24") and not admission.unblock("198.51.100.0/24")
    admission.trust("198.51.100.0/24")
    admission.apply_limits(AdmissionLimits())
    slot = admit(admission, FLOOD_HOST, 62.0)
    assert slot and slot.lane is PriorityLane.LISTED
    for bad in ("198.51.100.9/24", "nonsense"):
        with pytest.raises(ValueError):
            admission.block(bad, 1.0, 0.0)
        with pytest.raises(ValueError):
            admission.trust(bad)
