"""A small state space of a singleton task: a lease manager, lease holders, and effects that can be delayed.

A process sends effects while its lease allows it to act. An effect can be delayed for any time, as in a
socket's buffer or in a process that is paused, before it arrives at a receiver that checks fencing tokens.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from typing import Any

from tests.support.raft_simulation import InvariantError
from tests.support.state_space import Event, ProcessState, Scope, StateSpace
from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.tasks.fence import Fence
from zincladder.tasks.lease_holder import LeaseHolder
from zincladder.tasks.lease_manager import AssignmentWrite, LeaseManager
from zincladder.tasks.model import TaskAssignment

LEASE_TIMING = LeaseTiming(lease_seconds=3.0, renew_seconds=2.0, clock_drift=0.0, max_action_seconds=0.0)
TASK = "figures"


class TaskStateSpace(StateSpace):
    """The states of one task that all processes offer to run; at most `effects` effects are sent."""

    def __init__(self, scope: Scope, processes: int = 2, effects: int = 2, fenced: bool = True) -> None:
        self.register: tuple[TaskAssignment, int] = (TaskAssignment(), 0)
        self.index = 1
        self.effects, self.fenced = effects, fenced
        self.tokens_in_transit: list[int] = []  # tokens of the effects that were sent and have not arrived
        self.fence = Fence()
        self.accepted_tokens: list[int] = []  # tokens of the effects that the receiver accepted, in order
        self.highest_active_token = 0  # the highest token under which a process could act
        super().__init__(scope, processes)
        self.read_registers()
        for n in range(processes):
            self.open_link(n)

    def new_leader(self, since: float) -> LeaseManager:
        return LeaseManager(LEASE_TIMING, since, self.term)

    def new_participant(self, now: float) -> LeaseHolder:
        return LeaseHolder([TASK], now)

    def read_registers(self) -> None:
        assignment, version = self.register
        self.leader.assignments_read({TASK: (assignment, version)} if version else {}, self.time)

    def apply_write(self, write: AssignmentWrite) -> None:
        if write.expected_version == self.register[1]:
            self.index += 1
            self.register = (write.assignment, self.index)

    def write_applied(self, write: AssignmentWrite) -> None:
        self.leader.write_ended(write.task, self.time)

    def leader_actions(self) -> tuple[list[tuple[int, Any]], list[Any]]:
        actions = self.leader.take_actions()
        return actions.messages, actions.writes

    def carry_out(self, process: ProcessState) -> None:
        actions = process.participant.take_actions()
        process.to_leader += actions.messages if process.link else []

    # Effects and commands -----------------------------------------------------------------------------

    def send_effect(self, n: int) -> None:
        self.effects -= 1
        self.tokens_in_transit.append(self.processes[n].participant.active_token(TASK, self.time))

    def deliver_effect(self, n: int) -> None:
        token = self.tokens_in_transit.pop(n)
        if not self.fenced or not self.fence.admit(TASK, token):
            self.accepted_tokens.append(token)

    def move_task(self) -> None:
        """Vacates the task, as an operator's command to move it does."""
        self.adjust_remaining(changes=-1)
        self.index += 1
        self.register = (TaskAssignment(vacancy_reason="moved"), self.index)
        self.read_registers()
        self.advance_leader()

    def release_task(self, n: int) -> None:
        self.adjust_remaining(changes=-1)
        self.processes[n].participant.release(TASK)
        self.carry_out(self.processes[n])

    def model_events(self) -> Iterator[Event]:
        for n, process in enumerate(self.processes):
            if self.effects and process.participant.active_token(TASK, self.time):
                yield partial(type(self).send_effect, n=n)
            if self.remaining.changes and TASK in process.participant.leases:
                yield partial(type(self).release_task, n=n)
        for n in range(len(self.tokens_in_transit)):
            yield partial(type(self).deliver_effect, n=n)
        if self.remaining.changes and self.register[0].lease_holder:
            yield type(self).move_task

    def key(self) -> Any:
        holders = [self._holder_key(process) for process in self.processes]
        return repr((self.now, self.register, self.index, self.pending, self.remaining, self.lost_links,
                     self.tokens_in_transit, self.fence.highest, self.accepted_tokens,
                     self.highest_active_token, self.effects, self._manager_key(), holders))  # fmt: skip

    def _manager_key(self) -> Any:
        leader = self.leader
        return (leader.assignments, leader.leases, leader._former_leases_expire_at, leader._announced,
                sorted(leader._pending_writes), leader.has_read_state,
                sorted(leader.runners.items()))  # fmt: skip

    @staticmethod
    def _holder_key(process: ProcessState) -> Any:
        holder, renewals = process.participant, process.participant.renewals
        return (process.generation, process.link, process.to_leader, process.from_leader, holder.leases,
                renewals.serial, renewals.requested_at, renewals.next_at, holder.linked,
                sorted(holder._running))  # fmt: skip

    def check_invariants(self) -> None:
        acting = [token for p in self.processes if (token := p.participant.active_token(TASK, self.time))]
        if len(acting) > 1:
            raise InvariantError(f"two processes may act on the task: tokens {acting}")
        for token in acting:
            if token < self.highest_active_token:
                raise InvariantError(
                    f"token {token} may act after the newer token {self.highest_active_token}"
                )
            self.highest_active_token = token
        if self.accepted_tokens != sorted(self.accepted_tokens):
            raise InvariantError(f"effects were accepted out of token order: {self.accepted_tokens}")


def taken_over(state: TaskStateSpace) -> bool:
    """Returns whether a process could act under a second lease; the token of the first one is 2."""
    return state.highest_active_token > 2
