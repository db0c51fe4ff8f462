"""The fronts with a link to the leader, and whether enough of them agree to a change. No I/O."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from zincladder.policy.granted_leases import FrontProcess
from zincladder.policy.model import MAX_ABSENT_NAMES, DocumentValidated, RenewPolicyLease

SILENCE_RENEWALS = 2  # renewal intervals without a request after which a front counts as silent


@dataclass(slots=True)
class LinkedFront:
    """A front that has a link to this replica."""

    name: str
    process: str
    renewed_at: float
    deferred_renewal: RenewPolicyLease | None = None  # answered once there is a version to grant a lease on
    asked_about: int = 0  # the version that it was asked to validate
    validation: DocumentValidated | None = None
    applied_document: str = ""
    asked_to_release: int = 0  # the version for which it was asked to release its lease

    @property
    def identity(self) -> FrontProcess:
        """Whose leases its requests are for."""
        return FrontProcess(self.name, self.process)

    def is_silent(self, now: float, renew_seconds: float) -> bool:
        """Whether it has missed its renewals, so that it may not hear either."""
        return now - self.renewed_at > SILENCE_RENEWALS * renew_seconds


@dataclass(frozen=True, slots=True)
class Agreement:
    """How many of the expected fronts could serve under a change."""

    agreed: int
    expected: int
    absent: tuple[str, ...]  # expected fronts that did not agree, as many as a record names
    all_answered: bool  # every front with a link

    def suffices(self, min_share: float) -> bool:
        """Whether more than this share of the expected fronts agree.

        Guards the fleet against a change that most fronts never saw: they could all turn out unable to serve.
        """
        return self.agreed > min_share * self.expected or not self.expected


def agreement(fronts: Collection[LinkedFront], expected_fronts: frozenset[str]) -> Agreement:
    """Counts the answers; none of them is an objection. A linked front that agrees counts as expected."""
    agreed = {front.name for front in fronts if front.validation}
    expected = expected_fronts | agreed
    absent = tuple(sorted(expected - agreed))[:MAX_ABSENT_NAMES]
    return Agreement(len(agreed), len(expected), absent, all(front.validation for front in fronts))
