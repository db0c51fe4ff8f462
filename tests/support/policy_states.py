"""A small state space of the policy: a coordinator and a few fronts, with a limit on changes and faults."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from tests.support.raft_simulation import InvariantError
from tests.support.state_space import Event, ProcessState, Scope, StateSpace
from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.policy.change_states import propose_change
from zincladder.policy.coordinator import ChangeCoordinator, RecordWrite
from zincladder.policy.model import ChangePhase, PolicyRecord
from zincladder.policy.participant import ChangeParticipant

LEASE_TIMING = LeaseTiming(
    lease_seconds=3.0,
    renew_seconds=2.0,
    clock_drift=0.0,
    check_timeout_seconds=1.0,
    release_timeout_seconds=1.0,
)
DOCUMENTS = {f"d{n}": b"%d" % n for n in range(1, 9)}


class PolicyStateSpace(StateSpace):
    """The states of a coordinator and its fronts, all of which serve under version 1 at the start."""

    def __init__(self, scope: Scope, fronts: int = 2) -> None:
        self.record, self.record_version, self.in_force = PolicyRecord(1, "d1"), 1, 1
        self.expected_fronts = [f"f{n}" for n in range(fronts)]
        super().__init__(scope, fronts)
        self.read_registers()
        for n, process in enumerate(self.processes):
            process.participant.applied("d1")
            self.open_link(n)
            while process.to_leader or process.from_leader:
                self.deliver_to_leader(n) if process.to_leader else self.deliver_to_process(n)

    def new_leader(self, since: float) -> ChangeCoordinator:
        return ChangeCoordinator(LEASE_TIMING, since, self.term)

    def new_participant(self, now: float) -> ChangeParticipant:
        return ChangeParticipant(now)

    def read_registers(self) -> None:
        self.leader.record_read(self.record, self.record_version, self.expected_fronts, DOCUMENTS, self.time)

    def apply_write(self, write: RecordWrite) -> None:
        if write.expected_version == self.record_version:
            self.record, self.record_version = write.record, self.record_version + 1

    def leader_actions(self) -> tuple[list[tuple[int, Any]], list[Any]]:
        actions = self.leader.take_actions()
        return actions.messages, [actions.write] if actions.write else []

    def carry_out(self, process: ProcessState) -> None:
        while True:
            actions = process.participant.take_actions()
            for request in actions.validate:
                process.participant.validated(request, ())
            for document, _ in actions.apply:
                process.participant.applied(document)
            process.to_leader += actions.messages if process.link else []
            if not (actions.messages or actions.validate or actions.apply):
                return

    def propose(self) -> None:
        self.adjust_remaining(changes=-1)
        document = f"d{self.record.version + 1}"
        self.record = propose_change(self.record, self.record.version, document, "", "", 0.0)
        self.record_version += 1
        self.read_registers()
        self.advance_leader()

    def model_events(self) -> Iterator[Event]:
        if self.record.open_change is None and self.remaining.changes and not self.pending:
            yield type(self).propose

    def key(self) -> Any:
        fronts = [self._front_key(process) for process in self.processes]
        return repr((self.now, self.record, self.record_version, self.pending, self.remaining, self.in_force,
                     self.lost_links, self._leader_key(), fronts))  # fmt: skip

    def _leader_key(self) -> Any:
        leader, leases = self.leader, self.leader.leases
        return (leader.record, sorted(leases.by_process.items()), sorted(leases.suspended),
                leases.former_leases_expire_at, leader.phase_entered_at, leader._write_pending,
                leader._objections, sorted(leader.fronts.items()), leader.has_read_state)  # fmt: skip

    @staticmethod
    def _front_key(process: ProcessState) -> Any:
        front, renewals = process.participant, process.participant.renewals
        return (process.generation, process.link, process.to_leader, process.from_leader, front.version,
                front.lease_expires_at, front.applied_document, front.released, renewals.requested_at,
                front._ignored_through_serial, renewals.serial, renewals.next_at, front._leased_document,
                sorted(front._documents), front.linked)  # fmt: skip

    def check_invariants(self) -> None:
        serving = {version for p in self.processes if (version := p.participant.serving_version(self.time))}
        if len(serving) > 1:
            raise InvariantError(f"fronts serve under two versions: {serving}")
        for version in serving:
            if version < self.in_force:
                raise InvariantError(f"version {version} is served after version {self.in_force}")
            self.in_force = version
        if self.record.version < self.in_force:
            raise InvariantError(f"version {self.in_force} is served before it is active")
        change = self.record.open_change
        if change and change.version <= self.record.version and change.phase is not ChangePhase.CHECKING:
            raise InvariantError(f"version {change.version} is decided twice")


def in_force(state: PolicyStateSpace) -> bool:
    """Returns whether any front has served under a changed policy."""
    return state.in_force > 1
