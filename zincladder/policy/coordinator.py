"""The leader's part in a policy change: grants leases on the version in force and runs the change. No I/O.

The policy record holds what a new leader needs, and is replaced by compare and swap. It does not hold the
leases: a new leader waits until all leases that its predecessor may have granted have expired. The host
passes a front's message to the coordinator only after a majority has confirmed that this replica still leads,
so no lease starts after the election of a successor.

`ChangePhase` describes the states of a change. While a change is DECIDED the coordinator waits for the leases
of silent fronts to expire, and all other fronts keep serving under the old version. Therefore requests are
usually rejected only while each front is sent one message and answers it, and the record is written once.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.policy import change_states
from zincladder.policy.granted_leases import GrantedLeases
from zincladder.policy.linked_fronts import LinkedFront, count_agreement
from zincladder.policy.model import (
    ChangePhase,
    DocumentContent,
    DocumentValidated,
    FetchDocument,
    FromCoordinator,
    FromParticipant,
    PolicyChange,
    PolicyLeaseGranted,
    PolicyLeaseReleased,
    PolicyRecord,
    RenewalDeferred,
    RenewPolicyLease,
    RevokePolicyLease,
    ValidateDocument,
)

MAX_FRONTS = 2048


@dataclass(frozen=True, slots=True)
class RecordWrite:
    """A write that replaces the record if its value still has the expected version."""

    expected_version: int
    record: PolicyRecord


@dataclass(slots=True)
class CoordinatorActions:
    """The actions that the host has to carry out."""

    messages: list[tuple[int, FromCoordinator]] = field(default_factory=list)  # each with its link's number
    write: RecordWrite | None = None
    expect_fronts: list[str] = field(default_factory=list)  # names to store as expected fronts


class ChangeCoordinator:
    """Runs the changes of the policy for one leader in one term."""

    def __init__(self, lease_timing: LeaseTiming, now: float, term: int = 0) -> None:
        self.lease_timing, self.term = lease_timing, term
        self.record, self._record_version = PolicyRecord(), 0
        self.has_read_state = False  # whether the record has been read in this term
        self.expected_fronts: frozenset[str] = frozenset()
        self.fronts: dict[int, LinkedFront] = {}  # by the number of the link
        self.leases = GrantedLeases(now + lease_timing.expiry_seconds)
        self._documents: dict[str, bytes] = {}
        self._objections: list[tuple[int, str]] = []  # a version, and why a front can't serve under it
        # The version of the latest decided change, and when this leader first read that it is decided.
        self._decided_version, self._decided_at = 0, now
        self.phase_entered_at = now  # when the present phase was first read
        self._write_pending = False
        self._actions = CoordinatorActions()

    # Queries --------------------------------------------------------------------------------------

    @property
    def absent(self) -> tuple[str, ...]:
        """The sorted names of expected fronts that are not connected."""
        return tuple(sorted(self.expected_fronts - {front.name for front in self.fronts.values()}))

    def blocked_by(self, now: float) -> tuple[str, ...]:
        """Returns the fronts that may still serve under the version in force and that messages may not reach.

        While leases of an earlier leader may be valid, the first item stands for their unknown holders.
        """
        linked = {front.identity: front for front in self.fronts.values()}
        blocking = []
        for holder, lease in self.leases.by_process.items():
            front = linked.get(holder)
            unreachable = front is None or holder in self.leases.suspended or self.is_silent(front, now)
            if lease.expires_at > now and unreachable:
                blocking.append(holder.front)
        if now < self.leases.former_leases_expire_at:
            return ("whoever the last leader let serve", *blocking)
        return tuple(sorted(blocking))

    def is_silent(self, front: LinkedFront, now: float) -> bool:
        """Whether a front has missed its latest renewals, so that messages to it may be lost as well."""
        return front.is_silent(now, self.lease_timing.renew_seconds)

    @property
    def next_at(self) -> float:
        """The time at which `tick` has to be called; infinity if there is nothing to wait for."""
        change = self.record.open_change
        if change is None or self._write_pending:
            return math.inf
        if change.phase is ChangePhase.CHECKING:
            return self.phase_entered_at + self.lease_timing.check_timeout_seconds
        release_due_at = self.phase_entered_at + self.lease_timing.release_timeout_seconds
        if change.phase is ChangePhase.REVOKING and not self._deferral_is_over(release_due_at):
            return release_due_at
        due_times = [lease.expires_at for lease in self.leases.by_process.values()]
        due_times += [
            self.leases.former_leases_expire_at,
            self._decided_at + self.lease_timing.max_deferral_seconds,
        ]
        return min((due_at for due_at in due_times if due_at > self.phase_entered_at), default=math.inf)

    def _deferral_is_over(self, now: float) -> bool:
        """Whether a decided change has waited long enough for a moment in which no front is silent.

        In a fleet where some front is always down, there may be no such moment. Once the wait is over, the
        leases of all fronts are revoked, and the fleet rejects requests until the last lease has been
        released or has expired. That happens once for a change and lasts for one lease at most.
        """
        return now >= self._decided_at + self.lease_timing.max_deferral_seconds

    # The record -----------------------------------------------------------------------------------

    def record_read(
        self,
        record: PolicyRecord,
        record_version: int,
        expected_fronts: Iterable[str],
        documents: dict[str, bytes],
        now: float,
    ) -> None:
        """Takes over the stored record. A pending write of this leader has succeeded or failed by then."""
        previous, self.record = self.record, record
        self._record_version, self.has_read_state, self._write_pending = record_version, True, False
        self.expected_fronts, self._documents = frozenset(expected_fronts), documents
        if _change_state(previous) != _change_state(record):
            self.phase_entered_at = now
        change = record.open_change
        if change is None:
            self.leases.suspended.clear()
        elif change.phase is not ChangePhase.CHECKING and self._decided_version != change.version:
            self._decided_version, self._decided_at = change.version, now
        if change is None or change.phase is not ChangePhase.REVOKING:
            self._grant_deferred(now)
        self._advance(now)

    def _grant_deferred(self, now: float) -> None:
        for number, front in self.fronts.items():
            front.release_requested_version = 0
            self._grant(number, front, now)

    def _write(self, record: PolicyRecord) -> None:
        self._write_pending = True
        self._actions.write = RecordWrite(self._record_version, record)

    # Fronts ---------------------------------------------------------------------------------------

    def link_opened(self, number: int, name: str, process: str, now: float) -> str:
        """Adds a front that has connected. Returns why it can't take part; empty if it can."""
        if len(self.fronts) >= MAX_FRONTS:
            return f"too many fronts: at most {MAX_FRONTS} can connect to the leader"
        self.fronts[number] = LinkedFront(name, process, now)
        # Nothing verifies the name that a front sends, so the number of stored names is bounded.
        if name not in self.expected_fronts and len(self.expected_fronts) < MAX_FRONTS:
            self._actions.expect_fronts.append(name)
        self._advance(now)
        return ""

    def link_closed(self, number: int, now: float) -> None:
        """Removes a front whose link is closed. It may still be running, so its lease stays valid."""
        self.fronts.pop(number, None)
        self._advance(now)

    def message_received(self, number: int, message: FromParticipant, now: float) -> None:
        """Handles a front's message. Since it arrived, a majority has confirmed that this replica leads."""
        front = self.fronts.get(number)
        if front is None:
            return
        match message:
            case RenewPolicyLease():
                self._renewal_requested(number, front, message, now)
            case DocumentValidated():
                self._validated(front, message)
            case PolicyLeaseReleased(_, serial):
                self.leases.release(front.identity, serial)
            case FetchDocument(document):
                if document in self._documents:
                    self._send(number, DocumentContent(document, self._documents[document]))
        self._advance(now)

    def _send(self, number: int, message: FromCoordinator) -> None:
        self._actions.messages.append((number, message))

    def _renewal_requested(
        self, number: int, front: LinkedFront, request: RenewPolicyLease, now: float
    ) -> None:
        front.renewed_at, front.applied_document = now, request.applied_document
        front.deferred_renewal = request
        self._grant(number, front, now)
        if front.deferred_renewal is request:
            # Without any reply the front would give up this replica and connect to another one.
            self._send(number, RenewalDeferred(request.serial))

    def _validated(self, front: LinkedFront, validation: DocumentValidated) -> None:
        if validation.version == front.validation_requested_version:
            front.validation = validation
            for reason in validation.reasons:
                self._objections.append((validation.version, f"{front.name}: {reason}"))

    def _granting_suspended(self) -> bool:
        change = self.record.open_change
        # A pending write may have moved the record to REVOKING already.
        revoking = change is not None and change.phase is ChangePhase.REVOKING
        return not self.has_read_state or self._write_pending or revoking

    def _grant(self, number: int, front: LinkedFront, now: float) -> None:
        """Grants the lease that a front requested last, unless the request has to wait."""
        if front.deferred_renewal is None or not self.record.version or self._granting_suspended():
            return
        if front.identity in self.leases.suspended:
            return
        serial, front.deferred_renewal = front.deferred_renewal.serial, None
        self.leases.grant(front.identity, serial, now + self.lease_timing.expiry_seconds)
        record, lease_timing = self.record, self.lease_timing
        granted = PolicyLeaseGranted(
            serial, record.version, record.document, lease_timing.trusted_seconds, lease_timing.renew_seconds
        )
        self._send(number, granted)

    # Open change ----------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Advances the open change by the clock; has to be called at `next_at`."""
        self._advance(now)

    def _advance(self, now: float) -> None:
        """Takes the open change to its next state if the condition for that is met."""
        self.leases.drop_expired(now)
        change = self.record.open_change
        if not self.has_read_state or change is None or self._write_pending:
            return
        match change.phase:
            case ChangePhase.CHECKING:
                self._validate(change, now)
            case ChangePhase.DECIDED:
                if not self.blocked_by(now) or self._deferral_is_over(now):
                    self._write(change_states.begin_revoking(self.record, change))
            case ChangePhase.REVOKING:
                self._revoke(change, now)

    def _validate(self, change: PolicyChange, now: float) -> None:
        """Decides the change if no front objects and enough agree; otherwise withdraws it."""
        content = self._documents.get(change.document)
        if content is None:
            self._withdraw(change, ["the document is not there"])
            return
        self._ask_to_validate(change, content)
        # An objection counts even if its front has disconnected since.
        self._objections = [
            (version, reason) for version, reason in self._objections if version == change.version
        ]
        if self._objections:
            self._withdraw(change, sorted(reason for _, reason in self._objections))
            return
        answers = count_agreement(self.fronts.values(), self.expected_fronts)
        enough = answers.suffices(self.lease_timing.min_agreeing_share)
        timed_out = now >= self.phase_entered_at + self.lease_timing.check_timeout_seconds
        if not (answers.all_answered and enough) and not timed_out:
            return
        if enough:
            self._write(change_states.decide(self.record, change, answers.absent))
        else:
            reason = f"only {answers.agreed} of {answers.expected} fronts answered"
            self._withdraw(change, [reason], answers.absent)

    def _ask_to_validate(self, change: PolicyChange, content: bytes) -> None:
        for number, front in self.fronts.items():
            if front.validation_requested_version != change.version:
                front.validation_requested_version, front.validation = change.version, None
                self._send(number, ValidateDocument(change.version, change.document, content))

    def _withdraw(self, change: PolicyChange, reasons: Iterable[str], absent: tuple[str, ...] = ()) -> None:
        self._write(change_states.withdraw(self.record, change, reasons, absent))

    def _revoke(self, change: PolicyChange, now: float) -> None:
        """Activates the change once no lease is valid.

        Returns it to DECIDED if a lease is not released in time, unless the deferral is over.
        """
        for number, front in self.fronts.items():
            if front.release_requested_version != change.version:
                front.release_requested_version = change.version
                self._send(number, RevokePolicyLease(change.version))
        if self.leases.no_lease_remains(now):
            self._write(change_states.activate(self.record, change))
            return
        timed_out = now >= self.phase_entered_at + self.lease_timing.release_timeout_seconds
        if timed_out and not self._deferral_is_over(now):
            # All other fronts serve under the old version again until the remaining leases have expired.
            self.leases.suspend_remaining()
            self._write(change_states.retreat(self.record, change))

    def take_actions(self) -> CoordinatorActions:
        """Returns the actions since the last call, and clears them."""
        actions, self._actions = self._actions, CoordinatorActions()
        return actions


def _change_state(record: PolicyRecord) -> tuple[int, str]:
    change = record.open_change
    return (change.version, change.phase) if change else (0, "")
