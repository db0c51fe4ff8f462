"""Tests how the leader takes a policy change from one phase to the next, without I/O."""

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

LEASE_TIMING = LeaseTiming(
    lease_seconds=5.0,
    renew_seconds=1.0,
    clock_drift=0.01,
    check_timeout_seconds=3.0,
    release_timeout_seconds=0.3,
)
DECIDED = PolicyRecord(1, "d1", PolicyChange(2, "d2", "ana", "", 0.0, ChangePhase.DECIDED))
DOCUMENTS = {"d1": b"1", "d2": b"2"}


class Leader:
    """A coordinator with a simulated clock, whose writes succeed at once."""

    def __init__(self, record: PolicyRecord, fronts: int) -> None:
        self.now, self.record_version, self.record = 100.0, 1, record
        self.coordinator = ChangeCoordinator(LEASE_TIMING, self.now, 1)
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
        """Advances the clock; returns the messages to the fronts and records each new phase with its time."""
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

    def receive(self, number: int, message: Any) -> list[tuple[int, Any]]:
        self.coordinator.message_received(number, message, self.now)
        return self.step()


def test_a_new_leader_revokes_no_lease_before_those_of_its_predecessor_have_expired() -> None:
    leader = Leader(DECIDED, 0)
    leader.step(6.0)
    assert [phase for _, phase in leader.phases] == ["clearing", "in force"]
    assert leader.phases[0][0] >= LEASE_TIMING.expiry_seconds


def test_the_lease_of_a_lost_front_expires_before_any_other_front_has_to_release() -> None:
    leader = Leader(PolicyRecord(1, "d1"), 2)
    leader.step(6.0)
    for number in (1, 2):
        assert [type(m) for _, m in leader.receive(number, RenewPolicyLease(1, "d1"))] == [PolicyLeaseGranted]
    leader.coordinator.link_closed(2, leader.now)  # if only cut off, it may serve until its lease expires
    leader.record, leader.record_version = DECIDED, leader.record_version + 1
    leader.read_record()
    began, serial = leader.now, 1
    while not leader.phases:
        serial += 1
        # Meanwhile the other front's lease is renewed.
        assert [type(m) for _, m in leader.receive(1, RenewPolicyLease(serial, "d1"))] == [PolicyLeaseGranted]
        leader.step(0.5)
    assert leader.now - began >= LEASE_TIMING.expiry_seconds - 1.0
    assert leader.phases[0][1] == "clearing"


def test_a_front_that_receives_no_messages_delays_a_change_by_one_lease_only() -> None:
    # Guards against a leader that kept renewing the lease of such a front and so never activated the change.
    leader = Leader(PolicyRecord(1, "d1"), 2)
    leader.step(6.0)
    for number in (1, 2):
        leader.receive(number, RenewPolicyLease(1, "d1"))
    leader.record, leader.record_version = DECIDED, leader.record_version + 1
    leader.read_record()
    began, serial = leader.now, 1
    while leader.record.version == 1 and leader.now < began + 20:
        serial += 1
        for number in (1, 2):
            messages = [m for _, m in leader.receive(number, RenewPolicyLease(serial, "d1"))]
            messages += [m for _, m in leader.step(0.2)]
            if any(isinstance(m, RevokePolicyLease) for m in messages):
                leader.receive(1, PolicyLeaseReleased(2, serial))  # front 2 receives nothing
    assert leader.record.version == 2
    assert leader.now - began < LEASE_TIMING.expiry_seconds + 2.0
    assert [phase for _, phase in leader.phases] == ["clearing", "decided", "clearing", "in force"]


def test_a_decided_change_is_activated_though_some_front_is_always_silent() -> None:
    # Guards against a leader that waits until no front is silent, which may never be the case. With 20
    # fronts, three of which were down at any time, a change stayed DECIDED for 14 s.
    leader, serial, revoking_seconds = Leader(PolicyRecord(1, "d1"), 3), 0, 0.0

    def connect_renew_and_disconnect() -> None:
        leader.coordinator.link_opened(100 + serial, "f9", f"p{serial}", leader.now)
        leader.receive(100 + serial, RenewPolicyLease(serial, "d1"))
        leader.coordinator.link_closed(100 + serial, leader.now)

    leader.step(6.0)
    for number in (1, 2, 3):
        leader.receive(number, RenewPolicyLease(1, "d1"))
    connect_renew_and_disconnect()
    leader.record, leader.record_version = DECIDED, leader.record_version + 1
    leader.read_record()
    began = leader.now
    while leader.record.version == 1 and leader.now < began + 60:
        serial += 1
        connect_renew_and_disconnect()
        for number in (1, 2, 3):
            leader.receive(number, RenewPolicyLease(serial, "d1"))
            if leader.coordinator.fronts[number].release_requested_version:
                leader.receive(number, PolicyLeaseReleased(2, serial))
        leader.step(0.5)
        revoking_seconds += 0.5 * (
            leader.record.open_change is not None and leader.record.open_change.phase is ChangePhase.REVOKING
        )
    assert leader.record.version == 2
    assert (
        LEASE_TIMING.max_deferral_seconds
        < leader.now - began
        < LEASE_TIMING.max_deferral_seconds + LEASE_TIMING.expiry_seconds + 1.0
    )
    assert revoking_seconds < LEASE_TIMING.expiry_seconds + 1.0  # clients are rejected for one lease at most


def test_the_objection_of_a_front_that_has_disconnected_counts() -> None:
    leader = Leader(PolicyRecord(1, "d1", PolicyChange(2, "d2", "ana", "", 0.0)), 3)
    leader.step(0.1)
    leader.coordinator.message_received(1, DocumentValidated(2, "d2", ("it can't",)), leader.now)
    leader.coordinator.link_closed(1, leader.now)
    for number in (2, 3):
        leader.receive(number, DocumentValidated(2, "d2"))
    (entry,) = leader.record.log
    assert (entry.outcome, entry.reasons) == (ChangeOutcome.WITHDRAWN, ("f1: it can't",))


def test_a_record_stays_small_enough_to_be_stored_and_old_documents_are_deleted() -> None:
    # A record that is too large to be stored would leave the change open for ever.
    reasons = tuple("x" * 200 for _ in range(20))
    log = [
        ChangeLogEntry(n, f"o{n}", "ana", "n" * 200, 0.0, ChangeOutcome.WITHDRAWN, reasons)
        for n in range(3, 103)
    ]
    leader = Leader(PolicyRecord(1, "d1", PolicyChange(103, "d2", "ana", "", 0.0), log=tuple(log)), 1)
    leader.receive(1, DocumentValidated(103, "d2", ("it can't",)))
    assert leader.record.open_change is None and leader.record.log[-1].version == 103
    assert len(change_log.encode(leader.record)) < MAX_VALUE_BYTES
    data = bytes(200 << 10)
    stored = {f"o{n}": VersionedValue(n, data) for n in range(3, 103)} | {"d1": VersionedValue(1, data)}
    deleted = {
        s.key
        for s in change_log.delete_unreferenced(change_log.ChangeLog(leader.record, 1, frozenset(), stored))
    }
    assert 0 < (len(stored) - len(deleted)) * len(data) < 5 << 20
    assert "document/d1" not in deleted and "document/o102" not in deleted
