"""Builds admission by source for tests, and drives it as clients' connections and requests do."""

from __future__ import annotations

from zincladder.admission.descriptor_budget import ELASTIC_POOLS, DescriptorBudget
from zincladder.admission.interface import RequestBounds
from zincladder.admission.model import AdmissionLimits, ConnectionSlot, PriorityLane, RejectionReason, Verdict
from zincladder.admission.source_admission import SourceAdmission
from zincladder.admission.source_key import key_of

KNOWN_HOST, FLOOD_HOST = "192.0.2.1", "198.51.100.9"


def source_admission(sockets: int = 256, *, max_open: int = 200, **changes: object) -> SourceAdmission:
    return SourceAdmission(
        AdmissionLimits(**changes),  # type: ignore[arg-type]
        RequestBounds(max_open, 1 << 20),
        DescriptorBudget(sockets, ELASTIC_POOLS),
        seed=7,
    )


def admit(admission: SourceAdmission, host: str, now: float) -> ConnectionSlot | None:
    decision = admission.connect(host, now)
    return admission.open_slot(decision, now) if decision.verdict is Verdict.ADMIT else None


def open_request(admission: SourceAdmission, slot: ConnectionSlot, now: float) -> RejectionReason:
    reason = admission.may_open(slot, now)
    if reason is RejectionReason.NONE:
        admission.request_opened(slot)
    return reason


def become_known(admission: SourceAdmission, host: str, now: float, seconds: int = 5) -> float:
    """Serves `seconds` requests of this source, one every 1.1 s, to make it known; returns the new time."""
    for _ in range(seconds):
        now += 1.1
        slot = admit(admission, host, now)
        assert slot is not None
        assert admission.may_read(slot, now) and open_request(admission, slot, now) is RejectionReason.NONE
        admission.request_closed(slot, now + 0.02, True)
        admission.release_slot(slot, now + 0.03)
        admission.tick(now + 0.03, 0.0)
    return now


def lane_of(admission: SourceAdmission, host: str, now: float) -> PriorityLane:
    return admission.lane_of(admission.sources.find_or_create(key_of(host), now), now)
