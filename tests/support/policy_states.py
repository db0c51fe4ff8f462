"""The policy at small scope: a coordinator and a few participants, few changes, few faults."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from tests.simulated import Broken
from tests.small import Event, Place, Scope, Small
from zincladder.agreement.terms import Terms
from zincladder.policy.change_states import propose_change
from zincladder.policy.coordinator import ChangeCoordinator, RecordWrite
from zincladder.policy.model import ChangePhase, PolicyRecord
from zincladder.policy.participant import ChangeParticipant

TERMS = Terms(lease=3.0, renew=2.0, drift=0.0, check=1.0, clear=1.0)
DOCUMENTS = {f"d{n}": b"%d" % n for n in range(1, 9)}


class SmallFleet(Small):
    """All fronts serve under version 1 at the start."""

    def __init__(self, scope: Scope, fronts: int = 2) -> None:
        self.record, self.record_version, self.in_force = PolicyRecord(1, "d1"), 1, 1
        self.expected_fronts = [f"f{n}" for n in range(fronts)]
        super().__init__(scope, fronts)
        self.knows()
        for n, place in enumerate(self.places):
            place.mind.applied("d1")
            self.link(n)
            while place.to or place.back:
                self.to_leader(n) if place.to else self.to_process(n)

    def begin(self, since: float) -> ChangeCoordinator:
        return ChangeCoordinator(TERMS, since, self.term)

    def mind(self, now: float) -> ChangeParticipant:
        return ChangeParticipant(now)

    def knows(self) -> None:
        self.part.record_read(self.record, self.record_version, self.expected_fronts, DOCUMENTS, self.time)

    def land(self, write: RecordWrite) -> None:
        if write.expected_version == self.record_version:
            self.record, self.record_version = write.record, self.record_version + 1

    def wishes(self) -> tuple[list[tuple[int, Any]], list[Any]]:
        actions = self.part.take_actions()
        return actions.messages, [actions.write] if actions.write else []

    def settle(self, place: Place) -> None:
        while True:
            actions = place.mind.take_actions()
            for request in actions.validate:
                place.mind.validated(request, ())
            for document, _ in actions.apply:
                place.mind.applied(document)
            place.to += actions.messages if place.number else []
            if not (actions.messages or actions.validate or actions.apply):
                return

    def propose(self) -> None:
        self.spend(changes=-1)
        document = f"d{self.record.version + 1}"
        self.record = propose_change(self.record, self.record.version, document, "", "", 0.0)
        self.record_version += 1
        self.knows()
        self.conduct()

    def more(self) -> Iterator[Event]:
        if self.record.open_change is None and self.left.changes and not self.pending:
            yield type(self).propose

    def key(self) -> Any:
        fronts = [self._front_key(place) for place in self.places]
        return repr((self.now, self.record, self.record_version, self.pending, self.left, self.in_force,
                     self.lost, self._leader_key(), fronts))  # fmt: skip

    def _leader_key(self) -> Any:
        part, leases = self.part, self.part.leases
        return (part.record, sorted(leases.by_process.items()), sorted(leases.fenced_off),
                leases.former_leases_expire_at, part.phase_entered_at, part._write_pending,
                part._objections, sorted(part.fronts.items()), part.known)  # fmt: skip

    @staticmethod
    def _front_key(place: Place) -> Any:
        mind, renewals = place.mind, place.mind.renewals
        return (place.process, place.number, place.to, place.back, mind.version, mind.lease_expires_at,
                mind.applied_document, mind.released, renewals.requested_at, mind._void_serial,
                renewals.serial, renewals.next_at, mind._leased_document, sorted(mind._documents),
                mind.linked)  # fmt: skip

    def judge(self) -> None:
        serving = {version for p in self.places if (version := p.mind.serving_version(self.time))}
        if len(serving) > 1:
            raise Broken(f"two versions in force: {serving}")
        for version in serving:
            if version < self.in_force:
                raise Broken(f"version {version} is served after {self.in_force} was")
            self.in_force = version
        if self.record.version < self.in_force:
            raise Broken(f"version {self.in_force} is served before it is in force")
        change = self.record.open_change
        if change and change.version <= self.record.version and change.phase is not ChangePhase.VALIDATING:
            raise Broken(f"version {change.version} is committed twice")


def in_force(state: SmallFleet) -> bool:
    """Whether a change has come into force."""
    return state.in_force > 1
