"""The policy's conductor and holders at small scope: two fronts, few changes, few faults."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from tests.small import Event, Place, Scope, Small
from tests.support.raft_simulation import Broken
from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.policy.conductor import Conductor, Write, proposed
from zincladder.policy.holder import Holder
from zincladder.policy.model import Phase, Record

TERMS = LeaseTiming(
    lease_seconds=3.0,
    renew_seconds=2.0,
    clock_drift=0.0,
    check_timeout_seconds=1.0,
    release_timeout_seconds=1.0,
)
DOCUMENTS = {f"d{n}": b"%d" % n for n in range(1, 9)}


class SmallFleet(Small):
    """All fronts serve under version 1 at the start."""

    def __init__(self, scope: Scope, fronts: int = 2) -> None:
        self.record, self.at, self.in_force = Record(1, "d1"), 1, 1
        self.roster = [f"f{n}" for n in range(fronts)]
        super().__init__(scope, fronts)
        self.knows()
        for n, place in enumerate(self.places):
            place.mind.took("d1")
            self.link(n)
            while place.to or place.back:
                self.to_leader(n) if place.to else self.to_process(n)

    def begin(self, since: float) -> Conductor:
        return Conductor(TERMS, since, self.term)

    def mind(self, now: float) -> Holder:
        return Holder(now)

    def knows(self) -> None:
        self.part.knows(self.record, self.at, self.roster, DOCUMENTS, self.time)

    def land(self, write: Write) -> None:
        if write.expected == self.at:
            self.record, self.at = write.record, self.at + 1

    def wishes(self) -> tuple[list[tuple[int, Any]], list[Any]]:
        wish = self.part.take()
        return wish.say, [wish.write] if wish.write else []

    def settle(self, place: Place) -> None:
        while True:
            wish = place.mind.take()
            for check in wish.check:
                place.mind.checked(check, ())
            for document, _ in wish.apply:
                place.mind.took(document)
            place.to += wish.say if place.number else []
            if not (wish.say or wish.check or wish.apply):
                return

    def propose(self) -> None:
        self.spend(changes=-1)
        new = proposed(self.record, self.record.version, f"d{self.record.version + 1}", "", "", 0.0)
        assert isinstance(new, Record)
        self.record, self.at = new, self.at + 1
        self.knows()
        self.conduct()

    def more(self) -> Iterator[Event]:
        if self.record.open is None and self.left.changes and not self.pending:
            yield type(self).propose

    def key(self) -> Any:
        c = self.part
        fronts = [(p.process, p.number, p.to, p.back, p.mind.version, p.mind.until, p.mind.applied,
                   p.mind.released, p.mind._asked, p.mind._void, p.mind._serial, p.mind._renew_at,
                   p.mind._document, sorted(p.mind._documents), p.mind.linked)
                  for p in self.places]  # fmt: skip
        leader = (c.record, sorted(c.holding.items()), sorted(c._barred), c._unknown, c.since, c._writing,
                  c._against, sorted(c.fronts.items()), c.known)  # fmt: skip
        return repr((self.now, self.record, self.at, self.pending, self.left, self.in_force, self.lost,
                     leader, fronts))  # fmt: skip

    def judge(self) -> None:
        serving = {v for p in self.places if (v := p.mind.serving(self.time))}
        if len(serving) > 1:
            raise Broken(f"two versions in force: {serving}")
        for version in serving:
            if version < self.in_force:
                raise Broken(f"version {version} is served after {self.in_force} was")
            self.in_force = version
        if self.record.version < self.in_force:
            raise Broken(f"version {self.in_force} is served before it is in force")
        change = self.record.open
        if change and change.version <= self.record.version and change.phase is not Phase.CHECKING:
            raise Broken(f"version {change.version} is decided twice")


def in_force(state: SmallFleet) -> bool:
    """Whether a change has come into force."""
    return state.in_force > 1
