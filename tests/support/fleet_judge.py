"""The invariants of a policy in a simulated fleet, which must hold under all faults."""

from __future__ import annotations

from collections.abc import Mapping

from tests.support.raft_simulation import InvariantError
from zincladder.policy.change_log import ChangeLog
from zincladder.policy.model import ChangeOutcome, ChangePhase, PolicyChange


class PolicyInvariants:
    """Records what all processes did; each method raises InvariantError if an invariant is violated."""

    def __init__(self, min_agreeing_share: float) -> None:
        self.min_agreeing_share = min_agreeing_share
        self.agreed: set[tuple[str, str]] = set()  # (front, document that it accepted)
        self.objections_heard: set[tuple[str, int, str]] = set()  # (leader, its term, document objected to)
        self.decided: dict[int, str] = {}  # version -> document
        self.expected_at_proposal: dict[int, int] = {}  # version -> number of fronts expected at its proposal
        self.highest_served = 0  # the highest version that was served

    def check_serving(self, versions: Mapping[str, int]) -> None:
        """Checks `versions`, which has for each front the version under which it serves at one moment."""
        if len(set(versions.values())) > 1:
            raise InvariantError(f"fronts serve under two versions: {versions}")
        for version in set(versions.values()):
            if version < self.highest_served:
                raise InvariantError(f"version {version} is served after version {self.highest_served}")
            self.highest_served = version
            if version not in self.decided:
                raise InvariantError(f"version {version} is served but was never decided")

    def check_write(self, leader: str, term: int, change: PolicyChange | None) -> None:
        """Checks the open change that a leader is about to write."""
        if change is None or change.phase is not ChangePhase.DECIDED or self.decided.get(change.version):
            return
        if (leader, term, change.document) in self.objections_heard:
            raise InvariantError(f"version {change.version} is decided against a front's objection")

    def check_applied(self, stored: ChangeLog) -> None:
        """Checks the policy record after the group has applied a change to it."""
        change = stored.record.open_change
        if change is not None:
            self.expected_at_proposal.setdefault(change.version, len(stored.expected_fronts))
            if change.phase is not ChangePhase.CHECKING and change.version not in self.decided:
                self._check_decision(change)
        for entry in stored.record.log:
            if entry.version in self.decided and entry.outcome is ChangeOutcome.WITHDRAWN:
                raise InvariantError(f"version {entry.version} was decided and then withdrawn")

    def _check_decision(self, change: PolicyChange) -> None:
        self.decided[change.version] = change.document
        agreed = {front for front, document in self.agreed if document == change.document}
        expected = self.expected_at_proposal.get(change.version, 0)
        if expected and len(agreed) <= self.min_agreeing_share * expected:
            raise InvariantError(
                f"version {change.version} was decided, but only {len(agreed)} of {expected} fronts agreed"
            )
