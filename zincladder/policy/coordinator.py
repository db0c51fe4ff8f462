"""The leader's part in a policy change: leases on the version in force, and the phases of a change. No I/O.

What a new leader needs is in the group's record, which changes by compare and swap. Leases are not in
it: a new leader waits until all that its predecessor may have granted have expired. Every message handed in
was followed by a confirmation that this replica leads, so no lease began after a successor's election.

`ChangePhase` names the states of a change. Silent fronts are waited for while it is decided, and all others
go on serving under the old version; so a change costs the clients one message to each front, its answer, and
one write of the record.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.policy import change_states
from zincladder.policy.granted_leases import GrantedLeases
from zincladder.policy.linked_fronts import LinkedFront, agreement
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
    """The record is to be replaced, if its key still has the expected version."""

    expected_version: int
    record: PolicyRecord


@dataclass(slots=True)
class CoordinatorActions:
    """What the host is to do."""

    messages: list[tuple[int, FromCoordinator]] = field(default_factory=list)  # with the number of the link
    write: RecordWrite | None = None
    expect_fronts: list[str] = field(default_factory=list)  # to be stored as expected


class ChangeCoordinator:
    """Decides for one leader in one term."""

    def __init__(self, lease_timing: LeaseTiming, now: float, term: int = 0) -> None:
        self.lease_timing, self.term = lease_timing, term
        self.record, self._record_version = PolicyRecord(), 0
        self.has_read_state = False  # whether the record has been read in this term
        self.expected_fronts: frozenset[str] = frozenset()
        self.fronts: dict[int, LinkedFront] = {}  # by the number of the link
        self.leases = GrantedLeases(now + lease_timing.expiry_seconds)
        self._documents: dict[str, bytes] = {}
        self._objections: list[tuple[int, str]] = []  # versions, and why a front can't serve under them
        self._decided_version, self._decided_at = 0, now  # as far as this leader knows
        self.phase_entered_at = now  # as far as this leader knows
        self._write_pending = False
        self._actions = CoordinatorActions()

    # Questions ------------------------------------------------------------------------------------

    @property
    def absent(self) -> tuple[str, ...]:
        """Expected fronts without a link, by name."""
        return tuple(sorted(self.expected_fronts - {front.name for front in self.fronts.values()}))

    def blocked_by(self, now: float) -> tuple[str, ...]:
        """Who may still rely on the version in force, and can't be asked to release its lease."""
        linked = {front.identity: front for front in self.fronts.values()}
        blocking = []
        for holder, lease in self.leases.by_process.items():
            front = linked.get(holder)
            unreachable = front is None or holder in self.leases.fenced_off or self.is_silent(front, now)
            if lease.expires_at > now and unreachable:
                blocking.append(holder.front)
        if now < self.leases.former_leases_expire_at:
            return ("whoever the last leader let serve", *blocking)
        return tuple(sorted(blocking))

    def is_silent(self, front: LinkedFront, now: float) -> bool:
        """Whether a front has missed its renewals, so that it may not hear either."""
        return front.is_silent(now, self.lease_timing.renew_seconds)

    @property
    def next_at(self) -> float:
        """When `tick` is due."""
        change = self.record.open_change
        if change is None or self._write_pending:
            return math.inf
        if change.phase is ChangePhase.CHECKING:
            return self.phase_entered_at + self.lease_timing.check_timeout_seconds
        release_due_at = self.phase_entered_at + self.lease_timing.release_timeout_seconds
        if change.phase is ChangePhase.REVOKING and not self._deferral_is_over(release_due_at):
            return release_due_at
        moments = [lease.expires_at for lease in self.leases.by_process.values()]
        moments += [
            self.leases.former_leases_expire_at,
            self._decided_at + self.lease_timing.max_deferral_seconds,
        ]
        return min((moment for moment in moments if moment > self.phase_entered_at), default=math.inf)

    def _deferral_is_over(self, now: float) -> bool:
        """Whether a decided change has waited long enough for a moment in which no front is silent.

        Guards a change in a fleet of which some front is always gone: that moment may never come. All fronts
        then wait at once for whoever is gone: for one lease at most, once.
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
        """Takes over what the state holds; a write of this leader has succeeded or failed by then."""
        previous, self.record = self.record, record
        self._record_version, self.has_read_state, self._write_pending = record_version, True, False
        self.expected_fronts, self._documents = frozenset(expected_fronts), documents
        if _state(previous) != _state(record):
            self.phase_entered_at = now
        change = record.open_change
        if change is None:
            self.leases.fenced_off.clear()
        elif change.phase is not ChangePhase.CHECKING and self._decided_version != change.version:
            self._decided_version, self._decided_at = change.version, now
        if change is None or change.phase is not ChangePhase.REVOKING:
            self._resume_granting(now)
        self._advance(now)

    def _resume_granting(self, now: float) -> None:
        for number, front in self.fronts.items():
            front.asked_to_release = 0
            self._grant(number, front, now)

    def _write(self, record: PolicyRecord) -> None:
        self._write_pending = True
        self._actions.write = RecordWrite(self._record_version, record)

    # Fronts ---------------------------------------------------------------------------------------

    def link_opened(self, number: int, name: str, process: str, now: float) -> str:
        """A front has connected; the reason why it can't take part, or nothing."""
        if len(self.fronts) >= MAX_FRONTS:
            return f"{MAX_FRONTS} fronts at most"
        self.fronts[number] = LinkedFront(name, process, now)
        # Guards the key-value state: a front's name is its own claim.
        if name not in self.expected_fronts and len(self.expected_fronts) < MAX_FRONTS:
            self._actions.expect_fronts.append(name)
        self._advance(now)
        return ""

    def link_closed(self, number: int, now: float) -> None:
        """A link is gone. The front may be alive all the same: its lease runs on."""
        self.fronts.pop(number, None)
        self._advance(now)

    def message_received(self, number: int, message: FromParticipant, now: float) -> None:
        """Takes a front's message, received before a moment at which this replica was confirmed to lead."""
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
            # Guards the link: a front that hears nothing takes this replica for dead.
            self._send(number, RenewalDeferred(request.serial))

    def _validated(self, front: LinkedFront, validation: DocumentValidated) -> None:
        if validation.version == front.asked_about:
            front.validation = validation
            for reason in validation.reasons:
                self._objections.append((validation.version, f"{front.name}: {reason}"))

    def _granting_suspended(self) -> bool:
        change = self.record.open_change
        # While the record is being written, it may be REVOKING already, for all that is known here.
        revoking = change is not None and change.phase is ChangePhase.REVOKING
        return not self.has_read_state or self._write_pending or revoking

    def _grant(self, number: int, front: LinkedFront, now: float) -> None:
        """Answers a front's latest request, unless it has to be deferred."""
        if front.deferred_renewal is None or not self.record.version or self._granting_suspended():
            return
        if front.identity in self.leases.fenced_off:
            return
        serial, front.deferred_renewal = front.deferred_renewal.serial, None
        self.leases.grant(front.identity, serial, now + self.lease_timing.expiry_seconds)
        record, lease_timing = self.record, self.lease_timing
        granted = PolicyLeaseGranted(
            serial, record.version, record.document, lease_timing.trusted_seconds, lease_timing.renew_seconds
        )
        self._send(number, granted)

    # A change -------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Takes the steps that are due."""
        self._advance(now)

    def _advance(self, now: float) -> None:
        """Takes the next step of the open change, if its condition is met."""
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
        """Decides the change once enough fronts agree; withdraws it if one objects or too few answer."""
        content = self._documents.get(change.document)
        if content is None:
            self._withdraw(change, ["the document is not there"])
            return
        self._ask_to_validate(change, content)
        # The objection of a front that is gone again counts all the same.
        self._objections = [
            (version, reason) for version, reason in self._objections if version == change.version
        ]
        if self._objections:
            self._withdraw(change, sorted(reason for _, reason in self._objections))
            return
        answers = agreement(self.fronts.values(), self.expected_fronts)
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
            if front.asked_about != change.version:
                front.asked_about, front.validation = change.version, None
                self._send(number, ValidateDocument(change.version, change.document, content))

    def _withdraw(self, change: PolicyChange, reasons: Iterable[str], absent: tuple[str, ...] = ()) -> None:
        self._write(change_states.withdraw(self.record, change, reasons, absent))

    def _revoke(self, change: PolicyChange, now: float) -> None:
        """Activates the change once no lease is left; retreats if some front does not release its lease."""
        for number, front in self.fronts.items():
            if front.asked_to_release != change.version:
                front.asked_to_release = change.version
                self._send(number, RevokePolicyLease(change.version))
        if self.leases.none_left(now):
            self._write(change_states.activate(self.record, change))
            return
        timed_out = now >= self.phase_entered_at + self.lease_timing.release_timeout_seconds
        if timed_out and not self._deferral_is_over(now):
            # All others go on as before until the lease of whoever has not released it has expired.
            self.leases.fence_off_remaining()
            self._write(change_states.retreat(self.record, change))

    def take_actions(self) -> CoordinatorActions:
        """What is to be done since the last time."""
        actions, self._actions = self._actions, CoordinatorActions()
        return actions


def _state(record: PolicyRecord) -> tuple[int, str]:
    change = record.open_change
    return (change.version, change.phase) if change else (0, "")
