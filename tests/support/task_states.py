"""A singleton task at small scope: a lease manager and lease holders, and effects that arrive at any later
time.

A lease holder that may act sends an effect, which is then under way for as long as anybody likes: in a
socket's buffer, or between two lines of a process that sleeps. It arrives at a receiver with a fence.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from typing import Any

from tests.simulated import Broken
from tests.small import Event, Place, Scope, Small
from zincladder.agreement.terms import Terms
from zincladder.tasks.fence import Fence
from zincladder.tasks.lease_holder import LeaseHolder
from zincladder.tasks.lease_manager import AssignmentWrite, LeaseManager
from zincladder.tasks.model import TaskAssignment

TERMS = Terms(lease=3.0, renew=2.0, drift=0.0, act=0.0)
TASK = "figures"


class SmallTasks(Small):
    """One task that all processes offer to run; `effects` bounds how many are sent in all."""

    def __init__(self, scope: Scope, processes: int = 2, effects: int = 2, fenced: bool = True) -> None:
        self.register: tuple[TaskAssignment, int] = (TaskAssignment(), 0)
        self.index = 1
        self.effects, self.fenced = effects, fenced
        self.under_way: list[int] = []  # tokens
        self.fence = Fence()
        self.arrived: list[int] = []  # tokens of what was admitted, in order
        self.acted = 0  # the highest token under which anybody could act
        super().__init__(scope, processes)
        self.knows()
        for n in range(processes):
            self.link(n)

    def begin(self, since: float) -> LeaseManager:
        return LeaseManager(TERMS, since, self.term)

    def mind(self, now: float) -> LeaseHolder:
        return LeaseHolder([TASK], now)

    def knows(self) -> None:
        assignment, version = self.register
        self.part.assignments_read({TASK: (assignment, version)} if version else {}, self.time)

    def land(self, write: AssignmentWrite) -> None:
        if write.expected_version == self.register[1]:
            self.index += 1
            self.register = (write.assignment, self.index)

    def landed(self, write: AssignmentWrite) -> None:
        self.part.write_ended(write.task, self.time)

    def wishes(self) -> tuple[list[tuple[int, Any]], list[Any]]:
        actions = self.part.take_actions()
        return actions.messages, actions.writes

    def settle(self, place: Place) -> None:
        actions = place.mind.take_actions()
        place.to += actions.messages if place.number else []

    # Effects and commands -----------------------------------------------------------------------------

    def sends_effect(self, n: int) -> None:
        self.effects -= 1
        self.under_way.append(self.places[n].mind.active_token(TASK, self.time))

    def effect_arrives(self, n: int) -> None:
        token = self.under_way.pop(n)
        if not self.fenced or not self.fence.admit(TASK, token):
            self.arrived.append(token)

    def moved_by_command(self) -> None:
        """An operator takes the task from whoever holds it."""
        self.spend(changes=-1)
        self.index += 1
        self.register = (TaskAssignment(vacancy_reason="moved"), self.index)
        self.knows()
        self.conduct()

    def released(self, n: int) -> None:
        self.spend(changes=-1)
        self.places[n].mind.release(TASK)
        self.settle(self.places[n])

    def more(self) -> Iterator[Event]:
        for n, place in enumerate(self.places):
            if self.effects and place.mind.active_token(TASK, self.time):
                yield partial(type(self).sends_effect, n=n)
            if self.left.changes and TASK in place.mind.held:
                yield partial(type(self).released, n=n)
        for n in range(len(self.under_way)):
            yield partial(type(self).effect_arrives, n=n)
        if self.left.changes and self.register[0].lease_holder:
            yield type(self).moved_by_command

    def key(self) -> Any:
        holders = [self._holder_key(place) for place in self.places]
        return repr((self.now, self.register, self.index, self.pending, self.left, self.lost, self.under_way,
                     self.fence.highest, self.arrived, self.acted, self.effects, self._manager_key(),
                     holders))  # fmt: skip

    def _manager_key(self) -> Any:
        part = self.part
        return (part.assignments, part.leases, part._former_leases_expire_at, part._announced,
                sorted(part._pending_writes), part.known, sorted(part.runners.items()))  # fmt: skip

    @staticmethod
    def _holder_key(place: Place) -> Any:
        mind, renewals = place.mind, place.mind.renewals
        return (place.process, place.number, place.to, place.back, mind.held, renewals.serial,
                renewals.requested_at, renewals.next_at, mind.linked, sorted(mind._running))  # fmt: skip

    def judge(self) -> None:
        acting = [token for p in self.places if (token := p.mind.active_token(TASK, self.time))]
        if len(acting) > 1:
            raise Broken(f"two processes may act on the task: tokens {acting}")
        for token in acting:
            if token < self.acted:
                raise Broken(f"token {token} acts after {self.acted} could")
            self.acted = token
        if self.arrived != sorted(self.arrived):
            raise Broken(f"effects were admitted in this order: {self.arrived}")


def taken_over(state: SmallTasks) -> bool:
    """Whether a second lease holder could act."""
    return state.acted > 2
