"""The fronts that are connected to the leader, and whether enough of them agree to a change. No I/O."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from zincladder.policy.granted_leases import FrontProcess
from zincladder.policy.model import MAX_ABSENT_NAMES, DocumentValidated, RenewPolicyLease

SILENCE_RENEWALS = 2  # renewal intervals without a request after which a front counts as silent


@dataclass(slots=True)
class LinkedFront:
    """One process of a front that is connected to this replica."""

    name: str
    process: str
    renewed_at: float
    deferred_renewal: RenewPolicyLease | None = None  # latest request that no lease was granted for yet
    validation_requested_version: int = 0  # version that it was last asked to validate
    validation: DocumentValidated | None = None
    applied_document: str = ""
    release_requested_version: int = 0  # version for whose activation it was asked to release its lease

    @property
    def identity(self) -> FrontProcess:
        """The process that its leases are granted to."""
        return FrontProcess(self.name, self.process)

    def is_silent(self, now: float, renew_seconds: float) -> bool:
        """Whether it has missed its latest renewals, so that messages to it may be lost as well."""
        return now - self.renewed_at > SILENCE_RENEWALS * renew_seconds


@dataclass(frozen=True, slots=True)
class Agreement:
    """How many of the expected fronts can serve under the document of a change."""

    agreed: int
    expected: int
    absent: tuple[str, ...]  # expected fronts that did not agree, up to MAX_ABSENT_NAMES
    all_answered: bool  # whether every connected front has answered

    def suffices(self, min_share: float) -> bool:
        """Whether more than this share of the expected fronts agree, or no front is expected.

        Fronts that have not validated a document may turn out unable to serve under it. So a change must not
        be activated before enough fronts have validated it.
        """
        return self.agreed > min_share * self.expected or not self.expected


def count_agreement(fronts: Collection[LinkedFront], expected_fronts: frozenset[str]) -> Agreement:
    """Counts the fronts that agree. A connected front that agrees counts as an expected one.

    Every front that has answered counts as agreeing: the caller has made sure that none objects.
    """
    agreed = {front.name for front in fronts if front.validation}
    expected = expected_fronts | agreed
    absent = tuple(sorted(expected - agreed))[:MAX_ABSENT_NAMES]
    return Agreement(len(agreed), len(expected), absent, all(front.validation for front in fronts))
