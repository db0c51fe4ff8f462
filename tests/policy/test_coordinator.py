"""The leader's part, step by step."""

from __future__ import annotations

from typing import Any

from zincladder.consensus.key_value_state import MAX_VALUE_BYTES, VersionedValue
from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.policy import change_log
from zincladder.policy.coordinator import ChangeCoordinator
from zincladder.policy.model import (
    ChangeLogEntry,
    ChangeOutcome,
    ChangePhase,
    DocumentValidated,
    PolicyChange,
    PolicyLeaseGranted,
    PolicyLeaseReleased,
    PolicyRecord,
    RenewPolicyLease,
    RevokePolicyLease,
)

TERMS = LeaseTiming(
    lease_seconds=5.0,
    renew_seconds=1.0,
    clock_drift=0.01,
    check_timeout_seconds=3.0,
    release_timeout_seconds=0.3,
)
DECIDED = PolicyRecord(1, "d1", PolicyChange(2, "d2", "ana", "", 0.0, ChangePhase.DECIDED))
DOCUMENTS = {"d1": b"1", "d2": b"2"}


class Leader:
    """A coordinator whose writes succeed at once, on a clock that goes on in steps."""

    def __init__(self, record: PolicyRecord, fronts: int) -> None:
        self.now, self.record_version, self.record = 100.0, 1, record
        self.coordinator = ChangeCoordinator(TERMS, self.now, 1)
        self.expected_fronts = [f"f{n}" for n in range(1, fronts + 1)]
        self.phases: list[tuple[float, str]] = []
        self.read_record()
        for n in range(1, fronts + 1):
            self.coordinator.link_opened(n, f"f{n}", "p", self.now)

    def read_record(self) -> None:
        self.coordinator.record_read(
            self.record, self.record_version, self.expected_fronts, DOCUMENTS, self.now
        )

    def step(self, seconds: float = 0.0) -> list[tuple[int, Any]]:
        """What is said to the fronts until then; the phases are kept with their times."""
        until: float = self.now + seconds
        messages: list[tuple[int, Any]] = []
        while True:
            self.coordinator.tick(self.now)
            actions = self.coordinator.take_actions()
            messages += actions.messages
            if actions.write:
                self.record, self.record_version = actions.write.record, self.record_version + 1
                phase = self.record.open_change.phase.value if self.record.open_change else "in force"
                self.phases.append((round(self.now - 100.0, 2), phase))
                self.read_record()
            elif self.now >= until:
                return messages
            else:
                self.now = min(until, self.now + 0.05)

    def hears(self, number: int, message: Any) -> list[tuple[int, Any]]:
        self.coordinator.message_received(number, message, self.now)
        return self.step()


def test_a_new_leader_waits_until_its_predecessors_leases_have_expired() -> None:
    leader = Leader(DECIDED, 0)
    leader.step(6.0)
    assert [phase for _, phase in leader.phases] == ["clearing", "in force"]
    assert leader.phases[0][0] >= TERMS.expiry_seconds


def test_a_lost_front_is_waited_for_before_any_other_has_to_release() -> None:
    leader = Leader(PolicyRecord(1, "d1"), 2)
    leader.step(6.0)
    for number in (1, 2):
        assert [type(m) for _, m in leader.hears(number, RenewPolicyLease(1, "d1"))] == [PolicyLeaseGranted]
    leader.coordinator.link_closed(2, leader.now)  # killed, or cut off: nobody knows
    leader.record, leader.record_version = DECIDED, leader.record_version + 1
    leader.read_record()
    began, serial = leader.now, 1
    while not leader.phases:
        serial += 1
        assert [type(m) for _, m in leader.hears(1, RenewPolicyLease(serial, "d1"))] == [
            PolicyLeaseGranted
        ]  # it goes on meanwhile
        leader.step(0.5)
    assert leader.now - began >= TERMS.expiry_seconds - 1.0
    assert leader.phases[0][1] == "clearing"


