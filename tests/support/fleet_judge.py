"""The rules that hold for a policy in a simulated fleet, whatever fails."""

from __future__ import annotations

from collections.abc import Mapping

from tests.support.raft_simulation import InvariantError
from zincladder.policy.change_log import ChangeLog
from zincladder.policy.model import ChangeOutcome, ChangePhase, PolicyChange


class FleetJudge:
    """What has been seen of all processes; each method raises Broken where a rule is."""

    def __init__(self, min_agreeing_share: float) -> None:
        self.min_agreeing_share = min_agreeing_share
        self.agreed: set[tuple[str, str]] = set()  # fronts and documents
        self.objections_heard: set[tuple[str, int, str]] = set()  # by a leader in its term, of a document
        self.decided: dict[int, str] = {}  # documents by version
        self.expected_at_proposal: dict[int, int] = {}  # expected fronts when a change was proposed
        self.in_force = 0  # the highest version that was served

    def serving(self, versions: Mapping[str, int]) -> None:
        """The versions that fronts serve under at one moment."""
        if len(set(versions.values())) > 1:
            raise InvariantError(f"two versions in force: {versions}")
        for version in set(versions.values()):
            if version < self.in_force:
                raise InvariantError(f"version {version} is served after {self.in_force} was")
            self.in_force = version
            if version not in self.decided:
                raise InvariantError(f"version {version} is served and was never decided")

    def leader_writes(self, leader: str, term: int, change: PolicyChange | None) -> None:
        """A leader is about to write its open change."""
        if change is None or change.phase is not ChangePhase.DECIDED or self.decided.get(change.version):
            return
        if (leader, term, change.document) in self.objections_heard:
            raise InvariantError(f"version {change.version} is decided against a front's objection")

    def record_applied(self, stored: ChangeLog) -> None:
        """The group has changed the policy's record."""
        change = stored.record.open_change
        if change is not None:
            self.expected_at_proposal.setdefault(change.version, len(stored.expected_fronts))
            if change.phase is not ChangePhase.CHECKING and change.version not in self.decided:
                self._decided(change)
        for entry in stored.record.log:
            if entry.version in self.decided and entry.outcome is ChangeOutcome.WITHDRAWN:
                raise InvariantError(f"version {entry.version} was decided and withdrawn")

    def _decided(self, change: PolicyChange) -> None:
        self.decided[change.version] = change.document
        agreed = {front for front, document in self.agreed if document == change.document}
        expected = self.expected_at_proposal.get(change.version, 0)
        if expected and len(agreed) <= self.min_agreeing_share * expected:
            raise InvariantError(f"version {change.version} was decided with {len(agreed)} of {expected}")
