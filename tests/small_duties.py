"""Duties at small scope: steward and owners, and effects that arrive at any later time.

An owner that may act lets go of an effect, which is then under way for as long as anybody likes: in a
socket's buffer, or between two lines of a process that sleeps. It arrives at a receiver with a fence, and
as progress in the group's log.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from typing import Any

from tests.small import Event, Place, Scope, Small
from tests.support.raft_simulation import Broken
from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.ownership.fence import Fence
from zincladder.ownership.model import Duty
from zincladder.ownership.owner import Owner
from zincladder.ownership.steward import Steward, Take

TERMS = LeaseTiming(lease_seconds=3.0, renew_seconds=2.0, clock_drift=0.0, max_action_seconds=0.0)
DUTY = "figures"


class SmallDuties(Small):
    """One duty that all processes want; `effects` are how many may be let go in all."""

    def __init__(self, scope: Scope, processes: int = 2, effects: int = 2, fenced: bool = True) -> None:
        self.register: tuple[Duty, int] = (Duty(), 0)
        self.index = 1
        self.effects, self.fenced = effects, fenced
        self.under_way: list[int] = []  # tokens
        self.fence = Fence()
        self.arrived: list[int] = []  # tokens of what was accepted, in order
        self.acted = 0  # the highest token that anybody could act under
        super().__init__(scope, processes)
        self.knows()
        for n in range(processes):
            self.link(n)

    def begin(self, since: float) -> Steward:
        return Steward(TERMS, since, self.term)

    def mind(self, now: float) -> Owner:
        return Owner([DUTY], now)

    def knows(self) -> None:
        duty, version = self.register
        self.part.knows({DUTY: (duty, version)} if version else {}, self.time)

    def land(self, write: Take) -> None:
        if write.expected == self.register[1]:
            self.index += 1
            self.register = (write.value, self.index)

    def landed(self, write: Take) -> None:
        self.part.wrote(write.duty, self.time)

    def wishes(self) -> tuple[list[tuple[int, Any]], list[Any]]:
        wish = self.part.take()
        return wish.say, wish.write

    def settle(self, place: Place) -> None:
        wish = place.mind.take()
        place.to += wish.say if place.number else []

    # Effects and commands -----------------------------------------------------------------------------

    def lets_go(self, n: int) -> None:
        self.effects -= 1
        self.under_way.append(self.places[n].mind.acting(DUTY, self.time))

    def arrives(self, n: int) -> None:
        token = self.under_way.pop(n)
        if not self.fenced or not self.fence.admit(DUTY, token):
            self.arrived.append(token)

    def commanded(self) -> None:
        """An operator takes the duty from whoever has it."""
        self.spend(changes=-1)
        self.index += 1
        self.register = (Duty(left="moved"), self.index)
        self.knows()
        self.conduct()

    def given_back(self, n: int) -> None:
        self.spend(changes=-1)
        self.places[n].mind.give_back(DUTY)
        self.settle(self.places[n])

    def more(self) -> Iterator[Event]:
        for n, place in enumerate(self.places):
            if self.effects and place.mind.acting(DUTY, self.time):
                yield partial(type(self).lets_go, n=n)
            if self.left.changes and DUTY in place.mind.held:
                yield partial(type(self).given_back, n=n)
        for n in range(len(self.under_way)):
            yield partial(type(self).arrives, n=n)
        if self.left.changes and self.register[0].owner:
            yield type(self).commanded

    def key(self) -> Any:
        s = self.part
        minds = [(p.process, p.number, p.to, p.back, p.mind.held, p.mind._serial, p.mind._asked,
                  p.mind._renew_at, p.mind.linked, sorted(p.mind._working)) for p in self.places]  # fmt: skip
        part = (s.duties, s.lent, s._unknown, s._told, sorted(s._writing), s.known, sorted(s.workers.items()))
        return repr((self.now, self.register, self.index, self.pending, self.left, self.lost, self.under_way,
                     self.fence.highest, self.arrived, self.acted, self.effects, part, minds))  # fmt: skip

    def judge(self) -> None:
        acting = [token for p in self.places if (token := p.mind.acting(DUTY, self.time))]
        if len(acting) > 1:
            raise Broken(f"two own the duty: tokens {acting}")
        for token in acting:
            if token < self.acted:
                raise Broken(f"token {token} acts after {self.acted} could")
            self.acted = token
        if self.arrived != sorted(self.arrived):
            raise Broken(f"effects were accepted in this order: {self.arrived}")


def taken_over(state: SmallDuties) -> bool:
    """Whether a second owner could act."""
    return state.acted > 2