def test_a_front_that_hears_nothing_blocks_a_change_for_one_lease_only() -> None:
    # Seen with real processes: its renewals were answered, unheard, and the change was tried for ever.
    leader = Leader(PolicyRecord(1, "d1"), 2)
    leader.step(6.0)
    for number in (1, 2):
        leader.hears(number, RenewPolicyLease(1, "d1"))
    leader.record, leader.record_version = DECIDED, leader.record_version + 1
    leader.read_record()
    began, serial = leader.now, 1
    while leader.record.version == 1 and leader.now < began + 20:
        serial += 1
        for number in (1, 2):
            said = [m for _, m in leader.hears(number, RenewPolicyLease(serial, "d1"))]
            said += [m for _, m in leader.step(0.2)]
            if any(isinstance(m, RevokePolicyLease) for m in said):
                leader.hears(1, PolicyLeaseReleased(2, serial))  # the other one hears nothing
    assert leader.record.version == 2
    assert leader.now - began < TERMS.expiry_seconds + 2.0
    assert [phase for _, phase in leader.phases] == ["clearing", "decided", "clearing", "in force"]


def test_a_decided_change_is_activated_though_some_front_is_always_gone() -> None:
    # Seen with 20 fronts, three of them failing at any time: decided for 14 s, and never a moment without
    # one.
    leader, serial, revoking_seconds = Leader(PolicyRecord(1, "d1"), 3), 0, 0.0

    def comes_and_goes() -> None:
        leader.coordinator.link_opened(100 + serial, "f9", f"p{serial}", leader.now)
        leader.hears(100 + serial, RenewPolicyLease(serial, "d1"))  # it gets a lease, and is gone again
        leader.coordinator.link_closed(100 + serial, leader.now)

    leader.step(6.0)
    for number in (1, 2, 3):
        leader.hears(number, RenewPolicyLease(1, "d1"))
    comes_and_goes()
    leader.record, leader.record_version = DECIDED, leader.record_version + 1
    leader.read_record()
    began = leader.now
    while leader.record.version == 1 and leader.now < began + 60:
        serial += 1
        comes_and_goes()
        for number in (1, 2, 3):
            leader.hears(number, RenewPolicyLease(serial, "d1"))
            if leader.coordinator.fronts[number].asked_to_release:
                leader.hears(number, PolicyLeaseReleased(2, serial))
        leader.step(0.5)
        revoking_seconds += 0.5 * (
            leader.record.open_change is not None and leader.record.open_change.phase is ChangePhase.REVOKING
        )
    assert leader.record.version == 2
    assert (
        TERMS.max_deferral_seconds
        < leader.now - began
        < TERMS.max_deferral_seconds + TERMS.expiry_seconds + 1.0
    )
    assert revoking_seconds < TERMS.expiry_seconds + 1.0  # what it costs the clients: a lease, once


def test_the_objection_of_a_front_that_is_gone_counts() -> None:
    leader = Leader(PolicyRecord(1, "d1", PolicyChange(2, "d2", "ana", "", 0.0)), 3)
    leader.step(0.1)
    leader.coordinator.message_received(1, DocumentValidated(2, "d2", ("it can't",)), leader.now)
    leader.coordinator.link_closed(1, leader.now)
    for number in (2, 3):
        leader.hears(number, DocumentValidated(2, "d2"))
    (entry,) = leader.record.log
    assert (entry.outcome, entry.reasons) == (ChangeOutcome.WITHDRAWN, ("f1: it can't",))


def test_a_record_never_outgrows_its_register_and_old_documents_go() -> None:
    # Guards the end of a change: a record that can't be written would leave it open for ever.
    reasons = tuple("x" * 200 for _ in range(20))
    log = [
        ChangeLogEntry(n, f"o{n}", "ana", "n" * 200, 0.0, ChangeOutcome.WITHDRAWN, reasons)
        for n in range(3, 103)
    ]
    leader = Leader(PolicyRecord(1, "d1", PolicyChange(103, "d2", "ana", "", 0.0), log=tuple(log)), 1)
    leader.hears(1, DocumentValidated(103, "d2", ("it can't",)))
    assert leader.record.open_change is None and leader.record.log[-1].version == 103
    assert len(change_log.encode(leader.record)) < MAX_VALUE_BYTES
    data = bytes(200 << 10)
    kept = {f"o{n}": VersionedValue(n, data) for n in range(3, 103)} | {"d1": VersionedValue(1, data)}
    gone = {
        s.key
        for s in change_log.delete_unreferenced(change_log.ChangeLog(leader.record, 1, frozenset(), kept))
    }
    assert 0 < (len(kept) - len(gone)) * len(data) < 5 << 20
    assert "document/d1" not in gone and "document/o102" not in gone
